//! Replays arrivals and run times with a scheduler under a manual clock.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use pimentochute_base::{
    AttemptRef, JobId, MilliClock, MilliSpan, MilliTime, PriorityClass, ResourceAmount, WorkKind,
};
use pimentochute_schedule::{JobPlacer, PlacerSettings, ShareScale, class_index};

use crate::workload::{Arrival, FleetShape, TEAM_SHARES, team_specs};

/// Places the tasks of arrivals, which are identified by their index in the list.
pub trait ReplayScheduler {
    fn add(&mut self, index: usize, arrival: &Arrival);

    /// Returns the tasks that start now.
    fn place(&mut self, now: MilliTime) -> Vec<(usize, u32)>;

    /// Frees a task that ended.
    fn end(&mut self, index: usize, task: u32);

    /// Returns when the scheduler has to be called next, if that is known.
    fn next_due(&self) -> Option<MilliTime> {
        None
    }
}

/// The measurements of a replay, without the arrivals of the first tenth.
#[derive(Debug, Default)]
pub struct ReplayResult {
    /// Seconds from submission to start, per class. Tasks that have not started
    /// at the end count with their waiting time so far.
    pub waits: [Vec<f64>; 3],
    /// The same for the tasks of gangs.
    pub gang_waits: Vec<f64>,
    /// The dominant share of the fleet in use while a task waited.
    pub packing: f64,
    /// How far teams with waiting tasks were below their weighted share of the
    /// fleet, summed over these teams, on average while a task waited. Only
    /// teams that run or wait for something have a share.
    pub shortfall: f64,
    /// The fraction of jobs with a deadline that missed it, or could no longer
    /// meet it at the end.
    pub late: f64,
    /// The mean dominant share of the fleet in use.
    pub used: f64,
}

impl ReplayResult {
    /// Joins the waiting times of all results and takes the mean of the rest.
    pub fn mean(results: Vec<Self>) -> Self {
        let count = results.len() as f64;
        let mut mean = Self::default();
        for result in results {
            for (all, waits) in mean.waits.iter_mut().zip(result.waits) {
                all.extend(waits);
            }
            mean.gang_waits.extend(result.gang_waits);
            mean.packing += result.packing / count;
            mean.shortfall += result.shortfall / count;
            mean.late += result.late / count;
            mean.used += result.used / count;
        }
        mean
    }
}

/// The maximum time between two calls, in milliseconds.
const MAX_STEP: u64 = 1_000;

struct ReplayStats<'a> {
    arrivals: &'a [Arrival],
    scale: ShareScale,
    span: u64,
    starts: Vec<Vec<Option<u64>>>,
    used: ResourceAmount,
    team_used: [ResourceAmount; TEAM_SHARES.len()],
    team_waiting: [usize; TEAM_SHARES.len()],
    shortfall_time: f64,
    waiting: usize,
    packed_time: f64,
    waiting_time: f64,
    used_time: f64,
}

/// Replays the arrivals for `span` milliseconds, the time in which they arrive.
pub fn replay(
    scheduler: &mut dyn ReplayScheduler,
    fleet: &FleetShape,
    arrivals: &[Arrival],
    span: u64,
) -> ReplayResult {
    let mut stats = ReplayStats::new(fleet, arrivals, span);
    let clock = MilliClock::manual(MilliTime::ZERO);
    let mut ends: BinaryHeap<Reverse<(u64, usize, u32)>> = BinaryHeap::new();
    let mut next = 0;
    loop {
        let now = clock.now().as_millis();
        while let Some(Reverse((_, index, task))) = ends.peek().copied().filter(|e| e.0.0 <= now) {
            ends.pop();
            scheduler.end(index, task);
            stats.record_end(index);
        }
        while next < arrivals.len() && arrivals[next].job.submitted.as_millis() <= now {
            scheduler.add(next, &arrivals[next]);
            stats.record_arrival(next);
            next += 1;
        }
        for (index, task) in scheduler.place(clock.now()) {
            stats.record_start(index, task, now);
            ends.push(Reverse((
                now + arrivals[index].runs[task as usize],
                index,
                task,
            )));
        }
        let arrival = arrivals.get(next).map(|a| a.job.submitted.as_millis());
        let end = ends.peek().map(|end| end.0.0);
        let due = scheduler.next_due().map(MilliTime::as_millis);
        let step = [arrival, end, due, Some(now + MAX_STEP)]
            .into_iter()
            .flatten()
            .min();
        let until = step.unwrap_or(span).min(span);
        stats.record_time(now, until);
        if until >= span {
            return stats.finish();
        }
        clock.advance(MilliSpan::new(until - now));
    }
}

impl<'a> ReplayStats<'a> {
    fn new(fleet: &FleetShape, arrivals: &'a [Arrival], span: u64) -> Self {
        let total: ResourceAmount = fleet.workers().map(|worker| worker.capacity).sum();
        Self {
            arrivals,
            scale: ShareScale::new(&total),
            span,
            starts: arrivals.iter().map(|a| vec![None; a.runs.len()]).collect(),
            used: ResourceAmount::ZERO,
            team_used: [ResourceAmount::ZERO; TEAM_SHARES.len()],
            team_waiting: [0; TEAM_SHARES.len()],
            shortfall_time: 0.0,
            waiting: 0,
            packed_time: 0.0,
            waiting_time: 0.0,
            used_time: 0.0,
        }
    }

    fn warm(&self) -> u64 {
        self.span / 10
    }

    fn record_arrival(&mut self, index: usize) {
        let arrival = &self.arrivals[index];
        self.waiting += arrival.runs.len();
        self.team_waiting[arrival.team] += arrival.runs.len();
    }

    fn record_start(&mut self, index: usize, task: u32, now: u64) {
        let arrival = &self.arrivals[index];
        self.starts[index][task as usize] = Some(now);
        self.used += arrival.job.demand;
        self.team_used[arrival.team] += arrival.job.demand;
        self.waiting -= 1;
        self.team_waiting[arrival.team] -= 1;
    }

    fn record_end(&mut self, index: usize) {
        let arrival = &self.arrivals[index];
        self.used = self.used.saturating_sub(&arrival.job.demand);
        let team = &mut self.team_used[arrival.team];
        *team = team.saturating_sub(&arrival.job.demand);
    }

    fn record_time(&mut self, now: u64, until: u64) {
        let from = now.max(self.warm());
        let Some(time) = until.checked_sub(from).map(|time| time as f64) else {
            return;
        };
        let used = self.part(&self.used) * time;
        self.used_time += used;
        if self.waiting > 0 {
            self.packed_time += used;
            self.waiting_time += time;
            self.shortfall_time += self.shortfall() * time;
        }
    }

    /// Returns how far the teams with waiting tasks are below their weighted
    /// shares, summed over these teams.
    fn shortfall(&self) -> f64 {
        let used = self.team_used.map(|used| self.part(&used));
        let teams = 0..TEAM_SHARES.len();
        let active = |team: &usize| used[*team] > 0.0 || self.team_waiting[*team] > 0;
        let weight: u32 = teams.clone().filter(active).map(|t| TEAM_SHARES[t]).sum();
        let waiting = teams.filter(|team| self.team_waiting[*team] > 0);
        let below = waiting.map(|team| {
            let share = f64::from(TEAM_SHARES[team]) / f64::from(weight);
            f64::max(share - used[team], 0.0)
        });
        below.sum()
    }

    fn part(&self, amount: &ResourceAmount) -> f64 {
        self.scale.dominant_ppm(amount) as f64 / 1e6
    }

    fn finish(self) -> ReplayResult {
        let mut result = ReplayResult {
            packing: self.packed_time / self.waiting_time.max(1.0),
            shortfall: self.shortfall_time / self.waiting_time.max(1.0),
            used: self.used_time / (self.span - self.warm()) as f64,
            ..ReplayResult::default()
        };
        let (mut dated, mut late) = (0.0, 0.0);
        for (arrival, starts) in self.arrivals.iter().zip(&self.starts) {
            let submitted = arrival.job.submitted.as_millis();
            if submitted < self.warm() {
                continue;
            }
            for start in starts {
                let wait = (start.unwrap_or(self.span) - submitted) as f64 / 1e3;
                result.waits[class_index(arrival.job.priority)].push(wait);
                if arrival.job.kind == WorkKind::Gang {
                    result.gang_waits.push(wait);
                }
            }
            if let Some(finish_by) = arrival.job.finish_by {
                let runs = starts.iter().zip(&arrival.runs);
                let done = runs
                    .map(|(start, run)| start.unwrap_or(self.span) + run)
                    .max();
                dated += 1.0;
                late += f64::from(done.unwrap_or(0) > finish_by.as_millis());
            }
        }
        result.late = late / f64::max(dated, 1.0);
        result
    }
}

/// The placer under test as a scheduler of replays.
pub struct PlacerScheduler {
    placer: JobPlacer,
    indexes: HashMap<JobId, usize>,
    /// The jobs by their index in the list.
    jobs: Vec<JobId>,
}

impl PlacerScheduler {
    pub fn new(fleet: &FleetShape, settings: PlacerSettings) -> Self {
        let mut placer = JobPlacer::new(settings);
        fleet.workers().for_each(|worker| placer.set_worker(worker));
        team_specs().for_each(|team| placer.set_team(team));
        Self {
            placer,
            indexes: HashMap::new(),
            jobs: Vec::new(),
        }
    }
}

impl ReplayScheduler for PlacerScheduler {
    fn add(&mut self, index: usize, arrival: &Arrival) {
        self.indexes.insert(arrival.job.job, index);
        self.jobs.push(arrival.job.job);
        self.placer.add_job(arrival.job.clone());
    }

    fn place(&mut self, now: MilliTime) -> Vec<(usize, u32)> {
        let mut started = Vec::new();
        let decisions = self.placer.decide(now, usize::MAX);
        for decision in &decisions {
            self.placer.confirm(decision);
            let index = self.indexes[&decision.job];
            started.extend(
                decision
                    .tasks
                    .iter()
                    .map(|choice| (index, choice.task.get())),
            );
        }
        started
    }

    fn end(&mut self, index: usize, task: u32) {
        self.placer.release(AttemptRef {
            job: self.jobs[index],
            task: pimentochute_base::TaskIndex::new(task),
            attempt: pimentochute_base::AttemptNumber::new(1),
        });
    }
}

/// The classes in the order of [`ReplayResult::waits`].
pub const CLASSES: [PriorityClass; 3] = [
    PriorityClass::Urgent,
    PriorityClass::Normal,
    PriorityClass::Bulk,
];

//! Several hosts with a placer each that share workers. Whether a decision is
//! valid is known only when its record is read back.

use std::collections::{HashMap, VecDeque};

use pimentochute_base::{
    AttemptNumber, AttemptRef, JobId, MilliSpan, MilliTime, ResourceAmount, TaskIndex, WorkerName,
};
use pimentochute_schedule::{CommittedTask, JobPlacer, PlacementDecision, PlacerSettings};

use crate::replay::ReplayScheduler;
use crate::workload::{Arrival, FleetShape, TEAM_SHARES, team_specs};

/// The number of hosts that place tasks; each has one team.
pub const HOSTS: usize = TEAM_SHARES.len();

/// The time from a decision until its record is read back: two batches of the
/// log writer.
const LOG_DELAY: MilliSpan = MilliSpan::new(100);

/// One placer per team, and the log that they share.
pub struct MultiHostScheduler {
    placers: Vec<JobPlacer>,
    log: VecDeque<(MilliTime, usize, PlacementDecision)>,
    capacity: ResourceAmount,
    used: HashMap<WorkerName, ResourceAmount>,
    jobs: HashMap<JobId, (usize, Arrival)>,
    ids: Vec<JobId>,
    placed: HashMap<(usize, u32), (WorkerName, ResourceAmount)>,
    /// The number of records, and of the invalid ones among them.
    pub records: [u64; 2],
}

impl MultiHostScheduler {
    pub fn new(fleet: &FleetShape) -> Self {
        let placers = team_specs().map(|team| {
            let mut placer = JobPlacer::new(PlacerSettings::new());
            fleet.workers().for_each(|worker| placer.set_worker(worker));
            placer.set_team(team);
            placer
        });
        Self {
            placers: placers.collect(),
            log: VecDeque::new(),
            capacity: fleet.capacity(),
            used: HashMap::new(),
            jobs: HashMap::new(),
            ids: Vec::new(),
            placed: HashMap::new(),
            records: [0; 2],
        }
    }

    /// Applies a record like the cell replica and returns the tasks that start.
    fn apply(
        &mut self,
        now: MilliTime,
        host: usize,
        decision: &PlacementDecision,
    ) -> Vec<(usize, u32)> {
        self.records[0] += 1;
        let (index, arrival) = self.jobs[&decision.job].clone();
        let demand = arrival.job.demand;
        let mut needed: HashMap<&WorkerName, ResourceAmount> = HashMap::new();
        for choice in &decision.tasks {
            *needed.entry(&choice.worker).or_default() += demand;
        }
        let fits = |(worker, needed): (&&WorkerName, &ResourceAmount)| {
            let used = self.used.get(*worker).copied().unwrap_or_default();
            (used + *needed).fits_within(&self.capacity)
        };
        if !needed.iter().all(fits) {
            self.records[1] += 1;
            self.placers[host].revoke(decision);
            return Vec::new();
        }
        let mut started = Vec::new();
        for (attempt, choice) in decision.attempts().zip(&decision.tasks) {
            *self.used.entry(choice.worker.clone()).or_default() += demand;
            let task = choice.task.get();
            self.placed
                .insert((index, task), (choice.worker.clone(), demand));
            started.push((index, task));
            let committed = CommittedTask {
                attempt,
                team: decision.team.clone(),
                kind: arrival.job.kind,
                worker: choice.worker.clone(),
                demand,
                expected_end: arrival.job.expected_run.map(|run| now + run),
            };
            for placer in &mut self.placers {
                placer.commit(committed.clone());
            }
        }
        started
    }
}

impl ReplayScheduler for MultiHostScheduler {
    fn add(&mut self, index: usize, arrival: &Arrival) {
        self.ids.push(arrival.job.job);
        self.jobs.insert(arrival.job.job, (index, arrival.clone()));
        self.placers[arrival.team].add_job(arrival.job.clone());
    }

    fn place(&mut self, now: MilliTime) -> Vec<(usize, u32)> {
        let mut started = Vec::new();
        while let Some((_, host, decision)) = self.log.pop_front_if(|(due, ..)| *due <= now) {
            started.extend(self.apply(now, host, &decision));
        }
        for (host, placer) in self.placers.iter_mut().enumerate() {
            let decisions = placer.decide(now, usize::MAX);
            let records = decisions.into_iter().map(|d| (now + LOG_DELAY, host, d));
            self.log.extend(records);
        }
        started
    }

    fn end(&mut self, index: usize, task: u32) {
        let attempt = AttemptRef {
            job: self.ids[index],
            task: TaskIndex::new(task),
            attempt: AttemptNumber::new(1),
        };
        if let Some((worker, demand)) = self.placed.remove(&(index, task)) {
            let used = self.used.entry(worker).or_default();
            *used = used.saturating_sub(&demand);
        }
        for placer in &mut self.placers {
            placer.release(attempt);
        }
    }

    fn next_due(&self) -> Option<MilliTime> {
        self.log.front().map(|(due, ..)| *due)
    }
}

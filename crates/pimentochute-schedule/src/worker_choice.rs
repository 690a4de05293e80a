//! Chooses a worker for one task.

use pimentochute_base::{MilliSpan, PriorityClass, ResourceAmount, WorkKind};
use slotmap::SecondaryMap;
use smallvec::SmallVec;

use crate::job_table::{JobKey, JobState};
use crate::resource_index::{IndexQuery, ResourceIndex};
use crate::round::DecisionRound;
use crate::worker_table::{RackKey, WorkerKey};
use crate::{
    FitCandidate, FitRule, FitScore, JobPlacer, SearchOrder, WaitingTask, WorkerFit,
    WorkerReadiness,
};

/// How long a task waits for another worker before it is retried on one that
/// it failed on.
pub const AVOID_TIMEOUT: MilliSpan = MilliSpan::new(60_000);

/// The workers that a task failed on.
type AvoidList = SmallVec<[WorkerKey; 2]>;

impl JobPlacer {
    /// Chooses a worker for a task and returns the rule that selected it, or
    /// `None` if the task has to wait.
    pub(crate) fn choose_worker(
        &self,
        key: JobKey,
        task: &WaitingTask,
        is_holder: bool,
        round: &mut DecisionRound,
    ) -> Option<(WorkerKey, FitRule)> {
        let job = self.jobs.get(key)?;
        let avoid = self.avoid_list(task);
        if is_probe_candidate(job, task)
            && let Some(worker) = self.find_probe_worker(job, &avoid)
        {
            return Some((worker, FitRule::Probe));
        }
        if is_holder && let Some(worker) = self.search(&self.workers.held, job, &avoid) {
            return Some((worker, self.fit_of(job).rule()));
        }
        if let Some(worker) = self.search_unheld(job, &avoid, round) {
            return Some((worker, self.fit_of(job).rule()));
        }
        if let Some(worker) = self.search_held(job, &avoid, round) {
            return Some((worker, FitRule::Backfill));
        }
        if job.kind != WorkKind::Gang
            && let Some(worker) = self.find_probe_worker(job, &avoid)
        {
            return Some((worker, FitRule::Probe));
        }
        let worker = self.find_avoided_worker(job, task, &avoid, round)?;
        Some((worker, FitRule::Repeated))
    }

    /// Returns whether `demand` fits the capacity of some usable worker that is
    /// not in `avoid`.
    pub(crate) fn fits_when_empty(&self, demand: &ResourceAmount, avoid: &[WorkerKey]) -> bool {
        let score = |worker, _: &ResourceAmount| {
            let state = self.workers.get(worker)?;
            let usable = state.readiness == WorkerReadiness::Usable;
            (usable && !avoid.contains(&worker)).then_some(ANY_WORKER)
        };
        let query = IndexQuery {
            demand: *demand,
            order: SearchOrder::Emptiest,
            max_candidates: usize::MAX,
            score: &score,
        };
        self.workers.by_capacity.search(&query).is_some()
    }

    fn search_unheld(
        &self,
        job: &JobState,
        avoid: &[WorkerKey],
        round: &mut DecisionRound,
    ) -> Option<WorkerKey> {
        if round.no_unheld_fit.covers(&job.demand) {
            return None;
        }
        let found = self.search(&self.workers.unheld, job, avoid);
        if found.is_none() && avoid.is_empty() {
            round.no_unheld_fit.add(job.demand);
        }
        found
    }

    /// Finds a held worker for a batch task that is declared to end before the
    /// holder is expected to start, or for an urgent one if the settings allow
    /// it.
    fn search_held(
        &self,
        job: &JobState,
        avoid: &[WorkerKey],
        round: &mut DecisionRound,
    ) -> Option<WorkerKey> {
        let start = self.hold.expected_start()?;
        round.backfill_tries = round.backfill_tries.checked_sub(1)?;
        let run = job.times.expected_run;
        let short = run.is_some_and(|run| round.now + run <= start);
        let urgent = job.priority == PriorityClass::Urgent && self.urgent_may_backfill();
        if job.kind != WorkKind::Batch || !(short || urgent) {
            return None;
        }
        if round.no_held_fit.covers(&job.demand) {
            return None;
        }
        let found = self.search(&self.workers.held, job, avoid);
        if found.is_none() && avoid.is_empty() {
            round.no_held_fit.add(job.demand);
        }
        found
    }

    fn search(
        &self,
        index: &ResourceIndex,
        job: &JobState,
        avoid: &[WorkerKey],
    ) -> Option<WorkerKey> {
        if index.is_empty() {
            return None;
        }
        let fit = self.fit_of(job);
        let spread = if fit.counts_tasks() {
            self.placements.spread_of(job.id)
        } else {
            &[]
        };
        let racks = self.rack_counts(spread);
        let score = |worker, free: &ResourceAmount| {
            if avoid.contains(&worker) {
                return None;
            }
            let (worker_tasks, rack_tasks) = self.count_nearby_tasks(worker, spread, &racks);
            Some(fit.score(&FitCandidate {
                free_after: free.saturating_sub(&job.demand),
                worker_tasks,
                rack_tasks,
                scale: self.workers.scale(),
            }))
        };
        index.search(&IndexQuery {
            demand: job.demand,
            order: fit.order(),
            max_candidates: fit.max_candidates(),
            score: &score,
        })
    }

    /// Finds a quarantined worker that needs a probe and on which the task fits.
    fn find_probe_worker(&self, job: &JobState, avoid: &[WorkerKey]) -> Option<WorkerKey> {
        let mut probes = self.workers.probe_workers.iter().copied();
        probes.find(|worker| {
            let state = self.workers.get(*worker);
            let fits = state.is_some_and(|s| s.admits_probe() && s.fits(&job.demand));
            fits && !avoid.contains(worker)
        })
    }

    /// Finds a worker that the task failed on, if the task has waited for
    /// [`AVOID_TIMEOUT`] or no other worker is large enough.
    fn find_avoided_worker(
        &self,
        job: &JobState,
        task: &WaitingTask,
        avoid: &[WorkerKey],
        round: &DecisionRound,
    ) -> Option<WorkerKey> {
        let since = task.not_before.max(job.times.submitted);
        let may_wait = round.now.since(since) < AVOID_TIMEOUT;
        if avoid.is_empty() || (may_wait && self.fits_when_empty(&job.demand, avoid)) {
            return None;
        }
        avoid.iter().copied().find(|worker| {
            self.workers.get(*worker).is_some_and(|state| {
                let usable = state.known && state.readiness == WorkerReadiness::Usable;
                usable && !state.held && state.fits(&job.demand)
            })
        })
    }

    fn urgent_may_backfill(&self) -> bool {
        self.settings
            .holds
            .is_some_and(|limits| limits.urgent_may_backfill)
    }

    /// Returns the placement policy for the kind of the job.
    fn fit_of(&self, job: &JobState) -> &dyn WorkerFit {
        match job.kind {
            WorkKind::Service => self.settings.service_fit.as_ref(),
            _ => self.settings.batch_and_gang_fit.as_ref(),
        }
    }

    fn avoid_list(&self, task: &WaitingTask) -> AvoidList {
        let names = task.avoid.iter();
        names.filter_map(|name| self.workers.find(name)).collect()
    }

    fn rack_counts(&self, spread: &[(WorkerKey, u32)]) -> SecondaryMap<RackKey, u32> {
        let mut racks = SecondaryMap::new();
        for (worker, count) in spread {
            if let Some(rack) = self.workers.get(*worker).and_then(|state| state.rack) {
                let before = racks.get(rack).copied().unwrap_or(0);
                racks.insert(rack, before + count);
            }
        }
        racks
    }

    /// Returns the number of tasks of a service on a worker and in its rack.
    fn count_nearby_tasks(
        &self,
        worker: WorkerKey,
        spread: &[(WorkerKey, u32)],
        racks: &SecondaryMap<RackKey, u32>,
    ) -> (u32, u32) {
        if spread.is_empty() {
            return (0, 0);
        }
        let here = spread.iter().find(|(key, _)| *key == worker);
        let rack = self.workers.get(worker).and_then(|state| state.rack);
        let near = rack.and_then(|rack| racks.get(rack));
        (
            here.map_or(0, |(_, count)| *count),
            near.copied().unwrap_or(0),
        )
    }
}

/// The same score for all workers, for searches that accept any of them.
const ANY_WORKER: FitScore = FitScore {
    penalty: 0,
    leftover: 0,
};

/// Returns whether a task may be placed on a quarantined worker even if others
/// are free. This holds for first attempts of batch tasks that are not urgent.
fn is_probe_candidate(job: &JobState, task: &WaitingTask) -> bool {
    job.kind == WorkKind::Batch && job.priority != PriorityClass::Urgent && task.attempt.get() == 1
}

//! The placer and the methods that update its state.
//!
//! The scheduling decisions are made in `decide`.

use std::collections::BTreeMap;

use pimentochute_base::{
    AttemptRef, JobId, ResourceAmount, TaskIndex, TeamName, WorkKind, WorkerName,
};

use crate::hold::HoldState;
use crate::job_table::{JobState, JobTable};
use crate::placement_table::{PlacedTask, PlacementTable};
use crate::shape_table::ShapeTable;
use crate::share_scale::bounded;
use crate::team_table::TeamTable;
use crate::worker_table::WorkerTable;
use crate::{
    CommittedTask, PlacementDecision, PlacerSettings, PlacerStats, TeamSpec, WaitingJob,
    WaitingTask, WorkerSpec,
};

/// Chooses workers for waiting tasks.
///
/// Updates are idempotent: each one replaces the previous state of its object.
/// They may arrive in any order: the resources of a task are counted even if
/// its worker or team is not known yet.
///
/// A scheduler loop feeds the placer from the replica of the cell state: the
/// workers and committed tasks of all teams, and the teams and jobs of its own
/// slices. A decision reserves its workers at once. The loop calls
/// [`JobPlacer::confirm`] once the record of its own decision has taken effect,
/// and [`JobPlacer::revoke`] if the record had no effect or could not be written.
/// For each placement that it reads from the cell log, of any host, it calls
/// [`JobPlacer::commit`].
#[derive(Debug)]
pub struct JobPlacer {
    pub(crate) settings: PlacerSettings,
    pub(crate) workers: WorkerTable,
    pub(crate) teams: TeamTable,
    pub(crate) jobs: JobTable,
    pub(crate) shapes: ShapeTable,
    pub(crate) placements: PlacementTable,
    pub(crate) hold: HoldState,
    /// Whether all teams have to be ranked again.
    ///
    /// Set when the worker capacity changes, since shares depend on it.
    pub(crate) stale_ranks: bool,
    /// The running totals of [`JobPlacer::stats`]; its other fields stay zero.
    pub(crate) totals: PlacerStats,
}

impl JobPlacer {
    /// Creates a placer without workers, teams and jobs.
    #[must_use]
    pub fn new(settings: PlacerSettings) -> Self {
        Self {
            settings,
            workers: WorkerTable::default(),
            teams: TeamTable::default(),
            jobs: JobTable::default(),
            shapes: ShapeTable::default(),
            placements: PlacementTable::default(),
            hold: HoldState::default(),
            stale_ranks: false,
            totals: PlacerStats::default(),
        }
    }

    /// Adds or replaces a worker.
    pub fn set_worker(&mut self, worker: WorkerSpec) {
        self.workers.set(worker);
        self.stale_ranks = true;
    }

    /// Removes a worker. Its tasks stay counted until they are released.
    pub fn remove_worker(&mut self, worker: &WorkerName) {
        self.workers.remove(worker);
        self.stale_ranks = true;
    }

    /// Adds or replaces a team.
    pub fn set_team(&mut self, team: TeamSpec) {
        let key = self.teams.set(team);
        self.requeue_team(key);
    }

    /// Removes a team. Its jobs are not placed until the team is set again.
    pub fn remove_team(&mut self, team: &TeamName) {
        let Some(key) = self.teams.find(team) else {
            return;
        };
        if let Some(state) = self.teams.get_mut(key) {
            state.known = false;
            state.allotment = 0;
        }
        self.requeue_team(key);
    }

    /// Records a placement from the cell log.
    ///
    /// A reservation of the same attempt becomes a committed placement, and an
    /// earlier attempt of the task is replaced. The call is ignored if a later
    /// attempt is known. The task no longer waits.
    pub fn commit(&mut self, task: CommittedTask) {
        let AttemptRef {
            job,
            task: index,
            attempt,
        } = task.attempt;
        if self.is_outdated(task.attempt) || self.is_committed(&task) {
            return;
        }
        let known = self.jobs.find(job);
        if let Some(state) = known.and_then(|key| self.jobs.get_mut(key)) {
            state.remove_waiting_task(index);
        }
        if let Some((key, _)) = self.placements.find(job, index) {
            self.remove_placement(key);
        }
        let placed = PlacedTask {
            job,
            task: index,
            attempt,
            team: self.teams.get_or_insert(task.team),
            kind: task.kind,
            worker: self.workers.get_or_insert(task.worker),
            demand: bounded(task.demand),
            expected_end: task.expected_end,
            probe_generation: None,
            reserved: None,
        };
        self.add_placement(placed);
        if let Some(key) = known {
            self.requeue(key);
            self.remove_if_idle(key);
        }
    }

    /// Frees the resources of an attempt; ignored unless that attempt is placed.
    ///
    /// The task does not wait again until [`JobPlacer::add_task`],
    /// [`JobPlacer::add_job`] or [`JobPlacer::update_job`] adds it.
    pub fn release(&mut self, attempt: AttemptRef) {
        let found = self.placements.find(attempt.job, attempt.task);
        if let Some((key, placed)) = found
            && placed.attempt == attempt.attempt
        {
            self.remove_placement(key);
            if let Some(job) = self.jobs.find(attempt.job) {
                self.remove_if_idle(job);
            }
        }
    }

    /// Adds a job, or replaces it if it is known.
    ///
    /// A task whose attempt is reserved or committed does not wait again. An
    /// earlier attempt that is still placed is released. Jobs of kind
    /// [`WorkKind::Request`] are ignored.
    pub fn add_job(&mut self, job: WaitingJob) {
        if job.kind == WorkKind::Request {
            return;
        }
        let old = self.jobs.find(job.job).and_then(|key| self.detach(key));
        let team = self.teams.get_or_insert(job.team.clone());
        if let Some(state) = self.teams.get_mut(team) {
            state.jobs += 1;
        }
        let mut state = self.new_job_state(&job, team);
        if let Some(old) = old {
            state.hold_not_before = old.hold_not_before;
        }
        let tasks: BTreeMap<_, _> = job.tasks.into_iter().map(|t| (t.task, t)).collect();
        for task in tasks.into_values() {
            let listed = self.sync_listed_task(state.id, task);
            state.add_listed(listed);
        }
        let key = self.jobs.insert(state);
        self.requeue(key);
        self.remove_if_idle(key);
    }

    /// Replaces a job, or adds it if it is unknown.
    pub fn update_job(&mut self, job: WaitingJob) {
        self.add_job(job);
    }

    /// Adds or replaces a waiting task of a known job; cheaper than
    /// [`JobPlacer::update_job`].
    ///
    /// Returns false if the job is not known. A job is removed once none of its
    /// tasks waits or is reserved, and then has to be added again.
    pub fn add_task(&mut self, job: JobId, task: WaitingTask) -> bool {
        let Some(key) = self.jobs.find(job) else {
            return false;
        };
        let index = task.task;
        let listed = self.sync_listed_task(job, task);
        if let Some(state) = self.jobs.get_mut(key) {
            state.remove_waiting_task(index);
            state.add_listed(listed);
        }
        self.requeue(key);
        self.remove_if_idle(key);
        true
    }

    /// Removes a job. Its reserved and committed tasks stay counted.
    pub fn remove_job(&mut self, job: JobId) {
        if let Some(key) = self.jobs.find(job) {
            self.detach(key);
        }
    }

    /// Commits the reserved tasks of a decision whose record is valid.
    pub fn confirm(&mut self, decision: &PlacementDecision) {
        for attempt in decision.attempts() {
            let Some(key) = self.find_reservation(attempt) else {
                continue;
            };
            if let Some(placed) = self.placements.get_mut(key) {
                placed.reserved = None;
                self.placements.reserved_count -= 1;
                self.unlist_reserved_task(decision.job, attempt.task);
            }
        }
        if let Some(key) = self.jobs.find(decision.job) {
            self.remove_if_idle(key);
        }
    }

    /// Releases the reserved tasks of a decision whose record is invalid.
    ///
    /// They wait again if their job still lists them. Committed tasks stay.
    pub fn revoke(&mut self, decision: &PlacementDecision) {
        for attempt in decision.attempts() {
            if self.cancel_reservation(attempt) {
                self.totals.revoked_tasks += 1;
            }
        }
        if let Some(key) = self.jobs.find(decision.job) {
            self.requeue(key);
        }
    }

    /// Returns the attempts that are reserved: decided, but neither committed,
    /// confirmed nor revoked.
    #[must_use]
    pub fn reservations(&self) -> Vec<AttemptRef> {
        self.placements.reservations()
    }

    /// Returns the free resources of a worker, or `None` if it is not known.
    #[must_use]
    pub fn free_on(&self, worker: &WorkerName) -> Option<ResourceAmount> {
        let state = self.workers.get(self.workers.find(worker)?)?;
        state.known.then(|| state.free())
    }

    /// Returns the number of tasks that count towards the team's allotment,
    /// including reserved ones.
    #[must_use]
    pub fn tasks_of(&self, team: &TeamName) -> usize {
        let state = self.teams.find(team).and_then(|key| self.teams.get(key));
        state.map_or(0, |state| state.placed as usize)
    }

    /// Returns the worker of a reserved or committed task.
    #[must_use]
    pub fn worker_of(&self, job: JobId, task: TaskIndex) -> Option<&WorkerName> {
        let (_, placed) = self.placements.find(job, task)?;
        self.workers.get(placed.worker).map(|state| &state.name)
    }

    /// Returns the current counts and the running totals, for metrics.
    #[must_use]
    pub fn stats(&self) -> PlacerStats {
        PlacerStats {
            workers: self.workers.known_count(),
            teams: self.teams.known_count(),
            jobs: self.jobs.iter().count(),
            waiting_tasks: self.jobs.iter().map(JobState::waiting_count).sum(),
            committed_tasks: self.placements.len() - self.placements.reserved_count,
            reserved_tasks: self.placements.reserved_count,
            capacity: self.workers.total(),
            used: self.workers.used,
            held_workers: self.hold.worker_count(),
            ..self.totals
        }
    }
}

//! The placer: what it is told. The decisions are in `decide`.

use std::collections::{BTreeMap, BTreeSet};

use pimentochute_base::{
    AttemptRef, JobId, MilliTime, ResourceAmount, TaskIndex, TeamName, WorkKind, WorkerName,
};

use crate::class_order::class_index;
use crate::hold::RoomHold;
use crate::job_table::{JobKey, JobState, JobTable};
use crate::placement_table::{PlacedKey, PlacedTask, PlacementTable};
use crate::shape_table::{JobShape, ShapeTable};
use crate::share_scale::bounded;
use crate::team_table::{TeamKey, TeamTable};
use crate::worker_table::WorkerTable;
use crate::{
    CommittedTask, JobTimes, PlacementDecision, PlacerSettings, PlacerStats, TeamSpec, WaitingJob,
    WaitingTask, WorkerSpec,
};

/// Chooses workers for waiting tasks.
///
/// Every update replaces what is known about its object, so that repeating
/// it changes nothing. Updates may come in any order: what a task uses is
/// counted even if its worker or team is not known yet.
///
/// A scheduler loop feeds it from the fold of the cell records: workers and
/// committed tasks of all teams, teams and jobs of its own slices. A decision
/// is reserved at once. When its record is read back, the loop calls
/// [`JobPlacer::commit`] (or [`JobPlacer::confirm`]) if it was valid and
/// [`JobPlacer::revoke`] if not.
#[derive(Debug)]
pub struct JobPlacer {
    pub(crate) settings: PlacerSettings,
    pub(crate) workers: WorkerTable,
    pub(crate) teams: TeamTable,
    pub(crate) jobs: JobTable,
    pub(crate) shapes: ShapeTable,
    pub(crate) placements: PlacementTable,
    pub(crate) hold: RoomHold,
    /// Whether the ranks of all teams are out of date.
    pub(crate) stale_ranks: bool,
    /// The totals that [`JobPlacer::stats`] reports.
    pub(crate) totals: PlacerStats,
}

impl JobPlacer {
    /// Creates a placer that knows nothing.
    #[must_use]
    pub fn new(settings: PlacerSettings) -> Self {
        Self {
            settings,
            workers: WorkerTable::default(),
            teams: TeamTable::default(),
            jobs: JobTable::default(),
            shapes: ShapeTable::default(),
            placements: PlacementTable::default(),
            hold: RoomHold::default(),
            stale_ranks: false,
            totals: PlacerStats::default(),
        }
    }

    /// Adds or replaces a worker.
    pub fn set_worker(&mut self, worker: WorkerSpec) {
        self.workers.set(worker);
        self.stale_ranks = true;
    }

    /// Removes a worker; tasks on it stay counted until they are released.
    pub fn remove_worker(&mut self, worker: &WorkerName) {
        self.workers.remove(worker);
        self.stale_ranks = true;
    }

    /// Adds or replaces a team.
    pub fn set_team(&mut self, team: TeamSpec) {
        let key = self.teams.set(team);
        self.refresh_team(key);
    }

    /// Removes a team; its jobs are not placed until it is set again.
    pub fn remove_team(&mut self, team: &TeamName) {
        let Some(key) = self.teams.find(team) else {
            return;
        };
        if let Some(state) = self.teams.get_mut(key) {
            state.known = false;
            state.allotment = 0;
        }
        self.refresh_team(key);
    }

    /// Counts a placement that the cell records hold.
    ///
    /// Turns a reservation of the same attempt into a committed placement,
    /// replaces an earlier attempt of the task and is ignored if a later one
    /// is known. The task no longer waits.
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
            state.drop_task(index);
        }
        if let Some((key, _)) = self.placements.find(job, index) {
            self.vacate(key);
        }
        let placed = PlacedTask {
            job,
            task: index,
            attempt,
            team: self.teams.key_of(task.team),
            kind: task.kind,
            worker: self.workers.key_of(task.worker),
            demand: bounded(task.demand),
            expected_end: task.expected_end,
            probe_era: None,
            reserved: None,
        };
        self.occupy(placed);
        if let Some(key) = known {
            self.requeue(key);
            self.drop_if_idle(key);
        }
    }

    /// Frees what an attempt uses; ignored unless that attempt is placed.
    ///
    /// The task waits again only when [`JobPlacer::update_job`] says so.
    pub fn release(&mut self, attempt: AttemptRef) {
        let found = self.placements.find(attempt.job, attempt.task);
        if let Some((key, placed)) = found
            && placed.attempt == attempt.attempt
        {
            self.vacate(key);
            if let Some(job) = self.jobs.find(attempt.job) {
                self.drop_if_idle(job);
            }
        }
    }

    /// Adds a job, or replaces it if it is known.
    ///
    /// A task whose attempt is reserved or committed does not wait again; an
    /// earlier attempt that is still placed is released. A job of kind
    /// [`WorkKind::Request`] is ignored.
    pub fn add_job(&mut self, job: WaitingJob) {
        if job.kind == WorkKind::Request {
            return;
        }
        let old = self.jobs.find(job.job).and_then(|key| self.detach(key));
        let team = self.teams.key_of(job.team.clone());
        if let Some(state) = self.teams.get_mut(team) {
            state.jobs += 1;
        }
        let mut state = self.new_state(&job, team);
        if let Some(old) = old {
            state.hold_after = old.hold_after;
        }
        let tasks: BTreeMap<_, _> = job.tasks.into_iter().map(|t| (t.task, t)).collect();
        for task in tasks.into_values() {
            self.add_task(&mut state, task);
        }
        let key = self.jobs.insert(state);
        self.requeue(key);
        self.drop_if_idle(key);
    }

    /// Replaces a job, or adds it if it is unknown.
    pub fn update_job(&mut self, job: WaitingJob) {
        self.add_job(job);
    }

    /// Removes a job; its reserved and committed tasks stay counted.
    pub fn remove_job(&mut self, job: JobId) {
        if let Some(key) = self.jobs.find(job) {
            self.detach(key);
        }
    }

    /// Keeps the tasks of a decision whose record turned out valid.
    pub fn confirm(&mut self, decision: &PlacementDecision) {
        for attempt in decision.attempts() {
            let Some(key) = self.reserved_key(attempt) else {
                continue;
            };
            if let Some(placed) = self.placements.get_mut(key) {
                placed.reserved = None;
                self.placements.reserved_count -= 1;
                self.note_settled(decision.job, attempt.task);
            }
        }
        if let Some(key) = self.jobs.find(decision.job) {
            self.drop_if_idle(key);
        }
    }

    /// Frees the tasks of a decision whose record turned out invalid; they
    /// wait again if their job is still known. Committed tasks stay.
    pub fn revoke(&mut self, decision: &PlacementDecision) {
        for attempt in decision.attempts() {
            if self.unreserve(attempt) {
                self.totals.revoked_tasks += 1;
            }
        }
        if let Some(key) = self.jobs.find(decision.job) {
            self.requeue(key);
        }
    }

    /// Returns the tasks that are decided and neither confirmed nor revoked.
    #[must_use]
    pub fn reservations(&self) -> Vec<AttemptRef> {
        self.placements.reservations()
    }

    /// Returns what is left on a worker, if it is known.
    #[must_use]
    pub fn free_on(&self, worker: &WorkerName) -> Option<ResourceAmount> {
        let state = self.workers.get(self.workers.find(worker)?)?;
        state.known.then(|| state.free())
    }

    /// Returns the tasks that count towards the team's allotment.
    #[must_use]
    pub fn tasks_of(&self, team: &TeamName) -> usize {
        let state = self.teams.find(team).and_then(|key| self.teams.get(key));
        state.map_or(0, |state| state.placed as usize)
    }

    /// Returns counts for metrics.
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

    /// Undoes a reservation; the task waits again if its job is known.
    pub(crate) fn unreserve(&mut self, attempt: AttemptRef) -> bool {
        let Some(key) = self.reserved_key(attempt) else {
            return false;
        };
        let job = self.jobs.find(attempt.job);
        let listed = job.and_then(|job| self.jobs.get(job));
        let listed = listed.is_some_and(|job| job.reserved.contains(&attempt.task));
        let waiting = self.vacate(key).and_then(|placed| placed.reserved);
        if let (true, Some(waiting)) = (listed, waiting)
            && let Some(job) = job.and_then(|job| self.jobs.get_mut(job))
        {
            job.add_task(*waiting);
        }
        true
    }

    /// Counts a placed task everywhere.
    pub(crate) fn occupy(&mut self, mut placed: PlacedTask) {
        placed.probe_era = self.workers.take(placed.worker, &placed.demand);
        let team = placed.team;
        if let Some(state) = self.teams.get_mut(team) {
            state.placed += 1;
            state.used += placed.demand;
        }
        if placed.reserved.is_some() {
            let key = self.jobs.find(placed.job);
            if let Some(job) = key.and_then(|key| self.jobs.get_mut(key)) {
                job.reserved.insert(placed.task);
            }
        }
        self.placements.insert(placed);
        self.refresh_team(team);
    }

    /// Brings the queues in line with a job that changed.
    pub(crate) fn requeue(&mut self, key: JobKey) {
        self.jobs.rewake(key);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let due = job.is_due();
        if job.queued == due {
            return;
        }
        job.queued = due;
        let entry = (job.rank, key);
        let (team, class, shape) = (job.team, class_index(job.priority), job.shape);
        if let Some(state) = self.teams.get_mut(team) {
            if due {
                state.add_due(class, shape, entry);
            } else {
                state.drop_due(class, shape, entry);
            }
        }
        self.refresh_team(team);
    }

    fn refresh_team(&mut self, key: TeamKey) {
        let order = self.settings.team_order.as_ref();
        self.teams.refresh(key, order, self.workers.scale());
    }

    /// Ranks all teams again if the capacity changed.
    pub(crate) fn refresh_ranks(&mut self) {
        if std::mem::take(&mut self.stale_ranks) {
            for key in self.teams.keys() {
                self.refresh_team(key);
            }
        }
    }

    /// Makes tasks ready whose time has come.
    pub(crate) fn wake_jobs(&mut self, now: MilliTime) {
        while let Some(key) = self.jobs.next_awake(now) {
            if let Some(job) = self.jobs.get_mut(key) {
                job.wake_tasks(now);
            }
            self.requeue(key);
        }
    }

    fn vacate(&mut self, key: PlacedKey) -> Option<PlacedTask> {
        let placed = self.placements.remove(key)?;
        self.workers
            .give(placed.worker, &placed.demand, placed.probe_era);
        if let Some(state) = self.teams.get_mut(placed.team) {
            state.placed = state.placed.saturating_sub(1);
            state.used = state.used.saturating_sub(&placed.demand);
        }
        if placed.reserved.is_some() {
            self.note_settled(placed.job, placed.task);
        }
        self.refresh_team(placed.team);
        Some(placed)
    }

    /// Notes that a task is no longer reserved.
    fn note_settled(&mut self, job: JobId, task: TaskIndex) {
        let key = self.jobs.find(job);
        if let Some(state) = key.and_then(|key| self.jobs.get_mut(key)) {
            state.reserved.remove(&task);
        }
    }

    fn reserved_key(&self, attempt: AttemptRef) -> Option<PlacedKey> {
        let (key, placed) = self.placements.find(attempt.job, attempt.task)?;
        (placed.attempt == attempt.attempt && placed.reserved.is_some()).then_some(key)
    }

    /// Tells whether a later attempt of the task is known.
    fn is_outdated(&self, attempt: AttemptRef) -> bool {
        let placed = self.placements.find(attempt.job, attempt.task);
        let placed = placed.map(|(_, placed)| placed.attempt);
        let job = self.jobs.find(attempt.job);
        let job = job.and_then(|key| self.jobs.get(key));
        let waiting = job.and_then(|job| job.find_task(attempt.task));
        let waiting = waiting.map(|task| task.attempt);
        placed
            .max(waiting)
            .is_some_and(|last| last > attempt.attempt)
    }

    fn is_committed(&self, task: &CommittedTask) -> bool {
        let found = self.placements.find(task.attempt.job, task.attempt.task);
        found.is_some_and(|(_, placed)| {
            let worker = self.workers.get(placed.worker).map(|state| &state.name);
            let team = self.teams.get(placed.team).map(|state| &state.name);
            placed.reserved.is_none()
                && placed.attempt == task.attempt.attempt
                && placed.demand == bounded(task.demand)
                && placed.expected_end == task.expected_end
                && worker == Some(&task.worker)
                && team == Some(&task.team)
        })
    }

    fn new_state(&mut self, job: &WaitingJob, team: TeamKey) -> JobState {
        let times = JobTimes {
            submitted: job.submitted,
            expected_run: job.expected_run,
            finish_by: job.finish_by,
        };
        let shape = JobShape {
            demand: bounded(job.demand),
            gang: job.kind == WorkKind::Gang,
        };
        JobState {
            id: job.job,
            team,
            kind: job.kind,
            priority: job.priority,
            demand: shape.demand,
            shape: self.shapes.join(shape),
            task_count: job.task_count,
            times,
            rank: self.settings.job_order.rank(&times),
            ready: BTreeMap::new(),
            later: BTreeMap::new(),
            reserved: BTreeSet::new(),
            queued: false,
            wake: None,
            hold_after: MilliTime::ZERO,
        }
    }

    /// Adds a task to a job unless the attempt is placed already.
    fn add_task(&mut self, job: &mut JobState, task: WaitingTask) {
        let found = self.placements.find(job.id, task.task);
        let found = found.map(|(key, placed)| (key, placed.attempt));
        match found {
            Some((key, attempt)) if attempt >= task.attempt => {
                if let Some(placed) = self.placements.get_mut(key)
                    && let Some(waiting) = &mut placed.reserved
                {
                    job.reserved.insert(task.task);
                    if attempt == task.attempt {
                        **waiting = task;
                    }
                }
            }
            Some((key, _)) => {
                self.vacate(key);
                job.add_task(task);
            }
            None => job.add_task(task),
        }
    }

    /// Takes a job out of all queues and the table.
    fn detach(&mut self, key: JobKey) -> Option<JobState> {
        let job = self.jobs.remove(key)?;
        if let Some(state) = self.teams.get_mut(job.team) {
            state.drop_due(class_index(job.priority), job.shape, (job.rank, key));
            state.jobs = state.jobs.saturating_sub(1);
        }
        self.shapes.leave(job.shape);
        self.refresh_team(job.team);
        Some(job)
    }

    /// Forgets a job of which no task waits or may wait again.
    fn drop_if_idle(&mut self, key: JobKey) {
        let idle = |job: &JobState| job.waiting_count() == 0 && job.reserved.is_empty();
        if self.jobs.get(key).is_some_and(idle) {
            self.detach(key);
        }
    }

    /// Returns the worker that a task is placed on, reserved or committed.
    #[must_use]
    pub fn worker_of(&self, job: JobId, task: TaskIndex) -> Option<&WorkerName> {
        let (_, placed) = self.placements.find(job, task)?;
        self.workers.get(placed.worker).map(|state| &state.name)
    }
}

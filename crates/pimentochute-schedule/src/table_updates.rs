//! Updates several tables of the placer together, so that they stay consistent.

use std::collections::{BTreeMap, BTreeSet};

use pimentochute_base::{AttemptRef, JobId, MilliTime, TaskIndex, WorkKind};

use crate::class_order::class_index;
use crate::job_table::{JobKey, JobState};
use crate::placement_table::{PlacedKey, PlacedTask};
use crate::shape_table::JobShape;
use crate::share_scale::bounded;
use crate::team_table::TeamKey;
use crate::{CommittedTask, JobPlacer, JobTimes, WaitingJob, WaitingTask};

impl JobPlacer {
    /// Removes a reserved placement. The task waits again if its job still
    /// lists it. Returns false if the attempt is not reserved.
    pub(crate) fn cancel_reservation(&mut self, attempt: AttemptRef) -> bool {
        let Some(key) = self.find_reservation(attempt) else {
            return false;
        };
        let job = self.jobs.find(attempt.job);
        let listed = job.and_then(|job| self.jobs.get(job));
        let listed = listed.is_some_and(|job| job.reserved.contains(&attempt.task));
        let waiting = self
            .remove_placement(key)
            .and_then(|placed| placed.reserved);
        if let (true, Some(waiting)) = (listed, waiting)
            && let Some(job) = job.and_then(|job| self.jobs.get_mut(job))
        {
            job.add_task(*waiting);
        }
        true
    }

    /// Adds a placed task to the tables of placements, workers, teams and jobs.
    pub(crate) fn add_placement(&mut self, mut placed: PlacedTask) {
        placed.probe_generation = self.workers.add_task(placed.worker, &placed.demand);
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
        self.requeue_team(team);
    }

    /// Updates the wake time of a job and the queues of its team after the job
    /// changed.
    pub(crate) fn requeue(&mut self, key: JobKey) {
        self.jobs.update_wake_time(key);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let due = job.is_due();
        if job.listed_as_due == due {
            return;
        }
        job.listed_as_due = due;
        let entry = (job.rank, key);
        let (team, class, shape) = (job.team, class_index(job.priority), job.shape);
        if let Some(state) = self.teams.get_mut(team) {
            if due {
                state.add_due(class, shape, entry);
            } else {
                state.remove_due(class, shape, entry);
            }
        }
        self.requeue_team(team);
    }

    /// Updates the ranks of a team in the queues after it changed. Removes an
    /// unknown team without jobs and placed tasks.
    pub(crate) fn requeue_team(&mut self, key: TeamKey) {
        let order = self.settings.team_order.as_ref();
        self.teams
            .requeue_or_remove(key, order, self.workers.scale());
    }

    /// Ranks all teams again if the worker capacity has changed.
    pub(crate) fn rerank_teams(&mut self) {
        if std::mem::take(&mut self.stale_ranks) {
            for key in self.teams.keys() {
                self.requeue_team(key);
            }
        }
    }

    /// Moves delayed tasks whose `not_before` has passed to the ready tasks.
    pub(crate) fn wake_jobs(&mut self, now: MilliTime) {
        while let Some(key) = self.jobs.next_to_wake(now) {
            if let Some(job) = self.jobs.get_mut(key) {
                job.wake_tasks(now);
            }
            self.requeue(key);
        }
    }

    /// Removes a placed task from all tables and returns it.
    pub(crate) fn remove_placement(&mut self, key: PlacedKey) -> Option<PlacedTask> {
        let placed = self.placements.remove(key)?;
        self.workers
            .remove_task(placed.worker, &placed.demand, placed.probe_generation);
        if let Some(state) = self.teams.get_mut(placed.team) {
            state.placed = state.placed.saturating_sub(1);
            state.used = state.used.saturating_sub(&placed.demand);
        }
        if placed.reserved.is_some() {
            self.unlist_reserved_task(placed.job, placed.task);
        }
        self.requeue_team(placed.team);
        Some(placed)
    }

    /// Removes a task from the reserved tasks of its job, if the job is known.
    /// The placement stays; [`JobPlacer::cancel_reservation`] removes it as
    /// well.
    pub(crate) fn unlist_reserved_task(&mut self, job: JobId, task: TaskIndex) {
        let key = self.jobs.find(job);
        if let Some(state) = key.and_then(|key| self.jobs.get_mut(key)) {
            state.reserved.remove(&task);
        }
    }

    /// Returns the placement of an attempt that is reserved.
    pub(crate) fn find_reservation(&self, attempt: AttemptRef) -> Option<PlacedKey> {
        let (key, placed) = self.placements.find(attempt.job, attempt.task)?;
        (placed.attempt == attempt.attempt && placed.reserved.is_some()).then_some(key)
    }

    /// Returns whether a later attempt of the task is placed or waits.
    pub(crate) fn is_outdated(&self, attempt: AttemptRef) -> bool {
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

    /// Returns whether exactly this placement is committed.
    pub(crate) fn is_committed(&self, task: &CommittedTask) -> bool {
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

    /// Creates the state of a job without tasks, and counts its shape.
    pub(crate) fn new_job_state(&mut self, job: &WaitingJob, team: TeamKey) -> JobState {
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
            shape: self.shapes.acquire(shape),
            task_count: job.task_count,
            times,
            rank: self.settings.job_order.rank(&times),
            ready: BTreeMap::new(),
            delayed: BTreeMap::new(),
            reserved: BTreeSet::new(),
            listed_as_due: false,
            wake_at: None,
            hold_not_before: MilliTime::ZERO,
        }
    }

    /// Compares a task that a job lists with its placement and returns its state.
    /// Releases an earlier attempt that is still placed.
    pub(crate) fn sync_listed_task(&mut self, job: JobId, task: WaitingTask) -> ListedTask {
        let found = self.placements.find(job, task.task);
        let Some((key, attempt)) = found.map(|(key, placed)| (key, placed.attempt)) else {
            return ListedTask::Waiting(task);
        };
        if attempt < task.attempt {
            self.remove_placement(key);
            return ListedTask::Waiting(task);
        }
        let placed = self.placements.get_mut(key);
        match placed.and_then(|placed| placed.reserved.as_mut()) {
            Some(waiting) => {
                let index = task.task;
                if attempt == task.attempt {
                    **waiting = task;
                }
                ListedTask::Reserved(index)
            }
            None => ListedTask::Committed,
        }
    }

    /// Removes a job from all queues and tables and returns it.
    pub(crate) fn detach(&mut self, key: JobKey) -> Option<JobState> {
        let job = self.jobs.remove(key)?;
        if let Some(state) = self.teams.get_mut(job.team) {
            state.remove_due(class_index(job.priority), job.shape, (job.rank, key));
            state.jobs = state.jobs.saturating_sub(1);
        }
        self.shapes.release(job.shape);
        self.requeue_team(job.team);
        Some(job)
    }

    /// Removes a job without waiting or reserved tasks: none of its tasks can
    /// wait again unless it is added again.
    pub(crate) fn remove_if_idle(&mut self, key: JobKey) {
        let idle = |job: &JobState| job.waiting_count() == 0 && job.reserved.is_empty();
        if self.jobs.get(key).is_some_and(idle) {
            self.detach(key);
        }
    }
}

/// The state of a task that a job lists.
pub(crate) enum ListedTask {
    /// The task waits for a worker.
    Waiting(WaitingTask),
    /// The task is reserved and waits again if the decision is revoked.
    Reserved(TaskIndex),
    /// The task has a committed placement.
    Committed,
}

//! The table of jobs and their waiting tasks.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use pimentochute_base::{
    JobId, MilliSpan, MilliTime, PriorityClass, ResourceAmount, TaskIndex, WorkKind,
};
use slotmap::{SlotMap, new_key_type};

use crate::shape_table::ShapeKey;
use crate::table_updates::ListedTask;
use crate::team_table::TeamKey;
use crate::{HoldLimits, JobRank, JobTimes, WaitingTask};

new_key_type! {
    /// A job in the table.
    pub(crate) struct JobKey;
}

/// A job and its waiting tasks. A task is in at most one of `ready`, `delayed`
/// and `reserved`.
#[derive(Debug)]
pub(crate) struct JobState {
    pub id: JobId,
    pub team: TeamKey,
    pub kind: WorkKind,
    pub priority: PriorityClass,
    pub demand: ResourceAmount,
    pub task_count: u32,
    pub times: JobTimes,
    pub rank: JobRank,
    pub shape: ShapeKey,
    /// The tasks that may be placed now.
    pub ready: BTreeMap<TaskIndex, WaitingTask>,
    /// The tasks that may not be placed yet, by their `not_before`.
    pub delayed: BTreeMap<(MilliTime, TaskIndex), WaitingTask>,
    /// The reserved tasks, which wait again if their decision is revoked. Tasks
    /// that a later version of the job does not list are not included.
    pub reserved: BTreeSet<TaskIndex>,
    /// Whether the job is in the `due` sets of its team.
    pub listed_as_due: bool,
    /// The time at which the job is in [`JobTable::wake_times`], if it is there.
    pub wake_at: Option<MilliTime>,
    /// The job gets no hold before this time.
    pub hold_not_before: MilliTime,
}

impl JobState {
    /// Returns whether the job may be placed now: a gang with all tasks ready, or
    /// any other job with a ready task.
    pub fn is_due(&self) -> bool {
        if self.kind == WorkKind::Gang {
            self.ready.len() == self.task_count as usize && self.delayed.is_empty()
        } else {
            !self.ready.is_empty()
        }
    }

    /// Returns the number of waiting tasks.
    pub fn waiting_count(&self) -> usize {
        self.ready.len() + self.delayed.len()
    }

    /// Returns the time since the job was submitted.
    pub fn waited(&self, now: MilliTime) -> MilliSpan {
        now.since(self.times.submitted)
    }

    /// Returns whether the job has waited long enough for a hold and is not
    /// excluded after a failed one.
    pub fn is_eligible_for_hold(&self, limits: &HoldLimits, now: MilliTime) -> bool {
        let min_wait = match self.kind {
            WorkKind::Gang => limits.gang_after,
            _ => limits.non_gang_after,
        };
        self.waited(now) >= min_wait && now >= self.hold_not_before
    }

    /// Moves delayed tasks whose `not_before` has passed to the ready tasks.
    pub fn wake_tasks(&mut self, now: MilliTime) {
        while let Some(entry) = self.delayed.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let task = entry.remove();
            self.ready.insert(task.task, task);
        }
    }

    /// Adds a task that the job lists, according to its state.
    pub fn add_listed(&mut self, listed: ListedTask) {
        match listed {
            ListedTask::Waiting(task) => self.add_task(task),
            ListedTask::Reserved(index) => {
                self.reserved.insert(index);
            }
            ListedTask::Committed => {}
        }
    }

    /// Adds a waiting task. A task with a `not_before` becomes ready only in
    /// [`JobState::wake_tasks`].
    pub fn add_task(&mut self, task: WaitingTask) {
        if task.not_before == MilliTime::ZERO {
            self.ready.insert(task.task, task);
        } else {
            self.delayed.insert((task.not_before, task.task), task);
        }
    }

    /// Returns a waiting task, ready or delayed.
    pub fn find_task(&self, task: TaskIndex) -> Option<&WaitingTask> {
        let delayed = || self.delayed.values().find(|waiting| waiting.task == task);
        self.ready.get(&task).or_else(delayed)
    }

    /// Removes a waiting task, if there is one.
    pub fn remove_waiting_task(&mut self, task: TaskIndex) {
        if self.ready.remove(&task).is_none() {
            self.delayed.retain(|(_, index), _| *index != task);
        }
    }
}

/// All jobs.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    jobs: SlotMap<JobKey, JobState>,
    by_id: HashMap<JobId, JobKey>,
    /// The first `not_before` of each job with delayed tasks.
    wake_times: BTreeSet<(MilliTime, JobKey)>,
}

impl JobTable {
    pub fn get(&self, key: JobKey) -> Option<&JobState> {
        self.jobs.get(key)
    }

    pub fn get_mut(&mut self, key: JobKey) -> Option<&mut JobState> {
        self.jobs.get_mut(key)
    }

    /// Returns the key of a job.
    pub fn find(&self, id: JobId) -> Option<JobKey> {
        self.by_id.get(&id).copied()
    }

    pub fn iter(&self) -> impl Iterator<Item = &JobState> {
        self.jobs.values()
    }

    /// Adds a job. The table must not contain a job with the same id.
    pub fn insert(&mut self, job: JobState) -> JobKey {
        let id = job.id;
        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
        key
    }

    /// Removes a job, also from the wake times.
    pub fn remove(&mut self, key: JobKey) -> Option<JobState> {
        let job = self.jobs.remove(key)?;
        self.by_id.remove(&job.id);
        if let Some(time) = job.wake_at {
            self.wake_times.remove(&(time, key));
        }
        Some(job)
    }

    /// Updates the wake time of a job after its delayed tasks changed.
    pub fn update_wake_time(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let wanted = job.delayed.first_key_value().map(|((time, _), _)| *time);
        if job.wake_at == wanted {
            return;
        }
        if let Some(old) = job.wake_at {
            self.wake_times.remove(&(old, key));
        }
        if let Some(new) = wanted {
            self.wake_times.insert((new, key));
        }
        job.wake_at = wanted;
    }

    /// Returns a job with a delayed task whose `not_before` has passed.
    pub fn next_to_wake(&self, now: MilliTime) -> Option<JobKey> {
        let (time, key) = self.wake_times.first()?;
        (*time <= now).then_some(*key)
    }
}

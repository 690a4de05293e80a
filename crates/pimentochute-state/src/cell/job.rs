//! The state of a job and its life cycle.

use pimentochute_base::{MilliTime, TaskIndex, WorkKind};
use serde::{Deserialize, Serialize};

use super::{RetryCount, TaskState};
use crate::{EndReason, JobSpec, RefuseReason};

/// The state of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobState {
    /// The job as submitted. The command is cleared when the job ends.
    pub spec: JobSpec,
    /// Hash of the fields of the spec that the caller set, to tell a repeated
    /// submission from a conflicting one.
    pub fingerprint: u64,
    /// The position of the job in the order of submission in the cell.
    pub number: u64,
    /// The wall-clock time of the submission.
    pub submitted_at: MilliTime,
    /// The phase of the job's life cycle.
    pub phase: JobPhase,
    /// The tasks by index; `spec.tasks` of them until the job has ended, then
    /// all of them or none.
    pub tasks: Vec<TaskState>,
    /// The number of live tasks.
    pub live: u32,
    /// The number of tasks that succeeded; kept when the job ends.
    pub succeeded: u32,
    /// How the first unsuccessful task of a gang's current attempt ended. While
    /// set, the other tasks of the attempt are to be stopped. Always `None` for
    /// other kinds.
    pub broken: Option<EndReason>,
    /// The attempts of a gang so far; unused for other kinds.
    pub retries: RetryCount,
}

impl JobState {
    /// Returns whether the job has ended.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        matches!(self.phase, JobPhase::Ended { .. })
    }

    /// Returns whether the job's live tasks are to be stopped.
    #[must_use]
    pub const fn is_stopping(&self) -> bool {
        matches!(self.phase, JobPhase::Ending { .. }) || self.broken.is_some()
    }

    /// Returns the outcome; `None` until the job has ended.
    #[must_use]
    pub const fn outcome(&self) -> Option<JobOutcome> {
        match self.phase {
            JobPhase::Ended { outcome, .. } => Some(outcome),
            _ => None,
        }
    }

    /// Returns when the job ended; `None` until then.
    #[must_use]
    pub const fn ended_at(&self) -> Option<MilliTime> {
        match self.phase {
            JobPhase::Ended { at, .. } => Some(at),
            _ => None,
        }
    }

    /// Returns a task; `None` if the index is out of range or the tasks were
    /// removed when the job ended.
    #[must_use]
    pub fn task(&self, task: TaskIndex) -> Option<&TaskState> {
        self.tasks.get(usize::try_from(task.get()).ok()?)
    }

    /// Returns the tasks with their indexes.
    pub fn indexed_tasks(&self) -> impl Iterator<Item = (TaskIndex, &TaskState)> {
        (0..).map(TaskIndex::new).zip(&self.tasks)
    }

    pub(super) fn task_mut(&mut self, task: TaskIndex) -> Option<&mut TaskState> {
        self.tasks.get_mut(usize::try_from(task.get()).ok()?)
    }

    /// Returns whether every task has succeeded; never true for a service.
    pub(super) fn is_complete(&self) -> bool {
        self.spec.kind != WorkKind::Service && self.succeeded == self.spec.tasks
    }
}

/// The phase of a job's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum JobPhase {
    /// The job's waiting tasks may be placed.
    Active,
    /// No more tasks are placed, and live ones are to be stopped. The job ends
    /// with `outcome` unless all of its tasks succeed first.
    Ending {
        /// The outcome that the job will have.
        outcome: JobOutcome,
    },
    /// The job has ended and has no live tasks.
    Ended {
        /// The final outcome.
        outcome: JobOutcome,
        /// The wall-clock time of the end.
        at: MilliTime,
    },
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum JobOutcome {
    /// Every task succeeded.
    Succeeded,
    /// A task failed on every allowed attempt.
    Failed {
        /// The task that used up its attempts. For a gang, the last task to end.
        task: TaskIndex,
        /// The number of attempts that failed or were refused.
        failures: u32,
    },
    /// The job was cancelled.
    Cancelled,
    /// The job cannot run.
    Refused {
        /// The reason of the refusal.
        reason: RefuseReason,
    },
}

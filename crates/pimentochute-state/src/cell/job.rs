//! Jobs.

use pimentochute_base::{MilliTime, TaskIndex, WorkKind};
use serde::{Deserialize, Serialize};

use super::{RetryCount, TaskState};
use crate::{EndReason, JobSpec, RefuseReason};

/// The state of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobState {
    /// The job as submitted. The command is empty once the job has ended.
    pub spec: JobSpec,
    /// Identifies the spec as submitted.
    pub fingerprint: u64,
    /// Counts the jobs of the cell in log order.
    pub number: u64,
    /// When the job was submitted.
    pub submitted_at: MilliTime,
    /// How far the job is.
    pub phase: JobPhase,
    /// The tasks; as many as the spec says until the job has ended, then all
    /// or none.
    pub tasks: Vec<TaskState>,
    /// The number of `tasks` that have a place.
    pub live: u32,
    /// The number of tasks that succeeded; kept after the job has ended.
    pub succeeded: u32,
    /// How the first task of a gang's attempt ended that did not succeed. The
    /// other tasks of the attempt are to be stopped. None for other kinds.
    pub broken: Option<EndReason>,
    /// The attempts of a gang; unused for other kinds.
    pub retries: RetryCount,
}

impl JobState {
    /// Tells whether the job has ended.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        matches!(self.phase, JobPhase::Ended { .. })
    }

    /// Tells whether the job's placed tasks are to be stopped.
    #[must_use]
    pub const fn is_stopping(&self) -> bool {
        matches!(self.phase, JobPhase::Ending { .. }) || self.broken.is_some()
    }

    /// Returns the outcome of a job that has ended.
    #[must_use]
    pub const fn outcome(&self) -> Option<JobOutcome> {
        match self.phase {
            JobPhase::Ended { outcome, .. } => Some(outcome),
            _ => None,
        }
    }

    /// Returns when the job ended.
    #[must_use]
    pub const fn ended_at(&self) -> Option<MilliTime> {
        match self.phase {
            JobPhase::Ended { at, .. } => Some(at),
            _ => None,
        }
    }

    /// Returns a task.
    #[must_use]
    pub fn task(&self, task: TaskIndex) -> Option<&TaskState> {
        self.tasks.get(usize::try_from(task.get()).ok()?)
    }

    /// Returns the tasks with their positions.
    pub fn indexed_tasks(&self) -> impl Iterator<Item = (TaskIndex, &TaskState)> {
        (0..).map(TaskIndex::new).zip(&self.tasks)
    }

    pub(super) fn task_mut(&mut self, task: TaskIndex) -> Option<&mut TaskState> {
        self.tasks.get_mut(usize::try_from(task.get()).ok()?)
    }

    /// Tells whether every task has succeeded, which a service never has.
    pub(super) fn is_complete(&self) -> bool {
        self.spec.kind != WorkKind::Service && self.succeeded == self.spec.tasks
    }
}

/// How far a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum JobPhase {
    /// Waiting tasks are placed.
    Active,
    /// No task is placed; the placed ones are to be stopped. The job ends with
    /// `outcome` unless every task succeeds before.
    Ending {
        /// The outcome to come.
        outcome: JobOutcome,
    },
    /// The job has ended; no task has a place.
    Ended {
        /// How.
        outcome: JobOutcome,
        /// When.
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
        /// The task.
        task: TaskIndex,
        /// The attempts that count as failed.
        failures: u32,
    },
    /// The job was cancelled.
    Cancelled,
    /// The job can never run.
    Refused {
        /// Why.
        reason: RefuseReason,
    },
}

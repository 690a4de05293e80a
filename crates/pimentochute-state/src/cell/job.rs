//! Jobs and their tasks.

use pimentochute_base::{
    AttemptNumber, MilliSpan, MilliTime, TaskIndex, WorkKind, WorkerIncarnation, WorkerName,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::limits::{MAX_FAILED_WORKERS, RETRY_BASE, RETRY_LIMIT};
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

/// The state of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskState {
    /// How far the task is.
    pub phase: TaskPhase,
    /// The workers that the task failed on or was refused by, each once; the
    /// last one is the latest.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub failed_on: SmallVec<[WorkerName; 2]>,
    /// The attempts so far; unused for the tasks of a gang.
    #[serde(default, skip_serializing_if = "RetryCount::is_zero")]
    pub retries: RetryCount,
}

impl TaskState {
    /// Returns the state of a new job's task.
    pub(super) fn new(submitted_at: MilliTime) -> Self {
        Self {
            phase: TaskPhase::Waiting {
                next: AttemptNumber::new(1),
                not_before: submitted_at,
            },
            failed_on: SmallVec::new(),
            retries: RetryCount::default(),
        }
    }

    /// Remembers a worker that the task failed on.
    pub(super) fn avoid(&mut self, worker: WorkerName) {
        self.failed_on.retain(|other| *other != worker);
        if self.failed_on.len() >= MAX_FAILED_WORKERS {
            self.failed_on.remove(0);
        }
        self.failed_on.push(worker);
    }
}

/// How far a task is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum TaskPhase {
    /// The task waits for a place.
    Waiting {
        /// The number of the next attempt.
        next: AttemptNumber,
        /// The attempt is not placed before this wall-clock time.
        not_before: MilliTime,
    },
    /// The task has a place and was not seen running.
    Placed {
        /// The attempt.
        attempt: AttemptNumber,
        /// The worker.
        worker: WorkerName,
        /// The run of the worker's process.
        incarnation: WorkerIncarnation,
        /// When the task was placed.
        at: MilliTime,
    },
    /// The task was seen running.
    Running {
        /// The attempt.
        attempt: AttemptNumber,
        /// The worker.
        worker: WorkerName,
        /// The run of the worker's process.
        incarnation: WorkerIncarnation,
        /// When it was seen running.
        at: MilliTime,
    },
    /// The task's last attempt ended. It is final unless the task belongs to
    /// a gang that is tried again.
    Done {
        /// The last attempt; zero if there was none.
        attempt: AttemptNumber,
        /// How it ended.
        reason: EndReason,
        /// The worker of the last attempt; none if the task was waiting.
        worker: Option<WorkerName>,
    },
}

impl TaskPhase {
    /// Tells whether the task has a place.
    #[must_use]
    pub const fn is_live(&self) -> bool {
        matches!(self, Self::Placed { .. } | Self::Running { .. })
    }

    /// Returns the attempt and the place of a task that has one.
    #[must_use]
    pub const fn place(&self) -> Option<(AttemptNumber, &WorkerName, WorkerIncarnation)> {
        match self {
            Self::Placed {
                attempt,
                worker,
                incarnation,
                ..
            }
            | Self::Running {
                attempt,
                worker,
                incarnation,
                ..
            } => Some((*attempt, worker, *incarnation)),
            _ => None,
        }
    }

    /// Returns the number of the last attempt; zero if there was none.
    #[must_use]
    pub const fn last_attempt(&self) -> AttemptNumber {
        match self {
            Self::Waiting { next, .. } => AttemptNumber::new(next.get().saturating_sub(1)),
            Self::Placed { attempt, .. }
            | Self::Running { attempt, .. }
            | Self::Done { attempt, .. } => *attempt,
        }
    }
}

/// Counts of the attempts of a task or a gang.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryCount {
    /// The attempts that failed or were refused.
    pub failures: u32,
    /// The part of `failures` that a worker refused, so that nothing ran.
    pub refusals: u32,
    /// The attempts in a row that ended early, whatever the reason.
    pub streak: u32,
}

impl RetryCount {
    /// Tells whether no attempt is counted.
    #[must_use]
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// Counts an attempt and returns the wait before the next one.
    pub(super) fn count(&mut self, reason: EndReason, long_run: bool) -> MilliSpan {
        if reason == EndReason::Stopped {
            return MilliSpan::ZERO;
        }
        if matches!(reason, EndReason::Failed | EndReason::RefusedByWorker) {
            self.failures = self.failures.saturating_add(1);
        }
        if reason == EndReason::RefusedByWorker {
            self.refusals = self.refusals.saturating_add(1);
        }
        self.streak = if long_run {
            1
        } else {
            self.streak.saturating_add(1)
        };
        // The loss of a worker is seldom the task's fault: the first one is
        // followed at once. A task that keeps losing workers is slowed down.
        let lapsed = u32::from(reason == EndReason::Lapsed);
        retry_wait(self.streak - lapsed)
    }

    /// Returns the outcome of the job once every allowed attempt failed.
    pub(super) fn exhausted(&self, max_attempts: u32, task: TaskIndex) -> Option<JobOutcome> {
        if self.failures < max_attempts {
            return None;
        }
        Some(if self.refusals == self.failures {
            JobOutcome::Refused {
                reason: RefuseReason::AttemptsExhausted,
            }
        } else {
            JobOutcome::Failed {
                task,
                failures: self.failures,
            }
        })
    }
}

/// Returns the wait after a number of early ends in a row.
fn retry_wait(streak: u32) -> MilliSpan {
    let Some(doublings) = streak.checked_sub(1) else {
        return MilliSpan::ZERO;
    };
    let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
    let wait = RETRY_BASE.as_millis().saturating_mul(factor);
    MilliSpan::new(wait.min(RETRY_LIMIT.as_millis()))
}

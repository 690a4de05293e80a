//! Tasks and their attempts.

use pimentochute_base::{
    AttemptNumber, MilliSpan, MilliTime, TaskIndex, WorkerIncarnation, WorkerName,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::JobOutcome;
use super::limits::{BASE_RETRY_DELAY, MAX_FAILED_WORKERS, MAX_RETRY_DELAY};
use crate::{EndReason, RefuseReason};

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
    pub const fn placement(&self) -> Option<(AttemptNumber, &WorkerName, WorkerIncarnation)> {
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
        let expired = u32::from(reason == EndReason::Expired);
        retry_delay(self.streak - expired)
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
fn retry_delay(streak: u32) -> MilliSpan {
    let Some(doublings) = streak.checked_sub(1) else {
        return MilliSpan::ZERO;
    };
    let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
    let wait = BASE_RETRY_DELAY.as_millis().saturating_mul(factor);
    MilliSpan::new(wait.min(MAX_RETRY_DELAY.as_millis()))
}

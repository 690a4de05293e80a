//! The state of a task, its attempts and retry delays.

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
    /// The phase of the task's life cycle.
    pub phase: TaskPhase,
    /// The workers that the task failed on or that refused it, latest last,
    /// without duplicates. Further attempts should avoid them.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub failed_on: SmallVec<[WorkerName; 2]>,
    /// The attempts so far; unused for the tasks of a gang, which are counted in
    /// the job.
    #[serde(default, skip_serializing_if = "RetryCount::is_zero")]
    pub retries: RetryCount,
}

impl TaskState {
    /// Creates the state of a task of a new job.
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

    /// Adds a worker to `failed_on`; evicts the oldest one beyond
    /// [`MAX_FAILED_WORKERS`].
    pub(super) fn avoid(&mut self, worker: WorkerName) {
        self.failed_on.retain(|other| *other != worker);
        if self.failed_on.len() >= MAX_FAILED_WORKERS {
            self.failed_on.remove(0);
        }
        self.failed_on.push(worker);
    }
}

/// The phase of a task's life cycle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum TaskPhase {
    /// The task waits to be placed.
    Waiting {
        /// The number of the next attempt.
        next: AttemptNumber,
        /// The wall-clock time before which the attempt is not placed.
        not_before: MilliTime,
    },
    /// The task is placed on a worker and not yet reported as running.
    Placed {
        /// The attempt.
        attempt: AttemptNumber,
        /// The worker.
        worker: WorkerName,
        /// The incarnation of the worker's process.
        incarnation: WorkerIncarnation,
        /// When the task was placed.
        at: MilliTime,
    },
    /// The task was reported as running.
    Running {
        /// The attempt.
        attempt: AttemptNumber,
        /// The worker.
        worker: WorkerName,
        /// The incarnation of the worker's process.
        incarnation: WorkerIncarnation,
        /// When it was first reported as running.
        at: MilliTime,
    },
    /// The task's last attempt ended. Final unless the task belongs to a gang
    /// that is retried.
    Done {
        /// The last attempt; zero if the task was never placed.
        attempt: AttemptNumber,
        /// How it ended.
        reason: EndReason,
        /// The worker of the last attempt; `None` if the task was waiting when
        /// its job started to end.
        worker: Option<WorkerName>,
    },
}

impl TaskPhase {
    /// Returns whether the task is placed or running.
    #[must_use]
    pub const fn is_live(&self) -> bool {
        matches!(self, Self::Placed { .. } | Self::Running { .. })
    }

    /// Returns the attempt, the worker and its incarnation; `None` unless the task
    /// is live.
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

    /// Returns the number of the last attempt; zero if the task was never placed.
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

/// Counts of the ended attempts of a task or a gang, for the retry limit and the
/// retry delay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryCount {
    /// The number of attempts that failed or were refused by a worker.
    pub failures: u32,
    /// The part of `failures` that workers refused, so that nothing ran.
    pub refusals: u32,
    /// The number of attempts in a row that ended before the reset time, except
    /// those that were stopped. An attempt that ran long sets it to one.
    pub streak: u32,
}

impl RetryCount {
    /// Returns whether no attempt was counted.
    #[must_use]
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// Records the end of an attempt and returns the delay before the next one.
    pub(super) fn record_end(&mut self, reason: EndReason, long_run: bool) -> MilliSpan {
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
        // The loss of a worker is seldom the task's fault, so the first loss is
        // retried without delay. A task that keeps losing workers backs off.
        let expired = u32::from(reason == EndReason::Expired);
        retry_delay(self.streak - expired)
    }

    /// Returns the outcome of the job if the allowed attempts are used up. The job
    /// counts as refused if no attempt ever ran.
    pub(super) fn outcome_if_exhausted(
        &self,
        max_attempts: u32,
        task: TaskIndex,
    ) -> Option<JobOutcome> {
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

/// Returns the exponential backoff after a number of early ends in a row.
fn retry_delay(streak: u32) -> MilliSpan {
    let Some(doublings) = streak.checked_sub(1) else {
        return MilliSpan::ZERO;
    };
    let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
    let delay = BASE_RETRY_DELAY.as_millis().saturating_mul(factor);
    MilliSpan::new(delay.min(MAX_RETRY_DELAY.as_millis()))
}

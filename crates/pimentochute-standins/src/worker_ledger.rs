//! What a worker records for an invariant checker.

use pimentochute_base::{AttemptRef, MilliSpan, MilliTime, ResourceAmount, WorkerIncarnation};
use pimentochute_platform::TaskStatus;
use serde::{Deserialize, Serialize};

/// Every start and end of a task on a worker, in the order of occurrence.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLedger {
    /// The starts and ends.
    pub entries: Vec<LedgerEntry>,
    /// The start orders that were refused because they did not fit.
    pub refused_orders: u64,
    /// The starts after which the committed amounts exceeded the capacity.
    pub capacity_violations: u64,
}

/// One start or end of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The attempt.
    pub attempt: AttemptRef,
    /// The run of the worker's process.
    pub incarnation: WorkerIncarnation,
    /// [`TaskStatus::Running`] for a start, otherwise how the task ended.
    pub status: TaskStatus,
    /// The time of the start or end itself, not of its observation.
    pub at: MilliTime,
    /// What the task is given.
    pub demand: ResourceAmount,
    /// What all running tasks are given after this entry.
    pub committed: ResourceAmount,
}

impl WorkerLedger {
    /// Returns the ledger with every time moved by `origin`, which turns
    /// monotonic times into wall-clock times.
    #[must_use]
    pub fn with_origin(mut self, origin: MilliSpan) -> Self {
        for entry in &mut self.entries {
            entry.at = entry.at + origin;
        }
        self
    }
}

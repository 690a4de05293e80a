//! The starts and ends of tasks that a stand-in worker records, for tests that
//! check invariants of the scheduler.

use pimentochute_base::{AttemptRef, MilliSpan, MilliTime, ResourceAmount, WorkerIncarnation};
use pimentochute_platform::TaskStatus;
use serde::{Deserialize, Serialize};

/// Every start and end of a task on a worker, in chronological order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLedger {
    /// One entry for each start and each end.
    pub entries: Vec<LedgerEntry>,
    /// The number of start orders that were refused for lack of free resources.
    pub refused_orders: u64,
    /// The number of entries after which the committed resources exceeded the
    /// capacity.
    pub capacity_violations: u64,
}

/// One start or end of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The attempt of the task that started or ended.
    pub attempt: AttemptRef,
    /// The incarnation of the worker at that time.
    pub incarnation: WorkerIncarnation,
    /// [`TaskStatus::Running`] for a start, otherwise how the task ended.
    pub status: TaskStatus,
    /// When the task started or ended, not when the worker was asked for it.
    pub at: MilliTime,
    /// The resources that the task occupies.
    pub demand: ResourceAmount,
    /// The resources that all running tasks occupy after this entry.
    pub committed: ResourceAmount,
}

impl WorkerLedger {
    /// Returns the ledger with `origin` added to every time, which converts
    /// monotonic times to wall-clock times.
    #[must_use]
    pub fn with_origin(mut self, origin: MilliSpan) -> Self {
        for entry in &mut self.entries {
            entry.at = entry.at + origin;
        }
        self
    }
}

//! Plans one reconciliation round with a worker.

use std::collections::BTreeMap;

use pimentochute_base::{AttemptRef, ResourceAmount};
use pimentochute_platform::{TaskStatus, WorkerReport};
use pimentochute_state::EndReason;

/// The commands and records of one round.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReconcilePlan {
    /// The attempts to start.
    pub starts: Vec<AttemptRef>,
    /// The attempts to stop.
    pub stops: Vec<AttemptRef>,
    /// The ended attempts whose reports the worker may forget.
    pub forgets: Vec<AttemptRef>,
    /// The attempts whose start is to be recorded.
    pub starts_to_record: Vec<AttemptRef>,
    /// The attempts whose end is to be recorded.
    pub ends_to_record: Vec<(AttemptRef, EndReason)>,
}

impl ReconcilePlan {
    /// Compares the placed attempts with the worker's report.
    ///
    /// Attempts that should not run and are not reported are added to `abandoned`.
    #[must_use]
    pub fn new(
        placed: &BTreeMap<AttemptRef, PlacedTask>,
        report: &WorkerReport,
        abandoned: &mut AbandonedTasks,
    ) -> Self {
        abandoned.retain_placed(placed);
        let mut plan = Self::default();
        let mut reported = BTreeMap::new();
        for task in &report.tasks {
            reported.insert(task.attempt, task.status);
            plan.add_reported(task.attempt, task.status, placed.get(&task.attempt));
        }
        let unreported = placed
            .iter()
            .filter(|(attempt, _)| !reported.contains_key(attempt));
        for (attempt, task) in unreported {
            if !task.should_run {
                abandoned.add(*attempt, EndReason::Stopped);
            }
            match abandoned.reasons.get(attempt) {
                Some(reason) => plan.ends_to_record.push((*attempt, *reason)),
                None => plan.starts.push(*attempt),
            }
        }
        plan
    }

    fn add_reported(
        &mut self,
        attempt: AttemptRef,
        status: TaskStatus,
        placed: Option<&PlacedTask>,
    ) {
        match (placed, end_reason(status)) {
            (Some(_), Some(reason)) => self.ends_to_record.push((attempt, reason)),
            (None, Some(_)) => self.forgets.push(attempt),
            (None, None) => self.stops.push(attempt),
            (Some(task), None) if !task.should_run => self.stops.push(attempt),
            (Some(task), None) if !task.start_recorded => self.starts_to_record.push(attempt),
            (Some(_), None) => {}
        }
    }
}

/// A live attempt on the worker according to the replicated state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedTask {
    /// The resources that the task gets.
    pub demand: ResourceAmount,
    /// The command that the worker executes.
    pub command: String,
    /// Whether the task should keep running.
    pub should_run: bool,
    /// Whether the start is recorded in the log.
    pub start_recorded: bool,
}

/// Attempts that ended without running: the worker refused them, or they were
/// no longer needed.
///
/// They must not be started under this epoch, even if they are needed again: the
/// record of their end may be on its way to the log, and the task could then run
/// twice. Under a new epoch they may be started, since the record then either
/// precedes that epoch in the log or is invalid.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AbandonedTasks {
    reasons: BTreeMap<AttemptRef, EndReason>,
}

impl AbandonedTasks {
    /// Adds an attempt; a reason that was added earlier is kept.
    pub fn add(&mut self, attempt: AttemptRef, reason: EndReason) {
        self.reasons.entry(attempt).or_insert(reason);
    }

    /// Removes every attempt, when a new epoch begins.
    pub fn clear(&mut self) {
        self.reasons.clear();
    }

    fn retain_placed(&mut self, placed: &BTreeMap<AttemptRef, PlacedTask>) {
        self.reasons
            .retain(|attempt, _| placed.contains_key(attempt));
    }
}

/// Returns how a task ended; `None` while it runs.
const fn end_reason(status: TaskStatus) -> Option<EndReason> {
    match status {
        TaskStatus::Running => None,
        TaskStatus::Succeeded => Some(EndReason::Succeeded),
        TaskStatus::Failed => Some(EndReason::Failed),
        TaskStatus::Stopped => Some(EndReason::Stopped),
        TaskStatus::Expired => Some(EndReason::Expired),
    }
}

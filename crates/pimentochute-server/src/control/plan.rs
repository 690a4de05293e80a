//! Works out what one round with a worker has to do.

use std::collections::BTreeMap;

use pimentochute_base::{AttemptRef, ResourceAmount};
use pimentochute_platform::{TaskStatus, WorkerReport};
use pimentochute_state::EndReason;

/// A live attempt on the worker, as the state has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedTask {
    /// What the task is given.
    pub demand: ResourceAmount,
    /// What the task does.
    pub command: String,
    /// Whether the task is to be kept running.
    pub desired: bool,
    /// Whether its start is recorded.
    pub started: bool,
}

/// The attempts that a manager reports as ended without the worker knowing
/// them: the worker refused them, or they were no longer wanted.
///
/// Such an attempt is never started under the same epoch, even if it would be
/// wanted again: the record of its end may be on its way, and would let the
/// task be placed a second time. A new epoch makes that record invalid, or it
/// was read back before the epoch was.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AbandonedTasks {
    reasons: BTreeMap<AttemptRef, EndReason>,
}

impl AbandonedTasks {
    /// Adds an attempt; the first reason stays.
    pub fn add(&mut self, attempt: AttemptRef, reason: EndReason) {
        self.reasons.entry(attempt).or_insert(reason);
    }

    /// Forgets every attempt, for a new epoch.
    pub fn clear(&mut self) {
        self.reasons.clear();
    }

    fn retain_placed(&mut self, placed: &BTreeMap<AttemptRef, PlacedTask>) {
        self.reasons
            .retain(|attempt, _| placed.contains_key(attempt));
    }
}

/// What a round has to do.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RoundPlan {
    /// The attempts to start.
    pub starts: Vec<AttemptRef>,
    /// The attempts to stop.
    pub stops: Vec<AttemptRef>,
    /// The ended attempts whose reports the worker may drop.
    pub forgets: Vec<AttemptRef>,
    /// The attempts whose start is to be recorded.
    pub started: Vec<AttemptRef>,
    /// The attempts whose end is to be recorded.
    pub ended: Vec<(AttemptRef, EndReason)>,
}

impl RoundPlan {
    /// Works out a round from the state and the worker's report.
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
            if !task.desired {
                abandoned.add(*attempt, EndReason::Stopped);
            }
            match abandoned.reasons.get(attempt) {
                Some(reason) => plan.ended.push((*attempt, *reason)),
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
            (Some(_), Some(reason)) => self.ended.push((attempt, reason)),
            (None, Some(_)) => self.forgets.push(attempt),
            (None, None) => self.stops.push(attempt),
            (Some(task), None) if !task.desired => self.stops.push(attempt),
            (Some(task), None) if !task.started => self.started.push(attempt),
            (Some(_), None) => {}
        }
    }
}

/// Returns how a task ended; none if it runs.
const fn end_reason(status: TaskStatus) -> Option<EndReason> {
    match status {
        TaskStatus::Running => None,
        TaskStatus::Succeeded => Some(EndReason::Succeeded),
        TaskStatus::Failed => Some(EndReason::Failed),
        TaskStatus::Stopped => Some(EndReason::Stopped),
        TaskStatus::Expired => Some(EndReason::Expired),
    }
}

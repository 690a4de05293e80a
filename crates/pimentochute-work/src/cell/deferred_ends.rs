//! Ends of runs that are recorded together: a record holds the progress of its whole job, so
//! that a job of many tasks would be written once for each end.

use std::collections::BTreeSet;

use pimentochute_base::{MilliSpan, MilliTime};

use super::WorkCell;
use super::records::StagedAction;
use crate::JobKey;

/// The longest time that an end waits for others. Until it is recorded, its worker lists it
/// again.
const MAX_END_DELAY: MilliSpan = MilliSpan::new(400);

/// An end waits this many times as long as an order waits for the link.
const DELAYS_OF_AN_ORDER: u64 = 4;

/// Ends that wait to be recorded. A worker may forget its ends only once all that came
/// before are in the log, so the acknowledgements wait together with the jobs.
#[derive(Debug, Default)]
pub(super) struct DeferredEnds {
    /// The jobs whose progress has changed only by ends of runs.
    jobs: BTreeSet<JobKey>,
    actions: Vec<StagedAction>,
    /// When they are recorded at the latest; `None` if there are none.
    due: Option<MilliTime>,
}

impl DeferredEnds {
    /// Returns when the ends have to be recorded; `None` if there are none.
    pub(super) const fn due(&self) -> Option<MilliTime> {
        self.due
    }
}

impl WorkCell {
    /// Has the progress of a job recorded in which a task is done and nothing else changed.
    pub(super) fn record_done_task(&mut self, key: JobKey) {
        let delay = self.order_delay.as_millis() * DELAYS_OF_AN_ORDER;
        let delay = MilliSpan::new(delay).min(MAX_END_DELAY);
        if delay == MilliSpan::ZERO && self.deferred_ends.due.is_none() {
            self.dirty.insert(key);
            return;
        }
        let due = self.now + delay;
        let known = self.deferred_ends.due.get_or_insert(due);
        *known = due.min(*known);
        self.deferred_ends.jobs.insert(key);
    }

    /// Stages the acknowledgement of ends, behind the ends that are not recorded yet.
    pub(super) fn stage_acknowledgement(&mut self, action: StagedAction) {
        if self.deferred_ends.due.is_some() {
            self.deferred_ends.actions.push(action);
        } else {
            self.staged.push(action);
        }
    }

    /// Has the ends recorded in the next batch if they are due.
    pub(super) fn record_due_ends(&mut self) {
        if self.deferred_ends.due.is_some_and(|due| due <= self.now) {
            let ends = std::mem::take(&mut self.deferred_ends);
            self.dirty.extend(ends.jobs);
            self.staged.extend(ends.actions);
        }
    }
}

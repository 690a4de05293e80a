//! Limits the polls that are in flight to workers without control.
//!
//! A new owner has to poll all workers, and after a congestion of its link it has to poll
//! them again. The answers may be large, because they repeat all ends that are not
//! acknowledged. If their sum exceeded what the link takes within the timeout, no poll
//! would ever succeed.

use pimentochute_base::{MilliSpan, MilliTime};

/// The number of polls that a new owner sends at once. Their answers, of 1 KB each, pass a
/// link of 2 Mbit/s in less than half of the timeout of a poll.
const FIRST_LIMIT: usize = 64;

/// The smallest number of polls in flight. It exceeds one, since workers that are gone do
/// not answer either.
const MIN_LIMIT: usize = 8;

/// The largest limit; it bounds how far the limit may exceed what is needed.
const MAX_LIMIT: usize = 512;

/// A poll that fails sooner was refused or could not connect, which is no congestion.
const MIN_LATE_TIME: MilliSpan = MilliSpan::new(250);

/// The shortest time between two reductions: polls that were sent together fail together.
const CUT_INTERVAL: MilliSpan = MilliSpan::new(500);

/// How many polls may be in flight to workers without control.
#[derive(Debug)]
pub(super) struct PollWindow {
    limit: usize,
    cut_at: Option<MilliTime>,
}

impl PollWindow {
    pub(super) const fn new() -> Self {
        Self {
            limit: FIRST_LIMIT,
            cut_at: None,
        }
    }

    /// Returns how many polls may be sent while `open` are in flight.
    pub(super) const fn free(&self, open: usize) -> usize {
        self.limit.saturating_sub(open)
    }

    /// Records the result of a poll that took `took`.
    pub(super) fn record(&mut self, is_answered: bool, took: MilliSpan, now: MilliTime) {
        if is_answered {
            self.limit = (self.limit + 1).min(MAX_LIMIT);
            return;
        }
        let may_cut = self.cut_at.is_none_or(|at| now.since(at) >= CUT_INTERVAL);
        if took >= MIN_LATE_TIME && may_cut {
            self.limit = (self.limit / 2).max(MIN_LIMIT);
            self.cut_at = Some(now);
        }
    }
}

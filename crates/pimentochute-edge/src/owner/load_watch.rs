//! Decides when a new owner gives up loading the cell, so that another host can.

use pimentochute_base::{MilliSpan, MilliTime};

/// A load without a further page for this long has failed. It exceeds the usual outages of
/// the log, after which the load continues.
const MAX_STALL: MilliSpan = MilliSpan::new(5_000);

/// The same while there is a larger host, which probably has a wider link.
const MAX_STALL_BELOW_LARGER: MilliSpan = MilliSpan::new(2_500);

/// After a failed load, a host leaves the cell to others for this long. The time doubles
/// with each further failure.
const FIRST_BACKOFF: MilliSpan = MilliSpan::new(1_000);

/// The longest time for which a host leaves the cell to others.
const MAX_BACKOFF: MilliSpan = MilliSpan::new(4_000);

/// The largest number of times that the back-off doubles.
const MAX_DOUBLINGS: u32 = 2;

/// The progress of the load of one term.
#[derive(Debug, Clone, Copy)]
pub struct LoadWatch {
    pages: u64,
    progress_at: MilliTime,
}

/// The failed loads of a host since its last one that succeeded.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadBackoff {
    failures: u32,
    ends_at: MilliTime,
}

impl LoadWatch {
    /// Creates the watch of a load that begins at `now`.
    #[must_use]
    pub const fn new(now: MilliTime) -> Self {
        Self {
            pages: 0,
            progress_at: now,
        }
    }

    /// Records the number of pages that were read up to `now`; returns whether it has risen.
    pub const fn record_pages(&mut self, pages: u64, now: MilliTime) -> bool {
        if pages <= self.pages {
            return false;
        }
        self.pages = pages;
        self.progress_at = now;
        true
    }

    /// Returns whether the load has made no progress for so long that another host should
    /// try.
    #[must_use]
    pub fn has_stalled(&self, has_larger_host: bool, now: MilliTime) -> bool {
        let limit = if has_larger_host {
            MAX_STALL_BELOW_LARGER
        } else {
            MAX_STALL
        };
        now.since(self.progress_at) >= limit
    }
}

impl LoadBackoff {
    /// Records a load that failed at `now`.
    pub fn record_failure(&mut self, now: MilliTime) {
        let backoff = MilliSpan::new(FIRST_BACKOFF.as_millis() << self.failures);
        self.ends_at = now + backoff.min(MAX_BACKOFF);
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
    }

    /// Records a load that succeeded.
    pub const fn record_success(&mut self) {
        self.failures = 0;
        self.ends_at = MilliTime::ZERO;
    }

    /// Returns when this host may claim the cell again.
    #[must_use]
    pub const fn ends_at(&self) -> MilliTime {
        self.ends_at
    }
}

//! Counts the connections that carry calls.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// The connections of a server against its limit.
///
/// A connection counts from its opening. One that carries an administrative
/// call stops counting, so that a checker does not disturb the count.
#[derive(Debug)]
pub struct ConnectionLimiter {
    limit: u32,
    open: AtomicU32,
    max_open: AtomicU32,
    violations: AtomicU64,
}

impl ConnectionLimiter {
    /// Creates a gate that allows `limit` connections at once.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            open: AtomicU32::new(0),
            max_open: AtomicU32::new(0),
            violations: AtomicU64::new(0),
        }
    }

    /// Returns the connections that are open now.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.open.load(Ordering::SeqCst)
    }

    /// Returns the most connections that were open when a call began.
    #[must_use]
    pub fn max_open(&self) -> u32 {
        self.max_open.load(Ordering::SeqCst)
    }

    /// Returns the connections that began to carry calls beyond the limit.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.violations.load(Ordering::SeqCst)
    }

    /// Counts a connection in.
    pub(crate) fn count_opened(&self) {
        self.open.fetch_add(1, Ordering::SeqCst);
    }

    /// Counts a connection out.
    pub(crate) fn count_closed(&self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }

    /// Notes that a connection carries its first call; returns false and
    /// counts a violation if there are too many.
    pub(crate) fn admit(&self) -> bool {
        let open = self.open();
        self.max_open.fetch_max(open, Ordering::SeqCst);
        let admitted = open <= self.limit;
        if !admitted {
            self.violations.fetch_add(1, Ordering::SeqCst);
        }
        admitted
    }
}

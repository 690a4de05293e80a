//! Limits the open connections of a server.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Counts the open connections of a server and compares them with its limit.
///
/// A connection counts from the time it is opened. If its first call is
/// administrative it stops counting, so that a checker does not affect the
/// count.
#[derive(Debug)]
pub struct ConnectionLimiter {
    limit: u32,
    open: AtomicU32,
    max_open: AtomicU32,
    violations: AtomicU64,
}

impl ConnectionLimiter {
    /// Creates a limiter that allows `limit` open connections.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            open: AtomicU32::new(0),
            max_open: AtomicU32::new(0),
            violations: AtomicU64::new(0),
        }
    }

    /// Returns the number of connections that are open now.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.open.load(Ordering::SeqCst)
    }

    /// Returns the maximum number of connections that were open when one of
    /// them carried its first call.
    #[must_use]
    pub fn max_open(&self) -> u32 {
        self.max_open.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that carried their first call while
    /// too many were open.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.violations.load(Ordering::SeqCst)
    }

    /// Adds a connection to the count.
    pub(crate) fn add(&self) {
        self.open.fetch_add(1, Ordering::SeqCst);
    }

    /// Removes a connection from the count.
    pub(crate) fn remove(&self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }

    /// Records that a connection carries its first call. Returns `false` and
    /// counts a violation if too many connections are open.
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

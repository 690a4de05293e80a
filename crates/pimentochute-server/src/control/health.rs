//! What a host knows about the state of the log.

use std::sync::atomic::{AtomicU64, Ordering};

use pimentochute_base::{MilliClock, MilliSpan, MilliTime};

use crate::peer::ConfigEvidence;

/// Reads as "never" in [`LogHealth::last_read`].
const NEVER: u64 = u64::MAX;

/// When a stream was last read to its end.
#[derive(Debug)]
pub(crate) struct LogHealth {
    clock: MilliClock,
    /// The start of the daemon; the age of a log that was never read.
    started: MilliTime,
    /// When the last read that reached the end began, in milliseconds.
    last_read: AtomicU64,
    /// Whether the last read failed.
    failing: AtomicU64,
}

impl LogHealth {
    /// Creates the state of a log that was not read yet.
    pub(crate) fn new(clock: MilliClock) -> Self {
        let started = clock.now();
        Self {
            clock,
            started,
            last_read: AtomicU64::new(NEVER),
            failing: AtomicU64::new(0),
        }
    }

    /// Notes a read that began at `begun` and reached the end of the stream.
    pub(crate) fn note_read(&self, begun: MilliTime) {
        self.last_read.store(begun.as_millis(), Ordering::SeqCst);
        self.failing.store(0, Ordering::SeqCst);
    }

    /// Notes a read that failed.
    pub(crate) fn note_failure(&self) {
        self.failing.fetch_add(1, Ordering::SeqCst);
    }

    /// Tells whether the stream was ever read to its end.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.last_read.load(Ordering::SeqCst) != NEVER
    }

    /// Returns the time since the last read to the end began.
    pub(crate) fn age(&self) -> MilliSpan {
        let now = self.clock.now();
        match self.last_read.load(Ordering::SeqCst) {
            NEVER => now.since(self.started),
            begun => now.since(MilliTime::new(begun)),
        }
    }

    /// Returns what a heartbeat says about the log.
    ///
    /// A host that never read the log to its end must not serve as evidence
    /// for others, so it counts as unreachable.
    pub(crate) fn evidence(&self) -> ConfigEvidence {
        let age = self.age();
        if self.is_caught_up() && self.failing.load(Ordering::SeqCst) == 0 {
            ConfigEvidence::LogRead { age }
        } else {
            ConfigEvidence::LogUnreachable { age }
        }
    }
}

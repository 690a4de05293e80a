//! What a host knows about the state of the log.

use std::sync::atomic::{AtomicU64, Ordering};

use pimentochute_base::{MilliClock, MilliSpan, MilliTime};

use crate::peer::ConfigEvidence;

/// Reads as "never" in [`LogHealth::last_read_at`].
const NEVER: u64 = u64::MAX;

/// When a stream was last read to its end.
#[derive(Debug)]
pub(crate) struct LogHealth {
    clock: MilliClock,
    /// The start of the daemon; the age of a log that was never read.
    daemon_started_at: MilliTime,
    /// When the last read that reached the end began, in milliseconds.
    last_read_at: AtomicU64,
    /// Whether the last read failed.
    failed_reads: AtomicU64,
}

impl LogHealth {
    /// Creates the state of a log that was not read yet.
    pub(crate) fn new(clock: MilliClock) -> Self {
        let daemon_started_at = clock.now();
        Self {
            clock,
            daemon_started_at,
            last_read_at: AtomicU64::new(NEVER),
            failed_reads: AtomicU64::new(0),
        }
    }

    /// Notes a read that began at `started_at` and reached the end of the stream.
    pub(crate) fn record_read(&self, started_at: MilliTime) {
        self.last_read_at
            .store(started_at.as_millis(), Ordering::SeqCst);
        self.failed_reads.store(0, Ordering::SeqCst);
    }

    /// Notes a read that failed.
    pub(crate) fn record_failure(&self) {
        self.failed_reads.fetch_add(1, Ordering::SeqCst);
    }

    /// Tells whether the stream was ever read to its end.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.last_read_at.load(Ordering::SeqCst) != NEVER
    }

    /// Returns the time since the last read to the end began.
    pub(crate) fn age(&self) -> MilliSpan {
        let now = self.clock.now();
        match self.last_read_at.load(Ordering::SeqCst) {
            NEVER => now.since(self.daemon_started_at),
            started_at => now.since(MilliTime::new(started_at)),
        }
    }

    /// Returns what a heartbeat says about the log.
    ///
    /// A host that never read the log to its end must not serve as evidence
    /// for others, so it counts as unreachable.
    pub(crate) fn evidence(&self) -> ConfigEvidence {
        let age = self.age();
        if self.is_caught_up() && self.failed_reads.load(Ordering::SeqCst) == 0 {
            ConfigEvidence::LogRead { age }
        } else {
            ConfigEvidence::LogUnreachable { age }
        }
    }
}

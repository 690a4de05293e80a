//! Tracks when a host could last read a stream of the log.

use std::sync::atomic::{AtomicU64, Ordering};

use pimentochute_base::{MilliClock, MilliSpan, MilliTime};

use crate::peer::ConfigEvidence;

/// The value of [`LogHealth::last_read_at`] before the first read to the end.
const NEVER: u64 = u64::MAX;

/// When this host last read a stream to its end, and the failures since.
#[derive(Debug)]
pub(crate) struct LogHealth {
    clock: MilliClock,
    /// The start of the daemon, from which the age counts before the first
    /// read.
    daemon_started_at: MilliTime,
    /// When the last read that reached the end started, in milliseconds.
    last_read_at: AtomicU64,
    /// The failed reads since the last one that reached the end.
    failed_reads: AtomicU64,
}

impl LogHealth {
    /// Creates the state of a stream that has not been read yet.
    pub(crate) fn new(clock: MilliClock) -> Self {
        let daemon_started_at = clock.now();
        Self {
            clock,
            daemon_started_at,
            last_read_at: AtomicU64::new(NEVER),
            failed_reads: AtomicU64::new(0),
        }
    }

    /// Records a read that started at `started_at` and reached the end of the
    /// stream.
    pub(crate) fn record_read(&self, started_at: MilliTime) {
        self.last_read_at
            .store(started_at.as_millis(), Ordering::SeqCst);
        self.failed_reads.store(0, Ordering::SeqCst);
    }

    /// Records a failed read.
    pub(crate) fn record_failure(&self) {
        self.failed_reads.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns whether the stream was read to its end at least once since the
    /// daemon started. Stays true when later reads fail.
    pub(crate) fn has_caught_up_once(&self) -> bool {
        self.last_read_at.load(Ordering::SeqCst) != NEVER
    }

    /// Returns the time since the start of the last read that reached the end.
    pub(crate) fn age(&self) -> MilliSpan {
        let now = self.clock.now();
        match self.last_read_at.load(Ordering::SeqCst) {
            NEVER => now.since(self.daemon_started_at),
            started_at => now.since(MilliTime::new(started_at)),
        }
    }

    /// Returns the evidence that heartbeats carry.
    ///
    /// A host that never read the log to its end must not vouch for others, so
    /// it reports the log as unreachable.
    pub(crate) fn evidence(&self) -> ConfigEvidence {
        let age = self.age();
        if self.has_caught_up_once() && self.failed_reads.load(Ordering::SeqCst) == 0 {
            ConfigEvidence::LogRead { age }
        } else {
            ConfigEvidence::LogUnreachable { age }
        }
    }
}

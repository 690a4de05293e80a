//! The times and limits by which a cell works.

use pimentochute_base::MilliSpan;

use crate::worker::stretched_span;

/// The times and limits by which a cell works.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CellPolicy {
    /// The leases of workers.
    pub lease: LeasePolicy,
    /// Looks at workers.
    pub poll: PollPolicy,
    /// How long an ended job is known.
    pub ended_job_retention: MilliSpan,
    /// The longest stop of a run.
    pub stop_timeout: MilliSpan,
    /// A run without progress for this long is stopped and started elsewhere.
    pub stall_timeout: MilliSpan,
    /// The longest time between two rounds.
    pub max_round_interval: MilliSpan,
    /// A draining worker that leaves the list within this time of its last
    /// report has ended; a later departure may be a lapse of its entry.
    pub clean_leave_timeout: MilliSpan,
    /// How long a worker that fails runs is left alone.
    pub avoid_duration: MilliSpan,
}

/// The leases of workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasePolicy {
    /// The length of a lease on the worker's clock. Longer than the partitions
    /// that a run should survive, shorter than the platform's maximum.
    pub duration: MilliSpan,
    /// The longest lease that a worker accepts.
    pub max_lease: MilliSpan,
    /// How long an owner that cannot reach the log goes on renewing leases.
    pub unconfirmed_timeout: MilliSpan,
    /// How much slower a worker's clock may be, in thousandths.
    pub clock_drift_permille: u64,
    /// What is added to the computed end of a lease, for timers that fire late.
    pub margin: MilliSpan,
}

/// Looks at workers: each renews the lease and returns what ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollPolicy {
    /// How long a worker may hold back the answer until something ends.
    pub max_wait: MilliSpan,
    /// The pause between two looks at a worker, which lets ends gather.
    pub interval: MilliSpan,
    /// The pause after a look without an answer.
    pub retry_delay: MilliSpan,
}

impl LeasePolicy {
    /// Returns how long a span of a worker's clock may take.
    #[must_use]
    pub fn stretched(&self, span: MilliSpan) -> MilliSpan {
        stretched_span(span, self.clock_drift_permille)
    }

    /// Returns how long after a change of owner the previous owner's leases
    /// may last.
    #[must_use]
    pub fn inherited_duration(&self) -> MilliSpan {
        self.unconfirmed_timeout + self.stretched(self.duration)
    }
}

impl Default for CellPolicy {
    fn default() -> Self {
        Self {
            lease: LeasePolicy {
                duration: MilliSpan::new(7_000),
                max_lease: MilliSpan::new(10_000),
                unconfirmed_timeout: MilliSpan::new(3_000),
                clock_drift_permille: 20,
                margin: MilliSpan::new(300),
            },
            poll: PollPolicy {
                max_wait: MilliSpan::new(1_000),
                interval: MilliSpan::new(110),
                retry_delay: MilliSpan::new(300),
            },
            ended_job_retention: MilliSpan::new(130_000),
            stop_timeout: MilliSpan::new(400),
            stall_timeout: MilliSpan::new(1_300),
            max_round_interval: MilliSpan::new(100),
            clean_leave_timeout: MilliSpan::new(3_000),
            avoid_duration: MilliSpan::new(4_000),
        }
    }
}

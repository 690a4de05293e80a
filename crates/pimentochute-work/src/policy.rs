//! The time limits and intervals of a cell.

use pimentochute_base::MilliSpan;

use crate::worker::stretched_span;

/// The time limits and intervals of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CellPolicy {
    /// When leases of workers are extended and expire.
    pub lease: LeasePolicy,
    /// How often workers are polled.
    pub poll: PollPolicy,
    /// How long the status of an ended job can be queried.
    pub ended_job_retention: MilliSpan,
    /// The longest time that a worker takes to stop a run.
    pub stop_timeout: MilliSpan,
    /// A run without progress for this long is stopped and its task requeued.
    pub stall_timeout: MilliSpan,
    /// The longest interval between two calls of `WorkCell::run_due_work`.
    pub max_tick_interval: MilliSpan,
    /// A draining worker that leaves the list within this time after it has written its
    /// last entry has ended. If it leaves later, its entry may just have expired.
    pub clean_leave_timeout: MilliSpan,
    /// How long a worker that fails runs gets no new ones.
    pub avoid_duration: MilliSpan,
    /// Nothing starts while the list of evacuated data centres has not been confirmed for
    /// this long; `None` if the age of the list does not matter.
    pub evacuation_grace: Option<MilliSpan>,
    /// The sizes that the log accepts.
    pub record: RecordLimits,
    /// Whether durations and speeds are learnt from runs.
    pub learning: LearningPolicy,
}

/// Whether durations and speeds are learnt from runs, and how much is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LearningPolicy {
    /// Learnt durations and speeds order and place work. Otherwise the callers' estimates
    /// do, and all workers count as equally fast.
    pub is_enabled: bool,
    /// The largest number of kinds of steps whose durations are kept.
    pub max_keys: usize,
}

/// The sizes that the log accepts, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordLimits {
    /// The largest record, with its key.
    pub record_bytes: usize,
    /// The largest sum of the records of one append.
    pub append_bytes: usize,
}

/// The largest part of a record that is not its value: the lengths and the key.
pub(crate) const MAX_RECORD_OVERHEAD: usize = 64;

impl RecordLimits {
    /// Returns the largest value of a record, in bytes.
    #[must_use]
    pub const fn value_bytes(&self) -> usize {
        self.record_bytes.saturating_sub(MAX_RECORD_OVERHEAD)
    }
}

/// When leases of workers are extended and expire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasePolicy {
    /// The length of a lease on the worker's clock. It is longer than the network
    /// partitions that a run should survive and shorter than `max_lease`.
    pub duration: MilliSpan,
    /// The longest lease that a worker accepts.
    pub max_lease: MilliSpan,
    /// How long an owner that cannot reach the log keeps extending leases.
    pub unconfirmed_timeout: MilliSpan,
    /// How much slower than the owner's clock a worker's may be, in thousandths.
    pub clock_drift_permille: u64,
    /// The time added to the computed end of a lease, for timers that fire late.
    pub margin: MilliSpan,
}

/// How often workers are polled. A poll renews the lease and returns the runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollPolicy {
    /// How long a worker may delay its answer until a run ends.
    pub max_wait: MilliSpan,
    /// The delay between an answer and the next poll, in which ends accumulate.
    pub interval: MilliSpan,
    /// The delay after a poll without an answer.
    pub retry_delay: MilliSpan,
}

impl LeasePolicy {
    /// Returns how long a span of a worker's clock may take on the owner's.
    #[must_use]
    pub fn stretched(&self, span: MilliSpan) -> MilliSpan {
        stretched_span(span, self.clock_drift_permille)
    }

    /// Returns how much a worker's clock may advance at least in a span of the owner's.
    #[must_use]
    pub fn shrunk(&self, span: MilliSpan) -> MilliSpan {
        MilliSpan::new(span.as_millis() * (1_000 - self.clock_drift_permille.min(999)) / 1_000)
    }

    /// Returns how long after a change of owner the leases of the previous owner
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
            max_tick_interval: MilliSpan::new(100),
            clean_leave_timeout: MilliSpan::new(3_750),
            avoid_duration: MilliSpan::new(4_000),
            evacuation_grace: None,
            record: RecordLimits {
                record_bytes: 262_144,
                append_bytes: 2_097_152,
            },
            learning: LearningPolicy::default(),
        }
    }
}

impl Default for LearningPolicy {
    fn default() -> Self {
        Self {
            is_enabled: true,
            max_keys: 512,
        }
    }
}

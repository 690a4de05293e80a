//! How much of the relay hosts' time calls of each length take.

use pimentochute_base::{MilliSpan, MilliTime};
use strum::EnumCount;

/// A call that takes longer than this is a long one.
const LONG_CALL: MilliSpan = MilliSpan::new(40);

/// A call that takes longer than this is a very long one.
const VERY_LONG_CALL: MilliSpan = MilliSpan::new(200);

/// The interval after which a quarter of the recorded time is forgotten.
const DECAY_INTERVAL: MilliSpan = MilliSpan::new(500);

/// The recorded time of one host that handles calls all the time: the sum of the
/// decreasing parts of all earlier intervals, four times `DECAY_INTERVAL`.
const FULL_HOST: u64 = 2_000;

/// No host is kept for calls that have taken less than this, in milliseconds.
const MIN_TAKEN: u64 = 50;

/// Hosts are kept for this many times the average load of shorter calls, in percent.
const HEADROOM_PERCENT: u64 = 200;

/// One host in this many is kept for shorter calls at most.
const MIN_HOSTS_PER_KEPT: usize = 2;

/// The length of a call; shorter ones do not wait behind longer ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount)]
pub(crate) enum CallLength {
    Short,
    Long,
    VeryLong,
}

/// The time that calls of each length have taken lately.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallMix {
    /// In milliseconds, by `CallLength`; older calls count less.
    taken: [u64; CallLength::COUNT],
    decayed_at: MilliTime,
}

impl From<MilliSpan> for CallLength {
    fn from(span: MilliSpan) -> Self {
        if span > VERY_LONG_CALL {
            Self::VeryLong
        } else if span > LONG_CALL {
            Self::Long
        } else {
            Self::Short
        }
    }
}

impl CallMix {
    /// Records a call that is made.
    pub(crate) fn record(&mut self, span: MilliSpan, now: MilliTime) {
        self.decay(now);
        self.taken[CallLength::from(span) as usize] += span.as_millis();
    }

    /// Assumes that shorter calls need as many of the `hosts` as may be kept for them,
    /// until it is known what calls are made.
    pub(crate) fn assume_load(&mut self, hosts: usize, now: MilliTime) {
        let kept = hosts / MIN_HOSTS_PER_KEPT;
        let taken = kept as u64 * FULL_HOST * 100 / HEADROOM_PERCENT;
        self.taken[CallLength::Short as usize] = taken * 2 / 3;
        self.taken[CallLength::Long as usize] = taken / 3;
        self.decayed_at = now;
    }

    /// Returns how many of the `hosts` are kept for calls that are shorter than `length`.
    pub(crate) fn kept_hosts(&self, length: CallLength, hosts: usize, now: MilliTime) -> usize {
        let mut mix = self.clone();
        mix.decay(now);
        let shorter = &mix.taken[..length as usize];
        let kept = shorter
            .iter()
            .filter(|taken| **taken >= MIN_TAKEN)
            .map(|taken| (taken * HEADROOM_PERCENT).div_ceil(FULL_HOST * 100));
        let kept = usize::try_from(kept.sum::<u64>()).unwrap_or(usize::MAX);
        kept.min(hosts / MIN_HOSTS_PER_KEPT)
    }

    fn decay(&mut self, now: MilliTime) {
        while now.since(self.decayed_at) >= DECAY_INTERVAL {
            if self.taken.iter().all(|taken| *taken == 0) {
                self.decayed_at = now;
                return;
            }
            self.decayed_at = self.decayed_at + DECAY_INTERVAL;
            for taken in &mut self.taken {
                *taken = *taken * 3 / 4;
            }
        }
    }
}

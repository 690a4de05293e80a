//! Limits how soon a new owner may be replaced after several takeovers.
//!
//! A takeover loads the log, the workers and the new owner's link. If that made
//! the new owner late and it was replaced for it, takeovers would cause each
//! other without end. The time that a new owner gets therefore grows with the
//! number of recent takeovers, and more with those that led to nothing.

use pimentochute_base::{MilliSpan, MilliTime};
use smallvec::SmallVec;

/// Takeovers within this time count.
const PACING_WINDOW: MilliSpan = MilliSpan::new(20_000);

/// This many takeovers within the window are not paced.
const UNPACED_TAKEOVERS: usize = 2;

/// The time that an owner gets after the first takeover that is paced. It doubles
/// with each further one.
const FIRST_PAUSE: MilliSpan = MilliSpan::new(1_000);

/// The longest time that an owner gets.
const MAX_PAUSE: MilliSpan = MilliSpan::new(4_000);

/// The time that an owner gets after one that was replaced before it had loaded the cell. It
/// doubles with each further one.
const FIRST_LOAD_PAUSE: MilliSpan = MilliSpan::new(2_000);

/// The longest time that an owner gets to load the cell.
const MAX_LOAD_PAUSE: MilliSpan = MilliSpan::new(8_000);

/// The number of takeovers that are remembered, as many as lead to the longest
/// pause.
const MAX_REMEMBERED: usize = 8;

/// The times of the recent claims.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClaimPacing {
    /// In the order of time.
    claimed_at: SmallVec<[MilliTime; MAX_REMEMBERED]>,
    /// The number of them since the last owner that loaded the cell.
    without_load: usize,
}

impl ClaimPacing {
    /// Records a claim of another owner.
    pub fn record_claim(&mut self, now: MilliTime) {
        self.claimed_at.retain(|at| now.since(*at) <= PACING_WINDOW);
        if self.claimed_at.len() == MAX_REMEMBERED {
            self.claimed_at.remove(0);
        }
        self.claimed_at.push(now);
        self.without_load = (self.without_load + 1).min(self.claimed_at.len());
    }

    /// Records that the present owner has loaded the cell.
    pub const fn record_load(&mut self) {
        self.without_load = 0;
    }

    /// Returns whether an owner whose claim was received at `since` has had enough
    /// time, so that it may be replaced if it is slow.
    #[must_use]
    pub fn may_replace(&self, since: MilliTime, now: MilliTime) -> bool {
        let recent = self.recent(now);
        let pause = growing_pause(FIRST_PAUSE, MAX_PAUSE, recent, UNPACED_TAKEOVERS);
        // The present owner may still load the cell.
        let without_load = self.without_load.min(recent);
        let load_pause = growing_pause(FIRST_LOAD_PAUSE, MAX_LOAD_PAUSE, without_load, 1);
        now.since(since) >= pause.max(load_pause)
    }

    /// Returns the number of takeovers that count now.
    #[must_use]
    pub fn recent(&self, now: MilliTime) -> usize {
        let recent = self.claimed_at.iter();
        recent.filter(|at| now.since(**at) <= PACING_WINDOW).count()
    }
}

/// Returns the pause after a number of takeovers, of which `free` cause none.
fn growing_pause(first: MilliSpan, longest: MilliSpan, takeovers: usize, free: usize) -> MilliSpan {
    let Some(doublings) = takeovers.checked_sub(free + 1) else {
        return MilliSpan::ZERO;
    };
    let pause = MilliSpan::new(first.as_millis() << doublings.min(MAX_REMEMBERED));
    pause.min(longest)
}

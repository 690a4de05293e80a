//! A queue of events that are due at a simulated time.

use std::collections::BTreeMap;

use pimentochute_base::MilliTime;

/// Events by the time at which they are due; those of the same time keep their order.
#[derive(Debug)]
pub(super) struct TimerQueue<T> {
    events: BTreeMap<(MilliTime, u64), T>,
    next_sequence: u64,
}

impl<T> TimerQueue<T> {
    pub(super) const fn new() -> Self {
        Self {
            events: BTreeMap::new(),
            next_sequence: 0,
        }
    }

    pub(super) fn push(&mut self, due: MilliTime, event: T) {
        self.events.insert((due, self.next_sequence), event);
        self.next_sequence += 1;
    }

    /// Removes the next event that is due by `now`.
    pub(super) fn pop_due(&mut self, now: MilliTime) -> Option<T> {
        let first = self.events.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }
}

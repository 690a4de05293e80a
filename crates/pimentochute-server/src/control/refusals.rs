//! Delays the final refusal of jobs that cannot be placed.

use std::collections::BTreeMap;

use pimentochute_base::{JobId, MilliSpan, MilliTime};
use pimentochute_schedule::UnplaceableJob;

/// The time between two checks of the jobs that cannot be placed.
const CHECK_INTERVAL: MilliSpan = MilliSpan::new(500);

/// The jobs that cannot be placed, and since when.
///
/// A refusal is final, and right after a start or a takeover workers and
/// allotments may not be recorded yet. A job is therefore refused only if it
/// could not be placed at any check during the timeout.
#[derive(Debug)]
pub struct RefusalTimer {
    timeout: MilliSpan,
    next_check_at: MilliTime,
    unplaceable_since: BTreeMap<JobId, MilliTime>,
}

impl RefusalTimer {
    /// Creates a timer without jobs.
    #[must_use]
    pub fn new(timeout: MilliSpan) -> Self {
        Self {
            timeout,
            next_check_at: MilliTime::ZERO,
            unplaceable_since: BTreeMap::new(),
        }
    }

    /// Returns whether the next check of the jobs is due.
    #[must_use]
    pub fn is_check_due(&self, now: MilliTime) -> bool {
        now >= self.next_check_at
    }

    /// Updates the timer with all jobs that cannot be placed now, and returns
    /// those that have been unplaceable for the timeout and are to be refused.
    /// A job that is not passed starts anew the next time.
    pub fn update(
        &mut self,
        now: MilliTime,
        unplaceable_jobs: Vec<UnplaceableJob>,
    ) -> Vec<UnplaceableJob> {
        self.next_check_at = now + CHECK_INTERVAL;
        let earlier = std::mem::take(&mut self.unplaceable_since);
        for unplaceable_job in &unplaceable_jobs {
            let first = earlier.get(&unplaceable_job.job).copied().unwrap_or(now);
            self.unplaceable_since.insert(unplaceable_job.job, first);
        }
        let timeout = self.timeout;
        let unplaceable_since = &self.unplaceable_since;
        let is_due = |unplaceable_job: &UnplaceableJob| {
            unplaceable_since
                .get(&unplaceable_job.job)
                .is_some_and(|first| now.since(*first) >= timeout)
        };
        unplaceable_jobs.into_iter().filter(is_due).collect()
    }
}

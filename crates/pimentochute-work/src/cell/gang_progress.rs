//! The progress of a gang, which is that of its slowest member.
//!
//! The members work only once all of them run, and they end together. On workers of
//! unlike speed, a fast member is done with its part long before the slowest one and then
//! stands still at the full percentage.

use pimentochute_base::MilliTime;

use crate::JobKey;
use crate::job::TaskPlacement;
use crate::worker::PlacedRun;

use super::WorkCell;

/// The progress of a run that is done with its part, in percent.
pub(super) const FULL_PERCENT: u32 = 100;

impl WorkCell {
    /// Returns since when a member of a gang could have made progress and has not, on the
    /// cell's clock; `None` if it waits for other members: one of them has not started, or
    /// this one is done with its part and another one is not.
    pub(super) fn gang_member_still_since(
        &self,
        job_key: JobKey,
        index: usize,
        run: &PlacedRun,
    ) -> Option<MilliTime> {
        let job = &self.jobs[job_key];
        let is_done = run.percent >= FULL_PERCENT;
        let mut since = run.percent_at;
        for member in job.gang_of(index) {
            let TaskPlacement::Placed(worker_key) = job.tasks[member].placement else {
                return None;
            };
            let other = self.workers[worker_key].runs.get(&(job_key, member))?;
            since = since.max(other.acknowledged_at?);
            if is_done {
                if other.percent < FULL_PERCENT {
                    return None;
                }
                since = since.max(other.percent_at);
            }
        }
        Some(since)
    }
}

//! Finds jobs that cannot be placed with the current workers and allotments.

use pimentochute_base::WorkKind;

use crate::job_table::JobState;
use crate::round::FailedDemands;
use crate::{JobPlacer, UnplaceableJob, UnplaceableReason};

impl JobPlacer {
    /// Returns the jobs that cannot be placed with the current workers and
    /// allotments.
    ///
    /// Workers are counted regardless of their readiness. No job is returned
    /// while its team or all workers are unknown. The caller must have added all
    /// workers before. The cost grows with the number of waiting jobs.
    #[must_use]
    pub fn unplaceable_jobs(&self) -> Vec<UnplaceableJob> {
        if self.workers.by_capacity.is_empty() {
            return Vec::new();
        }
        let mut too_large = FailedDemands::default();
        let unplaceable = self.jobs.iter().filter_map(|job| {
            let team = self.teams.get(job.team).filter(|team| team.known)?;
            let reason = self.unplaceable_reason(job, team.allotment, &mut too_large)?;
            Some(UnplaceableJob {
                job: job.id,
                team: team.name.clone(),
                reason,
            })
        });
        unplaceable.collect()
    }

    /// Returns why a job cannot be placed, or `None` if it can. `too_large`
    /// collects demands that no worker is large enough for.
    fn unplaceable_reason(
        &self,
        job: &JobState,
        allotment: u32,
        too_large: &mut FailedDemands,
    ) -> Option<UnplaceableReason> {
        if job.waiting_count() == 0 {
            return None;
        }
        let demand = job.demand;
        if too_large.covers(&demand)
            || self.workers.by_capacity.count_tasks_that_fit(&demand, 1) == 0
        {
            too_large.add(demand);
            return Some(UnplaceableReason::TooLarge { demand });
        }
        if job.kind != WorkKind::Gang {
            return None;
        }
        let tasks = job.task_count;
        if tasks > allotment {
            return Some(UnplaceableReason::OverAllotment { tasks, allotment });
        }
        let max_tasks = self
            .workers
            .by_capacity
            .count_tasks_that_fit(&demand, u64::from(tasks));
        let max_tasks = u32::try_from(max_tasks).unwrap_or(u32::MAX);
        (max_tasks < tasks).then_some(UnplaceableReason::GangTooLarge {
            tasks,
            room: max_tasks,
        })
    }
}

//! The order in which waiting jobs get workers.

use pimentochute_base::{MilliSpan, MilliTime};

use crate::JobKey;
use crate::job::{JobState, TeamRate};

use super::WorkCell;

/// A job that ends later than this many times its objective is worth nothing
/// to its caller.
const LATE_FACTOR: u64 = 3;

/// The place of a job among those that wait; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct JobRank {
    rate: TeamRate,
    prospect: JobProspect,
    priority: u32,
    received: MilliTime,
    pub(super) key: JobKey,
}

/// How useful a job can still be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum JobProspect {
    /// It can end within its objective.
    OnTime,
    /// It can end late, but in time to be of use.
    Late,
    /// It cannot be of use in time any more, and runs when there is room.
    TooLate,
}

impl WorkCell {
    /// Returns the jobs that wait, the most important first.
    pub(super) fn ranked_backlog(&self) -> Vec<JobRank> {
        let ranks = self.backlog.iter().map(|key| self.rank_of(*key));
        let mut ranks: Vec<_> = ranks.collect();
        ranks.sort_unstable();
        ranks
    }

    fn rank_of(&self, key: JobKey) -> JobRank {
        let job = &self.jobs[key];
        let terms = self.terms_of(job);
        JobRank {
            rate: job.rate,
            prospect: self.prospect_of(job, job.objective(&terms)),
            priority: terms.priority,
            received: job.submission.received,
            key,
        }
    }

    fn prospect_of(&self, job: &JobState, objective: MilliTime) -> JobProspect {
        if job.submission.spec.schedule.is_some() {
            return JobProspect::OnTime;
        }
        let end = self.unix_now + remaining_estimate(job);
        let allowed = objective.since(job.submission.received).as_millis();
        let latest = job.submission.received + MilliSpan::new(allowed.saturating_mul(LATE_FACTOR));
        if end <= objective {
            JobProspect::OnTime
        } else if end <= latest {
            JobProspect::Late
        } else {
            JobProspect::TooLate
        }
    }
}

/// Returns the estimated time of the steps that are not done.
fn remaining_estimate(job: &JobState) -> MilliSpan {
    let steps = job.submission.spec.steps.iter().zip(&job.steps);
    let open = steps.filter(|(_, state)| state.unfinished > 0);
    let total = open.map(|(spec, _)| spec.estimate.as_millis()).sum();
    MilliSpan::new(total)
}

//! The order of the jobs of a team within a priority class.

use std::fmt::Debug;

use pimentochute_base::{MilliSpan, MilliTime};

/// The time from submission to the assumed latest start of a job without
/// `finish_by`. It keeps jobs with a deadline from going first forever.
pub const DEFAULT_SLACK: MilliSpan = MilliSpan::new(3_600_000);

/// The times of a job by which it is ranked.
#[derive(Debug, Clone, Copy)]
pub struct JobTimes {
    /// When the job was submitted, on the clock of [`crate::JobPlacer::decide`].
    pub submitted: MilliTime,
    /// The declared run time of each task, if any.
    pub expected_run: Option<MilliSpan>,
    /// The deadline of the whole job, if any.
    pub finish_by: Option<MilliTime>,
}

/// The rank of a job in its team and class. The lowest rank goes first; the first
/// time is compared before the second one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobRank(pub MilliTime, pub MilliTime);

/// Ranks the jobs of a team within a priority class.
pub trait JobOrder: Debug + Send {
    /// Returns the rank of a job. It is computed once, when the job is added.
    fn rank(&self, times: &JobTimes) -> JobRank;
}

/// Least slack first: orders jobs by the latest start that meets the deadline,
/// then by submission.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastSlack;

impl JobOrder for LeastSlack {
    fn rank(&self, times: &JobTimes) -> JobRank {
        let run = times.expected_run.unwrap_or(MilliSpan::ZERO);
        let latest_start = times
            .finish_by
            .map_or(times.submitted + DEFAULT_SLACK, |finish| finish - run);
        JobRank(latest_start, times.submitted)
    }
}

/// Orders jobs by submission.
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstSubmitted;

impl JobOrder for FirstSubmitted {
    fn rank(&self, times: &JobTimes) -> JobRank {
        JobRank(times.submitted, times.submitted)
    }
}

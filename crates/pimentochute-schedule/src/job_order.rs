//! The order of the jobs of a team within a priority class.

use std::fmt::Debug;

use pimentochute_base::{MilliSpan, MilliTime};

/// A job without `finish_by` is ordered as if it had to start this long after
/// its submission, so that dated jobs do not pass it forever.
pub const DEFAULT_SLACK: MilliSpan = MilliSpan::new(3_600_000);

/// What the order of jobs sees.
#[derive(Debug, Clone, Copy)]
pub struct JobTimes {
    /// When the job was submitted.
    pub submitted: MilliTime,
    /// How long a task is declared to run.
    pub expected_run: Option<MilliSpan>,
    /// When the job has to be done.
    pub finish_by: Option<MilliTime>,
}

/// The rank of a job in its team and class; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobRank(pub MilliTime, pub MilliTime);

/// Ranks the jobs of a team.
pub trait JobOrder: Debug + Send {
    /// Returns the rank, which does not change while the job waits.
    fn rank(&self, times: &JobTimes) -> JobRank;
}

/// Least slack first: the job that has to start earliest, then the one
/// submitted earliest.
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

/// Submission order.
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstSubmitted;

impl JobOrder for FirstSubmitted {
    fn rank(&self, times: &JobTimes) -> JobRank {
        JobRank(times.submitted, times.submitted)
    }
}

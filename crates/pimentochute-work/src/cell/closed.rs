//! Closed jobs: they have ended and no worker has a run of them. Only the data
//! that callers may still request is kept, here and in the log.

use std::collections::{BTreeMap, BTreeSet};

use pimentochute_base::MilliTime;

use crate::effect::CellEffect;
use crate::job::JobOrigin;
use crate::{JobCode, JobEnd, JobKey, JobProgress};

use super::WorkCell;

/// The data that is kept of a closed job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ClosedJob {
    pub(super) end: JobEnd,
    /// Since the Unix epoch.
    ended_at: MilliTime,
    pub(super) team: Option<String>,
}

#[derive(Debug, Default)]
pub(super) struct ClosedJobs {
    jobs: BTreeMap<JobCode, ClosedJob>,
    /// The same jobs, ordered by the time of their end.
    by_end: BTreeSet<(MilliTime, JobCode)>,
}

impl ClosedJobs {
    pub(super) fn get(&self, code: JobCode) -> Option<&ClosedJob> {
        self.jobs.get(&code)
    }

    fn insert(&mut self, code: JobCode, job: ClosedJob) {
        self.by_end.insert((job.ended_at, code));
        self.jobs.insert(code, job);
    }

    /// Removes and returns a job that ended before `limit`, if any.
    fn pop_before(&mut self, limit: MilliTime) -> Option<JobCode> {
        let (ended_at, code) = *self.by_end.first()?;
        if ended_at >= limit {
            return None;
        }
        self.by_end.pop_first();
        self.jobs.remove(&code);
        Some(code)
    }
}

impl ClosedJob {
    /// Reads a closed job from its record; `None` if the job is not closed.
    fn from_progress(progress: &JobProgress) -> Option<Self> {
        let end = progress.end.filter(|_| progress.tasks.is_empty())?;
        Some(Self {
            end,
            ended_at: progress.ended_at,
            team: progress.team.clone(),
        })
    }
}

impl WorkCell {
    /// Returns whether a job has ended and no worker has a run of it.
    pub(super) fn is_closing(&self, key: JobKey) -> bool {
        let job = self.jobs.get(key);
        job.is_some_and(|job| job.end.is_some() && job.runs == 0)
    }

    /// Closes a job whose end is in the log. The intake record of the host that
    /// received it is dropped only now, since the job would be lost without it.
    pub(super) fn close_job(&mut self, key: JobKey) {
        if !self.is_closing(key) {
            return;
        }
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        self.job_keys.remove(&job.code);
        if job.origin == JobOrigin::Host {
            self.effects.push(CellEffect::DropIntake(job.code));
        }
        let Some(end) = job.end else { return };
        let closed = ClosedJob {
            end,
            ended_at: job.ended_at,
            team: job.submission.team,
        };
        self.closed.insert(job.code, closed);
    }

    /// Restores a job from its record if it is closed, and returns whether it
    /// is.
    pub(super) fn restore_closed(&mut self, code: JobCode, progress: &JobProgress) -> bool {
        let Some(closed) = ClosedJob::from_progress(progress) else {
            return false;
        };
        // The host that recorded the submission may not have dropped it yet.
        if let Some(key) = self.job_keys.remove(&code) {
            self.jobs.remove(key);
            self.backlog.remove(&key);
            self.open_jobs -= 1;
            self.effects.push(CellEffect::DropIntake(code));
        }
        self.closed.insert(code, closed);
        true
    }

    /// Forgets the jobs whose retention time is over.
    pub(super) fn expire_jobs(&mut self) {
        let limit = self.unix_now - self.policy.ended_job_retention;
        while let Some(code) = self.closed.pop_before(limit) {
            self.expired.push(code);
        }
    }
}

//! Closed jobs: they have ended and no worker has a run of them. Only the data
//! that callers may still request is kept, here and in the log.

use std::collections::{BTreeMap, BTreeSet};

use pimentochute_base::{MilliSpan, MilliTime};

use crate::effect::CellEffect;
use crate::job::JobOrigin;
use crate::{JobCode, JobEnd, JobKey, JobProgress};

use super::WorkCell;

/// A new owner keeps closed jobs at least for this long, whatever its time of day says.
const MIN_RESTORED_RETENTION: MilliSpan = MilliSpan::new(60_000);

/// The data that is kept of a closed job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ClosedJob {
    pub(super) end: JobEnd,
    /// When the job is forgotten, on the cell's clock: the time of day may jump.
    forget_at: MilliTime,
    pub(super) team: Option<String>,
}

#[derive(Debug, Default)]
pub(super) struct ClosedJobs {
    jobs: BTreeMap<JobCode, ClosedJob>,
    /// The same jobs, ordered by the time at which they are forgotten.
    by_expiry: BTreeSet<(MilliTime, JobCode)>,
}

impl ClosedJobs {
    pub(super) fn get(&self, code: JobCode) -> Option<&ClosedJob> {
        self.jobs.get(&code)
    }

    fn insert(&mut self, code: JobCode, job: ClosedJob) {
        self.by_expiry.insert((job.forget_at, code));
        self.jobs.insert(code, job);
    }

    /// Removes and returns a job that was to be forgotten before `now`, if any.
    fn pop_expired(&mut self, now: MilliTime) -> Option<JobCode> {
        let (forget_at, code) = *self.by_expiry.first()?;
        if forget_at >= now {
            return None;
        }
        self.by_expiry.pop_first();
        self.jobs.remove(&code);
        Some(code)
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
            forget_at: self.now + self.policy.ended_job_retention,
            team: job.submission.team,
        };
        self.closed.insert(job.code, closed);
    }

    /// Restores a job from its record if it is closed, and returns whether it
    /// is.
    pub(super) fn restore_closed(&mut self, code: JobCode, progress: &JobProgress) -> bool {
        let Some(end) = progress.end.filter(|_| progress.tasks.is_empty()) else {
            return false;
        };
        let retention = self.policy.ended_job_retention;
        let left = retention.saturating_sub(self.unix_now.since(progress.ended_at));
        let closed = ClosedJob {
            end,
            forget_at: self.now + left.max(MIN_RESTORED_RETENTION).min(retention),
            team: progress.team.clone(),
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
        while let Some(code) = self.closed.pop_expired(self.now) {
            self.expired.push(code);
        }
    }
}

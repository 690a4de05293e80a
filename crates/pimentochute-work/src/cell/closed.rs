//! Jobs that ended and have nothing left on workers. Only what callers may
//! still ask is kept of them, here and in the log.

use std::collections::{BTreeMap, BTreeSet};

use pimentochute_base::MilliTime;

use crate::effect::CellEffect;
use crate::job::JobOrigin;
use crate::{JobCode, JobEnd, JobKey, JobProgress};

use super::WorkCell;

/// What is left of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ClosedJob {
    pub(super) end: JobEnd,
    /// Since the Unix epoch.
    ended_at: MilliTime,
    pub(super) team: Option<String>,
}

/// The closed jobs.
#[derive(Debug, Default)]
pub(super) struct ClosedJobs {
    jobs: BTreeMap<JobCode, ClosedJob>,
    /// The same jobs by the time of their end.
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

    /// Removes and returns a job that ended before `limit`, if there is one.
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
    /// Reads what the log keeps of a closed job; none if the job is not closed.
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
    /// Tells whether nothing of a job is left but its end.
    pub(super) fn is_closing(&self, key: JobKey) -> bool {
        let job = self.jobs.get(key);
        job.is_some_and(|job| job.end.is_some() && job.runs == 0)
    }

    /// Keeps only the end of a job, which is in the log. Only now the record
    /// of the host that took the job in is not needed any more.
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

    /// Takes a closed job over from the log; tells whether it is one.
    pub(super) fn restore_closed(&mut self, code: JobCode, progress: &JobProgress) -> bool {
        let Some(closed) = ClosedJob::from_progress(progress) else {
            return false;
        };
        // The submission that a host recorded itself may still be there.
        if let Some(key) = self.job_keys.remove(&code) {
            self.jobs.remove(key);
            self.backlog.remove(&key);
            self.open_jobs -= 1;
            self.effects.push(CellEffect::DropIntake(code));
        }
        self.closed.insert(code, closed);
        true
    }

    /// Forgets jobs that ended long ago.
    pub(super) fn expire_jobs(&mut self) {
        let limit = self.unix_now - self.policy.ended_job_retention;
        while let Some(code) = self.closed.pop_before(limit) {
            self.expired.push(code);
        }
    }
}

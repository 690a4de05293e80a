//! Closed jobs: they have ended and no worker has a run of them. Only the data
//! that callers may still request is kept, here and in the log.

use std::collections::{BTreeMap, BTreeSet};

use pimentochute_base::{MilliSpan, MilliTime};

use crate::effect::CellEffect;
use crate::job::JobOrigin;
use crate::{JobCode, JobEnd, JobKey, JobProgress, JobScope};

use super::WorkCell;

/// A new owner remembers closed jobs and early cancellations at least for this long, whatever
/// its time of day says. A job that was received earlier may be forgotten.
pub const MIN_RESTORED_RETENTION: MilliSpan = MilliSpan::new(60_000);

/// The data that is kept of a closed job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ClosedJob {
    pub(super) end: JobEnd,
    /// When the job is forgotten, on the cell's clock: the time of day may jump.
    forget_at: MilliTime,
    pub(super) team: Option<String>,
    /// `None` if an earlier build has recorded the end.
    queue: Option<String>,
    /// The intake may have a submission of the job. An owner that finds it without the end
    /// of the job runs the job again, so the end is kept until the submission is deleted.
    is_in_intake: bool,
}

#[derive(Debug, Default)]
pub(super) struct ClosedJobs {
    jobs: BTreeMap<JobCode, ClosedJob>,
    /// The jobs that are not in the intake, ordered by the time at which they are forgotten.
    by_expiry: BTreeSet<(MilliTime, JobCode)>,
}

impl ClosedJob {
    pub(super) fn scope(&self) -> JobScope<'_> {
        JobScope {
            team: self.team.as_deref(),
            queue: self.queue.as_deref(),
        }
    }
}

impl ClosedJobs {
    pub(super) fn get(&self, code: JobCode) -> Option<&ClosedJob> {
        self.jobs.get(&code)
    }

    fn insert(&mut self, code: JobCode, job: ClosedJob) {
        if !job.is_in_intake {
            self.by_expiry.insert((job.forget_at, code));
        }
        self.jobs.insert(code, job);
    }

    /// Records whether the intake may have a submission of a closed job; returns whether
    /// the job is known.
    pub(super) fn set_in_intake(&mut self, code: JobCode, is_in_intake: bool) -> bool {
        let Some(job) = self.jobs.get_mut(&code) else {
            return false;
        };
        job.is_in_intake = is_in_intake;
        let expiry = (job.forget_at, code);
        if is_in_intake {
            self.by_expiry.remove(&expiry);
        } else {
            self.by_expiry.insert(expiry);
        }
        true
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
            queue: Some(job.submission.queue),
            is_in_intake: job.origin == JobOrigin::Host,
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
        // The previous owner may not have deleted the submission of a host yet.
        let key = self.job_keys.remove(&code);
        let closed = ClosedJob {
            end,
            forget_at: self.now + left.max(MIN_RESTORED_RETENTION).min(retention),
            team: progress.team.clone(),
            queue: progress.queue.clone(),
            is_in_intake: key.is_some(),
        };
        if let Some(key) = key {
            self.jobs.remove(key);
            self.backlog.remove(&key);
            self.open_jobs -= 1;
            self.effects.push(CellEffect::DropIntake(code));
        }
        self.closed.insert(code, closed);
        true
    }

    /// Notes that the log has deleted the submissions of a closed job that the intake had
    /// when [`CellEffect::DropIntake`] was returned last.
    pub fn intake_record_dropped(&mut self, code: JobCode) {
        self.closed.set_in_intake(code, false);
    }

    /// Notes that the cell has accepted all jobs that the intake had at `sent_at`, on the
    /// host's clock.
    pub fn update_intake_read(&mut self, sent_at: MilliTime) {
        self.intake_read_at = self.intake_read_at.max(sent_at);
    }

    /// Forgets the jobs whose retention time was over when the intake was read: a host may
    /// have appended the submission of a closed job that this owner has not read yet.
    pub(super) fn expire_jobs(&mut self) {
        while let Some(code) = self.closed.pop_expired(self.intake_read_at) {
            self.expired.push(code);
        }
        self.expire_cancellations();
    }
}

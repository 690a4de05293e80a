//! Jobs: submission, cancellation, state, expiry.

use strum::IntoStaticStr;

use crate::effect::CellEffect;
use crate::job::{JobOrigin, JobState, TaskPlacement};
use crate::{CallerAnswer, JobCode, JobEnd, JobKey, JobSubmission, ReplyKey};

use super::WorkCell;
use super::records::StagedAction;

/// The state of a job as callers are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum JobStatus {
    /// No task was started.
    Queued,
    /// Tasks run or wait.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl From<JobEnd> for JobStatus {
    fn from(end: JobEnd) -> Self {
        match end {
            JobEnd::Completed => Self::Completed,
            JobEnd::Failed => Self::Failed,
            JobEnd::Cancelled => Self::Cancelled,
        }
    }
}

impl WorkCell {
    /// Takes in a job that is not in the log yet; the caller is answered once
    /// it is. A known job stays as it is.
    pub fn hand_in(&mut self, code: JobCode, submission: JobSubmission, reply: ReplyKey) {
        let answer = CallerAnswer::Accepted;
        if self.closed.get(code).is_some() {
            self.effects.push(CellEffect::Reply(reply, answer));
            return;
        }
        let known = self.job_keys.get(&code).copied();
        let key = known.unwrap_or_else(|| {
            let key = self.add_job(code, submission);
            self.jobs[key].is_recorded = false;
            self.submitted.push(key);
            key
        });
        if self.jobs[key].is_recorded {
            self.effects.push(CellEffect::Reply(reply, answer));
        } else {
            self.staged.push(StagedAction::Reply(reply, answer));
        }
    }

    /// Takes over a job that its owner recorded; a known one is ignored.
    pub fn restore_submission(&mut self, code: JobCode, submission: JobSubmission) {
        if !self.job_keys.contains_key(&code) {
            self.add_job(code, submission);
        }
    }

    /// Takes over a job that a host recorded itself; a known one stays as it
    /// is.
    pub fn submit(&mut self, code: JobCode, submission: JobSubmission) {
        if self.closed.get(code).is_some() {
            self.effects.push(CellEffect::DropIntake(code));
            return;
        }
        let known = self.job_keys.get(&code).copied();
        let key = known.unwrap_or_else(|| self.add_job(code, submission));
        self.jobs[key].origin = JobOrigin::Host;
    }

    fn add_job(&mut self, code: JobCode, submission: JobSubmission) -> JobKey {
        let rate = self.count_team_job(submission.team.as_deref(), submission.received);
        let rate_text: &str = rate.into();
        log::info!(
            job:% = code,
            queue:% = submission.queue,
            team:% = submission.team.as_deref().unwrap_or("-"),
            tasks = submission.spec.steps.iter().map(|step| step.tasks).sum::<u32>(),
            rate = rate_text;
            "cell: a job arrived"
        );
        let mut job = JobState::new(code, submission);
        job.rate = rate;
        let key = self.jobs.insert(job);
        self.job_keys.insert(code, key);
        self.backlog.insert(key);
        self.open_jobs += 1;
        self.needs_round = true;
        key
    }

    /// Cancels a job; the caller is answered once that is in the log.
    pub fn cancel(&mut self, code: JobCode, reply: ReplyKey) {
        if self.closed.get(code).is_some() {
            let answer = CallerAnswer::Cancelled;
            self.effects.push(CellEffect::Reply(reply, answer));
            return;
        }
        let Some(key) = self.job_keys.get(&code).copied() else {
            log::info!(job:% = code; "cell: an unknown job is to be cancelled");
            let answer = CallerAnswer::Unknown;
            self.effects.push(CellEffect::Reply(reply, answer));
            return;
        };
        if self.jobs[key].end.is_none() {
            log::info!(job:% = code; "cell: a job is cancelled");
            self.end_job(key, JobEnd::Cancelled);
        }
        let answer = CallerAnswer::Cancelled;
        if self.jobs[key].end_recorded {
            self.effects.push(CellEffect::Reply(reply, answer));
        } else {
            self.staged.push(StagedAction::Reply(reply, answer));
        }
    }

    /// Returns the state of a job; none if there is no such job.
    #[must_use]
    pub fn state(&self, code: JobCode) -> Option<JobStatus> {
        if let Some(closed) = self.closed.get(code) {
            return Some(closed.end.into());
        }
        let job = &self.jobs[*self.job_keys.get(&code)?];
        let recorded = job.end.filter(|_| job.end_recorded);
        Some(match recorded {
            Some(end) => end.into(),
            None if job.has_started => JobStatus::Running,
            None => JobStatus::Queued,
        })
    }

    /// Returns the team of a job; none if there is no such job or team.
    #[must_use]
    pub fn team_of(&self, code: JobCode) -> Option<&str> {
        if let Some(closed) = self.closed.get(code) {
            return closed.team.as_deref();
        }
        let job = &self.jobs[*self.job_keys.get(&code)?];
        job.submission.team.as_deref()
    }

    /// Returns the number of jobs of a queue of which no task has started.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        let waiting = self
            .jobs
            .values()
            .filter(|job| job.end.is_none() && !job.has_started && job.submission.queue == queue);
        waiting.count()
    }

    /// Ends a job. Its runs are stopped once the end is in the log.
    pub(super) fn end_job(&mut self, key: JobKey, end: JobEnd) {
        let job = &mut self.jobs[key];
        self.open_jobs -= usize::from(job.end.is_none());
        job.end = Some(end);
        job.ended_at = self.unix_now;
        self.backlog.remove(&key);
        self.dirty.insert(key);
        self.staged.push(StagedAction::Ended(key));
        self.needs_round = true;
    }

    /// Stops what an ended job still has on workers.
    pub(super) fn stop_runs_of(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let placed = job.tasks.iter().enumerate();
        let placed: Vec<_> = placed
            .filter_map(|(index, task)| match task.placement {
                TaskPlacement::Placed(worker) => Some((index, worker)),
                TaskPlacement::Waiting | TaskPlacement::Done => None,
            })
            .collect();
        for (index, worker) in placed {
            self.stop_or_requeue(key, index, worker);
        }
    }
}

//! Submission, cancellation and status of jobs.

use strum::IntoStaticStr;

use crate::admission::spread_retry;
use crate::decision::{CellDecision, StopReason};
use crate::effect::CellEffect;
use crate::job::{JobOrigin, JobState, TaskPlacement};
use crate::{CallerAnswer, JobCode, JobEnd, JobKey, JobScope, JobSubmission, ReplyKey, TaskName};

use super::WorkCell;
use super::records::StagedAction;

/// The status of a job that callers receive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum JobStatus {
    /// No task has started.
    Queued,
    /// A task has started and the job has not ended. Its tasks may all be waiting
    /// again.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

/// How a job got into the cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum JobArrival {
    /// A host forwarded it, and this owner records it.
    Forwarded,
    /// A host appended it to the log itself.
    HostAppend,
    /// A previous owner recorded it.
    Restored,
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
    /// Accepts a job whose submission is not recorded yet: this owner writes it to
    /// the log, and then the caller gets its answer. A known job stays unchanged; one whose
    /// identifier belongs to a job with another scope is refused.
    pub fn accept_forwarded(&mut self, code: JobCode, submission: JobSubmission, reply: ReplyKey) {
        let answer = CallerAnswer::Accepted;
        if self.is_taken(code, submission.scope()) {
            self.log_taken(code, submission.scope(), JobArrival::Forwarded);
            self.decisions.add(CellDecision::RefuseTakenIdentifier);
            let retry_after = spread_retry(code, self.policy.ended_job_retention);
            let answer = CallerAnswer::IdentifierTaken(retry_after);
            self.effects.push(CellEffect::Reply(reply, answer));
            return;
        }
        if self.closed.get(code).is_some() {
            self.effects.push(CellEffect::Reply(reply, answer));
            return;
        }
        let known = self.job_keys.get(&code).copied();
        let key = known.unwrap_or_else(|| {
            let key = self.add_job(code, submission, JobArrival::Forwarded);
            self.jobs[key].is_submission_recorded = false;
            if !self.end_if_cancelled(key) {
                self.submitted.push(key);
            }
            key
        });
        if self.jobs[key].is_submission_recorded {
            self.effects.push(CellEffect::Reply(reply, answer));
        } else {
            self.staged.push(StagedAction::Reply(reply, answer));
        }
    }

    /// Restores a submission that a previous owner recorded; a known job is
    /// ignored.
    pub fn restore_submission(&mut self, code: JobCode, submission: JobSubmission) {
        if !self.job_keys.contains_key(&code) {
            self.add_job(code, submission, JobArrival::Restored);
        }
    }

    /// Accepts a job that a host recorded in its own intake. This owner neither
    /// records the submission nor answers the caller. A known job stays unchanged, also if
    /// its identifier belongs to a job with another scope; the intake record is dropped once
    /// the job is closed.
    pub fn accept_from_intake(&mut self, code: JobCode, submission: JobSubmission) {
        if self.is_taken(code, submission.scope()) {
            self.log_taken(code, submission.scope(), JobArrival::HostAppend);
            self.decisions.add(CellDecision::IgnoreTakenIdentifier);
            self.keep_submission(code);
        }
        if self.closed.set_in_intake(code, true) {
            self.effects.push(CellEffect::DropIntake(code));
            return;
        }
        let known = self.job_keys.get(&code).copied();
        let key = known.unwrap_or_else(|| {
            self.note_host_append();
            let key = self.add_job(code, submission, JobArrival::HostAppend);
            self.end_if_cancelled(key);
            key
        });
        self.jobs[key].origin = JobOrigin::Host;
    }

    /// Records the submission of an open job whose record in the intake is replaced: the next
    /// owner would take the new one for this job.
    fn keep_submission(&mut self, code: JobCode) {
        if let Some(key) = self.job_keys.get(&code).copied()
            && self.jobs[key].origin == JobOrigin::Host
            && !self.is_closing(key)
        {
            self.submitted.push(key);
        }
    }

    fn log_taken(&self, code: JobCode, scope: JobScope<'_>, arrival: JobArrival) {
        let arrival_text: &str = arrival.into();
        let owning = self.scope_of(code).unwrap_or_default();
        log::warn!(
            job:% = code,
            queue = scope.queue.unwrap_or("-"),
            team = scope.team.unwrap_or("-"),
            owning_queue = owning.queue.unwrap_or("-"),
            owning_team = owning.team.unwrap_or("-"),
            way = arrival_text;
            "cell: the identifier of a new job belongs to another one"
        );
    }

    fn add_job(&mut self, code: JobCode, submission: JobSubmission, arrival: JobArrival) -> JobKey {
        let rate = self.count_team_job(submission.team.as_deref(), submission.received);
        let rate_text: &str = rate.into();
        let arrival_text: &str = arrival.into();
        log::info!(
            job:% = code,
            queue:% = submission.queue,
            team:% = submission.team.as_deref().unwrap_or("-"),
            tasks = submission.spec.steps.iter().map(|step| step.tasks).sum::<u32>(),
            rate = rate_text,
            way = arrival_text,
            age:% = self.unix_now.since(submission.received);
            "cell: a job arrived"
        );
        let mut job = JobState::new(code, submission);
        job.rate = rate;
        let key = self.jobs.insert(job);
        self.job_keys.insert(code, key);
        self.backlog.insert(key);
        self.open_jobs += 1;
        self.needs_placement = true;
        if let Some(progress) = self.early_progress.remove(&code) {
            self.restore_progress(code, progress);
        }
        key
    }

    /// Cancels a job; the caller gets its answer once the log has the end. For a job that is
    /// not known, use [`WorkCell::cancel_unknown`].
    pub fn cancel(&mut self, code: JobCode, reply: ReplyKey) {
        if self.closed.get(code).is_some() {
            let answer = CallerAnswer::Cancelled;
            self.effects.push(CellEffect::Reply(reply, answer));
            return;
        }
        let Some(key) = self.job_keys.get(&code).copied() else {
            log::info!(job:% = code; "cell: cannot cancel a job that is not known");
            let answer = CallerAnswer::Unknown;
            self.effects.push(CellEffect::Reply(reply, answer));
            return;
        };
        if self.jobs[key].end.is_none() {
            log::info!(job:% = code; "cell: a job is cancelled");
            self.end_job(key, JobEnd::Cancelled);
        }
        let answer = CallerAnswer::Cancelled;
        if self.jobs[key].is_end_recorded {
            self.effects.push(CellEffect::Reply(reply, answer));
        } else {
            self.staged.push(StagedAction::Reply(reply, answer));
        }
    }

    /// Returns the status of a job; `None` if it is not known. An end counts only
    /// once it is in the log.
    #[must_use]
    pub fn state(&self, code: JobCode) -> Option<JobStatus> {
        if let Some(closed) = self.closed.get(code) {
            return Some(closed.end.into());
        }
        let job = &self.jobs[*self.job_keys.get(&code)?];
        let recorded = job.end.filter(|_| job.is_end_recorded);
        Some(match recorded {
            Some(end) => end.into(),
            None if job.has_started => JobStatus::Running,
            None => JobStatus::Queued,
        })
    }

    /// Returns the job of a task and the index of the task in it; `None` if either
    /// is not known.
    pub(super) fn find_task(&self, name: &str) -> Option<(JobKey, usize)> {
        let name: TaskName = name.parse().ok()?;
        let key = *self.job_keys.get(&name.job)?;
        Some((key, self.jobs[key].index_of(name)?))
    }

    /// Returns the team of a job; `None` if the job is not known or has no team.
    #[must_use]
    pub fn team_of(&self, code: JobCode) -> Option<&str> {
        if let Some(closed) = self.closed.get(code) {
            return closed.team.as_deref();
        }
        let job = &self.jobs[*self.job_keys.get(&code)?];
        job.submission.team.as_deref()
    }

    /// Returns the team and the queue of a job; `None` if the job is not known.
    #[must_use]
    pub fn scope_of(&self, code: JobCode) -> Option<JobScope<'_>> {
        if let Some(closed) = self.closed.get(code) {
            return Some(closed.scope());
        }
        Some(self.jobs[*self.job_keys.get(&code)?].submission.scope())
    }

    /// Returns whether a job is known and a call with this scope may be about it.
    #[must_use]
    pub fn is_visible(&self, code: JobCode, scope: JobScope<'_>) -> bool {
        let owning = self.scope_of(code);
        owning.is_some_and(|owning| scope.covers(owning, &self.config))
    }

    /// Returns whether the identifier belongs to a job that a call with this scope cannot be
    /// about.
    fn is_taken(&self, code: JobCode, scope: JobScope<'_>) -> bool {
        self.scope_of(code).is_some() && !self.is_visible(code, scope)
    }

    /// Returns the number of jobs of a queue that have not started a task.
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
        self.staged.push(StagedAction::JobEndRecorded(key));
        self.needs_placement = true;
    }

    /// Stops the runs that an ended job still has on workers.
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
            self.stop_or_requeue(key, index, worker, StopReason::JobEnded);
        }
    }
}

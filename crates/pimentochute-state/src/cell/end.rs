//! How attempts and jobs end.

use pimentochute_base::{
    AttemptNumber, AttemptRef, EpochNumber, MilliTime, TaskIndex, WorkKind, WorkerName,
};

use super::limits::{MAX_ENDED_TASKS, RETRY_RESET_AFTER};
use super::replica::{CellReplica, JobSlot};
use super::{JobOutcome, JobPhase, JobState, TaskPhase};
use crate::{CellEffect, EndReason, InvalidReason, JobTransition};

/// What followed from the end of an attempt.
pub(super) struct EndedAttempt {
    /// The worker that the attempt was placed on.
    pub(super) worker: WorkerName,
    /// The change of the job.
    pub(super) transition: JobTransition,
}

/// The attempt to end, and how it ended.
struct AttemptEndInput {
    attempt: AttemptRef,
    reason: EndReason,
    worker: WorkerName,
    at: MilliTime,
    /// Whether the attempt ran at least [`RETRY_RESET_AFTER`], which resets the
    /// retry delay.
    long_run: bool,
}

impl CellReplica {
    pub(super) fn end_task(
        &mut self,
        attempt: AttemptRef,
        epoch: EpochNumber,
        reason: EndReason,
        at: MilliTime,
    ) -> Result<CellEffect, InvalidReason> {
        self.check_control(attempt, epoch)?;
        let end = self.end_attempt(attempt, reason, at)?;
        Ok(CellEffect::TaskEnded {
            attempt,
            worker: end.worker,
            reason,
            transition: end.transition,
        })
    }

    /// Checks that `epoch` is the recorded epoch of control of the attempt's
    /// worker.
    ///
    /// Fences off a manager that was paused and has lost control: it could end
    /// an attempt that its successor has started.
    fn check_control(&self, attempt: AttemptRef, epoch: EpochNumber) -> Result<(), InvalidReason> {
        let placement = self
            .live_task(attempt)
            .and_then(|task| task.phase.placement());
        let Some((_, name, _)) = placement else {
            return Err(InvalidReason::AttemptNotLive);
        };
        match self.worker(name) {
            Some(worker) if worker.epoch != epoch => Err(InvalidReason::StaleControl {
                worker: name.clone(),
                current: worker.epoch,
            }),
            _ => Ok(()),
        }
    }

    /// Ends a live attempt: frees its resources and applies the end to its job.
    pub(super) fn end_attempt(
        &mut self,
        attempt: AttemptRef,
        reason: EndReason,
        at: MilliTime,
    ) -> Result<EndedAttempt, InvalidReason> {
        let phase = self.live_task(attempt).map(|task| task.phase.clone());
        let slot = self.job_slots.get(&attempt.job).copied();
        let (
            Some(slot),
            Some(
                TaskPhase::Placed {
                    worker, at: since, ..
                }
                | TaskPhase::Running {
                    worker, at: since, ..
                },
            ),
        ) = (slot, phase)
        else {
            return Err(InvalidReason::AttemptNotLive);
        };
        self.advance_latest(at);
        self.release(slot, attempt, reason, &worker);
        let detail = AttemptEndInput {
            attempt,
            reason,
            worker: worker.clone(),
            at,
            long_run: at.since(since) >= RETRY_RESET_AFTER,
        };
        let transition = self.apply_end(slot, detail);
        Ok(EndedAttempt { worker, transition })
    }

    /// Removes a live attempt from the counts of its worker, team and job.
    fn release(
        &mut self,
        slot: JobSlot,
        attempt: AttemptRef,
        reason: EndReason,
        worker: &WorkerName,
    ) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        job.live -= 1;
        // The failure of a task that was told to stop is no sign of a faulty
        // worker.
        let counts = !job.is_stopping() || reason == EndReason::Succeeded;
        let (team, demand) = (job.spec.team.clone(), job.spec.demand);
        if let Some(worker) = self.worker_mut(worker) {
            worker.placements.remove(&attempt);
            worker.committed = worker.committed.saturating_sub(&demand);
            if counts {
                worker.count_end(attempt.job, reason);
            }
        }
        if let Some(team) = self.teams.get_mut(&team) {
            team.live -= 1;
        }
    }

    /// Applies the end of an attempt to its task and job. Ends the job if it was
    /// the last live attempt.
    fn apply_end(&mut self, slot: JobSlot, detail: AttemptEndInput) -> JobTransition {
        let (task, at) = (detail.attempt.task, detail.at);
        let Some(job) = self.jobs.get_mut(slot) else {
            return JobTransition::JobEnded;
        };
        let transition = match (job.phase, job.spec.kind) {
            (JobPhase::Active, WorkKind::Gang) => job.end_gang_task(detail),
            (JobPhase::Active, _) => job.end_single_task(detail),
            _ => {
                job.finish_task(task, detail.attempt.attempt, detail.reason, detail.worker);
                JobTransition::JobEnding
            }
        };
        let retries = match (job.phase, job.spec.kind) {
            (JobPhase::Active, WorkKind::Gang) if job.live == 0 => Some(job.retries),
            (JobPhase::Active, WorkKind::Batch) => job.task(task).map(|task| task.retries),
            _ => None,
        };
        let limit = job.spec.max_attempts;
        let outcome = retries.and_then(|retries| retries.outcome_if_exhausted(limit, task));
        if let Some(outcome) = outcome {
            self.begin_ending(slot, outcome);
        }
        if self.try_end_job(slot, at) {
            JobTransition::JobEnded
        } else if outcome.is_some() {
            JobTransition::JobEnding
        } else {
            transition
        }
    }

    /// Starts to end a job: its waiting tasks end now, and the job ends with
    /// `outcome` once its live attempts have ended.
    pub(super) fn begin_ending(&mut self, slot: JobSlot, outcome: JobOutcome) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        job.phase = JobPhase::Ending { outcome };
        for task in &mut job.tasks {
            if let TaskPhase::Waiting { .. } = task.phase {
                task.phase = TaskPhase::Done {
                    attempt: task.phase.last_attempt(),
                    reason: EndReason::Stopped,
                    worker: None,
                };
            }
        }
    }

    /// Ends the job if it is complete or ending and has no live attempt. Returns
    /// whether it has ended.
    pub(super) fn try_end_job(&mut self, slot: JobSlot, at: MilliTime) -> bool {
        let Some(job) = self.jobs.get_mut(slot) else {
            return true;
        };
        let outcome = match job.phase {
            JobPhase::Ended { .. } => return true,
            _ if job.live > 0 => return false,
            _ if job.is_complete() => JobOutcome::Succeeded,
            JobPhase::Ending { outcome } => outcome,
            JobPhase::Active => return false,
        };
        job.phase = JobPhase::Ended { outcome, at };
        self.unended_tasks -= job.tasks.len();
        job.spec.command = String::new();
        if job.tasks.len() > MAX_ENDED_TASKS {
            job.tasks = Vec::new();
        }
        let (id, team, number) = (job.spec.id, job.spec.team.clone(), job.number);
        let index = usize::from(self.slice_of(&team).get());
        if let Some(slice) = self.slices.get_mut(index) {
            slice.active.remove(&number);
        }
        self.ended.push_back(slot);
        self.newly_ended.push(id);
        self.evict_ended_jobs();
        true
    }
}

impl JobState {
    /// Ends an attempt of a batch or service task.
    fn end_single_task(&mut self, detail: AttemptEndInput) -> JobTransition {
        let number = detail.attempt.attempt;
        if detail.reason == EndReason::Succeeded && self.spec.kind == WorkKind::Batch {
            self.finish_task(detail.attempt.task, number, detail.reason, detail.worker);
            return JobTransition::TaskDone;
        }
        if let Some(task) = self.task_mut(detail.attempt.task) {
            let delay = task.retries.record_end(detail.reason, detail.long_run);
            if detail.reason.counts_against_worker() {
                task.avoid(detail.worker);
            }
            task.phase = TaskPhase::Waiting {
                next: number.next(),
                not_before: detail.at + delay,
            };
        }
        JobTransition::Retry
    }

    /// Ends the attempt of one gang task. The first task that does not succeed
    /// breaks the gang, which is retried once all of its tasks have ended.
    fn end_gang_task(&mut self, detail: AttemptEndInput) -> JobTransition {
        let number = detail.attempt.attempt;
        let first = self.broken.is_none() && detail.reason != EndReason::Succeeded;
        if first {
            self.broken = Some(detail.reason);
            if detail.reason.counts_against_worker()
                && let Some(task) = self.task_mut(detail.attempt.task)
            {
                task.avoid(detail.worker.clone());
            }
        }
        self.finish_task(detail.attempt.task, number, detail.reason, detail.worker);
        match self.broken {
            None => JobTransition::TaskDone,
            Some(_) if self.live > 0 => JobTransition::GangBroken,
            Some(reason) => {
                self.restart_gang(reason, number, detail.at, detail.long_run);
                JobTransition::GangRetry
            }
        }
    }

    /// Sets all tasks of a gang back to waiting for attempt `number + 1`.
    fn restart_gang(
        &mut self,
        reason: EndReason,
        number: AttemptNumber,
        at: MilliTime,
        long_run: bool,
    ) {
        let not_before = at + self.retries.record_end(reason, long_run);
        self.broken = None;
        self.succeeded = 0;
        for task in &mut self.tasks {
            task.phase = TaskPhase::Waiting {
                next: number.next(),
                not_before,
            };
        }
    }

    /// Marks a task as done. Only a retry of its gang makes it wait again.
    fn finish_task(
        &mut self,
        task: TaskIndex,
        attempt: AttemptNumber,
        reason: EndReason,
        worker: WorkerName,
    ) {
        if reason == EndReason::Succeeded {
            self.succeeded += 1;
        }
        if let Some(task) = self.task_mut(task) {
            task.phase = TaskPhase::Done {
                attempt,
                reason,
                worker: Some(worker),
            };
        }
    }
}

impl EndReason {
    /// Returns whether the task's next attempts should avoid the worker.
    const fn counts_against_worker(self) -> bool {
        matches!(self, Self::Failed | Self::RefusedByWorker)
    }
}

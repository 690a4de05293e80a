//! Applies the ends of runs that workers list: success, failure, retry.

use crate::decision::StopReason;
use crate::job::TaskPlacement;
use crate::{EndedRow, JobEnd, JobKey, RunEnd, WorkerKey, WorkerListing};

use super::WorkCell;
use super::records::StagedAction;

/// A worker that fails this many runs in a row gets no new ones for a while.
const FAILURES_TO_AVOID: u32 = 2;

/// The progress of a checkpoint that a run reports at its end, in percent: it
/// replaces all earlier ones.
const END_PERCENT: u32 = 100;

impl WorkCell {
    /// Applies the ends in a worker's listing that were not applied before. The worker
    /// may forget them once they are recorded. If a row cannot be read, it may be one of
    /// them, so that all ends are applied again from the next listing: those that were
    /// applied change nothing then.
    pub(super) fn apply_ends(&mut self, worker_key: WorkerKey, listing: &WorkerListing) {
        let applied_end = self.workers[worker_key].applied_end;
        let mut last = applied_end;
        for row in listing.ended.iter().filter(|row| row.number > applied_end) {
            last = last.max(row.number);
            self.apply_end(worker_key, row);
        }
        if last > applied_end {
            self.needs_placement = true;
        }
        if last > applied_end && listing.unreadable_rows == 0 {
            let worker = &mut self.workers[worker_key];
            worker.applied_end = last;
            let incarnation = worker.incarnation;
            self.stage_acknowledgement(StagedAction::RunEndsRecorded {
                worker: worker_key,
                incarnation,
                number: last,
            });
        }
    }

    fn apply_end(&mut self, worker_key: WorkerKey, row: &EndedRow) {
        let outcome_text: &str = row.outcome.into();
        let Some((job_key, index)) = self.find_task(&row.task) else {
            log::warn!(
                task:% = row.task, run = row.run, outcome = outcome_text;
                "cell: a run of an unknown task ended"
            );
            return;
        };
        let worker_id = &self.workers[worker_key].report.id;
        log::info!(
            task:% = row.task, run = row.run, worker:% = worker_id, outcome = outcome_text;
            "cell: a run ended"
        );
        self.jobs[job_key].has_started = true;
        let task = &self.jobs[job_key].tasks[index];
        let is_here = task.placement == TaskPlacement::Placed(worker_key) && task.run == row.run;
        // The success of a run that was given up counts, whatever became of the next start:
        // once it is acknowledged, nobody knows of it any more. A present run is stopped.
        let job = &self.jobs[job_key];
        let is_service = job.step_spec(job.step_index(job.name_of(index))).is_service;
        let is_late_success = row.outcome == RunEnd::Done
            && !is_service
            && row.run <= task.run
            && task.placement != TaskPlacement::Done;
        if !is_here {
            let run = self.workers[worker_key].runs.get(&(job_key, index));
            if run.is_some_and(|run| run.number == row.run) {
                self.free_run(job_key, index, worker_key);
            }
        }
        if !is_here && !is_late_success {
            self.log_void_end((job_key, index), row);
            return;
        }
        self.update_checkpoint(job_key, index, &row.checkpoint, END_PERCENT);
        if is_here && row.outcome == RunEnd::Done {
            self.record_done_task(job_key);
        } else {
            self.dirty.insert(job_key);
        }
        if is_here && row.outcome == RunEnd::Done {
            self.learn_from_end(job_key, index, worker_key);
        }
        if row.outcome == RunEnd::Failed {
            self.add_failed_time(job_key, index, worker_key);
        }
        if is_here {
            self.unplace(job_key, index, worker_key);
        } else {
            self.withdraw_starts(job_key, index);
            self.stop_open_starts(job_key, index);
        }
        match row.outcome {
            // A service runs until its job is cancelled, however one run ends.
            RunEnd::Done if is_service => {}
            RunEnd::Done => self.complete_task(job_key, index, worker_key),
            RunEnd::Failed => self.fail_task(job_key, index, row.run, worker_key),
            RunEnd::Stopped | RunEnd::Expired | RunEnd::Broken | RunEnd::Alone => {
                self.break_gang(job_key, index);
            }
        }
        self.update_backlog(job_key);
    }

    /// Returns whether a run is placed on a worker and its start has not been sent.
    fn is_unsent(&self, job_key: JobKey, index: usize, worker_key: WorkerKey) -> bool {
        let run = self.workers[worker_key].runs.get(&(job_key, index));
        run.is_some_and(|run| run.order_token.is_none())
    }

    /// Gives up the placements of a task and of the gang that it belongs to whose starts
    /// have not been sent.
    fn withdraw_starts(&mut self, job_key: JobKey, index: usize) {
        for member in self.jobs[job_key].gang_of(index) {
            let placement = self.jobs[job_key].tasks[member].placement;
            if let TaskPlacement::Placed(worker_key) = placement
                && self.is_unsent(job_key, member, worker_key)
            {
                self.unplace(job_key, member, worker_key);
            }
        }
    }

    /// Stops the runs of a task and of its gang whose starts have been sent. A start that is
    /// still on its way is refused by a worker that has received the stop.
    fn stop_open_starts(&mut self, job_key: JobKey, index: usize) {
        for member in self.jobs[job_key].gang_of(index) {
            let placement = self.jobs[job_key].tasks[member].placement;
            if let TaskPlacement::Placed(worker_key) = placement {
                self.stop_or_requeue(job_key, member, worker_key, StopReason::TaskDone);
            }
        }
    }

    /// Logs that the end of a run changes nothing. The worker may forget it all the same.
    fn log_void_end(&self, (job_key, index): (JobKey, usize), row: &EndedRow) {
        let task = &self.jobs[job_key].tasks[index];
        let (outcome_text, placement_text): (&str, &str) =
            (row.outcome.into(), (&task.placement).into());
        log::info!(
            task:% = row.task,
            run = row.run,
            outcome = outcome_text,
            present_run = task.run,
            placement = placement_text;
            "cell: the end of a run is void"
        );
    }

    /// Adds the time of a failed run to the time that its job may take.
    fn add_failed_time(&mut self, job_key: JobKey, index: usize, worker_key: WorkerKey) {
        let run = self.workers[worker_key].runs.get(&(job_key, index));
        let Some(started) = run.and_then(|run| run.acknowledged_at) else {
            return;
        };
        let job = &mut self.jobs[job_key];
        let step_index = job.step_index(job.name_of(index));
        let task = &mut job.tasks[index];
        task.failed_time = task.failed_time + self.now.since(started);
        let longest = &mut job.steps[step_index].failed_time;
        *longest = (*longest).max(task.failed_time);
    }

    fn complete_task(&mut self, job_key: JobKey, index: usize, worker_key: WorkerKey) {
        self.workers[worker_key].failures = 0;
        let job = &mut self.jobs[job_key];
        job.set_placement(index, TaskPlacement::Done);
        let step_index = job.step_index(job.name_of(index));
        if job.step_spec(step_index).is_gang {
            self.complete_gang(job_key, step_index);
        }
        self.learn_from_step(job_key, step_index);
        let job = &self.jobs[job_key];
        if job.end.is_none() && job.is_done() {
            log::info!(job:% = job.code; "cell: a job is completed");
            self.end_job(job_key, JobEnd::Completed);
        }
    }

    fn fail_task(&mut self, job_key: JobKey, index: usize, run: u32, worker_key: WorkerKey) {
        let terms = self.terms_of(&self.jobs[job_key]);
        let job = &mut self.jobs[job_key];
        let step_index = job.step_index(job.name_of(index));
        let spec = job.step_spec(step_index);
        if spec.is_service {
            // Services fail on their own; that says nothing about the worker.
            return;
        }
        let is_gang = spec.is_gang;
        self.count_worker_failure(worker_key);
        let job = &mut self.jobs[job_key];
        job.tasks[index].failed_on = Some(worker_key);
        let counted = if is_gang {
            job.task_range(step_index).start
        } else {
            index
        };
        if is_gang && job.steps[step_index].last_failed_run >= run {
            return;
        }
        job.steps[step_index].last_failed_run = run;
        job.tasks[counted].failures += 1;
        let failures = job.tasks[counted].failures;
        if failures >= terms.max_attempts && job.end.is_none() {
            log::info!(
                job:% = job.code, task:% = job.name_of(index), failures;
                "cell: a job failed"
            );
            self.end_job(job_key, JobEnd::Failed);
        } else {
            self.break_gang(job_key, index);
        }
    }

    /// Counts a failed run of a worker, which is avoided after several.
    pub(super) fn count_worker_failure(&mut self, worker_key: WorkerKey) {
        let until = self.now + self.policy.avoid_duration;
        let worker = &mut self.workers[worker_key];
        worker.failures += 1;
        if worker.failures >= FAILURES_TO_AVOID {
            log::warn!(
                worker:% = worker.report.id, failures = worker.failures;
                "cell: a worker gets no new runs for a while"
            );
            worker.avoid_until = until;
        }
    }
}

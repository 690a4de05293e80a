//! Applies the ends of runs that workers list: success, failure, retry.

use crate::effect::CellEffect;
use crate::job::TaskPlacement;
use crate::worker::PlacedRun;
use crate::{EndedRow, JobEnd, JobKey, RunEnd, StopCommand, WorkerKey};

use super::WorkCell;
use super::records::StagedAction;

/// A worker that fails this many runs in a row gets no new ones for a while.
const FAILURES_TO_AVOID: u32 = 2;

/// The progress of a checkpoint that a run reports at its end, in percent: it
/// replaces all earlier ones.
const END_PERCENT: u32 = 100;

impl WorkCell {
    /// Applies the ends in a worker's listing that were not applied before.
    pub(super) fn apply_ends(&mut self, worker_key: WorkerKey, rows: &[EndedRow]) {
        let applied_end = self.workers[worker_key].applied_end;
        let mut last = applied_end;
        for row in rows.iter().filter(|row| row.number > applied_end) {
            last = last.max(row.number);
            self.apply_end(worker_key, row);
        }
        if last > applied_end {
            let worker = &mut self.workers[worker_key];
            worker.applied_end = last;
            self.staged.push(StagedAction::RunEndsRecorded {
                worker: worker_key,
                started_at: worker.report.started_at,
                number: last,
            });
            self.needs_placement = true;
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
        let task = &mut self.jobs[job_key].tasks[index];
        let is_here = task.placement == TaskPlacement::Placed(worker_key) && task.run == row.run;
        // The success of a run that was given up counts as long as the task
        // has not been placed again.
        let is_late_success = row.outcome == RunEnd::Done
            && task.placement == TaskPlacement::Waiting
            && row.run <= task.run;
        if !is_here {
            let run = self.workers[worker_key].runs.get(&(job_key, index));
            if run.is_some_and(|run| run.number == row.run) {
                self.free_run(job_key, index, worker_key);
            }
        }
        if !is_here && !is_late_success {
            return;
        }
        self.update_checkpoint(job_key, index, &row.checkpoint, END_PERCENT);
        self.dirty.insert(job_key);
        if row.outcome == RunEnd::Failed {
            self.add_failed_time(job_key, index, worker_key);
        }
        if is_here {
            self.unplace(job_key, index, worker_key);
        }
        let job = &self.jobs[job_key];
        let is_service = job.step_spec(job.step_index(job.name_of(index))).is_service;
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
                "cell: a worker is avoided"
            );
            worker.avoid_until = until;
        }
    }

    /// Assigns a run to a worker and reserves its resources there.
    pub(super) fn place_run(
        &mut self,
        job_key: JobKey,
        index: usize,
        worker_key: WorkerKey,
        run: PlacedRun,
    ) {
        let job = &mut self.jobs[job_key];
        job.set_placement(index, TaskPlacement::Placed(worker_key));
        job.tasks[index].run = run.number;
        let team = job.submission.team.clone();
        self.count_running(team.as_deref(), run.demand, true);
        if self.workers[worker_key]
            .add_run(job_key, index, run)
            .is_none()
        {
            self.jobs[job_key].runs += 1;
        }
    }

    /// Removes a run from its worker; the task waits again.
    pub(super) fn unplace(&mut self, job_key: JobKey, index: usize, worker_key: WorkerKey) {
        self.jobs[job_key].set_placement(index, TaskPlacement::Waiting);
        self.free_run(job_key, index, worker_key);
    }

    /// Frees the resources that a run has reserved on a worker.
    pub(super) fn free_run(&mut self, job_key: JobKey, index: usize, worker_key: WorkerKey) {
        if let Some(run) = self.workers[worker_key].remove_run(job_key, index) {
            let job = &mut self.jobs[job_key];
            job.runs -= 1;
            if job.end.is_some() && job.runs == 0 {
                // The job can be closed: this was its last run.
                self.dirty.insert(job_key);
            }
            let team = job.submission.team.clone();
            self.count_running(team.as_deref(), run.demand, false);
        }
    }

    /// Makes a task wait again whose run is known not to continue on its worker.
    pub(super) fn requeue_run(&mut self, job_key: JobKey, index: usize, reason: &str) {
        let TaskPlacement::Placed(worker_key) = self.jobs[job_key].tasks[index].placement else {
            return;
        };
        let job = &self.jobs[job_key];
        log::info!(
            task:% = job.name_of(index),
            run = job.tasks[index].run,
            worker:% = self.workers[worker_key].report.id,
            reason;
            "cell: a task waits again"
        );
        self.unplace(job_key, index, worker_key);
        self.dirty.insert(job_key);
        self.break_gang(job_key, index);
        self.update_backlog(job_key);
    }

    /// Stops a run, or requeues its task if the start was never sent.
    pub(super) fn stop_or_requeue(&mut self, job_key: JobKey, index: usize, worker_key: WorkerKey) {
        let now = self.now;
        let worker = &mut self.workers[worker_key];
        let target = worker.target();
        let token = worker.lease.token;
        let Some(run) = worker.runs.get_mut(&(job_key, index)) else {
            return;
        };
        if run.order_token.is_none() {
            self.requeue_run(job_key, index, "its start was never sent");
            return;
        }
        if run.stop_sent.is_some() {
            return;
        }
        run.stop_sent = Some(now);
        let run = run.number;
        let name = self.jobs[job_key].name_of(index);
        log::info!(task:% = name, run, worker:% = target.id; "cell: a run is stopped");
        self.effects.push(CellEffect::Stop(StopCommand {
            worker: worker_key,
            target,
            task: name.to_string(),
            run,
            token,
        }));
    }

    /// Adds a job to the backlog or removes it, depending on its waiting tasks.
    pub(super) fn update_backlog(&mut self, job_key: JobKey) {
        if self.jobs[job_key].has_waiting() {
            self.backlog.insert(job_key);
        } else {
            self.backlog.remove(&job_key);
        }
        self.needs_placement = true;
    }
}

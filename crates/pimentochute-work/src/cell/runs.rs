//! Places runs on workers, and frees, requeues and stops them.

use crate::decision::StopReason;
use crate::effect::CellEffect;
use crate::job::TaskPlacement;
use crate::worker::PlacedRun;
use crate::{JobKey, StopCommand, WorkerKey};

use super::WorkCell;

impl WorkCell {
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
        if run.is_apart && run.order_token.is_none() {
            // The start waits for an answer, which shows that the worker is alive.
            self.poll_soon(worker_key);
        }
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

    /// Requeues all runs of a worker.
    pub(super) fn requeue_runs(&mut self, worker_key: WorkerKey, reason: &str) {
        let task_refs: Vec<_> = self.workers[worker_key].runs.keys().copied().collect();
        for (job, task) in task_refs {
            self.requeue_or_free(job, task, worker_key, reason);
        }
    }

    /// Requeues a run that does not continue. If its task is done, only the
    /// resources of the run are freed.
    pub(super) fn requeue_or_free(
        &mut self,
        job: JobKey,
        task: usize,
        worker_key: WorkerKey,
        reason: &str,
    ) {
        if self.jobs[job].tasks[task].placement == TaskPlacement::Placed(worker_key) {
            self.requeue_run(job, task, reason);
        } else {
            self.free_run(job, task, worker_key);
        }
    }

    /// Stops a run, or requeues its task if the start was never sent.
    pub(super) fn stop_or_requeue(
        &mut self,
        job_key: JobKey,
        index: usize,
        worker_key: WorkerKey,
        reason: StopReason,
    ) {
        let now = self.now;
        let worker = &mut self.workers[worker_key];
        let (target, incarnation) = (worker.target(), worker.incarnation);
        let token = worker.lease.token;
        let earliest_clock = worker.lease.earliest_clock(&self.policy.lease, now);
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
        let reason_text: &str = reason.into();
        log::info!(
            task:% = name, run, worker:% = target.id, reason = reason_text;
            "cell: a run is being stopped"
        );
        self.decisions.add(reason.into());
        self.effects.push(CellEffect::Stop(StopCommand {
            worker: worker_key,
            incarnation,
            target,
            task: name.to_string(),
            run,
            token,
            sent: now,
            earliest_clock,
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

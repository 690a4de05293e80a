//! Start orders, stop orders and their results.

use pimentochute_base::MilliTime;

use crate::effect::CellEffect;
use crate::job::TaskPlacement;
use crate::{JobKey, OrderError, StartCommand, StopCommand, WorkerKey};

use super::WorkCell;

impl WorkCell {
    /// Sends the start order of a placed run whose record is in the log.
    pub(super) fn send_start(
        &mut self,
        job_key: JobKey,
        index: usize,
        run: u32,
        worker_key: WorkerKey,
    ) {
        let Some(job) = self.jobs.get(job_key) else {
            return;
        };
        let task = &job.tasks[index];
        if task.placement != TaskPlacement::Placed(worker_key) || task.run != run {
            return;
        }
        let name = job.name_of(index);
        let step_index = job.step_index(name);
        let now = self.now;
        if !self.fits_capacity(job_key, index, worker_key) {
            let reason = if self.workers[worker_key].unwanted_runs.is_empty() {
                "the capacity of its worker has shrunk"
            } else {
                "runs that are being stopped take its room"
            };
            self.requeue_run(job_key, index, reason);
            return;
        }
        if self.is_start_evacuated(job_key, index, worker_key) {
            self.withdraw_start(job_key, index);
            return;
        }
        let job = &self.jobs[job_key];
        let ticket = match &job.steps[step_index].advice.ticket(worker_key, now) {
            Some(ticket) => (*ticket).to_owned(),
            None => String::new(),
        };
        let needs_ticket = job.submission.terms.advice.is_some();
        let limit = self.start_delay.limit();
        let worker = &self.workers[worker_key];
        // An owner that was suspended may have been replaced since the record.
        if job.end.is_some()
            || !self.may_extend_leases()
            || !self.knows_evacuations()
            || !worker.takes_runs(now, limit)
            || (needs_ticket && ticket.is_empty())
        {
            self.requeue_run(job_key, index, "its start is no longer possible");
            return;
        }
        let placed = worker.runs.get(&(job_key, index));
        if placed.is_some_and(|placed| placed.incarnation != worker.incarnation) {
            self.requeue_run(job_key, index, "its worker has restarted since");
            return;
        }
        if placed.is_some_and(|placed| placed.waits_for_answer(worker.answered_poll_sent_at, now)) {
            self.hold_start(job_key, index, worker_key);
            return;
        }
        let worker = &mut self.workers[worker_key];
        let Some(until) = worker.lease.extend(&self.policy.lease, now) else {
            self.requeue_run(job_key, index, "the clock of its worker is unknown");
            return;
        };
        worker.lease.pass_open_acknowledgement();
        let token = worker.lease.token;
        let checkpoint = task_checkpoint(
            job.step_spec(step_index).has_checkpoints,
            &job.tasks[index].checkpoint,
        );
        if let Some(placed) = worker.runs.get_mut(&(job_key, index)) {
            placed.order_token = Some(token);
            placed.held_since = None;
            placed.percent_at = now;
        }
        worker.open_starts.record_sent(now);
        log::info!(task:% = name, run, worker:% = worker.report.id, token; "cell: a run starts");
        self.effects.push(CellEffect::Start(StartCommand {
            worker: worker_key,
            incarnation: worker.incarnation,
            target: worker.target(),
            task: name,
            run,
            text: std::sync::Arc::clone(&job.text),
            until,
            token,
            sent: now,
            earliest_clock: worker.lease.earliest_clock(&self.policy.lease, now),
            checkpoint,
            ticket,
        }));
        // The first poll that renews the lease has to follow soon.
        let soon = now + self.policy.poll.interval;
        worker.lease.next_poll_at = worker.lease.next_poll_at.min(soon).max(now);
    }

    /// Returns whether the worker of a placed run still has the capacity for all runs
    /// that are placed on it. Those of a gang start only if all of their workers have.
    fn fits_capacity(&self, job_key: JobKey, index: usize, worker_key: WorkerKey) -> bool {
        let fits = |worker_key: WorkerKey| {
            let worker = &self.workers[worker_key];
            worker.committed.fits_within(&worker.report.capacity)
        };
        let job = &self.jobs[job_key];
        let step_index = job.step_index(job.name_of(index));
        if !job.step_spec(step_index).is_gang {
            return fits(worker_key);
        }
        let members = &job.tasks[job.task_range(step_index)];
        members.iter().all(|member| match member.placement {
            TaskPlacement::Placed(worker_key) => fits(worker_key),
            TaskPlacement::Waiting | TaskPlacement::Done => true,
        })
    }

    /// Applies the result of a start order; `Ok` holds the worker's clock.
    pub fn start_answered(
        &mut self,
        command: &StartCommand,
        result: Result<MilliTime, OrderError>,
    ) {
        let now = self.now;
        let task_ref = self.find_task(&command.task.to_string());
        let Some(worker) = self.workers.get_mut(command.worker) else {
            return;
        };
        worker.open_starts.record_answer(now);
        let is_admitted = match result {
            Ok(clock) => self.admits_reading(
                command.into(),
                (command.sent, command.earliest_clock),
                clock,
            ),
            Err(_) => false,
        };
        let worker = &mut self.workers[command.worker];
        let task_ref = task_ref.filter(|task_ref| {
            worker
                .runs
                .get(task_ref)
                .is_some_and(|run| run.number == command.run)
        });
        match result {
            // The next listing shows which incarnation has the run, if any.
            Ok(_) if !is_admitted => {}
            Ok(clock) => {
                worker.lease.update_clock(clock, now);
                worker.last_answer_at = now;
                if let Some(task_ref) = task_ref
                    && let Some(run) = worker.runs.get_mut(&task_ref)
                {
                    if run.acknowledged_at.is_none() {
                        // Until its worker lists it, the run keeps the time at
                        // which its start was sent.
                        self.start_delay.add_answer(now.since(run.percent_at));
                    }
                    run.acknowledged_at = Some(now);
                    run.percent_at = now;
                    self.jobs[task_ref.0].has_started = true;
                    self.note_start_reached(task_ref, command.worker);
                }
            }
            Err(error) => self.start_failed(command, task_ref, error),
        }
    }

    fn start_failed(
        &mut self,
        command: &StartCommand,
        task_ref: Option<(JobKey, usize)>,
        error: OrderError,
    ) {
        let now = self.now;
        log::warn!(
            task:% = command.task,
            run = command.run,
            worker:% = command.target.id,
            token = command.token,
            error:%;
            "cell: a start was refused or has no valid answer"
        );
        let present = self.workers[command.worker].lease.token;
        self.note_fenced(error, command.token, present);
        // A refused order has no effect, whichever incarnation refuses it.
        let is_admitted = self.admits(command.into());
        let worker = &mut self.workers[command.worker];
        match error {
            OrderError::OutcomeUnknown => {
                // The order can take effect until the worker knows a higher
                // token, so the run stays placed.
                if command.token >= worker.lease.control_token {
                    worker.lease.raise_token();
                    worker.lease.next_poll_at = now;
                }
                if let Some(task_ref) = task_ref
                    && is_admitted
                {
                    self.note_start_reached(task_ref, command.worker);
                }
                return;
            }
            OrderError::Undelivered
            | OrderError::WrongIncarnation
            | OrderError::Fenced
            | OrderError::TooLate
            | OrderError::InsufficientResources => {
                if command.token >= worker.lease.control_token {
                    worker.lease.raise_token();
                    worker.lease.next_poll_at = now;
                }
            }
            OrderError::Unhealthy | OrderError::Invalid if is_admitted => {
                worker.avoid_until = now + self.policy.avoid_duration;
            }
            OrderError::BadTicket if is_admitted => {
                if let Some((job, index)) = task_ref {
                    let job = &mut self.jobs[job];
                    let step = job.step_index(job.name_of(index));
                    job.steps[step].advice.expire_ticket(command.worker);
                }
            }
            OrderError::OldRun
            | OrderError::Unhealthy
            | OrderError::Invalid
            | OrderError::BadTicket => {}
        }
        if let Some((job, index)) = task_ref {
            let reason = if error == OrderError::Undelivered {
                "its start did not reach its worker"
            } else {
                "its start was refused"
            };
            // The task may have succeeded in an earlier run meanwhile.
            self.requeue_or_free(job, index, command.worker, reason);
        }
    }

    /// Applies the result of a stop order; `Ok` holds the worker's clock.
    pub fn stop_answered(&mut self, command: &StopCommand, result: Result<MilliTime, OrderError>) {
        let now = self.now;
        let is_admitted = match result {
            Ok(clock) => self.admits_reading(
                command.into(),
                (command.sent, command.earliest_clock),
                clock,
            ),
            Err(_) => false,
        };
        let Some(worker) = self.workers.get_mut(command.worker) else {
            return;
        };
        match result {
            Ok(clock) if is_admitted => worker.lease.update_clock(clock, now),
            Ok(_) => {}
            Err(error) => {
                log::warn!(
                    task:% = command.task,
                    run = command.run,
                    worker:% = command.target.id,
                    error:%;
                    "cell: a stop was refused or has no valid answer"
                );
                let present = worker.lease.token;
                if command.token >= worker.lease.control_token {
                    worker.lease.raise_token();
                    worker.lease.next_poll_at = now;
                }
                self.note_fenced(error, command.token, present);
            }
        }
    }
}

fn task_checkpoint(has_checkpoints: bool, checkpoint: &str) -> String {
    if has_checkpoints {
        checkpoint.to_owned()
    } else {
        String::new()
    }
}

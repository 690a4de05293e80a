//! Polls of workers: each one renews the lease and returns the worker's runs.
//! The tasks of runs that are gone or whose lease has expired are requeued.

use std::collections::BTreeMap;

use pimentochute_base::{MilliSpan, MilliTime, ResourceAmount};

use crate::decision::CellDecision;
use crate::effect::CellEffect;
use crate::job::TaskPlacement;
use crate::worker::{EntryStatus, LeaseState, UnwantedRun};
use crate::{OrderError, PollCommand, RunningRow, StopCommand, WorkerKey, WorkerListing};

use super::WorkCell;

/// The largest number of ends in a listing. A listing with as many may be
/// incomplete.
const MAX_LISTED_ENDS: usize = 500;

/// The time added to the stop timeout before a stop is repeated, for the network
/// and the poll interval.
const STOP_RETRY_MARGIN: MilliSpan = MilliSpan::new(200);

/// The shortest time between two passes over all workers for due polls.
const MIN_PASS_INTERVAL: MilliSpan = MilliSpan::new(5);

/// Determines when the next pass over all workers is due.
#[derive(Debug, Default)]
pub(super) struct PollSchedule {
    last_pass: MilliTime,
    /// The earliest poll that was not yet due at the last pass, if any.
    earliest: Option<MilliTime>,
    /// An event since the last pass may have made a poll due.
    is_stale: bool,
    /// Polls that are due wait until others are answered.
    is_limited: bool,
}

impl PollSchedule {
    /// Returns when the next pass is due; `None` if no poll is scheduled.
    fn due(&self) -> Option<MilliTime> {
        let pass = self.last_pass + MIN_PASS_INTERVAL;
        if self.is_stale {
            return Some(pass);
        }
        self.earliest.map(|earliest| earliest.max(pass))
    }
}

impl WorkCell {
    /// Sends the polls that are due.
    pub(super) fn send_due_polls(&mut self) {
        if self.now < self.polls.last_pass + MIN_PASS_INTERVAL {
            self.polls.is_stale = true;
            return;
        }
        let contested = self.contested_addresses();
        let planned = self.workers.iter().filter(|(_, worker)| {
            let address = &worker.report.address;
            let is_polled = !worker.is_replaced()
                || worker.doubted.is_some()
                || contested.get(address) == Some(&true);
            !address.is_empty() && is_polled && !worker.lease.is_polling && worker.needs_polling()
        });
        let mut earliest = None;
        let mut due = Vec::new();
        // Those without control, with their urgency.
        let mut limited = Vec::new();
        for (worker_key, worker) in planned {
            let next = worker.lease.next_poll_at;
            if next > self.now {
                earliest = Some(earliest.map_or(next, |earliest: MilliTime| earliest.min(next)));
            } else if worker.lease.has_control {
                due.push(worker_key);
            } else {
                // The leases of runs end. Workers that did not answer may be gone.
                let tells_of_runs =
                    !worker.runs.is_empty() || contested.contains_key(&worker.report.address);
                let urgency = (!tells_of_runs, worker.lease.failed_polls, next);
                limited.push((urgency, worker_key));
            }
        }
        let free = self.free_polls();
        self.polls = PollSchedule {
            last_pass: self.now,
            earliest,
            is_stale: false,
            is_limited: limited.len() > free,
        };
        limited.sort_unstable();
        due.extend(limited.iter().take(free).map(|(_, worker_key)| worker_key));
        for worker_key in due {
            self.send_poll(worker_key);
        }
    }

    /// Returns how many polls may be sent to workers without control.
    fn free_polls(&self) -> usize {
        let is_open = |lease: &LeaseState| lease.is_polling && !lease.has_control;
        let open = self
            .workers
            .values()
            .filter(|worker| is_open(&worker.lease));
        self.poll_window.free(open.count())
    }

    /// Makes the next poll of a worker due.
    pub(super) fn poll_soon(&mut self, worker_key: WorkerKey) {
        self.workers[worker_key].lease.next_poll_at = self.now;
        self.polls.is_stale = true;
    }

    fn send_poll(&mut self, worker_key: WorkerKey) {
        let may_extend = self.may_extend_leases();
        let (policy, now) = (self.policy, self.now);
        let is_for_trials = self.trial_workers.contains_key(&worker_key);
        let worker = &mut self.workers[worker_key];
        let lease = &mut worker.lease;
        // A worker without runs needs no lease. Without control, the owner has
        // to know the worker's runs before it extends their lease.
        let extends = may_extend && lease.has_control && !worker.runs.is_empty();
        let until = extends.then(|| lease.extend(&policy.lease, now)).flatten();
        // Suspected tasks wait for the answer, also to start.
        let is_awaited = is_for_trials || worker.apart_job.is_some();
        let waits = lease.has_control && !worker.runs.is_empty() && !is_awaited;
        lease.is_polling = true;
        // An incarnation that the owner has not met yet counts its ends from 1, and would
        // forget those that nobody has read.
        let last_recorded_end = if worker.has_unconfirmed_start() {
            if worker.last_recorded_end > worker.acknowledged_end {
                worker.withheld_since.get_or_insert(now);
            }
            0
        } else {
            worker.withheld_since = None;
            worker.last_recorded_end
        };
        let lease = &mut worker.lease;
        lease.acknowledging_token = (last_recorded_end > 0).then_some(lease.token);
        let lease = &worker.lease;
        let command = PollCommand {
            worker: worker_key,
            incarnation: worker.incarnation,
            until,
            token: lease.token,
            last_recorded_end,
            max_wait: if waits {
                policy.poll.max_wait
            } else {
                MilliSpan::ZERO
            },
            sent: now,
            target: worker.target(),
        };
        self.effects.push(CellEffect::Poll(command));
    }

    /// Applies the result of a poll.
    pub fn poll_answered(
        &mut self,
        command: &PollCommand,
        result: Result<WorkerListing, OrderError>,
    ) {
        let now = self.now;
        self.polls.is_stale |= self.polls.is_limited;
        self.poll_window
            .record(result.is_ok(), now.since(command.sent), now);
        if !self.admits(command.into()) {
            return;
        }
        let worker = &mut self.workers[command.worker];
        worker.lease.is_polling = false;
        worker.lease.acknowledging_token = None;
        match result {
            // A start has overtaken the poll.
            Err(OrderError::Fenced) if worker.lease.is_passed(command.token) => {
                worker.lease.next_poll_at = now;
            }
            Ok(listing) => {
                worker.lease.failed_polls = 0;
                // On a full link, fewer polls return more ends each.
                let pause = self.policy.poll.interval + self.order_delay;
                worker.lease.next_poll_at = now + pause.min(self.policy.poll.max_wait);
                self.apply_listing(command, &listing);
                self.release_held_starts(command.worker);
            }
            Err(error) => {
                worker.lease.failed_polls += 1;
                worker.lease.next_poll_at = now + self.policy.poll.retry_delay;
                if worker.lease.failed_polls <= 2 {
                    log::warn!(
                        worker:% = worker.report.id,
                        misses = worker.lease.failed_polls,
                        runs = worker.runs.len(),
                        token = command.token,
                        error:%;
                        "cell: a poll failed"
                    );
                }
                let present = worker.lease.token;
                if command.token >= worker.lease.control_token {
                    worker.lease.raise_token();
                }
                self.note_fenced(error, command.token, present);
                self.requeue_held(command.worker);
                let is_here = self.workers[command.worker].report.address == command.target.address;
                if error == OrderError::WrongIncarnation && is_here {
                    self.note_other_answer(command.worker);
                }
            }
        }
        self.needs_placement = true;
    }

    fn apply_listing(&mut self, command: &PollCommand, listing: &WorkerListing) {
        let (worker_key, now) = (command.worker, self.now);
        let entry = &mut self.workers[worker_key].entry;
        if *entry == EntryStatus::Doubtful {
            *entry = EntryStatus::Current;
        }
        // After a restart, the token is above that of the poll.
        self.update_incarnation(worker_key, listing);
        if listing.unreadable_rows > 0 {
            log::warn!(
                worker:% = self.workers[worker_key].report.id,
                unreadable = listing.unreadable_rows,
                ends = listing.ended.len();
                "cell: a listing has rows that cannot be read"
            );
        }
        let worker = &mut self.workers[worker_key];
        if command.incarnation == worker.incarnation {
            let acknowledged = command.last_recorded_end;
            worker.acknowledged_end = worker.acknowledged_end.max(acknowledged);
        }
        let is_first = !worker.has_answered_here();
        worker.answered_token = command.token;
        if worker.answered_address.as_ref() != Some(&command.target.address) {
            worker.answered_address = Some(command.target.address.clone());
        }
        worker.answered_poll_sent_at = command.sent;
        worker.last_answer_at = now;
        worker.lease.update_clock(listing.clock, now);
        let is_current = command.token >= worker.lease.control_token;
        let is_whole = listing.ended.len() < MAX_LISTED_ENDS && listing.unreadable_rows == 0;
        self.retract_loss(worker_key);
        if self.workers[worker_key].has_answered_here() {
            self.note_own_answer(worker_key, command.sent, is_first);
        }
        self.apply_ends(worker_key, listing);
        self.apply_running(worker_key, listing);
        self.clear_suspects(worker_key, command.sent);
        if is_current && is_whole {
            self.requeue_absent(command, listing);
            let worker = &mut self.workers[worker_key];
            if !worker.lease.has_control {
                log::info!(
                    worker:% = worker.report.id,
                    token = command.token,
                    runs = worker.runs.len();
                    "cell: a worker accepted this owner's fencing token"
                );
            }
            worker.lease.has_control = true;
        }
    }

    /// Updates the runs that a worker lists, and stops those that should not run. Of these,
    /// the ones that are not placed there take room until a listing does not name them.
    fn apply_running(&mut self, worker_key: WorkerKey, listing: &WorkerListing) {
        let known = &self.workers[worker_key].unwanted_runs;
        let mut unwanted_runs = if listing.unreadable_rows == 0 {
            BTreeMap::new()
        } else {
            known.clone()
        };
        for row in &listing.running {
            if self.apply_running_row(worker_key, row) {
                continue;
            }
            let stop_sent = self.stop_unwanted(worker_key, row);
            if !self.is_run_placed(worker_key, row) {
                let demand = self.listed_demand(worker_key, row);
                let run = UnwantedRun { demand, stop_sent };
                unwanted_runs.insert((row.task.clone(), row.run), run);
            }
        }
        self.workers[worker_key].set_unwanted_runs(unwanted_runs);
    }

    /// Returns whether a run that a worker lists is among those that are placed there.
    fn is_run_placed(&self, worker_key: WorkerKey, row: &RunningRow) -> bool {
        let task_ref = self.find_task(&row.task);
        let placed = task_ref.and_then(|task_ref| self.workers[worker_key].runs.get(&task_ref));
        placed.is_some_and(|placed| placed.number == row.run)
    }

    /// Returns the demand of a run that a worker lists; all that the worker has if the task is
    /// not known.
    fn listed_demand(&self, worker_key: WorkerKey, row: &RunningRow) -> ResourceAmount {
        match self.find_task(&row.task) {
            Some((job_key, index)) => self.jobs[job_key].demand_of(index),
            None => self.workers[worker_key].report.capacity,
        }
    }

    /// Updates a run that a worker lists. Returns whether it should continue.
    fn apply_running_row(&mut self, worker_key: WorkerKey, row: &RunningRow) -> bool {
        let Some((job_key, index)) = self.find_task(&row.task) else {
            return false;
        };
        if self.has_ended_with_gang(job_key, index, worker_key, row.run) {
            return true;
        }
        let job = &self.jobs[job_key];
        let task = &job.tasks[index];
        if task.placement != TaskPlacement::Placed(worker_key) || task.run != row.run {
            return false;
        }
        let ended = job.end.is_some();
        self.update_checkpoint(job_key, index, &row.checkpoint, row.percent);
        let now = self.now;
        let worker = &mut self.workers[worker_key];
        let Some(run) = worker.runs.get_mut(&(job_key, index)) else {
            return false;
        };
        if run.incarnation != worker.incarnation {
            // The start reached this incarnation after the loss of the one before.
            run.incarnation = worker.incarnation;
            run.acknowledged_at = None;
        }
        if run.acknowledged_at.is_none() {
            // The start may have been carried out long after it was sent.
            run.acknowledged_at = Some(now);
            run.percent_at = now;
        }
        self.jobs[job_key].has_started = true;
        if run.percent != row.percent {
            run.percent = row.percent;
            run.percent_at = now;
        }
        let continues = !ended && run.stop_sent.is_none();
        self.learn_from_progress(job_key, index, worker_key);
        continues
    }

    /// Stops a run that a worker lists, unless a stop is on its way. Returns when the last
    /// stop was sent.
    fn stop_unwanted(&mut self, worker_key: WorkerKey, row: &RunningRow) -> MilliTime {
        let now = self.now;
        let longest = self.policy.stop_timeout + STOP_RETRY_MARGIN;
        let task_ref = self.find_task(&row.task);
        let worker = &mut self.workers[worker_key];
        let placed = task_ref.and_then(|task_ref| worker.runs.get_mut(&task_ref));
        let placed = placed.filter(|run| run.number == row.run);
        let is_placed = placed.is_some();
        let last = if let Some(run) = &placed {
            run.stop_sent
        } else {
            let unwanted = worker.unwanted_runs.get(&(row.task.clone(), row.run));
            unwanted.map(|run| run.stop_sent)
        };
        if let Some(sent) = last
            && now.since(sent) < longest
        {
            return sent;
        }
        if let Some(run) = placed {
            run.stop_sent = Some(now);
        }
        self.decisions.add(CellDecision::StopUnwanted);
        log::info!(
            task:% = row.task, run = row.run, worker:% = worker.report.id, is_placed;
            "cell: a run that should not continue is stopped"
        );
        self.effects.push(CellEffect::Stop(StopCommand {
            worker: worker_key,
            incarnation: worker.incarnation,
            target: worker.target(),
            task: row.task.clone(),
            run: row.run,
            token: worker.lease.token,
            sent: now,
            earliest_clock: worker.lease.earliest_clock(&self.policy.lease, now),
        }));
        now
    }

    /// Requeues the runs that the listing proves to be absent. It proves nothing
    /// about a run whose start may arrive after the listing was made, so only two
    /// kinds count: runs that the worker had acknowledged before the poll was
    /// sent, and runs whose start has a lower token, which the worker refuses from now on.
    fn requeue_absent(&mut self, command: &PollCommand, listing: &WorkerListing) {
        let worker_key = command.worker;
        let runs = &self.workers[worker_key].runs;
        let absent: Vec<_> = runs
            .iter()
            .filter(|((job, task), run)| {
                let was_there = run.acknowledged_at.is_some_and(|at| at < command.sent);
                let is_void = run.order_token.is_some_and(|token| token < command.token);
                let name = self.jobs[*job].name_of(*task).to_string();
                let is_reported_running = listing
                    .running
                    .iter()
                    .any(|row| row.task == name && row.run == run.number);
                (was_there || is_void) && !is_reported_running
            })
            .map(|(task_ref, _)| *task_ref)
            .collect();
        for (job, task) in absent {
            self.requeue_or_free(job, task, worker_key, "its worker does not run it");
        }
    }

    /// Requeues the runs of workers whose lease is known to have expired.
    pub(super) fn requeue_expired(&mut self) {
        let expired: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                !worker.runs.is_empty()
                    && !worker.lease.has_control
                    && worker.lease.expires_at(&self.policy.lease) <= self.now
            })
            .map(|(worker_key, _)| worker_key)
            .collect();
        for worker_key in expired {
            if !self.workers[worker_key].report.is_draining {
                self.count_loss(worker_key, false);
            }
            self.workers[worker_key].note_given_up_starts();
            self.requeue_runs(
                worker_key,
                "the lease of its worker expired without an answer",
            );
        }
    }

    /// Returns when `run_due_work` has to be called next at the latest, on the
    /// cell's clock.
    #[must_use]
    pub fn next_due(&self) -> MilliTime {
        let tick = self.now + self.policy.max_tick_interval;
        let poll = self.polls.due().unwrap_or(tick);
        let round = if self.may_place() {
            self.placement_due()
        } else {
            tick
        };
        let ends = self.deferred_ends.due().unwrap_or(tick);
        poll.min(round).min(ends).min(tick)
    }
}

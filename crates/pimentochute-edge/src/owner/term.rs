//! One term as owner: passes events to the cell, lets it schedule, and executes
//! the effects that it returns.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use pimentochute_base::{EpochNumber, MilliSpan, MilliTime};
use pimentochute_platform::TrafficClass;
use pimentochute_work::{
    AdviceCommand, AdviceRow, CellEffect, MIN_RESTORED_RETENTION, OrderError, PollCommand,
    RecordBatch, ReplyKey, StartCommand, StopCommand, WorkCell, WorkerListing,
};
use tokio::sync::{mpsc, oneshot, watch};

use super::batch::BatchWriter;
use super::dispatch::OrderDispatch;
use super::intake_cleanup::IntakeCleanup;
use super::load;
use super::{CellInput, CellOwner, EntryChange, ForwardedCall, JobCall, LogContact, RefusalCheck};
use crate::context::EdgeContext;
use crate::evacuation_feed::EvacuationList;
use crate::heartbeat::OwnerHeartbeat;
use crate::intake::INTAKE_TOPIC;
use crate::outage_log::OutageLog;
use crate::peer_wire::{ForwardedJob, JobQuery, OwnerAnswer, RefusalCause};
use crate::{StoreError, WorkerOrders as _};

/// The shortest time between two batches, so that one batch holds several
/// records: each append to the log has a fixed cost. Longer intervals delay
/// jobs, which need two batches before they run.
const BATCH_INTERVAL: MilliSpan = MilliSpan::new(15);

/// How often a batch that may not be sent yet is tried again.
const BATCH_RETRY_INTERVAL: MilliSpan = MilliSpan::new(3);

/// When the newest batch has been in flight for this long, the next one is sent
/// without waiting for its answer.
const BATCH_OVERLAP_AFTER: MilliSpan = MilliSpan::new(25);

/// The largest number of batches in flight.
const MAX_OPEN_BATCHES: usize = 4;

/// The log counts as lost to the owner when an append has failed and the oldest
/// batch in flight is older than this.
const LOST_LOG_AFTER: MilliSpan = MilliSpan::new(120);

/// The log also counts as lost when neither a batch of this age nor a renewal of the
/// membership since then was answered.
const SILENT_LOG_AFTER: MilliSpan = MilliSpan::new(600);

/// Makes the input of a call, by which it is queued again.
type InputConstructor = fn(JobCall) -> CellInput;

/// The state of one term as owner.
pub(super) struct OwnerTerm {
    owner: CellOwner,
    pub(super) cell: WorkCell,
    heartbeat: OwnerHeartbeat,
    epoch: EpochNumber,
    /// When the cell was loaded.
    began_at: MilliTime,
    /// The number of the next append.
    next_sequence: u64,
    events: mpsc::Sender<TermEvent>,
    replies: BTreeMap<ReplyKey, oneshot::Sender<OwnerAnswer>>,
    intake_cleanup: IntakeCleanup,
    cleanup_outage: OutageLog,
    next_reply: u64,
    /// The number of the last append that the log has confirmed.
    recorded_sequence: u64,
    /// The last append of a batch failed.
    is_failing: bool,
    /// It failed because the log refused it.
    is_refused: bool,
    outage: OutageLog,
    /// When the last batch was sent.
    last_write_at: Option<MilliTime>,
    orders: Arc<OrderDispatch>,
    evacuations: watch::Receiver<EvacuationList>,
    /// Calls about unknown jobs that wait for the next check, each with its input.
    unchecked_calls: Vec<(JobCall, InputConstructor)>,
    /// Forwarded jobs that are refused if the next check allows it.
    unchecked_jobs: Vec<ForwardedCall>,
    /// A check for such calls is in flight.
    is_checking_calls: bool,
    /// The version of the member list from which the cell and `orders` got their relays.
    relays_version: Option<u64>,
    /// The term's input channel; `None` until the loop of the term begins.
    pub(super) inputs: Option<mpsc::Sender<CellInput>>,
    /// The offset in the intake topic up to which jobs were passed to this term.
    pub(super) intake_offset: Arc<AtomicU64>,
}

/// An event that the term handles: an input, or the result of an effect.
pub(super) enum TermEvent {
    Input(CellInput),
    Started(StartCommand, Result<MilliTime, OrderError>),
    Stopped(StopCommand, Result<MilliTime, OrderError>),
    Polled(PollCommand, Result<WorkerListing, OrderError>),
    Advised(AdviceCommand, Option<Vec<AdviceRow>>),
    Recorded {
        sequence: u64,
        sent_at: MilliTime,
    },
    /// An append of a batch failed and is retried.
    AppendFailed {
        error: StoreError,
        /// The log answered so, or refused the connection.
        is_refusal: bool,
    },
    Fenced,
    /// An append that deletes submissions from the intake topic has ended.
    IntakeCleaned(Result<(), StoreError>),
    /// A check for calls about unknown jobs has ended.
    CallsChecked,
}

impl OwnerTerm {
    pub(super) fn new(
        owner: CellOwner,
        cell: WorkCell,
        epoch: EpochNumber,
        events: mpsc::Sender<TermEvent>,
        heartbeat: OwnerHeartbeat,
    ) -> Self {
        let clock = owner.context.clock.clone();
        let began_at = clock.now();
        let outage = OutageLog::new("owner: writing to the log", clock.clone());
        let orders = Arc::new(OrderDispatch::new(&owner, epoch));
        let evacuations = owner.config.evacuations().subscribe();
        let cleanup_outage = OutageLog::new("owner: deleting from the intake topic", clock);
        Self {
            owner,
            cell,
            heartbeat,
            epoch,
            began_at,
            next_sequence: 1,
            events,
            replies: BTreeMap::new(),
            intake_cleanup: IntakeCleanup::default(),
            cleanup_outage,
            next_reply: 0,
            recorded_sequence: 0,
            is_failing: false,
            is_refused: false,
            outage,
            last_write_at: None,
            orders,
            evacuations,
            unchecked_calls: Vec::new(),
            unchecked_jobs: Vec::new(),
            is_checking_calls: false,
            relays_version: None,
            inputs: None,
            intake_offset: Arc::default(),
        }
    }

    /// Sets the cell's clock to the present time, and the evacuated data centres to those that
    /// this host knows.
    pub(super) fn advance(&mut self) {
        let clock = &self.owner.context.clock;
        self.cell.advance(clock.now(), clock.unix_now());
        // The list is at least as new as a confirmation that is read before it.
        let confirmed_at = clock.now() - self.owner.config.age();
        let evacuations = self.evacuations.borrow();
        self.cell.set_evacuated(&evacuations.data_centres);
        self.cell.confirm_evacuations(confirmed_at);
    }

    /// Passes an event to the cell.
    ///
    /// # Errors
    /// Fails if a newer epoch has fenced this term.
    pub(super) fn handle_event(&mut self, event: TermEvent) -> Result<(), StoreError> {
        match event {
            TermEvent::Input(input) => self.handle_input(input),
            TermEvent::Started(command, result) => self.cell.start_answered(&command, result),
            TermEvent::Stopped(command, result) => self.cell.stop_answered(&command, result),
            TermEvent::Polled(command, result) => self.cell.poll_answered(&command, result),
            TermEvent::Advised(command, rows) => self.cell.advice_answered(&command, rows),
            TermEvent::Recorded { sequence, sent_at } => {
                self.is_failing = false;
                self.is_refused = false;
                self.outage.record_success();
                self.cell.update_log_contact(sent_at);
                // The log accepts the batches only in order, so the earlier
                // ones are recorded as well.
                while self.recorded_sequence < sequence {
                    self.recorded_sequence += 1;
                    self.cell.batch_recorded();
                }
            }
            TermEvent::AppendFailed { error, is_refusal } => {
                self.is_failing = true;
                self.is_refused = is_refusal;
                self.outage.record_failure(&error);
            }
            TermEvent::IntakeCleaned(result) => self.finish_cleanup(result),
            TermEvent::Fenced => return Err(StoreError::Fenced),
            TermEvent::CallsChecked => self.check_unknown_calls(),
        }
        Ok(())
    }

    fn handle_input(&mut self, input: CellInput) {
        match input {
            CellInput::FromIntake { jobs, complete_at } => {
                for (code, submission) in jobs {
                    self.cell.accept_from_intake(code, submission);
                }
                if let Some(sent_at) = complete_at {
                    self.cell.update_intake_read(sent_at);
                }
            }
            CellInput::Workers {
                entries,
                is_complete,
                written_after,
            } => {
                if is_complete {
                    let ids = entries.iter().map(|(id, _)| id.clone()).collect();
                    self.cell.unlist_workers_except(&ids);
                }
                for (id, change) in entries {
                    match (change, written_after) {
                        (EntryChange::Reported(report), Some(written_after)) => {
                            self.cell.worker_reported_after(report, written_after);
                        }
                        (EntryChange::Reported(report), None) => self.cell.worker_reported(report),
                        (EntryChange::Removed, _) => self.cell.worker_unlisted(&id),
                        (EntryChange::Unreadable(error), _) => {
                            self.cell.entry_unreadable(&id, &error);
                        }
                    }
                }
            }
            // The host that forwards the job then appends it itself, or refuses it
            // as not run. That would be wrong for a job that this owner already
            // tries to record.
            CellInput::ForwardedJob(call)
                if self.cell.state(call.job.job).is_none()
                    && (self.has_lost_log()
                        || self.heartbeat.has_failed()
                        || self.is_outdated(&call.job)) =>
            {
                send_reply(call.reply, OwnerAnswer::NotOwner);
            }
            CellInput::ForwardedJob(call) => self.admit_forwarded(call),
            CellInput::State(call) => {
                let JobCall { query, .. } = &call;
                let is_visible = self.cell.is_visible(query.job, query.scope());
                match self.cell.state(query.job).filter(|_| is_visible) {
                    Some(status) => send_reply(call.reply, OwnerAnswer::from(status)),
                    None => self.recheck_unknown(call, CellInput::State),
                }
            }
            CellInput::Cancel(call) => self.cancel(call),
            CellInput::Pending(query, reply) => {
                let jobs = self.cell.pending(&query.queue);
                send_reply(reply, OwnerAnswer::Pending(jobs as u64));
            }
        }
    }

    fn cancel(&mut self, call: JobCall) {
        let JobQuery { job, .. } = call.query;
        if self.cell.is_visible(job, call.query.scope()) {
            log::info!(
                job:%,
                asked_by = call.query.team.as_deref().unwrap_or("-"),
                team = self.cell.team_of(job).unwrap_or("-");
                "owner: a caller cancels a job"
            );
            let key = self.reply_key(call.reply);
            self.cell.cancel(job, key);
        } else if call.was_checked {
            self.log_unknown(&call.query);
            let key = self.reply_key(call.reply);
            self.cell.cancel_unknown(job, call.query.scope(), key);
        } else {
            self.recheck_unknown(call, CellInput::Cancel);
        }
    }

    /// Returns whether a forwarded job was received so long ago that the cell may have
    /// forgotten its end or its cancellation. The call was then held up, and its host waits for
    /// no answer any more; a host with a time of day that is far behind appends the job itself.
    fn is_outdated(&self, call: &ForwardedJob) -> bool {
        let now = self.owner.context.clock.unix_now();
        let age = now.since(call.submission.received);
        let is_outdated = age > MIN_RESTORED_RETENTION;
        if is_outdated {
            log::warn!(job:% = call.job, age:%; "owner: an outdated call with a job is not taken");
        }
        is_outdated
    }

    /// Accepts a forwarded job, or refuses it if it cannot be served in time. The refusal
    /// says that the job will not run, so it follows the same check as the answer that a job
    /// does not exist: a newer owner or a host may have got the job into the log.
    fn admit_forwarded(&mut self, call: ForwardedCall) {
        let ForwardedJob { job, submission } = &call.job;
        let may_refuse = call.check != RefusalCheck::Failed;
        if may_refuse && self.cell.refusal_of(*job, submission).is_some() {
            if call.check == RefusalCheck::Open {
                self.unchecked_jobs.push(call);
                if !self.is_checking_calls {
                    self.check_unknown_calls();
                }
                return;
            }
            if let Some(retry_after) = self.cell.refuse(*job, submission) {
                let cause = RefusalCause::NoRoom;
                send_reply(call.reply, OwnerAnswer::Refused { retry_after, cause });
                return;
            }
        }
        let key = self.reply_key(call.reply);
        let ForwardedJob { job, submission } = call.job;
        self.cell.accept_forwarded(job, submission, key);
    }

    /// Answers that a job does not exist, but only once this term is confirmed and
    /// the intake topic has been read to its end, both after the call arrived. A
    /// newer owner may have accepted the job; or a host may have appended it
    /// itself, and this owner may not have read it yet. If there are no further
    /// records, the call is queued again behind the jobs that were read in the
    /// meantime. Otherwise the answer is `OwnerAnswer::NotOwner`, after which the
    /// caller's host retries.
    ///
    /// Calls share a check: each reads a page of the intake topic, and many of them would
    /// fill the link of this host.
    fn recheck_unknown(&mut self, call: JobCall, to_input: InputConstructor) {
        if call.was_checked {
            self.log_unknown(&call.query);
            send_reply(call.reply, OwnerAnswer::Unknown);
            return;
        }
        self.unchecked_calls.push((call, to_input));
        if !self.is_checking_calls {
            self.check_unknown_calls();
        }
    }

    /// Logs that a caller is told that a job does not exist, which may also be one that it may
    /// not see.
    fn log_unknown(&self, query: &JobQuery) {
        log::info!(
            job:% = query.job,
            asked_by = query.team.as_deref().unwrap_or("-"),
            queue = query.queue.as_deref().unwrap_or("-"),
            is_hidden = self.cell.state(query.job).is_some(),
            epoch:% = self.epoch,
            term_age:% = self.owner.context.clock.now().since(self.began_at),
            intake_offset = self.intake_offset.load(Ordering::SeqCst);
            "owner: a job is unknown"
        );
    }

    /// Starts a check for the calls about unknown jobs that have arrived.
    fn check_unknown_calls(&mut self) {
        let calls = std::mem::take(&mut self.unchecked_calls);
        let jobs = std::mem::take(&mut self.unchecked_jobs);
        let is_wanted = !calls.is_empty() || !jobs.is_empty();
        self.is_checking_calls = is_wanted;
        let Some(inputs) = self.inputs.clone().filter(|_| is_wanted) else {
            for (call, _) in calls {
                send_reply(call.reply, OwnerAnswer::NotOwner);
            }
            for call in jobs {
                send_reply(call.reply, OwnerAnswer::NotOwner);
            }
            self.is_checking_calls = false;
            return;
        };
        let store = Arc::clone(&self.owner.context.ports.store);
        let next = Arc::clone(&self.intake_offset);
        let claims = self.owner.claims.clone();
        let epoch = self.epoch;
        self.spawn(async move {
            let from = next.load(Ordering::SeqCst);
            let page = store.read(INTAKE_TOPIC, from, MilliSpan::ZERO);
            let (is_owner, page) = futures::join!(claims.confirm(epoch), page);
            let is_read = page.is_ok_and(|page| page.records.is_empty());
            let is_checked = is_read && is_owner.unwrap_or(false);
            for (call, to_input) in calls {
                if is_checked {
                    let rechecked = JobCall {
                        was_checked: true,
                        ..call
                    };
                    // If the term has ended, the reply channel is dropped and the
                    // caller gets `OwnerAnswer::Unanswered`.
                    drop(inputs.send(to_input(rechecked)).await);
                } else {
                    send_reply(call.reply, OwnerAnswer::NotOwner);
                }
            }
            let check = if is_checked {
                RefusalCheck::Passed
            } else {
                RefusalCheck::Failed
            };
            for call in jobs {
                let rechecked = ForwardedCall { check, ..call };
                drop(inputs.send(CellInput::ForwardedJob(rechecked)).await);
            }
            TermEvent::CallsChecked
        });
    }

    /// Stores the channel for a reply until the cell has the answer, and returns
    /// its key.
    fn reply_key(&mut self, reply: oneshot::Sender<OwnerAnswer>) -> ReplyKey {
        let key = ReplyKey(self.next_reply);
        self.next_reply += 1;
        self.replies.insert(key, reply);
        key
    }

    /// Does the work of the cell that is due, executes its effects and writes the
    /// next batch.
    ///
    /// # Errors
    /// Fails if the batch cannot be encoded.
    pub(super) fn run_due_work(&mut self) -> Result<(), StoreError> {
        self.confirm_by_membership();
        self.set_relays();
        let link = &self.owner.context.ports.link;
        self.cell.set_order_delay(link.delay(TrafficClass::Order));
        self.cell.run_due_work();
        loop {
            let effects = self.cell.take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.execute(effect);
            }
        }
        self.clean_intake();
        self.write_next_batch()
    }

    /// Returns the age of the oldest batch that the log has not answered.
    pub(super) fn oldest_batch(&self) -> MilliSpan {
        let (_, _, oldest) = self.cell.batches();
        oldest
    }

    /// Returns whether the log counts as lost to this owner.
    fn has_lost_log(&self) -> bool {
        let (_, _, oldest) = self.cell.batches();
        let is_silent =
            oldest > SILENT_LOG_AFTER && self.owner.group.join_answer_age() > SILENT_LOG_AFTER;
        self.is_failing && oldest > LOST_LOG_AFTER || is_silent
    }

    /// Returns how the log treats the appends of this owner.
    fn log_contact(&self) -> LogContact {
        if self.heartbeat.is_refused() {
            return LogContact::Refuses;
        }
        match (self.has_lost_log(), self.is_refused) {
            (false, _) => LogContact::Accepts,
            (true, false) => LogContact::Silent,
            (true, true) => LogContact::Refuses,
        }
    }

    /// Returns when `run_due_work` is due next, on the cell's clock.
    pub(super) fn next_due(&self) -> MilliTime {
        let due = self.cell.next_due();
        match self.last_write_at {
            Some(at) if self.cell.has_records() => {
                // Records that could not be written wait for the link or for a batch in flight.
                let retry = self.owner.context.clock.now() + BATCH_RETRY_INTERVAL;
                due.min(retry.max(at + BATCH_INTERVAL))
            }
            _ => due,
        }
    }

    /// Sends the next batch if the limits on batches in flight allow it.
    fn write_next_batch(&mut self) -> Result<(), StoreError> {
        self.owner.local_owner.set_log_contact(self.log_contact());
        let (batches, newest, _) = self.cell.batches();
        let (jobs, workers) = self.cell.sizes();
        self.owner
            .context
            .counters
            .record_cell(jobs, workers, batches);
        let suspects = self.cell.suspects_waiting();
        self.owner.context.counters.record_suspects(suspects);
        let kept = self.cell.early_cancellations();
        self.owner.context.counters.record_early_cancellations(kept);
        let decisions = self.cell.take_decisions();
        self.owner.context.counters.record_decisions(&decisions);
        // The first append of an epoch defines its first sequence number, so it
        // has to be in the log before a second one is sent.
        let is_first = self.recorded_sequence == 0;
        if self
            .last_write_at
            .is_some_and(|at| self.owner.context.clock.now().since(at) < BATCH_INTERVAL)
        {
            return Ok(());
        }
        if batches >= MAX_OPEN_BATCHES || batches > 0 && (is_first || newest < BATCH_OVERLAP_AFTER)
        {
            return Ok(());
        }
        // A job that changes again until the link takes the batch is recorded once.
        let link = &self.owner.context.ports.link;
        if batches > 0 && link.delay(TrafficClass::Append) > MilliSpan::ZERO {
            return Ok(());
        }
        let batch = self
            .cell
            .take_batch()
            .map_err(|error| StoreError::NotDone {
                detail: error.to_string(),
            })?;
        if let Some(batch) = batch {
            self.last_write_at = Some(self.owner.context.clock.now());
            self.spawn_writer(batch);
        }
        Ok(())
    }

    /// Tells the cell that the log still accepted this owner when the last
    /// answered join was sent, so that it may go on extending leases. This holds
    /// while this host knows no newer claim.
    fn confirm_by_membership(&mut self) {
        if self.owner.claims.is_owner() {
            let now = self.owner.context.clock.now();
            self.cell
                .update_log_contact(now - self.owner.group.join_answer_age());
        }
    }

    fn execute(&mut self, effect: CellEffect) {
        let orders = Arc::clone(&self.orders);
        let context = self.owner.context.clone();
        match effect {
            CellEffect::Start(command) => self.spawn(async move {
                let result = record_order(&context, "start", orders.start(&command)).await;
                TermEvent::Started(command, result)
            }),
            CellEffect::Stop(command) => self.spawn(async move {
                let result = record_order(&context, "stop", orders.stop(&command)).await;
                TermEvent::Stopped(command, result)
            }),
            CellEffect::Poll(command) => self.spawn(async move {
                let result = record_order(&context, "look", orders.poll(&command)).await;
                TermEvent::Polled(command, result)
            }),
            CellEffect::RequestAdvice(command) => self.request_advice(command),
            CellEffect::DropIntake(job) => self.intake_cleanup.add(job),
            CellEffect::Reply(key, answer) => {
                if let Some(reply) = self.replies.remove(&key) {
                    send_reply(reply, OwnerAnswer::from(answer));
                }
            }
        }
    }

    /// Passes the hosts that may relay advice requests to the cell, after each
    /// change of the member list.
    fn set_relays(&mut self) {
        let version = self.owner.group.members_version();
        if version == self.relays_version {
            return;
        }
        self.relays_version = version;
        let own = self.owner.context.settings.peer_address().to_string();
        let others = self.owner.group.peers().into_iter();
        let others: Vec<_> = others.map(|member| member.address).collect();
        self.orders.set_relays(&others);
        let hosts = std::iter::once(own).chain(others).collect();
        self.cell.set_relays(hosts);
    }

    fn request_advice(&self, command: AdviceCommand) {
        let advice = self.owner.context.ports.advice.clone();
        let peer_client = Arc::clone(&self.owner.peer_client);
        let own = self.owner.context.settings.peer_address().to_string();
        self.spawn(async move {
            let rows = match advice {
                Some(advice) if command.relay == own => advice.advise(&command).await,
                Some(_) => peer_client.advise(&command).await,
                None => None,
            };
            TermEvent::Advised(command, rows)
        });
    }

    /// Starts a task that appends a batch and retries until it is in the log or
    /// fenced.
    fn spawn_writer(&mut self, batch: RecordBatch) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let writer = BatchWriter {
            context: self.owner.context.clone(),
            events: self.events.clone(),
            epoch: self.epoch.get(),
            sequence,
            records: batch.writes.into_iter().map(load::keyed_record).collect(),
        };
        self.spawn(writer.run());
    }

    /// Deletes the submissions of closed jobs that hosts appended themselves.
    fn clean_intake(&mut self) {
        let now = self.owner.context.clock.now();
        let Some(call) = self.intake_cleanup.next_call(now) else {
            return;
        };
        let store = Arc::clone(&self.owner.context.ports.store);
        self.spawn(async move { TermEvent::IntakeCleaned(store.append(call).await.map(drop)) });
    }

    /// Reports the submissions that are deleted to the cell; the others are retried.
    fn finish_cleanup(&mut self, result: Result<(), StoreError>) {
        match result {
            Ok(()) => {
                self.cleanup_outage.record_success();
                for job in self.intake_cleanup.record_success() {
                    self.cell.intake_record_dropped(job);
                }
            }
            Err(error) => {
                self.cleanup_outage.record_failure(&error);
                let now = self.owner.context.clock.now();
                self.intake_cleanup.record_failure(now);
            }
        }
    }

    /// Spawns a task whose result comes back as an event. The task is cancelled
    /// when the term ends.
    fn spawn(&self, call: impl Future<Output = TermEvent> + Send + 'static) {
        let events = self.events.clone();
        tokio::spawn(async move {
            // Sending fails only if the term has ended.
            tokio::select! {
                () = events.closed() => {}
                event = call => drop(events.send(event).await),
            }
        });
    }
}

/// Awaits an order and records its outcome and duration.
async fn record_order<T>(
    context: &EdgeContext,
    kind: &'static str,
    order: impl Future<Output = Result<T, OrderError>>,
) -> Result<T, OrderError> {
    let sent_at = context.clock.now();
    let result = order.await;
    let outcome = match &result {
        Ok(_) => "done",
        Err(error) => error.into(),
    };
    let took = context.clock.now().since(sent_at);
    context.counters.record_order(kind, outcome, took);
    result
}

fn send_reply(reply: oneshot::Sender<OwnerAnswer>, answer: OwnerAnswer) {
    if reply.send(answer).is_err() {
        log::debug!("owner: a caller disconnected before the answer");
    }
}

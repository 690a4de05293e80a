//! Accepts jobs from callers and gets them into the log.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_work::{JobCode, RecordError, encode_record};
use strum::IntoStaticStr;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::context::EdgeContext;
use crate::members::HostGroup;
use crate::owner_client::{ForwardOutcome, OwnerClient};
use crate::peer_wire::{ForwardedJob, RefusalCause};
use crate::{AppendCall, KeyedRecord, StoreError};

/// The topic of the jobs that hosts append themselves.
pub(crate) const INTAKE_TOPIC: &str = "keyed.intake";

/// The largest number of records in one append.
const MAX_BATCH_RECORDS: usize = 64;

/// The largest number of jobs that wait for the log; further ones are refused.
const MAX_WAITING_JOBS: usize = 512;

/// The delay before a failed append is retried.
const RETRY_DELAY: MilliSpan = MilliSpan::new(60);

/// The timeout for the owner to record a job: two appends to a slow log.
const OWNER_TIMEOUT: MilliSpan = MilliSpan::new(1_000);

/// When the log has not answered a host for this long, the host does not keep
/// jobs waiting for it.
const LOG_SILENT_AFTER: MilliSpan = MilliSpan::new(1_000);

/// A job that is certainly not in the log is refused after it has waited this
/// long.
const REFUSE_AFTER: MilliSpan = MilliSpan::new(400);

/// Gets jobs into the log: forwards them to the owner of the cell, which records
/// them in its next batch, or appends them itself while no owner answers.
#[derive(Clone)]
pub(crate) struct JobIntake {
    context: EdgeContext,
    owner_client: OwnerClient,
    group: HostGroup,
    sender: mpsc::Sender<IntakeItem>,
}

/// Appends the jobs that no owner has accepted.
pub(crate) struct IntakeWriter {
    context: EdgeContext,
    group: HostGroup,
    receiver: mpsc::Receiver<IntakeItem>,
}

/// The outcome of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum IntakeOutcome {
    /// The job is in the log.
    Accepted,
    /// The job is not and will not be in the log.
    Refused,
    /// The job may be in the log, or get there later.
    Unknown,
    /// The owner cannot serve the job in time and has not accepted it; its caller should
    /// return after this time.
    NoRoom(MilliSpan),
    /// The identifier belongs to another job, and the owner has not accepted this one; its
    /// caller should return after this time, or choose another identifier.
    IdentifierTaken(MilliSpan),
}

struct IntakeItem {
    code: JobCode,
    value: Bytes,
    arrived_at: MilliTime,
    /// When the caller stops waiting.
    deadline: MilliTime,
    /// The job may be in the log, or get there later.
    is_uncertain: bool,
    reply: oneshot::Sender<IntakeOutcome>,
}

impl JobIntake {
    /// Creates the intake and its writer.
    pub(crate) fn new(
        context: EdgeContext,
        group: HostGroup,
        owner_client: OwnerClient,
    ) -> (Self, IntakeWriter) {
        let (sender, receiver) = mpsc::channel(MAX_WAITING_JOBS);
        let writer = IntakeWriter {
            context: context.clone(),
            group: group.clone(),
            receiver,
        };
        let intake = Self {
            context,
            owner_client,
            group,
            sender,
        };
        (intake, writer)
    }

    /// Gets a job into the log and returns the outcome, at `deadline` the one that is
    /// known by then.
    ///
    /// # Errors
    /// Fails if the job cannot be encoded.
    pub(crate) async fn submit(
        &self,
        job: ForwardedJob,
        arrived_at: MilliTime,
        deadline: MilliTime,
    ) -> Result<IntakeOutcome, RecordError> {
        let outcome = self.owner_client.forward_job(&job, OWNER_TIMEOUT).await;
        match outcome {
            ForwardOutcome::Accepted => return Ok(IntakeOutcome::Accepted),
            // The owner runs no job that it refused, so this host must not append it.
            ForwardOutcome::Refused(retry_after, RefusalCause::NoRoom) => {
                return Ok(IntakeOutcome::NoRoom(retry_after));
            }
            ForwardOutcome::Refused(retry_after, RefusalCause::IdentifierTaken) => {
                return Ok(IntakeOutcome::IdentifierTaken(retry_after));
            }
            ForwardOutcome::NotTaken | ForwardOutcome::Unknown => {}
        }
        let (reply, outcome_of_append) = oneshot::channel();
        let item = IntakeItem {
            code: job.job,
            value: encode_record(&job.submission)?.into(),
            arrived_at,
            deadline,
            is_uncertain: outcome == ForwardOutcome::Unknown,
            reply,
        };
        if self.group.join_answer_age() > LOG_SILENT_AFTER {
            return Ok(item.outcome_if_given_up());
        }
        if let Err(error) = self.sender.try_send(item) {
            let item = match error {
                TrySendError::Full(item) | TrySendError::Closed(item) => item,
            };
            log::warn!(job:% = item.code; "intake: the append queue is full or closed");
            return Ok(item.outcome_if_given_up());
        }
        let left = deadline.since(self.context.clock.now());
        let outcome = tokio::time::timeout(left.as_duration(), outcome_of_append).await;
        let Ok(Ok(outcome)) = outcome else {
            return Ok(IntakeOutcome::Unknown);
        };
        Ok(outcome)
    }
}

impl IntakeItem {
    /// Returns the outcome if no further append is tried.
    const fn outcome_if_given_up(&self) -> IntakeOutcome {
        if self.is_uncertain {
            IntakeOutcome::Unknown
        } else {
            IntakeOutcome::Refused
        }
    }
}

impl IntakeWriter {
    /// Appends jobs in batches until `stop`.
    pub(crate) async fn run(&mut self, stop: CancellationToken) {
        let mut waiting = VecDeque::new();
        loop {
            if waiting.is_empty() {
                tokio::select! {
                    () = stop.cancelled() => return,
                    item = self.receiver.recv() => match item {
                        Some(item) => waiting.push_back(item),
                        None => return,
                    },
                }
            }
            while waiting.len() < MAX_BATCH_RECORDS
                && let Ok(item) = self.receiver.try_recv()
            {
                waiting.push_back(item);
            }
            self.write(&mut waiting).await;
        }
    }

    async fn write(&self, waiting: &mut VecDeque<IntakeItem>) {
        answer_late(waiting, self.context.clock.now());
        if waiting.is_empty() {
            return;
        }
        let records = waiting.iter().map(|item| KeyedRecord {
            key: item.code.to_string(),
            value: item.value.clone(),
        });
        let call = AppendCall {
            topic: INTAKE_TOPIC.to_owned(),
            records: records.collect(),
            stamp: None,
            expected_end: None,
        };
        // Repeated records are harmless: the first one of a job counts.
        let result = self.context.ports.store.append(call).await;
        let now = self.context.clock.now();
        match result {
            Ok(_) => {
                for item in waiting.drain(..) {
                    send_outcome(item, IntakeOutcome::Accepted, now);
                }
            }
            Err(error) => {
                log::warn!(jobs = waiting.len(), error:%; "intake: appending jobs failed");
                let is_log_silent = self.group.join_answer_age() > LOG_SILENT_AFTER;
                answer_expired(waiting, &error, is_log_silent, now);
                tokio::time::sleep(RETRY_DELAY.as_duration()).await;
            }
        }
    }
}

/// Answers the jobs whose caller has stopped waiting. After a suspension of the host, a job
/// may be that late that another host got it into the log and its owner has forgotten it.
fn answer_late(waiting: &mut VecDeque<IntakeItem>, now: MilliTime) {
    for item in std::mem::take(waiting) {
        if now >= item.deadline {
            let outcome = item.outcome_if_given_up();
            send_outcome(item, outcome, now);
        } else {
            waiting.push_back(item);
        }
    }
}

/// Answers the jobs that should not wait any longer. If the log does not answer
/// this host, all are answered at once: the caller can sooner try another host.
fn answer_expired(
    waiting: &mut VecDeque<IntakeItem>,
    error: &StoreError,
    is_log_silent: bool,
    now: MilliTime,
) {
    for mut item in std::mem::take(waiting) {
        item.is_uncertain |= !error.is_not_done();
        let is_late = now >= item.deadline;
        let is_refused = !item.is_uncertain && now.since(item.arrived_at) >= REFUSE_AFTER;
        if is_late || is_refused || is_log_silent {
            let outcome = item.outcome_if_given_up();
            send_outcome(item, outcome, now);
        } else {
            waiting.push_back(item);
        }
    }
}

fn send_outcome(item: IntakeItem, outcome: IntakeOutcome, now: MilliTime) {
    let text: &str = outcome.into();
    let took = now.since(item.arrived_at);
    log::info!(job:% = item.code, outcome = text, took:%; "intake: the append of a job without the owner ended");
    if item.reply.send(outcome).is_err() {
        log::debug!(
            "intake: the caller of job {} disconnected before the answer",
            item.code
        );
    }
}

/// The writer, kept across restarts of the supervised task that runs it.
pub(crate) type SharedWriter = Arc<tokio::sync::Mutex<IntakeWriter>>;

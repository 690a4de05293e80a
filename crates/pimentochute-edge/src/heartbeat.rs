//! The heartbeats of the owner in the log. They show that a busy owner works
//! although its answers to other hosts are late.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use pimentochute_base::{EpochNumber, MilliSpan, MilliTime};
use pimentochute_platform::TrafficClass;
use pimentochute_work::{decode_record, encode_record};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;

use crate::context::EdgeContext;
use crate::owner::{LocalOwner, LogContact};
use crate::{AppendCall, KeyedRecord, StoreError};

/// The topic that holds the newest heartbeat of each cell.
pub(crate) const HEARTBEAT_TOPIC: &str = "keyed.heartbeats";

/// The key of the heartbeats; the platform has a single cell.
const CELL_KEY: &str = "cell-0";

/// The key of the records about the condition of the owner.
const CONDITION_KEY: &str = "cell-0.condition";

/// The interval between two heartbeats.
pub(crate) const HEARTBEAT_INTERVAL: MilliSpan = MilliSpan::new(250);

/// The heartbeats stop if the term has made no progress for this long.
const STALL_TIMEOUT: MilliSpan = MilliSpan::new(1_000);

/// The log refuses this host if it has accepted no heartbeat for this long.
const REFUSED_AFTER: MilliSpan = MilliSpan::new(600);

/// The time that a new owner gets for each page while it loads the cell.
const LOAD_TIMEOUT: MilliSpan = MilliSpan::new(5_000);

/// Every so many heartbeats, several are sent at once. Their connections stay idle for the
/// times when answers are late: a heartbeat that had to connect first would be as late.
const BURST_EVERY: u64 = 20;

/// The number of heartbeats of such a burst.
const BURST_HEARTBEATS: usize = 5;

/// The link counts as behind for this long after a message had to wait for it.
const LINK_BEHIND_SPAN: MilliSpan = MilliSpan::new(2_000);

/// The largest number of heartbeats whose append has not been answered.
const MAX_OPEN_APPENDS: usize = 8;

/// One heartbeat, as it is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct HeartbeatRecord {
    epoch: EpochNumber,
    /// Rises with each heartbeat of a term.
    number: u64,
}

/// The condition of the owner, as it is recorded with each heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct ConditionRecord {
    epoch: EpochNumber,
    /// That of the heartbeat.
    number: u64,
    /// In milliseconds.
    answer_age: u64,
    pings: u64,
    has_loaded: bool,
    is_link_behind: bool,
}

/// The condition of the owner as of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerCondition {
    /// The time since the newest heartbeat that the log had accepted was sent.
    pub answer_age: MilliSpan,
    /// The number of pings of other hosts that had reached the owner in its term.
    pub pings: u64,
    /// The owner had loaded the cell.
    pub has_loaded: bool,
    /// Messages had to wait for the link of the owner lately, so that its answers may be
    /// late although it works.
    pub is_link_behind: bool,
}

impl From<ConditionRecord> for OwnerCondition {
    fn from(record: ConditionRecord) -> Self {
        Self {
            answer_age: MilliSpan::new(record.answer_age),
            pings: record.pings,
            has_loaded: record.has_loaded,
            is_link_behind: record.is_link_behind,
        }
    }
}

/// Sends the heartbeats of one term while the term makes progress.
#[derive(Clone)]
pub(crate) struct OwnerHeartbeat {
    context: EdgeContext,
    local_owner: LocalOwner,
    epoch: EpochNumber,
    /// The heartbeats stop at this time of the host's clock, in milliseconds.
    valid_until: Arc<AtomicU64>,
    /// The number of failed appends since the last one that the log accepted.
    failures: Arc<AtomicU32>,
    /// The log refused the last heartbeat that failed.
    is_refused: Arc<AtomicBool>,
    /// When the newest heartbeat that the log accepted was sent, on the host's clock, in
    /// milliseconds; the beginning of the term before the first one.
    accepted_at: Arc<AtomicU64>,
    /// The term has made progress, so the cell is loaded.
    has_loaded: Arc<AtomicBool>,
    /// The age of the oldest batch without an answer as of the last progress, in
    /// milliseconds.
    oldest_batch: Arc<AtomicU64>,
}

impl OwnerHeartbeat {
    /// Creates the heartbeat of a term that begins now.
    pub(crate) fn new(context: EdgeContext, local_owner: LocalOwner, epoch: EpochNumber) -> Self {
        let now = context.clock.now();
        let valid_until = now + LOAD_TIMEOUT;
        Self {
            context,
            local_owner,
            epoch,
            valid_until: Arc::new(AtomicU64::new(valid_until.as_millis())),
            failures: Arc::default(),
            is_refused: Arc::default(),
            accepted_at: Arc::new(AtomicU64::new(now.as_millis())),
            has_loaded: Arc::default(),
            oldest_batch: Arc::default(),
        }
    }

    /// Returns the time since the newest heartbeat that the log accepted was sent; since
    /// the beginning of the term before the first one.
    pub(crate) fn accepted_age(&self) -> MilliSpan {
        let accepted_at = MilliTime::new(self.accepted_at.load(Ordering::Relaxed));
        self.context.clock.now().since(accepted_at)
    }

    /// Returns whether the log did not accept the last heartbeat, so that it may
    /// refuse other appends of this host too.
    pub(crate) fn has_failed(&self) -> bool {
        self.failures.load(Ordering::Relaxed) > 0
    }

    /// Returns whether the log has refused the heartbeats for some time.
    pub(crate) fn is_refused(&self) -> bool {
        self.has_failed()
            && self.is_refused.load(Ordering::Relaxed)
            && self.accepted_age() > REFUSED_AFTER
    }

    /// Logs that a newer owner has replaced this one, with the signs that this one worked.
    pub(crate) fn log_superseded(&self) {
        let link = &self.context.ports.link;
        log::warn!(
            epoch:% = self.epoch,
            heartbeat_age:% = self.accepted_age(),
            failed_heartbeats = self.failures.load(Ordering::Relaxed),
            oldest_batch:% = MilliSpan::new(self.oldest_batch.load(Ordering::Relaxed)),
            log_contact:? = self.local_owner.log_contact(),
            link_delay:% = link.delay(TrafficClass::Append),
            link_waiting = link.waiting_bytes();
            "owner: replaced by a newer owner"
        );
    }

    /// Notes that the term has made progress; `oldest_batch` is the age of its oldest batch
    /// that the log has not answered.
    pub(crate) fn record_progress(&self, oldest_batch: MilliSpan) {
        self.has_loaded.store(true, Ordering::Relaxed);
        self.oldest_batch
            .store(oldest_batch.as_millis(), Ordering::Relaxed);
        let valid_until = self.context.clock.now() + STALL_TIMEOUT;
        self.valid_until
            .fetch_max(valid_until.as_millis(), Ordering::Relaxed);
    }

    /// Notes that the new owner has read more of the cell.
    pub(crate) fn record_load_progress(&self) {
        let valid_until = self.context.clock.now() + LOAD_TIMEOUT;
        self.valid_until
            .fetch_max(valid_until.as_millis(), Ordering::Relaxed);
    }

    /// Appends heartbeats until the future is dropped. They do not wait for each
    /// other, so that a slow link delays them but does not make them rarer.
    pub(crate) async fn run(self) {
        let mut appends = JoinSet::new();
        let mut number = 0;
        for round in 0_u64.. {
            while appends.try_join_next().is_some() {}
            let is_valid =
                self.context.clock.now().as_millis() <= self.valid_until.load(Ordering::Relaxed);
            // An owner without answers goes on: whether its heartbeats arrive tells the
            // other hosts which way has failed. One whose batches alone are refused does not
            // work.
            let is_refused =
                self.local_owner.log_contact() == Some(LogContact::Refuses) && !self.is_refused();
            let count = if round.is_multiple_of(BURST_EVERY) {
                BURST_HEARTBEATS
            } else {
                1
            };
            let free = MAX_OPEN_APPENDS.saturating_sub(appends.len());
            let count = if is_valid && !is_refused { count } else { 0 };
            for _ in 0..count.min(free) {
                number += 1;
                let heartbeat = self.clone();
                appends.spawn(async move {
                    heartbeat.send(number).await;
                });
            }
            tokio::time::sleep(HEARTBEAT_INTERVAL.as_duration()).await;
        }
    }

    async fn send(&self, number: u64) {
        let sent_at = self.context.clock.now();
        match self.append(number).await {
            Ok(_) => {
                self.failures.store(0, Ordering::Relaxed);
                self.accepted_at
                    .fetch_max(sent_at.as_millis(), Ordering::Relaxed);
            }
            Err(error) => {
                let took = self.context.clock.now().since(sent_at);
                self.is_refused
                    .store(error.is_refusal(took), Ordering::Relaxed);
                self.failures.fetch_add(1, Ordering::Relaxed);
                log::debug!(epoch:% = self.epoch, error:%; "owner: a heartbeat failed");
            }
        }
    }

    async fn append(&self, number: u64) -> Result<u64, StoreError> {
        let record = HeartbeatRecord {
            epoch: self.epoch,
            number,
        };
        let condition = ConditionRecord {
            epoch: self.epoch,
            number,
            answer_age: self.accepted_age().as_millis(),
            pings: self.local_owner.pings(),
            has_loaded: self.has_loaded.load(Ordering::Relaxed),
            is_link_behind: self.context.ports.link.was_behind(LINK_BEHIND_SPAN),
        };
        let call = AppendCall {
            topic: HEARTBEAT_TOPIC.to_owned(),
            records: vec![
                encode_entry(CELL_KEY, &record)?,
                encode_entry(CONDITION_KEY, &condition)?,
            ],
            stamp: None,
            expected_end: None,
        };
        self.context.ports.store.append(call).await
    }
}

/// Reads the number of the newest heartbeat of the owner of `epoch`; `None` if
/// the newest one is of another owner or there is none. Also returns the condition of the
/// owner, if it was recorded with this heartbeat.
///
/// # Errors
/// Fails if the log does not answer.
pub(crate) async fn read_heartbeat(
    context: &EdgeContext,
    epoch: EpochNumber,
) -> Result<(Option<u64>, Option<OwnerCondition>), StoreError> {
    let page = context.ports.store.newest(HEARTBEAT_TOPIC, None).await?;
    let heartbeat = decode_entry::<HeartbeatRecord>(&page.records, CELL_KEY);
    let heartbeat = heartbeat.filter(|heartbeat| heartbeat.epoch == epoch);
    let number = heartbeat.map(|heartbeat| heartbeat.number);
    let condition = decode_entry::<ConditionRecord>(&page.records, CONDITION_KEY);
    let condition =
        condition.filter(|condition| condition.epoch == epoch && Some(condition.number) == number);
    Ok((number, condition.map(OwnerCondition::from)))
}

fn encode_entry<T: Serialize>(key: &str, record: &T) -> Result<KeyedRecord, StoreError> {
    let value = encode_record(record).map_err(|error| StoreError::NotDone {
        detail: error.to_string(),
    })?;
    Ok(KeyedRecord {
        key: key.to_owned(),
        value: value.into(),
    })
}

fn decode_entry<T: DeserializeOwned>(records: &[KeyedRecord], key: &str) -> Option<T> {
    let newest = records.iter().find(|record| record.key == key)?;
    decode_record(&newest.value)
        .inspect_err(|error| log::warn!("claim: cannot decode the heartbeat {key}: {error}"))
        .ok()
}

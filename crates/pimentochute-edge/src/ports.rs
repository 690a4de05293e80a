//! The interface to the platform, an outside system that runs the workers and
//! keeps the log. An adapter implements these traits.

use std::collections::BTreeMap;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::future::BoxFuture;
use http::HeaderMap;
use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_work::{
    AdviceCommand, AdviceRow, CellConfig, JobSpec, JobStatus, OrderError, PollCommand, SpecError,
    StartCommand, StopCommand, WorkerListing, WorkerReport,
};

use crate::claim::CLAIM_TOPIC;
use crate::heartbeat::HEARTBEAT_TOPIC;

/// The longest time that a refusal by the log takes.
const MAX_REFUSAL_TIME: MilliSpan = MilliSpan::new(300);

/// Returns whether the records of a topic show which host owns the cell and that it works.
/// Calls about such a topic should not wait behind others.
#[must_use]
pub fn shows_liveness(topic: &str) -> bool {
    [HEARTBEAT_TOPIC, CLAIM_TOPIC].contains(&topic)
}

/// The platform's log: topics of keyed records, and groups of hosts.
pub trait LogStore: Send + Sync {
    /// Appends records to the first partition of a topic. Returns the offset
    /// after the last of them.
    fn append(&self, call: AppendCall) -> BoxFuture<'_, Result<u64, StoreError>>;

    /// Reads records from the offset `from` on. Blocks up to `wait` until there
    /// is one; after that, the page is empty.
    fn read<'a>(
        &'a self,
        topic: &'a str,
        from: u64,
        wait: MilliSpan,
    ) -> BoxFuture<'a, Result<TopicPage, StoreError>>;

    /// Reads the newest record of each key after the key `after`, or from the
    /// first key on.
    fn newest<'a>(
        &'a self,
        topic: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<NewestPage, StoreError>>;

    /// Joins a group or renews the membership, which expires after `ttl`.
    /// `generation` is the last one that the member knows, 0 at first.
    fn join<'a>(
        &'a self,
        group: &'a str,
        member: &'a str,
        ttl: MilliSpan,
        generation: u64,
    ) -> BoxFuture<'a, Result<GroupAssignment, StoreError>>;

    /// Leaves a group before the membership expires.
    fn leave<'a>(
        &'a self,
        group: &'a str,
        member: &'a str,
    ) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Returns the member that each partition of a group is assigned to.
    fn members<'a>(
        &'a self,
        group: &'a str,
    ) -> BoxFuture<'a, Result<BTreeMap<u32, String>, StoreError>>;
}

/// Sends orders to workers.
pub trait WorkerOrders: Send + Sync {
    /// Starts a run; returns the worker's clock.
    fn start<'a>(
        &'a self,
        command: &'a StartCommand,
    ) -> BoxFuture<'a, Result<MilliTime, OrderError>>;

    /// Stops a run; returns the worker's clock.
    fn stop<'a>(&'a self, command: &'a StopCommand)
    -> BoxFuture<'a, Result<MilliTime, OrderError>>;

    /// Renews a lease and lists the runs.
    fn poll<'a>(
        &'a self,
        command: &'a PollCommand,
    ) -> BoxFuture<'a, Result<WorkerListing, OrderError>>;
}

/// The advice service, which knows which workers may run a step.
pub trait AdviceService: Send + Sync {
    /// Returns the workers that may run a step; `None` if there is no answer.
    fn advise<'a>(&'a self, command: &'a AdviceCommand) -> BoxFuture<'a, Option<Vec<AdviceRow>>>;
}

/// Decodes the platform's records and requests, and encodes the answers.
pub trait PlatformCodec: Send + Sync {
    /// Returns the topic and the key of the configuration.
    fn config_location(&self) -> (&'static str, &'static str);

    /// Returns the topic of the workers' reports, keyed by worker.
    fn worker_topic(&self) -> &'static str;

    /// Decodes the key of a record in the topic of the configuration: the data centre whose
    /// evacuation the record requests, or takes back if it has no value; `None` if it is about
    /// something else.
    ///
    /// # Errors
    /// Fails if the key names no data centre.
    fn evacuation<'a>(&self, key: &'a str) -> Result<Option<&'a str>, CodecError>;

    /// Decodes a configuration.
    ///
    /// # Errors
    /// Fails if the bytes are not a valid configuration.
    fn config(&self, bytes: &[u8]) -> Result<CellConfig, CodecError>;

    /// Decodes the report of the worker `id`.
    ///
    /// # Errors
    /// Fails if the bytes are not a valid report.
    fn worker(&self, id: &str, bytes: &[u8]) -> Result<WorkerReport, CodecError>;

    /// Decodes a job as a caller sent it.
    ///
    /// # Errors
    /// Fails if the bytes are not a valid job.
    fn job(&self, bytes: &[u8]) -> Result<JobSpec, CodecError>;

    /// Encodes the state of a job for its caller.
    fn job_state(&self, status: JobStatus) -> Bytes;

    /// Encodes the number of waiting jobs of a queue.
    fn pending(&self, jobs: usize) -> Bytes;

    /// Encodes the reason of a refusal.
    fn refusal(&self, reason: &str) -> Bytes;

    /// Returns how long a caller waits for an answer; `None` if its headers do
    /// not say.
    fn call_timeout(&self, headers: &HeaderMap) -> Option<MilliSpan>;
}

/// A record of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key; a topic keeps at least the newest record of each.
    pub key: String,
    /// The value; empty to delete the key.
    pub value: Bytes,
}

/// An atomic append: the log takes all records or none.
#[derive(Debug, Clone)]
pub struct AppendCall {
    /// The topic to append to.
    pub topic: String,
    /// The records, oldest first. An append without records only sets the epoch
    /// of the stamp.
    pub records: Vec<KeyedRecord>,
    /// The writer and its epoch. The log refuses appends of the same writer with
    /// a lower epoch from then on. `None` for an append without fencing.
    pub stamp: Option<WriterStamp>,
    /// The append fails with [`StoreError::EndMoved`] unless the topic ends at
    /// this offset. `None` appends at any end.
    pub expected_end: Option<u64>,
}

/// Identifies an append of a writer, for fencing and deduplication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriterStamp {
    /// The name of the writer.
    pub writer: String,
    /// The writer's epoch: a fencing token. Lower ones are refused.
    pub epoch: u64,
    /// The number of the append within the epoch. A repeated append has no
    /// effect.
    pub sequence: u64,
}

/// Consecutive records of a topic.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TopicPage {
    /// The records, oldest first.
    pub records: Vec<KeyedRecord>,
    /// The offset after the last record of the page.
    pub next: u64,
    /// The offset after the last record of the topic.
    pub end: u64,
}

/// A page of the newest records of all keys. The pages of a topic are not a
/// snapshot: records may be appended between two reads.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NewestPage {
    /// The records that can be decoded, in the order of their keys.
    pub records: Vec<KeyedRecord>,
    /// The last key of the page, whether or not its record can be decoded; `None` if the
    /// page is empty.
    pub last_key: Option<String>,
    /// There are more keys after those of the page.
    pub has_more: bool,
    /// The offset after the last record of the topic.
    pub end: u64,
}

/// What a group assigns to one of its members.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupAssignment {
    /// The generation of the group, incremented with each change of its members.
    pub generation: u64,
    /// The partitions that are assigned to the member.
    pub partitions: Vec<u32>,
}

/// Why a call to the log failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// The call has had and will have no effect.
    #[display("not done: {detail}")]
    NotDone {
        /// What the log or the transport reported.
        #[error(not(source))]
        detail: String,
    },
    /// The call may have taken effect, or may do so later.
    #[display("outcome unknown: {detail}")]
    Unknown {
        /// What the log or the transport reported.
        #[error(not(source))]
        detail: String,
    },
    /// A newer owner has superseded the writer: the log knows a newer epoch or
    /// claim, or a worker has accepted orders of a newer owner.
    #[display("a newer owner has superseded this one")]
    Fenced,
    /// An earlier append of the writer is missing.
    #[display("the sequence number does not follow the last one")]
    OutOfSequence,
    /// The topic does not end at [`AppendCall::expected_end`].
    #[display("the topic does not end at the expected offset")]
    EndMoved,
    /// The log has deleted the records at the offset.
    #[display("the records at the offset have expired")]
    RecordsExpired {
        /// The offset of the first record that is left; `None` if the log has not told it.
        first: Option<u64>,
    },
}

/// Why bytes from the platform or a caller cannot be decoded.
#[derive(Debug, Display, Error)]
pub enum CodecError {
    /// The bytes are not JSON of the expected shape.
    #[display("{source}")]
    Form {
        /// What the decoder reported.
        source: serde_json::Error,
    },
    /// The job breaks a rule for jobs.
    #[display("{source}")]
    Spec {
        /// The rule that the job breaks.
        source: SpecError,
    },
    /// A field has a value that is not allowed.
    #[display("{field} has the value {value:?}")]
    Value {
        /// The name of the field.
        field: &'static str,
        /// The value as it was received.
        value: String,
    },
}

impl TopicPage {
    /// Returns whether the page reaches the end of the topic.
    #[must_use]
    pub const fn is_last(&self) -> bool {
        self.next >= self.end
    }
}

impl StoreError {
    /// Returns whether the call has certainly had and will have no effect.
    #[must_use]
    pub const fn is_not_done(&self) -> bool {
        matches!(self, Self::NotDone { .. } | Self::EndMoved)
    }

    /// Returns whether the log refused a call that took `took`. One that took long did not
    /// reach the log.
    #[must_use]
    pub fn is_refusal(&self, took: MilliSpan) -> bool {
        self.is_not_done() && took < MAX_REFUSAL_TIME
    }
}

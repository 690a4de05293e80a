//! The border to the platform: traits that an adapter implements.

use std::collections::BTreeMap;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::future::BoxFuture;
use http::HeaderMap;
use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_work::{
    AdviceCommand, AdviceRow, CellConfig, JobShown, JobSpec, LookCommand, OrderError, SpecError,
    StartCommand, StopCommand, WorkerListing, WorkerReport,
};

/// A record of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The value; empty if the key is dropped.
    pub value: Bytes,
}

/// Records that are appended in one step, all or none.
#[derive(Debug, Clone)]
pub struct AppendCall {
    /// The topic.
    pub topic: String,
    /// The records; none only sets the epoch of the stamp.
    pub records: Vec<KeyedRecord>,
    /// The writer and its epoch, which fence older writers.
    pub stamp: Option<WriterStamp>,
    /// The append has no effect unless the topic ends here.
    pub expected_end: Option<u64>,
}

/// Who appends, and as which of its appends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriterStamp {
    /// The writer.
    pub writer: String,
    /// The writer's epoch; lower ones are refused.
    pub epoch: u64,
    /// The number of the append within the epoch. A repeat has no effect.
    pub sequence: u64,
}

/// A part of a topic.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TopicPage {
    /// The records, oldest first.
    pub records: Vec<KeyedRecord>,
    /// The offset after the last record of the page.
    pub next: u64,
}

/// A part of the newest records of all keys. Pages are not a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NewestPage {
    /// The records, by key.
    pub records: Vec<KeyedRecord>,
    /// There are more keys.
    pub has_more: bool,
    /// The end of the topic.
    pub end: u64,
}

/// A host's place in a group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupAssignment {
    /// The generation of the group; larger with each change.
    pub generation: u64,
    /// The partitions that are the host's.
    pub partitions: Vec<u32>,
}

/// Why a call to the log has no result.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// The call surely has no effect.
    #[display("not done: {detail}")]
    NotDone {
        /// What the log or the transport reported.
        #[error(not(source))]
        detail: String,
    },
    /// The call may have had an effect, or may have it later.
    #[display("outcome unknown: {detail}")]
    Unknown {
        /// What the log or the transport reported.
        #[error(not(source))]
        detail: String,
    },
    /// A newer epoch of the writer is known.
    #[display("a newer owner writes")]
    Fenced,
    /// The sequence number does not follow the last one.
    #[display("the sequence number does not follow the last one")]
    OutOfSequence,
    /// The topic does not end where the caller expected.
    #[display("the topic ends elsewhere")]
    EndMoved,
    /// The records are not kept any more.
    #[display("the records are not kept any more")]
    RecordsExpired,
}

/// The platform's log.
pub trait LogStore: Send + Sync {
    /// Appends records to the first partition of a topic. Returns the offset
    /// after them.
    fn append(&self, call: AppendCall) -> BoxFuture<'_, Result<u64, StoreError>>;

    /// Reads on from an offset; waits up to `wait` for a record.
    fn read<'a>(
        &'a self,
        topic: &'a str,
        from: u64,
        wait: MilliSpan,
    ) -> BoxFuture<'a, Result<TopicPage, StoreError>>;

    /// Reads the newest record of each key after `after`.
    fn newest<'a>(
        &'a self,
        topic: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<NewestPage, StoreError>>;

    /// Joins a group or stays in it.
    fn join<'a>(
        &'a self,
        group: &'a str,
        member: &'a str,
        ttl: MilliSpan,
        generation: u64,
    ) -> BoxFuture<'a, Result<GroupAssignment, StoreError>>;

    /// Leaves a group.
    fn leave<'a>(
        &'a self,
        group: &'a str,
        member: &'a str,
    ) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Returns the members of a group by partition.
    fn members<'a>(
        &'a self,
        group: &'a str,
    ) -> BoxFuture<'a, Result<BTreeMap<u32, String>, StoreError>>;
}

/// Orders to workers.
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
    fn look<'a>(
        &'a self,
        command: &'a LookCommand,
    ) -> BoxFuture<'a, Result<WorkerListing, OrderError>>;
}

/// The service that knows which workers may run a step.
pub trait AdviceService: Send + Sync {
    /// Returns the workers that may run a step; none if there is no answer.
    fn advise<'a>(&'a self, command: &'a AdviceCommand) -> BoxFuture<'a, Option<Vec<AdviceRow>>>;
}

/// What the platform's records and bodies mean.
pub trait PlatformCodec: Send + Sync {
    /// The topic and the key of the configuration.
    fn config_location(&self) -> (&'static str, &'static str);

    /// The topic of the workers' reports.
    fn worker_topic(&self) -> &'static str;

    /// Reads a configuration.
    ///
    /// # Errors
    /// Fails if the bytes are no configuration.
    fn config(&self, bytes: &[u8]) -> Result<CellConfig, CodecError>;

    /// Reads the report of a worker.
    ///
    /// # Errors
    /// Fails if the bytes are no report of a usable worker.
    fn worker(&self, id: &str, bytes: &[u8]) -> Result<WorkerReport, CodecError>;

    /// Reads a job as a caller sent it.
    ///
    /// # Errors
    /// Fails if the bytes are no job.
    fn job(&self, bytes: &[u8]) -> Result<JobSpec, CodecError>;

    /// Writes the state of a job for its caller.
    fn job_state(&self, shown: JobShown) -> Bytes;

    /// Writes the number of jobs of a queue that wait.
    fn pending(&self, jobs: usize) -> Bytes;

    /// Writes the reason of a refusal.
    fn refusal(&self, reason: &str) -> Bytes;

    /// Returns how long a caller waits for an answer.
    fn call_timeout(&self, headers: &HeaderMap) -> Option<MilliSpan>;
}

/// Bytes from outside cannot be used.
#[derive(Debug, Display, Error)]
pub enum CodecError {
    /// The bytes have another form.
    #[display("{source}")]
    Form {
        /// What the decoder reported.
        source: serde_json::Error,
    },
    /// The job is not usable.
    #[display("{source}")]
    Spec {
        /// What is wrong.
        source: SpecError,
    },
    /// A value has no meaning here.
    #[display("{field} has the value {value:?}")]
    Value {
        /// The field.
        field: &'static str,
        /// The value.
        value: String,
    },
}

impl StoreError {
    /// Tells whether the call surely had and will have no effect.
    #[must_use]
    pub const fn is_not_done(&self) -> bool {
        matches!(self, Self::NotDone { .. } | Self::EndMoved)
    }
}

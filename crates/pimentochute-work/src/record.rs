//! The records that the log keeps of a job, encoded with `rmp-serde`: structs by
//! position, enum variants by name. Builds that do not know a new field at the end of a struct
//! take the record for invalid; see [`ExtendedRecord`].

use std::io::Cursor;

use derive_more::{Display, Error};
use pimentochute_base::{EpochNumber, MilliSpan, MilliTime};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize, Serializer};
use strum::IntoStaticStr;

use crate::{AdviceCost, JobScope, JobSpec, QueueConfig};

/// A job as it was recorded before the caller got its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// The name of the queue.
    pub queue: String,
    /// The name of the team; `None` if the queue needs no key.
    pub team: Option<String>,
    /// When the entry host received the job, since the Unix epoch.
    pub received: MilliTime,
    /// The terms of the queue at that time. They apply if the queue is removed.
    pub terms: QueueTerms,
    /// The steps and tasks as the caller submitted them.
    pub spec: JobSpec,
}

/// The part of a queue's configuration that the scheduling of its jobs depends on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueTerms {
    /// The pool whose workers run the tasks.
    pub pool: String,
    /// The priority; 0 goes first.
    pub priority: u32,
    /// The number of failed runs of a task after which its job fails.
    pub max_attempts: u32,
    /// The time that a job may take in addition to its stretched work.
    pub target_latency: MilliSpan,
    /// The time that a job may take as a multiple of its work, in thousandths.
    pub stretch_permille: u64,
    /// The cost of advice: microseconds per call, microseconds per worker, and
    /// the validity of a ticket. `None` if all workers may run the tasks.
    pub advice: Option<(u64, u64, MilliSpan)>,
}

/// The progress of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// How the job ended; `None` if it has not ended.
    #[serde(serialize_with = "serialize_end")]
    pub end: Option<JobEnd>,
    /// When it ended, since the Unix epoch; zero if it has not ended.
    pub ended_at: MilliTime,
    /// The tasks, ordered by occurrence, step and index. Empty once the job is
    /// closed: it has ended and no worker has a run of it.
    pub tasks: Vec<TaskProgress>,
    /// The team of a closed job, whose submission is deleted; `None` before that.
    pub team: Option<String>,
    /// The number of records that hold the tasks, see [`ProgressPart`]; 0 if they are in
    /// this one. Owners that do not know the field take the record for invalid, so it is
    /// left out where the tasks fit into one record.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub parts: u32,
    /// The queue of a closed job, as the addition to the record; `None` before that.
    #[serde(skip)]
    pub queue: Option<String>,
}

/// The progress of consecutive tasks of a job whose progress is too large for one record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressPart {
    /// The tasks, ordered as in [`JobProgress::tasks`].
    pub tasks: Vec<TaskProgress>,
}

/// The progress of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// The number of the last run; 0 before the first one.
    pub run: u32,
    /// The number of failed runs. A gang counts its failures at its first member; the second
    /// one has the number of the last run that was counted, so that the next owner does not
    /// count it again.
    pub failures: u32,
    /// Whether the task waits, is placed on a worker or is done.
    pub phase: TaskPhase,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// The losses of workers under the tasks of a job. It is a record of its own, written
/// only for jobs that have any, so that owners that do not know it ignore it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCrashes {
    /// The tasks under which a worker was lost.
    pub tasks: Vec<TaskCrashes>,
}

/// The losses of workers under a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// The index of the task, ordered by occurrence, step and index.
    pub task: u32,
    /// The workers that were lost.
    pub losses: u32,
    /// Those of them that are known to have crashed after they had started the task.
    pub crashes: u32,
    /// Those of them on which no other job was suspect.
    pub sole_losses: u32,
    /// The task has to start apart from other suspects.
    pub is_suspect: bool,
    /// The last run that was started apart on a worker that was alive then; 0 if there is
    /// none. Owners that do not know the field take the record for invalid, so
    /// it is left out where it says nothing.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub reached_run: u32,
}

/// The cancellations of a job that had not arrived when its callers cancelled it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCancellations {
    /// At most one for each team and queue.
    pub teams: Vec<TeamCancellation>,
}

/// The cancellation of a job by a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamCancellation {
    /// The name of the team; `None` if the queue needs no key.
    pub team: Option<String>,
    /// Since the Unix epoch, by the clock of the owner that answered the caller.
    pub cancelled_at: MilliTime,
    /// The epoch of that owner.
    pub epoch: EpochNumber,
    /// The queue to which the caller sent it, in the addition to the record.
    #[serde(skip)]
    pub queue: Option<String>,
}

/// A record or message that earlier builds know without some of its data. That data, the
/// addition, is encoded behind the rest, where builds that do not know it stop reading.
pub trait ExtendedRecord: Serialize + DeserializeOwned {
    /// The data that earlier builds do not know.
    type Addition: Serialize + DeserializeOwned;

    /// Returns the addition; `None` if there is nothing to add.
    fn addition(&self) -> Option<Self::Addition> {
        None
    }

    /// Stores the addition of a record that was decoded.
    fn set_addition(&mut self, _addition: Self::Addition) {}
}

/// Whether a task waits, is placed on a worker or is done.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// The task waits for a worker.
    #[default]
    Waiting,
    /// The last run is placed on a worker and may be running there.
    Placed {
        /// The identifier of the worker.
        worker: String,
        /// The start of the worker's incarnation, since the Unix epoch.
        #[serde(rename = "born")]
        started_at: MilliTime,
    },
    /// The task is done.
    Done,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum JobEnd {
    /// All tasks are done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

/// The reason why a record could not be encoded or decoded.
#[derive(Debug, Display, Error)]
pub enum RecordError {
    /// The encoder failed.
    #[display("cannot encode a record: {source}")]
    Encode {
        /// What the encoder reported.
        source: rmp_serde::encode::Error,
    },
    /// The bytes are not a record of the expected type.
    #[display("cannot decode a record: {source}")]
    Decode {
        /// What the decoder reported.
        source: rmp_serde::decode::Error,
    },
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Encodes an end as its number, which all builds read and which is shorter than its name.
#[expect(
    clippy::ref_option,
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn serialize_end<S: Serializer>(end: &Option<JobEnd>, serializer: S) -> Result<S::Ok, S::Error> {
    end.map(|end| end as u8).serialize(serializer)
}

impl ExtendedRecord for JobProgress {
    type Addition = String;

    fn addition(&self) -> Option<String> {
        self.queue.clone()
    }

    fn set_addition(&mut self, queue: String) {
        self.queue = Some(queue);
    }
}

impl ExtendedRecord for JobCancellations {
    /// The queues, in the order of the cancellations.
    type Addition = Vec<Option<String>>;

    fn addition(&self) -> Option<Self::Addition> {
        Some(self.teams.iter().map(|entry| entry.queue.clone()).collect())
    }

    fn set_addition(&mut self, queues: Self::Addition) {
        for (entry, queue) in self.teams.iter_mut().zip(queues) {
            entry.queue = queue;
        }
    }
}

impl JobSubmission {
    /// Returns the team and the queue of the job.
    #[must_use]
    pub fn scope(&self) -> JobScope<'_> {
        JobScope {
            team: self.team.as_deref(),
            queue: Some(&self.queue),
        }
    }
}

impl QueueTerms {
    /// Returns the cost of advice; `None` if all workers may run the tasks.
    #[must_use]
    pub fn advice_cost(&self) -> Option<AdviceCost> {
        self.advice
            .map(|(call_micros, worker_micros, validity)| AdviceCost {
                call_micros,
                worker_micros,
                validity,
            })
    }
}

impl From<&QueueConfig> for QueueTerms {
    fn from(config: &QueueConfig) -> Self {
        let advice = config.advice;
        Self {
            pool: config.pool.clone(),
            priority: config.priority,
            max_attempts: config.max_attempts,
            target_latency: config.target_latency,
            stretch_permille: config.stretch_permille,
            advice: advice.map(|cost| (cost.call_micros, cost.worker_micros, cost.validity)),
        }
    }
}

/// Encodes a record.
///
/// # Errors
/// Fails if the encoder does.
pub fn encode_record<T: Serialize>(record: &T) -> Result<Vec<u8>, RecordError> {
    rmp_serde::to_vec(record).map_err(|source| RecordError::Encode { source })
}

/// Decodes a record.
///
/// # Errors
/// Fails if the bytes are not a record of this type.
pub fn decode_record<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordError> {
    rmp_serde::from_slice(bytes).map_err(|source| RecordError::Decode { source })
}

/// Encodes a record and its addition.
///
/// # Errors
/// Fails if the encoder does.
pub fn encode_extended<T: ExtendedRecord>(record: &T) -> Result<Vec<u8>, RecordError> {
    let mut bytes = encode_record(record)?;
    if let Some(addition) = record.addition() {
        bytes.extend(encode_record(&addition)?);
    }
    Ok(bytes)
}

/// Decodes a record and its addition, if there is one.
///
/// # Errors
/// Fails if the bytes are not a record of this type, or its addition is invalid.
pub fn decode_extended<T: ExtendedRecord>(bytes: &[u8]) -> Result<T, RecordError> {
    let failed = |source| RecordError::Decode { source };
    let mut decoder = rmp_serde::Deserializer::new(Cursor::new(bytes));
    let mut record = T::deserialize(&mut decoder).map_err(failed)?;
    if decoder.position() < bytes.len() as u64 {
        let addition = T::Addition::deserialize(&mut decoder).map_err(failed)?;
        record.set_addition(addition);
    }
    Ok(record)
}

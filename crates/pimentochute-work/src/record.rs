//! What the log keeps of a job, as `rmp-serde` bytes.

use derive_more::{Display, Error};
use pimentochute_base::{MilliSpan, MilliTime};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use crate::{AdviceCost, JobSpec, QueueConfig};

/// A job as an entry host recorded it before it confirmed it to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// The queue.
    pub queue: String,
    /// The team; none if the queue needs no key.
    pub team: Option<String>,
    /// When the entry host received the job, since the Unix epoch.
    pub received: MilliTime,
    /// The terms of the queue at that time. They apply once the queue is gone.
    pub terms: QueueTerms,
    /// The job.
    pub spec: JobSpec,
}

/// The part of a queue's configuration that decides about its jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueTerms {
    /// The pool whose workers run the tasks.
    pub pool: String,
    /// The priority; 0 goes first.
    pub priority: u32,
    /// How often a task may fail.
    pub max_attempts: u32,
    /// The time that a job may take beyond its work.
    pub target_latency: MilliSpan,
    /// How many thousandths of its own work a job may take.
    pub stretch_permille: u64,
    /// The cost of advice as microseconds per call and worker, and the
    /// validity of a ticket; none if all workers may run the tasks.
    pub advice: Option<(u64, u64, MilliSpan)>,
}

/// How far a job is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// How the job ended; none if it goes on.
    pub end: Option<JobEnd>,
    /// When it ended, since the Unix epoch.
    pub ended_at: MilliTime,
    /// The tasks, by occurrence, step and index; none once the job is closed:
    /// it ended and no worker has anything of it.
    pub tasks: Vec<TaskProgress>,
    /// The team of a closed job, whose submission is dropped.
    pub team: Option<String>,
}

/// How far a task is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// The number of the last run; 0 before the first one.
    pub run: u32,
    /// The runs that failed.
    pub failures: u32,
    /// Where the task stands.
    pub phase: TaskPhase,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// Where a task stands.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// The task waits for a worker.
    #[default]
    Waiting,
    /// The last run was given to a worker and may be running there.
    Placed {
        /// The identifier of the worker.
        worker: String,
        /// The start of the worker's life, since the Unix epoch.
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
    /// A task failed too often.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

/// A record cannot be written or read.
#[derive(Debug, Display, Error)]
pub enum RecordError {
    /// The record cannot be written.
    #[display("a record cannot be written: {source}")]
    Encode {
        /// What the encoder reported.
        source: rmp_serde::encode::Error,
    },
    /// The bytes are no such record.
    #[display("a record cannot be read: {source}")]
    Decode {
        /// What the decoder reported.
        source: rmp_serde::decode::Error,
    },
}

impl QueueTerms {
    /// Returns the cost of advice; none if all workers may run the tasks.
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

/// Returns a record as bytes.
///
/// # Errors
/// Fails if the encoder does.
pub fn encode_record<T: Serialize>(record: &T) -> Result<Vec<u8>, RecordError> {
    rmp_serde::to_vec(record).map_err(|source| RecordError::Encode { source })
}

/// Reads a record.
///
/// # Errors
/// Fails if the bytes are no such record.
pub fn decode_record<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordError> {
    rmp_serde::from_slice(bytes).map_err(|source| RecordError::Decode { source })
}

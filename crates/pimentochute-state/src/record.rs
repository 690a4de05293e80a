//! The records of a data centre's stream.

use pimentochute_base::{
    AttemptNumber, AttemptRef, ConfigVersion, EpochNumber, HostIncarnation, HostName,
    IdempotencyKey, JobId, MilliSpan, MilliTime, PriorityClass, QueueName, RackName,
    ResourceAmount, SliceIndex, TaskIndex, TeamName, WorkKind, WorkerIncarnation, WorkerName,
};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

/// The records of one append.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBatch {
    /// The records, applied in order.
    pub records: Vec<StampedRecord>,
}

/// A record with the tag of its writer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StampedRecord {
    /// Tells the writer which record was read back.
    pub tag: RecordTag,
    /// The record.
    pub record: CellRecord,
}

/// The identity of a record; a record that is appended twice keeps its tag.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordTag {
    /// The host that made the record.
    pub host: HostName,
    /// The run of the host's process.
    pub incarnation: HostIncarnation,
    /// Counts the records of that run.
    pub sequence: u64,
}

/// A change of the state of a data centre. Times are wall-clock times.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[serde(tag = "type", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum CellRecord {
    /// A job was submitted.
    JobSubmitted {
        /// The job.
        spec: JobSpec,
        /// When it was submitted.
        at: MilliTime,
    },
    /// A job's cancellation was asked for.
    JobCancelled {
        /// The job.
        job: JobId,
        /// When it was asked for.
        at: MilliTime,
    },
    /// A job can never run and is given up before it starts again.
    JobRefused {
        /// The job.
        job: JobId,
        /// The slice of the job's team.
        slice: SliceIndex,
        /// The writer's epoch in the slice.
        epoch: EpochNumber,
        /// Why the job cannot run.
        reason: RefuseReason,
        /// When it was refused.
        at: MilliTime,
    },
    /// Tasks of one job are placed, all of them or none.
    TasksPlaced {
        /// The job.
        job: JobId,
        /// The slice of the job's team.
        slice: SliceIndex,
        /// The writer's epoch in the slice.
        epoch: EpochNumber,
        /// The tasks and their workers.
        tasks: Vec<TaskPlacement>,
        /// When the decision was made.
        at: MilliTime,
    },
    /// A placed task runs.
    TaskStarted {
        /// The attempt.
        attempt: AttemptRef,
        /// When it was seen running.
        at: MilliTime,
    },
    /// An attempt ended; the first record of an attempt counts.
    TaskEnded {
        /// The attempt.
        attempt: AttemptRef,
        /// The epoch under which the writer has control of the worker.
        epoch: EpochNumber,
        /// How it ended.
        reason: EndReason,
        /// When the end was seen.
        at: MilliTime,
    },
    /// A worker is known and may be given tasks.
    WorkerSeen {
        /// The worker.
        worker: WorkerName,
        /// The run of its process. Tasks on another incarnation end as `Expired`.
        incarnation: WorkerIncarnation,
        /// The epoch under which the writer has control of the worker.
        epoch: EpochNumber,
        /// Its rack.
        rack: RackName,
        /// What it has in all.
        capacity: ResourceAmount,
    },
    /// A worker is gone and the leases of its tasks have expired.
    WorkerLost {
        /// The worker.
        worker: WorkerName,
        /// The run of its process.
        incarnation: WorkerIncarnation,
        /// The last recorded epoch of control of the worker.
        epoch: EpochNumber,
        /// When it was given up.
        at: MilliTime,
    },
    /// A worker is taken out of use or given back to use.
    WorkerHealthSet {
        /// The worker.
        worker: WorkerName,
        /// Whether it is given tasks.
        health: WorkerHealth,
    },
    /// A host takes over a slice.
    SliceClaimed {
        /// The slice.
        slice: SliceIndex,
        /// The new owner.
        host: HostName,
        /// The run of the new owner's process.
        incarnation: HostIncarnation,
        /// The epoch after the slice's current one.
        epoch: EpochNumber,
    },
    /// A host gives up a slice.
    SliceReleased {
        /// The slice.
        slice: SliceIndex,
        /// The epoch of the owner.
        epoch: EpochNumber,
    },
    /// The data centre's part of a team's upper limit.
    AllotmentSet {
        /// The team.
        team: TeamName,
        /// The configuration that the part was worked out from.
        version: ConfigVersion,
        /// The most tasks that run at once in the data centre.
        tasks: u32,
    },
}

/// What a job is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The identifier, derived from `team` and `key`.
    pub id: JobId,
    /// The team.
    pub team: TeamName,
    /// The queue.
    pub queue: QueueName,
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
    /// The kind of work; never [`WorkKind::Request`].
    pub kind: WorkKind,
    /// The priority of the queue at submission.
    pub priority: PriorityClass,
    /// The number of tasks; at least one.
    pub tasks: u32,
    /// What each task is given.
    pub demand: ResourceAmount,
    /// What each task does; the worker interprets it.
    pub command: String,
    /// How long the caller expects a task to run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_run: Option<MilliSpan>,
    /// When the job has to be done, as a wall-clock time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_by: Option<MilliTime>,
    /// The most attempts of a task that fails; at least one.
    pub max_attempts: u32,
}

/// The place of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskPlacement {
    /// The task.
    pub task: TaskIndex,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// The worker.
    pub worker: WorkerName,
    /// The run of the worker's process.
    pub incarnation: WorkerIncarnation,
}

/// How an attempt ended.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumIter,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EndReason {
    /// The task ended by itself, with success.
    Succeeded,
    /// The task ended by itself, without success.
    Failed,
    /// The task was stopped by order, or never started.
    Stopped,
    /// The lease expired, or the worker was lost or restarted.
    #[serde(rename = "lapsed")]
    #[strum(to_string = "lapsed")]
    Expired,
    /// The worker refused the task, which never ran.
    RefusedByWorker,
}

/// Why a job can never run.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumIter,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefuseReason {
    /// No worker of the data centre is large enough, even when empty.
    TooLarge,
    /// The job has more tasks than the team's upper limit allows.
    OverLimit,
    /// Every allowed attempt failed.
    AttemptsExhausted,
}

/// Whether a worker is given tasks.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumIter,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WorkerHealth {
    /// The worker is given tasks.
    Healthy,
    /// The worker is given one probe task at a time.
    Quarantined,
    /// The worker finishes what it has and is given nothing.
    Leaving,
}

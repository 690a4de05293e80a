//! The records of a data centre's stream and their parts.

use pimentochute_base::{
    AttemptNumber, AttemptRef, ConfigVersion, EpochNumber, HostIncarnation, HostName,
    IdempotencyKey, JobId, MilliSpan, MilliTime, PriorityClass, QueueName, RackName,
    ResourceAmount, SliceIndex, TaskIndex, TeamName, WorkKind, WorkerIncarnation, WorkerName,
};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

/// The records of one append to the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBatch {
    /// The records, applied in order.
    pub records: Vec<StampedRecord>,
}

/// A record with the tag of its writer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StampedRecord {
    /// Identifies the record, so that the writer recognises it when it reads it
    /// back from the log.
    pub tag: RecordTag,
    /// The record.
    pub record: CellRecord,
}

/// The identity of a record. A repeated append keeps the tag, so that the copies
/// are recognised.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordTag {
    /// The host that wrote the record.
    pub host: HostName,
    /// The incarnation of the host's process.
    pub incarnation: HostIncarnation,
    /// The number of the record among those of this incarnation.
    pub sequence: u64,
}

/// A change of the state of a data centre. Times are wall-clock times.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[serde(tag = "type", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum CellRecord {
    /// A job was submitted.
    JobSubmitted {
        /// The job as it was submitted.
        spec: JobSpec,
        /// When it was submitted.
        at: MilliTime,
    },
    /// A caller asked to cancel a job.
    JobCancelled {
        /// The job.
        job: JobId,
        /// When the caller asked.
        at: MilliTime,
    },
    /// The owner refused a job that cannot run and has no live tasks.
    JobRefused {
        /// The job.
        job: JobId,
        /// The slice of the job's team.
        slice: SliceIndex,
        /// The writer's epoch as owner of the slice.
        epoch: EpochNumber,
        /// Why the job cannot run.
        reason: RefuseReason,
        /// When it was refused.
        at: MilliTime,
    },
    /// Tasks of one job are placed. Valid only as a whole.
    TasksPlaced {
        /// The job.
        job: JobId,
        /// The slice of the job's team.
        slice: SliceIndex,
        /// The writer's epoch as owner of the slice.
        epoch: EpochNumber,
        /// The tasks and their workers.
        tasks: Vec<TaskPlacement>,
        /// When the scheduler decided.
        at: MilliTime,
    },
    /// A placed task was reported as running.
    TaskStarted {
        /// The attempt.
        attempt: AttemptRef,
        /// When the report was received.
        at: MilliTime,
    },
    /// An attempt ended. Only the first such record of an attempt counts.
    TaskEnded {
        /// The attempt.
        attempt: AttemptRef,
        /// The epoch under which the writer has control of the worker.
        epoch: EpochNumber,
        /// How it ended.
        reason: EndReason,
        /// When the writer learned of the end.
        at: MilliTime,
    },
    /// A host took control of a worker, which is now available for tasks.
    WorkerSeen {
        /// The worker.
        worker: WorkerName,
        /// The incarnation of its process. Attempts on an earlier one end as
        /// [`EndReason::Expired`].
        incarnation: WorkerIncarnation,
        /// The epoch under which the writer has control of the worker.
        epoch: EpochNumber,
        /// The rack that it is in.
        rack: RackName,
        /// Its total resources.
        capacity: ResourceAmount,
    },
    /// A worker is unreachable and the leases of its tasks have expired.
    WorkerLost {
        /// The worker.
        worker: WorkerName,
        /// The incarnation of its process.
        incarnation: WorkerIncarnation,
        /// The last recorded epoch of control of the worker.
        epoch: EpochNumber,
        /// When it was declared lost.
        at: MilliTime,
    },
    /// The health of a worker changed.
    WorkerHealthSet {
        /// The worker.
        worker: WorkerName,
        /// The new health.
        health: WorkerHealth,
    },
    /// A host claims the ownership of a slice.
    SliceClaimed {
        /// The slice that changes its owner.
        slice: SliceIndex,
        /// The new owner.
        host: HostName,
        /// The incarnation of the new owner's process.
        incarnation: HostIncarnation,
        /// The epoch of the new owner; must be one above the slice's current epoch.
        epoch: EpochNumber,
    },
    /// The owner of a slice gives up its ownership.
    SliceReleased {
        /// The slice.
        slice: SliceIndex,
        /// The epoch of the owner.
        epoch: EpochNumber,
    },
    /// The part of a team's limit that belongs to this data centre.
    AllotmentSet {
        /// The team.
        team: TeamName,
        /// The version of the configuration that the part is derived from.
        version: ConfigVersion,
        /// The maximum number of live tasks of the team in the data centre.
        tasks: u32,
    },
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The identifier, derived from `team` and `key`.
    pub id: JobId,
    /// The team that the job counts for.
    pub team: TeamName,
    /// The queue that the job was submitted to.
    pub queue: QueueName,
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
    /// The kind of work; never [`WorkKind::Request`].
    pub kind: WorkKind,
    /// The priority of the queue at submission.
    pub priority: PriorityClass,
    /// The number of tasks; at least one.
    pub tasks: u32,
    /// The resources that each task needs.
    pub demand: ResourceAmount,
    /// The command of each task; opaque except to the worker.
    pub command: String,
    /// How long the caller expects each task to run; `None` if unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_run: Option<MilliSpan>,
    /// The deadline of the job, as a wall-clock time; `None` for no deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_by: Option<MilliTime>,
    /// The maximum number of failed or refused attempts of a task or gang; at
    /// least one.
    pub max_attempts: u32,
}

/// The placement of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskPlacement {
    /// The task.
    pub task: TaskIndex,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// The worker.
    pub worker: WorkerName,
    /// The incarnation of the worker's process.
    pub incarnation: WorkerIncarnation,
}

/// Why an attempt ended, success included.
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
    /// The task exited with success.
    Succeeded,
    /// The task exited without success.
    Failed,
    /// The task was stopped on request, or never started.
    Stopped,
    /// The lease expired, or the worker was lost or restarted.
    #[serde(rename = "lapsed")]
    #[strum(to_string = "lapsed")]
    Expired,
    /// The worker refused the task, so it never ran.
    RefusedByWorker,
}

/// Why a job is refused for good.
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
    /// No worker of the data centre is large enough for a task, even when idle.
    TooLarge,
    /// The job has more tasks than the team's limit allows.
    OverLimit,
    /// A worker refused the task on every allowed attempt.
    AttemptsExhausted,
}

/// Whether and how a worker is given new tasks.
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
    /// The worker is suspected to be faulty and gets one task at a time as a probe.
    Quarantined,
    /// The worker finishes its tasks and is given no new ones.
    Leaving,
}

//! The JSON types of the HTTP interface for callers and operators.

use pimentochute_base::{
    ConfigVersion, DataCentreName, EpochNumber, HostName, IdempotencyKey, JobId, MilliSpan,
    MilliTime, PatchId, QueueName, RackName, ResourceAmount, SliceIndex, TaskIndex, TeamName,
    WorkKind, WorkerName,
};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// The body of a job submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSubmission {
    /// The team. If left out, it is the team of the key, or the first team of an
    /// open queue.
    #[serde(default)]
    pub team: Option<TeamName>,
    /// The queue.
    pub queue: QueueName,
    /// Identifies the job within its team: a repeated submission with the same
    /// key does not create a second job.
    pub idempotency_key: IdempotencyKey,
    /// The number of tasks.
    #[serde(default = "one_task")]
    pub tasks: u32,
    /// The resources that each task needs.
    pub demand: ResourceAmount,
    /// The command of each task; the worker interprets it.
    pub command: String,
    /// How long a task is expected to run, in milliseconds.
    #[serde(default)]
    pub expected_run_ms: Option<MilliSpan>,
    /// When the job has to be finished, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub finish_by_ms: Option<MilliTime>,
}

const fn one_task() -> u32 {
    1
}

/// The state of a job.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum JobStatus {
    /// No task is placed on a worker.
    Waiting,
    /// At least one task is placed on a worker.
    Running,
    /// Cancellation was requested; tasks are being stopped.
    Cancelling,
    /// Every task succeeded.
    Succeeded,
    /// A task failed on every allowed attempt.
    Failed,
    /// The job was cancelled.
    Cancelled,
    /// The job can never run.
    Refused,
}

/// A job as callers see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job.
    pub id: JobId,
    /// The team.
    pub team: TeamName,
    /// The queue.
    pub queue: QueueName,
    /// The kind of work.
    pub kind: WorkKind,
    /// The state of the job as a whole.
    pub status: JobStatus,
    /// Why the job was refused or failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// When it was submitted, in milliseconds since the Unix epoch.
    pub submitted_ms: MilliTime,
    /// When it ended, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_ms: Option<MilliTime>,
    /// The tasks of the job.
    pub tasks: Vec<TaskView>,
}

/// A task as callers see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskView {
    /// The task.
    pub task: TaskIndex,
    /// The state: waiting, placed, running, or how the task ended.
    pub status: String,
    /// The number of the last attempt; zero if there was none.
    pub attempt: u32,
    /// The worker of the last attempt, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerName>,
}

/// A worker as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// The worker.
    pub name: WorkerName,
    /// The rack of the worker.
    pub rack: RackName,
    /// The state: healthy, quarantined, leaving or lost.
    pub status: String,
    /// The total resources of the worker.
    pub capacity: ResourceAmount,
    /// The resources committed to its tasks.
    pub committed: ResourceAmount,
    /// The number of tasks placed on the worker.
    pub tasks: u32,
}

/// An endpoint as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointView {
    /// The endpoint.
    pub name: String,
    /// The service.
    pub service: String,
    /// The state: live, avoided or leaving.
    pub status: String,
    /// The slots that this host may use.
    pub slots: u32,
    /// The slots that this host uses now.
    pub in_use: u32,
}

/// The state of an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusView {
    /// The host.
    pub host: HostName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The version of the configuration in force on the host.
    pub config_version: ConfigVersion,
    /// Whether the host accepts work with keys of teams.
    pub keyed_work: bool,
    /// The time since the log was last read to its end.
    pub log_age_ms: MilliSpan,
    /// Whether the host is draining.
    pub draining: bool,
    /// The live hosts of the data centre, this host included.
    pub peers: Vec<HostName>,
    /// The owners of the slices.
    pub slices: Vec<SliceView>,
    /// The number of jobs that have not ended.
    pub active_jobs: u32,
    /// The number of tasks that are placed on a worker.
    pub placed_tasks: u32,
}

/// The owner of a slice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceView {
    /// The slice.
    pub slice: SliceIndex,
    /// The owner, if there is one.
    pub owner: Option<HostName>,
    /// The current epoch of the slice.
    pub epoch: EpochNumber,
}

/// The outcome of a patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum PatchView {
    /// The patch created a new version.
    Accepted {
        /// The new version.
        version: ConfigVersion,
    },
    /// The patch was rejected and changed nothing.
    Rejected {
        /// The version in force when the patch was applied.
        current: ConfigVersion,
        /// Why the patch was rejected.
        reason: String,
    },
}

/// An entry in the history of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryView {
    /// The identifier of the patch.
    pub patch: PatchId,
    /// The author that the patch names.
    pub author: String,
    /// The outcome of the patch.
    pub result: PatchView,
}

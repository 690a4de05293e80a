//! Wire types of the HTTP interface for callers and operators.

use pimentochute_base::{
    ConfigVersion, DataCentreName, EpochNumber, HostName, IdempotencyKey, JobId, MilliSpan,
    MilliTime, PatchId, QueueName, RackName, ResourceAmount, SliceIndex, TaskIndex, TeamName,
    WorkKind, WorkerName,
};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// A job to be submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSubmission {
    /// The team; for an open queue without a key it may be left out.
    #[serde(default)]
    pub team: Option<TeamName>,
    /// The queue.
    pub queue: QueueName,
    /// Makes a repeated submission harmless.
    pub idempotency_key: IdempotencyKey,
    /// The number of tasks.
    #[serde(default = "one_task")]
    pub tasks: u32,
    /// What each task needs.
    pub demand: ResourceAmount,
    /// What each task does; the worker interprets it.
    pub command: String,
    /// How long a task is expected to run, in milliseconds.
    #[serde(default)]
    pub expected_run_ms: Option<MilliSpan>,
    /// When the job has to be done, in milliseconds since the Unix epoch.
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
    /// No task has a place.
    Waiting,
    /// Some task has a place.
    Running,
    /// Cancellation was asked for; tasks are being stopped.
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
    /// The state.
    pub status: JobStatus,
    /// Why the job was refused or failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// When it was submitted, in milliseconds since the Unix epoch.
    pub submitted_ms: MilliTime,
    /// When it ended, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_ms: Option<MilliTime>,
    /// Its tasks.
    pub tasks: Vec<TaskView>,
}

/// A task as callers see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskView {
    /// The task.
    pub task: TaskIndex,
    /// The state: waiting, placed, running, or how it ended.
    pub status: String,
    /// The number of the last attempt; zero if there was none.
    pub attempt: u32,
    /// The worker of the last attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerName>,
}

/// A worker as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// The worker.
    pub name: WorkerName,
    /// Its rack.
    pub rack: RackName,
    /// healthy, quarantined, leaving or lost.
    pub status: String,
    /// What it has in all.
    pub capacity: ResourceAmount,
    /// What its tasks are given.
    pub committed: ResourceAmount,
    /// The number of its tasks.
    pub tasks: u32,
}

/// An endpoint as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointView {
    /// The endpoint.
    pub name: String,
    /// The service.
    pub service: String,
    /// live or leaving.
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
    /// Whether keyed work is taken.
    pub keyed_work: bool,
    /// The time since the log was last read to its end.
    pub log_age_ms: MilliSpan,
    /// Whether the host is stopping.
    pub draining: bool,
    /// The hosts of the data centre that answer.
    pub peers: Vec<HostName>,
    /// The owners of the slices.
    pub slices: Vec<SliceView>,
    /// Jobs that have not ended.
    pub active_jobs: u32,
    /// Tasks that have a place.
    pub placed_tasks: u32,
}

/// The owner of a slice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceView {
    /// The slice.
    pub slice: SliceIndex,
    /// The owner, if there is one.
    pub owner: Option<HostName>,
    /// The epoch.
    pub epoch: EpochNumber,
}

/// The answer to a patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum PatchView {
    /// The patch made a version.
    Accepted {
        /// The version.
        version: ConfigVersion,
    },
    /// The patch changed nothing.
    Rejected {
        /// The version in force when the patch was met.
        current: ConfigVersion,
        /// Why.
        reason: String,
    },
}

/// One entry of the configuration's history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryView {
    /// The patch.
    pub patch: PatchId,
    /// Who made it.
    pub author: String,
    /// What became of it.
    pub result: PatchView,
}

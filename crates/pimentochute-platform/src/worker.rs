//! The interface of workers, the hosts that run tasks under leases.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use futures::future::BoxFuture;
use pimentochute_base::{
    AttemptRef, EpochNumber, HostIncarnation, HostName, MilliSpan, RackName, ResourceAmount,
    WorkerIncarnation, WorkerName,
};
use serde::{Deserialize, Serialize};

/// The commands that workers accept.
///
/// A worker has one control epoch. It refuses a command of another epoch, of an
/// epoch whose control lease has expired, or for another incarnation.
pub trait WorkerControl: Send + Sync {
    /// Acquires control of a worker. A host that already has control gets it again
    /// under the next epoch.
    ///
    /// # Errors
    /// [`WorkerError::Held`] while another host has a valid control lease.
    fn acquire<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        request: ControlRequest,
    ) -> BoxFuture<'a, Result<ControlGrant, WorkerError>>;

    /// Renews the control lease for `control_lease` and the leases of the tasks in
    /// `keep` for `task_lease`. The leases of other tasks are not renewed.
    ///
    /// # Errors
    /// Fails if the epoch is no longer in force or the worker does not answer.
    fn renew<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        epoch: EpochNumber,
        keep: Vec<AttemptRef>,
        control_lease: MilliSpan,
        task_lease: MilliSpan,
    ) -> BoxFuture<'a, Result<WorkerReport, WorkerError>>;

    /// Starts a task. A repeated order for the same attempt has no effect.
    ///
    /// # Errors
    /// [`WorkerError::InsufficientResources`] if the demand exceeds the free
    /// resources.
    fn start<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        epoch: EpochNumber,
        order: StartOrder,
    ) -> BoxFuture<'a, Result<(), WorkerError>>;

    /// Stops a task, which has the time `grace` to end by itself.
    ///
    /// # Errors
    /// Fails if the epoch is no longer in force or the worker does not answer.
    fn stop<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        epoch: EpochNumber,
        attempt: AttemptRef,
        grace: MilliSpan,
    ) -> BoxFuture<'a, Result<(), WorkerError>>;

    /// Tells the worker to drop the reports of ended tasks.
    ///
    /// # Errors
    /// Fails if the epoch is no longer in force or the worker does not answer.
    fn forget<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        epoch: EpochNumber,
        attempts: Vec<AttemptRef>,
    ) -> BoxFuture<'a, Result<(), WorkerError>>;

    /// Releases control. Tasks continue until their leases expire.
    ///
    /// # Errors
    /// Fails if the epoch is no longer in force or the worker does not answer.
    fn release<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        epoch: EpochNumber,
    ) -> BoxFuture<'a, Result<(), WorkerError>>;
}

/// The worker that a command goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerTarget {
    /// The worker's name.
    pub name: WorkerName,
    /// The address that the worker serves.
    pub address: SocketAddr,
}

/// A request for control of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRequest {
    /// The host that requests control.
    pub holder: HostName,
    /// The incarnation of the host.
    pub incarnation: HostIncarnation,
    /// The duration of the control lease without renewal.
    pub lease: MilliSpan,
}

/// The answer to a granted request for control.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlGrant {
    /// The epoch to send with commands; larger than all earlier ones of this
    /// incarnation of the worker.
    pub epoch: EpochNumber,
    /// The rack of the worker.
    pub rack: RackName,
    /// The total resources of the worker.
    pub capacity: ResourceAmount,
    /// The state of the worker.
    pub report: WorkerReport,
}

/// The state of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The incarnation of the worker.
    pub incarnation: WorkerIncarnation,
    /// The running tasks, and the ended ones until [`WorkerControl::forget`].
    pub tasks: Vec<TaskReport>,
    /// The resources that the tasks used some time before the report.
    pub usage: ResourceAmount,
}

/// The state of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The attempt that the worker was told to run.
    pub attempt: AttemptRef,
    /// Whether the attempt runs, or how it ended.
    pub status: TaskStatus,
}

/// Whether a task on a worker runs, or how it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStatus {
    /// The task runs.
    Running,
    /// The task ended by itself, with success.
    Succeeded,
    /// The task ended by itself, without success.
    Failed,
    /// The task was stopped by order.
    Stopped,
    /// The task was stopped because its lease expired.
    #[serde(rename = "lapsed")]
    Expired,
}

/// An order to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The attempt.
    pub attempt: AttemptRef,
    /// The incarnation of the worker that the attempt was placed on.
    pub incarnation: WorkerIncarnation,
    /// The resources that the worker reserves for the task.
    pub demand: ResourceAmount,
    /// What the task does; the worker interprets it.
    pub command: String,
    /// The duration of the task lease without renewal.
    pub lease: MilliSpan,
}

/// Why a command to a worker failed.
#[derive(Debug, Display, Error)]
pub enum WorkerError {
    /// The sender no longer has control: its epoch is superseded or its control
    /// lease has expired. The command had no effect.
    #[display("the epoch is no longer in force at the worker")]
    StaleEpoch,
    /// Another host has control; the command had no effect.
    #[display("host {holder} has control of the worker")]
    Held {
        /// The host that has control.
        #[error(not(source))]
        holder: HostName,
    },
    /// The worker has restarted since; the command had no effect.
    #[display("the worker has restarted")]
    OtherIncarnation,
    /// The demand exceeds the free resources; the command had no effect.
    #[display("the worker has no room for the task")]
    InsufficientResources,
    /// The command had no effect: it did not reach the worker, or the worker
    /// refused it before doing anything.
    #[display("the command had no effect on the worker: {detail}")]
    NoEffect {
        /// What the transport reported, or why the worker refused the command.
        #[error(not(source))]
        detail: String,
    },
    /// The command may have had an effect.
    #[display("the worker gave no answer, the command may have had an effect: {detail}")]
    OutcomeUnknown {
        /// What the transport reported.
        #[error(not(source))]
        detail: String,
    },
}

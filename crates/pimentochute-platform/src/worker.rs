//! Workers: machines that run tasks under leases.

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
/// A worker keeps one control epoch. It refuses a command under another epoch,
/// under an epoch whose control lease has lapsed, or for another incarnation.
pub trait WorkerControl: Send + Sync {
    /// Takes control of a worker, or takes it anew under the next epoch.
    ///
    /// # Errors
    /// [`WorkerError::Held`] while another host's control lease runs.
    fn acquire<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        request: ControlRequest,
    ) -> BoxFuture<'a, Result<ControlGrant, WorkerError>>;

    /// Extends the control lease and the leases of the tasks in `keep` by
    /// `task_lease`; other tasks are not extended.
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

    /// Starts a task; a repeated order for the same attempt changes nothing.
    ///
    /// # Errors
    /// [`WorkerError::InsufficientResources`] if the demand does not fit.
    fn start<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        epoch: EpochNumber,
        order: StartOrder,
    ) -> BoxFuture<'a, Result<(), WorkerError>>;

    /// Stops a task, which gets `grace` to finish by itself.
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

    /// Lets the worker drop the reports of ended tasks.
    ///
    /// # Errors
    /// Fails if the epoch is no longer in force or the worker does not answer.
    fn forget<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        epoch: EpochNumber,
        attempts: Vec<AttemptRef>,
    ) -> BoxFuture<'a, Result<(), WorkerError>>;

    /// Gives up control; tasks run on until their leases lapse.
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
    /// The host that asks.
    pub holder: HostName,
    /// The run of the host's process.
    pub incarnation: HostIncarnation,
    /// How long control lasts without renewal.
    pub lease: MilliSpan,
}

/// Control of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlGrant {
    /// The epoch to name in commands; larger than every earlier one of this
    /// incarnation of the worker.
    pub epoch: EpochNumber,
    /// The rack of the worker.
    pub rack: RackName,
    /// What the worker has in all.
    pub capacity: ResourceAmount,
    /// The state of the worker.
    pub report: WorkerReport,
}

/// The state of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The run of the worker's process.
    pub incarnation: WorkerIncarnation,
    /// The tasks that run, and those that ended and were not forgotten.
    pub tasks: Vec<TaskReport>,
    /// What the tasks used some time ago.
    pub usage: ResourceAmount,
}

/// The state of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The attempt.
    pub attempt: AttemptRef,
    /// What became of it so far.
    pub status: TaskStatus,
}

/// What became of a task on a worker.
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
    /// The task was stopped because its lease lapsed.
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
    /// What the task is given.
    pub demand: ResourceAmount,
    /// What the task does; the worker interprets it.
    pub command: String,
    /// How long the task runs without renewal.
    pub lease: MilliSpan,
}

/// The reason why a worker did not carry out a command.
#[derive(Debug, Display, Error)]
pub enum WorkerError {
    /// The epoch is not in force; the command had no effect.
    #[display("the epoch is no longer in force at the worker")]
    StaleEpoch,
    /// Another host has control; the command had no effect.
    #[display("host {holder} has control of the worker")]
    Held {
        /// The host that has control.
        #[error(not(source))]
        holder: HostName,
    },
    /// The worker's process has restarted; the command had no effect.
    #[display("the worker has restarted")]
    OtherIncarnation,
    /// The demand does not fit; the command had no effect.
    #[display("the worker has no room for the task")]
    InsufficientResources,
    /// The worker was not reached; the command had no effect.
    #[display("the worker cannot be reached: {detail}")]
    Unreachable {
        /// What the transport reported.
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

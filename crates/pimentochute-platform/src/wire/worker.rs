//! The JSON messages of worker commands.
//!
//! Each command contains the name of the worker, because another worker may have
//! taken over the address of one that has left.

use pimentochute_base::{AttemptRef, EpochNumber, HostName, MilliSpan, WorkerName};
use serde::{Deserialize, Serialize};

use super::{WireError, decode_json};
use crate::{ControlRequest, StartOrder, WorkerError};

/// The body of `POST /v1/control/acquire`; the answer is a
/// [`crate::ControlGrant`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcquireRequest {
    /// The worker that the command is for.
    pub worker: WorkerName,
    /// The host that requests control, and for how long.
    pub request: ControlRequest,
}

/// The body of `POST /v1/control/renew`; the answer is a
/// [`crate::WorkerReport`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The worker that the command is for.
    pub worker: WorkerName,
    /// The epoch of the sender.
    pub epoch: EpochNumber,
    /// The attempts whose leases are renewed.
    pub keep: Vec<AttemptRef>,
    /// The control lease in milliseconds.
    pub control_lease: MilliSpan,
    /// The task lease in milliseconds.
    pub task_lease: MilliSpan,
}

/// The body of `POST /v1/control/release`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// The worker that the command is for.
    pub worker: WorkerName,
    /// The epoch of the sender.
    pub epoch: EpochNumber,
}

/// The body of `POST /v1/tasks/start`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// The worker that the command is for.
    pub worker: WorkerName,
    /// The epoch of the sender.
    pub epoch: EpochNumber,
    /// The task to start.
    pub order: StartOrder,
}

/// The body of `POST /v1/tasks/stop`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopRequest {
    /// The worker that the command is for.
    pub worker: WorkerName,
    /// The epoch of the sender.
    pub epoch: EpochNumber,
    /// The task to stop.
    pub attempt: AttemptRef,
    /// The time in which the task may end by itself, in milliseconds.
    pub grace: MilliSpan,
}

/// The body of `POST /v1/tasks/forget`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForgetRequest {
    /// The worker that the command is for.
    pub worker: WorkerName,
    /// The epoch of the sender.
    pub epoch: EpochNumber,
    /// The ended attempts whose reports the worker drops.
    pub attempts: Vec<AttemptRef>,
}

/// The body of an answer with status 409: the command had no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "refusal", rename_all = "snake_case")]
pub enum WorkerRefusal {
    /// The epoch is no longer in force.
    StaleEpoch,
    /// Another host has control.
    Held {
        /// The host that has control.
        holder: HostName,
    },
    /// The worker has restarted since.
    OtherIncarnation,
    /// The demand exceeds the free resources.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// The address belongs to another worker.
    OtherWorker {
        /// The worker at the address.
        worker: WorkerName,
    },
}

impl From<WorkerRefusal> for WorkerError {
    fn from(refusal: WorkerRefusal) -> Self {
        match refusal {
            WorkerRefusal::StaleEpoch => Self::StaleEpoch,
            WorkerRefusal::Held { holder } => Self::Held { holder },
            WorkerRefusal::OtherIncarnation => Self::OtherIncarnation,
            WorkerRefusal::InsufficientResources => Self::InsufficientResources,
            WorkerRefusal::OtherWorker { worker } => Self::NoEffect {
                detail: format!("the address belongs to worker {worker}"),
            },
        }
    }
}

/// Decodes the body of an answer with status 409.
///
/// # Errors
/// [`WireError::Malformed`] if the bytes are not a refusal.
pub fn decode_refusal(bytes: &[u8]) -> Result<WorkerRefusal, WireError> {
    decode_json(bytes)
}

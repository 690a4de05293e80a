//! The links between entry hosts.

use derive_more::{Display, Error};
use futures::future::BoxFuture;
use pimentochute_base::{
    ConfigVersion, DataCentreName, HostIncarnation, HostName, MilliSpan, MilliTime, ServiceName,
    WorkerName,
};
use pimentochute_state::{CellConfig, StampedRecord};
use serde::{Deserialize, Serialize};

/// Calls to other entry hosts.
pub trait PeerLink: Send + Sync {
    /// Exchanges heartbeats.
    ///
    /// # Errors
    /// Fails if the host gives no usable answer.
    fn heartbeat<'a>(
        &'a self,
        host: &'a HostName,
        beat: Heartbeat,
    ) -> BoxFuture<'a, Result<Heartbeat, PeerError>>;

    /// Lets a host of the same data centre append records.
    ///
    /// # Errors
    /// [`PeerError::Unreachable`] only if the records were surely not appended.
    fn append<'a>(
        &'a self,
        host: &'a HostName,
        records: Vec<StampedRecord>,
    ) -> BoxFuture<'a, Result<(), PeerError>>;

    /// Fetches the configuration in force on another host.
    ///
    /// # Errors
    /// Fails if the host gives no usable answer.
    fn config<'a>(&'a self, host: &'a HostName) -> BoxFuture<'a, Result<CellConfig, PeerError>>;
}

/// The state that a host tells its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The host.
    pub host: HostName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The run of its process.
    pub incarnation: HostIncarnation,
    /// The version of the configuration in force on it.
    pub config_version: ConfigVersion,
    /// How it knows that the configuration is current.
    pub evidence: ConfigEvidence,
    /// Whether it is stopping.
    pub draining: bool,
    /// The workers of the data centre that it cannot reach.
    pub unreachable_workers: Vec<WorkerName>,
    /// Its free capacity for requests.
    pub services: Vec<ServiceLoad>,
}

/// How a host knows that its configuration is current.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigEvidence {
    /// The log was read to its end; the age of that read.
    LogRead {
        /// The time since the read began.
        age: MilliSpan,
    },
    /// The log could not be reached; the time since the last read.
    LogUnreachable {
        /// The time since the last read began.
        age: MilliSpan,
    },
}

/// A host's free capacity for the requests of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceName,
    /// The endpoint slots of the host that are free.
    pub free_slots: u32,
    /// The requests that wait on the host.
    pub waiting: u32,
}

/// What is known of another entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// The last heartbeat of the host.
    pub beat: Heartbeat,
    /// When the heartbeat was received, by the local monotonic clock.
    pub received: MilliTime,
}

/// The reason why a call to another host has no result.
#[derive(Debug, Display, Error)]
pub enum PeerError {
    /// The call was surely not carried out.
    #[display("host {host} cannot be reached: {detail}")]
    Unreachable {
        /// The host.
        #[error(not(source))]
        host: HostName,
        /// What the transport reported.
        detail: String,
    },
    /// The call may have been carried out.
    #[display("host {host} gave no answer: {detail}")]
    OutcomeUnknown {
        /// The host.
        #[error(not(source))]
        host: HostName,
        /// What the transport reported.
        detail: String,
    },
    /// The host refused the call.
    #[display("host {host} refused the call: {detail}")]
    Refused {
        /// The host.
        #[error(not(source))]
        host: HostName,
        /// The reason that the host gave.
        detail: String,
    },
}

//! Calls between entry hosts and the heartbeat that they exchange.

use derive_more::{Display, Error};
use futures::future::BoxFuture;
use pimentochute_base::{
    ConfigVersion, DataCentreName, HostIncarnation, HostName, MilliSpan, MilliTime, ServiceName,
    WorkerName,
};
use pimentochute_state::{FleetConfig, StampedRecord};
use serde::{Deserialize, Serialize};

/// Calls to other entry hosts.
pub trait PeerLink: Send + Sync {
    /// Sends this host's heartbeat and returns that of the other host.
    ///
    /// # Errors
    /// Fails if the host gives no valid answer.
    fn heartbeat<'a>(
        &'a self,
        host: &'a HostName,
        beat: Heartbeat,
    ) -> BoxFuture<'a, Result<Heartbeat, PeerError>>;

    /// Asks another host of the same data centre to append records to the log.
    ///
    /// # Errors
    /// [`PeerError::Unreachable`] and [`PeerError::Refused`] state that the
    /// records were not appended; with [`PeerError::OutcomeUnknown`] they may
    /// have been.
    fn append<'a>(
        &'a self,
        host: &'a HostName,
        records: Vec<StampedRecord>,
    ) -> BoxFuture<'a, Result<(), PeerError>>;

    /// Fetches the configuration in force on another host.
    ///
    /// # Errors
    /// Fails if the host gives no valid answer.
    fn config<'a>(&'a self, host: &'a HostName) -> BoxFuture<'a, Result<FleetConfig, PeerError>>;
}

/// The state that a host reports to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The host that sent the heartbeat.
    pub host: HostName,
    /// The data centre of the host.
    pub data_centre: DataCentreName,
    /// The incarnation of its process.
    pub incarnation: HostIncarnation,
    /// The version of the configuration in force on the host.
    pub config_version: ConfigVersion,
    /// What the host knows about the end of the log.
    pub evidence: ConfigEvidence,
    /// Whether the host is draining.
    pub draining: bool,
    /// The workers of the data centre that the host cannot reach.
    pub unreachable_workers: Vec<WorkerName>,
    /// The free capacity of the host for requests, per service.
    pub services: Vec<ServiceCapacity>,
}

/// What a host knows about the end of the log. Together with the reports of the
/// other hosts it decides whether the configuration is current.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigEvidence {
    /// The last read of the host reached the end of the log.
    LogRead {
        /// The time since that read began.
        age: MilliSpan,
    },
    /// The last read failed, or no read has reached the end yet.
    LogUnreachable {
        /// The time since the start of the last read that reached the end, or
        /// since the start of the daemon if there was none.
        age: MilliSpan,
    },
}

/// A host's free capacity for the requests of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCapacity {
    /// The service that the numbers refer to.
    pub service: ServiceName,
    /// The endpoint slots that this host may use and that are free.
    pub free_slots: u32,
    /// The number of requests that wait on the host.
    pub waiting: u32,
}

/// The last known state of another entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// The last heartbeat of the host.
    pub beat: Heartbeat,
    /// When the heartbeat was received, by the local monotonic clock.
    pub received: MilliTime,
}

/// A call to another host returned no result.
#[derive(Debug, Display, Error)]
pub enum PeerError {
    /// The call had no effect: no connection was opened, the message could not be
    /// built, or the host is not in the settings.
    #[display("the call to host {host} was not sent: {detail}")]
    Unreachable {
        /// The host that was called.
        #[error(not(source))]
        host: HostName,
        /// Why the call was not sent.
        detail: String,
    },
    /// The call may have had an effect: there was no complete answer in time, the
    /// answer cannot be decoded, or the host does not know the outcome itself.
    #[display("the outcome of the call to host {host} is unknown: {detail}")]
    OutcomeUnknown {
        /// The host that was called.
        #[error(not(source))]
        host: HostName,
        /// Why the outcome is unknown.
        detail: String,
    },
    /// The host refused the call, which had no effect.
    #[display("host {host} refused the call: {detail}")]
    Refused {
        /// The host that was called.
        #[error(not(source))]
        host: HostName,
        /// The reason that the host gave.
        detail: String,
    },
}

//! The platform's list of hosts.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use futures::future::BoxFuture;
use pimentochute_base::{DataCentreName, RackName, ServiceName};
use serde::{Deserialize, Serialize};
use strum::{Display as StrumDisplay, EnumString, IntoStaticStr};

/// The list of live and leaving hosts; it lags behind.
pub trait HostDirectory: Send + Sync {
    /// Returns the hosts of all data centres.
    ///
    /// # Errors
    /// Fails if the platform gives no usable answer.
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<HostEntry>, DirectoryError>>;
}

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The host's name, unique in its role.
    pub name: String,
    /// What runs on the host.
    pub role: HostRole,
    /// The data centre of the host.
    pub data_centre: DataCentreName,
    /// The address that the host serves.
    pub address: SocketAddr,
    /// Whether the host takes new work.
    pub status: HostStatus,
    /// The rack, for workers.
    #[serde(default)]
    pub rack: Option<RackName>,
    /// The service, for endpoints.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// The requests that an endpoint runs at once; zero for other roles.
    #[serde(default)]
    pub slots: u32,
    /// The connections that an endpoint accepts; zero for other roles.
    #[serde(default)]
    pub connections: u32,
}

/// What runs on a host.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    StrumDisplay,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HostRole {
    /// Runs tasks.
    Worker,
    /// Answers requests of a service.
    Endpoint,
    /// Runs this scheduler.
    Entry,
}

/// Whether a host takes new work.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    StrumDisplay,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HostStatus {
    /// The host takes new work.
    Live,
    /// The host finishes what it has and takes no new work.
    Leaving,
}

/// The platform gave no usable host list.
#[derive(Debug, Display, Error)]
#[display("the host list cannot be read: {detail}")]
pub struct DirectoryError {
    /// What the service or the transport reported.
    #[error(not(source))]
    pub detail: String,
}

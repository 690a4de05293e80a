//! The interface of the platform's host list.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use futures::future::BoxFuture;
use pimentochute_base::{DataCentreName, RackName, ServiceName};
use serde::{Deserialize, Serialize};
use strum::{Display as StrumDisplay, EnumString, IntoStaticStr};

/// The list of live and leaving hosts. It may be out of date.
pub trait HostDirectory: Send + Sync {
    /// Returns the listed hosts of all data centres.
    ///
    /// # Errors
    /// Fails if the platform does not answer with a valid list.
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<HostEntry>, DirectoryError>>;
}

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The host's name, unique in its role.
    pub name: String,
    /// The role of the host.
    pub role: HostRole,
    /// The data centre of the host.
    pub data_centre: DataCentreName,
    /// The address that the host serves.
    pub address: SocketAddr,
    /// Whether the host accepts new work.
    pub status: HostStatus,
    /// The rack of a worker; `None` for other roles.
    #[serde(default)]
    pub rack: Option<RackName>,
    /// The service of an endpoint; `None` for other roles.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// The number of requests that an endpoint runs at once; zero for other roles.
    #[serde(default)]
    pub slots: u32,
    /// The number of connections that an endpoint accepts; zero for other roles.
    #[serde(default)]
    pub connections: u32,
}

/// The role of a host.
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

/// Whether a host accepts new work.
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
    /// The host accepts new work.
    Live,
    /// The host finishes its work and accepts no more.
    Leaving,
}

/// The platform did not answer with a valid host list.
#[derive(Debug, Display, Error)]
#[display("the host list cannot be read: {detail}")]
pub struct DirectoryError {
    /// What the service or the transport reported.
    #[error(not(source))]
    pub detail: String,
}

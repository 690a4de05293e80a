//! Endpoints and loads in the public interface of the router.

use std::net::SocketAddr;

use derive_more::{Display, Error, From};
use pimentochute_base::{EndpointName, NameError, ServiceName};
use pimentochute_platform::{HostEntry, HostRole, HostStatus};

/// An endpoint as listed in the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSpec {
    /// The name, by which newer lists update the endpoint.
    pub name: EndpointName,
    /// The service that it provides.
    pub service: ServiceName,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The number of requests that it runs at once, for all entry hosts
    /// together.
    pub slots: u32,
    /// The number of connections that it accepts, for all entry hosts together.
    pub connections: u32,
    /// Whether it accepts new requests.
    pub status: EndpointStatus,
}

impl TryFrom<&HostEntry> for EndpointSpec {
    type Error = HostEntryError;

    fn try_from(entry: &HostEntry) -> Result<Self, HostEntryError> {
        if entry.role != HostRole::Endpoint {
            return Err(HostEntryError::OtherRole { role: entry.role });
        }
        Ok(Self {
            name: EndpointName::new(&entry.name)?,
            service: entry.service.clone().ok_or(HostEntryError::NoService)?,
            address: entry.address,
            slots: entry.slots,
            connections: entry.connections,
            status: entry.status.into(),
        })
    }
}

/// The reason why an entry of the host list is not an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, From)]
pub enum HostEntryError {
    /// The entry is for a host with another role.
    #[display("the host has the role {role}, not endpoint")]
    OtherRole {
        /// The role of the host.
        #[from(skip)]
        #[error(not(source))]
        role: HostRole,
    },
    /// The entry of an endpoint has no service.
    #[display("the entry of the endpoint names no service")]
    NoService,
    /// The name of the host is not a valid endpoint name.
    #[display("{_0}")]
    #[from]
    Name(NameError),
}

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The endpoint accepts new requests.
    Live,
    /// The endpoint finishes its requests in flight and accepts no new ones.
    Leaving,
}

impl From<HostStatus> for EndpointStatus {
    fn from(status: HostStatus) -> Self {
        match status {
            HostStatus::Live => Self::Live,
            HostStatus::Leaving => Self::Leaving,
        }
    }
}

/// An endpoint and its usage by this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointUsage {
    /// The name of the endpoint.
    pub name: EndpointName,
    /// The service that it provides.
    pub service: ServiceName,
    /// Whether it accepts new requests. An endpoint that is no longer listed is
    /// reported as leaving until its requests have ended.
    pub status: EndpointStatus,
    /// The number of its slots that belong to this host.
    pub slots: u32,
    /// The number of slots in use, held ones included.
    pub in_use: u32,
    /// The number of slots held for attempts with an unknown outcome.
    pub held: u32,
    /// The number of connections of this host: busy, idle or being opened.
    pub connections: u32,
    /// Whether the circuit breaker keeps requests away because connects or
    /// probes failed.
    pub avoided: bool,
}

/// This host's free capacity for one service, reported in heartbeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterLoad {
    /// The service that the numbers are for.
    pub service: ServiceName,
    /// The number of free slots of endpoints that accept requests.
    pub free_slots: u32,
    /// The number of waiting requests.
    pub waiting: u32,
}

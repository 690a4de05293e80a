//! Endpoints and loads as seen from outside the router.

use std::net::SocketAddr;

use derive_more::{Display, Error, From};
use pimentochute_base::{EndpointName, NameError, ServiceName};
use pimentochute_platform::{HostEntry, HostRole, HostStatus};

/// An endpoint of the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSpec {
    /// The endpoint.
    pub name: EndpointName,
    /// The service that it answers for.
    pub service: ServiceName,
    /// The address that it serves.
    pub address: SocketAddr,
    /// The requests that it runs at once, for all hosts together.
    pub slots: u32,
    /// The connections that it accepts, for all hosts together.
    pub connections: u32,
    /// Whether it takes new requests.
    pub status: EndpointStatus,
}

impl TryFrom<&HostEntry> for EndpointSpec {
    type Error = EntryError;

    fn try_from(entry: &HostEntry) -> Result<Self, EntryError> {
        if entry.role != HostRole::Endpoint {
            return Err(EntryError::OtherRole { role: entry.role });
        }
        Ok(Self {
            name: EndpointName::new(&entry.name)?,
            service: entry.service.clone().ok_or(EntryError::NoService)?,
            address: entry.address,
            slots: entry.slots,
            connections: entry.connections,
            status: entry.status.into(),
        })
    }
}

/// The reason why an entry of the host list is not an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, From)]
pub enum EntryError {
    /// The host has another role.
    #[display("the host has the role {role}, not endpoint")]
    OtherRole {
        /// The role.
        #[from(skip)]
        #[error(not(source))]
        role: HostRole,
    },
    /// The entry names no service.
    #[display("the entry of the endpoint names no service")]
    NoService,
    /// The name of the host is not allowed.
    #[display("{_0}")]
    #[from]
    Name(NameError),
}

/// Whether an endpoint takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The endpoint takes new requests.
    Live,
    /// The endpoint finishes what it has.
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

/// An endpoint and its use by this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointUse {
    /// The endpoint.
    pub name: EndpointName,
    /// The service that it answers for.
    pub service: ServiceName,
    /// Whether it takes new requests; an endpoint that is no longer listed
    /// is shown as leaving until its requests have ended.
    pub status: EndpointStatus,
    /// The slots of the endpoint that belong to this host.
    pub slots: u32,
    /// The slots in use, held ones included.
    pub in_use: u32,
    /// The slots held for attempts with an unknown outcome.
    pub held: u32,
    /// The open connections, busy and idle.
    pub connections: u32,
    /// Whether the endpoint is avoided because connects or probes failed.
    pub avoided: bool,
}

/// A host's free capacity for the requests of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterLoad {
    /// The service.
    pub service: ServiceName,
    /// The free slots of endpoints that take requests.
    pub free_slots: u32,
    /// The requests that wait.
    pub waiting: u32,
}

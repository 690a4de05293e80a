//! Endpoints and loads as seen from outside the router.

use std::net::SocketAddr;

use pimentochute_base::{EndpointName, ServiceName};

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

/// Whether an endpoint takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The endpoint takes new requests.
    Live,
    /// The endpoint finishes what it has.
    Leaving,
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

//! Requests, answers and errors of the router, and the traits that connect it
//! to the HTTP servers and to peers.

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::future::BoxFuture;
use pimentochute_base::{HostName, MilliSpan, ServiceName, TeamName};
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

/// Routes requests. The HTTP servers call the router through this trait.
pub trait RequestRoute: Send + Sync {
    /// Routes a request to an endpoint and returns the complete answer.
    ///
    /// # Errors
    /// [`RouteError::is_not_run`] returns whether the request is known not to
    /// have run.
    fn route(&self, request: RoutedRequest) -> BoxFuture<'_, Result<RoutedAnswer, RouteError>>;
}

/// Forwards requests to other entry hosts of the data centre.
pub trait PeerForward: Send + Sync {
    /// Returns the hosts that answered recently, with their load for a service.
    fn loads(&self, service: &ServiceName) -> Vec<PeerLoad>;

    /// Forwards a request to another host and returns its result.
    ///
    /// # Errors
    /// The errors of the other host's router, and
    /// [`RouteError::PeerUnreachable`] only if no part of the request was sent.
    fn forward<'a>(
        &'a self,
        host: &'a HostName,
        request: RoutedRequest,
    ) -> BoxFuture<'a, Result<RoutedAnswer, RouteError>>;
}

/// The free capacity of another host for one service, from its last heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerLoad {
    /// The host that sent the heartbeat.
    pub host: HostName,
    /// The endpoint slots that were free.
    pub free_slots: u32,
    /// The number of requests that were waiting.
    pub waiting: u32,
}

/// A request to be routed to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutedRequest {
    /// The identifier, unique across callers.
    pub id: String,
    /// The team whose share and limit apply.
    pub team: TeamName,
    /// The service that has to answer.
    pub service: ServiceName,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The time left until the caller's deadline.
    pub deadline: MilliSpan,
    /// Where the request came from.
    pub origin: RequestOrigin,
    /// The body that is passed to the endpoint unchanged.
    pub body: Bytes,
}

/// Where a request came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOrigin {
    /// A client that called this host.
    Caller,
    /// Another host of the data centre, which holds the team's permit. The
    /// request is not forwarded again.
    Peer,
    /// Another host of the data centre, which has no permit of the team. The
    /// request takes a permit here, like a request of a caller.
    Relay,
}

impl RequestOrigin {
    /// Returns whether the request takes a permit on this host.
    #[must_use]
    pub const fn needs_permit(self) -> bool {
        matches!(self, Self::Caller | Self::Relay)
    }
}

/// A complete answer of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutedAnswer {
    /// The HTTP status that the endpoint returned.
    pub status: u16,
    /// The name of the endpoint that answered.
    pub endpoint: String,
    /// The number of times that the request was sent to an endpoint.
    pub attempts: u32,
    /// The body of the answer.
    pub body: Bytes,
}

/// The reason why a request has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, IntoStaticStr, Serialize, Deserialize)]
#[serde(tag = "code", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RouteError {
    /// No endpoint of the service accepts requests, or the request could not be
    /// sent in the permitted number of tries.
    #[display("no endpoint of service {service} takes requests; hint: check the service name")]
    NoEndpoint {
        /// The service that was requested.
        service: ServiceName,
    },
    /// Too many requests wait, or the team has no permits on this host.
    #[display("too many requests are waiting; hint: try again in {retry_after}")]
    Overloaded {
        /// The time after which the caller may try again.
        retry_after: MilliSpan,
    },
    /// The deadline passed before the request was sent.
    #[display("the deadline passed before the request was sent")]
    DeadlineBeforeSend,
    /// The endpoint refused the request and did not run it.
    #[display("the endpoint did not run the request")]
    RefusedByEndpoint,
    /// No part of the request was sent to the other host.
    #[display("the host cannot be reached")]
    PeerUnreachable,
    /// The host is stopping.
    #[display("the host is stopping; hint: try again, another host will answer")]
    Draining,
    /// The request was sent and may have run, but no complete answer was
    /// received.
    #[display("the request was sent, its outcome is unknown")]
    OutcomeUnknown,
}

impl RouteError {
    /// Returns whether the request is known not to have run on any endpoint.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        !matches!(self, Self::OutcomeUnknown)
    }
}

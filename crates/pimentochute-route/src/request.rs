//! What goes into the router and what comes out.

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::future::BoxFuture;
use pimentochute_base::{HostName, MilliSpan, ServiceName, TeamName};
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

/// The border between the HTTP interfaces and the router.
pub trait RequestRoute: Send + Sync {
    /// Routes a request to an endpoint and returns the whole answer.
    ///
    /// # Errors
    /// Each error states whether the request was not run; see
    /// [`RouteError::is_not_run`].
    fn route(&self, request: RoutedRequest) -> BoxFuture<'_, Result<RoutedAnswer, RouteError>>;
}

/// Forwards requests to other entry hosts of the data centre.
pub trait PeerForward: Send + Sync {
    /// Returns the hosts that answered lately and their load for a service.
    fn loads(&self, service: &ServiceName) -> Vec<PeerLoad>;

    /// Lets another host route a request.
    ///
    /// # Errors
    /// As the other host's router; [`RouteError::PeerUnreachable`] only if
    /// the request was surely not sent to it.
    fn forward<'a>(
        &'a self,
        host: &'a HostName,
        request: RoutedRequest,
    ) -> BoxFuture<'a, Result<RoutedAnswer, RouteError>>;
}

/// What another host has free for a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerLoad {
    /// The host.
    pub host: HostName,
    /// Its free endpoint slots at its last heartbeat.
    pub free_slots: u32,
    /// The requests that waited there at its last heartbeat.
    pub waiting: u32,
}

/// A request on its way to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutedRequest {
    /// The identifier, unique across callers.
    pub id: String,
    /// The team that the request counts for.
    pub team: TeamName,
    /// The service that answers.
    pub service: ServiceName,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The time left to the caller's deadline.
    pub deadline: MilliSpan,
    /// Where the request came from.
    pub origin: RequestOrigin,
    /// The content.
    pub body: Bytes,
}

/// Where a request came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOrigin {
    /// A caller of this host.
    Caller,
    /// Another host of the data centre, which holds the team's permit. The
    /// request is not forwarded again.
    Peer,
    /// Another host of the data centre, which has no permit of the team. The
    /// request takes a permit here, as one of a caller does.
    Relay,
}

impl RequestOrigin {
    /// Tells whether the request takes a permit on this host.
    #[must_use]
    pub const fn needs_permit(self) -> bool {
        matches!(self, Self::Caller | Self::Relay)
    }
}

/// A whole answer of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutedAnswer {
    /// The HTTP status of the endpoint.
    pub status: u16,
    /// The endpoint.
    pub endpoint: String,
    /// The number of times that the request was sent to an endpoint.
    pub attempts: u32,
    /// The content.
    pub body: Bytes,
}

/// The reason why a request has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, IntoStaticStr, Serialize, Deserialize)]
#[serde(tag = "code", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RouteError {
    /// No endpoint of the service is known and takes requests.
    #[display("no endpoint of service {service} takes requests; hint: check the service name")]
    NoEndpoint {
        /// The service.
        service: ServiceName,
    },
    /// Too many requests wait, or the team is at its upper limit.
    #[display("too many requests are waiting; hint: try again in {retry_after}")]
    Overloaded {
        /// When to try again.
        retry_after: MilliSpan,
    },
    /// The deadline passed before the request was sent.
    #[display("the deadline passed before the request was sent")]
    DeadlineBeforeSend,
    /// The endpoints refused the request before running it.
    #[display("the endpoint did not run the request")]
    RefusedByEndpoint,
    /// The request could not be sent to another host.
    #[display("the host cannot be reached")]
    PeerUnreachable,
    /// The host is stopping.
    #[display("the host is stopping; hint: try again, another host will answer")]
    Draining,
    /// The request was sent and has no whole answer.
    #[display("the request was sent, its outcome is unknown")]
    OutcomeUnknown,
}

impl RouteError {
    /// Tells whether the request surely ran nowhere.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        !matches!(self, Self::OutcomeUnknown)
    }
}

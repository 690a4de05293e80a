//! The interface of endpoints, which answer routed requests.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::future::BoxFuture;
use pimentochute_base::MilliSpan;

/// Opens connections to endpoints.
pub trait EndpointDialer: Send + Sync {
    /// Opens a connection within `timeout`.
    ///
    /// # Errors
    /// Fails if the endpoint does not accept a connection in time. No request has
    /// been sent then.
    fn connect(
        &self,
        address: SocketAddr,
        timeout: MilliSpan,
    ) -> BoxFuture<'_, Result<Box<dyn EndpointConnection>, ConnectError>>;
}

/// A connection to an endpoint, for one request at a time.
///
/// Dropping it closes the connection. It must not be used again after an error, or
/// after a future of [`EndpointConnection::send`] was dropped.
pub trait EndpointConnection: Send {
    /// Sends a request and receives the complete answer within `timeout`.
    ///
    /// # Errors
    /// [`SendError::NotSent`] only if no byte of the request can have reached
    /// the endpoint.
    fn send(
        &mut self,
        request: EndpointRequest,
        timeout: MilliSpan,
    ) -> BoxFuture<'_, Result<EndpointAnswer, SendError>>;

    /// Checks that the endpoint answers on this connection.
    ///
    /// # Errors
    /// Fails if there is no answer within `timeout`.
    fn probe(&mut self, timeout: MilliSpan) -> BoxFuture<'_, Result<(), ProbeError>>;
}

/// A request to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRequest {
    /// The identifier of the request, which the answer has to repeat.
    pub id: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The time until the caller's deadline.
    pub deadline: MilliSpan,
    /// The body.
    pub body: Bytes,
}

/// A complete answer of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointAnswer {
    /// The HTTP status.
    pub status: u16,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// The body.
    pub body: Bytes,
}

/// The endpoint did not accept a connection.
#[derive(Debug, Display, Error)]
#[display("the endpoint does not accept a connection: {detail}")]
pub struct ConnectError {
    /// What the transport reported.
    #[error(not(source))]
    pub detail: String,
}

/// Why a request has no answer.
#[derive(Debug, Display, Error)]
pub enum SendError {
    /// No byte of the request can have reached the endpoint.
    #[display("the request was not sent: {detail}")]
    NotSent {
        /// What the transport reported.
        #[error(not(source))]
        detail: String,
    },
    /// The request may have run: the connection broke, timed out, or the
    /// answer was incomplete.
    #[display("the request has no whole answer: {detail}")]
    OutcomeUnknown {
        /// What the transport reported.
        #[error(not(source))]
        detail: String,
    },
    /// The answer has the identifier of another request and was discarded.
    #[display("the answer names another request")]
    Mismatch,
}

/// The endpoint does not answer on an open connection.
#[derive(Debug, Display, Error)]
#[display("the connection does not answer: {detail}")]
pub struct ProbeError {
    /// What the transport reported.
    #[error(not(source))]
    pub detail: String,
}

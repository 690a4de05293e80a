//! Endpoints: back ends that answer routed requests.

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
    /// Fails if the endpoint does not accept in time; nothing was sent.
    fn connect(
        &self,
        address: SocketAddr,
        timeout: MilliSpan,
    ) -> BoxFuture<'_, Result<Box<dyn EndpointConnection>, ConnectError>>;
}

/// One connection to an endpoint; it carries one request at a time.
///
/// Dropping a connection closes it. After an error, or when a future of
/// [`EndpointConnection::send`] was dropped, it must not be used again.
pub trait EndpointConnection: Send {
    /// Sends a request and reads the whole answer within `timeout`.
    ///
    /// # Errors
    /// [`DispatchError::NotSent`] only if no byte can have reached the endpoint.
    fn send(
        &mut self,
        request: EndpointRequest,
        timeout: MilliSpan,
    ) -> BoxFuture<'_, Result<EndpointAnswer, DispatchError>>;

    /// Checks that the endpoint still answers on this connection.
    ///
    /// # Errors
    /// Fails if there is no answer within `timeout`.
    fn probe(&mut self, timeout: MilliSpan) -> BoxFuture<'_, Result<(), ProbeError>>;
}

/// A request to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRequest {
    /// The identifier that the answer has to repeat.
    pub id: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The time left to the caller's deadline.
    pub deadline: MilliSpan,
    /// The content.
    pub body: Bytes,
}

/// A whole answer of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointAnswer {
    /// The HTTP status.
    pub status: u16,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// The content.
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

/// The reason why a request has no answer.
#[derive(Debug, Display, Error)]
pub enum DispatchError {
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
    /// The answer belongs to another request; it was discarded.
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

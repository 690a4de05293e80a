//! The endpoint client over HTTP/1.1. Each [`EndpointConnection`] is one TCP
//! connection.

use std::net::SocketAddr;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use pimentochute_base::MilliSpan;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::http_client::{error_chain, is_not_run};
use crate::{
    ConnectError, EndpointAnswer, EndpointConnection, EndpointDialer, EndpointRequest, ProbeError,
    SendError,
};

/// The header with the request id, in a request and in its answer.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The header with `true` if a request may run more than once, else `false`.
pub const IDEMPOTENT_HEADER: &str = "x-idempotent";

/// The header with the time until the caller's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// The request id of health checks.
const PROBE_ID: &str = "probe";

/// The default limit for answers.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Opens HTTP/1.1 connections to endpoints.
#[derive(Debug, Clone)]
pub struct HttpEndpointDialer {
    max_answer_bytes: usize,
}

impl HttpEndpointDialer {
    /// Creates a dialer.
    #[must_use]
    pub fn new() -> Self {
        Self {
            max_answer_bytes: MAX_ANSWER_BYTES,
        }
    }

    /// Sets the limit for answers.
    #[must_use]
    pub fn with_max_answer_bytes(mut self, max_answer_bytes: usize) -> Self {
        self.max_answer_bytes = max_answer_bytes;
        self
    }

    async fn open(&self, address: SocketAddr) -> Result<HttpConnection, ConnectError> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| connect_error(&error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| connect_error(&error))?;
        let host =
            HeaderValue::from_str(&address.to_string()).map_err(|error| connect_error(&error))?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| connect_error(&error))?;
        let driver = tokio::spawn(async move {
            // The pending request gets the error of its connection.
            let _ = connection.await;
        });
        Ok(HttpConnection {
            sender,
            driver,
            host,
            is_usable: true,
            max_answer_bytes: self.max_answer_bytes,
        })
    }
}

impl Default for HttpEndpointDialer {
    fn default() -> Self {
        Self::new()
    }
}

impl EndpointDialer for HttpEndpointDialer {
    fn connect(
        &self,
        address: SocketAddr,
        timeout: MilliSpan,
    ) -> BoxFuture<'_, Result<Box<dyn EndpointConnection>, ConnectError>> {
        Box::pin(async move {
            let open = tokio::time::timeout(timeout.as_duration(), self.open(address));
            let connection = open.await.map_err(|_| ConnectError {
                detail: format!("no connection to {address} within {timeout}"),
            })??;
            Ok(Box::new(connection) as Box<dyn EndpointConnection>)
        })
    }
}

/// A connection that carries one request at a time.
struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    /// The task that transfers the bytes. Aborting it closes the connection.
    driver: JoinHandle<()>,
    host: HeaderValue,
    /// False from the start of an exchange until its complete answer, so that it
    /// stays false after an error or a dropped future.
    is_usable: bool,
    max_answer_bytes: usize,
}

impl HttpConnection {
    /// Sends a request and receives the complete answer. Sets `is_sent` before the
    /// first byte can be sent.
    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        expected_id: &ExpectedId,
        is_sent: &mut bool,
    ) -> Result<EndpointAnswer, SendError> {
        self.sender
            .ready()
            .await
            .map_err(|error| not_sent(&error))?;
        *is_sent = true;
        let response = self.sender.try_send_request(request).await;
        let response = response.map_err(|mut error| match error.take_message() {
            Some(_) => not_sent(error.error()),
            None => outcome_unknown(error.error()),
        })?;
        if !expected_id.matches(&response) {
            return Err(SendError::Mismatch);
        }
        check_framing(&response)?;
        let status = response.status().as_u16();
        let not_run = is_not_run(&response);
        let body = Limited::new(response.into_body(), self.max_answer_bytes);
        let body = body
            .collect()
            .await
            .map_err(|error| outcome_unknown(error.as_ref()))?;
        Ok(EndpointAnswer {
            status,
            not_run,
            body: body.to_bytes(),
        })
    }

    async fn exchange_within(
        &mut self,
        request: Request<Full<Bytes>>,
        expected_id: &ExpectedId,
        timeout: MilliSpan,
    ) -> Result<EndpointAnswer, SendError> {
        if !self.is_usable {
            return Err(SendError::NotSent {
                detail: "the connection was given up".to_owned(),
            });
        }
        self.is_usable = false;
        let mut is_sent = false;
        let exchange = self.exchange(request, expected_id, &mut is_sent);
        let answer = tokio::time::timeout(timeout.as_duration(), exchange).await;
        let answer = answer.unwrap_or_else(|_| Err(timeout_error(is_sent, timeout)));
        self.is_usable = answer.is_ok();
        if !self.is_usable {
            self.driver.abort();
        }
        answer
    }

    fn build_request(&self, request: EndpointRequest) -> Result<Request<Full<Bytes>>, http::Error> {
        Request::builder()
            .method(Method::POST)
            .uri("/v1/requests")
            .header(header::HOST, &self.host)
            .header(REQUEST_ID_HEADER, request.id)
            .header(IDEMPOTENT_HEADER, request.idempotent.to_string())
            .header(DEADLINE_HEADER, request.deadline.as_millis())
            .body(Full::new(request.body))
    }

    async fn probe_within(&mut self, timeout: MilliSpan) -> Result<(), SendError> {
        let request = Request::builder()
            .uri("/healthz")
            .header(header::HOST, &self.host)
            .header(REQUEST_ID_HEADER, PROBE_ID)
            .body(Full::default())
            .map_err(|error| not_sent(&error))?;
        let expected_id = ExpectedId::Probe;
        let answer = self.exchange_within(request, &expected_id, timeout).await?;
        if answer.status != StatusCode::OK.as_u16() {
            self.is_usable = false;
            return Err(SendError::OutcomeUnknown {
                detail: format!("the probe is answered with status {}", answer.status),
            });
        }
        Ok(())
    }
}

impl EndpointConnection for HttpConnection {
    fn send(
        &mut self,
        request: EndpointRequest,
        timeout: MilliSpan,
    ) -> BoxFuture<'_, Result<EndpointAnswer, SendError>> {
        Box::pin(async move {
            let id = HeaderValue::from_str(&request.id).map_err(|error| not_sent(&error))?;
            let request = self
                .build_request(request)
                .map_err(|error| not_sent(&error))?;
            let expected_id = ExpectedId::Request(id);
            self.exchange_within(request, &expected_id, timeout).await
        })
    }

    fn probe(&mut self, timeout: MilliSpan) -> BoxFuture<'_, Result<(), ProbeError>> {
        Box::pin(async move {
            self.probe_within(timeout)
                .await
                .map_err(|error| ProbeError {
                    detail: error.to_string(),
                })
        })
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The request id that an answer has to carry.
enum ExpectedId {
    /// The id of the request.
    Request(HeaderValue),
    /// The id of probes, or none, because the health check of an endpoint need not
    /// repeat the id.
    Probe,
}

impl ExpectedId {
    fn matches(&self, response: &Response<Incoming>) -> bool {
        let found = response.headers().get(REQUEST_ID_HEADER);
        match self {
            Self::Request(id) => found == Some(id),
            Self::Probe => found.is_none_or(|found| found == PROBE_ID),
        }
    }
}

/// Rejects an answer that ends only with the connection, because a truncated one
/// could not be told from a complete one.
fn check_framing(response: &Response<Incoming>) -> Result<(), SendError> {
    let headers = response.headers();
    let coding = headers.get(header::TRANSFER_ENCODING);
    let is_chunked = coding.is_some_and(|coding| coding.as_bytes().ends_with(b"chunked"));
    let is_delimited = is_chunked
        || headers.contains_key(header::CONTENT_LENGTH)
        || response.status() == StatusCode::NO_CONTENT;
    if is_delimited {
        return Ok(());
    }
    Err(SendError::OutcomeUnknown {
        detail: "the answer does not state its length".to_owned(),
    })
}

fn timeout_error(is_sent: bool, timeout: MilliSpan) -> SendError {
    let detail = format!("no whole answer within {timeout}");
    if is_sent {
        SendError::OutcomeUnknown { detail }
    } else {
        SendError::NotSent { detail }
    }
}

fn connect_error(error: &dyn std::error::Error) -> ConnectError {
    ConnectError {
        detail: error_chain(error),
    }
}

fn not_sent(error: &dyn std::error::Error) -> SendError {
    SendError::NotSent {
        detail: error_chain(error),
    }
}

fn outcome_unknown(error: &dyn std::error::Error) -> SendError {
    SendError::OutcomeUnknown {
        detail: error_chain(error),
    }
}

//! HTTP calls to external systems, with limits for the time and the answer size.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http::uri::Authority;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use pimentochute_base::MilliSpan;

use crate::link::{LinkPacer, TrafficClass};

/// The header of an answer that states that the request was not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// The upper limit of the timeout for a connection. Data centres are a few
/// milliseconds apart, so a host that needs longer is down.
const CONNECT_TIMEOUT: MilliSpan = MilliSpan::new(1_000);

/// The time after which an idle connection is closed. It exceeds the interval
/// between two renewals, so that they share a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The default maximum number of idle connections per address. It is small because
/// after an outage each of them may be dead and cost one call its timeout.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// The first line of a message and the headers that the client adds, `host` and
/// `content-length`.
const MESSAGE_OVERHEAD: usize = 80;

/// The payload of a packet of the network.
const PACKET_BYTES: usize = 1_448;

/// The headers of a packet, and those of the packet that acknowledges it.
const PACKET_OVERHEAD: usize = 52;

/// The statuses of a refusal: the request had no effect.
const REFUSAL_STATUSES: [StatusCode; 8] = [
    StatusCode::BAD_REQUEST,
    StatusCode::UNAUTHORIZED,
    StatusCode::FORBIDDEN,
    StatusCode::NOT_FOUND,
    StatusCode::METHOD_NOT_ALLOWED,
    StatusCode::PAYLOAD_TOO_LARGE,
    StatusCode::UNSUPPORTED_MEDIA_TYPE,
    StatusCode::TOO_MANY_REQUESTS,
];

/// A client with a connection pool. If an answer is late or incomplete, its
/// connection is closed.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: MilliSpan,
    /// If set, the body of an answer may take this long while parts of it arrive, each
    /// within the timeout. Otherwise the timeout is for the whole call.
    transfer_timeout: Option<MilliSpan>,
    /// The largest accepted body of an answer.
    max_answer_bytes: usize,
    /// The link that the calls share with others, and what they are for; `None` if they
    /// are neither counted nor paced.
    link: Option<(LinkPacer, TrafficClass)>,
}

/// A request to a service.
#[derive(Debug)]
pub struct HttpCall {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// How long the service may delay the answer, in addition to the timeout.
    pub wait: MilliSpan,
    /// The headers; they override the default content type, which is JSON.
    pub headers: HeaderMap,
}

/// A complete answer.
#[derive(Debug)]
pub struct HttpReply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// Whether the answer states that the request was not run.
    pub not_run: bool,
    /// The body, complete and within the limit of the client.
    pub body: Bytes,
}

/// Why a call has no valid answer.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// The call certainly had no effect.
    #[display("{detail}")]
    NoEffect {
        /// What the service or the transport reported.
        #[error(not(source))]
        detail: String,
    },
    /// The call may have had an effect.
    #[display("{detail}")]
    OutcomeUnknown {
        /// What the service or the transport reported.
        #[error(not(source))]
        detail: String,
    },
    /// The answer is larger than the limit; the call may have had an effect.
    #[display("the answer has more than {limit} bytes")]
    TooLarge {
        /// The largest accepted answer, in bytes.
        limit: usize,
    },
}

impl HttpClient {
    /// Creates a client whose calls take at most `timeout` in addition to their
    /// [`HttpCall::wait`].
    #[must_use]
    pub fn new(timeout: MilliSpan, max_answer_bytes: usize) -> Self {
        Self::new_with_idle(timeout, max_answer_bytes, MAX_IDLE_CONNECTIONS)
    }

    /// Like [`HttpClient::new`], with up to `max_idle_connections` idle connections
    /// per address.
    #[must_use]
    pub fn new_with_idle(
        timeout: MilliSpan,
        max_answer_bytes: usize,
        max_idle_connections: usize,
    ) -> Self {
        let connect_timeout = CONNECT_TIMEOUT.as_duration().min(timeout.as_duration() / 2);
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle_connections)
            .build(connector);
        Self {
            client,
            timeout,
            transfer_timeout: None,
            max_answer_bytes,
            link: None,
        }
    }

    /// Returns a client with another timeout, which does not share connections.
    #[must_use]
    pub fn with_timeout(&self, timeout: MilliSpan) -> Self {
        Self {
            link: self.link.clone(),
            ..Self::new(timeout, self.max_answer_bytes)
        }
    }

    /// Returns a client whose calls are messages of `class` on the link of `pacer`, which
    /// shares connections. The time that a call waits for the link does not count against
    /// its timeout; a call that has waited for that long as well fails without an effect.
    #[must_use]
    pub fn with_link(&self, pacer: LinkPacer, class: TrafficClass) -> Self {
        Self {
            link: Some((pacer, class)),
            ..self.clone()
        }
    }

    /// Returns a client whose calls are messages of another class, which shares
    /// connections. Has no effect without a link.
    #[must_use]
    pub fn with_class(&self, class: TrafficClass) -> Self {
        let link = self.link.clone().map(|(pacer, _)| (pacer, class));
        Self {
            link,
            ..self.clone()
        }
    }

    /// Returns a client with another limit for answers, which shares connections.
    #[must_use]
    pub fn with_max_answer_bytes(&self, max_answer_bytes: usize) -> Self {
        Self {
            max_answer_bytes,
            ..self.clone()
        }
    }

    /// Returns a client for large answers over slow links, which shares connections. The
    /// timeout holds for the start of an answer and for each part of its body, and the whole
    /// body may take `transfer_timeout`.
    #[must_use]
    pub fn with_transfer_timeout(&self, transfer_timeout: MilliSpan) -> Self {
        Self {
            transfer_timeout: Some(transfer_timeout),
            ..self.clone()
        }
    }

    /// Like [`HttpClient::call`], for a socket address.
    ///
    /// # Errors
    /// Fails if there is no complete answer in time.
    pub async fn call_at(
        &self,
        address: SocketAddr,
        call: HttpCall,
    ) -> Result<HttpReply, CallError> {
        match Authority::try_from(address.to_string()) {
            Ok(authority) => self.call(&authority, call).await,
            Err(error) => Err(CallError::NoEffect {
                detail: error_chain(&error),
            }),
        }
    }

    /// Sends a call and receives the complete answer.
    ///
    /// # Errors
    /// Fails if there is no complete answer in time.
    pub async fn call(
        &self,
        authority: &Authority,
        call: HttpCall,
    ) -> Result<HttpReply, CallError> {
        let timeout = self.timeout + call.wait;
        let request = build_request(authority, call)?;
        self.wait_for_link(&request, timeout).await?;
        let late = |limit: MilliSpan| CallError::OutcomeUnknown {
            detail: format!("no answer from {authority} within {limit}"),
        };
        // At a timeout, the exchange is dropped, which closes its connection.
        let Some(transfer_timeout) = self.transfer_timeout else {
            let exchange = async { self.receive(self.send(request).await?, None).await };
            let reply = tokio::time::timeout(timeout.as_duration(), exchange).await;
            return reply.unwrap_or_else(|_| Err(late(timeout)));
        };
        let response = tokio::time::timeout(timeout.as_duration(), self.send(request)).await;
        let response = response.unwrap_or_else(|_| Err(late(timeout)))?;
        let receiving = self.receive(response, Some(self.timeout));
        let reply = tokio::time::timeout(transfer_timeout.as_duration(), receiving).await;
        reply.unwrap_or_else(|_| Err(late(transfer_timeout)))
    }

    /// Waits until the link may take the request.
    async fn wait_for_link(
        &self,
        request: &Request<Full<Bytes>>,
        timeout: MilliSpan,
    ) -> Result<(), CallError> {
        let Some((pacer, class)) = &self.link else {
            return Ok(());
        };
        let admitted = pacer.admit(*class, request_bytes(request));
        let admitted = tokio::time::timeout(timeout.as_duration(), admitted).await;
        admitted.map_err(|_| CallError::NoEffect {
            detail: format!("not sent, the link was busy for {timeout}"),
        })
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallError> {
        self.client.request(request).await.map_err(|error| {
            let detail = error_chain(&error);
            if error.is_connect() {
                CallError::NoEffect { detail }
            } else {
                CallError::OutcomeUnknown { detail }
            }
        })
    }

    /// Receives the body of an answer; `part_timeout` limits the wait for each part of it.
    async fn receive(
        &self,
        response: Response<Incoming>,
        part_timeout: Option<MilliSpan>,
    ) -> Result<HttpReply, CallError> {
        let status = response.status();
        let not_run = is_not_run(&response);
        let headers = response.headers().clone();
        let mut body = Limited::new(response.into_body(), self.max_answer_bytes);
        let mut received = BytesMut::new();
        loop {
            let frame = match part_timeout {
                None => body.frame().await,
                Some(limit) => tokio::time::timeout(limit.as_duration(), body.frame())
                    .await
                    .map_err(|_| CallError::OutcomeUnknown {
                        detail: format!("no further part of the answer within {limit}"),
                    })?,
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|error| {
                if error.is::<LengthLimitError>() {
                    let limit = self.max_answer_bytes;
                    return CallError::TooLarge { limit };
                }
                CallError::OutcomeUnknown {
                    detail: error_chain(error.as_ref()),
                }
            })?;
            if let Ok(data) = frame.into_data() {
                received.extend_from_slice(&data);
            }
        }
        if let Some((pacer, class)) = &self.link {
            pacer.record_received(*class, message_bytes(&headers, received.len()));
        }
        Ok(HttpReply {
            status,
            headers,
            not_run,
            body: received.freeze(),
        })
    }
}

impl HttpReply {
    /// Returns the error for an answer of an unexpected status.
    #[must_use]
    pub fn into_error(self) -> CallError {
        let detail = format!("the service answers with status {}", self.status);
        if self.not_run || REFUSAL_STATUSES.contains(&self.status) {
            CallError::NoEffect { detail }
        } else {
            CallError::OutcomeUnknown { detail }
        }
    }
}

/// Returns whether an answer states that the request was not run.
#[must_use]
pub fn is_not_run(response: &Response<Incoming>) -> bool {
    let header = response.headers().get(NOT_RUN_HEADER);
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && header.is_some_and(|value| value == "true")
}

/// Returns the messages of an error and its sources in one line.
#[must_use]
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let sources = std::iter::successors(error.source(), |source| source.source());
    sources.fold(error.to_string(), |text, source| {
        format!("{text}: {source}")
    })
}

/// Returns the bytes of a request with its headers, on the link.
fn request_bytes(request: &Request<Full<Bytes>>) -> u64 {
    let body = request.body().size_hint().exact().unwrap_or(0);
    let path = request
        .uri()
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    let body = usize::try_from(body).unwrap_or(usize::MAX);
    message_bytes(request.headers(), body.saturating_add(path))
}

/// Returns the bytes of a message with `body_bytes`, on the link.
#[must_use]
pub fn message_bytes(headers: &HeaderMap, body_bytes: usize) -> u64 {
    let headers = headers.iter().map(|(name, value)| {
        // A colon, a space and the end of the line.
        name.as_str().len() + value.len() + 4
    });
    let bytes = MESSAGE_OVERHEAD + headers.sum::<usize>() + body_bytes;
    let packets = bytes.div_ceil(PACKET_BYTES);
    (bytes + packets * PACKET_OVERHEAD) as u64
}

fn build_request(authority: &Authority, call: HttpCall) -> Result<Request<Full<Bytes>>, CallError> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(authority.clone())
        .path_and_query(call.path);
    let request = uri.build().and_then(|uri| {
        let mut request = Request::builder()
            .method(call.method)
            .uri(uri)
            .body(Full::new(call.body))?;
        let content_type = HeaderValue::from_static("application/json");
        request
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        request.headers_mut().extend(call.headers);
        Ok(request)
    });
    request.map_err(|error| CallError::NoEffect {
        detail: error_chain(&error),
    })
}

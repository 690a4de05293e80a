//! The client and the server for calls between entry hosts. Log lines about
//! relayed advice requests have the prefix `adviser:`, the others `peer:`.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::uri::Authority;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, header};
use http_body_util::Full;
use pimentochute_base::MilliSpan;
use pimentochute_platform::{CallError, HttpCall, HttpClient, LinkPacer, TrafficClass};
use pimentochute_server::BodyReader;
use pimentochute_work::{
    AdviceCommand, AdviceRow, ExtendedRecord, RecordError, decode_extended, decode_record,
    encode_extended, encode_record,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use viz::{Body, Request, RequestExt as _, Router};

use crate::config_feed::ConfigFeed;
use crate::context::EdgeContext;
use crate::order_relay::{BatchRefusal, OrderRelay};
use crate::order_wire::{OrderBatch, OrderResults, RelayStatus};
use crate::owner::{LocalOwner, RelayedAnswers};
use crate::owner_monitor::OwnerMonitor;
use crate::peer_wire::{
    AdviceQuery, AdviceReply, ConfigAnswer, ConfigQuery, ForwardedJob, JobQuery, ObservationQuery,
    OwnerAnswer, OwnerPing, PendingQuery,
};

/// The timeout of a call to another host, in addition to the time that the call
/// allows for the work itself.
const PEER_TIMEOUT: MilliSpan = MilliSpan::new(600);

/// The largest accepted message, in bytes.
const MAX_MESSAGE: usize = 1024 * 1024;

/// The largest number of idle connections to one host.
const MAX_IDLE: usize = 4;

/// The statuses with which a host answers a batch of orders that it has not taken.
const REFUSAL_STATUSES: [StatusCode; 4] = [
    StatusCode::BAD_REQUEST,
    StatusCode::NOT_FOUND,
    StatusCode::CONFLICT,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// The content type of the messages.
const MESSAGE_TYPE: HeaderValue = HeaderValue::from_static("application/msgpack");

/// Forwards a job to the owner.
pub(crate) const FORWARD_PATH: &str = "/cell/hand-in";
/// Asks whether the host is this owner and can write to the log.
pub(crate) const PING_PATH: &str = "/cell/ping";
/// Asks whether the host reaches the owner.
const OBSERVATION_PATH: &str = "/cell/opinion";
/// Asks for the configuration.
const CONFIG_PATH: &str = "/config";
/// Asks for the state of a job.
pub(crate) const STATE_PATH: &str = "/cell/state";
/// Cancels a job.
pub(crate) const CANCEL_PATH: &str = "/cell/cancel";
/// Asks for the number of waiting jobs of a queue.
pub(crate) const PENDING_PATH: &str = "/cell/pending";
/// Relays an advice request to the advice service.
const ADVICE_PATH: &str = "/advice";
/// Relays orders of the owner to workers.
const ORDERS_PATH: &str = "/cell/orders";
/// Returns the results of relayed orders to the owner.
const RESULTS_PATH: &str = "/cell/order-results";

/// The client for calls to other hosts.
#[derive(Clone)]
pub(crate) struct PeerClient {
    client: HttpClient,
}

/// Why a call to another host has no result.
#[derive(Debug, Display, Error)]
pub(crate) enum PeerCallError {
    /// The address is invalid or the message cannot be encoded.
    #[display("the call to {address} has an invalid address or message")]
    Invalid {
        /// The address of the other host.
        #[error(not(source))]
        address: String,
    },
    /// The transport failed.
    #[display("{source}")]
    Call {
        /// What the transport reported.
        source: CallError,
    },
    /// The other host answered with an error, or its answer cannot be decoded.
    #[display("answered with HTTP status {status}, or with an answer that cannot be decoded")]
    Status {
        /// The HTTP status; 200 if the answer cannot be decoded.
        #[error(not(source))]
        status: StatusCode,
    },
}

impl PeerCallError {
    /// Returns whether the other host has certainly not received the call.
    pub(crate) const fn has_no_effect(&self) -> bool {
        match self {
            Self::Invalid { .. } => true,
            Self::Call { source } => matches!(source, CallError::NoEffect { .. }),
            Self::Status { .. } => false,
        }
    }

    /// Returns whether the other host has certainly not taken a batch of orders. One that
    /// does not know the message is among those that refuse it.
    pub(crate) fn is_refusal(&self) -> bool {
        match self {
            Self::Status { status } => REFUSAL_STATUSES.contains(status),
            Self::Invalid { .. } | Self::Call { .. } => self.has_no_effect(),
        }
    }
}

impl PeerClient {
    pub(crate) fn new(link: LinkPacer) -> Self {
        let client = HttpClient::new_with_idle(PEER_TIMEOUT, MAX_MESSAGE, MAX_IDLE);
        Self {
            client: client.with_link(link, TrafficClass::Query),
        }
    }

    /// Sends a request to the owner of the cell at `address`. `wait` is the time
    /// that the owner may take in addition to the call itself.
    ///
    /// # Errors
    /// Fails if there is no valid answer. The request may still have taken
    /// effect; see [`PeerCallError::has_no_effect`].
    pub(crate) async fn ask_owner<T: ExtendedRecord>(
        &self,
        address: &str,
        path: &str,
        query: &T,
        wait: MilliSpan,
    ) -> Result<OwnerAnswer, PeerCallError> {
        let body = encode_extended(query).map_err(|_| PeerCallError::Invalid {
            address: address.to_owned(),
        })?;
        let reply = self.reply_to(address, path, body, wait).await?;
        decode_extended(&reply).map_err(|error| undecodable(address, &error))
    }

    /// Asks the host at `address` for its configuration and newest claim.
    ///
    /// # Errors
    /// Fails if there is no valid answer.
    pub(crate) async fn query_config(
        &self,
        address: &str,
        query: &ConfigQuery,
    ) -> Result<ConfigAnswer, PeerCallError> {
        self.call(address, CONFIG_PATH, query, MilliSpan::ZERO)
            .await
    }

    /// Asks the host at `address` whether it reaches the owner.
    ///
    /// # Errors
    /// Fails if there is no valid answer.
    pub(crate) async fn query_observation(
        &self,
        address: &str,
        query: &ObservationQuery,
    ) -> Result<OwnerAnswer, PeerCallError> {
        self.call(address, OBSERVATION_PATH, query, MilliSpan::ZERO)
            .await
    }

    /// Sends an advice request to the advice service through the relay that the
    /// command names. Returns `None` if there is no answer.
    pub(crate) async fn advise(&self, command: &AdviceCommand) -> Option<Vec<AdviceRow>> {
        let query = AdviceQuery::from(command);
        let host = &command.relay;
        let reply = self.call::<_, AdviceReply>(host, ADVICE_PATH, &query, command.max_wait());
        let reply = reply.await.inspect_err(|error| {
            log::warn!(step:% = command.step, adviser:% = host, error:%; "adviser: no answer through the relay host");
        });
        reply.ok()?.into()
    }

    /// Passes an encoded [`OrderBatch`] on to the host at `address`, which has taken all of
    /// its orders if this succeeds.
    ///
    /// # Errors
    /// Fails if there is no valid answer; see [`PeerCallError::is_refusal`].
    pub(crate) async fn send_orders(
        &self,
        address: &str,
        batch: Vec<u8>,
    ) -> Result<RelayStatus, PeerCallError> {
        self.call_encoded(address, ORDERS_PATH, batch, MilliSpan::ZERO)
            .await
    }

    /// Returns results of relayed orders to the owner at `address`.
    ///
    /// # Errors
    /// Fails if there is no valid answer. The owner may still have received them.
    pub(crate) async fn send_results(
        &self,
        address: &str,
        results: &OrderResults,
    ) -> Result<(), PeerCallError> {
        self.call(address, RESULTS_PATH, results, MilliSpan::ZERO)
            .await
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        query: &Q,
        wait: MilliSpan,
    ) -> Result<A, PeerCallError> {
        let body = encode_record(query).map_err(|_| PeerCallError::Invalid {
            address: address.to_owned(),
        })?;
        self.call_encoded(address, path, body, wait).await
    }

    async fn call_encoded<A: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: Vec<u8>,
        wait: MilliSpan,
    ) -> Result<A, PeerCallError> {
        let reply = self.reply_to(address, path, body, wait).await?;
        decode_record(&reply).map_err(|error| undecodable(address, &error))
    }

    /// Sends an encoded message and returns the body of the answer.
    async fn reply_to(
        &self,
        address: &str,
        path: &str,
        body: Vec<u8>,
        wait: MilliSpan,
    ) -> Result<Bytes, PeerCallError> {
        let invalid = |_| PeerCallError::Invalid {
            address: address.to_owned(),
        };
        let authority: Authority = address.parse().map_err(invalid)?;
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, MESSAGE_TYPE);
        let call = HttpCall {
            method: Method::POST,
            path: path.to_owned(),
            body: body.into(),
            wait,
            headers,
        };
        let client = self.client.with_class(class_of(path));
        let reply = client.call(&authority, call).await;
        let reply = reply.map_err(|source| PeerCallError::Call { source })?;
        let status = reply.status;
        if status != StatusCode::OK {
            return Err(PeerCallError::Status { status });
        }
        Ok(reply.body)
    }
}

fn undecodable(address: &str, error: &RecordError) -> PeerCallError {
    log::warn!("peer: cannot decode an answer of {address}: {error}");
    PeerCallError::Status {
        status: StatusCode::OK,
    }
}

fn class_of(path: &str) -> TrafficClass {
    match path {
        PING_PATH | OBSERVATION_PATH => TrafficClass::Liveness,
        ADVICE_PATH => TrafficClass::Advice,
        ORDERS_PATH | RESULTS_PATH => TrafficClass::Order,
        CONFIG_PATH => TrafficClass::Read,
        _ => TrafficClass::Query,
    }
}

/// Returns the router for calls of other hosts.
pub(crate) fn peer_router(
    context: &EdgeContext,
    config: &ConfigFeed,
    local_owner: &LocalOwner,
    monitor: &OwnerMonitor,
) -> Router {
    let monitor = monitor.clone();
    let config = config.clone();
    let state_owner = local_owner.clone();
    let cancel_owner = local_owner.clone();
    let pending_owner = local_owner.clone();
    let forward_owner = local_owner.clone();
    let ping_owner = local_owner.clone();
    let member = Arc::clone(&context.member);
    let advice = context.ports.advice.clone();
    Router::new()
        .post(FORWARD_PATH, move |request: Request| {
            let owner = forward_owner.clone();
            async move {
                Ok::<_, viz::Error>(match read::<ForwardedJob>(request).await {
                    Some(job) => write_extended(&owner.accept_forwarded(job).await),
                    None => bad_request(),
                })
            }
        })
        .post(CONFIG_PATH, move |request: Request| {
            let config = config.clone();
            async move {
                Ok::<_, viz::Error>(match read::<ConfigQuery>(request).await {
                    Some(query) => write(&config.answer(&query)),
                    None => bad_request(),
                })
            }
        })
        .post(PING_PATH, move |request: Request| {
            let owner = ping_owner.clone();
            let member = Arc::clone(&member);
            async move {
                let ping = read::<OwnerPing>(request).await;
                let is_meant = ping.is_some_and(|ping| *ping.member == *member);
                Ok::<_, viz::Error>(write(&if is_meant {
                    owner.answer_ping()
                } else {
                    OwnerAnswer::NotOwner
                }))
            }
        })
        .post(OBSERVATION_PATH, move |request: Request| {
            let monitor = monitor.clone();
            async move {
                Ok::<_, viz::Error>(match read::<ObservationQuery>(request).await {
                    Some(query) => write(&monitor.observe_owner(&query).await),
                    None => bad_request(),
                })
            }
        })
        .post(STATE_PATH, move |request: Request| {
            let owner = state_owner.clone();
            async move {
                Ok::<_, viz::Error>(
                    match read_with(request, decode_extended::<JobQuery>).await {
                        Some(query) => write(&owner.state(query).await),
                        None => bad_request(),
                    },
                )
            }
        })
        .post(CANCEL_PATH, move |request: Request| {
            let owner = cancel_owner.clone();
            async move {
                Ok::<_, viz::Error>(
                    match read_with(request, decode_extended::<JobQuery>).await {
                        Some(query) => write(&owner.cancel(query).await),
                        None => bad_request(),
                    },
                )
            }
        })
        .post(PENDING_PATH, move |request: Request| {
            let owner = pending_owner.clone();
            async move {
                Ok::<_, viz::Error>(match read::<PendingQuery>(request).await {
                    Some(query) => write(&owner.pending(query).await),
                    None => bad_request(),
                })
            }
        })
        .post(ADVICE_PATH, move |request: Request| {
            let advice = advice.clone();
            async move {
                let query = read::<AdviceQuery>(request).await;
                let (Some(query), Some(advice)) = (query, advice) else {
                    return Ok::<_, viz::Error>(bad_request());
                };
                let rows = advice.advise(&AdviceCommand::from(query)).await;
                Ok(write(&AdviceReply::from(rows)))
            }
        })
}

/// Adds the calls about relayed orders to a router for calls of other hosts.
pub(crate) fn with_order_calls(
    router: Router,
    relay: &OrderRelay,
    answers: &RelayedAnswers,
) -> Router {
    let relay = relay.clone();
    let answers = answers.clone();
    router
        .post(ORDERS_PATH, move |request: Request| {
            let relay = relay.clone();
            async move {
                let Some(batch) = read::<OrderBatch>(request).await else {
                    return Ok::<_, viz::Error>(bad_request());
                };
                Ok(match relay.accept(batch) {
                    Ok(status) => write(&status),
                    Err(refusal) => {
                        log::info!(refusal:%; "relay: orders are refused");
                        with_status(refusal.into())
                    }
                })
            }
        })
        .post(RESULTS_PATH, move |request: Request| {
            let answers = answers.clone();
            async move {
                Ok::<_, viz::Error>(match read::<OrderResults>(request).await {
                    Some(results) => {
                        answers.record_results(results);
                        write(&())
                    }
                    None => bad_request(),
                })
            }
        })
}

impl From<BatchRefusal> for StatusCode {
    fn from(refusal: BatchRefusal) -> Self {
        match refusal {
            BatchRefusal::Busy => Self::SERVICE_UNAVAILABLE,
            BatchRefusal::OtherIncarnation => Self::CONFLICT,
            BatchRefusal::Invalid { .. } => Self::BAD_REQUEST,
        }
    }
}

async fn read<T: DeserializeOwned>(request: Request) -> Option<T> {
    read_with(request, decode_record).await
}

async fn read_with<T>(
    mut request: Request,
    decode: fn(&[u8]) -> Result<T, RecordError>,
) -> Option<T> {
    let path = request.path().to_owned();
    let bodies = request.state::<BodyReader>()?;
    let body = bodies.read_up_to(&mut request, MAX_MESSAGE).await;
    let body = body
        .inspect_err(|error| log::warn!("peer: the body of a call to {path} is not read: {error}"))
        .ok()?;
    let message = decode(&body.content);
    message
        .inspect_err(|error| log::warn!("peer: cannot decode a call to {path}: {error}"))
        .ok()
}

fn write<T: Serialize>(message: &T) -> Response<Body> {
    answer_with(encode_record(message))
}

fn write_extended<T: ExtendedRecord>(message: &T) -> Response<Body> {
    answer_with(encode_extended(message))
}

fn answer_with(message: Result<Vec<u8>, RecordError>) -> Response<Body> {
    match message {
        Ok(bytes) => Response::new(Body::from(Full::new(Bytes::from(bytes)))),
        Err(error) => {
            log::error!("peer: cannot encode an answer: {error}");
            with_status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn bad_request() -> Response<Body> {
    with_status(StatusCode::BAD_REQUEST)
}

fn with_status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

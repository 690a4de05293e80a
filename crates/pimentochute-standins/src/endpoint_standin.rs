//! The endpoint stand-in, served over HTTP.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use futures::stream;
use pimentochute_base::{EndpointName, MilliClock, MilliSpan};
use pimentochute_platform::{IDEMPOTENT_HEADER, REQUEST_ID_HEADER};
use serde::{Deserialize, Serialize};
use viz::header::{CONTENT_LENGTH, HeaderValue};
use viz::{Body, IntoResponse, Request, Response, Result, Router, StatusCode};

use crate::connection_limiter::ConnectionLimiter;
use crate::endpoint_ledger::{EndpointLedger, RequestRun, parse_sleep};
use crate::fault_set::{FaultSet, FaultSwitches};
use crate::registration::{LeavingBody, LeavingSwitch};
use crate::reply::{error_response, json, not_run, plain, read_body, read_json};
use crate::server::Standin;
use crate::worker_standin::clock_origin;

/// An endpoint that answers a request with its own body; clones share the
/// state.
#[derive(Debug, Clone)]
pub struct EndpointStandin {
    state: Arc<EndpointState>,
}

#[derive(Debug)]
struct EndpointState {
    name: EndpointName,
    slots: u32,
    connections: u32,
    clock: MilliClock,
    /// The wall-clock time at the zero of `clock`.
    origin: MilliSpan,
    faults: FaultSwitches,
    leaving: LeavingSwitch,
    limiter: Arc<ConnectionLimiter>,
    ledger: Mutex<EndpointLedger>,
}

/// The answer to `GET /records`, with wall-clock times.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointRecords {
    /// The name of the endpoint.
    pub endpoint: EndpointName,
    /// The maximum number of requests that it runs at once.
    pub slots: u32,
    /// The maximum number of open connections.
    pub connections: u32,
    /// The maximum number of connections that were open when one of them
    /// carried its first call.
    pub most_connections: u32,
    /// The requests that ran, and the violations of the limits.
    pub ledger: EndpointLedger,
}

impl EndpointStandin {
    /// Creates an idle endpoint that records times by `clock`.
    #[must_use]
    pub fn new(name: EndpointName, slots: u32, connections: u32, clock: MilliClock) -> Self {
        let state = EndpointState {
            name,
            slots,
            connections,
            origin: clock_origin(&clock),
            faults: FaultSwitches::new(),
            leaving: LeavingSwitch::new(),
            limiter: Arc::new(ConnectionLimiter::new(connections)),
            ledger: Mutex::new(EndpointLedger::default()),
            clock,
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: FaultSet) {
        self.state.faults.set(faults);
    }

    /// Returns the records for an invariant checker.
    #[must_use]
    pub fn records(&self) -> EndpointRecords {
        let mut ledger = self.with_ledger(|ledger| ledger.clone());
        ledger.connection_violations = self.state.limiter.violations();
        EndpointRecords {
            endpoint: self.state.name.clone(),
            slots: self.state.slots,
            connections: self.state.connections,
            most_connections: self.state.limiter.max_open(),
            ledger,
        }
    }

    /// Returns the switch that makes the endpoint register as leaving.
    #[must_use]
    pub fn leaving(&self) -> &LeavingSwitch {
        &self.state.leaving
    }

    fn with_ledger<T>(&self, action: impl FnOnce(&mut EndpointLedger) -> T) -> T {
        let ledger = self.state.ledger.lock();
        action(&mut ledger.unwrap_or_else(PoisonError::into_inner))
    }

    async fn handle_request(self, request: Request) -> Result<Response> {
        let headers = request.headers();
        let Some(id) = headers.get(REQUEST_ID_HEADER).cloned() else {
            return Ok(error_response(StatusCode::BAD_REQUEST, "no request id"));
        };
        let stated = headers.get(IDEMPOTENT_HEADER);
        let idempotent = stated.is_some_and(|value| value == "true");
        let faults = self.state.faults.get();
        let body = match read_body(request).await {
            Ok(body) => body,
            Err(response) => return Ok(with_id(response, id)),
        };
        // The fault switch `refuse` answers as if all slots were in use.
        if faults.refuse || !self.begin(&id, idempotent) {
            return Ok(with_id(not_run("no free slot"), id));
        }
        self.run(parse_sleep(&body)).await;
        Ok(run_response(body, id, faults))
    }

    fn begin(&self, id: &HeaderValue, idempotent: bool) -> bool {
        let run = RequestRun {
            id: String::from_utf8_lossy(id.as_bytes()).into_owned(),
            idempotent,
            at: self.state.clock.now() + self.state.origin,
        };
        self.with_ledger(|ledger| ledger.begin(self.state.slots, run))
    }

    /// Runs a request. It continues and keeps its slot if the connection
    /// breaks.
    async fn run(&self, span: MilliSpan) {
        let endpoint = self.clone();
        let run = tokio::spawn(async move {
            if span > MilliSpan::ZERO {
                tokio::time::sleep(span.as_duration()).await;
            }
            endpoint.with_ledger(EndpointLedger::finish);
        });
        // The task neither panics nor is cancelled.
        let _ = run.await;
    }

    async fn handle_faults(self, request: Request) -> Result<Response> {
        match read_json(request).await {
            Ok(faults) => {
                self.set_faults(faults);
                Ok(StatusCode::NO_CONTENT.into_response())
            }
            Err(response) => Ok(response),
        }
    }

    async fn handle_leaving(self, request: Request) -> Result<Response> {
        match read_json::<LeavingBody>(request).await {
            Ok(body) => {
                self.state.leaving.set(body.leaving);
                Ok(StatusCode::NO_CONTENT.into_response())
            }
            Err(response) => Ok(response),
        }
    }
}

impl Standin for EndpointStandin {
    fn router(&self) -> Router {
        let [requests, faults, leaving, records] = std::array::from_fn(|_| self.clone());
        Router::new()
            .post("/v1/requests", move |request| {
                requests.clone().handle_request(request)
            })
            .get("/healthz", |_: Request| async { Ok::<_, viz::Error>("ok") })
            .post("/faults", move |request| {
                faults.clone().handle_faults(request)
            })
            .post("/leaving", move |request| {
                leaving.clone().handle_leaving(request)
            })
            .get("/records", move |_: Request| {
                let response = json(StatusCode::OK, &records.records());
                async move { Ok::<_, viz::Error>(response) }
            })
    }

    fn faults(&self) -> FaultSwitches {
        self.state.faults.clone()
    }

    fn limiter(&self) -> Option<Arc<ConnectionLimiter>> {
        Some(Arc::clone(&self.state.limiter))
    }
}

/// Builds the answer to a request that ran.
fn run_response(body: Bytes, id: HeaderValue, faults: FaultSet) -> Response {
    if faults.cross {
        return with_id(
            plain(StatusCode::OK, body),
            HeaderValue::from_static("crossed"),
        );
    }
    let status = if faults.fail_all {
        StatusCode::INTERNAL_SERVER_ERROR
    } else {
        StatusCode::OK
    };
    if faults.truncate {
        return with_id(truncated(status, body), id);
    }
    with_id(plain(status, body), id)
}

/// Builds an answer whose content length is one byte more than it sends.
fn truncated(status: StatusCode, body: Bytes) -> Response {
    let stated = HeaderValue::from(body.len() + 1);
    let end = Err(std::io::Error::other("truncated by a fault switch"));
    let mut response = Response::new(Body::from_stream(stream::iter([Ok(body), end])));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_LENGTH, stated);
    response
}

fn with_id(mut response: Response, id: HeaderValue) -> Response {
    response.headers_mut().insert(REQUEST_ID_HEADER, id);
    response
}

//! In-memory fake of endpoints and of the dialer that connects to them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;
use pimentochute_base::{MilliClock, MilliSpan};
use pimentochute_platform::{ConnectError, EndpointConnection, EndpointDialer, EndpointRequest};
use pimentochute_standins::{EndpointLedger, RequestRun, parse_sleep};

use crate::fake_connection::FakeConnection;
use crate::shared::SharedState;

/// The fault that affects every request to an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointFault {
    /// Requests run and are answered.
    #[default]
    None,
    /// The connection accepts the request, does not run it, and never answers
    /// again, even after the fault is cleared.
    Silent,
    /// The request runs, but its answer never arrives.
    AnswerLost,
    /// The request runs, but only a part of its answer arrives.
    Truncated,
    /// The request runs, but an answer with the ID of another request arrives.
    Crossed,
    /// The endpoint answers that it did not run the request.
    RefuseNotRun,
}

/// Connects to the endpoints that were added to it. Clones share them.
#[derive(Debug, Clone)]
pub struct FakeDialer {
    clock: MilliClock,
    endpoints: Arc<SharedState<HashMap<SocketAddr, FakeEndpoint>>>,
}

impl FakeDialer {
    /// Creates a dialer that reaches no endpoint.
    #[must_use]
    pub fn new(clock: MilliClock) -> Self {
        Self {
            clock,
            endpoints: Arc::default(),
        }
    }

    /// Adds an endpoint with limits on running requests and open connections, and
    /// returns the handle to its faults and records.
    #[must_use]
    pub fn add(&self, address: SocketAddr, slots: u32, connections: u32) -> FakeEndpoint {
        let endpoint = FakeEndpoint {
            clock: self.clock.clone(),
            state: Arc::new(SharedState::new(EndpointState::new(slots, connections))),
        };
        self.endpoints.lock().insert(address, endpoint.clone());
        endpoint
    }
}

impl EndpointDialer for FakeDialer {
    fn connect(
        &self,
        address: SocketAddr,
        timeout: MilliSpan,
    ) -> BoxFuture<'_, Result<Box<dyn EndpointConnection>, ConnectError>> {
        Box::pin(async move {
            let endpoint = self.endpoints.lock().get(&address).cloned();
            let endpoint = endpoint.ok_or_else(|| refused("no endpoint has this address"))?;
            if endpoint.state.lock().hangs {
                tokio::time::sleep(timeout.as_duration()).await;
                return Err(refused("the fake endpoint does not answer"));
            }
            let connection = endpoint.open()?;
            Ok(Box::new(connection) as Box<dyn EndpointConnection>)
        })
    }
}

/// A handle to the faults and records of an endpoint. Clones share them.
#[derive(Debug, Clone)]
pub struct FakeEndpoint {
    clock: MilliClock,
    state: Arc<SharedState<EndpointState>>,
}

#[derive(Debug)]
struct EndpointState {
    slots: u32,
    connections: u32,
    open: u32,
    down: bool,
    hangs: bool,
    fault: EndpointFault,
    latency: MilliSpan,
    next_connection: u64,
    /// Connections with a smaller number never answer.
    silent_before: u64,
    /// Connections with a smaller number are closed.
    closed_before: u64,
    ledger: EndpointLedger,
}

impl EndpointState {
    fn new(slots: u32, connections: u32) -> Self {
        Self {
            slots,
            connections,
            open: 0,
            down: false,
            hangs: false,
            fault: EndpointFault::None,
            latency: MilliSpan::ZERO,
            next_connection: 0,
            silent_before: 0,
            closed_before: 0,
            ledger: EndpointLedger::default(),
        }
    }
}

impl FakeEndpoint {
    /// Sets whether new connections are refused. Open ones keep working.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Sets whether each attempt to connect fails after its full timeout, as it
    /// does to a host that drops all packets. Open connections keep working.
    pub fn set_hangs(&self, hangs: bool) {
        self.state.lock().hangs = hangs;
    }

    /// Sets the fault of every request from now on.
    pub fn set_fault(&self, fault: EndpointFault) {
        self.state.lock().fault = fault;
    }

    /// Sets how long every request takes by Tokio's timer, in addition to a
    /// `sleep MS` in its body.
    pub fn set_latency(&self, latency: MilliSpan) {
        self.state.lock().latency = latency;
    }

    /// Makes the connections that are open now never answer again.
    pub fn silence_open_connections(&self) {
        let mut state = self.state.lock();
        state.silent_before = state.next_connection;
    }

    /// Closes the connections that are open now.
    pub fn close_open_connections(&self) {
        let mut state = self.state.lock();
        state.closed_before = state.next_connection;
    }

    /// Returns the number of connections that the client has not dropped, whether
    /// or not the endpoint has closed them.
    #[must_use]
    pub fn open_connections(&self) -> u32 {
        self.state.lock().open
    }

    /// Returns the number of connections opened so far.
    #[must_use]
    pub fn opened_connections(&self) -> u64 {
        self.state.lock().next_connection
    }

    /// Returns the requests that the endpoint ran, and the violations of its
    /// limits.
    #[must_use]
    pub fn ledger(&self) -> EndpointLedger {
        self.state.lock().ledger.clone()
    }

    fn open(&self) -> Result<FakeConnection, ConnectError> {
        let mut state = self.state.lock();
        if state.down {
            return Err(refused("the fake endpoint is down"));
        }
        if state.open >= state.connections {
            state.ledger.connection_violations += 1;
            return Err(refused("the fake endpoint has too many connections"));
        }
        state.open += 1;
        let number = state.next_connection;
        state.next_connection += 1;
        Ok(FakeConnection::new(self.clone(), number))
    }

    /// Releases the place of a dropped connection.
    pub(crate) fn drop_connection(&self) {
        self.state.lock().open -= 1;
    }

    /// Returns the present fault of requests.
    pub(crate) fn fault(&self) -> EndpointFault {
        self.state.lock().fault
    }

    /// Returns whether a connection never answers again.
    pub(crate) fn is_silent(&self, connection: u64) -> bool {
        connection < self.state.lock().silent_before
    }

    /// Returns whether the endpoint has closed a connection.
    pub(crate) fn is_closed(&self, connection: u64) -> bool {
        connection < self.state.lock().closed_before
    }

    /// Takes a slot and returns how long the request takes, or `None` if all
    /// slots are in use.
    pub(crate) fn begin(&self, request: &EndpointRequest) -> Option<MilliSpan> {
        let run = RequestRun {
            id: request.id.clone(),
            idempotent: request.idempotent,
            at: self.clock.now(),
        };
        let mut state = self.state.lock();
        let slots = state.slots;
        let begun = state.ledger.begin(slots, run);
        begun.then(|| state.latency + parse_sleep(&request.body))
    }

    /// Frees the slot of a finished request.
    pub(crate) fn finish(&self) {
        self.state.lock().ledger.finish();
    }
}

fn refused(detail: &str) -> ConnectError {
    ConnectError {
        detail: detail.to_owned(),
    }
}

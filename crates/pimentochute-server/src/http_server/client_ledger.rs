//! What the clients of a process hold: connections and the bodies of their requests.
//!
//! One ledger serves all listeners of a process, so that its limits hold for their sum.
//! A client that the server waits for can be given up for another one: of the bodies that
//! are still arriving, and of the connections without a request at work, the one that has
//! kept the server waiting for longest goes first. Nothing has been run for it yet.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use pimentochute_base::{MilliClock, MilliSpan, MilliTime};
use strum::IntoStaticStr;
use tokio_util::sync::CancellationToken;

use crate::metrics::Metrics;

/// The smallest buffer of a body. Buffers double, so that a body of small chunks takes
/// less than twice its size.
const MIN_BUFFER_BYTES: usize = 256;

/// How long a connection without a request is safe from being closed for a new one, so
/// that a client gets to send its first request, which follows its connection directly.
/// With 1 s, a crowd in the backlog kept the 16 connections for checks for over 40 s.
const MIN_IDLE: MilliSpan = MilliSpan::new(200);

/// The interval of the log line about clients that are given up.
const LOG_INTERVAL: MilliSpan = MilliSpan::new(10_000);

/// Why a client is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ClientLoss {
    /// Its body made room for another one.
    BodyEvicted,
    /// There is no room for its body, and none that can be made.
    BodyRefused,
    /// Its body did not arrive in time.
    BodyLate,
    /// Its idle connection made room for a new one.
    IdleEvicted,
    /// The head of its request did not arrive in time.
    HeadLate,
    /// It did not read its answer in time.
    AnswerUnread,
}

/// Why a body cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum BodyError {
    /// It exceeds the limit.
    #[display("the body is too large")]
    TooLarge,
    /// The process holds too many bodies.
    #[display("too many request bodies are held at once")]
    NoRoom,
    /// It did not arrive in time.
    #[display("the body did not arrive in time")]
    Late,
    /// The connection ended or failed before its end.
    #[display("the body is cut off")]
    Incomplete,
}

/// The connections and bodies of all clients of a process; clones share them.
#[derive(Clone)]
pub struct ClientLedger {
    shared: Arc<LedgerShared>,
}

struct LedgerShared {
    clock: MilliClock,
    metrics: Arc<Metrics>,
    /// The memory that bodies may take together.
    max_body_bytes: usize,
    state: Mutex<LedgerState>,
}

#[derive(Default)]
struct LedgerState {
    next_key: u64,
    /// The buffers of `clients` and of complete bodies; at most `max_body_bytes`.
    held_bytes: usize,
    clients: HashMap<ClientKey, ClientEntry>,
    /// The clients that were given up since `logged_at`.
    losses: u64,
    logged_at: MilliTime,
}

/// The key of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ClientKey(u64);

struct ClientEntry {
    server: &'static str,
    /// Since when the server waits for the client; `None` while it works on a request.
    waits_since: Option<MilliTime>,
    body: BytesMut,
    /// What the buffer of `body` counts.
    body_bytes: usize,
    /// Cancelled if the body that is arriving is given up.
    evicted: CancellationToken,
    /// Cancelled if the connection has to close.
    close: CancellationToken,
}

/// A connection of a client. What it holds is released when it is dropped.
pub(crate) struct ClientConnection {
    ledger: ClientLedger,
    key: ClientKey,
    server: &'static str,
    close: CancellationToken,
}

/// A complete body. It counts against the memory limit until it is dropped.
pub struct BufferedBody {
    /// The bytes of the body.
    pub content: Bytes,
    /// `None` for a request without a body.
    _held: Option<HeldBytes>,
}

struct HeldBytes {
    ledger: ClientLedger,
    bytes: usize,
}

impl ClientLedger {
    /// Creates a ledger whose bodies may take `max_body_bytes` together.
    #[must_use]
    pub fn new(max_body_bytes: usize, clock: MilliClock, metrics: Arc<Metrics>) -> Self {
        Self {
            shared: Arc::new(LedgerShared {
                clock,
                metrics,
                max_body_bytes,
                state: Mutex::default(),
            }),
        }
    }

    /// Adds a connection at a listener.
    pub(crate) fn connect(&self, server: &'static str) -> Arc<ClientConnection> {
        let close = CancellationToken::new();
        let entry = ClientEntry {
            server,
            waits_since: Some(self.shared.clock.now()),
            body: BytesMut::new(),
            body_bytes: 0,
            evicted: CancellationToken::new(),
            close: close.clone(),
        };
        let mut state = self.lock();
        let key = ClientKey(state.next_key);
        state.next_key += 1;
        state.clients.insert(key, entry);
        drop(state);
        Arc::new(ClientConnection {
            ledger: self.clone(),
            key,
            server,
            close,
        })
    }

    /// Closes the connection of a listener that has kept it waiting for longest. Returns
    /// whether there is one that may be closed.
    pub(crate) fn close_idle(&self, server: &'static str) -> bool {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let clients = state.clients.values_mut();
        let waiting = clients.filter_map(|client| {
            let since = client.waits_since?;
            let may_close = client.server == server
                && now.since(since) >= MIN_IDLE
                && !client.close.is_cancelled();
            may_close.then_some((since, client))
        });
        let Some((_, client)) = waiting.min_by_key(|(since, _)| *since) else {
            return false;
        };
        client.close.cancel();
        drop(state);
        self.record_loss(server, ClientLoss::IdleEvicted);
        true
    }

    /// Counts a client that is given up.
    pub(crate) fn record_loss(&self, server: &'static str, loss: ClientLoss) {
        let reason: &str = loss.into();
        log::debug!(server, reason; "http: a client is given up");
        self.shared.metrics.count_lost_client(server, reason);
        let now = self.shared.clock.now();
        let mut state = self.lock();
        state.losses += 1;
        if now.since(state.logged_at) < LOG_INTERVAL {
            return;
        }
        let (clients, body_bytes) = (state.losses, state.held_bytes);
        let connections = state.clients.len();
        (state.losses, state.logged_at) = (0, now);
        drop(state);
        log::warn!(
            clients, last_reason = reason, server, body_bytes, connections;
            "http: clients are given up to keep within the limits"
        );
    }

    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    fn set_held(&self, state: &mut LedgerState, bytes: usize) {
        if state.held_bytes != bytes {
            state.held_bytes = bytes;
            self.shared.metrics.record_held_bytes(bytes as u64);
        }
    }

    fn release(&self, bytes: usize) {
        let mut state = self.lock();
        let left = state.held_bytes.saturating_sub(bytes);
        self.set_held(&mut state, left);
    }
}

impl LedgerState {
    /// Gives up the body that has been arriving for longest. Returns its listener and
    /// what it has released, or `None` if no body is arriving.
    fn evict_body(&mut self) -> Option<(&'static str, usize)> {
        let clients = self.clients.values_mut();
        let arriving = clients.filter(|client| client.body_bytes > 0);
        let waiting = arriving.filter_map(|client| Some((client.waits_since?, client)));
        let (_, client) = waiting.min_by_key(|(since, _)| *since)?;
        client.evicted.cancel();
        client.body = BytesMut::new();
        Some((client.server, std::mem::take(&mut client.body_bytes)))
    }
}

impl ClientConnection {
    /// Returns the token that is cancelled if the connection has to close.
    pub(crate) const fn close(&self) -> &CancellationToken {
        &self.close
    }

    /// Notes that the head of a request has arrived.
    pub(super) fn start_call(&self, has_body: bool) {
        let now = self.ledger.shared.clock.now();
        self.set_waiting(has_body.then_some(now));
    }

    /// Notes that a request has its answer.
    pub(super) fn finish_call(&self) {
        self.set_waiting(Some(self.ledger.shared.clock.now()));
    }

    /// Counts the loss of this client.
    pub(super) fn record_loss(&self, loss: ClientLoss) {
        self.ledger.record_loss(self.server, loss);
    }

    /// Starts the body of a request. Returns the token that is cancelled if it is given
    /// up.
    pub(super) fn start_body(&self) -> CancellationToken {
        let evicted = CancellationToken::new();
        if let Some(client) = self.ledger.lock().clients.get_mut(&self.key) {
            client.evicted = evicted.clone();
        }
        evicted
    }

    /// Copies a part of the body, so that nothing else keeps the part's buffer. Bodies
    /// that have been arriving for longer, perhaps this one, are given up if that needs
    /// room.
    ///
    /// # Errors
    /// Fails if the body gets larger than `limit`, or is given up.
    pub(super) fn extend_body(&self, part: &[u8], limit: usize) -> Result<(), BodyError> {
        let mut losses = Vec::new();
        let result = self.try_extend(part, limit, &mut losses);
        for server in losses {
            self.ledger.record_loss(server, ClientLoss::BodyEvicted);
        }
        result
    }

    fn try_extend(
        &self,
        part: &[u8],
        limit: usize,
        losses: &mut Vec<&'static str>,
    ) -> Result<(), BodyError> {
        let max = self.ledger.shared.max_body_bytes;
        let mut state = self.ledger.lock();
        loop {
            let held = state.held_bytes;
            let client = state.clients.get_mut(&self.key);
            let client = client.ok_or(BodyError::NoRoom)?;
            if client.evicted.is_cancelled() {
                return Err(BodyError::NoRoom);
            }
            let needed = client.body.len() + part.len();
            if needed > limit {
                return Err(BodyError::TooLarge);
            }
            let size = if needed <= client.body_bytes {
                client.body_bytes
            } else {
                needed.next_power_of_two().max(MIN_BUFFER_BYTES).min(limit)
            };
            let others = held - client.body_bytes;
            let total = others + size;
            // A body alone always fits, also a message of a host with a body of the
            // maximum size in it.
            if total <= max || others == 0 {
                let unused = size - client.body.len();
                client.body.reserve(unused);
                client.body.extend_from_slice(part);
                client.body_bytes = size;
                self.ledger.set_held(&mut state, total);
                return Ok(());
            }
            let Some((server, bytes)) = state.evict_body() else {
                drop(state);
                self.record_loss(ClientLoss::BodyRefused);
                return Err(BodyError::NoRoom);
            };
            losses.push(server);
            self.ledger.set_held(&mut state, held - bytes);
        }
    }

    /// Returns the complete body; it is at work from then on and is not given up.
    pub(super) fn finish_body(&self) -> Result<BufferedBody, BodyError> {
        let mut state = self.ledger.lock();
        let client = state.clients.get_mut(&self.key);
        let client = client.filter(|client| !client.evicted.is_cancelled());
        let client = client.ok_or(BodyError::NoRoom)?;
        client.waits_since = None;
        let bytes = std::mem::take(&mut client.body_bytes);
        let content = std::mem::take(&mut client.body).freeze();
        drop(state);
        let ledger = self.ledger.clone();
        Ok(BufferedBody {
            content,
            _held: Some(HeldBytes { ledger, bytes }),
        })
    }

    /// Releases a body that is not read to its end.
    pub(super) fn drop_body(&self) {
        let mut state = self.ledger.lock();
        if let Some(client) = state.clients.get_mut(&self.key) {
            client.body = BytesMut::new();
            let bytes = std::mem::take(&mut client.body_bytes);
            let left = state.held_bytes - bytes;
            self.ledger.set_held(&mut state, left);
        }
    }

    fn set_waiting(&self, since: Option<MilliTime>) {
        if let Some(client) = self.ledger.lock().clients.get_mut(&self.key) {
            client.waits_since = since;
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.drop_body();
        self.ledger.lock().clients.remove(&self.key);
    }
}

impl BufferedBody {
    /// Creates the body of a request without one.
    pub(super) const fn empty() -> Self {
        Self {
            content: Bytes::new(),
            _held: None,
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.ledger.release(self.bytes);
    }
}

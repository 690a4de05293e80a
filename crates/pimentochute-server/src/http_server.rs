//! An HTTP server with connection limits and a graceful stop.

mod body;
mod client_ledger;
mod client_stream;
mod connection;
mod response;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use derive_more::{Display, Error};
use pimentochute_base::MilliClock;
use pimentochute_platform::LinkPacer;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use viz::{Router, Tree};

use crate::drain::DrainState;
use crate::metrics::Metrics;
use crate::settings::HttpSettings;
use crate::supervisor::{ChildError, ChildSpec};

pub use body::BodyReader;
pub use client_ledger::{BodyError, BufferedBody, ClientLedger};
use connection::{ConnectionHandler, serve_connection};
pub(crate) use response::{OUTCOME, json_response, refusal_response, text_response};

/// The delay after a failed accept, for example when the process has no free
/// file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// The number of connections over the limit that are accepted only to refuse
/// their calls is a quarter of the limit, within these bounds; further ones wait
/// in the backlog of the listener.
const MIN_REFUSING_CONNECTIONS: usize = 8;
const MAX_REFUSING_CONNECTIONS: usize = 64;

/// How long a new connection waits for an idle one to close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

/// The time without a new connection after which the backlog counts as empty.
const BACKLOG_IDLE_TIMEOUT: Duration = Duration::from_millis(20);

/// The time limit for emptying the backlog while callers keep connecting.
const BACKLOG_TIMEOUT: Duration = Duration::from_secs(1);

/// An HTTP server on one listener.
#[derive(Clone)]
pub struct HttpServer {
    name: &'static str,
    address: SocketAddr,
    /// `None` once the server has closed the listener.
    listener: Arc<Mutex<Option<Arc<TcpListener>>>>,
    limits: HttpSettings,
    context: ServerContext,
    finished: CancellationToken,
}

/// What all servers of a daemon share.
#[derive(Clone)]
pub struct ServerContext {
    /// Measures the duration of calls.
    pub clock: MilliClock,
    /// The draining flag and the calls in flight.
    pub drain_state: Arc<DrainState>,
    /// Counts connections, responses and refusals.
    pub metrics: Arc<Metrics>,
    /// The connections and bodies of clients, of all listeners.
    pub clients: ClientLedger,
    /// Counts the bytes of calls and responses; `None` if the host does not pace what it
    /// sends.
    pub link: Option<LinkPacer>,
}

impl HttpServer {
    /// Binds a listener; connections wait in its backlog until the server runs.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn bind(
        name: &'static str,
        address: SocketAddr,
        limits: HttpSettings,
        context: ServerContext,
    ) -> Result<Self, BindError> {
        let wrap = |source| BindError {
            name,
            address,
            source,
        };
        let listener = TcpListener::bind(address).await.map_err(wrap)?;
        Ok(Self {
            name,
            address: listener.local_addr().map_err(wrap)?,
            listener: Arc::new(Mutex::new(Some(Arc::new(listener)))),
            limits,
            context,
            finished: CancellationToken::new(),
        })
    }

    /// Returns the bound address, with the actual port if port 0 was requested.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the listener is closed and every accepted call is answered.
    pub async fn finished(&self) {
        self.finished.cancelled().await;
    }

    /// Returns the supervised child that serves `routes` until `close` is
    /// cancelled. The child ends when every accepted call is answered.
    #[must_use]
    pub fn child(&self, routes: Router, close: CancellationToken) -> ChildSpec {
        let server = self.clone();
        let routes = Arc::new(Tree::from(routes));
        let child = ChildSpec::new(self.name, move |stop| {
            let server = server.clone();
            let routes = Arc::clone(&routes);
            async move { server.serve(routes, stop).await.map_err(ChildError::new) }
        });
        child.with_stop(close)
    }

    async fn serve(self, routes: Arc<Tree>, close: CancellationToken) -> Result<(), ServeError> {
        let listener = self.listener().ok_or(ServeError { name: self.name })?;
        log::info!("http: {} listens on {}", self.name, self.address);
        let mut run = ServerRun::new(&self, routes, close.clone());
        loop {
            tokio::select! {
                () = close.cancelled() => break,
                accepted = listener.accept() => run.accept_connection(accepted).await,
            }
        }
        let _ = timeout(BACKLOG_TIMEOUT, run.accept_backlog(&listener)).await;
        drop(listener);
        self.close_listener(&mut run).await;
        log::info!("http: {} closed its listener", self.name);
        run.connections.close();
        run.connections.wait().await;
        self.finished.cancel();
        Ok(())
    }

    /// Accepts all connections in the backlog and closes the listener directly
    /// after that.
    ///
    /// Closing resets the connections in the backlog, which is never empty for
    /// long while callers keep connecting. The listener is switched to the
    /// standard library, because the runtime learns of new connections with a
    /// delay. A connection that is established between the last accept and the
    /// close is still reset; `drain.drain_delay_ms` gives the load balancer time
    /// to stop sending before that.
    async fn close_listener(&self, run: &mut ServerRun) {
        let slot = self
            .listener
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let Some(Ok(listener)) = slot.and_then(Arc::into_inner).map(TcpListener::into_std) else {
            return;
        };
        let mut last = Vec::new();
        while let Ok(accepted) = listener.accept() {
            last.push(accepted);
        }
        drop(listener);
        for (stream, remote) in last {
            let stream = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream));
            run.accept_connection(stream.map(|stream| (stream, remote)))
                .await;
        }
    }

    fn listener(&self) -> Option<Arc<TcpListener>> {
        let slot = self.listener.lock();
        slot.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// The place of a connection, and whether its calls are refused.
type ConnectionSlot = (Result<OwnedSemaphorePermit, AcquireError>, bool);

/// The connections of a running server and their limits.
struct ServerRun {
    name: &'static str,
    handler: ConnectionHandler,
    open_slots: Arc<Semaphore>,
    refusing_slots: Arc<Semaphore>,
    clients: ClientLedger,
    connections: TaskTracker,
    close: CancellationToken,
}

impl ServerRun {
    fn new(server: &HttpServer, routes: Arc<Tree>, close: CancellationToken) -> Self {
        let max = usize::try_from(server.limits.max_connections).unwrap_or(usize::MAX);
        Self {
            name: server.name,
            handler: ConnectionHandler::new(
                server.name,
                routes,
                server.limits,
                server.context.clone(),
            ),
            open_slots: Arc::new(Semaphore::new(max.min(Semaphore::MAX_PERMITS))),
            refusing_slots: Arc::new(Semaphore::new(
                (max / 4).clamp(MIN_REFUSING_CONNECTIONS, MAX_REFUSING_CONNECTIONS),
            )),
            clients: server.context.clients.clone(),
            connections: TaskTracker::new(),
            close,
        }
    }

    /// Accepts the connections that wait in the backlog, since closing the
    /// listener would reset them.
    async fn accept_backlog(&mut self, listener: &TcpListener) {
        while let Ok(accepted) = timeout(BACKLOG_IDLE_TIMEOUT, listener.accept()).await {
            self.accept_connection(accepted).await;
        }
    }

    /// Waits for a slot. While all are taken, idle connections close one after the other.
    async fn free_slot(&self) -> ConnectionSlot {
        let open = || Arc::clone(&self.open_slots).acquire_owned();
        loop {
            if self.open_slots.available_permits() == 0
                && self.clients.close_idle(self.name)
                && let Ok(permit) = timeout(CLOSE_TIMEOUT, open()).await
            {
                return (permit, false);
            }
            tokio::select! {
                biased;
                permit = open() => return (permit, false),
                permit = Arc::clone(&self.refusing_slots).acquire_owned() => return (permit, true),
                () = tokio::time::sleep(CLOSE_TIMEOUT) => {}
            }
        }
    }

    async fn accept_connection(&mut self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        let (stream, remote) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("http: {} cannot accept a connection: {error}", self.name);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                return;
            }
        };
        let (permit, refuses) = self.free_slot().await;
        let mut handler = self.handler.clone();
        if refuses {
            handler = handler.with_refusal();
        }
        let close = self.close.clone();
        self.connections.spawn(async move {
            serve_connection(handler, stream, remote, close).await;
            drop(permit);
        });
    }
}

/// A listener cannot be bound.
#[derive(Debug, Display, Error)]
#[display("the {name} listener cannot use {address}: {source}; hint: check the listen addresses")]
pub struct BindError {
    name: &'static str,
    address: SocketAddr,
    source: io::Error,
}

/// A server was started again after it had closed its listener.
#[derive(Debug, Display, Error)]
#[display("the listener of {name} is closed")]
struct ServeError {
    #[error(not(source))]
    name: &'static str,
}

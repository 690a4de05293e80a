//! Starts, runs and gracefully stops the daemon.

mod stop;

use std::sync::Arc;

use derive_more::{Display, Error, From};
use futures::future::BoxFuture;
use pimentochute_base::{HostIncarnation, MilliClock, NameError};
use pimentochute_route::RequestRoute;
use tokio::sync::mpsc;

use crate::assembly::{DaemonContext, assemble};
use crate::settings::{HostPort, Settings};
use crate::{
    BindError, ChildSpec, ClientLedger, ControlPlane, DrainState, EndpointList, Escalation,
    HeartbeatLoop, HeartbeatSource, HttpServer, Metrics, MetricsError, PeerClient,
    PeerDependencies, PeerTable, PublicDependencies, ServerContext, Supervisor, peer_routes,
    public_routes,
};

pub use stop::DaemonEnd;
use stop::{StopSequence, StopTokens};

/// The number of signals that may be queued.
const SIGNAL_QUEUE_LENGTH: usize = 8;

/// What the daemon depends on; [`assemble`] builds it, and tests replace it.
pub struct DaemonDependencies {
    /// Serves the replicated state and records changes to it.
    pub control: Arc<dyn ControlPlane>,
    /// Routes requests of callers and peers.
    pub route: Arc<dyn RequestRoute>,
    /// Lists the endpoints for operators.
    pub endpoints: Arc<dyn EndpointList>,
    /// The source of this host's heartbeats.
    pub heartbeats: Arc<dyn HeartbeatSource>,
    /// Releases what this host holds during a planned stop.
    pub hooks: Arc<dyn StopHooks>,
    /// The supervised tasks of the control plane and the router, such as the
    /// log followers, the writer and the scheduler loop.
    pub children: Vec<ChildSpec>,
}

/// Releases what this host holds during a planned stop.
///
/// The hooks are called after all accepted requests have finished, while the
/// peer listener and all children still run.
pub trait StopHooks: Send + Sync {
    /// Releases the slices of this host.
    fn release_slices(&self) -> BoxFuture<'_, ()>;

    /// Releases control of the workers of this host.
    fn release_workers(&self) -> BoxFuture<'_, ()>;
}

/// A request to stop the daemon, sent for each SIGTERM or SIGINT.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSignal;

/// Runs the daemon until a signal to the process stops it.
///
/// # Errors
/// Fails if the daemon cannot start or a child fails too often.
pub async fn run(settings: Settings) -> Result<DaemonEnd, DaemonError> {
    run_with(settings, |context| async move { assemble(&context).await }).await
}

/// Like [`run`], with the dependencies that `build` returns.
///
/// # Errors
/// Fails if the daemon cannot start or a child fails too often.
pub async fn run_with<F, R>(settings: Settings, build: F) -> Result<DaemonEnd, DaemonError>
where
    F: FnOnce(DaemonContext) -> R,
    R: Future<Output = Result<DaemonDependencies, DaemonError>>,
{
    let daemon = Daemon::bind(settings, MilliClock::system()).await?;
    let signals = stop::process_signals()?;
    let dependencies = build(daemon.context().clone()).await?;
    daemon.run(dependencies, signals).await
}

/// A daemon with bound listeners that does not serve yet.
pub struct Daemon {
    context: DaemonContext,
    public: HttpServer,
    peer: HttpServer,
}

impl Daemon {
    /// Binds the listeners.
    ///
    /// # Errors
    /// Fails if an address cannot be used or the metrics cannot be set up.
    pub async fn bind(settings: Settings, clock: MilliClock) -> Result<Self, DaemonError> {
        let context = daemon_context(Arc::new(settings), clock)?;
        let server = server_context(&context);
        let settings = &context.settings;
        let limits = settings.http;
        let listen = settings.listen;
        let public = HttpServer::bind("public", listen.public, limits, server.clone()).await?;
        let peer = HttpServer::bind("peer", listen.peer, limits, server).await?;
        Ok(Self {
            context,
            public,
            peer,
        })
    }

    /// Returns the context from which the dependencies are built.
    #[must_use]
    pub const fn context(&self) -> &DaemonContext {
        &self.context
    }

    /// Returns the server for callers and operators.
    #[must_use]
    pub const fn public(&self) -> &HttpServer {
        &self.public
    }

    /// Returns the server for other entry hosts.
    #[must_use]
    pub const fn peer(&self) -> &HttpServer {
        &self.peer
    }

    /// Serves until a signal arrives, then stops gracefully.
    ///
    /// # Errors
    /// Fails if a child fails too often.
    pub async fn run(
        self,
        dependencies: DaemonDependencies,
        signals: mpsc::Receiver<StopSignal>,
    ) -> Result<DaemonEnd, DaemonError> {
        let tokens = StopTokens::default();
        let children = self.children(&dependencies, &tokens);
        let supervisor = Supervisor::new(
            self.context.settings.supervisor,
            self.context.clock.clone(),
            Arc::clone(&self.context.metrics),
        );
        // "run" is the incarnation of the host; the audit of the process tests
        // matches this line.
        log::info!(
            "daemon: host {} of data centre {} starts, run {}",
            self.context.settings.host,
            self.context.settings.data_centre,
            self.context.incarnation,
        );
        let running = supervisor.run(children, tokens.all.clone());
        let sequence = StopSequence {
            context: &self.context,
            hooks: &*dependencies.hooks,
            public: &self.public,
            peer: &self.peer,
            tokens: &tokens,
        };
        sequence.run(running, signals).await
    }

    fn children(&self, dependencies: &DaemonDependencies, tokens: &StopTokens) -> Vec<ChildSpec> {
        let context = &self.context;
        let server = server_context(context);
        let public_dependencies = PublicDependencies {
            control: Arc::clone(&dependencies.control),
            route: Arc::clone(&dependencies.route),
            endpoints: Arc::clone(&dependencies.endpoints),
        };
        let peer_dependencies = PeerDependencies {
            control: Arc::clone(&dependencies.control),
            route: Arc::clone(&dependencies.route),
            heartbeats: Arc::clone(&dependencies.heartbeats),
            table: Arc::clone(&context.peers),
        };
        let public = public_routes(
            Arc::clone(&context.settings),
            public_dependencies,
            server.clone(),
        );
        let peer = peer_routes(&context.settings, peer_dependencies, server);
        let heartbeat = HeartbeatLoop {
            settings: Arc::clone(&context.settings),
            link: Arc::clone(&context.link),
            heartbeats: Arc::clone(&dependencies.heartbeats),
            table: Arc::clone(&context.peers),
            clock: context.clock.clone(),
        };
        let mut children = dependencies.children.clone();
        children.push(heartbeat.child());
        children.push(self.peer.child(peer, tokens.peer.clone()));
        children.push(self.public.child(public, tokens.public.clone()));
        children
    }
}

fn daemon_context(
    settings: Arc<Settings>,
    clock: MilliClock,
) -> Result<DaemonContext, DaemonError> {
    let metrics = Arc::new(Metrics::new()?);
    let peers = Arc::new(PeerTable::new(&settings, clock.now()));
    let body_memory = usize::try_from(settings.http.max_buffered_bytes).unwrap_or(usize::MAX);
    let clients = ClientLedger::new(body_memory, clock.clone(), Arc::clone(&metrics));
    let client = Arc::new(PeerClient::new(
        Arc::clone(&settings),
        Arc::clone(&peers),
        clock.clone(),
        Arc::clone(&metrics),
    ));
    Ok(DaemonContext {
        // Incarnations are numbered by the time of their start.
        incarnation: HostIncarnation::new(clock.unix_now().as_millis()),
        drain_state: Arc::new(DrainState::new(clock.clone())),
        link: client.clone(),
        forward: client,
        settings,
        clock,
        metrics,
        peers,
        clients,
    })
}

fn server_context(context: &DaemonContext) -> ServerContext {
    ServerContext {
        clock: context.clock.clone(),
        drain_state: Arc::clone(&context.drain_state),
        metrics: Arc::clone(&context.metrics),
        clients: context.clients.clone(),
        link: None,
    }
}

/// The daemon cannot start or keep running.
#[derive(Debug, Display, Error, From)]
pub enum DaemonError {
    /// A listener cannot be bound.
    #[display("{_0}")]
    Bind(BindError),
    /// The metrics cannot be set up.
    #[display("{_0}")]
    Metrics(MetricsError),
    /// A child failed too often.
    #[display("{_0}")]
    Failed(Escalation),
    /// The signal handlers cannot be installed.
    #[display("signals cannot be received: {_0}")]
    Signals(std::io::Error),
    /// An address of the settings is invalid.
    #[display("{address} is not an address; hint: use HOST:PORT")]
    #[from(skip)]
    Address {
        /// The rejected address.
        #[error(not(source))]
        address: HostPort,
    },
    /// A name of the settings is too long for the name of a stream.
    #[display("{_0}")]
    Name(NameError),
}

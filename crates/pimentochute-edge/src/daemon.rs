//! Assembles the daemon, starts it and stops it gracefully.

use std::path::PathBuf;
use std::sync::{Arc, RwLock};

use derive_more::{Display, Error, From};
use futures::FutureExt as _;
use pimentochute_base::{MilliClock, MilliSpan};
use pimentochute_server::settings::{HttpSettings, SupervisorSettings};
use pimentochute_server::{
    BindError, BodyReader, CancellationToken, ChildSpec, ClientLedger, DrainState, Escalation,
    HttpServer, Metrics, MetricsError, ServerContext, Supervisor,
};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use viz::types::State;

use crate::EdgeSettings;
use crate::caller_api::CallerApi;
use crate::claim::ClaimFeed;
use crate::config_feed::ConfigFeed;
use crate::context::{EdgeContext, EdgePorts};
use crate::edge_metrics::EdgeMetrics;
use crate::intake::{JobIntake, SharedWriter};
use crate::link_log;
use crate::members::{HostGroup, MemberName};
use crate::order_relay::OrderRelay;
use crate::owner::{CellOwner, JobMirror, LocalOwner, RelayedAnswers};
use crate::owner_client::OwnerClient;
use crate::owner_monitor::OwnerMonitor;
use crate::peer::{PeerClient, peer_router, with_order_calls};
use crate::ready::ReadyCheck;
use crate::reload::SettingsReload;

/// The delay between failing the load balancer's checks and closing the
/// listener: two check intervals of one second, and the time of the calls.
const DRAIN_DELAY: MilliSpan = MilliSpan::new(2_300);

/// The part of the grace period that is reserved for answering the calls of callers
/// that still wait, and for ending the process.
const STOP_RESERVE: MilliSpan = MilliSpan::new(1_200);

/// The timeout for sending the answers of calls that still wait near the end of the
/// grace period.
const ANSWER_TIMEOUT: MilliSpan = MilliSpan::new(200);

/// The timeout for stopping the remaining parts after the calls of callers have
/// ended.
const END_TIMEOUT: MilliSpan = MilliSpan::new(700);

/// The maximum number of aborted calls that are logged one by one.
const MAX_LOGGED_CALLS: usize = 50;

/// The idle timeout of a connection. It is longer than that of the platform's
/// callers, which would otherwise send requests on closed connections.
const IDLE_TIMEOUT: MilliSpan = MilliSpan::new(75_000);

/// The sockets of each listener, in percent; a quarter as many, up to 64, only refuse
/// calls. The rest is for connections to workers, other hosts and the log.
const CALLER_PERCENT: u32 = 40;
const PEER_PERCENT: u32 = 20;
const CHECK_PERCENT: u32 = 5;

/// Why the daemon could not start or had to stop.
#[derive(Debug, Display, Error, From)]
pub enum EdgeError {
    /// A listener cannot be bound.
    #[display("{_0}")]
    Bind(BindError),
    /// The metrics cannot be set up.
    #[display("{_0}")]
    Metrics(MetricsError),
    /// A supervised task failed too often.
    #[display("{_0}")]
    Failed(Escalation),
    /// The signals of the process cannot be received.
    #[display("signals cannot be received: {_0}")]
    Signals(std::io::Error),
}

/// The cancellation tokens of a stop, in the order in which they are cancelled.
#[derive(Default)]
struct StopTokens {
    /// Ends the term as owner.
    owner: CancellationToken,
    /// Closes the listener for callers.
    callers: CancellationToken,
    /// Stops everything else.
    rest: CancellationToken,
}

/// The HTTP servers of the daemon: for callers, for the load balancer's checks
/// and for other hosts.
struct EdgeServers {
    callers: HttpServer,
    checks: HttpServer,
    peers: HttpServer,
}

/// The parts of the daemon that run as supervised tasks besides the servers.
struct EdgeParts {
    config: ConfigFeed,
    group: HostGroup,
    claims: ClaimFeed,
    monitor: OwnerMonitor,
    owner: CellOwner,
    api: CallerApi,
    writer: SharedWriter,
}

/// Runs the daemon of an entry host until SIGTERM. `path` is the settings file,
/// which is read again when it changes; `None` if there is none.
///
/// # Errors
/// Fails if the daemon cannot start or a supervised task fails too often.
pub async fn run(
    settings: EdgeSettings,
    path: Option<PathBuf>,
    ports: EdgePorts,
) -> Result<(), EdgeError> {
    let clock = MilliClock::system();
    let metrics = Arc::new(Metrics::new()?);
    let body_memory = usize::try_from(settings.body_memory()).unwrap_or(usize::MAX);
    let clients = ClientLedger::new(body_memory, clock.clone(), Arc::clone(&metrics));
    let context = EdgeContext {
        bodies: BodyReader::new(http_limits(), clients),
        ports,
        counters: EdgeMetrics::new(metrics.meter()),
        metrics,
        gate: Arc::new(DrainState::new(clock.clone())),
        answers_due: CancellationToken::new(),
        member: Arc::from(MemberName::format(
            &settings.host,
            &settings.peer_address().to_string(),
            settings.processor_millis(),
            clock.unix_now().as_millis(),
        )),
        times: Arc::new(RwLock::new(settings.times)),
        settings: Arc::new(settings),
        clock,
    };
    let servers = EdgeServers::bind(&context).await?;
    let mut terminate = signal(SignalKind::terminate()).map_err(EdgeError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(EdgeError::Signals)?;
    log::info!(
        "daemon: {} of {} starts",
        context.member,
        context.settings.data_centre
    );
    let tokens = StopTokens::default();
    let reload = Arc::new(SettingsReload {
        context: context.clone(),
        path,
        hangup: Notify::new(),
    });
    let mut children = children(&context, &servers, &tokens);
    let reloading = Arc::clone(&reload);
    children.push(ChildSpec::new("reload", move |stop| {
        let reload = Arc::clone(&reloading);
        async move { reload.run(stop).map(Ok).await }
    }));
    let supervisor = Supervisor::new(
        SupervisorSettings::default(),
        context.clock.clone(),
        Arc::clone(&context.metrics),
    );
    let running = supervisor.run(children, tokens.rest.clone());
    tokio::pin!(running);
    loop {
        tokio::select! {
            result = &mut running => return result.map_err(EdgeError::Failed),
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload.hangup.notify_one(),
        }
    }
    let stopping = stop(&context, &servers, &tokens);
    tokio::select! {
        result = &mut running => return result.map_err(EdgeError::Failed),
        () = stopping => {}
    }
    let ended = tokio::time::timeout(END_TIMEOUT.as_duration(), running).await;
    ended.unwrap_or_else(|_| {
        log::info!("daemon: some tasks did not end within {END_TIMEOUT}, exiting anyway");
        Ok(())
    })?;
    log_aborted_calls(&context);
    Ok(())
}

/// Logs the calls that the end of the process aborts: their callers get no
/// answer.
fn log_aborted_calls(context: &EdgeContext) {
    let calls = context.gate.in_flight();
    let now = context.clock.now();
    for call in calls.iter().take(MAX_LOGGED_CALLS) {
        let age = now.since(call.started_at);
        log::warn!(call:% = call.label, age:%; "daemon: a call is aborted");
    }
    log::info!(aborted_calls = calls.len(); "daemon: the process ends");
}

/// Stops the parts in order: first the term as owner and the readiness check,
/// then the listener for callers, then everything else. Calls that no owner has
/// answered by the end of the grace period get an answer that says so.
async fn stop(context: &EdgeContext, servers: &EdgeServers, tokens: &StopTokens) {
    log::info!(
        "daemon: SIGTERM, {} calls in flight",
        context.gate.in_flight().len()
    );
    context.gate.start_drain();
    tokens.owner.cancel();
    tokio::time::sleep(DRAIN_DELAY.as_duration()).await;
    tokens.callers.cancel();
    let grace = context.times().stop_grace();
    let left = grace
        .saturating_sub(DRAIN_DELAY)
        .saturating_sub(STOP_RESERVE);
    let finished = async |timeout: MilliSpan| {
        let finished = servers.callers.finished();
        tokio::time::timeout(timeout.as_duration(), finished)
            .await
            .is_ok()
    };
    if !finished(left).await {
        let open_calls = context.gate.in_flight().len();
        log::warn!(open_calls, grace:%; "daemon: calls are still open near the end of the grace period");
        context.answers_due.cancel();
        finished(ANSWER_TIMEOUT).await;
    }
    tokens.rest.cancel();
    log::info!("daemon: the listener for callers is closed, stopping the remaining tasks");
}

fn children(context: &EdgeContext, servers: &EdgeServers, tokens: &StopTokens) -> Vec<ChildSpec> {
    let peer_client = Arc::new(PeerClient::new(context.ports.link.clone()));
    let group = HostGroup::new(context.clone());
    let claims = ClaimFeed::new(context.clone(), group.clone());
    let config = ConfigFeed::new(
        context.clone(),
        group.clone(),
        claims.clone(),
        Arc::clone(&peer_client),
    );
    let local_owner = LocalOwner::default();
    let owner_client = OwnerClient::new(
        context.clone(),
        claims.clone(),
        local_owner.clone(),
        Arc::clone(&peer_client),
    );
    let monitor = OwnerMonitor {
        context: context.clone(),
        group: group.clone(),
        claims: claims.clone(),
        peer_client: Arc::clone(&peer_client),
    };
    let (intake, writer) = JobIntake::new(context.clone(), group.clone(), owner_client.clone());
    let relayed_answers = RelayedAnswers::default();
    let order_relay = OrderRelay::new(context.clone(), Arc::clone(&peer_client));
    let owner = CellOwner {
        context: context.clone(),
        config: config.clone(),
        group: group.clone(),
        claims: claims.clone(),
        local_owner: local_owner.clone(),
        peer_client,
        relayed_answers: relayed_answers.clone(),
        mirror: Arc::new(tokio::sync::Mutex::new(JobMirror::new())),
    };
    let ready = ReadyCheck {
        context: context.clone(),
        config: config.clone(),
        group: group.clone(),
    };
    let api = CallerApi {
        context: context.clone(),
        config: config.clone(),
        intake,
        owner_client,
    };
    let parts = EdgeParts {
        config: config.clone(),
        group,
        claims,
        monitor: monitor.clone(),
        owner,
        api,
        writer: Arc::new(tokio::sync::Mutex::new(writer)),
    };
    let mut children = parts.children(tokens);
    let api = parts.api.router();
    let peers = peer_router(context, &config, &local_owner, &monitor);
    let peers = with_order_calls(peers, &order_relay, &relayed_answers);
    let peers = peers.with(State::new(context.bodies.clone()));
    children.push(servers.callers.child(api, tokens.callers.clone()));
    children.push(servers.checks.child(ready.router(), tokens.rest.clone()));
    children.push(servers.peers.child(peers, tokens.rest.clone()));
    children
}

/// Returns the limits of all listeners, except for their connections.
fn http_limits() -> HttpSettings {
    HttpSettings {
        header_timeout_ms: IDLE_TIMEOUT,
        ..HttpSettings::default()
    }
}

impl EdgeServers {
    async fn bind(context: &EdgeContext) -> Result<Self, EdgeError> {
        let settings = &context.settings;
        let limits = |percent| HttpSettings {
            max_connections: settings.connections(percent),
            ..http_limits()
        };
        let server = ServerContext {
            clock: context.clock.clone(),
            drain_state: Arc::clone(&context.gate),
            metrics: Arc::clone(&context.metrics),
            clients: context.bodies.clients().clone(),
            link: Some(context.ports.link.clone()),
        };
        let listen = settings.listen;
        let peer = listen.peers.unwrap_or_else(|| settings.peer_address());
        let (callers, checks) = (limits(CALLER_PERCENT), limits(CHECK_PERCENT));
        let peers = limits(PEER_PERCENT);
        Ok(Self {
            callers: HttpServer::bind("callers", listen.callers, callers, server.clone()).await?,
            checks: HttpServer::bind("checks", listen.checks, checks, server.clone()).await?,
            peers: HttpServer::bind("peers", peer, peers, server).await?,
        })
    }
}

impl EdgeParts {
    fn children(&self, tokens: &StopTokens) -> Vec<ChildSpec> {
        let config = self.config.clone();
        let fallback = self.config.clone();
        let group = self.group.clone();
        let reader = (self.group.clone(), self.claims.clone());
        let claims = self.claims.clone();
        let monitor = self.monitor.clone();
        let owner = self.owner.clone();
        let standby = self.owner.clone();
        let writer = Arc::clone(&self.writer);
        let link = self.owner.context.ports.link.clone();
        vec![
            ChildSpec::new("config", move |stop| {
                let config = config.clone();
                async move { config.run(stop).map(Ok).await }
            }),
            ChildSpec::new("config fallback", move |stop| {
                let config = fallback.clone();
                async move { config.run_fallback(stop).map(Ok).await }
            }),
            ChildSpec::new("members", move |stop| {
                let group = group.clone();
                async move { group.run(stop).map(Ok).await }
            })
            .with_stop(tokens.rest.clone()),
            ChildSpec::new("link log", move |stop| {
                let link = link.clone();
                async move { link_log::log_usage(link, stop).map(Ok).await }
            }),
            ChildSpec::new("member list", move |stop| {
                let (group, claims) = reader.clone();
                async move {
                    let is_wanted = || group.claim_rank() == Some(0) || claims.is_owner();
                    group.run_reader(is_wanted, stop).map(Ok).await
                }
            }),
            ChildSpec::new("claims", move |stop| {
                let claims = claims.clone();
                async move { claims.run(stop).map(Ok).await }
            }),
            ChildSpec::new("standby", move |stop| {
                let owner = standby.clone();
                async move { owner.run_standby(stop).map(Ok).await }
            }),
            ChildSpec::new("owner watch", move |stop| {
                let monitor = monitor.clone();
                async move { monitor.run(stop).map(Ok).await }
            }),
            ChildSpec::new("owner", move |stop| {
                let owner = owner.clone();
                async move { owner.run(stop).map(Ok).await }
            })
            .with_stop(tokens.owner.clone()),
            ChildSpec::new("intake", move |stop| {
                let writer = Arc::clone(&writer);
                async move { writer.lock().await.run(stop).map(Ok).await }
            }),
        ]
    }
}

//! Fakes for the tests of the router: endpoints that record the requests they
//! run, peers that call other routers, and a clock that follows tokio's time.

#![allow(dead_code, reason = "each test file uses only some of the fakes")]

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::future::pending;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use pimentochute_base::{
    EndpointName, HostName, MilliClock, MilliSpan, MilliTime, ServiceName, TeamName,
};
use pimentochute_platform::{
    ConnectError, EndpointAnswer, EndpointConnection, EndpointDialer, EndpointRequest, ProbeError,
    SendError,
};
use pimentochute_route::{
    EndpointSpec, EndpointStatus, HostPosition, PeerForward, PeerLoad, RequestOrigin, RequestRoute,
    RequestRouter, RouteError, RoutedAnswer, RoutedRequest, RouterSettings, TeamQuota,
};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// What an endpoint does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// Runs the request and answers after some milliseconds.
    Answer(u64),
    /// The connection fails before any byte is sent.
    NotSent,
    /// The connection fails after sending; the endpoint never receives the
    /// request.
    LostBeforeRun,
    /// The connection fails after the endpoint started to run the request.
    LostWhileRunning(u64),
    /// Runs the request; the answer of another request arrives.
    Mismatched(u64),
    /// Runs the request until its deadline and never answers.
    Silent,
    /// Refuses the request and states that it did not run it.
    Refuse,
}

/// How an endpoint reacts to a connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectReaction {
    Accept,
    /// Accepts after some milliseconds.
    AcceptLate(u64),
    Refuse,
    Hang,
}

/// What an endpoint did, and how it reacts to the next requests.
#[derive(Debug)]
pub struct EndpointRecord {
    /// The ids of the requests that were started, in order.
    pub runs: Vec<String>,
    pub running: u32,
    pub max_running: u32,
    pub open: u32,
    pub max_open: u32,
    pub connects: u32,
    pub probes: u32,
    /// The reactions to the next requests; then `default_reaction` applies.
    pub script: VecDeque<Reaction>,
    pub default_reaction: Reaction,
    /// A prefix of request ids, and the time in milliseconds that such requests
    /// take; it takes precedence over `script` and `default_reaction`.
    pub slow_requests: Option<(String, u64)>,
    pub connect_script: VecDeque<ConnectReaction>,
    pub default_connect_reaction: ConnectReaction,
    /// Whether probes get no answer on any connection.
    pub ignore_probes: bool,
}

impl Default for EndpointRecord {
    fn default() -> Self {
        Self {
            runs: Vec::new(),
            running: 0,
            max_running: 0,
            open: 0,
            max_open: 0,
            connects: 0,
            probes: 0,
            script: VecDeque::new(),
            default_reaction: Reaction::Answer(1),
            slow_requests: None,
            connect_script: VecDeque::new(),
            default_connect_reaction: ConnectReaction::Accept,
            ignore_probes: false,
        }
    }
}

#[derive(Debug, Default)]
pub struct NetworkState {
    pub endpoints: BTreeMap<SocketAddr, EndpointRecord>,
    /// The serial numbers of connections that never answer again.
    pub unresponsive: BTreeSet<u64>,
    pub next_serial: u64,
}

/// The network of a test: dials all endpoints and records what they do.
#[derive(Debug, Clone, Default)]
pub struct FakeNetwork(Arc<Mutex<NetworkState>>);

impl FakeNetwork {
    pub fn lock(&self) -> MutexGuard<'_, NetworkState> {
        self.0.lock().expect("lock must not be poisoned")
    }

    /// Reads or changes the record of endpoint `index`.
    pub fn with_endpoint<T>(&self, index: u16, change: impl FnOnce(&mut EndpointRecord) -> T) -> T {
        change(self.lock().endpoints.entry(address(index)).or_default())
    }

    /// Returns how many times a request was started, over all endpoints.
    pub fn runs_of(&self, id: &str) -> usize {
        let state = self.lock();
        let runs = state.endpoints.values().flat_map(|e| &e.runs);
        runs.filter(|run| *run == id).count()
    }

    /// Makes all connections that exist now unresponsive.
    pub fn stop_answering_on_open_connections(&self) {
        let mut state = self.lock();
        let serials = 0..state.next_serial;
        state.unresponsive.extend(serials);
    }

    fn begin_run(&self, address: SocketAddr, id: &str, span: Duration) -> EndpointRun {
        let mut state = self.lock();
        let record = state.endpoints.entry(address).or_default();
        record.runs.push(id.to_owned());
        record.running += 1;
        record.max_running = record.max_running.max(record.running);
        let run = EndpointRun {
            network: self.clone(),
            address,
            ended: Arc::new(AtomicBool::new(false)),
        };
        // The endpoint continues to run the request after the caller went away.
        let background_run = run.clone();
        tokio::spawn(async move {
            sleep(span).await;
            background_run.end();
        });
        run
    }
}

/// A request that an endpoint runs.
#[derive(Clone)]
struct EndpointRun {
    network: FakeNetwork,
    address: SocketAddr,
    ended: Arc<AtomicBool>,
}

impl EndpointRun {
    /// Ends the run, if it has not ended yet.
    fn end(&self) {
        if !self.ended.swap(true, Ordering::SeqCst) {
            let mut state = self.network.lock();
            state.endpoints.entry(self.address).or_default().running -= 1;
        }
    }
}

impl EndpointDialer for FakeNetwork {
    fn connect(
        &self,
        address: SocketAddr,
        _timeout: MilliSpan,
    ) -> BoxFuture<'_, Result<Box<dyn EndpointConnection>, ConnectError>> {
        async move {
            let reaction = {
                let mut state = self.lock();
                let record = state.endpoints.entry(address).or_default();
                record.connects += 1;
                let default_reaction = record.default_connect_reaction;
                record
                    .connect_script
                    .pop_front()
                    .unwrap_or(default_reaction)
            };
            match reaction {
                ConnectReaction::Hang => return pending().await,
                ConnectReaction::Refuse => {
                    let detail = "refused".to_owned();
                    return Err(ConnectError { detail });
                }
                ConnectReaction::AcceptLate(millis) => sleep_millis(millis).await,
                ConnectReaction::Accept => {}
            }
            let mut state = self.lock();
            state.next_serial += 1;
            let serial = state.next_serial - 1;
            let record = state.endpoints.entry(address).or_default();
            record.open += 1;
            record.max_open = record.max_open.max(record.open);
            let connection: Box<dyn EndpointConnection> = Box::new(FakeConnection {
                network: self.clone(),
                address,
                serial,
                unread: None,
            });
            Ok(connection)
        }
        .boxed()
    }
}

/// A connection whose transport matches answers to requests by order only: an
/// answer that was not read is returned for the next request.
struct FakeConnection {
    network: FakeNetwork,
    address: SocketAddr,
    serial: u64,
    unread: Option<Bytes>,
}

impl FakeConnection {
    async fn exchange(&mut self, request: EndpointRequest) -> Result<EndpointAnswer, SendError> {
        let whole = |body| EndpointAnswer {
            status: 200,
            not_run: false,
            body,
        };
        if let Some(body) = self.unread.take() {
            return Ok(whole(body));
        }
        if self.network.lock().unresponsive.contains(&self.serial) {
            return pending().await;
        }
        let reaction = {
            let mut state = self.network.lock();
            let record = state.endpoints.entry(self.address).or_default();
            let default_reaction = record.default_reaction;
            match &record.slow_requests {
                Some((prefix, millis)) if request.id.starts_with(prefix) => {
                    Reaction::Answer(*millis)
                }
                _ => record.script.pop_front().unwrap_or(default_reaction),
            }
        };
        let detail = String::new();
        let deadline = request.deadline.as_duration();
        let body = Bytes::from(request.id.clone());
        let run = |millis: u64| {
            let span = Duration::from_millis(millis).min(deadline);
            self.network.begin_run(self.address, &request.id, span)
        };
        self.unread = Some(body.clone());
        match reaction {
            Reaction::NotSent => return Err(SendError::NotSent { detail }),
            Reaction::LostBeforeRun => return Err(SendError::OutcomeUnknown { detail }),
            Reaction::LostWhileRunning(millis) => {
                run(millis);
                return Err(SendError::OutcomeUnknown { detail });
            }
            Reaction::Mismatched(millis) => {
                run(millis);
                return Err(SendError::Mismatch);
            }
            Reaction::Silent => {
                run(u64::MAX);
                return pending().await;
            }
            Reaction::Refuse => {}
            Reaction::Answer(millis) => {
                let run = run(millis);
                sleep(Duration::from_millis(millis)).await;
                run.end();
            }
        }
        self.unread = None;
        Ok(EndpointAnswer {
            not_run: reaction == Reaction::Refuse,
            ..whole(body)
        })
    }
}

impl EndpointConnection for FakeConnection {
    // Ignores the timeout, to check that the router enforces it as well.
    fn send(
        &mut self,
        request: EndpointRequest,
        _timeout: MilliSpan,
    ) -> BoxFuture<'_, Result<EndpointAnswer, SendError>> {
        self.exchange(request).boxed()
    }

    fn probe(&mut self, _timeout: MilliSpan) -> BoxFuture<'_, Result<(), ProbeError>> {
        async move {
            let ignored = {
                let mut state = self.network.lock();
                let unresponsive = state.unresponsive.contains(&self.serial);
                let record = state.endpoints.entry(self.address).or_default();
                record.probes += 1;
                unresponsive || record.ignore_probes
            };
            if ignored {
                return pending().await;
            }
            Ok(())
        }
        .boxed()
    }
}

impl Drop for FakeConnection {
    fn drop(&mut self) {
        let mut state = self.network.lock();
        state.endpoints.entry(self.address).or_default().open -= 1;
    }
}

/// How a peer reacts to a forwarded request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerReaction {
    /// The peer routes the request and answers.
    Route,
    /// The request was not sent to the peer.
    Unreachable,
    /// The peer refuses the request because it is stopping.
    Drain,
    /// The peer routes the request; its answer is lost.
    AnswerLost,
    /// The peer neither routes the request nor answers.
    Silent,
}

/// The peers of a host: forwards requests to their routers.
#[derive(Clone, Default)]
pub struct FakePeers(Arc<Mutex<PeersState>>);

#[derive(Default)]
struct PeersState {
    routers: HashMap<HostName, RequestRouter>,
    script: VecDeque<PeerReaction>,
    forwards: u32,
    /// If set, these loads are reported instead of those of the routers.
    override_loads: Option<Vec<PeerLoad>>,
}

impl FakePeers {
    pub fn add(&self, host: &str, router: &RequestRouter) {
        let host = HostName::new(host).expect("valid name");
        let mut state = self.0.lock().expect("lock must not be poisoned");
        state.routers.insert(host, router.clone());
    }

    pub fn script(&self, reactions: impl IntoIterator<Item = PeerReaction>) {
        self.0
            .lock()
            .expect("lock must not be poisoned")
            .script
            .extend(reactions);
    }

    /// Reports a fixed number of free slots for a host, and no other loads.
    pub fn override_load(&self, host: &str, free_slots: u32) {
        let host = HostName::new(host).expect("valid name");
        let load = PeerLoad {
            host,
            free_slots,
            waiting: 0,
        };
        self.0
            .lock()
            .expect("lock must not be poisoned")
            .override_loads = Some(vec![load]);
    }

    /// Returns the number of forwards that were started.
    pub fn forwards(&self) -> u32 {
        self.0.lock().expect("lock must not be poisoned").forwards
    }
}

impl PeerForward for FakePeers {
    fn loads(&self, service: &ServiceName) -> Vec<PeerLoad> {
        let state = self.0.lock().expect("lock must not be poisoned");
        if let Some(override_loads) = &state.override_loads {
            return override_loads.clone();
        }
        let mut loads: Vec<_> = state
            .routers
            .iter()
            .flat_map(|(host, router)| router.loads().into_iter().map(move |l| (host, l)))
            .filter(|(_, load)| load.service == *service)
            .map(|(host, load)| PeerLoad {
                host: host.clone(),
                free_slots: load.free_slots,
                waiting: load.waiting,
            })
            .collect();
        loads.sort_by(|a, b| a.host.cmp(&b.host));
        loads
    }

    fn forward<'a>(
        &'a self,
        host: &'a HostName,
        request: RoutedRequest,
    ) -> BoxFuture<'a, Result<RoutedAnswer, RouteError>> {
        async move {
            let (router, reaction) = {
                let mut state = self.0.lock().expect("lock must not be poisoned");
                state.forwards += 1;
                let reaction = state.script.pop_front().unwrap_or(PeerReaction::Route);
                (state.routers.get(host).cloned(), reaction)
            };
            let (Some(router), false) = (router, reaction == PeerReaction::Unreachable) else {
                return Err(RouteError::PeerUnreachable);
            };
            match reaction {
                PeerReaction::Silent => return pending().await,
                PeerReaction::Drain => return Err(RouteError::Draining),
                _ => {}
            }
            assert_eq!(request.origin, RequestOrigin::Peer);
            let result = router.route(request).await;
            match reaction {
                PeerReaction::AnswerLost => Err(RouteError::OutcomeUnknown),
                _ => result,
            }
        }
        .boxed()
    }
}

/// Returns a clock that follows tokio's paused time.
pub fn paused_clock() -> MilliClock {
    let clock = MilliClock::manual(MilliTime::ZERO);
    let ticking = clock.clone();
    tokio::spawn(async move {
        loop {
            sleep(Duration::from_millis(1)).await;
            ticking.advance(MilliSpan::new(1));
        }
    });
    clock
}

pub fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + index))
}

pub fn team(name: &str) -> TeamName {
    TeamName::new(name).expect("valid name")
}

pub fn service() -> ServiceName {
    ServiceName::new("price").expect("valid name")
}

pub fn endpoint_name(index: u16) -> EndpointName {
    EndpointName::new(&format!("e{index}")).expect("valid name")
}

pub fn endpoint(index: u16, slots: u32) -> EndpointSpec {
    EndpointSpec {
        name: endpoint_name(index),
        service: service(),
        address: address(index),
        slots,
        connections: 64,
        status: EndpointStatus::Live,
    }
}

pub fn endpoints(count: u16, slots: u32) -> Vec<EndpointSpec> {
    (0..count).map(|index| endpoint(index, slots)).collect()
}

pub fn quota(name: &str, share: u32, permits: u32) -> TeamQuota {
    TeamQuota {
        team: team(name),
        share,
        permits,
    }
}

pub fn request(id: &str, team_name: &str, idempotent: bool, millis: u64) -> RoutedRequest {
    RoutedRequest {
        id: id.to_owned(),
        team: team(team_name),
        service: service(),
        idempotent,
        deadline: MilliSpan::new(millis),
        origin: RequestOrigin::Caller,
        body: Bytes::from(id.to_owned()),
    }
}

/// Starts a request and yields once, so that it is admitted.
pub async fn start(
    router: &RequestRouter,
    request: RoutedRequest,
) -> JoinHandle<Result<RoutedAnswer, RouteError>> {
    let router = router.clone();
    let handle = tokio::spawn(async move { router.route(request).await });
    tokio::task::yield_now().await;
    handle
}

pub async fn sleep_millis(millis: u64) {
    sleep(Duration::from_millis(millis)).await;
}

/// An entry host with a router and fake endpoints and peers.
pub struct TestHost {
    pub clock: MilliClock,
    pub network: FakeNetwork,
    pub peers: FakePeers,
    pub router: RequestRouter,
}

impl TestHost {
    /// Creates the only host of a data centre, with `count` endpoints and a
    /// team "a" of share one and 1000 permits.
    pub fn new(settings: RouterSettings, count: u16, slots: u32) -> Self {
        let clock = paused_clock();
        let network = FakeNetwork::default();
        Self::with_position(
            settings,
            HostPosition::new(0, 1),
            &network,
            &clock,
            endpoints(count, slots),
        )
    }

    /// Creates a host at a position in a data centre. It also has the team "a".
    pub fn with_position(
        settings: RouterSettings,
        position: HostPosition,
        network: &FakeNetwork,
        clock: &MilliClock,
        endpoints: Vec<EndpointSpec>,
    ) -> Self {
        let peers = FakePeers::default();
        let router = RequestRouter::new(
            settings,
            position,
            Arc::new(network.clone()),
            Arc::new(peers.clone()),
            clock.clone(),
        );
        router.set_endpoints(endpoints);
        router.set_teams(vec![quota("a", 1, 1000)]);
        Self {
            clock: clock.clone(),
            network: network.clone(),
            peers,
            router,
        }
    }

    pub async fn route(&self, request: RoutedRequest) -> Result<RoutedAnswer, RouteError> {
        self.router.route(request).await
    }

    /// Returns the number of slots in use, over all endpoints.
    pub fn in_use(&self) -> u32 {
        self.router.endpoints().iter().map(|e| e.in_use).sum()
    }
}

//! Measures the time and memory that the router adds to a request, with
//! in-process endpoints, and prints one JSON line per figure.
//!
//! Run with `cargo run --release -p pimentochute-route --example route_bench`.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::{BoxFuture, join_all, pending};
use pimentochute_base::{EndpointName, HostName, MilliClock, MilliSpan, ServiceName, TeamName};
use pimentochute_platform::{
    ConnectError, EndpointAnswer, EndpointConnection, EndpointDialer, EndpointRequest, ProbeError,
    SendError,
};
use pimentochute_route::{
    EndpointSpec, EndpointStatus, HostPosition, PeerForward, PeerLoad, RequestOrigin, RequestRoute,
    RequestRouter, RouteError, RoutedAnswer, RoutedRequest, RouterSettings, TeamQuota,
};
use tokio::task::yield_now;

/// The number of requests of one measurement.
const REQUESTS: u32 = 200_000;

/// The number of endpoints of one service.
const ENDPOINTS: u32 = 50;

/// The number of teams at target size.
const TEAMS: u32 = 200;

/// The router may add 1 ms to a request: the target for a routing decision is
/// milliseconds at most.
const MAX_ADDED_NANOS: u64 = 1_000_000;

/// 68 µs of CPU time per request, or 3.4 % of a core at 500 requests a second:
/// the part of one of eight hosts in 4,000 placements a second.
const MAX_CPU_NANOS: u64 = 68_000;

/// A quarter of 32 MB, divided by the 275 endpoints of a data centre at target
/// size (3,300 accelerators in 12 data centres).
const MAX_ENDPOINT_BYTES: u64 = 8_000_000 / 275;

/// Half of 32 MB, divided by the 1,024 requests of a full queue.
const MAX_WAITING_BYTES: u64 = 16_000_000 / 1024;

/// How an endpoint answers.
#[derive(Clone, Copy)]
enum AnswerMode {
    /// Immediately, without yielding to other tasks.
    Immediate,
    /// After yielding to other tasks once, so that slots stay in use meanwhile.
    AfterYield,
    /// Never.
    Never,
}

struct InstantDialer(AnswerMode);

struct InstantConnection(AnswerMode);

impl EndpointDialer for InstantDialer {
    fn connect(
        &self,
        _address: SocketAddr,
        _timeout: MilliSpan,
    ) -> BoxFuture<'_, Result<Box<dyn EndpointConnection>, ConnectError>> {
        let connection: Box<dyn EndpointConnection> = Box::new(InstantConnection(self.0));
        async move { Ok(connection) }.boxed()
    }
}

impl EndpointConnection for InstantConnection {
    fn send(
        &mut self,
        request: EndpointRequest,
        _timeout: MilliSpan,
    ) -> BoxFuture<'_, Result<EndpointAnswer, SendError>> {
        async move {
            match self.0 {
                AnswerMode::Immediate => {}
                AnswerMode::AfterYield => yield_now().await,
                AnswerMode::Never => pending().await,
            }
            Ok(EndpointAnswer {
                status: 200,
                not_run: false,
                body: request.body,
            })
        }
        .boxed()
    }

    fn probe(&mut self, _timeout: MilliSpan) -> BoxFuture<'_, Result<(), ProbeError>> {
        async { Ok(()) }.boxed()
    }
}

struct NoPeers;

impl PeerForward for NoPeers {
    fn loads(&self, _service: &ServiceName) -> Vec<PeerLoad> {
        Vec::new()
    }

    fn forward<'a>(
        &'a self,
        _host: &'a HostName,
        _request: RoutedRequest,
    ) -> BoxFuture<'a, Result<RoutedAnswer, RouteError>> {
        async { Err(RouteError::PeerUnreachable) }.boxed()
    }
}

type BenchResult<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// Creates the router of one of eight hosts, which owns one slot of each
/// endpoint.
fn router(mode: AnswerMode, endpoints: u32, max_waiting: usize) -> BenchResult<RequestRouter> {
    let settings = RouterSettings {
        max_waiting,
        ..RouterSettings::default()
    };
    let router = RequestRouter::new(
        settings,
        HostPosition::new(0, 8),
        Arc::new(InstantDialer(mode)),
        Arc::new(NoPeers),
        MilliClock::system(),
    );
    router.set_endpoints(specs(endpoints)?);
    let teams = (0..TEAMS).map(|index| {
        Ok(TeamQuota {
            team: TeamName::new(&format!("t{index}"))?,
            share: 1 + index % 4,
            permits: 1000,
        })
    });
    router.set_teams(teams.collect::<BenchResult<_>>()?);
    Ok(router)
}

fn specs(count: u32) -> BenchResult<Vec<EndpointSpec>> {
    let spec = |index| {
        Ok(EndpointSpec {
            name: EndpointName::new(&format!("e{index}"))?,
            service: ServiceName::new("price")?,
            address: SocketAddr::from(([127, 0, 0, 1], 80)),
            slots: 8,
            connections: 64,
            status: EndpointStatus::Live,
        })
    };
    (0..count).map(spec).collect()
}

fn request(team: u32) -> BenchResult<RoutedRequest> {
    Ok(RoutedRequest {
        id: "01234567-89ab-cdef".to_owned(),
        team: TeamName::new(&format!("t{team}"))?,
        service: ServiceName::new("price")?,
        idempotent: false,
        deadline: MilliSpan::new(60_000),
        origin: RequestOrigin::Caller,
        body: Bytes::from_static(b"{}"),
    })
}

/// Returns the CPU time of this process, in nanoseconds.
fn cpu_nanos() -> BenchResult<u64> {
    let text = std::fs::read_to_string("/proc/self/schedstat")?;
    let first = text.split_whitespace().next().ok_or("empty schedstat")?;
    Ok(first.parse()?)
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> BenchResult<u64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).ok_or("short statm")?;
    Ok(pages.parse::<u64>()? * 4096)
}

fn print_figure(figure: &str, value: u64, unit: &str, target: u64) {
    let met = value <= target;
    println!(
        "{{\"figure\":\"{figure}\",\"value\":{value},\"unit\":\"{unit}\",\"target\":{target},\
         \"better\":\"lower\",\"met\":{met}}}"
    );
}

/// Returns wall-clock and CPU time per direct call of an endpoint, in
/// nanoseconds.
async fn direct_call() -> BenchResult<(u64, u64)> {
    let (clock, dialer) = (MilliClock::system(), InstantDialer(AnswerMode::Immediate));
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    let mut connection = dialer.connect(address, MilliSpan::new(1000)).await?;
    let template = request(0)?;
    let (start, cpu) = (clock.now(), cpu_nanos()?);
    for _ in 0..REQUESTS {
        let request = EndpointRequest {
            id: template.id.clone(),
            idempotent: false,
            deadline: template.deadline,
            body: template.body.clone(),
        };
        connection.send(request, template.deadline).await?;
    }
    let wall = clock.now().since(start).as_millis() * 1_000_000;
    Ok(per_request(wall, cpu_nanos()? - cpu))
}

/// Returns wall-clock and CPU time per routed request, in nanoseconds, with one
/// request at a time.
async fn routed_call(endpoints: u32) -> BenchResult<(u64, u64)> {
    let (clock, router) = (
        MilliClock::system(),
        router(AnswerMode::Immediate, endpoints, 1024)?,
    );
    let template = request(0)?;
    let (start, cpu) = (clock.now(), cpu_nanos()?);
    for _ in 0..REQUESTS {
        router.route(template.clone()).await?;
    }
    let wall = clock.now().since(start).as_millis() * 1_000_000;
    Ok(per_request(wall, cpu_nanos()? - cpu))
}

/// Returns CPU time per request, in nanoseconds, while 1,000 callers of 200
/// teams wait for 50 slots.
async fn contended_call() -> BenchResult<u64> {
    let router = router(AnswerMode::AfterYield, ENDPOINTS, 1024)?;
    let callers = 1000;
    let cpu = cpu_nanos()?;
    let tasks = (0..callers).map(|caller| {
        let (router, template) = (router.clone(), request(caller % TEAMS));
        tokio::spawn(async move {
            let template = template?;
            for _ in 0..REQUESTS / callers {
                router.route(template.clone()).await?;
            }
            BenchResult::Ok(())
        })
    });
    for result in join_all(tasks).await {
        result??;
    }
    Ok(per_request(0, cpu_nanos()? - cpu).1)
}

fn per_request(wall: u64, cpu: u64) -> (u64, u64) {
    let count = u64::from(REQUESTS);
    (wall / count, cpu / count)
}

/// Returns memory per endpoint without its connections, in bytes.
fn endpoint_bytes() -> BenchResult<u64> {
    let count = 20_000;
    let before = resident_bytes()?;
    let router = router(AnswerMode::Immediate, count, 1024)?;
    let used = resident_bytes()?.saturating_sub(before) / u64::from(count);
    drop(router);
    Ok(used)
}

/// Returns memory per waiting request with its task, in bytes.
async fn waiting_bytes() -> BenchResult<u64> {
    let count = 20_000_u32;
    let router = router(AnswerMode::Never, 1, count as usize + 1)?;
    let mut tasks = Vec::new();
    let before = resident_bytes()?;
    for index in 0..=count {
        let (router, request) = (router.clone(), request(index % TEAMS)?);
        tasks.push(tokio::spawn(async move { router.route(request).await }));
        yield_now().await;
    }
    let used = resident_bytes()?.saturating_sub(before) / u64::from(count);
    for task in &tasks {
        task.abort();
    }
    Ok(used)
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> BenchResult<()> {
    // Memory is measured first: memory that later measurements free would be
    // reused and not counted.
    print_figure(
        "memory_per_endpoint",
        endpoint_bytes()?,
        "B",
        MAX_ENDPOINT_BYTES,
    );
    let waiting = waiting_bytes().await?;
    print_figure(
        "memory_per_waiting_request",
        waiting,
        "B",
        MAX_WAITING_BYTES,
    );
    let (direct_wall, direct_cpu) = direct_call().await?;
    for endpoints in [ENDPOINTS, 10 * ENDPOINTS] {
        let (wall, cpu) = routed_call(endpoints).await?;
        let name = format!("added_latency_{endpoints}_endpoints");
        print_figure(
            &name,
            wall.saturating_sub(direct_wall),
            "ns",
            MAX_ADDED_NANOS,
        );
        let name = format!("added_cpu_{endpoints}_endpoints");
        print_figure(&name, cpu.saturating_sub(direct_cpu), "ns", MAX_CPU_NANOS);
    }
    let contended = contended_call().await?;
    print_figure("cpu_200_teams_waiting", contended, "ns", MAX_CPU_NANOS);
    Ok(())
}

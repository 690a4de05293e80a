//! Runs stand-ins in a process of their own until SIGTERM or SIGINT.

use std::io::{self, Write};
use std::net::SocketAddr;

use pimentochute_base::MilliClock;
use pimentochute_platform::HostEntry;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::fleet_plan::{EndpointPlan, FleetPlan, RegistrationTarget, WorkerPlan};
use crate::log_store::RetentionLimit;
use crate::platform_standin::PlatformStandin;
use crate::running_host::RunningHost;
use crate::server::serve;

/// Runs the platform until SIGTERM or SIGINT. Prints one JSON line
/// `{"listening": ADDRESS}`.
///
/// # Errors
/// Fails if the server cannot listen on the address.
pub async fn run_platform(listen: SocketAddr, limit: RetentionLimit) -> io::Result<()> {
    let stop = StopSignal::new()?;
    let platform = PlatformStandin::new(MilliClock::system(), limit);
    let server = serve(TcpListener::bind(listen).await?, &platform)?;
    print_line(&Listening::new(server.address()))?;
    stop.wait().await;
    server.stop().await;
    Ok(())
}

/// Runs one worker until SIGTERM or SIGINT. Prints one JSON line
/// `{"listening": ADDRESS}`.
///
/// # Errors
/// Fails if the server cannot listen on the address.
pub async fn run_worker(
    plan: WorkerPlan,
    listen: SocketAddr,
    target: RegistrationTarget,
) -> io::Result<()> {
    let stop = StopSignal::new()?;
    let clock = MilliClock::system();
    let host = RunningHost::start_worker(plan, listen, &target, clock).await?;
    print_line(&Listening::new(host.entry.address))?;
    stop.wait().await;
    host.stop().await;
    Ok(())
}

/// Runs one endpoint until SIGTERM or SIGINT. Prints one JSON line
/// `{"listening": ADDRESS}`.
///
/// # Errors
/// Fails if the server cannot listen on the address.
pub async fn run_endpoint(
    plan: EndpointPlan,
    listen: SocketAddr,
    target: RegistrationTarget,
) -> io::Result<()> {
    let stop = StopSignal::new()?;
    let clock = MilliClock::system();
    let host = RunningHost::start_endpoint(plan, listen, &target, clock).await?;
    print_line(&Listening::new(host.entry.address))?;
    stop.wait().await;
    host.stop().await;
    Ok(())
}

/// Runs a fleet on idle ports of the IP address of `listen` until SIGTERM or
/// SIGINT; the port of `listen` is not used.
///
/// Prints one JSON line `{"hosts": [...]}` with the host list entries.
///
/// # Errors
/// Fails if a server cannot listen on an idle port.
pub async fn run_fleet(
    plan: FleetPlan,
    listen: SocketAddr,
    target: RegistrationTarget,
) -> io::Result<()> {
    let stop = StopSignal::new()?;
    let clock = MilliClock::system();
    let listen = SocketAddr::new(listen.ip(), 0);
    let mut hosts = Vec::new();
    for worker in plan.workers {
        hosts.push(RunningHost::start_worker(worker, listen, &target, clock.clone()).await?);
    }
    for endpoint in plan.endpoints {
        hosts.push(RunningHost::start_endpoint(endpoint, listen, &target, clock.clone()).await?);
    }
    let entries = hosts.iter().map(|host| &host.entry).collect();
    print_line(&FleetListening { hosts: entries })?;
    stop.wait().await;
    futures::future::join_all(hosts.into_iter().map(RunningHost::stop)).await;
    Ok(())
}

/// The line that a process with one server prints.
#[derive(Debug, Serialize)]
struct Listening {
    listening: SocketAddr,
}

/// The line that a fleet prints.
#[derive(Debug, Serialize)]
struct FleetListening<'a> {
    hosts: Vec<&'a HostEntry>,
}

impl Listening {
    fn new(listening: SocketAddr) -> Self {
        Self { listening }
    }
}

fn print_line<T: Serialize>(value: &T) -> io::Result<()> {
    let mut output = io::stdout().lock();
    serde_json::to_writer(&mut output, value)?;
    output.write_all(b"\n")?;
    output.flush()
}

/// The signals that stop the process cleanly. The handlers are installed before
/// the address is printed, because its reader may send a signal immediately.
struct StopSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignal {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn wait(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

//! Runs entry hosts with real connections between them in one test process, on
//! a fake platform.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use pimentochute_base::{
    IdempotencyKey, JobId, KeyDigest, MilliClock, PriorityClass, QueueName, RackName,
    ResourceAmount, TeamName, WorkKind, WorkerName,
};
use pimentochute_platform::{HostEntry, HostRole, HostStatus};
use pimentochute_route::RequestRoute;
use pimentochute_server::api::{JobStatus, JobView, PatchView};
use pimentochute_server::settings::check_settings;
use pimentochute_server::{
    ControlPlane, Daemon, DaemonEnd, DaemonError, PlatformClients, StopSignal, assemble_with,
    start_stderr_logging,
};
use pimentochute_state::{ConfigPatch, JobSpec, PatchOperation, QueueConfig, TeamConfig};
use serde_json::{Value, json};
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::{FakeDialer, FakeDirectory, FakeEndpoint, FakeLog, FakeWorkerFleet};

/// The key with which the hosts authenticate to each other.
const PEER_KEY: &str = "peer-key-of-the-test-cell-0123456789abcdef";

/// The environment variable that enables the hosts' log lines.
const LOG_VARIABLE: &str = "PIMENTOCHUTE_TEST_LOG";

/// The longest wait for an expected state. It is far above the times of the
/// settings below, so that a busy machine does not fail a test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The time between two checks of a state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Entry hosts, workers and endpoints of several data centres.
pub struct TestCell {
    /// The clock that all hosts and fakes share.
    pub clock: MilliClock,
    /// The log. Each host has its own link to it.
    pub log: FakeLog,
    /// The workers. Each host has its own link to them.
    pub fleet: FakeWorkerFleet,
    /// The host list.
    pub directory: FakeDirectory,
    /// Connects to the endpoints.
    pub dialer: FakeDialer,
    /// The running entry hosts, in the order of the settings; `None` if a host
    /// does not run.
    pub hosts: Vec<Option<TestHost>>,
    plan: Vec<HostPlan>,
    overrides: Value,
}

/// A running entry host.
pub struct TestHost {
    /// Its control plane.
    pub control: Arc<dyn ControlPlane>,
    /// Its router.
    pub route: Arc<dyn RequestRoute>,
    /// Its link to the log, on which faults can be set for this host alone.
    pub log: FakeLog,
    /// Its link to the workers, on which faults can be set for this host alone.
    pub fleet: FakeWorkerFleet,
    /// Its address for callers and operators.
    pub public: SocketAddr,
    signals: mpsc::Sender<StopSignal>,
    /// The host's own runtime. Shutting it down ends every connection and task
    /// of the host, as the end of its process would.
    runtime: Option<Runtime>,
    run: JoinHandle<Result<DaemonEnd, DaemonError>>,
}

/// An entry host as the settings list it.
struct HostPlan {
    name: String,
    data_centre: String,
    public: SocketAddr,
    peer: SocketAddr,
}

impl TestCell {
    /// Creates a cell with one data centre per entry of `hosts`, which is its
    /// number of hosts: `dc0` with hosts `dc0-h0`, `dc0-h1` and so on. No host
    /// is started.
    #[must_use]
    pub fn new(hosts: &[usize]) -> Self {
        Self::with_settings(hosts, json!({}))
    }

    /// Creates a cell as [`TestCell::new`] does. Each entry of `overrides`
    /// replaces the whole setting of that name on every host.
    #[must_use]
    pub fn with_settings(hosts: &[usize], overrides: Value) -> Self {
        let clock = MilliClock::system();
        let mut plan = Vec::new();
        for (centre, count) in hosts.iter().enumerate() {
            for host in 0..*count {
                plan.push(HostPlan {
                    name: format!("dc{centre}-h{host}"),
                    data_centre: format!("dc{centre}"),
                    public: idle_address(),
                    peer: idle_address(),
                });
            }
        }
        Self {
            log: FakeLog::new(clock.clone()),
            fleet: FakeWorkerFleet::new(clock.clone()),
            directory: FakeDirectory::new(),
            dialer: FakeDialer::new(clock.clone()),
            hosts: plan.iter().map(|_| None).collect(),
            clock,
            plan,
            overrides,
        }
    }

    /// Adds a worker to a data centre and to the host list.
    #[must_use]
    pub fn add_worker(&self, centre: usize, name: &str, capacity: ResourceAmount) -> WorkerName {
        let worker: WorkerName = name.parse().expect("valid name");
        let rack: RackName = "rack-0".parse().expect("valid name");
        let target = self.fleet.add(worker.clone(), rack.clone(), capacity);
        self.directory.put(HostEntry {
            rack: Some(rack),
            ..entry(name, HostRole::Worker, centre, target.address)
        });
        worker
    }

    /// Adds an endpoint of the service `prices` to a data centre and to the
    /// host list.
    #[must_use]
    pub fn add_endpoint(&self, centre: usize, name: &str, slots: u32) -> FakeEndpoint {
        let address = idle_address();
        self.directory.put(HostEntry {
            service: Some("prices".parse().expect("valid name")),
            slots,
            connections: 8 * slots,
            ..entry(name, HostRole::Endpoint, centre, address)
        });
        self.dialer.add(address, slots, 8 * slots)
    }

    /// Starts every host that is not running.
    pub async fn start_all(&mut self) {
        for index in 0..self.plan.len() {
            if self.hosts[index].is_none() {
                self.start(index).await;
            }
        }
    }

    /// Starts a host and assembles it with its own links to the platform.
    pub async fn start(&mut self, index: usize) {
        let text = serde_json::to_vec(&self.settings(index)).expect("settings encode as JSON");
        let settings = check_settings(&text).expect("valid settings");
        if std::env::var_os(LOG_VARIABLE).is_some() {
            // Another test in this process may have started logging already.
            let _ = start_stderr_logging(settings.logging, &self.clock);
        }
        let runtime = host_runtime();
        let clock = self.clock.clone();
        let bound = runtime.spawn(async move { Daemon::bind(settings, clock).await });
        let daemon = bound
            .await
            .expect("task does not panic")
            .expect("daemon binds its addresses");
        let (log, fleet) = (self.log.new_link(), self.fleet.new_link());
        let clients = PlatformClients {
            log: Arc::new(log.clone()),
            directory: Arc::new(self.directory.clone()),
            workers: Arc::new(fleet.clone()),
        };
        let dialer = Arc::new(self.dialer.clone());
        let parts =
            assemble_with(daemon.context(), &clients, dialer).expect("daemon parts are assembled");
        let (signals, receiver) = mpsc::channel(4);
        self.hosts[index] = Some(TestHost {
            control: Arc::clone(&parts.control),
            route: Arc::clone(&parts.route),
            log,
            fleet,
            public: daemon.public().address(),
            signals,
            run: runtime.spawn(daemon.run(parts, receiver)),
            runtime: Some(runtime),
        });
    }

    /// Stops a host at once without cleanup, as a crash does.
    pub fn kill(&mut self, index: usize) {
        drop(self.hosts[index].take().expect("host is running"));
    }

    /// Stops a host as SIGTERM does and returns how it ended.
    pub async fn stop(&mut self, index: usize) -> DaemonEnd {
        let mut host = self.hosts[index].take().expect("host is running");
        host.signals
            .send(StopSignal)
            .await
            .expect("host receives the stop signal");
        (&mut host.run)
            .await
            .expect("task does not panic")
            .expect("daemon ends without an error")
    }

    /// Returns a running host.
    ///
    /// # Panics
    /// Panics if the host is not running.
    #[must_use]
    pub fn host(&self, index: usize) -> &TestHost {
        self.hosts[index].as_ref().expect("host is running")
    }

    /// Returns the running hosts.
    pub fn running(&self) -> impl Iterator<Item = &TestHost> {
        self.hosts.iter().flatten()
    }

    fn settings(&self, index: usize) -> Value {
        let own = &self.plan[index];
        let mut centres: Vec<&str> = self.plan.iter().map(|h| h.data_centre.as_str()).collect();
        centres.dedup();
        let centres = centres.iter().map(|centre| {
            let hosts = self.plan.iter().filter(|host| host.data_centre == **centre);
            let hosts: Vec<Value> = hosts
                .map(|host| {
                    json!({
                        "name": host.name,
                        "public": host.public.to_string(),
                        "peer": host.peer.to_string(),
                    })
                })
                .collect();
            json!({"name": centre, "entry_hosts": hosts})
        });
        let mut settings = json!({
            "host": own.name,
            "data_centre": own.data_centre,
            "data_centres": centres.collect::<Vec<Value>>(),
            "listen": {"public": own.public.to_string(), "peer": own.peer.to_string()},
            "log_address": "127.0.0.1:1",
            "directory_address": "127.0.0.1:1",
            "peer_key": PEER_KEY,
            "operator_keys": [
                {"name": "desk", "digest": String::from(KeyDigest::of("desk-secret"))}
            ],
            "configuration": {"fresh_ms": 1_000, "key_grace_ms": 1_000},
            "slices": {"slices": 4, "takeover_ms": 800},
            "workers": {
                "renew_ms": 100, "control_lease_ms": 600, "task_lease_ms": 1_500,
                "margin_ms": 100, "isolation_ms": 500, "call_timeout_ms": 200,
                "stop_grace_ms": 50, "quarantine_probe_ms": 500,
            },
            "peers": {
                "heartbeat_ms": 50, "remote_heartbeat_ms": 50, "live_ms": 400,
                "call_timeout_ms": 300,
            },
            "log": {
                "append_ms": 5, "direct_append_ms": 20, "read_wait_ms": 100, "call_timeout_ms": 500,
                "outcome_wait_ms": 3_000, "snapshot_ms": 500,
            },
            "directory": {"poll_ms": 50},
            "logging": {"level": "debug"},
            "drain": {"drain_delay_ms": 50, "drain_limit_ms": 10_000},
        });
        for (name, value) in self.overrides.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        settings
    }
}

impl TestHost {
    /// Patches the configuration in force. Tries again with the newer version
    /// if the patch is rejected, up to ten times.
    pub async fn configure(&self, id: &str, operations: Vec<PatchOperation>) {
        for round in 0.. {
            let patch = ConfigPatch {
                id: format!("{id}-{round}").parse().expect("valid name"),
                base_version: self.control.config().version,
                author: "test".to_owned(),
                operations: operations.clone(),
            };
            match self
                .control
                .patch(patch)
                .await
                .expect("patch has an outcome")
            {
                PatchView::Accepted { .. } => return,
                PatchView::Rejected { reason, .. } => assert!(round < 10, "{reason}"),
            }
        }
    }

    /// Submits a job and expects it to be recorded.
    pub async fn submit(&self, spec: JobSpec) -> JobView {
        self.control.submit(spec).await.expect("job is recorded")
    }

    /// Waits until a job has a status on this host.
    pub async fn wait_for(&self, job: JobId, status: JobStatus) -> JobView {
        let expected = format!("job {job} becomes {status}");
        eventually(&expected, || {
            self.control.job(job).filter(|view| view.status == status)
        })
        .await
    }
}

impl Drop for TestHost {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Waits until `probe` returns a value. `expected` names the state in the
/// panic.
///
/// # Panics
/// Panics if that takes longer than `WAIT_TIMEOUT`.
pub async fn eventually<T>(expected: &str, mut probe: impl FnMut() -> Option<T>) -> T {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(found) = probe() {
            return found;
        }
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out waiting until {expected}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the operations that create a team with the queues `NAME-batch`,
/// `NAME-gang`, `NAME-service` and `NAME-prices`.
#[must_use]
pub fn team_operations(name: &str, max_tasks: u32) -> Vec<PatchOperation> {
    let team: TeamName = name.parse().expect("valid name");
    let mut operations = vec![PatchOperation::SetTeam {
        team: team.clone(),
        config: TeamConfig {
            share: 1,
            max_tasks,
            max_requests: 64,
        },
    }];
    let kinds = [
        ("batch", WorkKind::Batch),
        ("gang", WorkKind::Gang),
        ("service", WorkKind::Service),
        ("prices", WorkKind::Request),
    ];
    for (suffix, kind) in kinds {
        operations.push(PatchOperation::SetQueue {
            queue: format!("{name}-{suffix}").parse().expect("valid name"),
            config: QueueConfig {
                kind,
                open: false,
                teams: vec![team.clone()],
                priority: PriorityClass::Normal,
                service: (kind == WorkKind::Request).then(|| "prices".parse().expect("valid name")),
            },
        });
    }
    operations
}

/// Returns a job whose tasks demand one core and 100 MiB each.
#[must_use]
pub fn job_spec(team: &str, key: &str, kind: WorkKind, tasks: u32, command: &str) -> JobSpec {
    let team: TeamName = team.parse().expect("valid name");
    let key: IdempotencyKey = key.parse().expect("valid name");
    let queue: QueueName = format!("{team}-{kind}").parse().expect("valid name");
    JobSpec {
        id: JobId::new(&team, &key),
        team,
        queue,
        key,
        kind,
        priority: PriorityClass::Normal,
        tasks,
        demand: ResourceAmount::new(1_000, 100),
        command: command.to_owned(),
        expected_run: None,
        finish_by: None,
        max_attempts: 3,
    }
}

fn host_runtime() -> Runtime {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime starts")
}

fn entry(name: &str, role: HostRole, centre: usize, address: SocketAddr) -> HostEntry {
    HostEntry {
        name: name.to_owned(),
        role,
        data_centre: format!("dc{centre}").parse().expect("valid name"),
        address,
        status: HostStatus::Live,
        rack: None,
        service: None,
        slots: 0,
        connections: 0,
    }
}

/// The first port that the cells use. All of them are below 32768, where the
/// system's ports for outgoing connections begin: such a connection could
/// otherwise take the port of a host that is started late.
const FIRST_PORT: u16 = 10_240;

/// The number of ports per test process. Each test runs in its own process.
const PORTS_PER_PROCESS: u16 = 32;

/// The number of port ranges. Process ids wrap around them.
const PORT_RANGES: u16 = 700;

/// Returns an unused address from the port range of this process.
fn idle_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let process = u16::try_from(std::process::id() % u32::from(PORT_RANGES)).unwrap_or(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::SeqCst) % PORTS_PER_PROCESS;
        let port = FIRST_PORT + process * PORTS_PER_PROCESS + step;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

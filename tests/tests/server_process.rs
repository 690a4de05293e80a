//! Tests of stopping a real process by signals.

mod server_support;

use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use pimentochute_base::MilliClock;
use pimentochute_server::settings::LoggingSettings;
use pimentochute_server::{DaemonDependencies, DaemonEnd, run_with, start_stderr_logging};
use serde_json::{Value, json};
use server_support::client::{TEST_TIMEOUT, daemon_settings};
use server_support::fakes::{FakeControl, FakeHeartbeats, FakeHooks, FakeRoute};
use server_support::settings_of;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// The environment variable that passes the settings to the daemon process.
const SETTINGS: &str = "PIMENTOCHUTE_TEST_SETTINGS";

/// How long the daemon's router takes for a request.
const ROUTE_TIME: Duration = Duration::from_millis(600);

/// Not a test: runs the daemon if [`SETTINGS`] is set, for the tests below that
/// start this test binary as a daemon process.
#[test]
fn daemon_process() {
    let Ok(text) = std::env::var(SETTINGS) else {
        return;
    };
    let value: Value = serde_json::from_str(&text).expect("settings");
    start_stderr_logging(LoggingSettings::default(), &MilliClock::system()).expect("first logger");
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let end = runtime.block_on(run_with(settings_of(&value), |_| async {
        let route = Arc::new(FakeRoute::default());
        *route.delay.lock().expect("lock") = ROUTE_TIME;
        Ok(DaemonDependencies {
            control: Arc::new(FakeControl::default()),
            route: route.clone(),
            endpoints: route,
            heartbeats: Arc::new(FakeHeartbeats("a1", "north")),
            hooks: Arc::new(FakeHooks::default()),
            children: Vec::new(),
        })
    }));
    let code = match end.expect("daemon") {
        DaemonEnd::Clean => 0,
        DaemonEnd::Interrupted { .. } => 6,
    };
    std::process::exit(code);
}

/// A daemon in a separate process.
struct DaemonProcess {
    child: Child,
    address: String,
}

impl DaemonProcess {
    async fn start() -> Self {
        let free = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = free.local_addr().expect("address").to_string();
        drop(free);
        let settings = daemon_settings(&json!({
            "listen": {"public": address, "peer": "127.0.0.1:0"},
            "drain": {"drain_delay_ms": 200},
        }));
        let child = Command::new(std::env::current_exe().expect("path of the test"))
            .args(["--exact", "daemon_process", "--nocapture"])
            .env(SETTINGS, settings.to_string())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("starts");
        let process = Self { child, address };
        let listens = async {
            while TcpStream::connect(&process.address).await.is_err() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(TEST_TIMEOUT, listens).await.expect("listens");
        process
    }

    async fn signal(&self, signal: &str) {
        let id = self.child.id().expect("running").to_string();
        let sent = Command::new("kill").args([signal, &id]).status().await;
        assert!(sent.expect("kill command").success());
    }

    /// Waits for the process to end and returns its exit code and log.
    async fn end(mut self) -> (Option<i32>, String) {
        let mut log = String::new();
        let mut stderr = self.child.stderr.take().expect("piped");
        let read = timeout(TEST_TIMEOUT, stderr.read_to_string(&mut log)).await;
        read.expect("ends").expect("log");
        let status = timeout(TEST_TIMEOUT, self.child.wait())
            .await
            .expect("ends")
            .expect("status");
        (status.code(), log)
    }
}

/// Sends a request and returns everything received until the connection closes.
async fn request(address: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    let text = "POST /v1/requests HTTP/1.1\r\nhost: a\r\nx-queue: open-prices\r\n\
                connection: close\r\ncontent-length: 2\r\n\r\nhi";
    stream.write_all(text.as_bytes()).await.expect("writes");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer).await;
    answer
}

/// Guards against a SIGTERM that interrupts requests or leads to a wrong exit
/// code.
#[tokio::test]
async fn sigterm_finishes_requests_and_exits_with_zero() {
    let process = DaemonProcess::start().await;
    let address = process.address.clone();
    let early = tokio::spawn(async move { request(&address).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    process.signal("-TERM").await;
    let late = request(&process.address).await;
    let early = early.await.expect("no panic");
    assert!(early.ends_with("echo hi"), "{early}");
    assert!(late.ends_with("echo hi"), "{late}");
    let (code, log) = process.end().await;
    assert_eq!(code, Some(0), "{log}");
    let steps = [
        "readiness check fails",
        "closed its listener",
        "has its answer",
        "are released",
        "stopped",
    ];
    let found: Vec<usize> = steps.iter().filter_map(|step| log.find(step)).collect();
    assert_eq!(found.len(), steps.len(), "{log}");
    assert!(found.is_sorted(), "{log}");
}

/// Guards against a second SIGTERM that is ignored, or that interrupts calls
/// without logging them.
#[tokio::test]
async fn second_sigterm_logs_the_calls_it_cuts() {
    let process = DaemonProcess::start().await;
    let address = process.address.clone();
    let interrupted = tokio::spawn(async move { request(&address).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    process.signal("-TERM").await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    process.signal("-TERM").await;
    let (code, log) = process.end().await;
    assert_eq!(code, Some(6), "{log}");
    assert!(
        log.contains("a second signal ends the process, 1 calls are cut"),
        "{log}"
    );
    assert!(log.contains("public POST /v1/requests"), "{log}");
    assert!(interrupted.await.expect("no panic").is_empty());
}

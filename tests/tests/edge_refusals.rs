//! Each reason to refuse a call is logged and counted, so that operators can
//! tell refusals apart.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::Method;
use pimentochute_base::{MilliClock, MilliSpan};
use pimentochute_server::log_dispatch;
use pimentochute_server::settings::LoggingSettings;
use pimentochute_tests::{EdgeCell, EdgePlatform, StoreFault};
use test_case::test_case;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

const JOB: &str = r#"{"spec":"t","steps":[{"count":1,"cpu":1000,"mem-mb":100,"estimate-ms":200}]}"#;
const CONFIG: &str = r#"{"version":1,"routes":[
    {"name":"r","host":"jobs.example","path-prefix":"/q/","service":"pool","max-attempts":2,"stretch":2.0,"target-latency-ms":1000},
    {"name":"o","host":"jobs.example","path-prefix":"/open/","service":"pool","max-attempts":2,"stretch":2.0,"target-latency-ms":1000,"auth-exempt":true}],
    "services":[{"name":"pool"}],"tenants":[{"name":"t","api-keys":["secret"],"weight":100}]}"#;
const KEY: &str = "secret";
const PATH: &str = "/q/0000000000000001";

/// Longer than a host that no log and no other host answers accepts keys, or
/// calls at all.
const LONG_OUTAGE: Duration = Duration::from_secs(7);

/// Captures the log output of the process.
#[derive(Clone, Default)]
struct LogCapture(Arc<Mutex<Vec<u8>>>);

impl LogCapture {
    fn start() -> Self {
        let capture = Self::default();
        let output: Box<dyn Write + Send> = Box::new(capture.clone());
        let dispatch = log_dispatch(LoggingSettings::default(), &MilliClock::system());
        dispatch
            .chain(output)
            .apply()
            .expect("the first logger of this process; run the tests with nextest");
        capture
    }

    fn lines_with(&self, text: &str) -> Vec<String> {
        let bytes = self.0.lock().expect("the lock is not poisoned").clone();
        let all = String::from_utf8(bytes).expect("the log is UTF-8");
        let lines = all.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Write for LogCapture {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0
            .lock()
            .expect("the lock is not poisoned")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Waits until a condition holds; fails after 5 seconds.
async fn until(what: &str, condition: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "timed out: {what}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Injects a fault into the store for the only host, then waits.
async fn inject_fault(platform: &EdgePlatform, fault: StoreFault, delay: Duration) {
    platform.set_fault("host-0", Some(fault));
    tokio::time::sleep(delay).await;
}

/// Sends a call that the host refuses for `reason`; returns the status of the
/// answer, or 0 if the call gets none.
async fn call_refused_for(reason: &str, platform: &EdgePlatform, cell: &EdgeCell) -> u16 {
    let send = async |method: Method, path: &str, key: &str, body: &str| {
        cell.call(0, method, path, key, body).await.status
    };
    match reason {
        "no_config" | "no_job" => send(Method::GET, PATH, KEY, "").await,
        "no_queue" => send(Method::GET, "/elsewhere/1", KEY, "").await,
        "bad_key" => send(Method::GET, PATH, "another", "").await,
        "bad_code" => send(Method::GET, "/q/xyz", KEY, "").await,
        "bad_job" => send(Method::POST, PATH, KEY, "{}").await,
        "too_large" => send(Method::POST, PATH, KEY, &" ".repeat(300_000)).await,
        "bad_method" => send(Method::PUT, PATH, KEY, "").await,
        "not_accepted" => {
            inject_fault(platform, StoreFault::Refuse, Duration::ZERO).await;
            // The owner notices by its first failed batch that the log refuses
            // it.
            send(Method::POST, "/q/0000000000000002", KEY, JOB).await;
            send(Method::POST, PATH, KEY, JOB).await
        }
        "outcome_unknown" => {
            inject_fault(platform, StoreFault::LoseAnswers, Duration::ZERO).await;
            send(Method::POST, PATH, KEY, JOB).await
        }
        "no_owner" => {
            inject_fault(platform, StoreFault::NoAnswer, Duration::from_millis(200)).await;
            send(Method::DELETE, PATH, KEY, "").await
        }
        "stale_config" => {
            inject_fault(platform, StoreFault::NoAnswer, LONG_OUTAGE).await;
            send(Method::POST, PATH, KEY, JOB).await
        }
        "isolated" => {
            inject_fault(platform, StoreFault::NoAnswer, LONG_OUTAGE).await;
            send(Method::POST, "/open/0000000000000001", "", JOB).await
        }
        "cut" => {
            let stream = TcpStream::connect(cell.caller_address(0)).await;
            let mut stream = stream.expect("the host accepts the connection");
            let head = format!(
                "POST {PATH} HTTP/1.1\r\nhost: jobs.example\r\nauthorization: Bearer {KEY}\r\n\
                 content-length: 100\r\n\r\n{{"
            );
            stream
                .write_all(head.as_bytes())
                .await
                .expect("the head is sent");
            stream
                .shutdown()
                .await
                .expect("the connection is closed for writing");
            0
        }
        other => panic!("unknown reason {other:?}"),
    }
}

#[test_case("no_config", 503)]
#[test_case("stale_config", 503)]
#[test_case("isolated", 503)]
#[test_case("no_queue", 404)]
#[test_case("bad_key", 401)]
#[test_case("bad_code", 400)]
#[test_case("bad_job", 400)]
#[test_case("too_large", 413)]
#[test_case("cut", 0)]
#[test_case("not_accepted", 503)]
#[test_case("outcome_unknown", 504)]
#[test_case("no_owner", 503)]
#[test_case("no_job", 410)]
#[test_case("bad_method", 405)]
#[tokio::test]
async fn a_refusal_is_logged_and_counted(reason: &str, status: u16) {
    let capture = LogCapture::start();
    let platform = EdgePlatform::new(1, MilliSpan::new(100));
    if reason != "no_config" {
        platform.write_config(CONFIG);
    }
    let cell = EdgeCell::start(&platform, 1);
    if reason == "no_config" {
        until("the host listens", async || {
            cell.call(0, Method::GET, "/", "", "").await.status != 0
        })
        .await;
    } else {
        until("the host is ready", async || cell.is_ready(0).await).await;
        until("it owns the cell", async || cell.owner().is_some()).await;
    }
    assert_eq!(call_refused_for(reason, &platform, &cell).await, status);
    let counter = format!("reason=\"{reason}\"");
    until("the refusal is counted", async || {
        let metrics = cell.metrics(0).await;
        let matching = metrics.lines().filter(|line| line.contains(&counter));
        matching.count() == 1
    })
    .await;
    let lines = capture.lines_with("a call is refused");
    let all = capture.lines_with("");
    let line = lines
        .last()
        .unwrap_or_else(|| panic!("no refusal in the log: {all:?}"));
    let expected = if status == 0 { 400 } else { status };
    let field = format!("status={expected}");
    assert!(line.contains(&field), "{field} is missing in {line}");
    for field in ["method=", "path=", "reason=", "config_age="] {
        assert!(line.contains(field), "{field} is missing in {line}");
    }
}

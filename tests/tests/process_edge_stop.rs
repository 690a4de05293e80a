//! Entry hosts whose process gets SIGTERM or SIGHUP while callers use open
//! connections. The signals go to the process of the test, so these tests need
//! a process each, as nextest gives them.

use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, raise};
use pimentochute_base::{MilliClock, MilliSpan};
use pimentochute_server::log_dispatch;
use pimentochute_server::settings::LoggingSettings;
use pimentochute_tests::{EdgeCell, EdgePlatform, StoreFault};
use test_case::test_case;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const JOB: &str = r#"{"spec":"t","steps":[{"count":1,"cpu":1000,"mem-mb":100,"estimate-ms":200}]}"#;
const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r","host":"jobs.example","path-prefix":"/q/","service":"pool","max-attempts":2,"stretch":2.0,"target-latency-ms":1000}],"services":[{"name":"pool"}],"tenants":[{"name":"t","api-keys":["secret"],"weight":100}]}"#;
const PATH: &str = "/q/0000000000000001";

/// How long callers wait for an answer; longer than the hosts go on after SIGTERM.
const CALL_TIMEOUT: Duration = Duration::from_secs(9);

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

/// Prints the log lines of the hosts if `TEST_LOG` is set.
fn print_logs() {
    if std::env::var_os("TEST_LOG").is_some() {
        let dispatch = log_dispatch(LoggingSettings::default(), &MilliClock::system());
        // Another test of the process may have set the logger already.
        drop(dispatch.chain(std::io::stdout()).apply());
    }
}

async fn start_cell(platform: &EdgePlatform, hosts: usize) -> EdgeCell {
    print_logs();
    platform.write_config(CONFIG);
    let cell = EdgeCell::start(platform, hosts);
    for index in 0..hosts {
        until("the hosts are ready", async || cell.is_ready(index).await).await;
    }
    until("a host owns the cell", async || cell.owner().is_some()).await;
    cell
}

async fn connect(cell: &EdgeCell, host: usize) -> TcpStream {
    let stream = TcpStream::connect(cell.caller_address(host)).await;
    stream.expect("the host accepts the connection")
}

/// Sends a call on an open connection. Returns the status of the answer, or how
/// the connection ended without one and how long after the call.
async fn call(
    stream: &mut TcpStream,
    method: &str,
    deadline_ms: u32,
    body: &str,
) -> Result<u16, String> {
    let request = format!(
        "{method} {PATH} HTTP/1.1\r\nhost: jobs.example\r\nauthorization: Bearer secret\r\n\
         pimentochute-deadline-ms: {deadline_ms}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let sent = stream.write_all(request.as_bytes()).await;
    sent.map_err(|error| format!("the call is not sent: {error}"))?;
    let sent_at = Instant::now();
    let mut answer = Vec::new();
    let reading = async {
        loop {
            if let Some(status) = complete_status(&answer) {
                return Ok(status);
            }
            match stream.read_buf(&mut answer).await {
                Ok(0) => return Err("closed".to_owned()),
                Ok(_) => {}
                Err(error) => return Err(error.to_string()),
            }
        }
    };
    let result = tokio::time::timeout(CALL_TIMEOUT, reading).await;
    let result = result.unwrap_or_else(|_| Err("no answer".to_owned()));
    result.map_err(|error| {
        format!(
            "{error} {} ms after the call",
            sent_at.elapsed().as_millis()
        )
    })
}

/// Returns the status of an answer once its whole body has arrived.
fn complete_status(answer: &[u8]) -> Option<u16> {
    let text = str::from_utf8(answer).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let length = lines.find_map(|line| line.strip_prefix("content-length: "))?;
    (length.parse() == Ok(body.len())).then_some(status)
}

/// Guards against calls that a stopping host takes, and then cuts without an
/// answer at the end of the grace period because no owner has answered them.
#[test_case("GET", 3_000, &[503]; "of a state")]
#[test_case("GET", 6_000, &[503]; "of a state with a late deadline")]
#[test_case("DELETE", 6_000, &[503]; "to cancel a job")]
#[test_case("POST", 6_000, &[503, 504]; "with a job")]
#[tokio::test]
async fn a_stopping_host_answers_every_call(method: &str, deadline_ms: u32, statuses: &[u16]) {
    let platform = EdgePlatform::new(1, MilliSpan::new(100));
    let cell = start_cell(&platform, 1).await;
    let mut streams = Vec::new();
    for _ in 0..30 {
        streams.push(connect(&cell, 0).await);
    }
    raise(Signal::SIGTERM).expect("the signal is sent");
    if method == "POST" {
        platform.set_fault("host-0", Some(StoreFault::NoAnswer));
    }
    let stopped_at = Instant::now();
    let body = if method == "POST" { JOB } else { "" };
    let calls = streams.into_iter().enumerate();
    let calls = calls.map(async |(index, mut stream)| {
        let wait = Duration::from_millis(100 * index as u64);
        tokio::time::sleep(wait).await;
        (wait, call(&mut stream, method, deadline_ms, body).await)
    });
    let results = futures::future::join_all(calls).await;
    let is_answered = |result: &Result<u16, String>| {
        let status = result.as_ref().ok();
        status.is_some_and(|status| statuses.contains(status))
    };
    let calls = results.iter();
    let cut: Vec<_> = calls.filter(|(_, result)| !is_answered(result)).collect();
    let took = stopped_at.elapsed();
    assert!(
        cut.is_empty(),
        "{} of {} calls, by when they were sent: {cut:?}",
        cut.len(),
        results.len()
    );
    assert!(
        took < Duration::from_secs(6),
        "the grace period is over: {took:?}"
    );
}

/// Guards against connections that end, or calls without an answer, around a SIGHUP
/// or a new version of the configuration.
#[tokio::test]
async fn signals_and_new_configurations_end_no_connection() {
    let platform = EdgePlatform::new(1, MilliSpan::new(100));
    let cell = start_cell(&platform, 1).await;
    let mut streams = Vec::new();
    for _ in 0..8 {
        streams.push(connect(&cell, 0).await);
    }
    let changes = async {
        for version in 2..32 {
            raise(Signal::SIGHUP).expect("the signal is sent");
            let config = CONFIG.replace("\"version\":1", &format!("\"version\":{version}"));
            platform.write_config(&config);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let calls = streams.iter_mut().map(async |stream| {
        let mut results = Vec::new();
        for _ in 0..150 {
            results.push(call(stream, "GET", 3_000, "").await);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        results
    });
    let ((), results) = tokio::join!(changes, futures::future::join_all(calls));
    let results: Vec<_> = results.into_iter().flatten().collect();
    let failed: Vec<_> = results
        .iter()
        .filter(|result| **result != Ok(410))
        .collect();
    let first = failed.first();
    assert!(
        failed.is_empty(),
        "{} of {}: {first:?}",
        failed.len(),
        results.len()
    );
}

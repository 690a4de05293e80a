//! Tests of the limits of the public listener and of the refusals they cause.

mod server_support;

use std::time::Duration;

use http::{Method, StatusCode};
use pimentochute_server::RefusalCode;
use serde_json::{Value, json};
use server_support::client::{TEST_TIMEOUT, TestDaemon};
use server_support::fakes::PRINT_KEY;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const OPEN: (&str, &str) = ("x-queue", "open-prices");

/// Sends raw text and returns everything received until the server closes the
/// connection.
async fn send_raw(daemon: &TestDaemon, text: &str) -> String {
    let mut stream = TcpStream::connect(daemon.public).await.expect("connects");
    stream.write_all(text.as_bytes()).await.expect("writes");
    let mut answer = Vec::new();
    let read = timeout(TEST_TIMEOUT, stream.read_to_end(&mut answer)).await;
    let _ = read.expect("server closes");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against a body that exhausts the memory, with or without a content
/// length.
#[test_case(false ; "announced")]
#[test_case(true ; "chunked")]
#[tokio::test]
async fn large_body_is_refused(chunked: bool) {
    let daemon = TestDaemon::start(json!({"http": {"max_body_bytes": 1_024}})).await;
    let head =
        "POST /v1/requests HTTP/1.1\r\nhost: a\r\nx-queue: open-prices\r\nconnection: close\r\n";
    let body = "x".repeat(1_025);
    let text = if chunked {
        format!("{head}transfer-encoding: chunked\r\n\r\n401\r\n{body}\r\n0\r\n\r\n")
    } else {
        format!("{head}content-length: 1025\r\n\r\n{body}")
    };
    let answer = send_raw(&daemon, &text).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(
        answer.contains("\"code\":\"too_large\",\"not_run\":true"),
        "{answer}"
    );
    assert!(daemon.route.seen.lock().expect("lock").is_empty());
}

#[tokio::test]
async fn largest_body_passes_unchanged() {
    let daemon = TestDaemon::start(json!({"http": {"max_body_bytes": 1_024}})).await;
    let body = [7; 1_024];
    let answer = daemon.route(&[OPEN], &body).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body, [b"echo ", &body[..]].concat());
}

/// Guards against request headers of unbounded size.
#[tokio::test]
async fn large_head_is_refused() {
    let daemon = TestDaemon::start(json!({"http": {"max_header_bytes": 8_192}})).await;
    let filler = "y".repeat(20_000);
    let text = format!("GET /healthz HTTP/1.1\r\nhost: a\r\nx-filler: {filler}\r\n\r\n");
    let answer = send_raw(&daemon, &text).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
}

/// Guards against callers that hold connections open with incomplete requests.
#[tokio::test]
async fn slow_head_and_slow_body_end() {
    let limits = json!({"http": {"header_timeout_ms": 100, "body_timeout_ms": 100}});
    let daemon = TestDaemon::start(limits).await;
    send_raw(&daemon, "GET /healthz HTTP/1.1\r\nhost: a\r\n").await;
    let slow = "POST /v1/requests HTTP/1.1\r\nhost: a\r\nx-queue: open-prices\r\n\
                content-length: 10\r\n\r\nabc";
    let answer = send_raw(&daemon, slow).await;
    assert!(
        answer.contains("\"code\":\"invalid\",\"not_run\":true"),
        "{answer}"
    );
    assert!(daemon.route.seen.lock().expect("lock").is_empty());
}

/// Guards against connections without limit; the refused one gets a reason.
#[tokio::test]
async fn connection_over_the_limit_is_refused() {
    let daemon = TestDaemon::start(json!({"http": {"max_connections": 2}})).await;
    let first = TcpStream::connect(daemon.public).await.expect("connects");
    let second = TcpStream::connect(daemon.public).await.expect("connects");
    tokio::time::sleep(Duration::from_millis(50)).await;
    let answer = send_raw(&daemon, "GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 429"), "{answer}");
    assert!(
        answer.contains("\"code\":\"overloaded\",\"not_run\":true"),
        "{answer}"
    );
    drop((first, second));
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(daemon.get("/healthz", None).await.status, StatusCode::OK);
}

/// Guards against bodies that together fill the memory.
#[tokio::test]
async fn bodies_share_a_memory_budget() {
    let limits = json!({"http": {"max_body_bytes": 1_024, "max_buffered_bytes": 1_024}});
    let daemon = TestDaemon::start(limits).await;
    *daemon.route.delay.lock().expect("lock") = Duration::from_millis(300);
    let first = daemon.route(&[OPEN], &[1; 800]);
    let second = async {
        daemon.wait_until_routed(1).await;
        daemon.route(&[OPEN], &[2; 800]).await
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!(first.status, StatusCode::OK);
    let refusal = second.refusal();
    assert_eq!(
        (refusal.code, refusal.not_run),
        (RefusalCode::Overloaded, true)
    );
    assert_eq!(
        daemon.route(&[OPEN], &[3; 800]).await.status,
        StatusCode::OK
    );
}

/// Guards against small bodies of unknown length that keep the memory of a body
/// of the maximum size reserved until they are answered.
#[tokio::test]
async fn body_of_unknown_length_gives_memory_back() {
    let limits = json!({"http": {"max_body_bytes": 1_024, "max_buffered_bytes": 1_100}});
    let daemon = TestDaemon::start(limits).await;
    *daemon.route.delay.lock().expect("lock") = Duration::from_millis(300);
    let text = "POST /v1/requests HTTP/1.1\r\nhost: a\r\nx-queue: open-prices\r\n\
                connection: close\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
    let second = async {
        daemon.wait_until_routed(1).await;
        send_raw(&daemon, text).await
    };
    let (first, second) = tokio::join!(send_raw(&daemon, text), second);
    assert!(first.ends_with("echo hi"), "{first}");
    assert!(second.ends_with("echo hi"), "{second}");
}

#[test_case(("x-deadline-ms", "0") ; "no time")]
#[test_case(("x-deadline-ms", "300001") ; "too much time")]
#[test_case(("x-deadline-ms", "soon") ; "no number")]
#[test_case(("x-idempotent", "maybe") ; "idempotent")]
#[test_case(("x-request-id", "a b") ; "id with a space")]
#[test_case(("x-team", "a/b") ; "team")]
#[test_case(("x-queue", "prices") ; "queue twice")]
#[tokio::test]
async fn wrong_header_is_refused(header: (&str, &str)) {
    let daemon = TestDaemon::start(json!({})).await;
    let refusal = daemon.route(&[OPEN, header], b"").await.refusal();
    assert_eq!(
        (refusal.code, refusal.not_run),
        (RefusalCode::Invalid, true)
    );
}

#[test_case(&json!({"tasks": 0}), RefusalCode::Invalid ; "no task")]
#[test_case(&json!({"tasks": 10_001}), RefusalCode::Invalid ; "too many tasks")]
#[test_case(&json!({"command": "x".repeat(16_385)}), RefusalCode::TooLarge ; "long command")]
#[test_case(&json!({"demand": {"cpu_millis": 0, "memory_mib": 1}}), RefusalCode::Invalid ; "no processor time")]
#[test_case(&json!({"demand": {"cpu_millis": -1, "memory_mib": 1}}), RefusalCode::Invalid ; "negative demand")]
#[test_case(&json!({"idempotency_key": "a b"}), RefusalCode::Invalid ; "idempotency key")]
#[test_case(&json!({"surprise": 1}), RefusalCode::Invalid ; "unknown field")]
#[tokio::test]
async fn wrong_job_is_refused(change: &Value, code: RefusalCode) {
    let daemon = TestDaemon::start(json!({})).await;
    let mut job = json!({
        "queue": "proofs", "idempotency_key": "order-1", "command": "render",
        "demand": {"cpu_millis": 100, "memory_mib": 64},
    });
    for (name, value) in change.as_object().expect("object") {
        job[name] = value.clone();
    }
    let refusal = daemon
        .post("/v1/jobs", Some(PRINT_KEY), &job)
        .await
        .refusal();
    assert_eq!((refusal.code, refusal.not_run), (code, true));
}

#[tokio::test]
async fn unknown_paths_and_methods_are_refused() {
    let daemon = TestDaemon::start(json!({})).await;
    assert_eq!(
        daemon.get("/v2/jobs", None).await.refusal().code,
        RefusalCode::NotFound
    );
    let put = daemon.send(Method::PUT, "/v1/jobs", &[], b"").await;
    assert_eq!(put.refusal().code, RefusalCode::NotFound);
}

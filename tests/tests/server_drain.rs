//! Tests of the planned stop, which must not interrupt accepted requests.

mod server_support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use pimentochute_server::{ChildError, ChildSpec, DaemonEnd};
use serde_json::json;
use server_support::client::{Answer, TEST_TIMEOUT, TestDaemon};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const OPEN: (&str, &str) = ("x-queue", "open-prices");

async fn wait_for_end(daemon: TestDaemon) -> DaemonEnd {
    let end = timeout(TEST_TIMEOUT, daemon.run).await.expect("ends");
    end.expect("no panic").expect("no failure")
}

fn count_ok(answers: &[Answer]) -> usize {
    let answers = answers.iter();
    answers
        .filter(|answer| answer.status == StatusCode::OK)
        .count()
}

/// Guards against a stop that interrupts requests in flight or requests that
/// arrive before the public listener closes, and against slices that are
/// released before all requests have finished.
#[tokio::test]
async fn planned_stop_cuts_no_request() {
    let daemon = TestDaemon::start(json!({"drain": {"drain_delay_ms": 300}})).await;
    *daemon.route.delay.lock().expect("lock") = Duration::from_millis(700);
    assert_eq!(daemon.get("/readyz", None).await.status, StatusCode::OK);
    let early = async { join_all((0..20).map(|_| daemon.route(&[OPEN], b"early"))).await };
    let late = async {
        daemon.wait_until_routed(20).await;
        daemon.stop().await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        let ready = daemon.get("/readyz", None).await;
        assert_eq!(ready.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(ready.header("connection"), "close");
        assert!(daemon.hooks.released.lock().expect("lock").is_empty());
        join_all((0..20).map(|_| daemon.route(&[OPEN], b"late"))).await
    };
    let (early, late) = tokio::join!(early, late);
    assert_eq!((count_ok(&early), count_ok(&late)), (20, 20));
    assert_eq!(daemon.route.finished.load(Ordering::SeqCst), 40);
    let (hooks, public) = (daemon.hooks.clone(), daemon.public);
    assert_eq!(wait_for_end(daemon).await, DaemonEnd::Clean);
    assert_eq!(*hooks.released.lock().expect("lock"), ["slices", "workers"]);
    assert!(TcpStream::connect(public).await.is_err());
}

/// Guards against resetting a connection that was open before the listener
/// closed, and against a stop that waits for a connection without a request.
#[tokio::test]
async fn open_connections_are_served_or_closed() {
    let daemon = TestDaemon::start(json!({})).await;
    let idle = TcpStream::connect(daemon.public).await.expect("connects");
    let mut used = TcpStream::connect(daemon.public).await.expect("connects");
    daemon.stop().await;
    tokio::time::sleep(Duration::from_millis(250)).await;
    let text = "POST /v1/requests HTTP/1.1\r\nhost: a\r\nx-queue: open-prices\r\n\
                content-length: 2\r\n\r\nhi";
    used.write_all(text.as_bytes()).await.expect("writes");
    let mut answer = String::new();
    used.read_to_string(&mut answer)
        .await
        .expect("whole answer");
    assert!(answer.ends_with("echo hi"), "{answer}");
    assert_eq!(wait_for_end(daemon).await, DaemonEnd::Clean);
    drop(idle);
}

/// Guards against connections that are closed with a call in the socket, because
/// the call and the end of the connection are due at once after a stall of the
/// process.
#[tokio::test]
async fn calls_that_arrive_during_a_stall_of_the_stop_are_answered() {
    let daemon = TestDaemon::start(json!({"drain": {"drain_delay_ms": 10}})).await;
    let mut streams = Vec::new();
    for _ in 0..40 {
        streams.push(TcpStream::connect(daemon.public).await.expect("connects"));
    }
    daemon.stop().await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let text = "POST /v1/requests HTTP/1.1\r\nhost: a\r\nx-queue: open-prices\r\n\
                content-length: 2\r\n\r\nhi";
    for stream in &mut streams {
        stream.write_all(text.as_bytes()).await.expect("writes");
    }
    // The daemon runs on this thread.
    std::thread::sleep(Duration::from_millis(1_500));
    let mut answered = 0;
    for stream in &mut streams {
        let mut answer = String::new();
        let read = stream.read_to_string(&mut answer).await;
        answered += usize::from(read.is_ok() && answer.ends_with("echo hi"));
    }
    assert_eq!(answered, streams.len());
    assert_eq!(wait_for_end(daemon).await, DaemonEnd::Clean);
}

/// Guards against a stop that never ends, and checks that the interrupted calls
/// are counted.
#[tokio::test]
async fn drain_limit_ends_the_stop() {
    let limits = json!({"drain": {"drain_delay_ms": 10, "drain_limit_ms": 300}});
    let daemon = TestDaemon::start(limits).await;
    *daemon.route.delay.lock().expect("lock") = Duration::from_secs(30);
    let request = daemon.route(&[OPEN], b"");
    tokio::select! {
        _ = request => panic!("the request cannot finish"),
        () = async {
            daemon.wait_until_routed(1).await;
            daemon.stop().await;
            while !daemon.run.is_finished() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        } => {}
    }
    assert!(daemon.hooks.released.lock().expect("lock").is_empty());
    assert_eq!(
        wait_for_end(daemon).await,
        DaemonEnd::Interrupted { calls: 1 }
    );
}

/// Guards against a stop that a second signal cannot end.
#[tokio::test]
async fn second_signal_ends_the_stop() {
    let daemon = TestDaemon::start(json!({})).await;
    *daemon.route.delay.lock().expect("lock") = Duration::from_secs(30);
    let request = daemon.route(&[OPEN], b"");
    tokio::select! {
        _ = request => panic!("the request cannot finish"),
        () = async {
            daemon.wait_until_routed(1).await;
            daemon.stop().await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            daemon.stop().await;
            while !daemon.run.is_finished() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        } => {}
    }
    assert_eq!(
        wait_for_end(daemon).await,
        DaemonEnd::Interrupted { calls: 1 }
    );
}

/// Guards against a daemon that keeps running without a failed part, or that
/// open connections keep from ending.
#[tokio::test]
async fn failed_part_ends_the_daemon_with_its_reason() {
    let broken = ChildSpec::new("config follower", |_| async {
        Err(ChildError::new(std::io::Error::other("no such stream")))
    });
    let settings = json!({"supervisor": {"backoff_ms": 1, "max_failures": 2}});
    let daemon = TestDaemon::start_with(settings, vec![broken]).await;
    let idle = TcpStream::connect(daemon.public).await.expect("connects");
    let end = timeout(TEST_TIMEOUT, daemon.run)
        .await
        .expect("ends")
        .expect("no panic");
    let reason = end.expect_err("fails").to_string();
    assert!(
        reason.contains("config follower failed 3 times"),
        "{reason}"
    );
    assert!(reason.contains("no such stream"), "{reason}");
    drop(idle);
}

/// Guards against a host that reports ready before it has a configuration.
#[tokio::test]
async fn host_without_configuration_is_not_ready() {
    let daemon = TestDaemon::start(json!({})).await;
    daemon.control.keyed.store(false, Ordering::SeqCst);
    assert_eq!(daemon.get("/readyz", None).await.status, StatusCode::OK);
    *daemon.control.config.lock().expect("lock") = std::sync::Arc::default();
    let ready = daemon.get("/readyz", None).await;
    assert_eq!(ready.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(daemon.get("/healthz", None).await.status, StatusCode::OK);
    let metrics = daemon.get("/metrics", None).await;
    let text = String::from_utf8_lossy(&metrics.body);
    assert!(text.contains("http_answers_total"), "{text}");
}

/// Sends requests on kept-alive connections, and reconnects when one is closed,
/// until no new connection is accepted. Returns the number of complete answers.
async fn keep_sending(public: std::net::SocketAddr) -> Result<u32, std::io::Error> {
    let text = "POST /v1/requests HTTP/1.1\r\nhost: a\r\nx-queue: open-prices\r\n\
                content-length: 2\r\n\r\nhi";
    let mut count = 0;
    while let Ok(mut stream) = TcpStream::connect(public).await {
        loop {
            stream.write_all(text.as_bytes()).await?;
            let mut answer = Vec::new();
            while !answer.ends_with(b"echo hi") {
                if stream.read_buf(&mut answer).await? == 0 {
                    return Err(std::io::ErrorKind::UnexpectedEof.into());
                }
            }
            count += 1;
            if String::from_utf8_lossy(&answer).contains("connection: close") {
                break;
            }
        }
    }
    Ok(count)
}

/// Guards against a stop that interrupts requests of callers that keep sending,
/// on existing and new connections, until the listener is closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stop_under_load_cuts_no_request() {
    let daemon = TestDaemon::start(json!({})).await;
    *daemon.route.delay.lock().expect("lock") = Duration::from_millis(3);
    let callers = join_all((0..16).map(|_| tokio::spawn(keep_sending(daemon.public))));
    let stop = async {
        daemon.wait_until_routed(200).await;
        daemon.stop().await;
    };
    let (counts, ()) = tokio::join!(timeout(TEST_TIMEOUT, callers), stop);
    let mut total = 0;
    for count in counts.expect("callers end") {
        total += count.expect("no panic").expect("no cut request");
    }
    assert_eq!(daemon.route.finished.load(Ordering::SeqCst), total);
    assert_eq!(wait_for_end(daemon).await, DaemonEnd::Clean);
}

//! Tests of the supervisor: restarts, escalation and stop.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use pimentochute_base::{MilliClock, MilliSpan};
use pimentochute_server::settings::SupervisorSettings;
use pimentochute_server::{CancellationToken, ChildError, ChildSpec, Metrics, Supervisor};
use tokio::time::timeout;

/// The time after which a test counts as hung.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

fn supervisor(max_failures: u32) -> (Supervisor, Arc<Metrics>) {
    let settings = SupervisorSettings {
        backoff_ms: MilliSpan::new(1),
        max_backoff_ms: MilliSpan::new(5),
        max_failures,
        ..SupervisorSettings::default()
    };
    let metrics = Arc::new(Metrics::new().expect("metrics"));
    let supervisor = Supervisor::new(settings, MilliClock::system(), metrics.clone());
    (supervisor, metrics)
}

/// A child that fails `failures` times, then runs until it is stopped.
fn failing_child(failures: u32, starts: Arc<AtomicU32>, panics: bool) -> ChildSpec {
    ChildSpec::new("follower", move |stop| {
        let start = starts.fetch_add(1, Ordering::SeqCst);
        async move {
            if start < failures {
                assert!(!panics, "broken child");
                return Err(ChildError::new(io::Error::other("broken pipe")));
            }
            stop.cancelled().await;
            Ok(())
        }
    })
}

async fn wait_for(counter: &AtomicU32, count: u32) {
    while counter.load(Ordering::SeqCst) < count {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against a child that is not restarted after an error or a panic.
#[test_case::test_case(false ; "error")]
#[test_case::test_case(true ; "panic")]
#[tokio::test]
async fn failed_child_is_restarted(panics: bool) {
    let starts = Arc::new(AtomicU32::new(0));
    let (supervisor, metrics) = supervisor(10);
    let stop = CancellationToken::new();
    let child = failing_child(3, starts.clone(), panics);
    let run = tokio::spawn(supervisor.run(vec![child], stop.clone()));
    timeout(TEST_TIMEOUT, wait_for(&starts, 4))
        .await
        .expect("restarts");
    stop.cancel();
    let outcome = timeout(TEST_TIMEOUT, run)
        .await
        .expect("stops")
        .expect("no panic");
    assert!(outcome.is_ok());
    assert_eq!(starts.load(Ordering::SeqCst), 4);
    let text = metrics.text().expect("metrics text");
    assert!(
        text.contains("child_failures_total{child=\"follower\""),
        "{text}"
    );
}

/// Guards against a child that is restarted forever. When the supervisor gives
/// up, it stops the other children.
#[tokio::test]
async fn repeated_failure_escalates() {
    let starts = Arc::new(AtomicU32::new(0));
    let (supervisor, _) = supervisor(2);
    let stop = CancellationToken::new();
    let children = vec![
        failing_child(u32::MAX, starts.clone(), false),
        failing_child(0, Arc::default(), false),
    ];
    let run = supervisor.run(children, stop);
    let outcome = timeout(TEST_TIMEOUT, run).await.expect("ends");
    let escalation = outcome.expect_err("escalates");
    assert_eq!((escalation.child, escalation.failures), ("follower", 3));
    assert!(
        escalation.to_string().contains("broken pipe"),
        "{escalation}"
    );
    assert_eq!(starts.load(Ordering::SeqCst), 3);
}

/// Guards against a child that ends without an error and is not counted as failed.
#[tokio::test]
async fn early_end_is_a_failure() {
    let (supervisor, _) = supervisor(1);
    let child = ChildSpec::new("writer", |_| async { Ok(()) });
    let run = supervisor.run(vec![child], CancellationToken::new());
    let outcome = timeout(TEST_TIMEOUT, run).await.expect("ends");
    let escalation = outcome.expect_err("escalates");
    assert!(matches!(escalation.last, ChildError::EndedEarly));
}

/// Guards against restarting a child that was stopped before the others, as the
/// public listener is during a drain.
#[tokio::test]
async fn child_with_its_own_token_ends_first() {
    let (supervisor, _) = supervisor(1);
    let (first, all) = (CancellationToken::new(), CancellationToken::new());
    let starts = Arc::new(AtomicU32::new(0));
    let children = vec![
        failing_child(0, starts.clone(), false).with_stop(first.clone()),
        failing_child(0, Arc::default(), false),
    ];
    let run = tokio::spawn(supervisor.run(children, all.clone()));
    timeout(TEST_TIMEOUT, wait_for(&starts, 1))
        .await
        .expect("starts");
    first.cancel();
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!run.is_finished());
    assert_eq!(starts.load(Ordering::SeqCst), 1);
    all.cancel();
    let outcome = timeout(TEST_TIMEOUT, run)
        .await
        .expect("stops")
        .expect("no panic");
    assert!(outcome.is_ok());
}

//! Tests of the outcomes in refusals: work that is reported as not run must not
//! have run.

mod server_support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Method, StatusCode};
use pimentochute_base::MilliSpan;
use pimentochute_route::RouteError;
use pimentochute_server::{RefusalCode, SubmitError};
use serde_json::{Value, json};
use server_support::client::TestDaemon;
use server_support::fakes::{DESK_KEY, PRINT_KEY};
use test_case::test_case;

const OPEN: (&str, &str) = ("x-queue", "open-prices");

fn job(command: &str) -> Value {
    json!({
        "queue": "proofs", "idempotency_key": "order-1", "command": command,
        "demand": {"cpu_millis": 100, "memory_mib": 64},
    })
}

/// Guards against reporting a request as not run although it may have run.
#[test_case(RouteError::NoEndpoint { service: "prices".parse().expect("name") }, RefusalCode::NoEndpoint, true ; "no endpoint")]
#[test_case(RouteError::Overloaded { retry_after: MilliSpan::new(2_500) }, RefusalCode::Overloaded, true ; "overloaded")]
#[test_case(RouteError::DeadlineBeforeSend, RefusalCode::DeadlineExceeded, true ; "deadline")]
#[test_case(RouteError::RefusedByEndpoint, RefusalCode::NoEndpoint, true ; "refused by the endpoint")]
#[test_case(RouteError::PeerUnreachable, RefusalCode::NoEndpoint, true ; "peer unreachable")]
#[test_case(RouteError::Draining, RefusalCode::Draining, true ; "draining")]
#[test_case(RouteError::OutcomeUnknown, RefusalCode::OutcomeUnknown, false ; "outcome unknown")]
#[tokio::test]
async fn router_errors_keep_their_meaning(error: RouteError, code: RefusalCode, not_run: bool) {
    let daemon = TestDaemon::start(json!({})).await;
    *daemon.route.error.lock().expect("lock") = Some(error);
    let answer = daemon.route(&[OPEN, ("x-request-id", "r-1")], b"").await;
    let refusal = answer.refusal();
    assert_eq!((refusal.code, refusal.not_run), (code, not_run));
    let outcome = if not_run { "not_run" } else { "unknown" };
    assert_eq!(answer.header("x-outcome"), outcome);
    assert_eq!(answer.header("x-request-id"), "r-1");
}

/// Guards against a caller that waits forever for a router that hangs.
#[tokio::test]
async fn request_to_a_hanging_router_ends_after_the_deadline() {
    let daemon = TestDaemon::start(json!({})).await;
    *daemon.route.delay.lock().expect("lock") = Duration::from_secs(50);
    let refusal = daemon
        .route(&[OPEN, ("x-deadline-ms", "50")], b"")
        .await
        .refusal();
    assert_eq!(
        (refusal.code, refusal.not_run),
        (RefusalCode::OutcomeUnknown, false)
    );
}

/// Guards against mixing up the answers of two callers that chose the same
/// request identifier.
#[tokio::test]
async fn equal_caller_ids_become_different_request_ids() {
    let daemon = TestDaemon::start(json!({})).await;
    let headers = [OPEN, ("x-request-id", "same")];
    for body in [b"one", b"two"] {
        let answer = daemon.route(&headers, body).await;
        assert_eq!(answer.header("x-request-id"), "same");
        assert_eq!(answer.header("x-outcome"), "answered");
        assert_eq!(answer.body, [b"echo ", &body[..]].concat());
    }
    let seen = daemon.route.seen.lock().expect("lock");
    assert_ne!(seen[0].id, seen[1].id);
    assert!(!seen[0].idempotent);
}

/// Guards against a refusal that hides whether the change may take effect.
#[test_case(SubmitError::NotRecorded, RefusalCode::LogUnavailable, true ; "not recorded")]
#[test_case(SubmitError::Unknown, RefusalCode::OutcomeUnknown, false ; "unknown")]
#[test_case(SubmitError::Conflict, RefusalCode::Conflict, true ; "conflict")]
#[test_case(SubmitError::Draining, RefusalCode::Draining, true ; "draining")]
#[tokio::test]
async fn submit_errors_keep_their_meaning(error: SubmitError, code: RefusalCode, not_run: bool) {
    let daemon = TestDaemon::start(json!({})).await;
    daemon.control.fail_with(Some(error));
    let refusal = daemon
        .post("/v1/jobs", Some(PRINT_KEY), &job("a"))
        .await
        .refusal();
    assert_eq!((refusal.code, refusal.not_run), (code, not_run));
    let patch = json!({"id": "p1", "base_version": 3, "author": "desk", "operations":
        [{"op": "remove_queue", "queue": "drop"}]});
    let refusal = daemon
        .post("/v1/config/patches", Some(DESK_KEY), &patch)
        .await
        .refusal();
    assert_eq!((refusal.code, refusal.not_run), (code, not_run));
}

/// Guards against a repeated submission that creates a second job, and against
/// reporting it as not run although its job is recorded.
#[tokio::test]
async fn repeated_submission_is_the_same_job() {
    let daemon = TestDaemon::start(json!({})).await;
    let first = daemon.post("/v1/jobs", Some(PRINT_KEY), &job("a")).await;
    let again = daemon.post("/v1/jobs", Some(PRINT_KEY), &job("a")).await;
    assert_eq!(first.json(), again.json());
    let other = daemon
        .post("/v1/jobs", Some(PRINT_KEY), &job("b"))
        .await
        .refusal();
    assert_eq!(other.code, RefusalCode::Conflict);
    daemon.control.fail_with(Some(SubmitError::NotRecorded));
    let refusal = daemon
        .post("/v1/jobs", Some(PRINT_KEY), &job("a"))
        .await
        .refusal();
    assert_eq!(
        (refusal.code, refusal.not_run),
        (RefusalCode::LogUnavailable, false)
    );
}

#[tokio::test]
async fn cancelled_job_shows_its_state() {
    let daemon = TestDaemon::start(json!({})).await;
    let id = daemon
        .post("/v1/jobs", Some(PRINT_KEY), &job("a"))
        .await
        .json()["id"]
        .clone();
    let path = format!("/v1/jobs/{}", id.as_str().expect("id"));
    let bearer = format!("Bearer {PRINT_KEY}");
    let headers = [("authorization", bearer.as_str())];
    daemon.control.fail_with(Some(SubmitError::NotRecorded));
    let failed = daemon
        .send(Method::DELETE, &path, &headers, b"")
        .await
        .refusal();
    assert_eq!(
        (failed.code, failed.not_run),
        (RefusalCode::LogUnavailable, false)
    );
    daemon.control.fail_with(None);
    let done = daemon.send(Method::DELETE, &path, &headers, b"").await;
    assert_eq!(
        (done.status, &done.json()["status"]),
        (StatusCode::OK, &json!("cancelled"))
    );
    let unknown = format!("/v1/jobs/{}", "0".repeat(32));
    let refusal = daemon.get(&unknown, Some(PRINT_KEY)).await.refusal();
    assert_eq!(refusal.code, RefusalCode::NotFound);
}

/// Guards against a host that reports jobs as not found or not run before it has
/// read them after its start.
#[tokio::test]
async fn host_that_has_not_read_the_jobs_claims_nothing_about_them() {
    let daemon = TestDaemon::start(json!({})).await;
    daemon.control.has_read_jobs.store(false, Ordering::SeqCst);
    daemon.control.fail_with(Some(SubmitError::NotRecorded));
    let path = format!("/v1/jobs/{}", "0".repeat(32));
    let refusals = [
        daemon.get(&path, Some(PRINT_KEY)).await.refusal(),
        daemon.get("/v1/jobs", Some(PRINT_KEY)).await.refusal(),
        daemon
            .post("/v1/jobs", Some(PRINT_KEY), &job("a"))
            .await
            .refusal(),
    ];
    for refusal in refusals {
        assert_eq!(
            (refusal.code, refusal.not_run),
            (RefusalCode::LogUnavailable, false)
        );
    }
}

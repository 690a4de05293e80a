//! Tests of authentication and authorization on the public listener.

mod server_support;

use http::{Method, StatusCode};
use pimentochute_server::RefusalCode;
use serde_json::{Value, json};
use server_support::client::TestDaemon;
use server_support::fakes::{BAGS_KEY, DESK_KEY, PRINT_KEY};
use std::sync::atomic::Ordering;
use test_case::test_case;

fn job(queue: &str, team: Option<&str>) -> Value {
    json!({
        "queue": queue, "team": team, "idempotency_key": "order-1", "command": "render 1",
        "demand": {"cpu_millis": 100, "memory_mib": 64},
    })
}

/// Guards against jobs that are accepted without a valid key, or for a team or
/// queue that the key does not permit.
#[test_case("proofs", None, None, RefusalCode::Unauthenticated ; "no key")]
#[test_case("proofs", Some("print"), None, RefusalCode::Unauthenticated ; "team named without key")]
#[test_case("proofs", None, Some("guessed"), RefusalCode::Unauthenticated ; "unknown key")]
#[test_case("drop", None, Some("guessed"), RefusalCode::Unauthenticated ; "unknown key in an open queue")]
#[test_case("drop", Some("bags"), None, RefusalCode::Unauthenticated ; "open queue for another team")]
#[test_case("proofs", Some("print"), Some(BAGS_KEY), RefusalCode::Forbidden ; "key of another team")]
#[test_case("proofs", None, Some(BAGS_KEY), RefusalCode::Forbidden ; "team outside the queue")]
#[test_case("drop", None, Some(BAGS_KEY), RefusalCode::Forbidden ; "team outside the open queue")]
#[test_case("proofs", None, Some(DESK_KEY), RefusalCode::Forbidden ; "operator key for work")]
#[test_case("nowhere", None, Some(PRINT_KEY), RefusalCode::UnknownQueue ; "unknown queue")]
#[test_case("prices", None, Some(PRINT_KEY), RefusalCode::Invalid ; "job in a request queue")]
#[tokio::test]
async fn job_is_refused(queue: &str, team: Option<&str>, key: Option<&str>, code: RefusalCode) {
    let daemon = TestDaemon::start(json!({})).await;
    let answer = daemon.post("/v1/jobs", key, &job(queue, team)).await;
    let refusal = answer.refusal();
    assert_eq!((refusal.code, refusal.not_run), (code, true));
    assert_eq!(answer.header("x-outcome"), "not_run");
    assert!(daemon.control.jobs.lock().expect("lock").is_empty());
}

#[test_case("proofs", None, Some(PRINT_KEY) ; "team of the key")]
#[test_case("proofs", Some("print"), Some(PRINT_KEY) ; "team named")]
#[test_case("drop", None, None ; "open queue")]
#[test_case("drop", Some("print"), None ; "open queue, first team named")]
#[tokio::test]
async fn job_is_accepted_for_print(queue: &str, team: Option<&str>, key: Option<&str>) {
    let daemon = TestDaemon::start(json!({})).await;
    let answer = daemon.post("/v1/jobs", key, &job(queue, team)).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(answer.json()["team"], "print");
}

/// Guards against requests that are routed without a key or with a wrong one.
#[test_case(&[("x-queue", "prices")], RefusalCode::Unauthenticated ; "no key")]
#[test_case(&[("x-queue", "prices"), ("authorization", "Basic abc")], RefusalCode::Unauthenticated ; "other scheme")]
#[test_case(&[("x-queue", "prices"), ("authorization", "Bearer ")], RefusalCode::Unauthenticated ; "empty key")]
#[test_case(&[("x-queue", "prices"), ("x-team", "print"), ("authorization", "Bearer secret-of-bags")], RefusalCode::Forbidden ; "key of another team")]
#[test_case(&[("x-queue", "proofs"), ("authorization", "Bearer secret-of-print")], RefusalCode::Invalid ; "job queue")]
#[test_case(&[("x-queue", "none")], RefusalCode::UnknownQueue ; "unknown queue")]
#[tokio::test]
async fn request_is_refused(headers: &[(&str, &str)], code: RefusalCode) {
    let daemon = TestDaemon::start(json!({})).await;
    let answer = daemon.route(headers, b"body").await;
    assert_eq!(answer.refusal().code, code);
    assert!(answer.refusal().not_run);
    assert!(daemon.route.seen.lock().expect("lock").is_empty());
}

/// Guards against a withdrawn key that some path still accepts.
#[tokio::test]
async fn withdrawn_key_stops_working() {
    let daemon = TestDaemon::start(json!({})).await;
    let id = daemon
        .post("/v1/jobs", Some(PRINT_KEY), &job("proofs", None))
        .await
        .json()["id"]
        .clone();
    let path = format!("/v1/jobs/{}", id.as_str().expect("id"));
    assert_eq!(
        daemon.get(&path, Some(PRINT_KEY)).await.status,
        StatusCode::OK
    );
    daemon.control.withdraw("k-print");
    let bearer = format!("Bearer {PRINT_KEY}");
    let headers = [("authorization", bearer.as_str()), ("x-queue", "prices")];
    let answers = [
        daemon.route(&headers, b"").await,
        daemon
            .post("/v1/jobs", Some(PRINT_KEY), &job("proofs", None))
            .await,
        daemon.get(&path, Some(PRINT_KEY)).await,
        daemon.get("/v1/jobs", Some(PRINT_KEY)).await,
        daemon.send(Method::DELETE, &path, &headers, b"").await,
    ];
    for answer in answers {
        assert_eq!(answer.refusal().code, RefusalCode::Unauthenticated);
    }
}

/// Guards against accepting keys of teams under a configuration that may be out
/// of date. Open queues and operators are not affected.
#[tokio::test]
async fn keyed_work_needs_a_current_configuration() {
    let daemon = TestDaemon::start(json!({})).await;
    daemon.control.keyed.store(false, Ordering::SeqCst);
    let bearer = format!("Bearer {PRINT_KEY}");
    let headers = [("authorization", bearer.as_str()), ("x-queue", "prices")];
    let refused = [
        daemon.route(&headers, b"").await,
        daemon
            .post("/v1/jobs", Some(PRINT_KEY), &job("proofs", None))
            .await,
        daemon.get("/v1/jobs", Some(PRINT_KEY)).await,
        daemon.route(&[("x-queue", "added-lately")], b"").await,
    ];
    for answer in refused {
        let refusal = answer.refusal();
        assert_eq!(refusal.code, RefusalCode::StaleConfiguration);
        assert!(refusal.not_run && refusal.retry_after_ms.is_some());
        assert_eq!(answer.header("retry-after"), "1");
    }
    let open = daemon.route(&[("x-queue", "open-prices")], b"").await;
    assert_eq!(open.status, StatusCode::OK);
    assert_eq!(
        daemon.get("/v1/config", Some(DESK_KEY)).await.status,
        StatusCode::OK
    );
}

/// Guards against a team that sees or cancels the jobs of another team.
#[tokio::test]
async fn team_sees_only_its_own_jobs() {
    let daemon = TestDaemon::start(json!({})).await;
    let id = daemon
        .post("/v1/jobs", Some(PRINT_KEY), &job("proofs", None))
        .await
        .json()["id"]
        .clone();
    let path = format!("/v1/jobs/{}", id.as_str().expect("id"));
    let foreign = daemon.get(&path, Some(BAGS_KEY)).await.refusal();
    assert_eq!(foreign.code, RefusalCode::NotFound);
    let bearer = format!("Bearer {BAGS_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let cancel = daemon.send(Method::DELETE, &path, &headers, b"").await;
    assert_eq!(cancel.refusal().code, RefusalCode::NotFound);
    assert_eq!(
        daemon.get("/v1/jobs", Some(BAGS_KEY)).await.json(),
        json!([])
    );
    let named = daemon.get("/v1/jobs?team=print", Some(BAGS_KEY)).await;
    assert_eq!(named.refusal().code, RefusalCode::Forbidden);
    assert_eq!(
        daemon.get("/v1/jobs", None).await.refusal().code,
        RefusalCode::Unauthenticated
    );
    let own = daemon
        .get("/v1/jobs?team=print", Some(PRINT_KEY))
        .await
        .json();
    assert_eq!(own.as_array().map(Vec::len), Some(1));
    let all = daemon.get("/v1/jobs", Some(DESK_KEY)).await.json();
    assert_eq!(all.as_array().map(Vec::len), Some(1));
    let misspelt = daemon.get("/v1/jobs?tema=print", Some(DESK_KEY)).await;
    assert_eq!(misspelt.refusal().code, RefusalCode::Invalid);
}

/// Guards against operator paths that answer without an operator key.
#[test_case("/v1/config")]
#[test_case("/v1/config?version=3")]
#[test_case("/v1/config/history")]
#[test_case("/v1/status")]
#[test_case("/v1/workers")]
#[test_case("/v1/endpoints")]
#[tokio::test]
async fn operator_path_needs_an_operator_key(path: &str) {
    let daemon = TestDaemon::start(json!({})).await;
    assert_eq!(
        daemon.get(path, None).await.refusal().code,
        RefusalCode::Unauthenticated
    );
    assert_eq!(
        daemon.get(path, Some(PRINT_KEY)).await.refusal().code,
        RefusalCode::Forbidden
    );
    assert_eq!(
        daemon.get(path, Some("guess")).await.refusal().code,
        RefusalCode::Unauthenticated
    );
    assert_eq!(
        daemon.get(path, Some(DESK_KEY)).await.status,
        StatusCode::OK
    );
}

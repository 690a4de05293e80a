//! Tests of configuration patches sent over HTTP.

mod server_support;

use futures::future::join_all;
use http::StatusCode;
use pimentochute_server::RefusalCode;
use proptest::prelude::*;
use serde_json::{Value, json};
use server_support::client::TestDaemon;
use server_support::fakes::{DESK_KEY, PRINT_KEY};
use test_case::test_case;

fn patch(id: &str, base: u64, share: u32) -> Value {
    json!({"id": id, "base_version": base, "author": "desk", "operations": [
        {"op": "set_team", "team": "print",
         "config": {"share": share, "max_tasks": 5, "max_requests": 5}},
    ]})
}

/// Guards against several operators who are all told that their concurrent
/// change is in force. The rejected ones learn the current version.
#[tokio::test]
async fn one_of_racing_patches_wins() {
    let daemon = TestDaemon::start(json!({})).await;
    let patches: Vec<Value> = (0..8).map(|n| patch(&format!("p{n}"), 3, n + 10)).collect();
    let sent = patches
        .iter()
        .map(|p| daemon.post("/v1/config/patches", Some(DESK_KEY), p));
    let answers = join_all(sent).await;
    let (won, lost): (Vec<_>, Vec<_>) = answers
        .into_iter()
        .partition(|answer| answer.status == StatusCode::OK);
    assert_eq!(won.len(), 1);
    assert_eq!(won[0].json(), json!({"outcome": "accepted", "version": 4}));
    for answer in lost {
        let refusal = answer.refusal();
        assert_eq!(
            (refusal.code, refusal.not_run),
            (RefusalCode::Conflict, true)
        );
        let body = answer.json();
        assert_eq!(
            (&body["outcome"], &body["current"]),
            (&json!("rejected"), &json!(4))
        );
    }
    let config = daemon.get("/v1/config", Some(DESK_KEY)).await.json();
    assert_eq!(config["version"], 4);
    let history = daemon
        .get("/v1/config/history", Some(DESK_KEY))
        .await
        .json();
    assert_eq!(history.as_array().map(Vec::len), Some(8));
}

/// Guards against a repeated patch that is applied twice or gets another
/// outcome.
#[tokio::test]
async fn repeated_patch_has_the_outcome_it_had() {
    let daemon = TestDaemon::start(json!({})).await;
    for _ in 0..2 {
        let answer = daemon
            .post("/v1/config/patches", Some(DESK_KEY), &patch("p1", 3, 9))
            .await;
        assert_eq!(answer.json(), json!({"outcome": "accepted", "version": 4}));
    }
}

#[test_case(None, RefusalCode::Unauthenticated ; "no key")]
#[test_case(Some(PRINT_KEY), RefusalCode::Forbidden ; "key of a team")]
#[tokio::test]
async fn patch_needs_an_operator_key(key: Option<&str>, code: RefusalCode) {
    let daemon = TestDaemon::start(json!({})).await;
    let answer = daemon
        .post("/v1/config/patches", key, &patch("p1", 3, 9))
        .await;
    assert_eq!(answer.refusal().code, code);
    assert_eq!(daemon.control.config.lock().expect("lock").version.get(), 3);
}

#[test_case(&json!({"author": " "}) ; "no author")]
#[test_case(&json!({"operations": []}) ; "no operations")]
#[test_case(&json!({"operations": [{"op": "drop_all"}]}) ; "unknown operation")]
#[test_case(&json!({"id": "a b"}) ; "bad id")]
#[test_case(&json!({"force": true}) ; "unknown field")]
#[tokio::test]
async fn malformed_patch_names_the_place(change: &Value) {
    let daemon = TestDaemon::start(json!({})).await;
    let mut patch = patch("p1", 3, 9);
    for (name, value) in change.as_object().expect("object") {
        patch[name] = value.clone();
    }
    let refusal = daemon
        .post("/v1/config/patches", Some(DESK_KEY), &patch)
        .await
        .refusal();
    assert_eq!(
        (refusal.code, refusal.not_run),
        (RefusalCode::Invalid, true)
    );
    assert_eq!(daemon.control.config.lock().expect("lock").version.get(), 3);
}

#[tokio::test]
async fn forgotten_version_is_not_found() {
    let daemon = TestDaemon::start(json!({})).await;
    let answer = daemon.get("/v1/config?version=1", Some(DESK_KEY)).await;
    assert_eq!(answer.refusal().code, RefusalCode::NotFound);
    let answer = daemon.get("/v1/config?version=x", Some(DESK_KEY)).await;
    assert_eq!(answer.refusal().code, RefusalCode::Invalid);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// Guards against arbitrary bytes that cause a panic or a change.
    #[test]
    fn arbitrary_bytes_change_nothing(bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 8)) {
        let runtime = tokio::runtime::Runtime::new().expect("runtime");
        runtime.block_on(async {
            let daemon = TestDaemon::start(json!({})).await;
            let bearer = format!("Bearer {DESK_KEY}");
            let headers = [("authorization", bearer.as_str())];
            for body in bodies {
                let answer = daemon
                    .send(http::Method::POST, "/v1/config/patches", &headers, &body)
                    .await;
                assert_eq!(answer.refusal().code, RefusalCode::Invalid);
            }
            assert_eq!(daemon.control.config.lock().expect("lock").version.get(), 3);
        });
    }
}

//! Tests of the commands that call a host.

mod server_support;

use pimentochute_base::{KeyDigest, MilliSpan};
use pimentochute_route::RouteError;
use pimentochute_server::SubmitError;
use serde_json::{Value, json};
use server_support::client::TestDaemon;
use server_support::fakes::{BAGS_KEY, DESK_KEY, PRINT_KEY};
use server_support::program::{Run, run};
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Runs a command with `--server` set to the daemon.
async fn call(daemon: &TestDaemon, key: Option<&str>, arguments: &[&str]) -> Run {
    let server = daemon.public.to_string();
    let mut all = arguments.to_vec();
    all.extend(["--server", &server]);
    run(key, &all).await
}

async fn start() -> TestDaemon {
    TestDaemon::start(json!({})).await
}

#[tokio::test]
async fn team_is_set_listed_and_removed() {
    let daemon = start().await;
    let new = ["team", "set", "export", "--share", "2", "--max-tasks", "4"];
    let incomplete = call(&daemon, Some(DESK_KEY), &new).await;
    assert_eq!(incomplete.code, 2);
    assert!(
        incomplete.stderr.contains("--max-requests is missing"),
        "{incomplete:?}"
    );
    let complete = [&new[..], &["--max-requests", "6"]].concat();
    let set = call(&daemon, Some(DESK_KEY), &complete).await;
    assert_eq!(
        (set.code, set.stdout.as_str()),
        (0, "accepted as version 4\n")
    );
    let change = ["team", "set", "export", "--max-tasks", "9", "--json"];
    let changed = call(&daemon, Some(DESK_KEY), &change).await;
    assert_eq!(changed.json(), json!({"outcome": "accepted", "version": 5}));
    let list = call(&daemon, Some(DESK_KEY), &["team", "list", "--json"])
        .await
        .json();
    assert_eq!(
        list["export"],
        json!({"share": 2, "max_tasks": 9, "max_requests": 6})
    );
    let removed = call(&daemon, Some(DESK_KEY), &["team", "remove", "export"]).await;
    assert_eq!(removed.code, 0);
    let list = call(&daemon, Some(DESK_KEY), &["team", "list"]).await;
    assert!(
        !list.stdout.contains("export") && list.stdout.contains("print"),
        "{list:?}"
    );
    let history = call(&daemon, Some(DESK_KEY), &["config", "history"]).await;
    assert_eq!(history.stdout.matches("tester").count(), 3, "{history:?}");
}

/// Guards against a secret that is sent to the host, stored there or printed a
/// second time, and against a withdrawn key that still works.
#[tokio::test]
async fn granted_key_works_until_it_is_withdrawn() {
    let daemon = start().await;
    let grant = ["key", "grant", "k-new", "--team", "bags"];
    let granted = call(&daemon, Some(DESK_KEY), &grant).await;
    assert_eq!(granted.code, 0, "{granted:?}");
    let secret = granted.stdout.trim();
    assert_eq!(secret.len(), 64);
    let config = daemon
        .control
        .config
        .lock()
        .expect("lock is not poisoned")
        .clone();
    let key = &config.keys["k-new"];
    assert!(key.digest == KeyDigest::of(secret));
    let shown = call(&daemon, Some(DESK_KEY), &["config", "show"]).await;
    assert!(
        shown.stdout.contains("k-new") && !shown.stdout.contains(secret),
        "{shown:?}"
    );
    let send = ["request", "send", "--queue", "prices", "--team", "bags"];
    assert_eq!(call(&daemon, Some(secret), &send).await.code, 0);
    let withdraw = ["key", "withdraw", "k-new"];
    assert_eq!(call(&daemon, Some(DESK_KEY), &withdraw).await.code, 0);
    let refused = call(&daemon, Some(secret), &send).await;
    assert_eq!(refused.code, 3);
    assert!(
        refused.stderr.contains("unauthenticated (not run)"),
        "{refused:?}"
    );
}

#[tokio::test]
async fn queue_is_set_listed_and_removed() {
    let daemon = start().await;
    let set = [
        "queue",
        "set",
        "night",
        "--kind",
        "batch",
        "--teams",
        "print,bags",
        "--priority",
        "bulk",
    ];
    assert_eq!(call(&daemon, Some(DESK_KEY), &set).await.code, 0);
    let open = ["queue", "set", "night", "--open", "true"];
    assert_eq!(call(&daemon, Some(DESK_KEY), &open).await.code, 0);
    let list = call(&daemon, Some(DESK_KEY), &["queue", "list", "--json"])
        .await
        .json();
    let expected = json!({
        "kind": "batch", "open": true, "teams": ["print", "bags"], "priority": "bulk",
    });
    assert_eq!(list["night"], expected);
    assert_eq!(
        call(&daemon, Some(DESK_KEY), &["queue", "remove", "night"])
            .await
            .code,
        0
    );
}

/// Guards against an exit code that hides that another patch came first: the
/// patch is built on version 1 while version 3 is in force.
#[tokio::test]
async fn rejected_patch_exits_with_its_own_code() {
    let daemon = start().await;
    let change = json!({"id": "p1", "base_version": 1, "author": "desk", "operations":
        [{"op": "remove_queue", "queue": "drop"}]});
    let path = std::env::temp_dir().join(format!("pimentochute-{}-patch.json", std::process::id()));
    std::fs::write(&path, change.to_string()).expect("write a temporary file");
    let file = path.to_str().expect("path in UTF-8");
    let rejected = call(&daemon, Some(DESK_KEY), &["config", "patch", file]).await;
    assert_eq!(rejected.code, 5, "{rejected:?}");
    assert!(
        rejected.stderr.contains("version 3 is in force"),
        "{rejected:?}"
    );
    std::fs::write(
        &path,
        change.to_string().replace(":1", ":3").replace("p1", "p2"),
    )
    .expect("write a temporary file");
    let accepted = call(&daemon, Some(DESK_KEY), &["config", "patch", file]).await;
    assert_eq!(accepted.code, 0, "{accepted:?}");
    std::fs::write(&path, "{\"id\": 5}").expect("write a temporary file");
    let malformed = call(&daemon, Some(DESK_KEY), &["config", "patch", file]).await;
    assert_eq!(malformed.code, 2, "{malformed:?}");
    let _ = std::fs::remove_file(&path);
}

/// Guards against a grant with an unknown outcome that is reported as refused,
/// or whose secret is lost although the key may come into force.
#[tokio::test]
async fn secret_is_printed_when_the_grant_outcome_is_unknown() {
    let daemon = TestDaemon::start(json!({"http": {"retry_after_ms": 10}})).await;
    daemon.control.fail_with(Some(SubmitError::Unknown));
    let grant = ["key", "grant", "k-new", "--team", "bags"];
    let unknown = call(&daemon, Some(DESK_KEY), &grant).await;
    assert_eq!(
        (unknown.code, unknown.stdout.trim().len()),
        (4, 64),
        "{unknown:?}"
    );
    daemon.control.fail_with(Some(SubmitError::NotRecorded));
    let refused = call(&daemon, Some(DESK_KEY), &grant).await;
    assert_eq!(
        (refused.code, refused.stdout.as_str()),
        (3, ""),
        "{refused:?}"
    );
}

#[tokio::test]
async fn job_is_submitted_shown_and_cancelled() {
    let daemon = start().await;
    let submit = [
        "job",
        "submit",
        "--queue",
        "proofs",
        "--idempotency-key",
        "order-1",
        "--command",
        "render 1",
        "--cpu-millis",
        "500",
        "--memory-mib",
        "64",
        "--tasks",
        "2",
        "--json",
    ];
    let job = call(&daemon, Some(PRINT_KEY), &submit).await.json();
    assert_eq!(job["status"], "waiting");
    let id = job["id"].as_str().expect("job id in the output");
    assert_eq!(
        call(&daemon, Some(PRINT_KEY), &submit).await.json()["id"],
        id
    );
    let list = call(&daemon, Some(PRINT_KEY), &["job", "list"]).await;
    assert!(list.stdout.contains(id), "{list:?}");
    let foreign = call(&daemon, Some(BAGS_KEY), &["job", "status", id]).await;
    assert_eq!(foreign.code, 1, "{foreign:?}");
    let cancelled = call(&daemon, Some(PRINT_KEY), &["job", "cancel", id]).await;
    assert_eq!(cancelled.stdout, format!("{id}  cancelled\n"));
    let (spec, _) = daemon
        .control
        .jobs
        .lock()
        .expect("lock is not poisoned")
        .values()
        .next()
        .expect("one submitted job")
        .clone();
    assert_eq!(
        (spec.tasks, spec.demand.cpu_millis, spec.demand.memory_mib),
        (2, 500, 64)
    );
}

#[tokio::test]
async fn request_passes_body_and_answer_unchanged() {
    let daemon = start().await;
    let path = std::env::temp_dir().join(format!("pimentochute-{}-body", std::process::id()));
    std::fs::write(&path, b"a\nb").expect("write a temporary file");
    let file = path.to_str().expect("path in UTF-8");
    let send = [
        "request",
        "send",
        "--queue",
        "open-prices",
        "--id",
        "r-7",
        "--deadline-ms",
        "4000",
        "--idempotent",
        "--body-file",
        file,
    ];
    let plain = call(&daemon, None, &send).await;
    assert_eq!(
        (plain.code, plain.stdout.as_str()),
        (0, "echo a\nb"),
        "{plain:?}"
    );
    let answer = call(&daemon, None, &[&send[..], &["--json"]].concat())
        .await
        .json();
    let expected = json!({
        "status": 200, "request_id": "r-7", "endpoint": "e1", "attempts": 1, "body": "echo a\nb",
    });
    assert_eq!(answer, expected);
    let seen = daemon.route.seen.lock().expect("lock is not poisoned")[0].clone();
    assert!(seen.idempotent && seen.deadline <= MilliSpan::new(4_000));
    let _ = std::fs::remove_file(&path);
}

/// Guards against an exit code that makes a script repeat a request that may
/// have run.
#[test_case(RouteError::OutcomeUnknown, 4 ; "outcome unknown")]
#[test_case(RouteError::DeadlineBeforeSend, 3 ; "deadline")]
#[test_case(RouteError::RefusedByEndpoint, 3 ; "refused by the endpoint")]
#[tokio::test]
async fn exit_code_shows_whether_a_request_ran(error: RouteError, code: i32) {
    let daemon = start().await;
    *daemon.route.error.lock().expect("lock is not poisoned") = Some(error);
    let run = call(
        &daemon,
        None,
        &["request", "send", "--queue", "open-prices"],
    )
    .await;
    assert_eq!(run.code, code, "{run:?}");
    assert_eq!(run.stderr.lines().count(), 1);
}

/// Guards against "not run" for a request whose connection broke after it was
/// sent, and against an unknown outcome for one that was never sent.
#[tokio::test]
async fn broken_connection_is_an_unknown_outcome() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind to a free port");
    let server = listener.local_addr().expect("local address").to_string();
    let send = [
        "request",
        "send",
        "--queue",
        "open-prices",
        "--server",
        &server,
    ];
    let breaking_host = async {
        let (mut stream, _) = listener.accept().await.expect("accept a connection");
        let mut head = [0; 64];
        let read = stream.read(&mut head).await.expect("read the request");
        assert!(read > 0);
    };
    let (broken, ()) = tokio::join!(run(None, &send), breaking_host);
    assert_eq!(broken.code, 4, "{broken:?}");
    drop(listener);
    let unreachable = run(None, &send).await;
    assert_eq!(unreachable.code, 3, "{unreachable:?}");
    assert!(
        unreachable.stderr.contains("nothing was sent"),
        "{unreachable:?}"
    );
}

#[test_case("status", "data centre     north" ; "status")]
#[test_case("workers", "WORKER" ; "workers")]
#[test_case("endpoints", "ENDPOINT" ; "endpoints")]
#[tokio::test]
async fn host_views_are_printed(command: &str, expected: &str) {
    let daemon = start().await;
    let plain = call(&daemon, Some(DESK_KEY), &[command]).await;
    assert!(plain.stdout.contains(expected), "{plain:?}");
    let json: Value = call(&daemon, Some(DESK_KEY), &[command, "--json"])
        .await
        .json();
    assert!(json.is_object() || json.is_array());
    assert_eq!(call(&daemon, Some(PRINT_KEY), &[command]).await.code, 3);
}

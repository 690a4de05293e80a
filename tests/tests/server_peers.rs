//! Tests of the calls between entry hosts.

mod server_support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use pimentochute_base::{HostName, JobId, MilliClock, MilliSpan};
use pimentochute_platform::AppendError;
use pimentochute_route::{PeerForward, RequestOrigin, RouteError, RoutedAnswer, RoutedRequest};
use pimentochute_server::settings::Settings;
use pimentochute_server::{
    CancellationToken, Heartbeat, HeartbeatLoop, Metrics, PeerClient, PeerCodecError, PeerError,
    PeerLink, PeerTable, Supervisor, decode_peer, encode_peer,
};
use pimentochute_state::{CellRecord, RecordTag, StampedRecord};
use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use server_support::client::{TEST_TIMEOUT, TestDaemon, daemon_settings};
use server_support::fakes::FakeHeartbeats;
use server_support::{PEER_KEY, beat, settings_of};
use test_case::test_case;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// The client side of host `a2`, which calls a daemon that runs as `a1`.
struct Caller {
    settings: Arc<Settings>,
    table: Arc<PeerTable>,
    client: Arc<PeerClient>,
}

fn caller(a1: SocketAddr, changes: &Value) -> Caller {
    let mut value = daemon_settings(changes);
    value["host"] = json!("a2");
    value["data_centres"][0]["entry_hosts"][0]["peer"] = json!(a1.to_string());
    let settings = Arc::new(settings_of(&value));
    let clock = MilliClock::system();
    let table = Arc::new(PeerTable::new(&settings, clock.now()));
    let metrics = Arc::new(Metrics::new().expect("metrics"));
    let client = PeerClient::new(settings.clone(), table.clone(), clock, metrics);
    Caller {
        settings,
        table,
        client: Arc::new(client),
    }
}

fn host(name: &str) -> HostName {
    name.parse().expect("name")
}

fn record() -> StampedRecord {
    let team = "print".parse().expect("name");
    let key = "order-1".parse().expect("name");
    StampedRecord {
        tag: RecordTag {
            host: host("a2"),
            incarnation: beat("a2", "north", 1).incarnation,
            sequence: 7,
        },
        record: CellRecord::JobCancelled {
            job: JobId::new(&team, &key),
            at: pimentochute_base::MilliTime::new(5),
        },
    }
}

fn request() -> RoutedRequest {
    RoutedRequest {
        id: "r1".to_owned(),
        team: "print".parse().expect("name"),
        service: "prices".parse().expect("name"),
        idempotent: false,
        deadline: MilliSpan::new(2_000),
        origin: RequestOrigin::Caller,
        body: bytes::Bytes::from_static(b"body"),
    }
}

#[tokio::test]
async fn heartbeats_are_exchanged() {
    let daemon = TestDaemon::start(json!({})).await;
    let caller = caller(daemon.peer, &json!({}));
    let answer = caller
        .client
        .heartbeat(&host("a1"), beat("a2", "north", 1))
        .await;
    assert_eq!(answer.expect("answer").host, host("a1"));
    let status = daemon.context.peers.status(&host("a2")).expect("recorded");
    assert_eq!(status.beat, beat("a2", "north", 1));
    let unknown = caller
        .client
        .heartbeat(&host("a1"), beat("a9", "north", 1))
        .await;
    assert!(
        matches!(unknown, Err(PeerError::Refused { .. })),
        "{unknown:?}"
    );
}

/// Guards against heartbeats that are received on only one side.
#[tokio::test]
async fn heartbeat_loop_fills_both_tables() {
    let daemon = TestDaemon::start(json!({})).await;
    let caller = caller(daemon.peer, &json!({"peers": {"heartbeat_ms": 20}}));
    let heartbeats = HeartbeatLoop {
        settings: caller.settings.clone(),
        link: caller.client.clone(),
        heartbeats: Arc::new(FakeHeartbeats("a2", "north")),
        table: caller.table.clone(),
        clock: MilliClock::system(),
    };
    let metrics = Arc::new(Metrics::new().expect("metrics"));
    let supervisor = Supervisor::new(caller.settings.supervisor, MilliClock::system(), metrics);
    let stop = CancellationToken::new();
    let run = tokio::spawn(supervisor.run(vec![heartbeats.child()], stop.clone()));
    let received = async {
        while caller.table.status(&host("a1")).is_none()
            || daemon.context.peers.status(&host("a2")).is_none()
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TEST_TIMEOUT, received)
        .await
        .expect("heartbeats received");
    stop.cancel();
    assert!(
        timeout(TEST_TIMEOUT, run)
            .await
            .expect("stops")
            .expect("no panic")
            .is_ok()
    );
}

/// Guards against records that are reported as not appended although they may
/// have been, and the reverse.
#[tokio::test]
async fn append_outcomes_keep_their_meaning() {
    let daemon = TestDaemon::start(json!({})).await;
    let caller = caller(daemon.peer, &json!({}));
    let done = caller.client.append(&host("a1"), vec![record()]).await;
    assert!(done.is_ok(), "{done:?}");
    assert_eq!(*daemon.control.appended.lock().expect("lock"), [record()]);
    *daemon.control.append_error.lock().expect("lock") = Some(|| AppendError::NotAppended {
        detail: "down".to_owned(),
    });
    let refused = caller.client.append(&host("a1"), vec![record()]).await;
    assert!(
        matches!(refused, Err(PeerError::Refused { .. })),
        "{refused:?}"
    );
    *daemon.control.append_error.lock().expect("lock") = Some(|| AppendError::OutcomeUnknown {
        detail: "lost".to_owned(),
    });
    let unknown = caller.client.append(&host("a1"), vec![record()]).await;
    assert!(
        matches!(unknown, Err(PeerError::OutcomeUnknown { .. })),
        "{unknown:?}"
    );
}

/// Guards against a configuration that changes in transit between hosts.
#[tokio::test]
async fn config_is_fetched_whole() {
    let daemon = TestDaemon::start(json!({})).await;
    let caller = caller(daemon.peer, &json!({}));
    let config = caller
        .client
        .config(&host("a1"))
        .await
        .expect("configuration");
    assert_eq!(config, **daemon.control.config.lock().expect("lock"));
}

/// Guards against a forwarded request that is forwarded again.
#[tokio::test]
async fn request_is_forwarded_once_with_its_result() {
    let daemon = TestDaemon::start(json!({})).await;
    let caller = caller(daemon.peer, &json!({}));
    let answer = caller
        .client
        .forward(&host("a1"), request())
        .await
        .expect("answer");
    assert_eq!(&answer.body[..], b"echo body");
    let seen = daemon.route.seen.lock().expect("lock")[0].clone();
    assert_eq!(seen.origin, RequestOrigin::Peer);
    let error = RouteError::Overloaded {
        retry_after: MilliSpan::new(70),
    };
    *daemon.route.error.lock().expect("lock") = Some(error.clone());
    assert_eq!(
        caller.client.forward(&host("a1"), request()).await,
        Err(error)
    );
}

/// Guards against reporting a request as not sent although a silent host may
/// have run it, and against an unknown outcome for a host that is down.
#[tokio::test]
async fn silent_and_unreachable_hosts_differ() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let quick = json!({"peers": {"call_timeout_ms": 100}});
    let to_silent = caller(silent.local_addr().expect("address"), &quick);
    let hanging = RoutedRequest {
        deadline: MilliSpan::new(50),
        ..request()
    };
    let outcome = to_silent.client.forward(&host("a1"), hanging).await;
    assert_eq!(outcome, Err(RouteError::OutcomeUnknown));
    let append = to_silent
        .client
        .heartbeat(&host("a1"), beat("a2", "north", 1))
        .await;
    assert!(
        matches!(append, Err(PeerError::OutcomeUnknown { .. })),
        "{append:?}"
    );
    let address = silent.local_addr().expect("address");
    drop(silent);
    let to_unreachable = caller(address, &quick);
    let outcome = to_unreachable.client.forward(&host("a1"), request()).await;
    assert_eq!(outcome, Err(RouteError::PeerUnreachable));
    let append = to_unreachable
        .client
        .append(&host("a1"), vec![record()])
        .await;
    assert!(
        matches!(append, Err(PeerError::Unreachable { .. })),
        "{append:?}"
    );
}

/// Guards against accepting peer calls with a wrong key.
#[tokio::test]
async fn wrong_peer_key_is_refused() {
    let daemon = TestDaemon::start(json!({})).await;
    let changes = json!({"peer_key": "another-key-of-the-tests-0123456789abc"});
    let caller = caller(daemon.peer, &changes);
    let refused = caller.client.append(&host("a1"), vec![record()]).await;
    assert!(
        matches!(refused, Err(PeerError::Refused { .. })),
        "{refused:?}"
    );
    assert!(daemon.control.appended.lock().expect("lock").is_empty());
}

/// Guards against peer paths on the public listener.
#[tokio::test]
async fn public_listener_has_no_peer_paths() {
    let daemon = TestDaemon::start(json!({})).await;
    let bearer = format!("Bearer {PEER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let answer = daemon
        .send(Method::POST, "/peer/append", &headers, b"")
        .await;
    assert_eq!(answer.status.as_u16(), 404);
}

/// A message of a newer version of the program, with fields that this one does
/// not know.
#[derive(Serialize)]
struct NewerEnvelope<'a> {
    version: u16,
    message: &'a Value,
    mood: &'static str,
}

fn newer(version: u16) -> Vec<u8> {
    let mut message = serde_json::to_value(beat("a2", "north", 1)).expect("JSON");
    message["temperature"] = json!([1, 2]);
    message["services"][0]["colour"] = json!("red");
    let envelope = NewerEnvelope {
        version,
        message: &message,
        mood: "good",
    };
    rmp_serde::to_vec_named(&envelope).expect("MessagePack")
}

/// Guards against a rolling update during which hosts of different versions
/// cannot exchange messages.
#[test]
fn unknown_fields_are_ignored_and_other_versions_are_named() {
    let read: Heartbeat = decode_peer(&newer(1)).expect("message");
    assert_eq!(read, beat("a2", "north", 1));
    let error = decode_peer::<Heartbeat>(&newer(2)).expect_err("version");
    assert!(
        matches!(error, PeerCodecError::Version { found: 2 }),
        "{error}"
    );
}

#[test_case(&RouteError::NoEndpoint { service: "prices".parse().expect("name") })]
#[test_case(&RouteError::Overloaded { retry_after: MilliSpan::new(9) })]
#[test_case(&RouteError::DeadlineBeforeSend)]
#[test_case(&RouteError::RefusedByEndpoint)]
#[test_case(&RouteError::PeerUnreachable)]
#[test_case(&RouteError::Draining)]
#[test_case(&RouteError::OutcomeUnknown)]
fn route_errors_survive_encoding(error: &RouteError) {
    let bytes = encode_peer(error).expect("bytes");
    assert_eq!(decode_peer::<RouteError>(&bytes).expect("message"), *error);
}

#[derive(Debug, PartialEq, Deserialize)]
struct AnyMap(BTreeMap<String, u64>);

proptest! {
    /// Guards against a panic or an excessive allocation on arbitrary bytes.
    #[test]
    fn arbitrary_bytes_give_a_typed_error(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(decode_peer::<Heartbeat>(&bytes).is_err());
        prop_assert!(decode_peer::<RoutedRequest>(&bytes).is_err());
        prop_assert!(decode_peer::<RoutedAnswer>(&bytes).is_err());
        prop_assert!(decode_peer::<AnyMap>(&bytes).is_err());
    }

    /// Guards against a panic on messages with a few changed bytes.
    #[test]
    fn damaged_messages_do_not_panic(places in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4)) {
        let mut bytes = encode_peer(&beat("a2", "north", 1)).expect("bytes").to_vec();
        for (place, byte) in places {
            let place = place.index(bytes.len());
            bytes[place] = byte;
        }
        let _ = decode_peer::<Heartbeat>(&bytes);
    }
}

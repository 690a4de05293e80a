//! Tests of the table of received heartbeats.

mod server_support;

use pimentochute_base::{HostName, MilliSpan, MilliTime, ServiceName};
use pimentochute_server::{Heartbeat, HeartbeatError, PeerTable};
use serde_json::json;
use server_support::{beat, settings_json, settings_of};

fn table() -> PeerTable {
    PeerTable::new(&settings_of(&settings_json()), MilliTime::new(100))
}

fn host(name: &str) -> HostName {
    HostName::new(name).expect("valid name")
}

fn record(table: &PeerTable, beat: Heartbeat, millis: u64) {
    let taken = table.record(beat, MilliTime::new(millis));
    taken.expect("host of the settings");
}

#[test]
fn live_hosts_have_a_recent_heartbeat() {
    let table = table();
    assert_eq!(table.live_hosts(MilliTime::new(100)), [host("a1")]);
    record(&table, beat("a3", "north", 1), 1_000);
    record(&table, beat("b1", "south", 1), 1_000);
    let live = table.live_hosts(MilliTime::new(2_999));
    assert_eq!(live, [host("a1"), host("a3")]);
    assert_eq!(table.live_hosts(MilliTime::new(3_000)), [host("a1")]);
    let south = "south".parse().expect("valid name");
    assert_eq!(
        table.live_hosts_of(&south, MilliTime::new(2_000)),
        [host("b1")]
    );
}

/// Guards against claiming the slices of hosts that have not had time to send a
/// heartbeat since this host started.
#[test]
fn silence_counts_from_the_start() {
    let table = table();
    let span = MilliSpan::new(400);
    assert_eq!(table.silence(&host("a2"), MilliTime::new(500)), span);
    assert_eq!(table.shortest_silence(MilliTime::new(500)), span);
    record(&table, beat("a2", "north", 1), 450);
    assert_eq!(
        table.silence(&host("a2"), MilliTime::new(500)),
        MilliSpan::new(50)
    );
    assert_eq!(
        table.silence(&host("a1"), MilliTime::new(500)),
        MilliSpan::ZERO
    );
}

/// Guards against a delayed heartbeat of an earlier incarnation replacing the
/// current one, and against ignoring a host for good after its clock was set
/// back.
#[test]
fn earlier_incarnation_counts_only_after_silence() {
    let table = table();
    let incarnation = |t: &PeerTable| t.status(&host("a2")).map(|s| s.beat.incarnation.get());
    record(&table, beat("a2", "north", 7), 1_000);
    record(&table, beat("a2", "north", 6), 1_500);
    assert_eq!(incarnation(&table), Some(7));
    record(&table, beat("a2", "north", 6), 3_000);
    assert_eq!(incarnation(&table), Some(6));
}

#[test]
fn heartbeat_of_an_unknown_host_is_refused() {
    let table = table();
    let now = MilliTime::new(200);
    let unknown = table.record(beat("a9", "north", 1), now);
    assert_eq!(
        unknown,
        Err(HeartbeatError::UnknownHost { host: host("a9") })
    );
    let misplaced = table.record(beat("a2", "south", 1), now);
    assert_eq!(
        misplaced,
        Err(HeartbeatError::UnknownHost { host: host("a2") })
    );
    assert_eq!(
        table.record(beat("a1", "north", 1), now),
        Err(HeartbeatError::OwnName)
    );
}

/// Guards against forwarding requests to a host that is draining.
#[test]
fn draining_host_is_live_but_not_staying() {
    let table = table();
    let draining = Heartbeat {
        draining: true,
        ..beat("a2", "north", 1)
    };
    record(&table, draining, 1_000);
    let now = MilliTime::new(1_100);
    assert_eq!(table.live_hosts(now), [host("a1"), host("a2")]);
    assert_eq!(table.staying_hosts(now), [host("a1")]);
    let service = ServiceName::new("prices").expect("valid name");
    assert!(table.free_capacity(&service, now).is_empty());
    record(&table, beat("a2", "north", 1), 1_050);
    assert_eq!(table.free_capacity(&service, now).len(), 1);
}

/// Guards against a `peers.live_ms` setting that has no effect.
#[test]
fn live_time_comes_from_the_settings() {
    let mut value = settings_json();
    value["peers"] = json!({"live_ms": 300, "heartbeat_ms": 100});
    let table = PeerTable::new(&settings_of(&value), MilliTime::ZERO);
    record(&table, beat("a2", "north", 1), 0);
    assert!(table.is_live(&host("a2"), MilliTime::new(299)));
    assert!(!table.is_live(&host("a2"), MilliTime::new(300)));
}

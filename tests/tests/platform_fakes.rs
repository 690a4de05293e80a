//! Tests of the in-memory fakes, on which other tests rely.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use pimentochute_base::{LogOffset, MilliClock, MilliSpan, MilliTime, StreamName};
use pimentochute_platform::{
    AppendError, EndpointDialer, EndpointRequest, HostDirectory, HostEntry, HostRole, HostStatus,
    LogService, ReadError, SendError,
};
use pimentochute_standins::RetentionLimit;
use pimentochute_tests::{EndpointFault, FakeDialer, FakeDirectory, FakeEndpoint, FakeLog};
use test_case::test_case;

/// Exceeds the time limit of a test, so that only a wake-up can end the wait.
const LONG: MilliSpan = MilliSpan::new(600_000);
const SHORT: MilliSpan = MilliSpan::new(20);

fn clock() -> MilliClock {
    MilliClock::manual(MilliTime::ZERO)
}

fn stream() -> StreamName {
    StreamName::new("cell.north").expect("valid name")
}

async fn append(log: &FakeLog, payload: &'static str) -> Result<LogOffset, AppendError> {
    log.append(&stream(), Bytes::from(payload)).await
}

/// Guards against a waiting read that is not woken by an append or an outage.
#[test_case(false ; "append")]
#[test_case(true ; "outage")]
#[tokio::test]
async fn waiting_read_wakes_on_a_change(outage: bool) {
    let log = FakeLog::new(clock());
    let reader = log.new_link();
    let (name, other) = (stream(), stream());
    let read = reader.read(&name, LogOffset::new(0), 10, LONG);
    let change = async {
        tokio::task::yield_now().await;
        if outage {
            log.set_down(true);
        } else {
            log.append_now(&other, Bytes::from("a"));
        }
    };
    let (batch, ()) = futures::future::join(read, change).await;
    match batch {
        Ok(batch) => assert!(!outage && batch.records[0].payload == "a"),
        Err(error) => assert!(outage && matches!(error, ReadError::Unavailable { .. })),
    }
}

/// Guards against an error of the fake that misreports the effect of the append.
#[tokio::test]
async fn append_errors_state_the_effect() {
    let log = FakeLog::new(clock());
    log.set_down(true);
    let down = append(&log, "down").await;
    assert!(matches!(down, Err(AppendError::NotAppended { .. })));
    log.set_down(false);
    log.set_loses_answers(true);
    let lost = append(&log, "lost").await;
    assert!(matches!(lost, Err(AppendError::OutcomeUnknown { .. })));
    log.set_loses_answers(false);
    log.set_holds_appends(true);
    let held = append(&log, "held").await;
    assert!(matches!(held, Err(AppendError::OutcomeUnknown { .. })));
    log.set_holds_appends(false);
    append(&log, "later").await.expect("log is up");
    log.deliver_held();
    let records = log.records(&stream());
    let payloads: Vec<_> = records
        .iter()
        .map(|record| record.payload.clone())
        .collect();
    assert_eq!(payloads, ["lost", "later", "held"]);
}

/// Guards against a reader that skips expired records without an error.
#[test_case(Some(2), None, 0 ; "by count")]
#[test_case(None, Some(100), 100 ; "by age")]
#[tokio::test]
async fn read_behind_retention_is_told_the_first_offset(
    records: Option<usize>,
    age: Option<u64>,
    advance: u64,
) {
    let clock = clock();
    let limit = RetentionLimit {
        records,
        age: age.map(MilliSpan::new),
    };
    let log = FakeLog::with_retention(clock.clone(), limit);
    append(&log, "a").await.expect("log is up");
    append(&log, "b").await.expect("log is up");
    clock.advance(MilliSpan::new(advance));
    append(&log, "c").await.expect("log is up");
    let read = log
        .read(&stream(), LogOffset::new(0), 10, MilliSpan::ZERO)
        .await;
    let Err(ReadError::BehindRetention { first_retained }) = read else {
        panic!("offset 0 has expired, but the read returned {read:?}");
    };
    let batch = log
        .read(&stream(), first_retained, 10, MilliSpan::ZERO)
        .await;
    let batch = batch.expect("kept");
    assert_eq!(batch.tail, LogOffset::new(3));
    assert_eq!(
        batch.records.last().map(|last| last.offset),
        Some(LogOffset::new(2))
    );
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn endpoint(slots: u32) -> (FakeDialer, FakeEndpoint) {
    let dialer = FakeDialer::new(clock());
    let endpoint = dialer.add(address(), slots, 64);
    (dialer, endpoint)
}

fn request(id: &str, body: &'static str) -> EndpointRequest {
    EndpointRequest {
        id: id.to_owned(),
        idempotent: false,
        deadline: LONG,
        body: Bytes::from(body),
    }
}

/// Guards against an error of the fake that misreports whether the request ran, and
/// against a connection that works again after an error.
#[test_case(EndpointFault::Silent, 0 ; "silent")]
#[test_case(EndpointFault::AnswerLost, 1 ; "answer lost")]
#[test_case(EndpointFault::Truncated, 1 ; "truncated")]
#[test_case(EndpointFault::Crossed, 1 ; "crossed")]
#[tokio::test]
async fn faulty_connection_is_not_used_again(fault: EndpointFault, runs: usize) {
    let (dialer, endpoint) = endpoint(8);
    let mut connection = dialer.connect(address(), SHORT).await.expect("accepts");
    endpoint.set_fault(fault);
    let answer = connection.send(request("q1", "x"), SHORT).await;
    let crossed = matches!(answer, Err(SendError::Mismatch));
    let unknown = matches!(answer, Err(SendError::OutcomeUnknown { .. }));
    assert!(if fault == EndpointFault::Crossed {
        crossed
    } else {
        unknown
    });
    assert_eq!(endpoint.ledger().run_count("q1"), runs);
    endpoint.set_fault(EndpointFault::None);
    assert!(connection.probe(SHORT).await.is_err());
    let again = connection.send(request("q2", "x"), SHORT).await;
    assert!(matches!(again, Err(SendError::NotSent { .. })));
    let mut fresh = dialer.connect(address(), SHORT).await.expect("accepts");
    let answer = fresh
        .send(request("q3", "x"), SHORT)
        .await
        .expect("answers");
    assert_eq!((answer.status, answer.body), (200, Bytes::from("x")));
}

/// Guards against a request beyond the slots that runs or is not counted, and
/// against a run that frees its slot when its caller gives up.
#[tokio::test]
async fn excess_request_is_refused_and_an_abandoned_run_keeps_its_slot() {
    let (dialer, endpoint) = endpoint(1);
    let mut first = dialer.connect(address(), SHORT).await.expect("accepts");
    let mut second = dialer.connect(address(), SHORT).await.expect("accepts");
    let abandoned = first.send(request("q1", "sleep 60000"), LONG);
    let waited = tokio::time::timeout(Duration::from_millis(5), abandoned).await;
    assert!(waited.is_err());
    let refused = second
        .send(request("q2", "x"), SHORT)
        .await
        .expect("answers");
    assert!(refused.not_run && refused.status == 503);
    let ledger = endpoint.ledger();
    assert_eq!((ledger.slot_violations, ledger.run_count("q2")), (1, 0));
    assert!(matches!(
        first.send(request("q3", "x"), SHORT).await,
        Err(SendError::NotSent { .. })
    ));
    drop((first, second));
    assert_eq!(endpoint.open_connections(), 0);
}

#[tokio::test]
async fn hanging_endpoint_takes_the_whole_connect_timeout() {
    let (dialer, endpoint) = endpoint(8);
    endpoint.set_hangs(true);
    let waited = tokio::time::timeout(SHORT.as_duration(), dialer.connect(address(), LONG));
    assert!(waited.await.is_err());
    assert!(dialer.connect(address(), SHORT).await.is_err());
    assert_eq!(endpoint.opened_connections(), 0);
}

/// Guards against silenced connections that answer again.
#[tokio::test]
async fn silenced_connections_stay_silent_while_new_ones_work() {
    let (dialer, endpoint) = endpoint(8);
    let mut old = dialer.connect(address(), SHORT).await.expect("accepts");
    endpoint.silence_open_connections();
    let mut new = dialer.connect(address(), SHORT).await.expect("accepts");
    assert!(old.probe(SHORT).await.is_err());
    assert!(new.probe(SHORT).await.is_ok());
    endpoint.close_open_connections();
    assert!(matches!(
        new.send(request("q1", "x"), SHORT).await,
        Err(SendError::NotSent { .. })
    ));
}

#[tokio::test]
async fn frozen_list_does_not_show_a_leaving_host() {
    let directory = FakeDirectory::new();
    let entry = HostEntry {
        name: "e1".to_owned(),
        role: HostRole::Endpoint,
        data_centre: "north".parse().expect("valid name"),
        address: address(),
        status: HostStatus::Live,
        rack: None,
        service: None,
        slots: 8,
        connections: 64,
    };
    directory.put(entry);
    directory.set_frozen(true);
    directory.set_status(HostRole::Endpoint, "e1", HostStatus::Leaving);
    let hosts = directory.hosts().await.expect("is up");
    assert_eq!(hosts[0].status, HostStatus::Live);
    directory.set_frozen(false);
    let hosts = directory.hosts().await.expect("is up");
    assert_eq!(hosts[0].status, HostStatus::Leaving);
    directory.set_down(true);
    assert!(directory.hosts().await.is_err());
}

//! Tests of the log and host list clients with the platform stand-in.

use bytes::Bytes;
use pimentochute_base::{LogOffset, MilliClock, MilliSpan, MilliTime, StreamName};
use pimentochute_platform::wire::{AppendRequest, WireError};
use pimentochute_platform::{
    AppendError, Authority, HostDirectory, HostEntry, HostRole, HostStatus, HttpDirectory, HttpLog,
    LogService, ReadError,
};
use pimentochute_standins::{
    FaultSet, HostRegistration, LeavingSwitch, PlatformStandin, RetentionLimit, RunningServer,
    serve_local,
};
use pimentochute_tests::{RawEnd, RawServer};
use test_case::test_case;

/// Exceeds the time limit of a test, so that only a wake-up can end the wait.
const LONG: MilliSpan = MilliSpan::new(60_000);

/// The timeout of calls that are expected to time out.
const SHORT: MilliSpan = MilliSpan::new(200);

/// The upper bound for a call with the timeout [`SHORT`], also under load.
const BOUND: MilliSpan = MilliSpan::new(5_000);

struct Platform {
    clock: MilliClock,
    standin: PlatformStandin,
    server: RunningServer,
}

impl Platform {
    async fn new(limit: RetentionLimit) -> Self {
        let clock = MilliClock::manual(MilliTime::ZERO);
        let standin = PlatformStandin::new(clock.clone(), limit);
        let server = serve_local(&standin).await.expect("an idle port");
        Self {
            clock,
            standin,
            server,
        }
    }

    fn authority(&self) -> Authority {
        self.server
            .address()
            .to_string()
            .parse()
            .expect("an authority")
    }

    fn log(&self) -> HttpLog {
        HttpLog::new(self.authority()).with_timeout(SHORT + LONG)
    }

    fn directory(&self) -> HttpDirectory {
        HttpDirectory::new(self.authority())
    }

    fn set(&self, change: impl FnOnce(&mut FaultSet)) {
        let mut faults = FaultSet::default();
        change(&mut faults);
        self.standin.set_faults(faults);
    }
}

fn stream() -> StreamName {
    StreamName::new("cell.north").expect("valid name")
}

async fn append(log: &HttpLog, payload: &'static str) -> Result<LogOffset, AppendError> {
    log.append(&stream(), Bytes::from(payload)).await
}

async fn payloads(log: &HttpLog, from: u64) -> Result<Vec<Bytes>, ReadError> {
    let from = LogOffset::new(from);
    let batch = log.read(&stream(), from, 100, MilliSpan::ZERO).await?;
    Ok(batch
        .records
        .into_iter()
        .map(|record| record.payload)
        .collect())
}

/// Guards against a payload that is changed in transport.
#[tokio::test]
async fn payload_arrives_as_it_was_appended() {
    let platform = Platform::new(RetentionLimit::default()).await;
    let log = platform.log();
    let sent = [
        "{\"a\": [1, 2]}",
        "",
        "\"\\\n\u{0}\u{7f}é🦀",
        "{ \"spaces\" : 1 }",
    ];
    for (payload, offset) in sent.into_iter().zip(0..) {
        let given = append(&log, payload).await.expect("log is up");
        assert_eq!(given, LogOffset::new(offset));
    }
    assert_eq!(payloads(&log, 0).await.expect("log is up"), sent);
    assert_eq!(payloads(&log, 2).await.expect("log is up"), sent[2..]);
}

/// Guards against a waiting read that is not woken by an append.
#[tokio::test]
async fn waiting_read_is_answered_by_an_append() {
    let platform = Platform::new(RetentionLimit::default()).await;
    let (log, name) = (platform.log(), stream());
    let read = log.read(&name, LogOffset::new(0), 10, LONG);
    let write = append(&log, "a");
    let both = futures::future::join(read, write);
    let (batch, _) = tokio::time::timeout(BOUND.as_duration(), both)
        .await
        .expect("the append wakes the read");
    assert_eq!(batch.expect("log is up").records[0].payload, "a");
}

/// Guards against a waiting read that is not woken by an outage.
#[tokio::test]
async fn waiting_read_fails_when_the_log_goes_down() {
    let platform = Platform::new(RetentionLimit::default()).await;
    let (log, name) = (platform.log(), stream());
    let read = tokio::spawn(async move { log.read(&name, LogOffset::new(0), 10, LONG).await });
    tokio::time::sleep(SHORT.as_duration()).await;
    platform.set(|faults| faults.down = true);
    let answer = tokio::time::timeout(BOUND.as_duration(), read).await;
    let answer = answer.expect("the outage ends the read").expect("no panic");
    assert!(matches!(answer, Err(ReadError::Unavailable { .. })));
}

/// Guards against a reader that skips expired records without an error.
#[test_case(Some(2), None ; "by count")]
#[test_case(None, Some(100) ; "by age")]
#[tokio::test]
async fn read_behind_retention_names_the_first_offset(records: Option<usize>, age: Option<u64>) {
    let age = age.map(MilliSpan::new);
    let platform = Platform::new(RetentionLimit { records, age }).await;
    let log = platform.log();
    append(&log, "a").await.expect("log is up");
    platform.clock.advance(MilliSpan::new(50));
    append(&log, "b").await.expect("log is up");
    platform.clock.advance(MilliSpan::new(50));
    append(&log, "c").await.expect("log is up");
    let behind = payloads(&log, 0).await;
    let Err(ReadError::BehindRetention { first_retained }) = behind else {
        panic!("offset 0 has expired, but the read returned {behind:?}");
    };
    assert_eq!(first_retained, LogOffset::new(1));
    assert_eq!(payloads(&log, 1).await.expect("kept"), ["b", "c"]);
}

/// Guards against "not appended" for a record that was appended.
#[tokio::test]
async fn append_whose_answer_is_lost_is_reported_as_unknown() {
    let platform = Platform::new(RetentionLimit::default()).await;
    let log = platform.log();
    append(&log, "a").await.expect("log is up");
    platform.set(|faults| faults.lose_answers = true);
    let lost = append(&log, "b").await;
    assert!(
        matches!(lost, Err(AppendError::OutcomeUnknown { .. })),
        "{lost:?}"
    );
    platform.set(|_| {});
    assert_eq!(payloads(&log, 0).await.expect("log is up"), ["a", "b"]);
}

/// Guards against "outcome unknown" for a record that has certainly not been
/// appended. The caller could otherwise not be told that the job was not accepted.
#[tokio::test]
async fn append_that_the_log_refuses_is_reported_as_not_appended() {
    let platform = Platform::new(RetentionLimit::default()).await;
    let log = platform.log();
    platform.set(|faults| faults.down = true);
    let down = append(&log, "a").await;
    assert!(
        matches!(down, Err(AppendError::NotAppended { .. })),
        "{down:?}"
    );
    platform.set(|_| {});
    assert!(payloads(&log, 0).await.expect("log is up").is_empty());
    platform.server.stop().await;
    let fresh = HttpLog::new("127.0.0.1:1".parse().expect("an authority"));
    let gone = append(&fresh, "a").await;
    assert!(
        matches!(gone, Err(AppendError::NotAppended { .. })),
        "{gone:?}"
    );
}

/// Guards against a call without a timeout, and against a pooled connection that is
/// used again after a timeout.
#[tokio::test]
async fn silent_connection_costs_one_bounded_call() {
    let platform = Platform::new(RetentionLimit::default()).await;
    let log = platform.log().with_timeout(SHORT);
    append(&log, "a").await.expect("log is up");
    platform.set(|faults| faults.silent = true);
    let clock = MilliClock::system();
    let silent = append(&log, "b").await;
    assert!(
        matches!(silent, Err(AppendError::OutcomeUnknown { .. })),
        "{silent:?}"
    );
    assert!(clock.now().since(MilliTime::ZERO) < BOUND);
    platform.set(|_| {});
    append(&log, "c").await.expect("a new connection works");
    assert_eq!(payloads(&log, 0).await.expect("log is up"), ["a", "c"]);
}

/// Guards against a payload that is not UTF-8 being converted and sent.
#[tokio::test]
async fn non_utf8_payload_is_refused() {
    let platform = Platform::new(RetentionLimit::default()).await;
    let log = platform.log();
    let payload = Bytes::from_static(b"ab\xff");
    let request = AppendRequest::new(&payload);
    assert!(matches!(
        request,
        Err(WireError::NotUtf8 { valid_up_to: 2 })
    ));
    let refused = log.append(&stream(), payload.clone()).await;
    assert!(matches!(refused, Err(AppendError::NotAppended { .. })));
    assert!(payloads(&log, 0).await.expect("log is up").is_empty());
}

/// Guards against a reader that never gets past a sequence of large records.
#[tokio::test]
async fn answer_beyond_the_limit_is_read_in_parts() {
    let platform = Platform::new(RetentionLimit::default()).await;
    let log = platform.log().with_max_answer_bytes(400);
    for _ in 0..8 {
        append(&log, "0123456789012345678901234567890123456789")
            .await
            .expect("log is up");
    }
    let part = payloads(&log, 0).await.expect("a part fits");
    assert!(!part.is_empty() && part.len() < 8);
    let log = log.with_max_answer_bytes(40);
    let none = payloads(&log, 0).await;
    assert!(matches!(none, Err(ReadError::Unavailable { .. })));
}

/// Guards against a malformed answer that is accepted as that to an append.
#[test_case(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}" ; "wrong shape")]
#[test_case(b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{\"offset\":1}" ; "truncated")]
#[test_case(b"HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n" ; "server error")]
#[test_case(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n" ; "unavailable without the not-run header")]
#[test_case(b"not http at all\r\n\r\n" ; "other protocol")]
#[test_case(b"" ; "empty answer")]
#[tokio::test]
async fn malformed_answer_leaves_the_append_unknown(answer: &[u8]) {
    let server = RawServer::new(answer.to_vec(), RawEnd::Close)
        .await
        .expect("an idle port");
    let log = HttpLog::new(server.address().to_string().parse().expect("an authority"));
    let unknown = append(&log, "a").await;
    assert!(
        matches!(unknown, Err(AppendError::OutcomeUnknown { .. })),
        "{unknown:?}"
    );
}

fn entry(name: &str) -> HostEntry {
    HostEntry {
        name: name.to_owned(),
        role: HostRole::Worker,
        data_centre: "north".parse().expect("valid name"),
        address: "127.0.0.1:9".parse().expect("an address"),
        status: HostStatus::Live,
        rack: Some("r1".parse().expect("valid name")),
        service: None,
        slots: 0,
        connections: 0,
    }
}

async fn wait_for(directory: &HttpDirectory, status: Option<HostStatus>) {
    let wait = async {
        loop {
            let hosts = directory.hosts().await.expect("platform is up");
            if hosts.first().map(|host| host.status) == status {
                return;
            }
            tokio::time::sleep(MilliSpan::new(5).as_duration()).await;
        }
    };
    let wait = tokio::time::timeout(BOUND.as_duration(), wait).await;
    wait.expect("the list shows the host");
}

/// Guards against a leaving host that is listed as live, and against a host that
/// stays listed after it has left.
#[tokio::test]
async fn registered_host_is_listed_until_it_is_gone() {
    let platform = Platform::new(RetentionLimit::default()).await;
    let directory = platform.directory();
    let switch = LeavingSwitch::new();
    let registration = HostRegistration::new(platform.authority(), entry("w1"), &switch);
    wait_for(&directory, Some(HostStatus::Live)).await;
    assert_eq!(
        directory.hosts().await.expect("platform is up"),
        [entry("w1")]
    );
    platform.set(|faults| faults.frozen_list = true);
    switch.set(true);
    // A registration takes a few milliseconds, so it would be listed by now.
    tokio::time::sleep(SHORT.as_duration()).await;
    let frozen = directory.hosts().await.expect("platform is up");
    assert_eq!(frozen[0].status, HostStatus::Live);
    platform.set(|_| {});
    wait_for(&directory, Some(HostStatus::Leaving)).await;
    drop(registration);
    platform.clock.advance(LONG);
    wait_for(&directory, None).await;
}

/// Guards against accepting an incomplete or malformed list.
#[test_case(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n[1]" ; "wrong shape")]
#[test_case(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n[]" ; "truncated")]
#[test_case(b"HTTP/1.1 404 Gone\r\ncontent-length: 2\r\n\r\n[]" ; "other status")]
#[tokio::test]
async fn malformed_host_list_is_an_error(answer: &[u8]) {
    let server = RawServer::new(answer.to_vec(), RawEnd::Close)
        .await
        .expect("an idle port");
    let directory = HttpDirectory::new(server.address().to_string().parse().expect("authority"));
    assert!(directory.hosts().await.is_err());
}

//! Tests of the decoders of the external interfaces.

use pimentochute_base::LogOffset;
use pimentochute_platform::wire::{
    AcquireRequest, ForgetRequest, HostMemory, ReadReply, ReleaseRequest, RenewRequest,
    ReplyRecord, StartRequest, StopRequest, WireError, decode_append, decode_gone, decode_hosts,
    decode_json, decode_read, decode_refusal,
};
use pimentochute_platform::{ControlGrant, EndpointDialer, EndpointRequest, HttpEndpointDialer};
use pimentochute_standins::{FaultSet, TaskCommand, parse_sleep};
use pimentochute_tests::{RawEnd, RawServer};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

/// Calls all decoders with the bytes. None may panic.
fn decode_all(bytes: &[u8]) {
    let _ = decode_append(bytes);
    let _ = decode_gone(bytes);
    let _ = decode_hosts(bytes);
    let _ = decode_read(bytes, LogOffset::new(3));
    let _ = decode_refusal(bytes);
    let _ = decode_json::<ControlGrant>(bytes);
    let _ = decode_json::<AcquireRequest>(bytes);
    let _ = decode_json::<RenewRequest>(bytes);
    let _ = decode_json::<ReleaseRequest>(bytes);
    let _ = decode_json::<StartRequest>(bytes);
    let _ = decode_json::<StopRequest>(bytes);
    let _ = decode_json::<ForgetRequest>(bytes);
    let _ = decode_json::<FaultSet>(bytes);
    let _ = parse_sleep(bytes);
    let _ = TaskCommand::new(&String::from_utf8_lossy(bytes));
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn arbitrary_bytes_are_not_decoded(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        decode_all(&bytes);
        prop_assert!(decode_hosts(&bytes).is_err() || bytes.trim_ascii() == b"[]");
        prop_assert!(decode_append(&bytes).is_err());
        prop_assert!(decode_read(&bytes, LogOffset::new(0)).is_err());
    }

    /// Guards against a panic on messages that are nearly valid.
    #[test]
    fn damaged_messages_do_not_panic(
        at in 0usize..200,
        byte in any::<u8>(),
        cut in 0usize..200,
    ) {
        let messages = [
            r#"{"records":[{"offset":3,"payload":"a"}],"first_retained":1,"tail":4}"#,
            r#"[{"name":"w","role":"worker","data_centre":"n","address":"127.0.0.1:1","status":"live"}]"#,
            r#"{"refusal":"held","holder":"h1"}"#,
        ];
        for message in messages {
            let mut bytes = message.as_bytes().to_vec();
            let index = at % bytes.len();
            bytes[index] = byte;
            decode_all(&bytes);
            bytes.truncate(cut % message.len());
            decode_all(&bytes);
        }
    }

    /// Guards against accepting a batch with a gap or a repeated record, after which
    /// the replicas of the hosts would diverge.
    #[test]
    fn batch_is_accepted_only_without_gaps(
        offsets in prop::collection::vec(4u64..8, 0..4),
        first_retained in 0u64..8,
        tail in 0u64..10,
    ) {
        let from = 4;
        let records = offsets.iter().map(|offset| ReplyRecord {
            offset: LogOffset::new(*offset),
            payload: "x".to_owned(),
        });
        let reply = ReadReply {
            records: records.collect(),
            first_retained: LogOffset::new(first_retained),
            tail: LogOffset::new(tail),
        };
        let bytes = serde_json::to_vec(&reply).expect("has a JSON form");
        let decoded = decode_read(&bytes, LogOffset::new(from));
        let follows = offsets.iter().copied().eq((from..).take(offsets.len()));
        let gap_refused = matches!(decoded, Err(WireError::OffsetGap { .. }));
        prop_assert!(follows || gap_refused);
        if let Ok(batch) = decoded {
            let end = from + offsets.len() as u64;
            prop_assert!(offsets.is_empty() || first_retained <= from && tail >= end);
            prop_assert_eq!(batch.records.len(), offsets.len());
        }
    }
}

proptest! {
    #![proptest_config(config(64))]

    /// Guards against an answer that is not HTTP being accepted or blocking the
    /// caller.
    #[test]
    fn arbitrary_answer_of_an_endpoint_is_an_error(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        let answered = runtime.block_on(async {
            let server = RawServer::new(bytes, RawEnd::Close).await.expect("an idle port");
            let dialer = HttpEndpointDialer::new();
            let timeout = pimentochute_base::MilliSpan::new(5_000);
            let mut connection = dialer.connect(server.address(), timeout).await.expect("accepts");
            let request = EndpointRequest {
                id: "q1".to_owned(),
                idempotent: false,
                deadline: timeout,
                body: bytes::Bytes::new(),
            };
            connection.send(request, timeout).await.is_ok()
        });
        prop_assert!(!answered);
    }
}

const HOSTS: &str = r#"[{"name":"w","role":"worker","data_centre":"n","address":"127.0.0.1:1","status":"live"},{"name":"x","role":"worker","data_centre":"n","address":"127.0.0.1:2","status":"live"}]"#;

/// Guards against a host list that is no longer followed because of one entry.
#[test_case(r#""127.0.0.1:2""#, r#""127.0.0.1:65536""#; "port out of range")]
#[test_case(r#""status":"live"}]"#, r#""status":"live","slots":1e400}]"#; "number too large")]
#[test_case(r#""status":"live"}]"#, r#""status":"gone"}]"#; "unknown status")]
#[test_case(r#""127.0.0.1:2""#, "NESTED"; "deep nesting")]
fn an_odd_entry_of_the_host_list_costs_only_itself(part: &str, odd: &str) {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let text = HOSTS.replace(part, odd).replace("NESTED", &nested);
    assert_ne!(text, HOSTS);
    let listing = decode_hosts(text.as_bytes()).expect("a list");
    assert_eq!(listing.hosts.len(), 1);
    assert_eq!(listing.hosts[0].name, "w");
    assert_eq!(listing.unreadable[0].name.as_deref(), Some("x"));
    // A new host whose entry cannot be read is not used, and a known one has not left.
    assert_eq!(HostMemory::default().complete(listing.clone()).len(), 1);
    let mut memory = HostMemory::default();
    let valid = memory.complete(decode_hosts(HOSTS.as_bytes()).expect("a list"));
    for _ in 0..2 {
        assert_eq!(memory.complete(listing.clone()), valid);
    }
    let left = decode_hosts(b"[]").expect("a list");
    assert_eq!(memory.complete(left), []);
    assert_eq!(
        memory.complete(listing).len(),
        1,
        "the host had left before"
    );
}

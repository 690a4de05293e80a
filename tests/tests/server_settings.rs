//! Tests of the checks of the settings: every fault is listed and no secret is
//! shown.

mod server_support;

use pimentochute_base::MilliSpan;
use pimentochute_server::settings::{SettingsError, SettingsFault, check_settings};
use proptest::prelude::*;
use serde_json::{Value, json};
use server_support::{PEER_KEY, settings_json, settings_of};
use test_case::test_case;

fn faults_of(value: &Value) -> Vec<SettingsFault> {
    let text = serde_json::to_vec(value).expect("JSON value");
    match check_settings(&text) {
        Err(SettingsError::Faults { faults }) => faults,
        other => panic!("expected faults, got {other:?}"),
    }
}

fn paths_of(value: &Value) -> Vec<String> {
    let mut paths: Vec<String> = faults_of(value).into_iter().map(|f| f.path).collect();
    paths.sort();
    paths
}

/// Guards against defaults that differ from the design document.
#[test]
fn defaults_are_those_of_the_design() {
    let settings = settings_of(&settings_json());
    let millis = MilliSpan::new;
    assert_eq!(settings.slices.slices, 16);
    assert_eq!(settings.slices.takeover_ms, millis(6_000));
    assert_eq!(settings.configuration.fresh_ms, millis(5_000));
    assert_eq!(settings.configuration.key_grace_ms, millis(10_000));
    assert_eq!(settings.workers.renew_ms, millis(2_000));
    assert_eq!(settings.workers.task_lease_ms, millis(20_000));
    assert_eq!(settings.workers.control_lease_ms, millis(6_000));
    assert_eq!(settings.workers.isolation_ms, millis(5_000));
    assert_eq!(settings.peers.heartbeat_ms, millis(500));
    assert_eq!(settings.peers.remote_heartbeat_ms, millis(2_000));
    assert_eq!(settings.log.append_ms, millis(50));
    assert_eq!(settings.log.direct_append_ms, millis(500));
    assert_eq!(settings.log.snapshot_ms, millis(600_000));
    assert_eq!(settings.directory.poll_ms, millis(1_000));
    assert_eq!(settings.drain.drain_delay_ms, millis(2_000));
    assert_eq!(settings.drain.drain_limit_ms, millis(60_000));
}

/// Guards against checks that stop at the first fault: wrong types, unknown
/// fields, missing values and values out of range are listed together.
#[test]
fn every_fault_is_listed() {
    let mut value = settings_json();
    value["host"] = Value::Null;
    value["data_centres"][0]["entry_hosts"][1]["peer"] = json!("no port");
    value["data_centres"][0]["entry_hosts"][2]["public"] = Value::Null;
    value["data_centres"][1] = json!("south");
    value["listen"]["public"] = json!(7001);
    value["slices"] = json!({"takeover_ms": 1, "slises": 3});
    value["workers"] = json!({"renew_ms": "2s", "margin_percent": 51});
    value["logging"] = json!({"format": "xml"});
    value["operator_keys"] = json!([{"name": "desk", "digest": "abc"}]);
    let expected = [
        "data_centres[0].entry_hosts[1].peer",
        "data_centres[0].entry_hosts[2].public",
        "data_centres[1]",
        "host",
        "listen.public",
        "logging.format",
        "operator_keys[0].digest",
        "slices.slises",
        "slices.takeover_ms",
        "workers.margin_percent",
        "workers.renew_ms",
    ];
    assert_eq!(paths_of(&value), expected);
}

/// Guards against a repeated field that silently replaces the first value.
#[test]
fn fields_given_twice_are_faults() {
    let text = settings_json().to_string();
    let twice = text.replacen(
        '{',
        r#"{"host": "a1", "drain": {"drain_delay_ms": 1, "drain_delay_ms": 2}, "#,
        1,
    );
    let twice = twice.replacen(r#""name":"a2""#, r#""name":"a9","name":"a2""#, 1);
    let Err(SettingsError::Faults { faults }) = check_settings(twice.as_bytes()) else {
        panic!("accepted {twice}");
    };
    let mut paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    paths.sort_unstable();
    let expected = [
        "data_centres[0].entry_hosts[1].name",
        "drain.drain_delay_ms",
        "host",
    ];
    assert_eq!(paths, expected);
}

/// Guards against relations that are only checked when no value is missing.
#[test]
fn relations_are_checked_beside_missing_values() {
    let value = json!({
        "host": "a9", "data_centre": "north",
        "data_centres": settings_json()["data_centres"],
        "peer_key": "short", "drain": {"drain_limit_ms": 1000},
    });
    let expected = [
        "directory_address",
        "drain.drain_delay_ms",
        "host",
        "listen.peer",
        "listen.public",
        "log_address",
        "peer_key",
    ];
    assert_eq!(paths_of(&value), expected);
    let none = [
        "data_centre",
        "data_centres",
        "directory_address",
        "host",
        "listen.peer",
    ];
    assert_eq!(paths_of(&json!({}))[..5], none);
}

/// Guards against accepting values that are valid alone but contradict each
/// other.
#[test_case("/host", &json!("a9"), "host" ; "host of no data centre")]
#[test_case("/data_centre", &json!("east"), "data_centre" ; "unknown data centre")]
#[test_case("/data_centres/1/name", &json!("north"), "data_centres[1].name" ; "data centre twice")]
#[test_case("/data_centres/1/entry_hosts/0/name", &json!("a2"), "data_centres[1].entry_hosts[0].name" ; "host twice")]
#[test_case("/data_centres/1/entry_hosts", &json!([]), "data_centres[1].entry_hosts" ; "no hosts")]
#[test_case("/peer_key", &json!("short"), "peer_key" ; "short peer key")]
#[test_case("/peer_key", &json!(format!("{PEER_KEY}\n")), "peer_key" ; "peer key with a line end")]
#[test_case("/workers", &json!({"renew_ms": 4000}), "workers.renew_ms" ; "renewal too rare")]
#[test_case("/workers", &json!({"control_lease_ms": 11000}), "workers.control_lease_ms" ; "control outlasts tasks")]
#[test_case("/workers", &json!({"isolation_ms": 6001}), "workers.isolation_ms" ; "isolation outlasts control")]
#[test_case("/peers", &json!({"heartbeat_ms": 1500}), "peers.heartbeat_ms" ; "heartbeat too rare")]
#[test_case("/drain", &json!({"drain_limit_ms": 1000}), "drain.drain_delay_ms" ; "drain delay over the limit")]
fn related_values_are_checked(pointer: &str, found: &Value, path: &str) {
    let mut value = settings_json();
    match value.pointer_mut(pointer) {
        Some(slot) => *slot = found.clone(),
        None => value[&pointer[1..]] = found.clone(),
    }
    assert_eq!(paths_of(&value), [path]);
}

/// Guards against secrets in faults and in debug output.
#[test_case(&json!("short-secret") ; "too short")]
#[test_case(&json!(["secret-in-a-list"]) ; "wrong kind")]
#[test_case(&json!(123_456_789) ; "number")]
fn peer_key_is_not_shown(key: &Value) {
    let mut value = settings_json();
    value["peer_key"] = key.clone();
    let shown = format!("{:?}", faults_of(&value));
    assert!(!shown.contains("secret"), "{shown}");
    assert!(!shown.contains("123456789"), "{shown}");
    let valid = format!("{:?}", settings_of(&settings_json()));
    assert!(!valid.contains(PEER_KEY), "{valid}");
}

#[test_case(b"" ; "empty")]
#[test_case(b" \n\t" ; "blank")]
fn empty_settings_have_their_own_message(text: &[u8]) {
    assert_eq!(check_settings(text), Err(SettingsError::Empty));
}

#[test_case(b"{" ; "cut off")]
#[test_case(b"host: a1" ; "not json")]
#[test_case(b"\xff\xfe" ; "not utf-8")]
fn broken_json_names_the_place(text: &[u8]) {
    let result = check_settings(text);
    assert!(
        matches!(result, Err(SettingsError::Syntax { .. })),
        "{result:?}"
    );
}

#[test_case(&json!([]) ; "list")]
#[test_case(&json!(3) ; "number")]
#[test_case(&json!(null) ; "null")]
fn document_of_another_kind_is_refused(value: &Value) {
    assert!(!faults_of(value).is_empty());
}

/// Generates arbitrary JSON values of small depth.
fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 16, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map("[a-z_]{1,6}", inner, 0..4)
                .prop_map(|fields| Value::Object(fields.into_iter().collect())),
        ]
    })
}

proptest! {
    /// Guards against a panic or an endless loop on arbitrary bytes.
    #[test]
    fn arbitrary_bytes_give_a_typed_error(text in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(check_settings(&text).is_err());
    }

    /// Guards against a panic, an endless loop or an error without faults when
    /// any part of valid settings is replaced.
    #[test]
    fn replaced_parts_do_not_panic(
        field in prop::sample::select(vec![
            "host", "data_centre", "data_centres", "listen", "log_address", "directory_address",
            "peer_key", "operator_keys", "logging", "configuration", "slices", "workers", "peers",
            "log", "directory", "requests", "http", "drain", "supervisor", "unknown",
        ]),
        found in any_json(),
    ) {
        let mut value = settings_json();
        value[field] = found;
        let text = serde_json::to_vec(&value).expect("JSON value");
        if let Err(SettingsError::Faults { faults }) = check_settings(&text) {
            prop_assert!(!faults.is_empty());
        }
    }
}

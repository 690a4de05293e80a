//! Settings and fakes that the server tests share.
#![allow(dead_code)]

pub mod client;
pub mod fakes;
pub mod program;

use pimentochute_base::{ConfigVersion, HostIncarnation, MilliSpan};
use pimentochute_server::settings::{Settings, check_settings};
use pimentochute_server::{ConfigEvidence, Heartbeat, ServiceCapacity};
use serde_json::{Value, json};

/// The peer key that the hosts of the tests share.
pub const PEER_KEY: &str = "peer-key-of-the-tests-0123456789abcdef";

/// Returns the settings of host `a1` in a cell of two data centres.
pub fn settings_json() -> Value {
    json!({
        "host": "a1",
        "data_centre": "north",
        "data_centres": [
            {"name": "north", "entry_hosts": [
                {"name": "a1", "public": "127.0.0.1:7001", "peer": "127.0.0.1:7101"},
                {"name": "a2", "public": "127.0.0.1:7002", "peer": "127.0.0.1:7102"},
                {"name": "a3", "public": "127.0.0.1:7003", "peer": "127.0.0.1:7103"},
            ]},
            {"name": "south", "entry_hosts": [
                {"name": "b1", "public": "127.0.0.1:7004", "peer": "127.0.0.1:7104"},
            ]},
        ],
        "listen": {"public": "127.0.0.1:0", "peer": "127.0.0.1:0"},
        "log_address": "127.0.0.1:7200",
        "directory_address": "127.0.0.1:7201",
        "peer_key": PEER_KEY,
    })
}

/// Parses settings that must be valid.
pub fn settings_of(value: &Value) -> Settings {
    let text = serde_json::to_vec(value).expect("JSON value");
    check_settings(&text).expect("valid settings")
}

/// Returns a heartbeat with four free slots for the service `prices`.
pub fn beat(host: &str, centre: &str, run: u64) -> Heartbeat {
    Heartbeat {
        host: host.parse().expect("valid name"),
        data_centre: centre.parse().expect("valid name"),
        incarnation: HostIncarnation::new(run),
        config_version: ConfigVersion::new(1),
        evidence: ConfigEvidence::LogRead {
            age: MilliSpan::new(10),
        },
        draining: false,
        unreachable_workers: Vec::new(),
        services: vec![ServiceCapacity {
            service: "prices".parse().expect("valid name"),
            free_slots: 4,
            waiting: 0,
        }],
    }
}

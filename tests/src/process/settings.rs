//! The settings files of the entry hosts.

use std::net::SocketAddr;

use pimentochute_base::KeyDigest;
use serde_json::{Value, json};

/// The key with which hosts authenticate each other.
const PEER_KEY: &str = "peer-key-of-the-test-cell-0123456789abcdef";

/// The number of slices of every test cell.
pub const SLICE_COUNT: u16 = 8;

/// The settings that all hosts of a cell share.
#[derive(Debug, Clone)]
pub struct CellSettings {
    /// All hosts of the cell, those of a data centre next to each other.
    pub hosts: Vec<HostAddress>,
    /// The address of the stand-in of the log and the host list.
    pub platform: SocketAddr,
    /// The names of the operators and their keys.
    pub operators: Vec<(String, String)>,
    /// An object of settings groups, each of which replaces the whole group of
    /// that name in [`CellSettings::of_host`].
    pub overrides: Value,
}

/// The name and the addresses of an entry host.
#[derive(Debug, Clone)]
pub struct HostAddress {
    /// The name of the host.
    pub name: String,
    /// The name of its data centre.
    pub data_centre: String,
    /// Its address for callers and operators.
    pub public: SocketAddr,
    /// Its address for other hosts.
    pub peer: SocketAddr,
}

impl CellSettings {
    /// Returns the settings of a host.
    ///
    /// Takeover and lease times are about a third of the defaults: short enough
    /// to expire within seconds in a test, and long enough not to expire because
    /// the machine is busy.
    #[must_use]
    pub fn of_host(&self, host: &HostAddress) -> Value {
        let operators = self.operators.iter().map(|(name, secret)| {
            let digest = String::from(KeyDigest::of(secret));
            json!({"name": name, "digest": digest})
        });
        let mut settings = json!({
            "host": host.name,
            "data_centre": host.data_centre,
            "data_centres": self.data_centres(),
            "listen": {"public": host.public.to_string(), "peer": host.peer.to_string()},
            "log_address": self.platform.to_string(),
            "directory_address": self.platform.to_string(),
            "peer_key": PEER_KEY,
            "operator_keys": operators.collect::<Vec<_>>(),
            "configuration": {"fresh_ms": 2_000, "key_grace_ms": 4_000},
            "slices": {"slices": SLICE_COUNT, "takeover_ms": 2_000},
            "workers": {
                "renew_ms": 400, "control_lease_ms": 2_000, "task_lease_ms": 6_000,
                "margin_ms": 500, "isolation_ms": 1_500, "call_timeout_ms": 500,
                "stop_grace_ms": 500, "quarantine_probe_ms": 1_000,
            },
            "peers": {"heartbeat_ms": 200, "remote_heartbeat_ms": 400, "live_ms": 1_500},
            "log": {"append_ms": 20, "direct_append_ms": 100, "read_wait_ms": 500,
                "call_timeout_ms": 1_000, "outcome_wait_ms": 3_000, "snapshot_ms": 2_000},
            "directory": {"poll_ms": 200},
            // `ProcessAudit` reads log lines of this level.
            "logging": {"level": "debug"},
            "drain": {"drain_delay_ms": 500, "drain_limit_ms": 20_000},
        });
        for (name, change) in self.overrides.as_object().into_iter().flatten() {
            settings[name] = change.clone();
        }
        settings
    }

    fn data_centres(&self) -> Vec<Value> {
        let mut centres: Vec<&str> = self.hosts.iter().map(|h| h.data_centre.as_str()).collect();
        centres.dedup();
        let entry = |centre: &str| {
            let hosts = self.hosts.iter().filter(|host| host.data_centre == centre);
            let hosts = hosts.map(|host| {
                json!({
                    "name": host.name,
                    "public": host.public.to_string(),
                    "peer": host.peer.to_string(),
                })
            });
            json!({"name": centre, "entry_hosts": hosts.collect::<Vec<_>>()})
        };
        centres.into_iter().map(entry).collect()
    }
}

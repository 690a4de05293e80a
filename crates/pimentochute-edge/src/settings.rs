//! The settings of an entry host.

use std::net::{IpAddr, SocketAddr};

use derive_more::{Display, Error};
use pimentochute_base::MilliSpan;
use pimentochute_server::settings::LoggingSettings;
use pimentochute_work::CellPolicy;
use serde::Deserialize;

/// A lease is this much of the longest one that workers accept, in percent: it
/// outlives partitions of 5 to 6 s, and lost work starts again soon after.
const LEASE_PERCENT: u64 = 70;

/// Keyed calls are refused when the configuration was not confirmed for this
/// much of the time in which a withdrawn key has to stop working, in percent.
/// The rest covers the time between the check and the effect.
const KEY_GRACE_PERCENT: u64 = 80;

/// The settings of an entry host.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EdgeSettings {
    /// The name of the host.
    pub host: String,
    /// The data centre.
    pub data_centre: String,
    /// The IP address of the host.
    pub address: IpAddr,
    /// The addresses that the host listens on.
    pub listen: ListenAddresses,
    /// The port for calls of other hosts.
    pub peer_port: u16,
    /// The processor of the host, in cores. Larger hosts are preferred as
    /// owners.
    #[serde(default = "default_processor")]
    pub processor: f64,
    /// The address of the platform's log, as `ip:port`.
    pub log_address: SocketAddr,
    /// The address of the advice service, as `ip:port`; none if all workers
    /// may run every step.
    #[serde(default)]
    pub advice_address: Option<SocketAddr>,
    /// The times that the platform prescribes.
    pub times: PrescribedTimes,
    /// What is logged and how.
    #[serde(default)]
    pub logging: LoggingSettings,
}

/// The addresses that the host listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct ListenAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the load balancer's checks.
    pub checks: SocketAddr,
}

/// The times that the platform prescribes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct PrescribedTimes {
    /// The longest lease that a worker accepts.
    pub max_lease_ms: MilliSpan,
    /// The longest stop of a run.
    pub stop_ms: MilliSpan,
    /// A withdrawn key works no longer than this.
    pub revoke_ms: MilliSpan,
    /// How long an ended job is known, in seconds.
    pub keep_ended_s: u64,
    /// The time between SIGTERM and SIGKILL, in seconds.
    pub stop_grace_s: u64,
}

/// A field of the settings is missing or has a wrong value.
#[derive(Debug, Display, Error)]
#[display("{path}: {source}")]
pub struct SettingsError {
    /// The path of the field.
    path: String,
    /// What is wrong.
    source: serde_json::Error,
}

/// Hosts whose settings do not tell count as equal.
const fn default_processor() -> f64 {
    1.0
}

impl EdgeSettings {
    /// Reads settings from JSON text. Unknown fields are ignored, since the
    /// platform may add some at any time.
    ///
    /// # Errors
    /// Fails with the path of a field that is missing or wrong.
    pub fn read(text: &[u8]) -> Result<Self, SettingsError> {
        let mut decoder = serde_json::Deserializer::from_slice(text);
        serde_path_to_error::deserialize(&mut decoder).map_err(|error| SettingsError {
            path: error.path().to_string(),
            source: error.into_inner(),
        })
    }

    /// Returns the processor of the host in thousandths of a core.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast is saturating, and a host has no less than nothing"
    )]
    pub fn processor_millis(&self) -> u32 {
        (self.processor * 1_000.0).round() as u32
    }

    /// Returns the address for calls of other hosts.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.peer_port)
    }
}

impl PrescribedTimes {
    /// Returns the time without a confirmed configuration after which keyed
    /// calls are refused.
    #[must_use]
    pub const fn key_grace(&self) -> MilliSpan {
        MilliSpan::new(self.revoke_ms.as_millis() * KEY_GRACE_PERCENT / 100)
    }

    /// Returns the time between SIGTERM and SIGKILL.
    #[must_use]
    pub const fn stop_grace(&self) -> MilliSpan {
        MilliSpan::new(self.stop_grace_s * 1_000)
    }

    /// Returns the times by which a cell works.
    #[must_use]
    pub fn cell_policy(&self) -> CellPolicy {
        let mut policy = CellPolicy::default();
        let lease = self.max_lease_ms.as_millis() * LEASE_PERCENT / 100;
        policy.lease.duration = MilliSpan::new(lease);
        policy.lease.max_lease = self.max_lease_ms;
        policy.stop_timeout = self.stop_ms;
        let keep_ended = MilliSpan::new(self.keep_ended_s * 1_000);
        policy.ended_job_retention = policy.ended_job_retention.max(keep_ended);
        policy
    }
}

//! The settings of an entry host, read from JSON.

use std::net::{IpAddr, SocketAddr};

use derive_more::{Display, Error};
use pimentochute_base::MilliSpan;
use pimentochute_server::settings::LoggingSettings;
use pimentochute_work::{CellPolicy, LearningPolicy, RecordLimits};
use serde::Deserialize;

/// The length of a lease, in percent of the longest one that workers accept. It
/// survives network partitions of 5 to 6 s, and lost work is restarted soon
/// after.
const LEASE_PERCENT: u64 = 70;

/// Authenticated calls are refused when the configuration has not been confirmed for
/// this part of [`PrescribedTimes::revoke_ms`], in percent. The rest covers the
/// time between the check of the key and the effect of the call.
const KEY_GRACE_PERCENT: u64 = 80;

/// Nothing starts when the list of evacuated data centres has not been confirmed for this
/// part of [`PrescribedTimes::evacuation_ms`], in percent. The rest covers a start that has
/// been decided: it may wait 1 s for a relay, and then takes up to 1.4 s to its worker.
const EVACUATION_GRACE_PERCENT: u64 = 50;

/// The least memory for request bodies, in bytes: four bodies of the platform's limit.
const MIN_BODY_MEMORY: u32 = 1024 * 1024;

/// The descriptors that are no sockets: those that the platform reserves for files.
const FILE_DESCRIPTORS: u32 = 200;

/// The bounds of the open connections of a listener.
const MIN_CONNECTIONS: u32 = 16;
const MAX_CONNECTIONS: u32 = 2_500;

/// A worker that leaves the platform's list within this time after its last entry has
/// ended, in percent of the interval at which workers renew their entries. Entries expire
/// after three intervals; the rest allows for clocks and a slow log.
const CLEAN_LEAVE_PERCENT: u64 = 250;

/// The settings of an entry host. Unknown fields are ignored.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EdgeSettings {
    /// The name of the host, unique in the group of hosts.
    pub host: String,
    /// The name of the data centre of the host.
    pub data_centre: String,
    /// The IP address at which other hosts reach this one.
    pub address: IpAddr,
    /// The addresses that the host listens on.
    pub listen: ListenAddresses,
    /// The port on which other hosts call this one.
    pub peer_port: u16,
    /// The processor of the host, in cores; 1 by default. Hosts with more
    /// processor are preferred as owners.
    #[serde(default = "default_processor")]
    pub processor: f64,
    /// The rate of the host's link, in megabits a second; `None` if it is not known, which
    /// does not limit what the host sends.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// The memory of the host, in megabytes; request bodies take an eighth of it. 120 by
    /// default.
    #[serde(default = "default_memory")]
    pub memory_mb: u32,
    /// The file descriptors of the host, which limit the open connections; 10,250 by
    /// default.
    #[serde(default = "default_descriptors")]
    pub max_descriptors: u32,
    /// The address of the platform's log, as `ip:port`.
    pub log_address: SocketAddr,
    /// The address of the advice service, as `ip:port`; `None` if all workers
    /// may run every step.
    #[serde(default)]
    pub advice_address: Option<SocketAddr>,
    /// The sizes that the platform's log accepts; those of its documentation by default.
    #[serde(default)]
    pub log_limits: LogLimits,
    /// The times that the platform prescribes.
    pub times: PrescribedTimes,
    /// Whether durations and speeds are learnt from runs; on by default.
    #[serde(default)]
    pub learning: LearningSettings,
    /// The level and format of the log output.
    #[serde(default)]
    pub logging: LoggingSettings,
}

/// The sizes that the platform's log accepts, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct LogLimits {
    /// The largest record.
    pub record_bytes: usize,
    /// The largest sum of the records of one append.
    pub append_bytes: usize,
}

/// Whether durations of tasks and speeds of workers are learnt from runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct LearningSettings {
    /// What is learnt orders and places work.
    pub enabled: bool,
    /// The largest number of kinds of steps whose durations are kept.
    pub max_keys: usize,
}

/// The addresses on which the host listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct ListenAddresses {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for the load balancer's checks and the metrics page.
    pub checks: SocketAddr,
    /// The address for other hosts, if their calls reach it in another way than at the
    /// address of the host and the port for other hosts.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
}

/// The times that the platform prescribes. They can change while the daemon runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct PrescribedTimes {
    /// The longest lease that a worker accepts.
    pub max_lease_ms: MilliSpan,
    /// The longest time that a worker takes to stop a run.
    pub stop_ms: MilliSpan,
    /// The time after which a withdrawn key must not work any more.
    pub revoke_ms: MilliSpan,
    /// The time after which nothing starts any more in an evacuated data centre; `None` if
    /// the platform prescribes none.
    #[serde(default)]
    pub evacuation_ms: Option<MilliSpan>,
    /// How long the state of an ended job can be queried, in seconds.
    pub keep_ended_s: u64,
    /// The time between SIGTERM and SIGKILL, in seconds.
    pub stop_grace_s: u64,
    /// The interval at which workers renew their entries in the platform's list; 1.5 s
    /// by default.
    #[serde(default = "default_heartbeat")]
    pub heartbeat_ms: MilliSpan,
}

/// A field of the settings is missing or has an invalid value.
#[derive(Debug, Display, Error)]
#[display("{path}: {source}")]
pub struct SettingsError {
    /// The JSON path of the field.
    path: String,
    /// The error of the JSON decoder.
    source: serde_json::Error,
}

/// Hosts whose settings do not give a processor count as equally large.
const fn default_processor() -> f64 {
    1.0
}

/// The smallest memory of the platform's hosts.
const fn default_memory() -> u32 {
    120
}

/// The most descriptors of the platform's hosts.
const fn default_descriptors() -> u32 {
    10_250
}

/// The interval of platforms whose settings do not give it.
const fn default_heartbeat() -> MilliSpan {
    MilliSpan::new(1_500)
}

impl Default for LogLimits {
    fn default() -> Self {
        Self {
            record_bytes: 262_144,
            append_bytes: 2_097_152,
        }
    }
}

impl Default for LearningSettings {
    fn default() -> Self {
        let policy = LearningPolicy::default();
        Self {
            enabled: policy.is_enabled,
            max_keys: policy.max_keys,
        }
    }
}

impl From<LearningSettings> for LearningPolicy {
    fn from(settings: LearningSettings) -> Self {
        Self {
            is_enabled: settings.enabled,
            max_keys: settings.max_keys,
        }
    }
}

impl From<LogLimits> for RecordLimits {
    fn from(limits: LogLimits) -> Self {
        Self {
            record_bytes: limits.record_bytes,
            append_bytes: limits.append_bytes,
        }
    }
}

impl EdgeSettings {
    /// Reads settings from JSON text. Unknown fields are ignored, since the
    /// platform may add fields at any time.
    ///
    /// # Errors
    /// Fails with the path of a field that is missing or invalid.
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
        reason = "the cast saturates, and a processor is not negative"
    )]
    pub fn processor_millis(&self) -> u32 {
        (self.processor * 1_000.0).round() as u32
    }

    /// Returns the memory that request bodies may take together, in bytes.
    ///
    /// A job takes about four times its body until it is answered: the body, the decoded
    /// job, and its record as one of a batch and on the way. So bodies and what is made of
    /// them take half of the host's memory at most.
    #[must_use]
    pub fn body_memory(&self) -> u32 {
        let memory = self.memory_mb.saturating_mul(1024 * 1024);
        (memory / 8).max(MIN_BODY_MEMORY)
    }

    /// Returns the most open connections of a listener that gets `percent` of the
    /// sockets.
    #[must_use]
    pub fn connections(&self, percent: u32) -> u32 {
        let sockets = self.max_descriptors.saturating_sub(FILE_DESCRIPTORS);
        let share = u64::from(sockets) * u64::from(percent) / 100;
        let share = u32::try_from(share).unwrap_or(MAX_CONNECTIONS);
        share.clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)
    }

    /// Returns the address at which other hosts call this one.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.peer_port)
    }
}

impl PrescribedTimes {
    /// Returns the time since the last confirmation of the configuration after
    /// which authenticated calls are refused.
    #[must_use]
    pub const fn key_grace(&self) -> MilliSpan {
        MilliSpan::new(self.revoke_ms.as_millis() * KEY_GRACE_PERCENT / 100)
    }

    /// Returns the time since the list of evacuated data centres was last confirmed after
    /// which nothing starts; `None` if the platform prescribes no time for evacuations.
    #[must_use]
    pub fn evacuation_grace(&self) -> Option<MilliSpan> {
        let grace = |bound: MilliSpan| bound.as_millis() * EVACUATION_GRACE_PERCENT / 100;
        self.evacuation_ms.map(|bound| MilliSpan::new(grace(bound)))
    }

    /// Returns the time between SIGTERM and SIGKILL.
    #[must_use]
    pub const fn stop_grace(&self) -> MilliSpan {
        MilliSpan::new(self.stop_grace_s * 1_000)
    }

    /// Returns the policy of a cell: the defaults with the prescribed times.
    #[must_use]
    pub fn cell_policy(&self) -> CellPolicy {
        let mut policy = CellPolicy::default();
        let lease = self.max_lease_ms.as_millis() * LEASE_PERCENT / 100;
        policy.lease.duration = MilliSpan::new(lease);
        policy.lease.max_lease = self.max_lease_ms;
        policy.stop_timeout = self.stop_ms;
        let clean_leave = self.heartbeat_ms.as_millis() * CLEAN_LEAVE_PERCENT / 100;
        policy.clean_leave_timeout = MilliSpan::new(clean_leave);
        policy.evacuation_grace = self.evacuation_grace();
        let keep_ended = MilliSpan::new(self.keep_ended_s * 1_000);
        policy.ended_job_retention = policy.ended_job_retention.max(keep_ended);
        policy
    }
}

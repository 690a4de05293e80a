//! The timings and limits of the settings, by subject.
//!
//! The doc comments of the fields are the texts of the settings reference: a
//! test compares them with `docs/operators.md`.

use pimentochute_base::MilliSpan;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use super::limit::{LimitRow, limit_group};

/// The maximum size of a peer message apart from the body of a caller. It also
/// has room for a batch of appended records and the configuration of 200 teams.
const PEER_FIELDS_BYTES: u32 = 8_388_608;

limit_group! {
    /// How long the configuration counts as current.
    ConfigurationSettings {
        /// The age up to which a read of the log's tail is evidence.
        fresh_ms: MilliSpan = 5_000, 100..=60_000;
        /// The time without evidence after which keyed work is refused.
        key_grace_ms: MilliSpan = 10_000, 100..=60_000;
    }
}

limit_group! {
    /// The number of slices and their takeover.
    SliceSettings {
        /// The number of slices; the same on every host of the cell.
        slices: u16 = 16, 1..=1_024;
        /// The silence of an owner after which a slice is claimed.
        takeover_ms: MilliSpan = 6_000, 500..=60_000;
    }
}

limit_group! {
    /// Leases and health of workers.
    WorkerSettings {
        /// The time between two renewals of a worker.
        renew_ms: MilliSpan = 2_000, 50..=30_000;
        /// How long control of a worker lasts without renewal.
        control_lease_ms: MilliSpan = 6_000, 200..=120_000;
        /// How long a task runs without renewal.
        task_lease_ms: MilliSpan = 20_000, 500..=600_000;
        /// The fixed part of the margin for clock rates that differ.
        margin_ms: MilliSpan = 2_000, 0..=60_000;
        /// The part of the margin that grows with the lease, in percent.
        margin_percent: u32 = 2, 0..=50;
        /// The silence of log and peers after which renewals stop.
        isolation_ms: MilliSpan = 5_000, 200..=120_000;
        /// The time limit of one call to a worker.
        call_timeout_ms: MilliSpan = 1_000, 20..=30_000;
        /// The time that a stopped task gets to finish by itself.
        stop_grace_ms: MilliSpan = 5_000, 0..=600_000;
        /// The failures of different jobs in a row that quarantine a worker.
        quarantine_failures: u32 = 5, 1..=100;
        /// The time between two probe tasks on a quarantined worker.
        quarantine_probe_ms: MilliSpan = 60_000, 100..=3_600_000;
        /// The most attempts of a task that fails.
        max_attempts: u32 = 3, 1..=100;
    }
}

limit_group! {
    /// Heartbeats and calls between entry hosts.
    PeerSettings {
        /// The time between heartbeats within a data centre.
        heartbeat_ms: MilliSpan = 500, 20..=10_000;
        /// The time between heartbeats to one host of each other data centre.
        remote_heartbeat_ms: MilliSpan = 2_000, 20..=60_000;
        /// The silence after which a host is no longer counted as live.
        live_ms: MilliSpan = 2_000, 50..=60_000;
        /// The time limit of one call to another host, requests excepted.
        call_timeout_ms: MilliSpan = 1_000, 20..=30_000;
    }
}

limit_group! {
    /// Appends to the log and reads from it.
    LogSettings {
        /// The time between appends of the data centre's writer.
        append_ms: MilliSpan = 50, 1..=10_000;
        /// The time between appends of a host that cannot reach the writer.
        direct_append_ms: MilliSpan = 500, 1..=60_000;
        /// The most records of one append.
        append_records: u32 = 500, 1..=10_000;
        /// The time limit of one append or read, waiting excepted.
        call_timeout_ms: MilliSpan = 2_000, 20..=60_000;
        /// How long a read waits for a record to arrive.
        read_wait_ms: MilliSpan = 2_000, 10..=60_000;
        /// The most records of one read.
        read_records: u32 = 1_000, 1..=100_000;
        /// How long a caller waits for its record to be read back.
        outcome_wait_ms: MilliSpan = 5_000, 50..=60_000;
        /// The time between snapshots.
        snapshot_ms: MilliSpan = 600_000, 500..=3_600_000;
    }
}

limit_group! {
    /// Reads of the platform's host list.
    DirectorySettings {
        /// The time between reads.
        poll_ms: MilliSpan = 1_000, 20..=60_000;
        /// The time limit of one read.
        call_timeout_ms: MilliSpan = 1_000, 20..=30_000;
    }
}

limit_group! {
    /// Deadlines, retries and connections of routed requests.
    RequestSettings {
        /// The most requests that wait on the host.
        queue_length: u32 = 1_024, 1..=100_000;
        /// The deadline of a request that names none.
        default_deadline_ms: MilliSpan = 30_000, 10..=3_600_000;
        /// The longest deadline that a request may name.
        max_deadline_ms: MilliSpan = 300_000, 10..=3_600_000;
        /// The retries allowed, in percent of the requests.
        retry_percent: u32 = 10, 0..=100;
        /// The retries allowed in addition, per second.
        retry_reserve: u32 = 10, 0..=1_000;
        /// The first backoff before a retry; it doubles, with jitter.
        retry_backoff_ms: MilliSpan = 20, 1..=10_000;
        /// The time limit for opening a connection to an endpoint.
        connect_timeout_ms: MilliSpan = 500, 10..=30_000;
        /// The idle time after which a connection is probed before use.
        probe_idle_ms: MilliSpan = 1_000, 10..=600_000;
        /// The time limit of a probe.
        probe_timeout_ms: MilliSpan = 500, 10..=30_000;
    }
}

limit_group! {
    /// Limits of submitted jobs.
    JobSettings {
        /// The most tasks of a job.
        max_tasks: u32 = 10_000, 1..=1_000_000;
        /// The largest command of a job.
        max_command_bytes: u32 = 16_384, 1..=1_048_576;
    }
}

limit_group! {
    /// Limits of the HTTP servers for callers, operators and peers.
    HttpSettings {
        /// The largest body of a request.
        max_body_bytes: u32 = 8_388_608, 1_024..=268_435_456;
        /// The largest head of a request: request line and headers.
        max_header_bytes: u32 = 16_384, 8_192..=1_048_576;
        /// The most headers of a request.
        max_headers: u32 = 64, 8..=512;
        /// The most open connections per listener.
        max_connections: u32 = 2_048, 1..=100_000;
        /// The memory that request bodies may take together.
        max_buffered_bytes: u32 = 536_870_912, 1_024..=2_147_483_648;
        /// The time in which the head of a request has to arrive, and the idle
        /// time after which a connection is closed; longer than that of the
        /// load balancer, which otherwise meets closed connections.
        header_timeout_ms: MilliSpan = 75_000, 50..=600_000;
        /// The time in which the rest of a head has to arrive after its first
        /// bytes.
        head_timeout_ms: MilliSpan = 10_000, 50..=600_000;
        /// The time in which a client has to take a part of an answer that waits
        /// for it.
        write_timeout_ms: MilliSpan = 20_000, 50..=600_000;
        /// The time in which the body of a request has to arrive.
        body_timeout_ms: MilliSpan = 30_000, 50..=600_000;
        /// The wait that a refused caller is told.
        retry_after_ms: MilliSpan = 1_000, 10..=60_000;
    }
}

impl HttpSettings {
    /// Returns the limits of the peer server. A peer message may hold a body of
    /// the maximum size and further fields.
    #[must_use]
    pub const fn for_peers(mut self) -> Self {
        self.max_body_bytes = self.max_body_bytes.saturating_add(PEER_FIELDS_BYTES);
        self
    }
}

limit_group! {
    /// Delays of a planned stop.
    DrainSettings {
        /// The time between failing readiness and closing the listeners.
        drain_delay_ms: MilliSpan = 2_000, 0..=60_000;
        /// The time after which a stop cuts what is still running.
        drain_limit_ms: MilliSpan = 60_000, 100..=3_600_000;
    }
}

limit_group! {
    /// Restarts of failed parts of the daemon.
    SupervisorSettings {
        /// The first wait before a restart; it doubles per failure.
        backoff_ms: MilliSpan = 100, 1..=10_000;
        /// The longest wait before a restart.
        max_backoff_ms: MilliSpan = 5_000, 1..=60_000;
        /// The failures within the window that end the process.
        max_failures: u32 = 10, 1..=1_000;
        /// The window in which failures are counted.
        failure_window_ms: MilliSpan = 60_000, 100..=3_600_000;
    }
}

/// Returns the fields of every group with the group's name in the settings.
#[must_use]
pub fn limit_groups() -> [(&'static str, &'static [LimitRow]); 11] {
    [
        ("configuration", ConfigurationSettings::LIMITS),
        ("slices", SliceSettings::LIMITS),
        ("workers", WorkerSettings::LIMITS),
        ("peers", PeerSettings::LIMITS),
        ("log", LogSettings::LIMITS),
        ("directory", DirectorySettings::LIMITS),
        ("requests", RequestSettings::LIMITS),
        ("jobs", JobSettings::LIMITS),
        ("http", HttpSettings::LIMITS),
        ("drain", DrainSettings::LIMITS),
        ("supervisor", SupervisorSettings::LIMITS),
    ]
}

/// What the daemon logs and how.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoggingSettings {
    /// The format of a line.
    pub format: LogFormat,
    /// The least severe level that is logged.
    pub level: LogLevel,
}

/// The format of a log line.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// Time, level and message, separated by spaces.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// The severity of a log line.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need attention.
    Error,
    /// Failures that were handled.
    Warn,
    /// Decisions and changes of state.
    #[default]
    Info,
    /// Details of single steps.
    Debug,
    /// Everything.
    Trace,
}

//! The settings of the daemon: types, defaults, allowed ranges and checks.

mod address;
mod check;
mod document;
mod groups;
mod limit;
mod reader;
mod relations;

use std::net::SocketAddr;

use derive_more::{Display, Error};
use pimentochute_base::{DataCentreName, HostName, KeyDigest};

pub use address::{AddressError, HostPort, SecretText};
pub use check::check_settings;
pub use groups::{
    ConfigurationSettings, DirectorySettings, DrainSettings, HttpSettings, JobSettings, LogFormat,
    LogLevel, LogSettings, LoggingSettings, PeerSettings, RequestSettings, SliceSettings,
    SupervisorSettings, WorkerSettings, limit_groups,
};
pub use limit::LimitRow;

/// The settings of one entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The name of this host, which is one of the entry hosts of `data_centre`.
    pub host: HostName,
    /// The data centre of this host, which is one of `data_centres`.
    pub data_centre: DataCentreName,
    /// All data centres of the cell, in the same order on every host.
    pub data_centres: Vec<DataCentreSettings>,
    /// The addresses that this host listens on.
    pub listen: ListenSettings,
    /// The address of the log service.
    pub log_address: HostPort,
    /// The address of the platform's host list.
    pub directory_address: HostPort,
    /// The secret that entry hosts share; at least 32 bytes.
    pub peer_key: SecretText,
    /// The keys of the operators.
    pub operator_keys: Vec<OperatorKey>,
    /// What is logged and how.
    pub logging: LoggingSettings,
    /// How long the configuration counts as current.
    pub configuration: ConfigurationSettings,
    /// The number of slices and their takeover.
    pub slices: SliceSettings,
    /// Leases and health of workers.
    pub workers: WorkerSettings,
    /// Heartbeats and calls between entry hosts.
    pub peers: PeerSettings,
    /// Appends to the log and reads from it.
    pub log: LogSettings,
    /// Reads of the host list.
    pub directory: DirectorySettings,
    /// Deadlines, retries and connections of routed requests.
    pub requests: RequestSettings,
    /// Limits of submitted jobs.
    pub jobs: JobSettings,
    /// Limits of the HTTP servers.
    pub http: HttpSettings,
    /// Delays of a planned stop.
    pub drain: DrainSettings,
    /// Restarts of failed children of the daemon.
    pub supervisor: SupervisorSettings,
}

impl Settings {
    /// Returns the entry hosts of this host's data centre, in order.
    #[must_use]
    pub fn local_hosts(&self) -> &[EntryHost] {
        let centre = self
            .data_centres
            .iter()
            .find(|c| c.name == self.data_centre);
        centre.map_or(&[], |centre| centre.entry_hosts.as_slice())
    }

    /// Returns the position of this host among the entry hosts of its data
    /// centre; zero if it is not listed, which the checks rule out.
    #[must_use]
    pub fn host_index(&self) -> usize {
        let position = self.local_hosts().iter().position(|h| h.name == self.host);
        position.unwrap_or(0)
    }

    /// Returns the position of this host's data centre in `data_centres`; zero
    /// if it is not listed, which the checks rule out.
    #[must_use]
    pub fn centre_index(&self) -> usize {
        let mut centres = self.data_centres.iter();
        centres
            .position(|c| c.name == self.data_centre)
            .unwrap_or(0)
    }

    /// Returns the entry host of that name in any data centre.
    #[must_use]
    pub fn entry_host(&self, host: &HostName) -> Option<&EntryHost> {
        let centres = self.data_centres.iter();
        centres
            .flat_map(|centre| &centre.entry_hosts)
            .find(|entry| entry.name == *host)
    }
}

/// A data centre and its entry hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentreSettings {
    /// The name; unique in the cell.
    pub name: DataCentreName,
    /// The entry hosts, in the same order on every host. Not empty.
    pub entry_hosts: Vec<EntryHost>,
}

/// An entry host and its addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryHost {
    /// The name; unique in the cell.
    pub name: HostName,
    /// The address for callers and operators.
    pub public: HostPort,
    /// The address for other entry hosts.
    pub peer: HostPort,
}

/// The addresses that a host listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenSettings {
    /// For callers and operators.
    pub public: SocketAddr,
    /// For other entry hosts.
    pub peer: SocketAddr,
}

/// A key that identifies an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorKey {
    /// The name of the operator, for logs.
    pub name: String,
    /// The digest of the secret.
    pub digest: KeyDigest,
}

/// A wrong or missing value of the settings.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{path}: found {found}, allowed: {allowed}")]
pub struct SettingsFault {
    /// The path of the value, for example `slices.takeover_ms`.
    pub path: String,
    /// What was found at the path; secrets are never shown.
    pub found: String,
    /// What is allowed at the path.
    pub allowed: String,
}

/// The settings cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SettingsError {
    /// The text is empty.
    #[display("the settings are empty; hint: start from a file under examples/")]
    Empty,
    /// The text is not JSON.
    #[display("the settings are not JSON: {detail}; hint: check commas, quotes and brackets")]
    Syntax {
        /// The parser's message, with line and column.
        #[error(not(source))]
        detail: String,
    },
    /// Values are missing, of the wrong kind or out of range.
    #[display("the settings have {} faults; the first: {}", faults.len(), first_of(faults))]
    Faults {
        /// Every fault found.
        #[error(not(source))]
        faults: Vec<SettingsFault>,
    },
}

fn first_of(faults: &[SettingsFault]) -> String {
    faults
        .first()
        .map_or_else(String::new, SettingsFault::to_string)
}

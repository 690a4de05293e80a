//! The settings as they are written: required values may be missing.

use std::net::SocketAddr;

use pimentochute_base::{DataCentreName, HostName, KeyDigest};
use serde::Deserialize;

use super::{
    ConfigurationSettings, DataCentreSettings, DirectorySettings, DrainSettings, EntryHost,
    HostPort, HttpSettings, JobSettings, ListenSettings, LogSettings, LoggingSettings, OperatorKey,
    PeerSettings, RequestSettings, SecretText, Settings, SliceSettings, SupervisorSettings,
    WorkerSettings,
};

/// The whole document.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct SettingsDocument {
    host: Option<HostName>,
    data_centre: Option<DataCentreName>,
    data_centres: Vec<CentreDocument>,
    listen: ListenDocument,
    log_address: Option<HostPort>,
    directory_address: Option<HostPort>,
    peer_key: Option<SecretText>,
    operator_keys: Vec<OperatorDocument>,
    logging: LoggingSettings,
    configuration: ConfigurationSettings,
    slices: SliceSettings,
    workers: WorkerSettings,
    peers: PeerSettings,
    log: LogSettings,
    directory: DirectorySettings,
    requests: RequestSettings,
    jobs: JobSettings,
    http: HttpSettings,
    drain: DrainSettings,
    supervisor: SupervisorSettings,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct CentreDocument {
    name: Option<DataCentreName>,
    entry_hosts: Vec<EntryDocument>,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct EntryDocument {
    name: Option<HostName>,
    public: Option<HostPort>,
    peer: Option<HostPort>,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ListenDocument {
    public: Option<SocketAddr>,
    peer: Option<SocketAddr>,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct OperatorDocument {
    name: Option<String>,
    digest: Option<KeyDigest>,
}

/// The paths of required values that are missing.
#[derive(Default)]
struct MissingPaths(Vec<String>);

impl MissingPaths {
    fn need<T>(&mut self, path: &str, value: Option<T>) -> Option<T> {
        if value.is_none() {
            self.0.push(path.to_owned());
        }
        value
    }
}

impl SettingsDocument {
    /// Completes the settings.
    ///
    /// # Errors
    /// Returns the paths of required values that are missing.
    pub(super) fn complete(self) -> Result<Settings, Vec<String>> {
        let mut missing = MissingPaths::default();
        let settings = self.fill(&mut missing);
        match settings {
            Some(settings) if missing.0.is_empty() => Ok(settings),
            _ => Err(missing.0),
        }
    }

    fn fill(self, missing: &mut MissingPaths) -> Option<Settings> {
        let host = missing.need("host", self.host);
        let data_centre = missing.need("data_centre", self.data_centre);
        let data_centres = fill_each(self.data_centres, |index, centre| {
            centre.fill(&format!("data_centres[{index}]"), missing)
        });
        let listen_public = missing.need("listen.public", self.listen.public);
        let listen_peer = missing.need("listen.peer", self.listen.peer);
        let log_address = missing.need("log_address", self.log_address);
        let directory_address = missing.need("directory_address", self.directory_address);
        let peer_key = missing.need("peer_key", self.peer_key);
        let operator_keys = fill_each(self.operator_keys, |index, key| {
            key.fill(&format!("operator_keys[{index}]"), missing)
        });
        Some(Settings {
            host: host?,
            data_centre: data_centre?,
            data_centres,
            listen: ListenSettings {
                public: listen_public?,
                peer: listen_peer?,
            },
            log_address: log_address?,
            directory_address: directory_address?,
            peer_key: peer_key?,
            operator_keys,
            logging: self.logging,
            configuration: self.configuration,
            slices: self.slices,
            workers: self.workers,
            peers: self.peers,
            log: self.log,
            directory: self.directory,
            requests: self.requests,
            jobs: self.jobs,
            http: self.http,
            drain: self.drain,
            supervisor: self.supervisor,
        })
    }

    /// Returns the range faults of every group.
    pub(super) fn range_faults(&self) -> Vec<super::SettingsFault> {
        [
            self.configuration.range_faults("configuration"),
            self.slices.range_faults("slices"),
            self.workers.range_faults("workers"),
            self.peers.range_faults("peers"),
            self.log.range_faults("log"),
            self.directory.range_faults("directory"),
            self.requests.range_faults("requests"),
            self.jobs.range_faults("jobs"),
            self.http.range_faults("http"),
            self.drain.range_faults("drain"),
            self.supervisor.range_faults("supervisor"),
        ]
        .concat()
    }
}

fn fill_each<D, T>(documents: Vec<D>, mut fill: impl FnMut(usize, D) -> Option<T>) -> Vec<T> {
    let numbered = documents.into_iter().enumerate();
    numbered
        .filter_map(|(index, document)| fill(index, document))
        .collect()
}

impl CentreDocument {
    fn fill(self, path: &str, missing: &mut MissingPaths) -> Option<DataCentreSettings> {
        let name = missing.need(&format!("{path}.name"), self.name);
        let entry_hosts = fill_each(self.entry_hosts, |index, host| {
            host.fill(&format!("{path}.entry_hosts[{index}]"), missing)
        });
        Some(DataCentreSettings {
            name: name?,
            entry_hosts,
        })
    }
}

impl EntryDocument {
    fn fill(self, path: &str, missing: &mut MissingPaths) -> Option<EntryHost> {
        let name = missing.need(&format!("{path}.name"), self.name);
        let public = missing.need(&format!("{path}.public"), self.public);
        let peer = missing.need(&format!("{path}.peer"), self.peer);
        Some(EntryHost {
            name: name?,
            public: public?,
            peer: peer?,
        })
    }
}

impl OperatorDocument {
    fn fill(self, path: &str, missing: &mut MissingPaths) -> Option<OperatorKey> {
        let name = missing.need(&format!("{path}.name"), self.name);
        let digest = missing.need(&format!("{path}.digest"), self.digest);
        Some(OperatorKey {
            name: name?,
            digest: digest?,
        })
    }
}

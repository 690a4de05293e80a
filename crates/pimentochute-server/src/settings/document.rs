//! The settings as decoded from JSON, in which required values may be missing.

use std::net::SocketAddr;

use pimentochute_base::{DataCentreName, HostName, KeyDigest};
use serde::Deserialize;

use super::{
    ConfigurationSettings, DataCentreSettings, DirectorySettings, DrainSettings, EntryHost,
    HostPort, HttpSettings, JobSettings, ListenSettings, LogSettings, LoggingSettings, OperatorKey,
    PeerSettings, RequestSettings, SecretText, Settings, SliceSettings, SupervisorSettings,
    WorkerSettings,
};

/// The whole document. Faulty values have been removed and count as missing.
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
    pub(super) logging: LoggingSettings,
    pub(super) configuration: ConfigurationSettings,
    pub(super) slices: SliceSettings,
    pub(super) workers: WorkerSettings,
    pub(super) peers: PeerSettings,
    pub(super) log: LogSettings,
    pub(super) directory: DirectorySettings,
    pub(super) requests: RequestSettings,
    pub(super) jobs: JobSettings,
    pub(super) http: HttpSettings,
    pub(super) drain: DrainSettings,
    pub(super) supervisor: SupervisorSettings,
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

/// Collects the paths of missing required values.
#[derive(Default)]
struct MissingPaths(Vec<String>);

impl MissingPaths {
    fn require<T>(&mut self, path: &str, value: Option<T>) -> Option<T> {
        if value.is_none() {
            self.0.push(path.to_owned());
        }
        value
    }
}

/// The values that are checked against each other. A value is `None` if it, or a
/// part of it, is missing or wrong.
pub(super) struct PartialSettings {
    pub(super) host: Option<HostName>,
    pub(super) data_centre: Option<DataCentreName>,
    pub(super) data_centres: Option<Vec<DataCentreSettings>>,
    pub(super) listen: Option<ListenSettings>,
    pub(super) log_address: Option<HostPort>,
    pub(super) directory_address: Option<HostPort>,
    pub(super) peer_key: Option<SecretText>,
    pub(super) operator_keys: Option<Vec<OperatorKey>>,
    pub(super) limits: SettingsDocument,
}

impl PartialSettings {
    /// Returns the complete settings, or `None` if a value is missing.
    pub(super) fn complete(self) -> Option<Settings> {
        let limits = self.limits;
        Some(Settings {
            host: self.host?,
            data_centre: self.data_centre?,
            data_centres: self.data_centres?,
            listen: self.listen?,
            log_address: self.log_address?,
            directory_address: self.directory_address?,
            peer_key: self.peer_key?,
            operator_keys: self.operator_keys?,
            logging: limits.logging,
            configuration: limits.configuration,
            slices: limits.slices,
            workers: limits.workers,
            peers: limits.peers,
            log: limits.log,
            directory: limits.directory,
            requests: limits.requests,
            jobs: limits.jobs,
            http: limits.http,
            drain: limits.drain,
            supervisor: limits.supervisor,
        })
    }
}

impl SettingsDocument {
    /// Converts the document, and returns the paths of missing values with it.
    pub(super) fn into_partial(mut self) -> (PartialSettings, Vec<String>) {
        let mut missing = MissingPaths::default();
        let host = missing.require("host", self.host.take());
        let data_centre = missing.require("data_centre", self.data_centre.take());
        let centres = std::mem::take(&mut self.data_centres);
        let centres = missing.require("data_centres", Some(centres).filter(|c| !c.is_empty()));
        let data_centres = centres.and_then(|centres| {
            convert_each(centres, |index, centre| {
                centre.convert(&format!("data_centres[{index}]"), &mut missing)
            })
        });
        let public = missing.require("listen.public", self.listen.public);
        let peer = missing.require("listen.peer", self.listen.peer);
        let listen = public.zip(peer);
        let keys = std::mem::take(&mut self.operator_keys);
        let operator_keys = convert_each(keys, |index, key| {
            key.convert(&format!("operator_keys[{index}]"), &mut missing)
        });
        let partial = PartialSettings {
            host,
            data_centre,
            data_centres,
            listen: listen.map(|(public, peer)| ListenSettings { public, peer }),
            log_address: missing.require("log_address", self.log_address.take()),
            directory_address: missing.require("directory_address", self.directory_address.take()),
            peer_key: missing.require("peer_key", self.peer_key.take()),
            operator_keys,
            limits: self,
        };
        (partial, missing.0)
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

/// Converts every element, also after an incomplete one, so that all missing
/// parts are recorded. Returns `None` if any element is incomplete.
fn convert_each<D, T>(
    documents: Vec<D>,
    mut convert: impl FnMut(usize, D) -> Option<T>,
) -> Option<Vec<T>> {
    let numbered = documents.into_iter().enumerate();
    let converted: Vec<Option<T>> = numbered
        .map(|(index, document)| convert(index, document))
        .collect();
    converted.into_iter().collect()
}

impl CentreDocument {
    fn convert(self, path: &str, missing: &mut MissingPaths) -> Option<DataCentreSettings> {
        let name = missing.require(&format!("{path}.name"), self.name);
        let entry_hosts = convert_each(self.entry_hosts, |index, host| {
            host.convert(&format!("{path}.entry_hosts[{index}]"), missing)
        });
        Some(DataCentreSettings {
            name: name?,
            entry_hosts: entry_hosts?,
        })
    }
}

impl EntryDocument {
    fn convert(self, path: &str, missing: &mut MissingPaths) -> Option<EntryHost> {
        let name = missing.require(&format!("{path}.name"), self.name);
        let public = missing.require(&format!("{path}.public"), self.public);
        let peer = missing.require(&format!("{path}.peer"), self.peer);
        Some(EntryHost {
            name: name?,
            public: public?,
            peer: peer?,
        })
    }
}

impl OperatorDocument {
    fn convert(self, path: &str, missing: &mut MissingPaths) -> Option<OperatorKey> {
        let name = missing.require(&format!("{path}.name"), self.name);
        let digest = missing.require(&format!("{path}.digest"), self.digest);
        Some(OperatorKey {
            name: name?,
            digest: digest?,
        })
    }
}

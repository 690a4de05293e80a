//! The configuration in force on this host.

use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};

use pimentochute_base::{ConfigVersion, LogOffset};
use pimentochute_platform::LogRecord;
use pimentochute_state::{ConfigReplica, ConfigSnapshot, FleetConfig};
use tokio::sync::watch;

use super::follower::StreamReplica;

/// The replica of the `config` stream, and a configuration that was fetched
/// from a peer while the log could not be read.
pub(crate) struct ReplicatedConfig {
    replica: RwLock<ConfigReplica>,
    /// A configuration of a peer. It is used only while it is newer than that
    /// of the replica, so the version in force never decreases.
    fetched: RwLock<Option<Arc<FleetConfig>>>,
    offset: watch::Sender<LogOffset>,
}

impl ReplicatedConfig {
    /// Creates the replica of a stream that has not been read yet.
    pub(crate) fn new() -> Self {
        Self {
            replica: RwLock::new(ConfigReplica::new()),
            fetched: RwLock::default(),
            offset: watch::Sender::new(LogOffset::new(0)),
        }
    }

    /// Locks the replica for reading. The guard must not be held across an
    /// await.
    pub(crate) fn read(&self) -> RwLockReadGuard<'_, ConfigReplica> {
        self.replica.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force.
    pub(crate) fn current(&self) -> Arc<FleetConfig> {
        let replicated = Arc::clone(self.read().current());
        let fetched = self.fetched.read().unwrap_or_else(PoisonError::into_inner);
        match fetched.as_ref() {
            Some(config) if config.version > replicated.version => Arc::clone(config),
            _ => replicated,
        }
    }

    /// Returns a version; `None` if it is unknown or no longer kept.
    pub(crate) fn version(&self, version: ConfigVersion) -> Option<Arc<FleetConfig>> {
        let current = self.current();
        if current.version == version {
            return Some(current);
        }
        self.read().version(version).cloned()
    }

    /// Uses the configuration of a peer if it is newer.
    pub(crate) fn accept_fetched(&self, config: FleetConfig) {
        if config.version <= self.current().version {
            return;
        }
        log::info!(
            "config: Fetched configuration version {} from another host.",
            config.version
        );
        let mut fetched = self.fetched.write().unwrap_or_else(PoisonError::into_inner);
        *fetched = Some(Arc::new(config));
        drop(fetched);
        self.offset.send_modify(|_| {});
    }

    /// Returns a receiver that is notified when the configuration may have
    /// changed.
    pub(crate) fn subscribe(&self) -> watch::Receiver<LogOffset> {
        self.offset.subscribe()
    }
}

impl StreamReplica for ReplicatedConfig {
    fn next_offset(&self) -> LogOffset {
        self.read().next_offset()
    }

    fn apply(&self, record: &LogRecord) {
        let (result, version) = {
            let mut replica = self.replica.write().unwrap_or_else(PoisonError::into_inner);
            let result = replica.apply(record.offset, &record.payload);
            (result, replica.current().version)
        };
        match result {
            // The answer tells whether the patch was accepted, rejected or repeated;
            // the process tests read the version from this line.
            Ok(answer) => log::info!("config: Version {version} is in force. {answer:?}"),
            Err(error) => log::warn!(
                "config: Skipped the log entry at offset {}: {error}",
                record.offset
            ),
        }
        self.offset.send_replace(record.offset.next());
    }

    fn load_snapshot(&self, payload: &[u8]) -> bool {
        let restored = match serde_json::from_slice::<ConfigSnapshot>(payload) {
            Ok(snapshot) => ConfigReplica::from_snapshot(snapshot),
            Err(error) => {
                log::warn!("config: Skipping a snapshot that cannot be decoded: {error}");
                return false;
            }
        };
        let restored = match restored {
            Ok(restored) => restored,
            Err(error) => {
                log::warn!("config: Skipping a snapshot that is inconsistent: {error}");
                return false;
            }
        };
        let next = restored.next_offset();
        {
            let mut replica = self.replica.write().unwrap_or_else(PoisonError::into_inner);
            if next <= replica.next_offset() {
                return false;
            }
            *replica = restored;
        }
        self.offset.send_replace(next);
        true
    }
}

//! Checks regularly whether the configuration is known to be current, and
//! fetches newer versions from peers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use pimentochute_base::{DataCentreName, HostName, MilliClock, MilliSpan, MilliTime};

use super::config::ReplicatedConfig;
use super::freshness::{ConfigFreshness, FreshnessFacts};
use super::health::LogHealth;
use crate::PeerTable;
use crate::peer::{PeerLink, PeerStatus};
use crate::settings::ConfigurationSettings;

/// The time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Keeps the time at which the configuration was last known to be current.
pub(crate) struct FreshnessMonitor {
    config: Arc<ReplicatedConfig>,
    health: Arc<LogHealth>,
    peers: Arc<PeerTable>,
    link: Arc<dyn PeerLink>,
    clock: MilliClock,
    settings: ConfigurationSettings,
    /// When the configuration was last known to be current, in milliseconds
    /// plus one; zero if it never was.
    current_at: AtomicU64,
}

impl FreshnessMonitor {
    /// Creates a monitor that has not seen a current configuration yet.
    pub(crate) fn new(
        config: Arc<ReplicatedConfig>,
        health: Arc<LogHealth>,
        peers: Arc<PeerTable>,
        link: Arc<dyn PeerLink>,
        clock: MilliClock,
        settings: ConfigurationSettings,
    ) -> Self {
        let current_at = AtomicU64::new(0);
        Self {
            config,
            health,
            peers,
            link,
            clock,
            settings,
            current_at,
        }
    }

    /// Checks until its future is dropped.
    pub(crate) async fn run(&self) {
        let mut accepts_work = false;
        loop {
            match self.decide() {
                ConfigFreshness::Current => self.record_current(),
                ConfigFreshness::Behind(host) => self.fetch(&host).await,
                ConfigFreshness::Unknown => {}
            }
            if self.accepts_keyed_work() != accepts_work {
                accepts_work = !accepts_work;
                if accepts_work {
                    log::info!("config: Accepting work that needs a key.");
                } else {
                    log::warn!(
                        "config: Refusing work that needs a key: a newer version may exist."
                    );
                }
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Returns whether the configuration was known to be current within the
    /// grace period `key_grace_ms`.
    pub(crate) fn accepts_keyed_work(&self) -> bool {
        let Some(at) = self.current_at.load(Ordering::SeqCst).checked_sub(1) else {
            return false;
        };
        self.clock.now().since(MilliTime::new(at)) <= self.settings.key_grace_ms
    }

    fn decide(&self) -> ConfigFreshness {
        let centres = self.peers.centres();
        let peers = self.peer_statuses(&centres);
        FreshnessFacts {
            now: self.clock.now(),
            max_age: self.settings.fresh_ms,
            version: self.config.current().version,
            own_evidence: self.health.evidence(),
            data_centre: self.peers.own_centre(),
            data_centres: &centres,
            peers: &peers,
        }
        .decide()
    }

    fn peer_statuses(&self, centres: &[DataCentreName]) -> Vec<PeerStatus> {
        let hosts = centres
            .iter()
            .flat_map(|centre| self.peers.hosts_of(centre));
        hosts.filter_map(|host| self.peers.status(&host)).collect()
    }

    fn record_current(&self) {
        let now = self.clock.now().as_millis();
        self.current_at
            .store(now.saturating_add(1), Ordering::SeqCst);
    }

    async fn fetch(&self, host: &HostName) {
        // A host that can read the log gets the version from there shortly.
        if self.health.age() <= MilliSpan::new(CHECK_INTERVAL.as_millis().try_into().unwrap_or(0)) {
            return;
        }
        match self.link.config(host).await {
            Ok(config) => self.config.accept_fetched(config),
            Err(error) => {
                log::debug!("config: Cannot fetch the configuration from host {host}: {error}");
            }
        }
    }
}

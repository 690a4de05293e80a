//! Decides from a host's own and its peers' reads of the log whether the
//! configuration is known to be current.

use pimentochute_base::{ConfigVersion, DataCentreName, HostName, MilliSpan, MilliTime};

use crate::peer::{ConfigEvidence, PeerStatus};

/// Whether a host's configuration is known to be current.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigFreshness {
    /// No newer configuration can be in force on another host.
    Current,
    /// The named peer has a newer configuration, which has to be fetched.
    Behind(HostName),
    /// There is no evidence for either.
    Unknown,
}

/// The inputs of the decision whether the configuration is current.
#[derive(Debug)]
pub struct FreshnessFacts<'a> {
    /// The time of the decision.
    pub now: MilliTime,
    /// The greatest age of evidence that still counts.
    pub max_age: MilliSpan,
    /// The version in force on this host.
    pub version: ConfigVersion,
    /// This host's own evidence, from its reads of the log.
    pub own_evidence: ConfigEvidence,
    /// The data centre of this host.
    pub data_centre: &'a DataCentreName,
    /// All data centres.
    pub data_centres: &'a [DataCentreName],
    /// The last heartbeats of other hosts.
    pub peers: &'a [PeerStatus],
}

impl FreshnessFacts<'_> {
    /// Decides whether the configuration is current.
    ///
    /// No data centre can change the configuration while its hosts cannot reach
    /// the log. If a host of every data centre reports that, this configuration
    /// is still current. Hosts that send no heartbeat are assumed to be cut off
    /// like the reporting host of their data centre.
    #[must_use]
    pub fn decide(&self) -> ConfigFreshness {
        if self.recent_peers().any(|peer| self.is_ahead(peer)) {
            return self.newest_peer();
        }
        if self.has_read_log() || self.recent_peers().any(|peer| self.peer_has_read_log(peer)) {
            return ConfigFreshness::Current;
        }
        if self
            .data_centres
            .iter()
            .all(|centre| self.log_is_unreachable_in(centre))
        {
            return ConfigFreshness::Current;
        }
        ConfigFreshness::Unknown
    }

    fn has_read_log(&self) -> bool {
        matches!(self.own_evidence, ConfigEvidence::LogRead { age } if age <= self.max_age)
    }

    /// Returns the peers whose last heartbeat is at most `max_age` old.
    fn recent_peers(&self) -> impl Iterator<Item = &PeerStatus> {
        self.peers
            .iter()
            .filter(|peer| self.now.since(peer.received) <= self.max_age)
    }

    fn is_ahead(&self, peer: &PeerStatus) -> bool {
        peer.beat.config_version > self.version
    }

    fn peer_has_read_log(&self, peer: &PeerStatus) -> bool {
        let elapsed = self.now.since(peer.received);
        matches!(peer.beat.evidence, ConfigEvidence::LogRead { age } if age + elapsed <= self.max_age)
    }

    fn newest_peer(&self) -> ConfigFreshness {
        self.recent_peers()
            .max_by_key(|peer| peer.beat.config_version)
            .map_or(ConfigFreshness::Unknown, |peer| {
                ConfigFreshness::Behind(peer.beat.host.clone())
            })
    }

    fn log_is_unreachable_in(&self, centre: &DataCentreName) -> bool {
        let own = centre == self.data_centre
            && matches!(self.own_evidence, ConfigEvidence::LogUnreachable { .. });
        own || self.recent_peers().any(|peer| {
            peer.beat.data_centre == *centre
                && matches!(peer.beat.evidence, ConfigEvidence::LogUnreachable { .. })
        })
    }
}

//! The last heartbeats of other entry hosts.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use derive_more::{Display, Error};
use pimentochute_base::{DataCentreName, HostName, MilliSpan, MilliTime, ServiceName};
use pimentochute_route::PeerLoad;

use crate::settings::{DataCentreSettings, Settings};
use crate::{Heartbeat, PeerStatus};

/// The number of heartbeat intervals without a heartbeat after which a host of
/// another data centre no longer counts as live.
const MAX_MISSED_REMOTE_HEARTBEATS: u64 = 3;

/// The last heartbeat of every entry host of the cell.
///
/// All times are from the local monotonic clock. This host always counts as
/// live.
pub struct PeerTable {
    own_host: HostName,
    own_centre: DataCentreName,
    centres: Vec<DataCentreSettings>,
    live_timeout: MilliSpan,
    /// As `live_timeout`, for hosts of other data centres, which send heartbeats
    /// less often.
    remote_live_timeout: MilliSpan,
    created_at: MilliTime,
    heartbeats: Mutex<HashMap<HostName, PeerStatus>>,
}

impl PeerTable {
    /// Creates a table without heartbeats; `now` is the time of its creation.
    #[must_use]
    pub fn new(settings: &Settings, now: MilliTime) -> Self {
        Self {
            own_host: settings.host.clone(),
            own_centre: settings.data_centre.clone(),
            centres: settings.data_centres.clone(),
            live_timeout: settings.peers.live_ms,
            remote_live_timeout: remote_live_timeout(settings),
            created_at: now,
            heartbeats: Mutex::default(),
        }
    }

    /// Records a received heartbeat.
    ///
    /// A heartbeat of an earlier incarnation of a live host is ignored, since
    /// it was delayed. Once the host no longer counts as live, any incarnation
    /// is accepted: incarnations are numbered by the wall clock, which may have
    /// been set back.
    ///
    /// # Errors
    /// Fails if the sender has the name of this host, or if the settings of this
    /// host do not list the sender in the data centre that it states.
    pub fn record(&self, beat: Heartbeat, now: MilliTime) -> Result<(), HeartbeatError> {
        if beat.host == self.own_host {
            return Err(HeartbeatError::OwnName);
        }
        let known = self.hosts_of(&beat.data_centre).contains(&beat.host);
        if !known {
            return Err(HeartbeatError::UnknownHost { host: beat.host });
        }
        let mut heartbeats = self.heartbeats();
        let delayed = heartbeats.get(&beat.host).is_some_and(|last| {
            let silent = now.since(last.received) >= self.live_timeout_of(&beat.data_centre);
            last.beat.incarnation > beat.incarnation && !silent
        });
        if !delayed {
            let host = beat.host.clone();
            let received = now;
            heartbeats.insert(host, PeerStatus { beat, received });
        }
        Ok(())
    }

    /// Returns the last heartbeat of a host and when it was received, or `None`
    /// if there was none.
    #[must_use]
    pub fn status(&self, host: &HostName) -> Option<PeerStatus> {
        self.heartbeats().get(host).cloned()
    }

    /// Returns the time since the last heartbeat of a host, or since the table
    /// was created if there was none. Zero for this host.
    #[must_use]
    pub fn silence(&self, host: &HostName, now: MilliTime) -> MilliSpan {
        if *host == self.own_host {
            return MilliSpan::ZERO;
        }
        let heartbeats = self.heartbeats();
        let last = heartbeats.get(host).map_or(self.created_at, |s| s.received);
        now.since(last)
    }

    /// Returns the time since the last heartbeat of any other host, or since
    /// the table was created if there was none.
    #[must_use]
    pub fn shortest_silence(&self, now: MilliTime) -> MilliSpan {
        let heartbeats = self.heartbeats();
        let last = heartbeats.values().map(|s| s.received).max();
        now.since(last.unwrap_or(self.created_at))
    }

    /// Returns the hosts of this data centre whose last heartbeat is younger
    /// than `peers.live_ms`, this host included, in the order of the settings.
    #[must_use]
    pub fn live_hosts(&self, now: MilliTime) -> Vec<HostName> {
        self.live_hosts_of(&self.own_centre, now)
    }

    /// Returns the live hosts of a data centre, in the order of the settings.
    ///
    /// For hosts of other data centres the limit is the longer one of
    /// `peers.live_ms` and three times `peers.remote_heartbeat_ms`.
    #[must_use]
    pub fn live_hosts_of(&self, centre: &DataCentreName, now: MilliTime) -> Vec<HostName> {
        let mut hosts = self.hosts_of(centre);
        hosts.retain(|host| self.is_live(host, now));
        hosts
    }

    /// Returns the live hosts of this data centre that are not draining. This
    /// host is always included.
    #[must_use]
    pub fn staying_hosts(&self, now: MilliTime) -> Vec<HostName> {
        let mut hosts = self.live_hosts(now);
        let heartbeats = self.heartbeats();
        hosts.retain(|host| heartbeats.get(host).is_none_or(|s| !s.beat.draining));
        hosts
    }

    /// Returns whether a host counts as live; see [`PeerTable::live_hosts_of`].
    #[must_use]
    pub fn is_live(&self, host: &HostName, now: MilliTime) -> bool {
        if *host == self.own_host {
            return true;
        }
        let heartbeats = self.heartbeats();
        let status = heartbeats.get(host);
        status.is_some_and(|s| now.since(s.received) < self.live_timeout_of(&s.beat.data_centre))
    }

    fn live_timeout_of(&self, centre: &DataCentreName) -> MilliSpan {
        if *centre == self.own_centre {
            self.live_timeout
        } else {
            self.remote_live_timeout
        }
    }

    /// Returns all hosts of a data centre, in the order of the settings.
    #[must_use]
    pub fn hosts_of(&self, centre: &DataCentreName) -> Vec<HostName> {
        let centre = self.centres.iter().find(|c| c.name == *centre);
        let hosts = centre.map_or(&[][..], |c| c.entry_hosts.as_slice());
        hosts.iter().map(|host| host.name.clone()).collect()
    }

    /// Returns the data centre of this host.
    #[must_use]
    pub const fn own_centre(&self) -> &DataCentreName {
        &self.own_centre
    }

    /// Returns all data centres, in the order of the settings.
    #[must_use]
    pub fn centres(&self) -> Vec<DataCentreName> {
        self.centres.iter().map(|c| c.name.clone()).collect()
    }

    /// Returns the free capacity for a service on the other live hosts of this
    /// data centre that are not draining.
    #[must_use]
    pub fn free_capacity(&self, service: &ServiceName, now: MilliTime) -> Vec<PeerLoad> {
        let hosts = self.staying_hosts(now);
        let heartbeats = self.heartbeats();
        let statuses = hosts.iter().filter_map(|host| heartbeats.get(host));
        let capacities = statuses.flat_map(|status| {
            let services = status.beat.services.iter();
            let of_service = services.filter(|capacity| capacity.service == *service);
            of_service.map(|capacity| PeerLoad {
                host: status.beat.host.clone(),
                free_slots: capacity.free_slots,
                waiting: capacity.waiting,
            })
        });
        capacities.collect()
    }

    /// Locks the heartbeats. A poisoned lock is safe to use: heartbeats are
    /// inserted whole, so a panic cannot leave the table inconsistent.
    fn heartbeats(&self) -> MutexGuard<'_, HashMap<HostName, PeerStatus>> {
        self.heartbeats
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn remote_live_timeout(settings: &Settings) -> MilliSpan {
    let interval = settings.peers.remote_heartbeat_ms.as_millis();
    let live = MilliSpan::new(interval.saturating_mul(MAX_MISSED_REMOTE_HEARTBEATS));
    live.max(settings.peers.live_ms)
}

/// A heartbeat was not recorded.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum HeartbeatError {
    /// The sender of the heartbeat has the name of this host.
    #[display(
        "another process uses the name of this host; hint: compare the settings of the hosts"
    )]
    OwnName,
    /// The settings of this host do not list the sender in the data centre that
    /// it states.
    #[display("host {host} is not in the settings; hint: give every host the same data_centres")]
    UnknownHost {
        /// The host that the heartbeat names as its sender.
        #[error(not(source))]
        host: HostName,
    },
}

//! Exchanges heartbeats with the other entry hosts.

use std::sync::Arc;

use futures::future::join_all;
use pimentochute_base::{DataCentreName, HostName, MilliClock, MilliSpan};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::settings::Settings;
use crate::supervisor::{ChildError, ChildSpec};
use crate::{HeartbeatSource, PeerLink, PeerTable};

/// Exchanges heartbeats with every other host of the data centre and with one
/// host of each other data centre.
#[derive(Clone)]
pub struct HeartbeatLoop {
    /// The settings of this host.
    pub settings: Arc<Settings>,
    /// Calls the other hosts.
    pub link: Arc<dyn PeerLink>,
    /// The source of this host's heartbeats.
    pub heartbeats: Arc<dyn HeartbeatSource>,
    /// Records the heartbeats of the other hosts.
    pub table: Arc<PeerTable>,
    /// The clock by which heartbeats are recorded.
    pub clock: MilliClock,
}

impl HeartbeatLoop {
    /// Returns the supervised child that runs the loop.
    #[must_use]
    pub fn child(self) -> ChildSpec {
        ChildSpec::new("peer heartbeat", move |stop| self.clone().run(stop))
    }

    /// Exchanges heartbeats until `stop` is cancelled.
    async fn run(self, stop: CancellationToken) -> Result<(), ChildError> {
        let own = &self.settings.host;
        let own_centre = &self.settings.data_centre;
        let peers = self.table.hosts_of(own_centre);
        let peers = peers.into_iter().filter(|host| host != own);
        let centres = self.table.centres();
        let centres = centres.into_iter().filter(|name| name != own_centre);
        let local = join_all(peers.map(|host| self.exchange_with_host(host)));
        let remote = join_all(centres.map(|centre| self.exchange_with_centre(centre)));
        tokio::select! {
            () = stop.cancelled() => {}
            _ = futures::future::join(local, remote) => stop.cancelled().await,
        }
        Ok(())
    }

    async fn exchange_with_host(&self, host: HostName) {
        let mut ticks = ticks(self.settings.peers.heartbeat_ms);
        loop {
            ticks.tick().await;
            self.exchange(&host).await;
        }
    }

    /// Exchanges heartbeats with the same host of the data centre as long as it
    /// answers, and moves on to the next host when it does not.
    async fn exchange_with_centre(&self, centre: DataCentreName) {
        let hosts = self.table.hosts_of(&centre);
        let mut ticks = ticks(self.settings.peers.remote_heartbeat_ms);
        let mut chosen = self.settings.host_index();
        while !hosts.is_empty() {
            ticks.tick().await;
            let host = &hosts[chosen % hosts.len()];
            if !self.exchange(host).await {
                chosen += 1;
            }
        }
    }

    /// Exchanges one heartbeat. Returns whether the host answered and its
    /// heartbeat was recorded.
    async fn exchange(&self, host: &HostName) -> bool {
        let answer = self.link.heartbeat(host, self.heartbeats.beat()).await;
        let recorded = match answer {
            Ok(beat) if beat.host == *host => self.table.record(beat, self.clock.now()),
            Ok(beat) => {
                log::warn!("peer: host {} answered at the address of {host}", beat.host);
                return false;
            }
            Err(error) => {
                log::debug!("peer: no heartbeat from {host}: {error}");
                return false;
            }
        };
        if let Err(fault) = &recorded {
            log::warn!("peer: heartbeat of {host} not recorded: {fault}");
        }
        recorded.is_ok()
    }
}

fn ticks(span: MilliSpan) -> tokio::time::Interval {
    let mut ticks = interval(span.as_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

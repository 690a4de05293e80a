//! Tells the router which endpoints and quotas there are.

use std::sync::Arc;

use pimentochute_base::{DataCentreName, EndpointName};
use pimentochute_platform::{HostEntry, HostRole, HostStatus};
use pimentochute_route::{
    EndpointSpec, EndpointStatus, HostPosition, RequestRouter, TeamQuota, host_permits,
};
use pimentochute_state::CellConfig;
use tokio::sync::watch;

use super::config::ConfigShared;
use super::directory::HostList;

/// Keeps the router in step with the host list and the configuration.
pub(crate) struct RouterFeed {
    pub(crate) router: RequestRouter,
    pub(crate) config: Arc<ConfigShared>,
    pub(crate) hosts: watch::Receiver<HostList>,
    pub(crate) data_centre: DataCentreName,
    pub(crate) centre_index: u32,
    pub(crate) centre_count: u32,
    pub(crate) position: HostPosition,
}

impl RouterFeed {
    /// Feeds until its future is dropped.
    pub(crate) async fn run(&self) {
        let mut hosts = self.hosts.clone();
        let mut versions = self.config.subscribe();
        self.feed_endpoints(&hosts.borrow().clone());
        self.feed_teams(&self.config.current());
        loop {
            tokio::select! {
                changed = hosts.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let list = hosts.borrow_and_update().clone();
                    self.feed_endpoints(&list);
                }
                changed = versions.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.feed_teams(&self.config.current());
                }
            }
        }
    }

    fn feed_endpoints(&self, list: &HostList) {
        let Some(list) = list else { return };
        let local = list
            .iter()
            .filter(|host| host.role == HostRole::Endpoint && host.data_centre == self.data_centre);
        self.router
            .set_endpoints(local.filter_map(endpoint_spec).collect());
    }

    fn feed_teams(&self, config: &CellConfig) {
        let quotas = config.teams.iter().map(|(team, limits)| TeamQuota {
            team: team.clone(),
            share: limits.share,
            permits: host_permits(
                limits.max_requests,
                team,
                self.centre_index,
                self.centre_count,
                self.position,
            ),
        });
        self.router.set_teams(quotas.collect());
    }
}

fn endpoint_spec(host: &HostEntry) -> Option<EndpointSpec> {
    Some(EndpointSpec {
        name: EndpointName::new(&host.name).ok()?,
        service: host.service.clone()?,
        address: host.address,
        slots: host.slots,
        connections: host.connections,
        status: match host.status {
            HostStatus::Live => EndpointStatus::Live,
            HostStatus::Leaving => EndpointStatus::Leaving,
        },
    })
}

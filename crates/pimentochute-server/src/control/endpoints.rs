//! Passes endpoints and team quotas to the router.

use std::sync::Arc;

use pimentochute_route::{EndpointSpec, HostPosition, RequestRouter, TeamQuota, host_permits};
use pimentochute_state::FleetConfig;
use tokio::sync::watch;

use super::config::ReplicatedConfig;
use super::directory::DataCentreListing;

/// Keeps the router in step with the host list and the configuration.
pub(crate) struct RouterUpdater {
    pub(crate) router: RequestRouter,
    pub(crate) config: Arc<ReplicatedConfig>,
    pub(crate) hosts: watch::Receiver<Arc<DataCentreListing>>,
    pub(crate) centre_index: u32,
    pub(crate) centre_count: u32,
    pub(crate) position: HostPosition,
}

impl RouterUpdater {
    /// Updates the router until its future is dropped or a sender is gone.
    pub(crate) async fn run(&self) {
        let mut hosts = self.hosts.clone();
        let mut config_updates = self.config.subscribe();
        self.update_endpoints(&hosts.borrow().clone());
        self.update_teams(&self.config.current());
        loop {
            tokio::select! {
                changed = hosts.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let list = hosts.borrow_and_update().clone();
                    self.update_endpoints(&list);
                }
                changed = config_updates.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.update_teams(&self.config.current());
                }
            }
        }
    }

    fn update_endpoints(&self, hosts: &DataCentreListing) {
        let Some(endpoints) = &hosts.endpoints else {
            return;
        };
        let specs = endpoints
            .iter()
            .filter_map(|host| EndpointSpec::try_from(host).ok());
        self.router.set_endpoints(specs.collect());
    }

    fn update_teams(&self, config: &FleetConfig) {
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

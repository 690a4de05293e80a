//! Tells the router which endpoints and quotas there are.

use std::sync::Arc;

use pimentochute_route::{EndpointSpec, HostPosition, RequestRouter, TeamQuota, host_permits};
use pimentochute_state::CellConfig;
use tokio::sync::watch;

use super::config::ConfigShared;
use super::directory::{HostList, LocalHosts};

/// Keeps the router in step with the host list and the configuration.
pub(crate) struct RouterFeed {
    pub(crate) router: RequestRouter,
    pub(crate) config: Arc<ConfigShared>,
    pub(crate) hosts: watch::Receiver<HostList>,
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

    fn feed_endpoints(&self, hosts: &LocalHosts) {
        let Some(endpoints) = &hosts.endpoints else {
            return;
        };
        let specs = endpoints
            .iter()
            .filter_map(|host| EndpointSpec::try_from(host).ok());
        self.router.set_endpoints(specs.collect());
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

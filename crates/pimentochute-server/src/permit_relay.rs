//! Relays requests of teams that have no permits on this host to a host where
//! they have some.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use pimentochute_base::{HostName, MilliClock, TeamName, stable_hash};
use pimentochute_route::{
    HostPosition, PeerForward, RequestOrigin, RequestRoute, RouteError, RoutedAnswer,
    RoutedRequest, host_permits,
};

use crate::PeerTable;
use crate::control::ReplicatedConfig;

/// Routes a request on this host if its team has permits here, else through
/// another host.
///
/// The request limit of a team is divided among the hosts, so a small limit
/// leaves some hosts without a permit. The load balancer does not know which:
/// without the relay, such a team would be refused at random.
pub(crate) struct PermitRelay {
    pub(crate) route: Arc<dyn RequestRoute>,
    pub(crate) forward: Arc<dyn PeerForward>,
    pub(crate) config: Arc<ReplicatedConfig>,
    pub(crate) table: Arc<PeerTable>,
    pub(crate) clock: MilliClock,
    pub(crate) position: HostPosition,
    pub(crate) centre_index: u32,
    pub(crate) centre_count: u32,
}

impl RequestRoute for PermitRelay {
    fn route(&self, request: RoutedRequest) -> BoxFuture<'_, Result<RoutedAnswer, RouteError>> {
        if request.origin != RequestOrigin::Caller || self.permits(&request.team, self.position) > 0
        {
            return self.route.route(request);
        }
        self.relay(request).boxed()
    }
}

impl PermitRelay {
    /// Tries the hosts with permits one after the other until one is reached,
    /// and routes the request on this host if none is.
    async fn relay(&self, request: RoutedRequest) -> Result<RoutedAnswer, RouteError> {
        let end = self.clock.now() + request.deadline;
        for host in self.permit_holders(&request) {
            let mut relayed = request.clone();
            relayed.origin = RequestOrigin::Relay;
            relayed.deadline = end.since(self.clock.now());
            log::info!(
                "relay: trying host {host} for request {} of team {}, which has no permits here",
                request.id,
                request.team,
            );
            match self.forward.forward(&host, relayed).await {
                Err(RouteError::PeerUnreachable | RouteError::Draining) => {}
                result => return result,
            }
        }
        let deadline = end.since(self.clock.now());
        self.route
            .route(RoutedRequest {
                deadline,
                ..request
            })
            .await
    }

    /// Returns the other live hosts of the data centre that are not draining
    /// and have permits for the team. The order is rotated by the request
    /// identifier, which spreads requests over the hosts.
    fn permit_holders(&self, request: &RoutedRequest) -> Vec<HostName> {
        let hosts = self.table.hosts_of(self.table.own_centre());
        let staying = self.table.staying_hosts(self.clock.now());
        let has_permits = |index: usize| {
            let index = u32::try_from(index).unwrap_or(u32::MAX);
            let position = HostPosition::new(index, self.position.count);
            index != self.position.index && self.permits(&request.team, position) > 0
        };
        let with_permits = hosts
            .iter()
            .enumerate()
            .filter(|(index, _)| has_permits(*index));
        let mut permit_holders: Vec<HostName> = with_permits
            .map(|(_, host)| host.clone())
            .filter(|host| staying.contains(host))
            .collect();
        if !permit_holders.is_empty() {
            let count = u64::try_from(permit_holders.len()).unwrap_or(1);
            let start = stable_hash(&request.id) % count;
            permit_holders.rotate_left(usize::try_from(start).unwrap_or(0));
        }
        permit_holders
    }

    /// Returns the number of permits of a team on a host of this data centre.
    fn permits(&self, team: &TeamName, host: HostPosition) -> u32 {
        let config = self.config.current();
        config.teams.get(team).map_or(0, |limits| {
            host_permits(
                limits.max_requests,
                team,
                self.centre_index,
                self.centre_count,
                host,
            )
        })
    }
}

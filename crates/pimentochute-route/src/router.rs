//! The router of an entry host.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use pimentochute_base::MilliClock;
use pimentochute_platform::EndpointDialer;

use crate::{
    EndpointSpec, EndpointUse, HostPosition, PeerForward, RequestRoute, RouteError, RoutedAnswer,
    RoutedRequest, RouterLoad, RouterSettings, RouterStats, TeamQuota,
};

/// Routes requests to endpoints; clones share their state.
#[derive(Clone)]
pub struct RequestRouter {
    settings: RouterSettings,
    dialer: Arc<dyn EndpointDialer>,
    peers: Arc<dyn PeerForward>,
}

impl RequestRouter {
    /// Creates a router without endpoints and teams.
    #[must_use]
    pub fn new(
        settings: RouterSettings,
        _host: HostPosition,
        dialer: Arc<dyn EndpointDialer>,
        peers: Arc<dyn PeerForward>,
        _clock: MilliClock,
    ) -> Self {
        Self {
            settings,
            dialer,
            peers,
        }
    }

    /// Replaces the list of endpoints.
    ///
    /// An endpoint that is listed as leaving or is not listed gets no new
    /// request; its requests in flight finish.
    pub fn set_endpoints(&self, _endpoints: Vec<EndpointSpec>) {}

    /// Replaces the quotas; a team without a quota is refused.
    pub fn set_teams(&self, _teams: Vec<TeamQuota>) {}

    /// Returns the free capacity for heartbeats, one entry per service.
    #[must_use]
    pub fn loads(&self) -> Vec<RouterLoad> {
        Vec::new()
    }

    /// Returns the endpoints with the slots of this host and their use.
    #[must_use]
    pub fn endpoints(&self) -> Vec<EndpointUse> {
        Vec::new()
    }

    /// Returns the counters.
    #[must_use]
    pub fn stats(&self) -> RouterStats {
        RouterStats::default()
    }

    /// Refuses new requests and returns when no accepted one is left.
    pub async fn drain(&self) {
        std::future::ready(()).await;
    }
}

impl RequestRoute for RequestRouter {
    fn route(&self, request: RoutedRequest) -> BoxFuture<'_, Result<RoutedAnswer, RouteError>> {
        let _ = (&self.settings, &self.dialer, &self.peers);
        async move {
            Err(RouteError::NoEndpoint {
                service: request.service,
            })
        }
        .boxed()
    }
}

//! The public interface of the router of an entry host.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use pimentochute_base::{MilliClock, MilliSpan};
use pimentochute_platform::EndpointDialer;

use crate::flow::RequestFlow;
use crate::guard::ActiveGuard;
use crate::next_step::log_failure;
use crate::shared::RouterShared;
use crate::{
    EndpointSpec, EndpointUsage, HostPosition, PeerForward, RequestRoute, RouteError, RoutedAnswer,
    RoutedRequest, RouterLoad, RouterSettings, RouterStats, TeamQuota,
};

/// Routes requests to endpoints, or to peers while this host has no free slot.
/// Clones share their state.
#[derive(Clone)]
pub struct RequestRouter {
    shared: Arc<RouterShared>,
}

impl RequestRouter {
    /// Creates a router that has no endpoints and no teams, and therefore
    /// refuses all requests.
    #[must_use]
    pub fn new(
        settings: RouterSettings,
        host: HostPosition,
        dialer: Arc<dyn EndpointDialer>,
        peers: Arc<dyn PeerForward>,
        clock: MilliClock,
    ) -> Self {
        let shared = RouterShared::new(settings, host, dialer, peers, clock);
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Replaces the list of endpoints.
    ///
    /// An endpoint that is listed as leaving, or is no longer listed, receives
    /// no new requests; its requests in flight finish.
    pub fn set_endpoints(&self, endpoints: Vec<EndpointSpec>) {
        let closed = self.shared.lock_and_expire().set_endpoints(endpoints);
        drop(closed);
        self.shared.serve_waiting();
    }

    /// Replaces the quotas of all teams. New requests of a team without a quota
    /// are refused.
    pub fn set_teams(&self, teams: Vec<TeamQuota>) {
        self.shared.lock_and_expire().set_teams(teams);
        self.shared.serve_waiting();
    }

    /// Returns the free capacity to report in heartbeats, one entry per
    /// service.
    #[must_use]
    pub fn loads(&self) -> Vec<RouterLoad> {
        let now = self.shared.clock.now();
        self.shared.lock_and_expire().loads(now)
    }

    /// Returns the endpoints and the usage of this host's slots, ordered by
    /// name.
    #[must_use]
    pub fn endpoints(&self) -> Vec<EndpointUsage> {
        let now = self.shared.clock.now();
        self.shared.lock_and_expire().endpoint_usage(now)
    }

    /// Returns the counters since the router was created.
    #[must_use]
    pub fn stats(&self) -> RouterStats {
        self.shared.lock().stats
    }

    /// Refuses new requests, including those of peers, and returns when all
    /// accepted requests have a result.
    ///
    /// A request has its result when [`RequestRoute::route`] returns; the HTTP
    /// server has to wait until the result is written to the caller. New
    /// requests stay refused afterwards. Can be called more than once.
    pub async fn drain(&self) {
        self.shared.lock().draining = true;
        loop {
            let drained = self.shared.drained.notified();
            tokio::pin!(drained);
            // Registers before the check, so that no notification is missed.
            drained.as_mut().enable();
            if self.shared.lock().active_requests == 0 {
                return;
            }
            drained.await;
        }
    }

    /// Accepts a request, or refuses it without queueing.
    fn admit(&self, request: &RoutedRequest) -> Result<ActiveGuard, RouteError> {
        let mut state = self.shared.lock_and_expire();
        if state.draining {
            return Err(RouteError::Draining);
        }
        if request.deadline == MilliSpan::ZERO {
            return Err(RouteError::DeadlineBeforeSend);
        }
        if !state.has_live_endpoint(&request.service) {
            let service = request.service.clone();
            return Err(RouteError::NoEndpoint { service });
        }
        let needs_permit = request.origin.needs_permit();
        // Without permits on this host, the request would only wait until its
        // deadline.
        if needs_permit
            && state
                .teams
                .get(&request.team)
                .is_none_or(|t| t.permits == 0)
        {
            let retry_after = state.retry_after(&request.service);
            return Err(RouteError::Overloaded { retry_after });
        }
        state.active_requests += 1;
        state.stats.accepted += 1;
        state.retry_budget.add_request();
        Ok(ActiveGuard::new(Arc::clone(&self.shared)))
    }

    async fn run(&self, request: RoutedRequest) -> Result<RoutedAnswer, RouteError> {
        let admitted = self.admit(&request);
        let result = match admitted {
            Ok(mut guard) => {
                let result = RequestFlow::new(Arc::clone(&self.shared), request)
                    .run()
                    .await;
                guard.finished = true;
                result
            }
            Err(error) => {
                log_failure(&request, &error, "refused on arrival");
                Err(error)
            }
        };
        self.shared.lock().stats.count(&result);
        result
    }
}

impl RequestRoute for RequestRouter {
    fn route(&self, request: RoutedRequest) -> BoxFuture<'_, Result<RoutedAnswer, RouteError>> {
        self.run(request).boxed()
    }
}

//! Connecting to an endpoint and sending one request.

use std::sync::Arc;

use pimentochute_base::{EndpointName, MilliSpan, MilliTime};
use pimentochute_platform::{EndpointAnswer, EndpointRequest, SendError};
use tokio::time::timeout;

use crate::endpoint::{EndpointKey, EndpointState, IdleConnection};
use crate::guard::ConnectionGuard;
use crate::shared::RouterShared;

/// The shortest time limit with which a failed connect or probe counts as a
/// failure of the endpoint. Round trips within a data centre take less than
/// 2 ms, so that a healthy endpoint responds within this time.
const MIN_CONCLUSIVE_TIMEOUT: MilliSpan = MilliSpan::new(50);

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// A complete answer was received.
    Answered(EndpointAnswer),
    /// The endpoint received the request and states that it did not run it.
    Refused,
    /// No byte of the request can have reached the endpoint.
    NotSent(&'static str),
    /// The request may have run, but no complete answer was received.
    Unknown(&'static str),
}

/// The parameters of a connection that is about to be opened.
struct ConnectPlan {
    guard: ConnectionGuard,
    address: std::net::SocketAddr,
    /// Whether the new connection is probed as well, because the endpoint has
    /// failed recently: the kernel still accepts connections for a stopped
    /// process, and a request sent on one would have an unknown outcome.
    needs_probe: bool,
}

/// How to obtain a connection.
enum ConnectStep {
    /// Use a connection that was idle only for a short time.
    Ready(ConnectionGuard),
    /// Probe an idle connection first.
    Probe(ConnectionGuard),
    /// Open a new connection.
    Open(ConnectPlan),
    /// The endpoint accepts no new requests.
    Unavailable,
}

impl RouterShared {
    /// Returns the name of an endpoint, or `None` if it has been removed.
    pub(crate) fn endpoint_name(&self, key: EndpointKey) -> Option<EndpointName> {
        let state = self.lock();
        state.endpoints.get(key).map(|e| e.spec.name.clone())
    }

    /// Returns whether an endpoint is known and accepts new requests.
    pub(crate) fn is_live(&self, key: EndpointKey) -> bool {
        let state = self.lock();
        state.endpoints.get(key).is_some_and(EndpointState::is_live)
    }

    /// Returns the time limit of a connect or a probe: half of the remaining
    /// time, so that another endpoint can be tried if this one does not answer.
    fn step_timeout(&self, deadline_at: MilliTime) -> MilliSpan {
        MilliSpan::new(self.time_left(deadline_at).as_millis().div_ceil(2))
    }

    /// Returns a connection that was used or probed recently, or is new, or the
    /// reason why there is none. Takes at most a probe of an idle connection,
    /// a connect, and a probe of the new connection.
    pub(crate) async fn obtain_connection(
        self: &Arc<Self>,
        key: EndpointKey,
        deadline_at: MilliTime,
    ) -> Result<ConnectionGuard, &'static str> {
        match self.choose_connection(key) {
            ConnectStep::Ready(guard) => return Ok(guard),
            ConnectStep::Unavailable => {
                return Err("endpoint accepts no new requests or is no longer listed");
            }
            ConnectStep::Open(plan) => return self.open(key, plan, deadline_at).await,
            ConnectStep::Probe(guard) => {
                if let Ok(guard) = self.probe(key, guard, deadline_at).await {
                    return Ok(guard);
                }
            }
        }
        // The other idle connections have been idle for longer, and each could
        // cost another probe timeout; opening a new connection is faster.
        self.close_idle(key);
        match self.reserve_connection(key) {
            Some(plan) => self.open(key, plan, deadline_at).await,
            None => Err("endpoint accepts no new requests or is no longer listed"),
        }
    }

    fn choose_connection(self: &Arc<Self>, key: EndpointKey) -> ConnectStep {
        let now = self.clock.now();
        let mut state = self.lock();
        let endpoint = state.endpoints.get_mut(key).filter(|e| e.is_live());
        let Some(endpoint) = endpoint else {
            return ConnectStep::Unavailable;
        };
        let generation = endpoint.generation;
        if let Some((IdleConnection { connection, .. }, idle)) = endpoint.take_idle(now) {
            let recently_used =
                idle < self.settings.probe_idle_after && !endpoint.breaker.is_suspect();
            drop(state);
            let guard = ConnectionGuard::new(Arc::clone(self), key, generation, Some(connection));
            return if recently_used {
                ConnectStep::Ready(guard)
            } else {
                ConnectStep::Probe(guard)
            };
        }
        drop(state);
        self.reserve_connection(key)
            .map_or(ConnectStep::Unavailable, ConnectStep::Open)
    }

    /// Counts a connection as open before it is opened; returns `None` if the
    /// endpoint accepts no new requests.
    fn reserve_connection(self: &Arc<Self>, key: EndpointKey) -> Option<ConnectPlan> {
        let mut state = self.lock();
        let endpoint = state.endpoints.get_mut(key).filter(|e| e.is_live())?;
        endpoint.connections += 1;
        let generation = endpoint.generation;
        let address = endpoint.spec.address;
        let needs_probe = endpoint.breaker.is_suspect();
        drop(state);
        Some(ConnectPlan {
            guard: ConnectionGuard::new(Arc::clone(self), key, generation, None),
            address,
            needs_probe,
        })
    }

    /// Opens a connection; probes it if the endpoint has failed recently.
    async fn open(
        self: &Arc<Self>,
        key: EndpointKey,
        mut plan: ConnectPlan,
        deadline_at: MilliTime,
    ) -> Result<ConnectionGuard, &'static str> {
        let span = self
            .settings
            .connect_timeout
            .min(self.step_timeout(deadline_at));
        let connect = self.dialer.connect(plan.address, span);
        let Ok(Ok(connection)) = timeout(span.as_duration(), connect).await else {
            self.record_connect(key, false, span);
            return Err("connect failed");
        };
        plan.guard.set_connection(connection);
        if plan.needs_probe {
            return self.probe(key, plan.guard, deadline_at).await;
        }
        self.record_connect(key, true, span);
        Ok(plan.guard)
    }

    /// Probes a connection; closes it if it does not answer in time.
    async fn probe(
        self: &Arc<Self>,
        key: EndpointKey,
        mut guard: ConnectionGuard,
        deadline_at: MilliTime,
    ) -> Result<ConnectionGuard, &'static str> {
        let span = self
            .settings
            .probe_timeout
            .min(self.step_timeout(deadline_at));
        let Some(connection) = guard.connection() else {
            return Err("connection is closed");
        };
        let probe = timeout(span.as_duration(), connection.probe(span)).await;
        let answered = matches!(probe, Ok(Ok(())));
        self.record_probe(key, answered, span);
        if answered {
            Ok(guard)
        } else {
            Err("probe failed")
        }
    }

    fn record_connect(&self, key: EndpointKey, opened: bool, span: MilliSpan) {
        let mut state = self.lock();
        if opened {
            state.stats.connects += 1;
        } else {
            state.stats.connect_failures += 1;
        }
        drop(state);
        let conclusive = span >= MIN_CONCLUSIVE_TIMEOUT.min(self.settings.connect_timeout);
        self.record_health(key, opened, conclusive);
    }

    fn record_probe(&self, key: EndpointKey, answered: bool, span: MilliSpan) {
        self.lock().stats.probe_failures += u64::from(!answered);
        let conclusive = span >= MIN_CONCLUSIVE_TIMEOUT.min(self.settings.probe_timeout);
        self.record_health(key, answered, conclusive);
    }

    /// Reports a result to the endpoint's circuit breaker. A failure counts
    /// only if it is `conclusive`: a timeout that was shortened by a caller's
    /// deadline says nothing about the endpoint.
    fn record_health(&self, key: EndpointKey, healthy: bool, conclusive: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(endpoint) = state.endpoints.get_mut(key) else {
            return;
        };
        if healthy {
            endpoint.breaker.record_success();
        } else if conclusive {
            endpoint.breaker.record_failure(now, &self.settings);
        }
    }

    fn close_idle(&self, key: EndpointKey) {
        let mut state = self.lock();
        let closed = state
            .endpoints
            .get_mut(key)
            .map(EndpointState::take_all_idle);
        drop(state);
        drop(closed);
    }

    /// Sends a request and waits for the answer until the request's deadline.
    /// The connection is kept for reuse only if the answer is complete.
    pub(crate) async fn send(
        &self,
        mut guard: ConnectionGuard,
        request: EndpointRequest,
    ) -> AttemptOutcome {
        let span = request.deadline;
        let Some(connection) = guard.connection() else {
            return AttemptOutcome::NotSent("connection is closed");
        };
        self.lock().stats.sent += 1;
        // The connection enforces the timeout as well; this one also covers an
        // implementation that hangs.
        let sent = timeout(span.as_duration(), connection.send(request, span)).await;
        let answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(SendError::NotSent { .. })) => {
                self.lock().stats.sent -= 1;
                return AttemptOutcome::NotSent("connection failed before the request was sent");
            }
            Ok(Err(SendError::OutcomeUnknown { .. })) => {
                return AttemptOutcome::Unknown("no complete answer");
            }
            Ok(Err(SendError::Mismatch)) => {
                return AttemptOutcome::Unknown("the answer belongs to another request");
            }
            Err(_) => return AttemptOutcome::Unknown("no answer in time"),
        };
        guard.return_to_pool();
        if answer.not_run {
            AttemptOutcome::Refused
        } else {
            AttemptOutcome::Answered(answer)
        }
    }
}

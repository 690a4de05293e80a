//! The part of the router that all requests share: state, granting and queue
//! checks.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pimentochute_base::{MilliClock, MilliSpan, MilliTime, ServiceName};
use pimentochute_platform::EndpointDialer;
use tokio::sync::{Notify, oneshot};

use crate::grant::{ChosenTarget, ChosenWaiter, GrantTarget, RequestGrant};
use crate::guard::{PeerGuard, PermitGuard, SlotGuard, WaitGuard};
use crate::state::{GrantedSlot, RouterState};
use crate::waiter::{GrantCriteria, RequestWaiter, WaitResult};
use crate::{HostPosition, PeerForward, RouterSettings};

/// The state and the dependencies of the router, shared by its requests and
/// guards.
pub(crate) struct RouterShared {
    pub(crate) settings: RouterSettings,
    pub(crate) dialer: Arc<dyn EndpointDialer>,
    pub(crate) peers: Arc<dyn PeerForward>,
    pub(crate) clock: MilliClock,
    /// Locked for short times only: never across an await, and never while a
    /// guard, a connection, the dialer or the peers are called or dropped.
    state: Mutex<RouterState>,
    /// Notified when the last active request ends.
    pub(crate) drained: Notify,
}

/// The result of [`RouterShared::grant_or_enqueue`].
pub(crate) enum GrantResult {
    /// The request may make an attempt now.
    Granted(RequestGrant),
    /// The request is queued until the receiver has a result. Dropping the
    /// guard removes it from the queue.
    Queued(oneshot::Receiver<WaitResult>, WaitGuard),
}

impl RouterShared {
    /// Creates the shared part of a router without endpoints and teams.
    pub(crate) fn new(
        settings: RouterSettings,
        host: HostPosition,
        dialer: Arc<dyn EndpointDialer>,
        peers: Arc<dyn PeerForward>,
        clock: MilliClock,
    ) -> Self {
        let state = RouterState::new(&settings, host);
        Self {
            settings,
            dialer,
            peers,
            clock,
            state: Mutex::new(state),
            drained: Notify::new(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, RouterState> {
        // Poisoning is ignored: every change leaves the counts consistent
        // before anything that could panic.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time left until `deadline_at`; zero if it has passed.
    pub(crate) fn time_left(&self, deadline_at: MilliTime) -> MilliSpan {
        deadline_at.since(self.clock.now())
    }

    /// Locks the state after releasing expired holds.
    pub(crate) fn lock_and_expire(&self) -> MutexGuard<'_, RouterState> {
        let mut state = self.lock();
        let closed = state.release_expired(self.clock.now());
        if closed.is_empty() {
            return state;
        }
        drop(state);
        drop(closed);
        self.lock()
    }

    /// Grants a target to a request, or adds it to the queue.
    pub(crate) fn grant_or_enqueue(self: &Arc<Self>, criteria: GrantCriteria) -> GrantResult {
        if let Some(slot) = self.try_take_slot(&criteria) {
            return GrantResult::Granted(self.grant(ChosenTarget::Endpoint(slot), &criteria));
        }
        let (sender, receiver) = oneshot::channel();
        let key = self.lock().add_waiter(criteria, sender, self.clock.now());
        let guard = WaitGuard::new(Arc::clone(self), key);
        self.serve_waiting();
        self.evict_surplus();
        self.start_checks();
        GrantResult::Queued(receiver, guard)
    }

    /// Takes a free slot, unless another request waits for the service.
    fn try_take_slot(&self, criteria: &GrantCriteria) -> Option<GrantedSlot> {
        let mut state = self.lock_and_expire();
        let service = state.services.get(&criteria.service);
        if service.is_some_and(|service| service.queue.waiting() > 0) {
            return None;
        }
        state.take_slot(criteria, self.clock.now())
    }

    /// Grants free slots to waiting requests in fair order: first slots of this
    /// host, then slots of peers.
    pub(crate) fn serve_waiting(self: &Arc<Self>) {
        let services = self.waiting_services();
        for service in services {
            let now = self.clock.now();
            let chosen = self.lock().grant_slots(&service, now);
            self.deliver(chosen);
            if self.lock().may_forward(&service) {
                let loads = self.peers.loads(&service);
                if loads.iter().any(|load| load.free_slots > 0) {
                    let chosen = self.lock().grant_peers(&service, &loads);
                    self.deliver(chosen);
                }
            }
        }
    }

    fn waiting_services(&self) -> Vec<ServiceName> {
        let state = self.lock_and_expire();
        if state.waiters.is_empty() {
            return Vec::new();
        }
        let services = state.services.iter();
        services
            .filter(|(_, service)| service.queue.waiting() > 0)
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn deliver(self: &Arc<Self>, chosen: Vec<ChosenWaiter>) {
        for (waiter, target) in chosen {
            let RequestWaiter {
                criteria, sender, ..
            } = waiter;
            let grant = self.grant(target, &criteria);
            // If the request was dropped in the meantime, sending fails, and
            // dropping the grant releases the target and the permit.
            drop(sender.send(WaitResult::Granted(grant)));
        }
    }

    fn grant(self: &Arc<Self>, target: ChosenTarget, criteria: &GrantCriteria) -> RequestGrant {
        let target = match target {
            ChosenTarget::Endpoint(slot) => {
                GrantTarget::Endpoint(SlotGuard::new(Arc::clone(self), slot))
            }
            ChosenTarget::Peer(host) => GrantTarget::Peer(PeerGuard::new(Arc::clone(self), host)),
        };
        let permit = criteria
            .needs_permit
            .then(|| PermitGuard::new(Arc::clone(self), criteria.team.clone()));
        RequestGrant { target, permit }
    }

    /// Evicts requests until the queue is within its bounds.
    fn evict_surplus(&self) {
        let evicted = self.lock().evict_surplus(&self.settings);
        for (waiter, retry_after) in evicted {
            drop(waiter.sender.send(WaitResult::Evicted { retry_after }));
        }
    }

    /// Starts the periodic check of the queue, unless it is running.
    ///
    /// It is needed because no event reports free slots of peers, expired holds
    /// and endpoints that may be tried again.
    fn start_checks(self: &Arc<Self>) {
        let mut state = self.lock();
        if state.checking_queue || state.waiters.is_empty() {
            return;
        }
        state.checking_queue = true;
        drop(state);
        let checks = CheckGuard(Arc::clone(self));
        tokio::spawn(async move { checks.0.check_queue().await });
    }

    async fn check_queue(self: &Arc<Self>) {
        let interval = self.settings.check_interval.max(MilliSpan::new(1));
        while self.continue_checks() {
            tokio::time::sleep(interval.as_duration()).await;
            self.serve_waiting();
        }
    }

    /// Returns whether requests wait, so that the checks continue. Sets
    /// `checking_queue` to the same value under the same lock, so that a
    /// request that is added later starts the checks again.
    fn continue_checks(&self) -> bool {
        let mut state = self.lock();
        state.checking_queue = !state.waiters.is_empty();
        state.checking_queue
    }
}

/// Clears `checking_queue` when the task ends, including by a panic or an
/// abort.
struct CheckGuard(Arc<RouterShared>);

impl Drop for CheckGuard {
    fn drop(&mut self) {
        self.0.lock().checking_queue = false;
    }
}

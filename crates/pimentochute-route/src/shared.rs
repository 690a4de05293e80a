//! What the router's requests share, and the hand-out of free places.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pimentochute_base::{MilliClock, MilliSpan, MilliTime, ServiceName};
use pimentochute_platform::EndpointDialer;
use tokio::sync::{Notify, oneshot};

use crate::grant::{ChosenTarget, ChosenWaiter, GrantTarget, RequestGrant};
use crate::guard::{PeerGuard, PermitGuard, SlotGuard, WaitGuard};
use crate::state::{GrantedSlot, RouterState};
use crate::waiter::{GrantCriteria, RequestWaiter, WaitResult};
use crate::{HostPosition, PeerForward, RouterSettings};

/// The router without its public interface.
pub(crate) struct RouterShared {
    pub(crate) settings: RouterSettings,
    pub(crate) dialer: Arc<dyn EndpointDialer>,
    pub(crate) peers: Arc<dyn PeerForward>,
    pub(crate) clock: MilliClock,
    /// Held for short times only: never while waiting, and never while a
    /// guard, a connection or another party's object is called or dropped.
    state: Mutex<RouterState>,
    /// Notified when no accepted request is left.
    pub(crate) drained: Notify,
}

/// How a request continues.
pub(crate) enum GrantState {
    /// The request goes on at once.
    Granted(RequestGrant),
    /// The request waits; the guard is its place in the queue.
    Queued(oneshot::Receiver<WaitResult>, WaitGuard),
}

impl RouterShared {
    /// Creates the shared part.
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

    /// Locks the state.
    pub(crate) fn lock(&self) -> MutexGuard<'_, RouterState> {
        // Each change leaves the counts consistent before anything that could
        // panic, so that the state of a panicked thread is usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time left to `deadline`.
    pub(crate) fn time_left(&self, deadline: MilliTime) -> MilliSpan {
        deadline.since(self.clock.now())
    }

    /// Locks the state after giving back what is held past its time.
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

    /// Takes a place for a request, or queues it.
    pub(crate) fn grant_or_enqueue(self: &Arc<Self>, criteria: GrantCriteria) -> GrantState {
        if let Some(slot) = self.try_take_slot(&criteria) {
            return GrantState::Granted(self.grant(ChosenTarget::Endpoint(slot), &criteria));
        }
        let (sender, receiver) = oneshot::channel();
        let key = self.lock().add_waiter(criteria, sender, self.clock.now());
        let guard = WaitGuard::new(Arc::clone(self), key);
        self.serve_waiting();
        self.evict_surplus();
        self.start_checks();
        GrantState::Queued(receiver, guard)
    }

    /// Takes a free slot if no other request waits for the service.
    fn try_take_slot(&self, criteria: &GrantCriteria) -> Option<GrantedSlot> {
        let mut state = self.lock_and_expire();
        let service = state.services.get(&criteria.service);
        if service.is_some_and(|service| service.queue.waiting() > 0) {
            return None;
        }
        state.take_slot(criteria, self.clock.now())
    }

    /// Hands free places to waiting requests in fair order: slots of this
    /// host first, then those of peers.
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
            // A caller that went away in between drops the grant, and with
            // it gives the place back.
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

    /// Refuses requests until the queue is within its bounds.
    fn evict_surplus(&self) {
        let evicted = self.lock().evict_surplus(&self.settings);
        for (waiter, retry_after) in evicted {
            drop(waiter.sender.send(WaitResult::Evicted { retry_after }));
        }
    }

    /// Starts the checks of the queue at intervals, unless they run.
    ///
    /// Free slots of peers, lapsed holds and endpoints to be tried again are
    /// not announced by an event.
    fn start_checks(self: &Arc<Self>) {
        let mut state = self.lock();
        if state.checking || state.waiters.is_empty() {
            return;
        }
        state.checking = true;
        drop(state);
        let checks = CheckGuard(Arc::clone(self));
        tokio::spawn(async move { checks.0.check_queue().await });
    }

    async fn check_queue(self: &Arc<Self>) {
        let interval = self.settings.check_interval.max(MilliSpan::new(1));
        while self.needs_checks() {
            tokio::time::sleep(interval.as_duration()).await;
            self.serve_waiting();
        }
    }

    /// Tells whether requests wait; under the same lock, so that a request
    /// that is added afterwards starts the checks again.
    fn needs_checks(&self) -> bool {
        let mut state = self.lock();
        state.checking = !state.waiters.is_empty();
        state.checking
    }
}

/// Notes the end of the checks after a panic or when the task is aborted.
struct CheckGuard(Arc<RouterShared>);

impl Drop for CheckGuard {
    fn drop(&mut self) {
        self.0.lock().checking = false;
    }
}

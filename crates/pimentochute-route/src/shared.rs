//! What the router's requests share, and the hand-out of free places.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pimentochute_base::{MilliClock, MilliSpan, MilliTime, ServiceName};
use pimentochute_platform::EndpointDialer;
use tokio::sync::{Notify, oneshot};

use crate::grant::{ChosenPlace, ChosenWaiter, GrantPlace, RequestGrant};
use crate::guard::{PeerGuard, PermitGuard, SlotGuard, WaitGuard};
use crate::state::{RouterState, SlotUse};
use crate::waiter::{RequestNeed, RequestWaiter, WaitResult};
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
pub(crate) enum RequestTurn {
    /// The request goes on at once.
    Now(RequestGrant),
    /// The request waits; the guard is its place in the queue.
    Later(oneshot::Receiver<WaitResult>, WaitGuard),
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
    pub(crate) fn lock_current(&self) -> MutexGuard<'_, RouterState> {
        let mut state = self.lock();
        let closed = state.release_lapsed(self.clock.now());
        if closed.is_empty() {
            return state;
        }
        drop(state);
        drop(closed);
        self.lock()
    }

    /// Takes a place for a request, or queues it.
    pub(crate) fn take_turn(self: &Arc<Self>, need: RequestNeed) -> RequestTurn {
        if let Some(slot) = self.take_slot_at_once(&need) {
            return RequestTurn::Now(self.grant(ChosenPlace::Endpoint(slot), &need));
        }
        let (sender, receiver) = oneshot::channel();
        let key = self.lock().add_waiter(need, sender, self.clock.now());
        let guard = WaitGuard::new(Arc::clone(self), key);
        self.serve_waiting();
        self.evict_surplus();
        self.start_checks();
        RequestTurn::Later(receiver, guard)
    }

    /// Takes a free slot if no other request waits for the service.
    fn take_slot_at_once(&self, need: &RequestNeed) -> Option<SlotUse> {
        let mut state = self.lock_current();
        let service = state.services.get(&need.service);
        if service.is_some_and(|service| service.queue.waiting() > 0) {
            return None;
        }
        state.take_slot(need, self.clock.now())
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
        let state = self.lock_current();
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
        for (waiter, place) in chosen {
            let RequestWaiter { need, sender, .. } = waiter;
            let grant = self.grant(place, &need);
            // A caller that went away in between drops the grant, and with
            // it gives the place back.
            drop(sender.send(WaitResult::Granted(grant)));
        }
    }

    fn grant(self: &Arc<Self>, place: ChosenPlace, need: &RequestNeed) -> RequestGrant {
        let place = match place {
            ChosenPlace::Endpoint(slot) => {
                GrantPlace::Endpoint(SlotGuard::new(Arc::clone(self), slot))
            }
            ChosenPlace::Peer(host) => GrantPlace::Peer(PeerGuard::new(Arc::clone(self), host)),
        };
        let permit = need
            .permit
            .then(|| PermitGuard::new(Arc::clone(self), need.team.clone()));
        RequestGrant { place, permit }
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

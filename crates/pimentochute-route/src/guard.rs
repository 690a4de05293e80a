//! Guards that release on drop what a request uses, also when it fails or its
//! future is dropped.

use std::fmt;
use std::sync::Arc;

use pimentochute_base::{HostName, MilliTime, TeamName};
use pimentochute_platform::EndpointConnection;

use crate::endpoint::{EndpointKey, IdleConnection};
use crate::fair::WaiterKey;
use crate::shared::RouterShared;
use crate::state::GrantedSlot;

/// A slot of an endpoint.
///
/// Dropping the guard releases the slot, or holds it until `hold_until` if the
/// request may still be running.
pub(crate) struct SlotGuard {
    shared: Arc<RouterShared>,
    pub(crate) slot: GrantedSlot,
    /// The time by which an attempt that was sent has ended. `None` if nothing
    /// was sent or the outcome is known.
    pub(crate) hold_until: Option<MilliTime>,
}

impl SlotGuard {
    /// Guards a slot that is already counted as in use.
    pub(crate) const fn new(shared: Arc<RouterShared>, slot: GrantedSlot) -> Self {
        Self {
            shared,
            slot,
            hold_until: None,
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        if self.slot.is_trial {
            if let Some(endpoint) = state.endpoints.get_mut(self.slot.endpoint) {
                endpoint.breaker.end_trial();
            }
            self.slot.is_trial = false;
        }
        let closed = match self.hold_until {
            Some(until) => {
                state.hold_slot(self.slot.clone(), until);
                Vec::new()
            }
            None => state.release_slot(&self.slot, now),
        };
        drop(state);
        drop(closed);
        self.shared.serve_waiting();
    }
}

impl fmt::Debug for SlotGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("SlotGuard").field(&self.slot).finish()
    }
}

/// A permit of a team.
///
/// Dropping the guard releases the permit, or holds it until `hold_until` if
/// the request may still be running.
pub(crate) struct PermitGuard {
    shared: Arc<RouterShared>,
    team: TeamName,
    /// The time by which all attempts that were sent have ended. `None` if
    /// nothing was sent or all outcomes are known.
    pub(crate) hold_until: Option<MilliTime>,
}

impl PermitGuard {
    /// Guards a permit that is already counted as in flight.
    pub(crate) const fn new(shared: Arc<RouterShared>, team: TeamName) -> Self {
        Self {
            shared,
            team,
            hold_until: None,
        }
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        match self.hold_until {
            Some(until) => state.hold_permit(self.team.clone(), until),
            None => state.release_permit(&self.team),
        }
        drop(state);
        self.shared.serve_waiting();
    }
}

impl fmt::Debug for PermitGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("PermitGuard").field(&self.team).finish()
    }
}

/// A forward to a peer that is not answered yet; dropping the guard ends it.
pub(crate) struct PeerGuard {
    shared: Arc<RouterShared>,
    pub(crate) host: HostName,
}

impl PeerGuard {
    /// Guards a forward that is already counted.
    pub(crate) const fn new(shared: Arc<RouterShared>, host: HostName) -> Self {
        Self { shared, host }
    }
}

impl Drop for PeerGuard {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        if let Some(count) = state.forwards.get_mut(&self.host) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                state.forwards.remove(&self.host);
            }
        }
    }
}

impl fmt::Debug for PeerGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("PeerGuard").field(&self.host).finish()
    }
}

/// A request in the queue; dropping the guard removes it.
pub(crate) struct WaitGuard {
    shared: Arc<RouterShared>,
    key: WaiterKey,
}

impl WaitGuard {
    /// Guards a waiting request.
    pub(crate) const fn new(shared: Arc<RouterShared>, key: WaiterKey) -> Self {
        Self { shared, key }
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let waiter = self.shared.lock().remove_waiter(self.key);
        drop(waiter);
    }
}

/// An accepted request that has no result yet; [`RequestRouter::drain`] waits
/// for it.
///
/// [`RequestRouter::drain`]: crate::RequestRouter::drain
pub(crate) struct ActiveGuard {
    shared: Arc<RouterShared>,
    /// Whether the request has a result. If not, it counts as abandoned when
    /// the guard is dropped.
    pub(crate) finished: bool,
}

impl ActiveGuard {
    /// Guards a request that is already counted as active.
    pub(crate) const fn new(shared: Arc<RouterShared>) -> Self {
        Self {
            shared,
            finished: false,
        }
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.active_requests = state.active_requests.saturating_sub(1);
        state.stats.abandoned += u64::from(!self.finished);
        let idle = state.active_requests == 0;
        drop(state);
        if idle {
            self.shared.drained.notify_waiters();
        }
    }
}

/// A connection in use by one request.
///
/// Dropping the guard closes the connection, so that no connection with an
/// outstanding answer is reused after an error, a mismatch or a caller that
/// went away.
pub(crate) struct ConnectionGuard {
    shared: Arc<RouterShared>,
    endpoint: EndpointKey,
    generation: u32,
    /// Whether dropping the guard has to count the connection as closed.
    counted: bool,
    connection: Option<Box<dyn EndpointConnection>>,
}

impl ConnectionGuard {
    /// Guards a connection that is already counted as open; `connection` is
    /// `None` while it is being opened.
    pub(crate) const fn new(
        shared: Arc<RouterShared>,
        endpoint: EndpointKey,
        generation: u32,
        connection: Option<Box<dyn EndpointConnection>>,
    ) -> Self {
        Self {
            shared,
            endpoint,
            generation,
            counted: true,
            connection,
        }
    }

    /// Sets the connection once it is open.
    pub(crate) fn set_connection(&mut self, connection: Box<dyn EndpointConnection>) {
        self.connection = Some(connection);
    }

    /// Returns the connection; `None` while it is being opened.
    pub(crate) fn connection(&mut self) -> Option<&mut (dyn EndpointConnection + 'static)> {
        self.connection.as_deref_mut()
    }

    /// Returns the connection to the idle connections of the endpoint. Call
    /// this only after a complete answer. The connection is closed if the
    /// endpoint's address has changed or it accepts no new requests.
    pub(crate) fn return_to_pool(mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        let last_used_at = self.shared.clock.now();
        let mut state = self.shared.lock();
        let endpoint = state.endpoints.get_mut(self.endpoint);
        let endpoint = endpoint.filter(|e| e.generation == self.generation && e.is_live());
        if let Some(endpoint) = endpoint {
            endpoint.idle.push(IdleConnection {
                connection,
                last_used_at,
            });
            self.counted = false;
        } else {
            drop(state);
            drop(connection);
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        if let Some(endpoint) = state.endpoints.get_mut(self.endpoint)
            && endpoint.generation == self.generation
            && self.counted
        {
            endpoint.record_closed(1);
        }
    }
}

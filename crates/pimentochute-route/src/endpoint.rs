//! The state of one endpoint: slots, connections and circuit breaker.

use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_platform::EndpointConnection;
use slotmap::new_key_type;

use crate::breaker::EndpointBreaker;
use crate::slots::{owned_connections, owned_slots};
use crate::{EndpointSpec, EndpointStatus, EndpointUsage, HostPosition};

new_key_type! {
    /// The key of an endpoint in the arena.
    pub(crate) struct EndpointKey;
}

/// An endpoint, its slots and its connections.
pub(crate) struct EndpointState {
    /// The latest entry of the endpoint list.
    pub(crate) spec: EndpointSpec,
    /// Whether the endpoint is in the latest list.
    pub(crate) listed: bool,
    /// The number of slots that this host may use; at most `max_connections`.
    pub(crate) owned_slots: u32,
    /// The number of connections that this host may open.
    pub(crate) max_connections: u32,
    /// The number of slots in use, held ones included. Exceeds `owned_slots`
    /// only after the endpoint was listed with fewer slots.
    pub(crate) in_use: u32,
    /// The number of slots held for attempts with an unknown outcome.
    pub(crate) held: u32,
    /// The number of connections to the current address: busy, idle or being
    /// opened.
    pub(crate) connections: u32,
    /// Incremented when the address changes. Connections of an older generation
    /// are not reused.
    pub(crate) generation: u32,
    /// The idle connections, the most recently used one last.
    pub(crate) idle: Vec<IdleConnection>,
    /// Tracks failed connects and probes.
    pub(crate) breaker: EndpointBreaker,
}

impl EndpointState {
    /// Creates the state of a listed endpoint without connections.
    pub(crate) fn new(spec: EndpointSpec, host: HostPosition) -> Self {
        let mut state = Self {
            spec,
            listed: true,
            owned_slots: 0,
            max_connections: 0,
            in_use: 0,
            held: 0,
            connections: 0,
            generation: 0,
            idle: Vec::new(),
            breaker: EndpointBreaker::default(),
        };
        state.set_owned_limits(host);
        state
    }

    /// Applies a newer entry of the endpoint list; returns the connections to
    /// close.
    pub(crate) fn update(&mut self, spec: EndpointSpec, host: HostPosition) -> Vec<IdleConnection> {
        let moved = spec.address != self.spec.address;
        self.spec = spec;
        self.listed = true;
        self.set_owned_limits(host);
        if moved {
            // Slots in use stay counted: the list does not state whether the
            // process at the old address has stopped.
            self.generation = self.generation.wrapping_add(1);
            self.connections = 0;
            self.breaker.record_success();
            return std::mem::take(&mut self.idle);
        }
        self.trim_idle()
    }

    fn set_owned_limits(&mut self, host: HostPosition) {
        self.max_connections = owned_connections(self.spec.connections, host);
        // Each request needs a connection of its own.
        self.owned_slots =
            owned_slots(&self.spec.name, self.spec.slots, host).min(self.max_connections);
    }

    /// Returns whether the endpoint accepts new requests.
    pub(crate) fn is_live(&self) -> bool {
        self.listed && self.spec.status == EndpointStatus::Live
    }

    /// Returns the number of slots that new requests can use now.
    pub(crate) fn free_slots(&self, now: MilliTime) -> u32 {
        if self.is_live() && self.breaker.allows(now) {
            self.owned_slots.saturating_sub(self.in_use)
        } else {
            0
        }
    }

    /// Returns the rank by which endpoints are chosen, the smallest first: the
    /// share of slots in use, then whether a connection has to be opened.
    /// `None` if no slot is free.
    pub(crate) fn selection_rank(&self, now: MilliTime) -> Option<(u64, bool)> {
        (self.free_slots(now) > 0).then(|| {
            let used = (u64::from(self.in_use) << 32) / u64::from(self.owned_slots);
            (used, self.idle.is_empty())
        })
    }

    /// Returns whether the endpoint is neither listed nor in use.
    pub(crate) fn is_removable(&self) -> bool {
        !self.listed && self.in_use == 0
    }

    /// Removes idle connections that exceed one connection per slot in use plus
    /// one spare; all of them if the endpoint accepts no new requests.
    pub(crate) fn trim_idle(&mut self) -> Vec<IdleConnection> {
        let keep = if self.is_live() {
            self.max_connections.min(self.in_use + 1)
        } else {
            0
        };
        let surplus = self.connections.saturating_sub(keep) as usize;
        let count = surplus.min(self.idle.len());
        self.record_closed(count);
        self.idle.drain(..count).collect()
    }

    /// Removes the most recently used idle connection; returns it with the time
    /// for which it was idle.
    pub(crate) fn take_idle(&mut self, now: MilliTime) -> Option<(IdleConnection, MilliSpan)> {
        let idle = self.idle.pop()?;
        let span = now.since(idle.last_used_at);
        Some((idle, span))
    }

    /// Removes all idle connections.
    pub(crate) fn take_all_idle(&mut self) -> Vec<IdleConnection> {
        self.record_closed(self.idle.len());
        std::mem::take(&mut self.idle)
    }

    /// Counts connections as closed.
    pub(crate) fn record_closed(&mut self, count: usize) {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.connections = self.connections.saturating_sub(count);
    }

    /// Returns the usage that operators see.
    pub(crate) fn usage(&self, now: MilliTime) -> EndpointUsage {
        let status = if self.is_live() {
            EndpointStatus::Live
        } else {
            EndpointStatus::Leaving
        };
        EndpointUsage {
            name: self.spec.name.clone(),
            service: self.spec.service.clone(),
            status,
            slots: self.owned_slots,
            in_use: self.in_use,
            held: self.held,
            connections: self.connections,
            avoided: !self.breaker.allows(now),
        }
    }
}

/// An open connection that no request uses.
pub(crate) struct IdleConnection {
    pub(crate) connection: Box<dyn EndpointConnection>,
    /// The time at which its last request ended.
    pub(crate) last_used_at: MilliTime,
}

//! The state of one endpoint.

use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_platform::EndpointConnection;
use slotmap::new_key_type;

use crate::breaker::EndpointBreaker;
use crate::slots::{owned_connections, owned_slots};
use crate::{EndpointSpec, EndpointStatus, EndpointUse, HostPosition};

new_key_type! {
    /// The key of an endpoint in the arena.
    pub(crate) struct EndpointKey;
}

/// A connection that no request uses.
pub(crate) struct IdleConnection {
    /// The connection.
    pub(crate) connection: Box<dyn EndpointConnection>,
    /// When it was last used.
    pub(crate) last_used_at: MilliTime,
}

/// An endpoint, its slots and its connections.
pub(crate) struct EndpointState {
    /// The endpoint as last listed.
    pub(crate) spec: EndpointSpec,
    /// Whether the endpoint is in the newest list.
    pub(crate) listed: bool,
    /// The slots that this host may use; at most `max_connections`.
    pub(crate) owned_slots: u32,
    /// The connections that this host may open.
    pub(crate) max_connections: u32,
    /// The slots in use, held ones included. May exceed `owned_slots` only after
    /// the endpoint was listed with fewer slots.
    pub(crate) in_use: u32,
    /// The slots held for attempts with an unknown outcome.
    pub(crate) held: u32,
    /// The open connections of the current address, busy and idle.
    pub(crate) connections: u32,
    /// Increases when the address changes; older connections are not reused.
    pub(crate) generation: u32,
    /// The idle connections, the most recently used one last.
    pub(crate) idle: Vec<IdleConnection>,
    /// Whether connects and probes succeed.
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

    /// Takes over a newer listing; returns the connections to close.
    pub(crate) fn update(&mut self, spec: EndpointSpec, host: HostPosition) -> Vec<IdleConnection> {
        let moved = spec.address != self.spec.address;
        self.spec = spec;
        self.listed = true;
        self.set_owned_limits(host);
        if moved {
            // Slots in use stay counted: the list does not say whether the
            // process at the old address has ended.
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

    /// Tells whether the endpoint takes new requests.
    pub(crate) fn is_live(&self) -> bool {
        self.listed && self.spec.status == EndpointStatus::Live
    }

    /// Returns the slots that a new request can use now.
    pub(crate) fn free_slots(&self, now: MilliTime) -> u32 {
        if self.is_live() && self.breaker.allows(now) {
            self.owned_slots.saturating_sub(self.in_use)
        } else {
            0
        }
    }

    /// Returns the part of the slots in use and whether no idle connection is
    /// at hand; the smallest rank is chosen. `None` if no slot is free.
    pub(crate) fn selection_rank(&self, now: MilliTime) -> Option<(u64, bool)> {
        (self.free_slots(now) > 0).then(|| {
            let used = (u64::from(self.in_use) << 32) / u64::from(self.owned_slots);
            (used, self.idle.is_empty())
        })
    }

    /// Tells whether the endpoint can be forgotten.
    pub(crate) fn is_removable(&self) -> bool {
        !self.listed && self.in_use == 0
    }

    /// Removes idle connections beyond the slots in use plus one spare.
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

    /// Takes the most recently used idle connection and its idle time.
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

    /// Returns the view for operators.
    pub(crate) fn usage(&self, now: MilliTime) -> EndpointUse {
        let status = if self.is_live() {
            EndpointStatus::Live
        } else {
            EndpointStatus::Leaving
        };
        EndpointUse {
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

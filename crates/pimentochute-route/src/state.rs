//! The state of the router that its lock protects.

use std::collections::{BTreeMap, HashMap};

use fastrand::Rng;
use pimentochute_base::{EndpointName, HostName, MilliTime, ServiceName, TeamName};
use slotmap::SlotMap;

use crate::budget::RetryBudget;
use crate::endpoint::{EndpointKey, EndpointState, IdleConnection};
use crate::fair::{FairQueue, WaiterKey};
use crate::hold::TimedHold;
use crate::waiter::RequestWaiter;
use crate::{
    EndpointSpec, EndpointUsage, HostPosition, RouterLoad, RouterSettings, RouterStats, TeamQuota,
};

/// All mutable state of the router.
pub(crate) struct RouterState {
    pub(crate) host: HostPosition,
    pub(crate) endpoints: SlotMap<EndpointKey, EndpointState>,
    pub(crate) endpoint_keys: HashMap<EndpointName, EndpointKey>,
    pub(crate) services: BTreeMap<ServiceName, ServiceState>,
    pub(crate) teams: HashMap<TeamName, TeamState>,
    pub(crate) waiters: SlotMap<WaiterKey, RequestWaiter>,
    /// The total size of the bodies of waiting requests, in bytes.
    pub(crate) waiting_bytes: usize,
    /// The number of requests forwarded to each peer and not yet answered.
    pub(crate) forwards: HashMap<HostName, u32>,
    /// Holds, ordered by the time at which they expire. A sequence number makes
    /// the keys unique.
    pub(crate) holds: BTreeMap<(MilliTime, u64), TimedHold>,
    /// The last sequence number given to a hold or a waiter.
    last_sequence: u64,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) rng: Rng,
    pub(crate) stats: RouterStats,
    pub(crate) draining: bool,
    /// The number of accepted requests that have no result yet.
    pub(crate) active_requests: u64,
    /// Whether the task that checks the queue periodically is running.
    pub(crate) checking_queue: bool,
}

impl RouterState {
    /// Creates a state that has no endpoints and no teams.
    pub(crate) fn new(settings: &RouterSettings, host: HostPosition) -> Self {
        Self {
            host,
            endpoints: SlotMap::with_key(),
            endpoint_keys: HashMap::new(),
            services: BTreeMap::new(),
            teams: HashMap::new(),
            waiters: SlotMap::with_key(),
            waiting_bytes: 0,
            forwards: HashMap::new(),
            holds: BTreeMap::new(),
            last_sequence: 0,
            retry_budget: RetryBudget::new(settings),
            rng: Rng::with_seed(settings.seed),
            stats: RouterStats::default(),
            draining: false,
            active_requests: 0,
            checking_queue: false,
        }
    }

    /// Returns the next sequence number.
    pub(crate) const fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Replaces the list of endpoints; returns the connections to close.
    pub(crate) fn set_endpoints(&mut self, specs: Vec<EndpointSpec>) -> Vec<IdleConnection> {
        for endpoint in self.endpoints.values_mut() {
            endpoint.listed = false;
        }
        let mut closed = Vec::new();
        for spec in specs {
            closed.extend(self.set_endpoint(spec));
        }
        for endpoint in self.endpoints.values_mut() {
            closed.extend(endpoint.trim_idle());
        }
        self.remove_unused_endpoints();
        closed
    }

    fn set_endpoint(&mut self, spec: EndpointSpec) -> Vec<IdleConnection> {
        let known = self.endpoint_keys.get(&spec.name);
        if let Some(endpoint) = known.and_then(|key| self.endpoints.get_mut(*key)) {
            return endpoint.update(spec, self.host);
        }
        let name = spec.name.clone();
        let key = self.endpoints.insert(EndpointState::new(spec, self.host));
        self.endpoint_keys.insert(name, key);
        Vec::new()
    }

    /// Removes endpoints that are neither listed nor in use, and services that
    /// have neither endpoints nor waiting requests.
    pub(crate) fn remove_unused_endpoints(&mut self) {
        self.endpoints
            .retain(|_, endpoint| !endpoint.is_removable());
        let endpoints = &self.endpoints;
        self.endpoint_keys
            .retain(|_, key| endpoints.contains_key(*key));
        for service in self.services.values_mut() {
            service.endpoints.clear();
        }
        for (key, endpoint) in &self.endpoints {
            let service = endpoint.spec.service.clone();
            self.services
                .entry(service)
                .or_default()
                .endpoints
                .push(key);
        }
        self.services
            .retain(|_, service| !service.endpoints.is_empty() || service.queue.waiting() > 0);
    }

    /// Replaces the quotas of all teams. Removes teams that are no longer
    /// listed. A team with requests is kept until a call after its last request
    /// has ended.
    pub(crate) fn set_teams(&mut self, quotas: Vec<TeamQuota>) {
        for team in self.teams.values_mut() {
            team.share = 0;
            team.permits = 0;
        }
        for quota in quotas {
            let team = self.teams.entry(quota.team).or_default();
            team.share = quota.share.max(1);
            team.permits = quota.permits;
        }
        self.teams.retain(|_, team| !team.is_unused());
        let teams = &self.teams;
        for service in self.services.values_mut() {
            service.queue.prune(|team| teams.contains_key(team));
        }
    }

    /// Returns the share of a team; it is one for a team without a quota.
    pub(crate) fn share(&self, team: &TeamName) -> u32 {
        self.teams.get(team).map_or(1, |state| state.share.max(1))
    }

    /// Returns whether a service has an endpoint that accepts new requests.
    pub(crate) fn has_live_endpoint(&self, service: &ServiceName) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| {
            let mut endpoints = service.endpoints.iter();
            endpoints.any(|key| self.endpoints.get(*key).is_some_and(EndpointState::is_live))
        })
    }

    /// Returns the number of slots of a service that new requests can use now.
    pub(crate) fn free_slots(&self, service: &ServiceState, now: MilliTime) -> u32 {
        let endpoints = service.endpoints.iter();
        endpoints
            .filter_map(|key| self.endpoints.get(*key))
            .map(|endpoint| endpoint.free_slots(now))
            .sum()
    }

    /// Returns the free capacity of each service.
    pub(crate) fn loads(&self, now: MilliTime) -> Vec<RouterLoad> {
        let services = self.services.iter();
        services
            .map(|(name, service)| RouterLoad {
                service: name.clone(),
                // A stopping host refuses forwarded requests.
                free_slots: if self.draining {
                    0
                } else {
                    self.free_slots(service, now)
                },
                waiting: u32::try_from(service.queue.waiting()).unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// Returns the endpoints and their usage, ordered by name.
    pub(crate) fn endpoint_usage(&self, now: MilliTime) -> Vec<EndpointUsage> {
        let mut endpoints: Vec<_> = self.endpoints.values().map(|e| e.usage(now)).collect();
        endpoints.sort_by(|a, b| a.name.cmp(&b.name));
        endpoints
    }

    /// Releases a slot; returns the connections to close.
    pub(crate) fn release_slot(
        &mut self,
        slot: &GrantedSlot,
        now: MilliTime,
    ) -> Vec<IdleConnection> {
        let share = self.share(&slot.team);
        if let Some(service) = self.services.get_mut(&slot.service) {
            let queue = &mut service.queue;
            queue.release(&slot.team, share, slot.charged_millis, slot.granted_at, now);
        }
        if let Some(team) = self.teams.get_mut(&slot.team) {
            team.slots = team.slots.saturating_sub(1);
        }
        let Some(endpoint) = self.endpoints.get_mut(slot.endpoint) else {
            return Vec::new();
        };
        endpoint.in_use = endpoint.in_use.saturating_sub(1);
        let closed = endpoint.trim_idle();
        if endpoint.is_removable() {
            self.remove_unused_endpoints();
        }
        closed
    }

    /// Releases a permit of a team.
    pub(crate) fn release_permit(&mut self, team: &TeamName) {
        if let Some(team) = self.teams.get_mut(team) {
            team.in_flight = team.in_flight.saturating_sub(1);
        }
    }
}

/// The endpoints and the queue of one service.
#[derive(Default)]
pub(crate) struct ServiceState {
    /// The listed endpoints, and removed ones that still have slots in use.
    pub(crate) endpoints: Vec<EndpointKey>,
    /// The waiting requests.
    pub(crate) queue: FairQueue,
}

/// The quota and the current usage of a team on this host.
#[derive(Debug, Default)]
pub(crate) struct TeamState {
    /// The team's share; zero if it has no quota.
    pub(crate) share: u32,
    /// The number of requests that may be in flight.
    pub(crate) permits: u32,
    /// The number of permits in use, held ones included. Exceeds `permits` only
    /// after the quota was lowered.
    pub(crate) in_flight: u32,
    /// The number of endpoint slots in use, over all services.
    pub(crate) slots: u32,
    /// The number of waiting requests, over all services.
    pub(crate) waiting: u32,
}

impl TeamState {
    /// Returns whether the team has neither a quota nor requests.
    const fn is_unused(&self) -> bool {
        self.share == 0 && self.in_flight == 0 && self.slots == 0 && self.waiting == 0
    }
}

/// A slot that was granted to a request and is not yet released.
#[derive(Debug, Clone)]
pub(crate) struct GrantedSlot {
    /// The endpoint; it stays in the arena while the slot is in use.
    pub(crate) endpoint: EndpointKey,
    /// The service that the endpoint belonged to when the slot was granted.
    pub(crate) service: ServiceName,
    /// The team that is charged for the slot time.
    pub(crate) team: TeamName,
    /// The time of the grant.
    pub(crate) granted_at: MilliTime,
    /// The slot time charged at the grant, in milliseconds.
    pub(crate) charged_millis: u64,
    /// Whether the request is the trial of an open circuit breaker.
    pub(crate) is_trial: bool,
}

//! Grants: which waiting request may make an attempt next, and at which target.

use std::cmp::Ordering;

use pimentochute_base::{HostName, MilliTime, ServiceName, TeamName};

use crate::PeerLoad;
use crate::endpoint::{EndpointKey, EndpointState};
use crate::fair::WaiterKey;
use crate::guard::{PeerGuard, PermitGuard, SlotGuard};
use crate::state::{GrantedSlot, RouterState};
use crate::waiter::{GrantCriteria, RequestWaiter};

/// The permission to make one attempt.
#[derive(Debug)]
pub(crate) struct RequestGrant {
    /// The endpoint or peer that the attempt goes to.
    pub(crate) target: GrantTarget,
    /// The team's permit; `None` if the request needed none.
    pub(crate) permit: Option<PermitGuard>,
}

/// The target of an attempt; releases what it reserves when it is dropped.
#[derive(Debug)]
pub(crate) enum GrantTarget {
    /// An endpoint, through one of this host's slots.
    Endpoint(SlotGuard),
    /// A peer that reported free slots.
    Peer(PeerGuard),
}

/// A target that is already counted in the state but has no guard yet. It
/// becomes a [`GrantTarget`] after the state is unlocked, because dropping a
/// guard locks the state.
pub(crate) enum ChosenTarget {
    /// A slot of an endpoint.
    Endpoint(GrantedSlot),
    /// A peer.
    Peer(HostName),
}

/// A request that was removed from the queue, and the target it was granted.
pub(crate) type ChosenWaiter = (RequestWaiter, ChosenTarget);

impl RouterState {
    /// Takes a slot and, if needed, a permit for a request; `None` if there is
    /// no free one.
    pub(crate) fn take_slot(
        &mut self,
        criteria: &GrantCriteria,
        now: MilliTime,
    ) -> Option<GrantedSlot> {
        if criteria.needs_permit && !self.has_permit(&criteria.team) {
            return None;
        }
        let key = self.choose_endpoint(criteria, now)?;
        let share = self.share(&criteria.team);
        let service = self.services.get_mut(&criteria.service)?;
        let endpoint = self.endpoints.get_mut(key)?;
        endpoint.in_use += 1;
        let slot = GrantedSlot {
            endpoint: key,
            service: criteria.service.clone(),
            team: criteria.team.clone(),
            granted_at: now,
            charged_millis: service.queue.charge(&criteria.team, share),
            is_trial: endpoint.breaker.begin_request(),
        };
        let team = self.teams.entry(criteria.team.clone()).or_default();
        team.slots += 1;
        team.in_flight += u32::from(criteria.needs_permit);
        Some(slot)
    }

    /// Returns whether a team may have one more request in flight.
    pub(crate) fn has_permit(&self, team: &TeamName) -> bool {
        let team = self.teams.get(team);
        team.is_some_and(|team| team.in_flight < team.permits)
    }

    /// Chooses the endpoint with the lowest share of its slots in use.
    ///
    /// All endpoints of the service are compared instead of two random ones: a
    /// service has about 50 endpoints and a host owns one or two slots of each,
    /// so that two random endpoints rarely have a free slot when slots are
    /// scarce. Ties go to endpoints with an idle connection, then to a random
    /// one. Endpoints that failed before the request was sent come last.
    /// Endpoints that were sent the request are used again only if no other
    /// endpoint is live.
    fn choose_endpoint(&mut self, criteria: &GrantCriteria, now: MilliTime) -> Option<EndpointKey> {
        let keys = &self.services.get(&criteria.service)?.endpoints;
        let endpoints = &self.endpoints;
        let is_live = |key| endpoints.get(key).is_some_and(EndpointState::is_live);
        let all_tried = !keys
            .iter()
            .any(|key| !criteria.tried.contains(key) && is_live(*key));
        let mut best = None;
        let mut ties = 0;
        for key in keys.iter().copied() {
            if !all_tried && criteria.tried.contains(&key) {
                continue;
            }
            let Some(rank) = endpoints.get(key).and_then(|e| e.selection_rank(now)) else {
                continue;
            };
            let rank = (criteria.failed.contains(&key), rank);
            let order = best.map_or(Ordering::Less, |(_, best_rank)| rank.cmp(&best_rank));
            ties = if order.is_eq() { ties + 1 } else { ties };
            if order.is_lt() || (order.is_eq() && self.rng.u32(0..=ties) == 0) {
                ties = if order.is_lt() { 0 } else { ties };
                best = Some((key, rank));
            }
        }
        best.map(|(key, _)| key)
    }

    /// Grants this host's free slots of a service to waiting requests in fair
    /// order.
    pub(crate) fn grant_slots(
        &mut self,
        service: &ServiceName,
        now: MilliTime,
    ) -> Vec<ChosenWaiter> {
        let mut chosen = Vec::new();
        while self.has_free_slot(service, now)
            && let Some(waiter) = self.grant_next(service, |state, criteria| {
                state.take_slot(criteria, now).map(ChosenTarget::Endpoint)
            })
        {
            chosen.push(waiter);
        }
        chosen
    }

    fn has_free_slot(&self, service: &ServiceName, now: MilliTime) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| self.free_slots(service, now) > 0)
    }

    /// Grants free slots of peers to waiting requests in fair order.
    pub(crate) fn grant_peers(
        &mut self,
        service: &ServiceName,
        loads: &[PeerLoad],
    ) -> Vec<ChosenWaiter> {
        let mut chosen = Vec::new();
        while let Some(waiter) = self.grant_next(service, |state, criteria| {
            state.take_peer(criteria, loads).map(ChosenTarget::Peer)
        }) {
            chosen.push(waiter);
        }
        chosen
    }

    /// Removes the first request in fair order for which `take` finds a target.
    fn grant_next(
        &mut self,
        service: &ServiceName,
        mut take: impl FnMut(&mut Self, &GrantCriteria) -> Option<ChosenTarget>,
    ) -> Option<ChosenWaiter> {
        // The first team can usually be served. Sorting 200 waiting teams for
        // each grant doubles the CPU time of a request.
        let first = self.services.get(service)?.queue.next_team()?;
        if let Some(chosen) = self.grant_team(service, &first, &mut take) {
            return Some(chosen);
        }
        let order = self.services.get(service)?.queue.teams_in_order();
        let others = order.iter().filter(|team| **team != first);
        for team in others {
            if let Some(chosen) = self.grant_team(service, team, &mut take) {
                return Some(chosen);
            }
        }
        None
    }

    fn grant_team(
        &mut self,
        service: &ServiceName,
        team: &TeamName,
        take: &mut impl FnMut(&mut Self, &GrantCriteria) -> Option<ChosenTarget>,
    ) -> Option<ChosenWaiter> {
        for key in self.candidates(service, team) {
            let criteria = self.waiters.get(key)?.criteria.clone();
            if let Some(target) = take(self, &criteria) {
                return self.remove_waiter(key).map(|waiter| (waiter, target));
            }
        }
        None
    }

    /// Returns the requests of a team that may be served next: all that need
    /// no permit, then the oldest that needs one.
    fn candidates(&self, service: &ServiceName, team: &TeamName) -> Vec<WaiterKey> {
        let service = self.services.get(service);
        let Some(team_queue) = service.and_then(|service| service.queue.team_queue(team)) else {
            return Vec::new();
        };
        let without_permit = team_queue.without_permit.front();
        team_queue
            .with_permit
            .iter()
            .chain(without_permit)
            .copied()
            .collect()
    }

    /// Takes a free slot of a peer and, if needed, a permit for a request;
    /// `None` if there is no free one.
    fn take_peer(&mut self, criteria: &GrantCriteria, loads: &[PeerLoad]) -> Option<HostName> {
        if !criteria.forwardable || (criteria.needs_permit && !self.has_permit(&criteria.team)) {
            return None;
        }
        let free = self.free_peers(criteria, loads);
        let host = match free.as_slice() {
            [] => return None,
            [(_, host)] => (*host).clone(),
            peers => {
                // The less loaded of two random peers: all hosts see the same
                // loads, and would otherwise all choose the same peer until
                // its next heartbeat.
                let first = self.rng.usize(0..peers.len());
                let second = (first + self.rng.usize(1..peers.len())) % peers.len();
                peers[first].max(peers[second]).1.clone()
            }
        };
        *self.forwards.entry(host.clone()).or_default() += 1;
        let share = self.share(&criteria.team);
        let service = self.services.get_mut(&criteria.service)?;
        service.queue.charge_forward(&criteria.team, share);
        let team = self.teams.entry(criteria.team.clone()).or_default();
        team.in_flight += u32::from(criteria.needs_permit);
        Some(host)
    }

    /// Returns the peers with free slots, after subtracting the requests that
    /// this host has forwarded to them and that are not answered yet. If the
    /// last heartbeat already counts such a request, it is subtracted twice;
    /// waiting here too long is preferred to overloading a peer.
    fn free_peers<'a>(
        &self,
        criteria: &GrantCriteria,
        loads: &'a [PeerLoad],
    ) -> Vec<(u32, &'a HostName)> {
        let forwards = |host: &HostName| self.forwards.get(host).copied().unwrap_or(0);
        loads
            .iter()
            .filter(|load| !criteria.tried_peers.contains(&load.host))
            .map(|load| {
                (
                    load.free_slots.saturating_sub(forwards(&load.host)),
                    &load.host,
                )
            })
            .filter(|(free, _)| *free > 0)
            .collect()
    }

    /// Returns whether any request of a service that could be served next may
    /// be forwarded.
    pub(crate) fn may_forward(&self, service: &ServiceName) -> bool {
        let Some(service) = self.services.get(service) else {
            return false;
        };
        let mut keys = service.queue.team_queues().flat_map(|(_, team_queue)| {
            team_queue
                .with_permit
                .iter()
                .chain(team_queue.without_permit.front())
        });
        keys.any(|key| {
            self.waiters
                .get(*key)
                .is_some_and(|w| w.criteria.forwardable)
        })
    }
}

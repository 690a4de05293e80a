//! Waiting requests and the bounds of the queue.

use pimentochute_base::{HostName, MilliSpan, MilliTime, ServiceName, TeamName};
use smallvec::SmallVec;
use tokio::sync::oneshot;

use crate::RouterSettings;
use crate::endpoint::EndpointKey;
use crate::fair::WaiterKey;
use crate::grant::RequestGrant;
use crate::state::RouterState;

/// The shortest time after which a refused caller may try again.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// The longest time after which a refused caller may try again.
const MAX_RETRY_AFTER_MS: u64 = 10_000;

/// What a request needs to go on.
#[derive(Debug, Clone)]
pub(crate) struct GrantCriteria {
    /// The service.
    pub(crate) service: ServiceName,
    /// The team.
    pub(crate) team: TeamName,
    /// Whether a permit of the team is needed.
    pub(crate) needs_permit: bool,
    /// Whether a peer may route the request.
    pub(crate) forwardable: bool,
    /// Whether the request may be refused in favour of another one. An
    /// earlier attempt that may have run rules this out.
    pub(crate) evictable: bool,
    /// The endpoints that failed before the request was sent; used again only
    /// if no other one has a free slot.
    pub(crate) failed: SmallVec<[EndpointKey; 4]>,
    /// The endpoints that were sent the request; used again only if there is
    /// no other live one.
    pub(crate) tried: SmallVec<[EndpointKey; 4]>,
    /// The peers that were tried.
    pub(crate) tried_peers: SmallVec<[HostName; 2]>,
    /// The bytes of the body.
    pub(crate) body_bytes: usize,
}

/// What a waiting request is told.
#[derive(Debug)]
pub(crate) enum WaitResult {
    /// The request may go on.
    Granted(RequestGrant),
    /// The request is refused in favour of another one.
    Evicted {
        /// When to try again.
        retry_after: MilliSpan,
    },
}

/// A waiting request.
pub(crate) struct RequestWaiter {
    /// What it waits for.
    pub(crate) criteria: GrantCriteria,
    /// The order of arrival.
    sequence: u64,
    /// Receives the result.
    pub(crate) sender: oneshot::Sender<WaitResult>,
}

impl RouterState {
    /// Adds a waiting request. The bounds are applied later by
    /// [`RouterState::evict_surplus`], after free slots were handed out.
    pub(crate) fn add_waiter(
        &mut self,
        criteria: GrantCriteria,
        sender: oneshot::Sender<WaitResult>,
        now: MilliTime,
    ) -> WaiterKey {
        let sequence = self.next_sequence();
        let (service, team) = (criteria.service.clone(), criteria.team.clone());
        let with_permit = !criteria.needs_permit;
        self.waiting_bytes += criteria.body_bytes;
        self.teams.entry(team.clone()).or_default().waiting += 1;
        let key = self.waiters.insert(RequestWaiter {
            criteria,
            sequence,
            sender,
        });
        let service = self.services.entry(service).or_default();
        service.queue.push(&team, key, with_permit, now);
        key
    }

    /// Removes a waiting request.
    pub(crate) fn remove_waiter(&mut self, key: WaiterKey) -> Option<RequestWaiter> {
        let waiter = self.waiters.remove(key)?;
        self.waiting_bytes -= waiter.criteria.body_bytes;
        if let Some(team) = self.teams.get_mut(&waiter.criteria.team) {
            team.waiting = team.waiting.saturating_sub(1);
        }
        if let Some(service) = self.services.get_mut(&waiter.criteria.service) {
            service.queue.remove(&waiter.criteria.team, key);
        }
        Some(waiter)
    }

    /// Removes requests until the queue is within its bounds; returns them
    /// with the time after which their callers may try again.
    pub(crate) fn evict_surplus(
        &mut self,
        settings: &RouterSettings,
    ) -> Vec<(RequestWaiter, MilliSpan)> {
        let mut evicted = Vec::new();
        while self.waiters.len() > settings.max_waiting
            || self.waiting_bytes > settings.max_waiting_bytes
        {
            let Some(key) = self.eviction_candidate() else {
                break;
            };
            if let Some(waiter) = self.remove_waiter(key) {
                let retry_after = self.retry_after(&waiter.criteria.service);
                evicted.push((waiter, retry_after));
            }
        }
        evicted
    }

    /// Returns the newest waiting request of the team most over its share:
    /// the one with the most slots and waiting requests relative to it.
    fn eviction_candidate(&self) -> Option<WaiterKey> {
        let team_queues = self.services.values().flat_map(|s| s.queue.team_queues());
        team_queues
            .filter_map(|(team, team_queue)| {
                let key = self.newest_evictable(
                    team_queue
                        .without_permit
                        .iter()
                        .chain(&team_queue.with_permit),
                )?;
                let sequence = self.waiters.get(key)?.sequence;
                Some((self.usage_per_share(team), sequence, key))
            })
            .max_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)))
            .map(|(_, _, key)| key)
    }

    fn newest_evictable<'a>(&self, keys: impl Iterator<Item = &'a WaiterKey>) -> Option<WaiterKey> {
        keys.copied()
            .filter_map(|key| Some((self.waiters.get(key)?, key)))
            .filter(|(waiter, _)| waiter.criteria.evictable)
            .max_by_key(|(waiter, _)| waiter.sequence)
            .map(|(_, key)| key)
    }

    /// Returns a team's use relative to its share, scaled to whole numbers.
    fn usage_per_share(&self, team: &TeamName) -> u64 {
        let used = self
            .teams
            .get(team)
            .map_or(0, |state| u64::from(state.slots) + u64::from(state.waiting));
        (used << 32) / u64::from(self.share(team))
    }

    /// Estimates when a slot will be free for another request.
    ///
    /// A random part keeps refused callers from coming back together.
    pub(crate) fn retry_after(&mut self, service: &ServiceName) -> MilliSpan {
        let Some(service) = self.services.get(service) else {
            return MilliSpan::new(MIN_RETRY_AFTER_MS);
        };
        let slots: u64 = service
            .endpoints
            .iter()
            .filter_map(|key| self.endpoints.get(*key))
            .map(|endpoint| u64::from(endpoint.owned_slots))
            .sum();
        let work = (service.queue.waiting() as u64 + 1) * service.queue.mean_millis();
        let span = (work / slots.max(1)).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        MilliSpan::new(span + self.rng.u64(0..=span / 2))
    }
}

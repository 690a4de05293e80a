//! Waiting requests: bounds of the queue, eviction and retry times.

use pimentochute_base::{HostName, MilliSpan, MilliTime, ServiceName, TeamName};
use smallvec::SmallVec;
use tokio::sync::oneshot;

use crate::RouterSettings;
use crate::endpoint::EndpointKey;
use crate::fair::WaiterKey;
use crate::grant::RequestGrant;
use crate::state::RouterState;

/// The minimum retry time that a refused caller is given.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// The maximum retry time that a refused caller is given, before the random
/// part is added.
const MAX_RETRY_AFTER_MS: u64 = 10_000;

/// A request in the queue.
pub(crate) struct RequestWaiter {
    /// What the request waits for.
    pub(crate) criteria: GrantCriteria,
    /// The order of arrival; larger is newer.
    sequence: u64,
    /// Receives the result.
    pub(crate) sender: oneshot::Sender<WaitResult>,
}

/// What a request needs for its next attempt.
#[derive(Debug, Clone)]
pub(crate) struct GrantCriteria {
    pub(crate) service: ServiceName,
    pub(crate) team: TeamName,
    /// Whether a permit of the team has to be granted as well.
    pub(crate) needs_permit: bool,
    /// Whether the request may be forwarded to a peer.
    pub(crate) forwardable: bool,
    /// Whether the request may be evicted from a full queue. `false` once an
    /// attempt may have run, because eviction reports the request as not run.
    pub(crate) evictable: bool,
    /// The endpoints to which the request could not be sent; used again only if
    /// no other endpoint has a free slot.
    pub(crate) failed: SmallVec<[EndpointKey; 4]>,
    /// The endpoints to which the request was sent; used again only if no other
    /// endpoint is live.
    pub(crate) tried: SmallVec<[EndpointKey; 4]>,
    /// The peers that were tried; not used again.
    pub(crate) tried_peers: SmallVec<[HostName; 2]>,
    /// The size of the body, in bytes.
    pub(crate) body_bytes: usize,
}

/// The end of a request's wait in the queue.
#[derive(Debug)]
pub(crate) enum WaitResult {
    /// The request may make an attempt.
    Granted(RequestGrant),
    /// The request was refused because the queue is full.
    Evicted {
        /// The time after which the caller may try again.
        retry_after: MilliSpan,
    },
}

impl RouterState {
    /// Adds a request to the queue. The bounds are not checked here but by
    /// [`RouterState::evict_surplus`], after free slots have been granted.
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

    /// Removes a request from the queue; `None` if it is no longer waiting.
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

    /// Evicts requests until the queue is within its bounds; returns them with
    /// the time after which their callers may try again.
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

    /// Returns the newest evictable request of the team that is most over its
    /// share: the one with the most slots and waiting requests relative to its
    /// share.
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

    /// Returns the slots and waiting requests of a team divided by its share,
    /// as a fixed-point number with 32 fractional bits.
    fn usage_per_share(&self, team: &TeamName) -> u64 {
        let used = self
            .teams
            .get(team)
            .map_or(0, |state| u64::from(state.slots) + u64::from(state.waiting));
        (used << 32) / u64::from(self.share(team))
    }

    /// Estimates the time until a slot is free for another request.
    ///
    /// Up to half of the estimate is added at random, so that refused callers
    /// do not all retry at the same time.
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

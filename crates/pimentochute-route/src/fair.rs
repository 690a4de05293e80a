//! Weighted fair queueing of the requests that wait for one service.

use std::collections::{BTreeMap, VecDeque};

use pimentochute_base::{MilliTime, TeamName};
use slotmap::new_key_type;

new_key_type! {
    /// The key of a waiting request in the arena.
    pub(crate) struct WaiterKey;
}

/// The virtual time units that one millisecond of slot time costs at share one.
const VIRTUAL_UNITS_PER_MILLI: u64 = 1_000_000;

/// The weight of the old mean in a team's moving mean of slot times, out of
/// `MEAN_TOTAL_WEIGHT`.
const MEAN_OLD_WEIGHT: u64 = 3;

/// The sum of the weights of the old mean and of a new slot time.
const MEAN_TOTAL_WEIGHT: u64 = 4;

/// A weighted fair queue.
///
/// Each team has a virtual time that advances by the slot time that the team
/// uses, divided by its share. The team with the earliest virtual time is
/// served next. A granted slot is charged with the team's mean slot time; the
/// charge is corrected to the actual time when the slot is released.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    team_queues: BTreeMap<TeamName, TeamQueue>,
    /// The virtual time of the last grant; never decreases.
    virtual_now: u64,
    waiting: usize,
    /// When the queue last became non-empty; `None` while it is empty.
    contended_since: Option<MilliTime>,
}

/// The waiting requests of one team and its slot usage.
#[derive(Debug)]
pub(crate) struct TeamQueue {
    virtual_time: u64,
    mean_millis: u64,
    /// The number of granted slots that are not yet released.
    in_use: u32,
    /// Requests that already hold a permit: retries, and requests whose permit
    /// is held by the peer that forwarded them.
    pub(crate) with_permit: VecDeque<WaiterKey>,
    /// Requests that still need a permit.
    pub(crate) without_permit: VecDeque<WaiterKey>,
}

impl Default for TeamQueue {
    fn default() -> Self {
        Self {
            virtual_time: 0,
            mean_millis: 1,
            in_use: 0,
            with_permit: VecDeque::new(),
            without_permit: VecDeque::new(),
        }
    }
}

impl TeamQueue {
    fn is_idle(&self) -> bool {
        self.in_use == 0 && self.with_permit.is_empty() && self.without_permit.is_empty()
    }
}

impl FairQueue {
    /// Returns the number of waiting requests.
    pub(crate) const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the queue of a team, if it has one.
    pub(crate) fn team_queue(&self, team: &TeamName) -> Option<&TeamQueue> {
        self.team_queues.get(team)
    }

    /// Returns the queues of all known teams, ordered by team name.
    pub(crate) fn team_queues(&self) -> impl Iterator<Item = (&TeamName, &TeamQueue)> {
        self.team_queues.iter()
    }

    /// Appends a waiting request to the queue of its team.
    pub(crate) fn push(
        &mut self,
        team: &TeamName,
        key: WaiterKey,
        with_permit: bool,
        now: MilliTime,
    ) {
        self.contended_since.get_or_insert(now);
        self.waiting += 1;
        let team_queue = self.team_queues.entry(team.clone()).or_default();
        if with_permit {
            team_queue.with_permit.push_back(key);
        } else {
            team_queue.without_permit.push_back(key);
        }
    }

    /// Removes a waiting request.
    pub(crate) fn remove(&mut self, team: &TeamName, key: WaiterKey) {
        let Some(team_queue) = self.team_queues.get_mut(team) else {
            return;
        };
        let found = remove_key(&mut team_queue.with_permit, key)
            || remove_key(&mut team_queue.without_permit, key);
        if found {
            self.waiting -= 1;
        }
        if self.waiting == 0 {
            self.contended_since = None;
        }
    }

    /// Returns the team to serve next; `None` if no request waits.
    pub(crate) fn next_team(&self) -> Option<TeamName> {
        let first = self.virtual_start_times().min()?;
        Some(first.1.clone())
    }

    fn virtual_start_times(&self) -> impl Iterator<Item = (u64, &TeamName)> {
        self.team_queues
            .iter()
            .filter(|(_, team_queue)| {
                !team_queue.with_permit.is_empty() || !team_queue.without_permit.is_empty()
            })
            .map(|(team, team_queue)| (team_queue.virtual_time.max(self.virtual_now), team))
    }

    /// Returns the teams with waiting requests, the next one to serve first.
    pub(crate) fn teams_in_order(&self) -> Vec<TeamName> {
        let mut teams: Vec<_> = self.virtual_start_times().collect();
        teams.sort_unstable();
        teams.into_iter().map(|(_, team)| team.clone()).collect()
    }

    /// Charges a team for a granted slot; returns the slot time charged, in
    /// milliseconds.
    pub(crate) fn charge(&mut self, team: &TeamName, share: u32) -> u64 {
        let team_queue = self.team_queues.entry(team.clone()).or_default();
        let start = team_queue.virtual_time.max(self.virtual_now);
        self.virtual_now = start;
        team_queue.virtual_time = start.saturating_add(virtual_span(team_queue.mean_millis, share));
        team_queue.in_use += 1;
        team_queue.mean_millis
    }

    /// Charges a team for a forwarded request, so that forwards count in the
    /// fair order. The charge is not corrected later: the peer charges the
    /// team for the slot time that the request uses there.
    pub(crate) fn charge_forward(&mut self, team: &TeamName, share: u32) {
        self.charge(team, share);
        if let Some(team_queue) = self.team_queues.get_mut(team) {
            team_queue.in_use = team_queue.in_use.saturating_sub(1);
        }
    }

    /// Corrects the charge of a slot that was granted at `granted_at` to the
    /// slot time that was used.
    ///
    /// Slot time before the queue became non-empty is not charged: a long
    /// request that ran while no request waited must not delay its team later.
    pub(crate) fn release(
        &mut self,
        team: &TeamName,
        share: u32,
        charged_millis: u64,
        granted_at: MilliTime,
        now: MilliTime,
    ) {
        let Some(team_queue) = self.team_queues.get_mut(team) else {
            return;
        };
        team_queue.in_use = team_queue.in_use.saturating_sub(1);
        let used = now.since(granted_at).as_millis().max(1);
        team_queue.mean_millis =
            (team_queue.mean_millis * MEAN_OLD_WEIGHT + used).div_ceil(MEAN_TOTAL_WEIGHT);
        if let Some(since) = self.contended_since {
            let used = now.since(granted_at.max(since)).as_millis().max(1);
            let time = team_queue
                .virtual_time
                .saturating_add(virtual_span(used, share));
            team_queue.virtual_time = time.saturating_sub(virtual_span(charged_millis, share));
        }
    }

    /// Returns the mean slot time over the teams, in milliseconds.
    pub(crate) fn mean_millis(&self) -> u64 {
        let sum: u64 = self
            .team_queues
            .values()
            .map(|team_queue| team_queue.mean_millis)
            .sum();
        sum / (self.team_queues.len() as u64).max(1)
    }

    /// Removes teams that have no requests and for which `keep` returns false.
    pub(crate) fn prune(&mut self, keep: impl Fn(&TeamName) -> bool) {
        self.team_queues
            .retain(|team, team_queue| !team_queue.is_idle() || keep(team));
    }
}

fn virtual_span(millis: u64, share: u32) -> u64 {
    millis.saturating_mul(VIRTUAL_UNITS_PER_MILLI) / u64::from(share.max(1))
}

fn remove_key(queue: &mut VecDeque<WaiterKey>, key: WaiterKey) -> bool {
    let position = queue.iter().position(|item| *item == key);
    position.and_then(|index| queue.remove(index)).is_some()
}

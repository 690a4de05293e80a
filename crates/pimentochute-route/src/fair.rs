//! The fair order of waiting requests of one service.

use std::collections::{BTreeMap, VecDeque};

use pimentochute_base::{MilliTime, TeamName};
use slotmap::new_key_type;

new_key_type! {
    /// The key of a waiting request in the arena.
    pub(crate) struct WaiterKey;
}

/// The virtual time of one millisecond of a slot at share one.
const VIRTUAL_PER_MILLI: u64 = 1_000_000;

/// The weight of the past in a team's mean slot time, of `MEAN_PARTS`.
const MEAN_PAST_PARTS: u64 = 3;

/// The parts of a team's mean slot time.
const MEAN_PARTS: u64 = 4;

/// A weighted fair queue.
///
/// Each team has a virtual time that advances with the slot time it uses,
/// divided by its share; the team with the earliest one is served next. Slot
/// time is charged as the team's mean when a slot is granted, and corrected
/// when the slot is released.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    lines: BTreeMap<TeamName, TeamLine>,
    /// The virtual time of the last grant; never decreases.
    now: u64,
    waiting: usize,
    /// Since when requests wait without a break.
    contended_since: Option<MilliTime>,
}

/// The waiting requests of one team.
#[derive(Debug)]
pub(crate) struct TeamLine {
    virtual_time: u64,
    mean_millis: u64,
    /// The slots in use and not yet released.
    in_use: u32,
    /// Requests that need no permit: retries and requests of peers.
    pub(crate) admitted: VecDeque<WaiterKey>,
    /// Requests that need a permit.
    pub(crate) fresh: VecDeque<WaiterKey>,
}

impl Default for TeamLine {
    fn default() -> Self {
        Self {
            virtual_time: 0,
            mean_millis: 1,
            in_use: 0,
            admitted: VecDeque::new(),
            fresh: VecDeque::new(),
        }
    }
}

impl TeamLine {
    fn is_idle(&self) -> bool {
        self.in_use == 0 && self.admitted.is_empty() && self.fresh.is_empty()
    }
}

impl FairQueue {
    /// Returns the number of waiting requests.
    pub(crate) const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns a team's line.
    pub(crate) fn line(&self, team: &TeamName) -> Option<&TeamLine> {
        self.lines.get(team)
    }

    /// Returns the lines of all teams.
    pub(crate) fn lines(&self) -> impl Iterator<Item = (&TeamName, &TeamLine)> {
        self.lines.iter()
    }

    /// Appends a waiting request to its team's line.
    pub(crate) fn push(&mut self, team: &TeamName, key: WaiterKey, admitted: bool, now: MilliTime) {
        self.contended_since.get_or_insert(now);
        self.waiting += 1;
        let line = self.lines.entry(team.clone()).or_default();
        if admitted {
            line.admitted.push_back(key);
        } else {
            line.fresh.push_back(key);
        }
    }

    /// Removes a waiting request.
    pub(crate) fn remove(&mut self, team: &TeamName, key: WaiterKey) {
        let Some(line) = self.lines.get_mut(team) else {
            return;
        };
        let found = remove_key(&mut line.admitted, key) || remove_key(&mut line.fresh, key);
        if found {
            self.waiting -= 1;
        }
        if self.waiting == 0 {
            self.contended_since = None;
        }
    }

    /// Returns the next team to serve.
    pub(crate) fn first(&self) -> Option<TeamName> {
        let first = self.line_times().min()?;
        Some(first.1.clone())
    }

    fn line_times(&self) -> impl Iterator<Item = (u64, &TeamName)> {
        self.lines
            .iter()
            .filter(|(_, line)| !line.admitted.is_empty() || !line.fresh.is_empty())
            .map(|(team, line)| (line.virtual_time.max(self.now), team))
    }

    /// Returns the teams with waiting requests, the next one to serve first.
    pub(crate) fn order(&self) -> Vec<TeamName> {
        let mut teams: Vec<_> = self.line_times().collect();
        teams.sort_unstable();
        teams.into_iter().map(|(_, team)| team.clone()).collect()
    }

    /// Charges a granted slot; returns the slot time charged, in milliseconds.
    pub(crate) fn charge(&mut self, team: &TeamName, share: u32) -> u64 {
        let line = self.lines.entry(team.clone()).or_default();
        let start = line.virtual_time.max(self.now);
        self.now = start;
        line.virtual_time = start.saturating_add(virtual_span(line.mean_millis, share));
        line.in_use += 1;
        line.mean_millis
    }

    /// Charges a request that a peer routes. The peer charges it too, by the
    /// slot time that it uses there; here it only keeps its place in turn.
    pub(crate) fn charge_forward(&mut self, team: &TeamName, share: u32) {
        self.charge(team, share);
        if let Some(line) = self.lines.get_mut(team) {
            line.in_use = line.in_use.saturating_sub(1);
        }
    }

    /// Corrects the charge of a slot that was granted at `granted`.
    ///
    /// Use before the contention began is not charged: a long request that
    /// ran while nobody else waited must not hold back its team afterwards.
    pub(crate) fn release(
        &mut self,
        team: &TeamName,
        share: u32,
        charged: u64,
        granted: MilliTime,
        now: MilliTime,
    ) {
        let Some(line) = self.lines.get_mut(team) else {
            return;
        };
        line.in_use = line.in_use.saturating_sub(1);
        let used = now.since(granted).as_millis().max(1);
        line.mean_millis = (line.mean_millis * MEAN_PAST_PARTS + used).div_ceil(MEAN_PARTS);
        if let Some(since) = self.contended_since {
            let used = now.since(granted.max(since)).as_millis().max(1);
            let time = line.virtual_time.saturating_add(virtual_span(used, share));
            line.virtual_time = time.saturating_sub(virtual_span(charged, share));
        }
    }

    /// Returns the mean slot time over the teams, in milliseconds.
    pub(crate) fn mean_millis(&self) -> u64 {
        let sum: u64 = self.lines.values().map(|line| line.mean_millis).sum();
        sum / (self.lines.len() as u64).max(1)
    }

    /// Forgets teams without requests for which `keep` is false.
    pub(crate) fn prune(&mut self, keep: impl Fn(&TeamName) -> bool) {
        self.lines
            .retain(|team, line| !line.is_idle() || keep(team));
    }
}

fn virtual_span(millis: u64, share: u32) -> u64 {
    millis.saturating_mul(VIRTUAL_PER_MILLI) / u64::from(share.max(1))
}

fn remove_key(line: &mut VecDeque<WaiterKey>, key: WaiterKey) -> bool {
    let position = line.iter().position(|item| *item == key);
    position.and_then(|index| line.remove(index)).is_some()
}

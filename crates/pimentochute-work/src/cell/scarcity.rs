//! Whether all waiting work fits, and which teams hold more than their share meanwhile.
//!
//! The load that this answers: for some seconds, more work arrives that could end in time
//! than the workers can run, because all teams send more or one team sends many times its
//! usual.

use std::collections::BTreeMap;

use pimentochute_base::ResourceAmount;

/// The room of a cell and what waits for it, at the start of a placement round.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RoomPressure {
    /// The free resources of the workers that take runs.
    pub(super) free: ResourceAmount,
    /// The demand of the waiting tasks that can still end in time.
    pub(super) on_time_demand: ResourceAmount,
}

/// How much each team with waiting work uses, in proportion to its weight.
#[derive(Debug, Default)]
pub(super) struct TeamShares<'a> {
    levels: BTreeMap<&'a str, TeamLevel>,
}

/// What a team uses.
#[derive(Debug, Clone, Copy)]
struct TeamLevel {
    /// The part of the capacity that its runs take, in millionths of the scarcest resource.
    used_ppm: u64,
    weight: u64,
}

/// Whether a team uses more than its share. The order is that of the ranks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ShareStatus {
    /// At most its share.
    Within,
    /// More than that.
    Above,
}

impl RoomPressure {
    /// Returns whether not all work fits that can still end in time.
    pub(super) fn is_scarce(&self) -> bool {
        !self.on_time_demand.fits_within(&self.free)
    }
}

impl<'a> TeamShares<'a> {
    /// Adds a team that has waiting work.
    pub(super) fn add(&mut self, team: &'a str, used_ppm: u64, weight: u64) {
        let weight = weight.max(1);
        self.levels.insert(team, TeamLevel { used_ppm, weight });
    }

    /// Returns whether a team is known here.
    pub(super) fn contains(&self, team: &str) -> bool {
        self.levels.contains_key(team)
    }

    /// Returns whether a team uses more than its share by weight of what all teams with
    /// waiting work use together. What the other teams use is not theirs to claim.
    pub(super) fn status(&self, team: Option<&str>) -> ShareStatus {
        let Some(level) = team.and_then(|team| self.levels.get(team)) else {
            return ShareStatus::Within;
        };
        let used: u64 = self.levels.values().map(|level| level.used_ppm).sum();
        let weight: u64 = self.levels.values().map(|level| level.weight).sum();
        if level.used_ppm.saturating_mul(weight) > used.saturating_mul(level.weight) {
            ShareStatus::Above
        } else {
            ShareStatus::Within
        }
    }

    /// Returns whether a team uses less than its share.
    pub(super) fn is_below(&self, team: &str) -> bool {
        let used: u64 = self.levels.values().map(|level| level.used_ppm).sum();
        let weight: u64 = self.levels.values().map(|level| level.weight).sum();
        self.levels.get(team).is_none_or(|level| {
            level.used_ppm.saturating_mul(weight) < used.saturating_mul(level.weight)
        })
    }

    /// Returns the number of teams above their share.
    pub(super) fn above(&self) -> usize {
        let teams = self.levels.keys();
        teams
            .filter(|team| self.status(Some(team)) == ShareStatus::Above)
            .count()
    }
}

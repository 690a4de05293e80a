//! The resources in use and the submission rate of each team.

use pimentochute_base::{MilliTime, ResourceAmount};

use super::WorkCell;
use crate::job::RateStatus;

/// The capacity of a team's token bucket, in seconds of its rate.
const BURST_SECONDS: u64 = 2;

/// The usage of one team.
#[derive(Debug, Default)]
pub(super) struct TeamState {
    /// The demand of all runs that are placed, started or not.
    pub(super) placed_demand: ResourceAmount,
    /// The content of the token bucket, in thousandths of a job: the jobs that the
    /// team may submit now without exceeding its rate.
    credit_permille: u64,
    /// When the bucket was last filled; `None` before the first job.
    credited_at: Option<MilliTime>,
}

impl TeamState {
    /// Counts a job at `now` against a rate of `weight` jobs per second.
    fn count_job(&mut self, weight: u64, now: MilliTime) -> RateStatus {
        self.credit_permille = self.credit_at(weight, now);
        self.credited_at = Some(now);
        if self.credit_permille < 1_000 {
            return RateStatus::Over;
        }
        self.credit_permille -= 1_000;
        RateStatus::Within
    }

    /// Returns the content of the token bucket at `now`.
    fn credit_at(&self, weight: u64, now: MilliTime) -> u64 {
        let max_credit = weight.max(1) * BURST_SECONDS * 1_000;
        let gained = self.credited_at.map_or(max_credit, |at| {
            now.since(at).as_millis().saturating_mul(weight.max(1))
        });
        (self.credit_permille + gained).min(max_credit)
    }
}

impl WorkCell {
    /// Counts a job of a team against the team's rate.
    pub(super) fn count_team_job(&mut self, team: Option<&str>, received: MilliTime) -> RateStatus {
        let Some(team) = team else {
            return RateStatus::Within;
        };
        let weight = self.team_weight(team);
        let state = self.teams.entry(team.to_owned()).or_default();
        state.count_job(weight, received)
    }

    /// Returns the rate status that a job of a team would get, without counting it.
    pub(super) fn peek_team_rate(&self, team: Option<&str>, received: MilliTime) -> RateStatus {
        let state = team.and_then(|team| Some((team, self.teams.get(team)?)));
        match state {
            Some((team, state)) if state.credit_at(self.team_weight(team), received) < 1_000 => {
                RateStatus::Over
            }
            _ => RateStatus::Within,
        }
    }

    /// Returns the weight of a team; that of one that the configuration does not name is 1.
    pub(super) fn team_weight(&self, team: &str) -> u64 {
        let config = self.config.teams.get(team);
        config.map_or(1, |config| config.weight)
    }

    /// Returns whether a team may use `demand` more without exceeding its cap.
    pub(super) fn fits_team_cap(&self, team: Option<&str>, demand: &ResourceAmount) -> bool {
        let Some(team) = team else { return true };
        let Some(config) = self.config.teams.get(team) else {
            return true;
        };
        let placed = self.teams.get(team).map(|state| state.placed_demand);
        let total = placed.unwrap_or_default() + *demand;
        fits_cap(&total, &config.cap)
    }

    /// Returns whether `demand` alone is within the cap of a team.
    pub(super) fn is_within_team_cap(&self, team: Option<&str>, demand: &ResourceAmount) -> bool {
        let config = team.and_then(|team| self.config.teams.get(team));
        config.is_none_or(|config| fits_cap(demand, &config.cap))
    }

    /// Adds the demand of a run to its team's usage, or subtracts it.
    pub(super) fn count_running(
        &mut self,
        team: Option<&str>,
        demand: ResourceAmount,
        starts: bool,
    ) {
        let Some(team) = team else { return };
        if !self.teams.contains_key(team) {
            self.teams.insert(team.to_owned(), TeamState::default());
        }
        if let Some(state) = self.teams.get_mut(team) {
            state.placed_demand = if starts {
                state.placed_demand + demand
            } else {
                state.placed_demand.saturating_sub(&demand)
            };
        }
    }
}

/// Returns whether `total` is within `cap`, in which 0 means no limit.
fn fits_cap(total: &ResourceAmount, cap: &ResourceAmount) -> bool {
    let within = |part: u64, cap: u64| cap == 0 || part <= cap;
    within(total.cpu_millis, cap.cpu_millis)
        && within(total.memory_mib, cap.memory_mib)
        && within(total.accelerators, cap.accelerators)
}

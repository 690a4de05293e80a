//! Slices with their owners, and teams with their allotments.

use std::collections::BTreeMap;

use pimentochute_base::{
    ConfigVersion, EpochNumber, HostIncarnation, HostName, SliceIndex, TeamName,
};
use serde::{Deserialize, Serialize};

use super::limits::MAX_CELL_TEAMS;
use super::replica::{CellReplica, JobSlot};
use crate::{CellEffect, InvalidReason, slice_of};

/// One slice of the teams, which has at most one owner.
#[derive(Debug, Clone, Default)]
pub struct SliceState {
    /// The owner; `None` before the first claim and after a release.
    pub owner: Option<SliceOwner>,
    /// The epoch of the last claim; each claim raises it by one.
    pub epoch: EpochNumber,
    /// The jobs of the slice that have not ended, by number.
    pub(super) active: BTreeMap<u64, JobSlot>,
}

/// The owner of a slice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SliceOwner {
    /// The host.
    pub host: HostName,
    /// The incarnation of the host's process.
    pub incarnation: HostIncarnation,
}

/// A team in the data centre.
#[derive(Debug, Clone, Default)]
pub struct TeamState {
    /// The number of the team's live tasks, placed or running.
    pub live: u32,
    /// The maximum of `live` for a new placement; zero until an allotment is
    /// set. `live` can be higher after it was lowered.
    pub allotment: u32,
    /// The version of the configuration that the allotment is derived from;
    /// only increases.
    pub version: ConfigVersion,
    /// The known jobs of the team, by number.
    pub(super) jobs: BTreeMap<u64, JobSlot>,
}

impl CellReplica {
    pub(super) fn claim_slice(
        &mut self,
        slice: SliceIndex,
        owner: SliceOwner,
        epoch: EpochNumber,
    ) -> Result<CellEffect, InvalidReason> {
        let state = self
            .slices
            .get_mut(usize::from(slice.get()))
            .ok_or(InvalidReason::UnknownSlice)?;
        if state.epoch.get().checked_add(1) != Some(epoch.get()) {
            let current = state.epoch;
            return Err(InvalidReason::EpochTaken { current });
        }
        state.epoch = epoch;
        let effect = CellEffect::SliceClaimed {
            slice,
            host: owner.host.clone(),
            incarnation: owner.incarnation,
            epoch,
        };
        state.owner = Some(owner);
        Ok(effect)
    }

    pub(super) fn release_slice(
        &mut self,
        slice: SliceIndex,
        epoch: EpochNumber,
    ) -> Result<CellEffect, InvalidReason> {
        self.check_epoch(slice, epoch)?;
        if let Some(state) = self.slices.get_mut(usize::from(slice.get())) {
            state.owner = None;
        }
        Ok(CellEffect::SliceReleased { slice, epoch })
    }

    pub(super) fn set_allotment(
        &mut self,
        team: TeamName,
        version: ConfigVersion,
        tasks: u32,
    ) -> Result<CellEffect, InvalidReason> {
        self.check_team_capacity(&team)?;
        let state = self.teams.entry(team.clone()).or_default();
        if version <= state.version {
            let current = state.version;
            return Err(InvalidReason::OldVersion { current });
        }
        state.version = version;
        state.allotment = tasks;
        Ok(CellEffect::AllotmentSet {
            team,
            version,
            tasks,
        })
    }

    /// Checks that `slice` is the slice of the team, has an owner and is at
    /// `epoch`. Fences off a former owner.
    pub(super) fn check_ownership(
        &self,
        team: &TeamName,
        slice: SliceIndex,
        epoch: EpochNumber,
    ) -> Result<(), InvalidReason> {
        let expected = slice_of(team, self.slice_count());
        if slice != expected {
            return Err(InvalidReason::WrongSlice { expected });
        }
        self.check_epoch(slice, epoch)
    }

    /// Checks that the team is known or another one may be added.
    pub(super) fn check_team_capacity(&self, team: &TeamName) -> Result<(), InvalidReason> {
        if self.teams.len() >= MAX_CELL_TEAMS && !self.teams.contains_key(team) {
            return Err(InvalidReason::Full { what: "teams" });
        }
        Ok(())
    }

    fn check_epoch(&self, slice: SliceIndex, epoch: EpochNumber) -> Result<(), InvalidReason> {
        let state = self.slice(slice).ok_or(InvalidReason::UnknownSlice)?;
        if state.epoch != epoch {
            let current = state.epoch;
            return Err(InvalidReason::StaleEpoch { current });
        }
        if state.owner.is_none() {
            return Err(InvalidReason::SliceNotOwned);
        }
        Ok(())
    }
}

//! The decisions of a cell, counted for the metrics of its owner.

use strum::{EnumCount, IntoStaticStr, VariantArray};

use crate::admission::AdmissionReason;

/// A decision that operators can watch. The names are those of the metric's label.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr, EnumCount, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum CellDecision {
    /// A run was stopped because it makes no progress.
    StopStalled,
    /// A run was stopped because another member of its gang does not continue.
    StopGangBroken,
    /// A run was stopped because its job has ended.
    StopJobEnded,
    /// A run was stopped because an earlier run of its task has succeeded.
    StopTaskDone,
    /// A run was stopped that its worker lists and that should not continue.
    StopUnwanted,
    /// The start of a run was withdrawn because its data centre is evacuated.
    WithdrawEvacuated,
    /// Tasks were left waiting: they can end in time on faster workers than those with room.
    WaitForSpeed,
    /// A new job was refused because it would end too late to be of use.
    RefuseTooLate,
    /// A new job was refused because its team sends more than its rate while others wait.
    RefuseOverRate,
    /// A new job was refused because its identifier belongs to a job with another scope.
    RefuseTakenIdentifier,
    /// A job that a host had appended was not used because its identifier belongs to a job
    /// with another scope.
    IgnoreTakenIdentifier,
    /// A job was ended as it arrived: its cancellation came before it.
    EndCancelledEarly,
    /// The cancellation of an unknown job was refused, since too many are remembered.
    RefuseCancellation,
    /// A worker's entry was not used because it cannot be decoded.
    IgnoreUnreadableEntry,
    /// A worker's entry was not used because its start lies in the future.
    IgnoreFutureStart,
    /// A worker's entry was not used because the configuration does not have its pool.
    IgnoreUnknownPool,
    /// A worker's entry was not used because another worker answers at its address.
    IgnoreRefutedClaim,
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum StopReason {
    /// It makes no progress.
    Stalled,
    /// Another member of its gang does not continue.
    GangBroken,
    /// Its job has ended.
    JobEnded,
    /// An earlier run of its task has succeeded.
    TaskDone,
}

impl From<StopReason> for CellDecision {
    fn from(reason: StopReason) -> Self {
        match reason {
            StopReason::Stalled => Self::StopStalled,
            StopReason::GangBroken => Self::StopGangBroken,
            StopReason::JobEnded => Self::StopJobEnded,
            StopReason::TaskDone => Self::StopTaskDone,
        }
    }
}

impl From<AdmissionReason> for CellDecision {
    fn from(reason: AdmissionReason) -> Self {
        match reason {
            AdmissionReason::TooLate => Self::RefuseTooLate,
            AdmissionReason::OverRate => Self::RefuseOverRate,
        }
    }
}

/// How often a cell has made each decision since the counts were last taken.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecisionCounts {
    /// Indexed by the order of [`CellDecision`].
    counts: [u64; CellDecision::COUNT],
}

impl DecisionCounts {
    /// Counts a decision.
    pub(crate) const fn add(&mut self, decision: CellDecision) {
        self.counts[decision as usize] += 1;
    }

    /// Returns the decisions that were made, and how often.
    pub fn made(&self) -> impl Iterator<Item = (CellDecision, u64)> {
        let counts = CellDecision::VARIANTS.iter().zip(self.counts);
        counts.filter_map(|(decision, count)| (count > 0).then_some((*decision, count)))
    }
}

//! The choice among workers that have room for a task.

use std::fmt::Debug;

use pimentochute_base::ResourceAmount;

use crate::{FitRule, FitScore, SearchOrder, ShareScale};

/// Services compare this many workers at most before they take one in a rack
/// that already has a task: about 30 racks of 8.
const MAX_SPREAD_CANDIDATES: usize = 256;

/// A worker that has room for a task.
#[derive(Debug, Clone, Copy)]
pub struct FitCandidate<'a> {
    /// What stays free once the task is there.
    pub free_after: ResourceAmount,
    /// The tasks of the same job on the worker.
    pub worker_tasks: u32,
    /// The tasks of the same job in the worker's rack.
    pub rack_tasks: u32,
    /// The scale of the usable capacity.
    pub scale: &'a ShareScale,
}

/// Rates workers that have room for a task.
pub trait WorkerFit: Debug + Send {
    /// Returns the merit of a worker; the smallest score wins.
    fn score(&self, candidate: &FitCandidate<'_>) -> FitScore;

    /// Returns the reason that the log line gives.
    fn rule(&self) -> FitRule;

    /// Returns the order in which workers are looked at.
    fn order(&self) -> SearchOrder {
        SearchOrder::Tightest
    }

    /// Returns how many workers are compared at most.
    fn budget(&self) -> usize {
        usize::MAX
    }

    /// Tells whether `worker_tasks` and `rack_tasks` are used.
    fn counts_tasks(&self) -> bool {
        false
    }
}

/// The worker with the smallest dominant share left over.
#[derive(Debug, Clone, Copy, Default)]
pub struct BestFit;

impl WorkerFit for BestFit {
    fn score(&self, candidate: &FitCandidate<'_>) -> FitScore {
        FitScore {
            penalty: 0,
            leftover: candidate.scale.dominant(&candidate.free_after),
        }
    }

    fn rule(&self) -> FitRule {
        FitRule::BestFit
    }
}

/// The worker with the largest dominant share left over.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorstFit;

impl WorkerFit for WorstFit {
    fn score(&self, candidate: &FitCandidate<'_>) -> FitScore {
        FitScore {
            penalty: 0,
            leftover: u64::MAX - candidate.scale.dominant(&candidate.free_after),
        }
    }

    fn rule(&self) -> FitRule {
        FitRule::WorstFit
    }

    fn order(&self) -> SearchOrder {
        SearchOrder::Emptiest
    }
}

/// A worker in the rack with the fewest tasks of the job, then the worker with
/// the fewest, then the best fit.
#[derive(Debug, Clone, Copy, Default)]
pub struct RackSpread;

impl WorkerFit for RackSpread {
    fn score(&self, candidate: &FitCandidate<'_>) -> FitScore {
        let racks = candidate.rack_tasks.min(u32::from(u16::MAX)) << 16;
        FitScore {
            penalty: racks | candidate.worker_tasks.min(u32::from(u16::MAX)),
            leftover: candidate.scale.dominant(&candidate.free_after),
        }
    }

    fn rule(&self) -> FitRule {
        FitRule::RackSpread
    }

    fn budget(&self) -> usize {
        MAX_SPREAD_CANDIDATES
    }

    fn counts_tasks(&self) -> bool {
        true
    }
}

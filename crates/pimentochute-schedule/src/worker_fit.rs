//! Placement policies: each is a [`WorkerFit`] that chooses between the workers
//! on which a task fits.

use std::fmt::Debug;

use pimentochute_base::ResourceAmount;

use crate::{FitRule, FitScore, SearchOrder, ShareScale};

/// The maximum number of workers compared for a task of a service, after which
/// the best one so far is taken: about 30 racks of 8 workers.
const MAX_SPREAD_CANDIDATES: usize = 256;

/// A worker on which a task fits.
#[derive(Debug, Clone, Copy)]
pub struct FitCandidate<'a> {
    /// The free resources that remain after the task is placed.
    pub free_after: ResourceAmount,
    /// The number of tasks of the same job on the worker.
    pub worker_tasks: u32,
    /// The number of tasks of the same job in the worker's rack.
    pub rack_tasks: u32,
    /// The scale of shares of the usable capacity.
    pub scale: &'a ShareScale,
}

/// A placement policy: scores the workers on which a task fits.
pub trait WorkerFit: Debug + Send {
    /// Returns the score of a worker. The lowest score wins.
    fn score(&self, candidate: &FitCandidate<'_>) -> FitScore;

    /// Returns the rule that the log shows as the reason.
    fn rule(&self) -> FitRule;

    /// Returns the order in which workers are compared.
    fn order(&self) -> SearchOrder {
        SearchOrder::Tightest
    }

    /// Returns the maximum number of workers that are compared.
    fn max_candidates(&self) -> usize {
        usize::MAX
    }

    /// Returns whether the score uses `worker_tasks` and `rack_tasks`; otherwise
    /// these are zero.
    fn counts_tasks(&self) -> bool {
        false
    }
}

/// Chooses the worker with the smallest dominant share left over.
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

/// Chooses the worker with the largest dominant share left over.
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

/// Chooses a worker in the rack with the fewest tasks of the job, then the worker
/// with the fewest of them, then the best fit.
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

    fn max_candidates(&self) -> usize {
        MAX_SPREAD_CANDIDATES
    }

    fn counts_tasks(&self) -> bool {
        true
    }
}

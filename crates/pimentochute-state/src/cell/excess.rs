//! Selects the tasks to stop when a team exceeds its allotment.

use pimentochute_base::{AttemptRef, TeamName, WorkKind};

use super::JobState;
use super::replica::CellReplica;

impl CellReplica {
    /// Returns the live attempts to stop so that a team gets within its allotment:
    /// batch tasks first, then gangs, then services; newest jobs first within
    /// each kind.
    ///
    /// A gang is stopped as a whole, since it cannot run in part. The attempts can
    /// therefore be more than the excess.
    #[must_use]
    pub fn excess_attempts(&self, team: &TeamName) -> Vec<AttemptRef> {
        let Some(state) = self.team(team) else {
            return Vec::new();
        };
        let mut excess = state.live.saturating_sub(state.allotment);
        if excess == 0 {
            return Vec::new();
        }
        let mut jobs: Vec<&JobState> = self.jobs_of(team).filter(|job| job.live > 0).collect();
        jobs.sort_by_key(|job| (stop_rank(job.spec.kind), std::cmp::Reverse(job.number)));
        let mut attempts = Vec::new();
        for job in jobs {
            if excess == 0 {
                break;
            }
            let live = live_attempts(job);
            let count = match job.spec.kind {
                WorkKind::Gang => job.live,
                _ => job.live.min(excess),
            };
            excess = excess.saturating_sub(count);
            let count = usize::try_from(count).unwrap_or(usize::MAX);
            attempts.extend(live.into_iter().rev().take(count));
        }
        attempts
    }
}

/// Returns the position of a kind of work in the order of stopping.
const fn stop_rank(kind: WorkKind) -> u8 {
    match kind {
        WorkKind::Batch | WorkKind::Request => 0,
        WorkKind::Gang => 1,
        WorkKind::Service => 2,
    }
}

fn live_attempts(job: &JobState) -> Vec<AttemptRef> {
    let tasks = job.indexed_tasks();
    tasks
        .filter_map(|(task, state)| {
            let (attempt, ..) = state.phase.placement()?;
            let job = job.spec.id;
            Some(AttemptRef { job, task, attempt })
        })
        .collect()
}

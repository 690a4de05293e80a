//! The tasks that a team has above a lowered limit.

use pimentochute_base::{AttemptRef, TeamName, WorkKind};

use super::JobState;
use super::replica::CellReplica;

impl CellReplica {
    /// Returns the live attempts of a team that exceed its allotment and are
    /// to be stopped: batch tasks before gangs before services, and of each
    /// kind the newest first.
    ///
    /// A gang is named whole, since it cannot run in part.
    #[must_use]
    pub fn excess_attempts(&self, team: &TeamName) -> Vec<AttemptRef> {
        let Some(state) = self.team(team) else {
            return Vec::new();
        };
        let mut excess = state.running.saturating_sub(state.allotment);
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

/// Returns the order in which kinds of work are stopped.
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

//! The invariants of a cell, recomputed from its jobs.

use std::collections::{BTreeMap, BTreeSet};

use pimentochute_base::{AttemptRef, ResourceAmount, TeamName, WorkerName};
use pimentochute_state::{CellReplica, JobState};

/// The sums over the live attempts of all jobs of a cell.
#[derive(Default)]
struct CellSums {
    committed: BTreeMap<WorkerName, ResourceAmount>,
    placements: BTreeMap<WorkerName, BTreeSet<AttemptRef>>,
    running: BTreeMap<TeamName, u32>,
}

/// Fails if the counts of a cell differ from the sums over its jobs, or a
/// placement is invalid.
pub fn check(replica: &CellReplica) {
    let mut sums = CellSums::default();
    for job in replica.jobs() {
        check_job(replica, job);
        add_job(replica, job, &mut sums);
    }
    for worker in replica.workers() {
        let committed = sums.committed.remove(&worker.name).unwrap_or_default();
        assert_eq!(worker.committed, committed, "committed on {}", worker.name);
        let placements = sums.placements.remove(&worker.name).unwrap_or_default();
        assert_eq!(
            worker.placements, placements,
            "placements on {}",
            worker.name
        );
        assert!(
            !worker.lost || placements.is_empty(),
            "{} is lost",
            worker.name
        );
    }
    assert!(
        sums.placements.is_empty(),
        "a placement is on an unknown worker"
    );
    for (name, team) in replica.teams() {
        let running = sums.running.remove(name).unwrap_or(0);
        assert_eq!(team.live, running, "tasks of team {name}");
    }
    assert!(sums.running.is_empty(), "a task belongs to an unknown team");
}

fn check_job(replica: &CellReplica, job: &JobState) {
    let live = job.tasks.iter().filter(|task| task.phase.is_live()).count();
    assert_eq!(job.live as usize, live, "live tasks of {}", job.spec.id);
    assert!(
        !job.has_ended() || live == 0,
        "{} ended with a live task",
        job.spec.id
    );
    let slice = replica.slice_of(&job.spec.team);
    let active = replica
        .unended_jobs(slice)
        .any(|other| other.spec.id == job.spec.id);
    assert_eq!(active, !job.has_ended(), "{} in its slice", job.spec.id);
    let stuck = !job.has_ended() && live == 0 && job.is_stopping();
    assert!(!stuck, "{} is stopping with nothing to stop", job.spec.id);
}

fn add_job(replica: &CellReplica, job: &JobState, sums: &mut CellSums) {
    for (task, state) in job.indexed_tasks() {
        let Some((attempt, name, incarnation)) = state.phase.placement() else {
            continue;
        };
        let worker = replica
            .worker(name)
            .expect("a placement is on a known worker");
        assert_eq!(worker.incarnation, incarnation, "placement on {name}");
        let job_id = job.spec.id;
        let attempt = AttemptRef {
            job: job_id,
            task,
            attempt,
        };
        assert!(replica.live_task(attempt).is_some());
        *sums.committed.entry(name.clone()).or_default() += job.spec.demand;
        sums.placements
            .entry(name.clone())
            .or_default()
            .insert(attempt);
        *sums.running.entry(job.spec.team.clone()).or_default() += 1;
    }
}

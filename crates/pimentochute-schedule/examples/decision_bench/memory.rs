//! Measures the memory per worker, placed task, waiting job and team.
//!
//! The figure is the growth of the resident set, since a counting allocator
//! needs unsafe code, which the workspace forbids.

use pimentochute_base::{AttemptNumber, AttemptRef, ResourceAmount, TaskIndex, WorkKind};
use pimentochute_schedule::{CommittedTask, JobPlacer, PlacerSettings, TeamSpec};

use crate::report::{Direction, print};
use crate::workload::{FleetShape, job_id, team_name, waiting_job, worker_name};

/// The memory in bytes that the control plane may use per node.
const MAX_NODE_BYTES: f64 = 32.0 * 1_024.0 * 1_024.0;

const WORKERS: usize = 54_000;
const TASKS: usize = 220_000;
const TEAMS: usize = 20_000;
const JOBS: usize = 100_000;

const PAGE_BYTES: f64 = 4_096.0;

pub fn run() {
    let mut placer = JobPlacer::new(PlacerSettings::new());
    let fleet = FleetShape {
        name: "memory",
        workers: WORKERS,
        cores: 64,
        memory_gib: 128,
        per_rack: 8,
    };
    let workers = growth_per_item(WORKERS, || {
        for worker in fleet.workers() {
            placer.set_worker(worker);
        }
    });
    let teams = growth_per_item(TEAMS, || {
        for index in 0..TEAMS {
            placer.set_team(TeamSpec {
                name: team_name(index),
                share: 1,
                allotment: 100,
            });
        }
    });
    let tasks = growth_per_item(TASKS, || {
        for index in 0..TASKS {
            placer.commit(task(index));
        }
    });
    let jobs = growth_per_item(JOBS, || {
        for index in 0..JOBS {
            let demand = ResourceAmount::new(1_000, 1_024);
            let job = waiting_job(TASKS + index, index % TEAMS, WorkKind::Batch, 1, demand);
            placer.add_job(job);
        }
    });
    for (name, bytes) in [
        ("worker", workers),
        ("team", teams),
        ("placed task", tasks),
        ("waiting job of one task", jobs),
    ] {
        eprintln!("memory: {bytes:.0} bytes per {name}");
    }
    let target = workers * 2_700.0 + tasks * 11_000.0 + teams * 200.0 + jobs * 2_000.0;
    let figure = "memory for 2700 workers, 11000 placed tasks, 200 teams, 2000 waiting jobs";
    print(figure, target, "bytes", MAX_NODE_BYTES, Direction::Lower);
    // The figures per object have no stated target. Each kind of object may use
    // a quarter of the memory at the target size.
    let quarter = MAX_NODE_BYTES / 4.0;
    print(
        "memory per worker",
        workers,
        "bytes",
        quarter / 2_700.0,
        Direction::Lower,
    );
    print(
        "memory per placed task",
        tasks,
        "bytes",
        quarter / 11_000.0,
        Direction::Lower,
    );
    print(
        "memory per team",
        teams,
        "bytes",
        quarter / 200.0,
        Direction::Lower,
    );
    print(
        "memory per waiting job of one task",
        jobs,
        "bytes",
        quarter / 2_000.0,
        Direction::Lower,
    );
}

fn task(index: usize) -> CommittedTask {
    CommittedTask {
        attempt: AttemptRef {
            job: job_id(index),
            task: TaskIndex::new(0),
            attempt: AttemptNumber::new(1),
        },
        team: team_name(index % TEAMS),
        kind: WorkKind::Batch,
        worker: worker_name(index % WORKERS),
        demand: ResourceAmount::new(8_000, 8_192),
        expected_end: None,
    }
}

/// Returns the growth of the resident set per item, in bytes.
fn growth_per_item(count: usize, build: impl FnOnce()) -> f64 {
    let before = resident_bytes();
    build();
    (resident_bytes() - before).max(0.0) / count as f64
}

fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

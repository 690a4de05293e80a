//! Benchmarks the memory per worker, team, active job, task and ended job.
//!
//! Measures the growth of the resident set, since a counting allocator needs
//! unsafe code, which the workspace forbids.

use crate::BenchResult;
use crate::report::{print, resident_bytes};
use crate::workload::{BenchCell, ended, placed, started, submitted};

/// A quarter of the memory that the control plane may use per node: the limit of
/// each kind of object at the target size, in bytes.
const QUARTER_NODE_BYTES: f64 = 8.0 * 1_024.0 * 1_024.0;

/// The workers of a data centre at the target size: 2,700 in 12.
const TARGET_WORKERS: f64 = 225.0;

/// The teams of the target size.
const TARGET_TEAMS: f64 = 200.0;

/// The tasks of a data centre at the target size: 11,000 in 12.
const TARGET_TASKS: f64 = 917.0;

/// The ended jobs that a data centre retains for 48 hours at the target size:
/// 52,000 a day in 12 data centres.
const TARGET_ENDED_JOBS: f64 = 8_667.0;

const WORKERS: usize = 9_000;
const TEAMS: usize = 3_900;
const JOBS: usize = 19_000;
const WIDE_JOBS: usize = 40;
const WIDE_TASKS: u32 = 4_096;
const ENDED_JOBS: usize = 9_900;

/// Measures each kind of object in a replica of its own. Returns the replicas, so
/// that later measurements do not reuse their memory.
pub fn run() -> BenchResult<Vec<BenchCell>> {
    eprintln!("memory: ended jobs");
    let mut kept = vec![BenchCell::with_fleet(225, 200)?];
    let ended = grown(ENDED_JOBS, || end_jobs(&mut kept[0]))?;
    print_bytes("memory_per_ended_job", ended, TARGET_ENDED_JOBS);
    eprintln!("memory: active jobs");
    kept.push(BenchCell::with_fleet(225, 200)?);
    let job = grown(JOBS, || run_jobs(&mut kept[1]))?;
    print_bytes("memory_per_running_job_of_one_task", job, TARGET_TASKS);
    eprintln!("memory: tasks");
    kept.push(BenchCell::with_fleet(225, 200)?);
    let tasks = WIDE_JOBS * usize::try_from(WIDE_TASKS)?;
    let task = grown(tasks, || place_wide_jobs(&mut kept[2]))?;
    print_bytes("memory_per_placed_task", task, TARGET_TASKS);
    eprintln!("memory: workers and teams");
    kept.push(BenchCell::new()?);
    let worker = grown(WORKERS, || kept[3].add_workers(WORKERS))?;
    print_bytes("memory_per_worker", worker, TARGET_WORKERS);
    kept.push(BenchCell::new()?);
    let team = grown(TEAMS, || kept[4].add_teams(TEAMS))?;
    print_bytes("memory_per_team", team, TARGET_TEAMS);
    let sum = worker * TARGET_WORKERS
        + team * TARGET_TEAMS
        + job * TARGET_TASKS
        + ended * TARGET_ENDED_JOBS;
    let figure = "memory_of_cell_fold_at_target_size";
    print(figure, sum, "B", Some(2.0 * QUARTER_NODE_BYTES));
    Ok(kept)
}

fn print_bytes(figure: &str, bytes: f64, target_count: f64) {
    print(figure, bytes, "B", Some(QUARTER_NODE_BYTES / target_count));
}

/// Runs jobs to completion, one after the other.
fn end_jobs(cell: &mut BenchCell) -> BenchResult<()> {
    for job in 0..ENDED_JOBS {
        cell.apply(submitted(job, 1, 200)?)?;
        cell.apply(placed(job, 1, 200, job % 225)?)?;
        cell.apply(started(job, 200)?)?;
        cell.apply(ended(job, 200)?)?;
    }
    Ok(())
}

/// Starts jobs of one task.
fn run_jobs(cell: &mut BenchCell) -> BenchResult<()> {
    for job in 0..JOBS {
        cell.apply(submitted(job, 1, 200)?)?;
        cell.apply(placed(job, 1, 200, job % 225)?)?;
        cell.apply(started(job, 200)?)?;
    }
    Ok(())
}

/// Places jobs of many tasks.
fn place_wide_jobs(cell: &mut BenchCell) -> BenchResult<()> {
    for job in 0..WIDE_JOBS {
        cell.apply(submitted(job, WIDE_TASKS, 200)?)?;
        cell.apply(placed(job, WIDE_TASKS, 200, job)?)?;
    }
    Ok(())
}

/// Returns the growth of the resident set per object that `build` makes.
fn grown(count: usize, build: impl FnOnce() -> BenchResult<()>) -> BenchResult<f64> {
    let before = resident_bytes();
    build()?;
    Ok((resident_bytes() - before).max(0.0) / count as f64)
}

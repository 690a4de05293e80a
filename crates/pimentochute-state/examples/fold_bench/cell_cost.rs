//! Benchmarks the time per applied record, and size and time of snapshots.

use pimentochute_state::{CellRecord, CellReplica, CellSnapshot};

use crate::BenchResult;
use crate::report::{median, print, timed};
use crate::wire::carried_bytes;
use crate::workload::{BenchCell, ended, placed, started, submitted};

const TEAMS: usize = 200;
const WORKERS: usize = 225;

/// The number of jobs in a measurement; each goes through all four records.
const ROUNDS: usize = 2_000;

/// The tasks of a data centre at the target size: 11,000 in 12.
const TARGET_TASKS: usize = 917;

/// The ended jobs that a data centre retains for 48 hours at the target size:
/// 52,000 a day in 12 data centres.
const TARGET_ENDED_JOBS: usize = 8_667;

/// The number of snapshots over which the median is taken.
const SNAPSHOTS: usize = 15;

/// A quarter of 3.4 % of a core, in microseconds a second, over the 92 records
/// a second of a data centre at its peak (23 starts of four records each).
const APPLY_MICROS: f64 = 34_000.0 / 4.0 / 92.0;

/// A quarter of 14 KB/s over the 60 s between two snapshots, for the 917 tasks
/// of a data centre at the target size, per task.
const SNAPSHOT_BYTES_PER_TASK: f64 = 14_000.0 / 4.0 * 60.0 / 917.0;

/// A quarter of 3.4 % of a core over the 60 s between two snapshots.
const SNAPSHOT_MICROS: f64 = 34_000.0 / 4.0 * 60.0;

/// A kind of record, as a function of the job.
type RecordMaker = fn(usize) -> BenchResult<CellRecord>;

/// The records of a job in order.
const STEPS: [(&str, RecordMaker); 4] = [
    ("submit", |job| submitted(job, 1, TEAMS)),
    ("place", |job| placed(job, 1, TEAMS, job % WORKERS)),
    ("start", |job| started(job, TEAMS)),
    ("end", |job| ended(job, TEAMS)),
];

/// Measures replicas with several numbers of active jobs.
pub fn run() -> BenchResult<()> {
    for active in [100, 1_000, 4_000] {
        eprintln!("cell: {active} active jobs");
        let mut cell = running_cell(active)?;
        if active > 100 {
            snapshot_cost(&cell.replica, active)?;
        }
        apply_cost(&mut cell, active)?;
    }
    target_snapshot()
}

/// Prints the size of the snapshot of a data centre at the target size, with
/// the jobs that ended in the last 48 hours.
fn target_snapshot() -> BenchResult<()> {
    let mut cell = BenchCell::with_fleet(WORKERS, TEAMS)?;
    for job in 0..TARGET_ENDED_JOBS + TARGET_TASKS {
        let steps = if job < TARGET_ENDED_JOBS { 4 } else { 3 };
        for (_, record) in &STEPS[..steps] {
            cell.apply(record(job)?)?;
        }
    }
    let text = serde_json::to_string(&cell.replica.snapshot())?;
    let bytes = Some(SNAPSHOT_BYTES_PER_TASK * TARGET_TASKS as f64);
    let size = text.len() as f64;
    print("snapshot_size_at_target_size", size, "B", bytes);
    let carried = carried_bytes(&text)?;
    print("snapshot_log_bytes_at_target_size", carried, "B", bytes);
    Ok(())
}

/// A data centre with a number of running jobs of one task.
fn running_cell(active: usize) -> BenchResult<BenchCell> {
    let mut cell = BenchCell::with_fleet(WORKERS, TEAMS)?;
    for job in 0..active {
        for (_, record) in &STEPS[..3] {
            cell.apply(record(job)?)?;
        }
    }
    Ok(cell)
}

/// Takes new jobs through their records, each as an append of its own. Prints the
/// mean time of each kind of record, including decoding.
fn apply_cost(cell: &mut BenchCell, active: usize) -> BenchResult<()> {
    let mut sums = [0.0; STEPS.len()];
    for job in active..active + ROUNDS {
        for ((_, record), sum) in STEPS.iter().zip(&mut sums) {
            let payload = cell.payload(record(job)?)?;
            let (result, micros) = timed(|| cell.apply_payload(&payload));
            result?;
            *sum += micros;
        }
    }
    for ((kind, _), sum) in STEPS.iter().zip(sums) {
        let figure = format!("apply_{kind}_{active}_active_jobs");
        print(&figure, sum / ROUNDS as f64, "us", Some(APPLY_MICROS));
    }
    Ok(())
}

/// Prints the size of a snapshot and the times of copying, encoding and loading it.
/// The replica is locked while it is copied.
fn snapshot_cost(replica: &CellReplica, active: usize) -> BenchResult<()> {
    let (mut copies, mut encodings, mut loads) = (Vec::new(), Vec::new(), Vec::new());
    let mut size = 0;
    for _ in 0..SNAPSHOTS {
        let (snapshot, micros) = timed(|| replica.snapshot());
        copies.push(micros);
        let (payload, micros) = timed(|| serde_json::to_vec(&snapshot));
        encodings.push(micros);
        let payload = payload?;
        size = payload.len();
        let (restored, micros) = timed(|| load(&payload));
        restored?;
        loads.push(micros);
    }
    let bytes = SNAPSHOT_BYTES_PER_TASK * active as f64;
    let name = |part| format!("snapshot_{part}_{active}_active_tasks");
    print(&name("size"), size as f64, "B", Some(bytes));
    for (part, times) in [
        ("copy", &mut copies),
        ("encoding", &mut encodings),
        ("loading", &mut loads),
    ] {
        print(&name(part), median(times), "us", Some(SNAPSHOT_MICROS));
    }
    Ok(())
}

/// Restores a replica from a snapshot, as a follower does.
fn load(payload: &[u8]) -> BenchResult<CellReplica> {
    let snapshot: CellSnapshot = serde_json::from_slice(payload)?;
    Ok(CellReplica::from_snapshot(snapshot)?)
}

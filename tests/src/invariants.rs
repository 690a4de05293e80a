//! Checks two invariants on the records of workers and endpoints: a task never
//! runs in two places at once, and a non-idempotent request never runs twice.

use std::collections::BTreeMap;

use pimentochute_base::{AttemptNumber, AttemptRef, JobId, MilliTime, TaskIndex, WorkerName};
use pimentochute_platform::TaskStatus;
use pimentochute_standins::{EndpointRecords, LedgerEntry, WorkerRecords};

/// Two runs of the same task that overlapped in time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunOverlap {
    /// The attempt that started first, and its worker.
    pub first: (AttemptRef, WorkerName),
    /// The attempt that started while the first one ran, and its worker.
    pub second: (AttemptRef, WorkerName),
}

/// One run of one attempt on one worker.
#[derive(Debug, Clone)]
struct TaskRun {
    attempt: AttemptRef,
    worker: WorkerName,
    start: MilliTime,
    /// `None` while the task runs.
    end: Option<MilliTime>,
}

/// Returns the runs of a task that overlapped with an earlier run of it. The
/// records must be by one clock. A start in the millisecond in which the other
/// run ends does not count as overlap.
#[must_use]
pub fn task_overlaps(workers: &[WorkerRecords]) -> Vec<RunOverlap> {
    let mut tasks: BTreeMap<(JobId, TaskIndex), Vec<TaskRun>> = BTreeMap::new();
    for run in workers.iter().flat_map(runs_of) {
        let task = (run.attempt.job, run.attempt.task);
        tasks.entry(task).or_default().push(run);
    }
    tasks.into_values().flat_map(overlaps_of).collect()
}

/// Returns the IDs of the non-idempotent requests that ran more than once on
/// all endpoints together.
#[must_use]
pub fn repeated_requests(endpoints: &[EndpointRecords]) -> Vec<String> {
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    let runs = endpoints.iter().flat_map(|records| &records.ledger.runs);
    for run in runs.filter(|run| !run.idempotent) {
        *counts.entry(&run.id).or_default() += 1;
    }
    let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
    repeated.map(|(id, _)| id.to_owned()).collect()
}

fn runs_of(records: &WorkerRecords) -> Vec<TaskRun> {
    let mut runs: Vec<TaskRun> = Vec::new();
    for entry in &records.ledger.entries {
        if entry.status == TaskStatus::Running {
            runs.push(TaskRun::new(entry, records.worker.clone()));
            continue;
        }
        let open = |run: &&mut TaskRun| run.attempt == entry.attempt && run.end.is_none();
        if let Some(run) = runs.iter_mut().find(open) {
            run.end = Some(entry.at);
        }
    }
    runs
}

/// Compares each run with the earlier run that ends last. A run that overlaps
/// with any earlier run overlaps with that one.
fn overlaps_of(mut runs: Vec<TaskRun>) -> Vec<RunOverlap> {
    runs.sort_by_key(|run| (run.start, run.end_order()));
    let mut overlaps = Vec::new();
    let mut latest_ending: Option<TaskRun> = None;
    for run in runs {
        match &latest_ending {
            Some(earlier) if earlier.end.is_none_or(|end| end > run.start) => {
                overlaps.push(RunOverlap {
                    first: (earlier.attempt, earlier.worker.clone()),
                    second: (run.attempt, run.worker.clone()),
                });
                if earlier.end_order() < run.end_order() {
                    latest_ending = Some(run);
                }
            }
            _ => latest_ending = Some(run),
        }
    }
    overlaps
}

impl TaskRun {
    fn new(entry: &LedgerEntry, worker: WorkerName) -> Self {
        Self {
            attempt: entry.attempt,
            worker,
            start: entry.at,
            end: None,
        }
    }

    /// Returns a sort key by the end of the run; a task that still runs sorts
    /// last.
    fn end_order(&self) -> (bool, Option<MilliTime>, AttemptNumber) {
        (self.end.is_none(), self.end, self.attempt.attempt)
    }
}

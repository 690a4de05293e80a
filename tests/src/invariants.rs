//! Checks the records of workers and endpoints against the invariants of the
//! design.

use std::collections::BTreeMap;

use pimentochute_base::{AttemptNumber, AttemptRef, JobId, MilliTime, TaskIndex, WorkerName};
use pimentochute_platform::TaskStatus;
use pimentochute_standins::{EndpointRecords, LedgerEntry, WorkerRecords};

/// Two attempts of a task that ran at the same time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunOverlap {
    /// The earlier attempt and its worker.
    pub first: (AttemptRef, WorkerName),
    /// The later attempt and its worker.
    pub second: (AttemptRef, WorkerName),
}

/// One run of one attempt on one worker.
#[derive(Debug, Clone)]
struct TaskRun {
    attempt: AttemptRef,
    worker: WorkerName,
    start: MilliTime,
    /// None while the task runs.
    end: Option<MilliTime>,
}

/// Returns the tasks that ran in two places at once. Worker clocks have to
/// agree; a start in the millisecond of the other run's end is no overlap.
#[must_use]
pub fn task_overlaps(workers: &[WorkerRecords]) -> Vec<RunOverlap> {
    let mut tasks: BTreeMap<(JobId, TaskIndex), Vec<TaskRun>> = BTreeMap::new();
    for run in workers.iter().flat_map(runs_of) {
        let task = (run.attempt.job, run.attempt.task);
        tasks.entry(task).or_default().push(run);
    }
    tasks.into_values().flat_map(overlaps_of).collect()
}

/// Returns the identifiers of non-idempotent requests that ran more than once.
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

/// Compares each run with the one that ends last among the earlier ones, which
/// finds every overlap of two in time.
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

    /// Orders by the end, with a task that still runs as the last.
    fn end_order(&self) -> (bool, Option<MilliTime>, AttemptNumber) {
        (self.end.is_none(), self.end, self.attempt.attempt)
    }
}

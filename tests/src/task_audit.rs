//! Checks the records of workers against the invariants of task execution.

use std::collections::BTreeMap;

use pimentochute_base::{AttemptRef, JobId, MilliTime, TaskIndex, WorkerName};
use pimentochute_platform::TaskStatus;
use pimentochute_standins::WorkerLedger;

/// The runs of tasks on all workers. All records must be by one clock.
#[derive(Debug, Default)]
pub struct TaskAudit {
    runs: Vec<TaskRun>,
    violations: Vec<TaskViolation>,
}

/// One run of an attempt on a worker.
#[derive(Debug, Clone)]
struct TaskRun {
    attempt: AttemptRef,
    worker: WorkerName,
    started: MilliTime,
    /// When and how the run ended; `None` if it was still running.
    ended: Option<(MilliTime, TaskStatus)>,
}

/// A violated invariant of task execution.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskViolation {
    /// A worker was given more tasks than its capacity allows.
    Overcommitted {
        /// The worker.
        worker: WorkerName,
    },
    /// Two attempts of a task ran at the same time.
    TwoPlaces {
        /// The attempt that ran first.
        first: AttemptRef,
        /// The attempt that started before the first had ended.
        second: AttemptRef,
    },
    /// A task was run again after it had succeeded.
    RanAgain {
        /// The attempt that succeeded.
        succeeded: AttemptRef,
        /// The later attempt.
        again: AttemptRef,
    },
}

impl TaskAudit {
    /// Adds the ledger of a worker.
    pub fn add(&mut self, worker: &WorkerName, ledger: &WorkerLedger) {
        if ledger.capacity_violations > 0 {
            self.violations.push(TaskViolation::Overcommitted {
                worker: worker.clone(),
            });
        }
        let mut open: BTreeMap<AttemptRef, usize> = BTreeMap::new();
        for entry in &ledger.entries {
            if entry.status == TaskStatus::Running {
                open.insert(entry.attempt, self.runs.len());
                self.runs.push(TaskRun {
                    attempt: entry.attempt,
                    worker: worker.clone(),
                    started: entry.at,
                    ended: None,
                });
            } else if let Some(index) = open.remove(&entry.attempt) {
                self.runs[index].ended = Some((entry.at, entry.status));
            }
        }
    }

    /// Returns all violations. Jobs in `gangs` may run a task again after it
    /// succeeded, since a gang is restarted as a whole.
    #[must_use]
    pub fn violations(&self, gangs: &[JobId]) -> Vec<TaskViolation> {
        let mut violations = self.violations.clone();
        for runs in self.by_task().values() {
            for (index, first) in runs.iter().enumerate() {
                for second in &runs[index + 1..] {
                    violations.extend(compare(first, second, gangs));
                }
            }
        }
        violations
    }

    /// Returns the number of attempts of a task that started on any worker.
    #[must_use]
    pub fn starts(&self, job: JobId, task: u32) -> usize {
        let task = TaskIndex::new(task);
        let runs = self.runs.iter();
        runs.filter(|run| run.attempt.job == job && run.attempt.task == task)
            .count()
    }

    /// Returns the worker of each run of the job's tasks, in the order of starts;
    /// a worker that ran several is listed as often.
    #[must_use]
    pub fn workers_of(&self, job: JobId) -> Vec<WorkerName> {
        let mut runs: Vec<&TaskRun> = self
            .runs
            .iter()
            .filter(|run| run.attempt.job == job)
            .collect();
        runs.sort_by_key(|run| run.started);
        runs.into_iter().map(|run| run.worker.clone()).collect()
    }

    /// Groups the runs by task, each group in the order of starts.
    fn by_task(&self) -> BTreeMap<(JobId, TaskIndex), Vec<&TaskRun>> {
        let mut tasks: BTreeMap<_, Vec<&TaskRun>> = BTreeMap::new();
        for run in &self.runs {
            tasks
                .entry((run.attempt.job, run.attempt.task))
                .or_default()
                .push(run);
        }
        for runs in tasks.values_mut() {
            runs.sort_by_key(|run| run.started);
        }
        tasks
    }
}

fn compare(first: &TaskRun, second: &TaskRun, gangs: &[JobId]) -> Option<TaskViolation> {
    let overlaps = first.ended.is_none_or(|(ended, _)| ended > second.started);
    if overlaps {
        return Some(TaskViolation::TwoPlaces {
            first: first.attempt,
            second: second.attempt,
        });
    }
    let succeeded = first
        .ended
        .is_some_and(|(_, status)| status == TaskStatus::Succeeded);
    let is_gang = gangs.contains(&first.attempt.job);
    (succeeded && !is_gang).then_some(TaskViolation::RanAgain {
        succeeded: first.attempt,
        again: second.attempt,
    })
}

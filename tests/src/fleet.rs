//! A fleet of workers in memory that answers orders by the platform's rules,
//! loses answers, carries orders out late, crashes and is cut off.

use std::collections::BTreeMap;

use pimentochute_base::{MilliSpan, MilliTime, ResourceAmount};
use pimentochute_work::{
    EndedRow, LookCommand, OrderError, RunEnd, RunningRow, StartCommand, StopCommand,
    WorkerListing, WorkerReport,
};

/// The longest lease that a worker accepts.
const MAX_LEASE_MS: u64 = 10_000;

/// The time for which a worker stops a run.
const STOP_TIME_MS: u64 = 200;

/// A worker.
#[derive(Debug)]
pub struct FleetWorker {
    /// What the worker reports.
    pub report: WorkerReport,
    /// The worker runs.
    pub is_up: bool,
    /// No message passes before this time.
    pub cut_until: MilliTime,
    fence: u64,
    lease_until: MilliTime,
    /// The runs, by the name of the task.
    pub runs: BTreeMap<String, FleetRun>,
    ended: Vec<EndedRow>,
    next_row_number: u64,
    /// The highest run that ended or was stopped here, by task.
    last_closed_run: BTreeMap<String, u32>,
}

/// A run on a worker.
#[derive(Debug, Clone)]
pub struct FleetRun {
    /// The number of the run.
    pub run: u32,
    /// What it takes up.
    pub need: ResourceAmount,
    /// When it ends.
    pub ends: MilliTime,
    /// How it ends then.
    pub how: RunEnd,
    stops_at: Option<MilliTime>,
}

impl FleetWorker {
    /// Creates a worker whose life began at `now`.
    #[must_use]
    pub fn new(mut report: WorkerReport, now: MilliTime) -> Self {
        report.born = now;
        report.clock = now;
        Self {
            report,
            is_up: true,
            cut_until: MilliTime::ZERO,
            fence: 0,
            lease_until: MilliTime::ZERO,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_row_number: 1,
            last_closed_run: BTreeMap::new(),
        }
    }

    /// The worker starts anew under its identifier.
    pub fn restart(&mut self, now: MilliTime) {
        self.is_up = true;
        self.report.born = now;
        self.fence = 0;
        self.lease_until = MilliTime::ZERO;
        self.runs.clear();
        self.ended.clear();
        self.next_row_number = 1;
        self.last_closed_run.clear();
    }

    /// The worker crashes.
    pub fn crash(&mut self) {
        self.is_up = false;
        self.runs.clear();
    }

    /// Ends what is due; returns the tasks and runs that ended without being
    /// done.
    pub fn advance(&mut self, now: MilliTime) -> Vec<(String, u32)> {
        let mut failed = Vec::new();
        let is_expired = now >= self.lease_until;
        let due: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                is_expired || run.ends <= now || run.stops_at.is_some_and(|at| at <= now)
            })
            .map(|(task, run)| (task.clone(), run.clone()))
            .collect();
        for (task, run) in due {
            let how = if run.ends <= now {
                run.how
            } else if run.stops_at.is_some() {
                RunEnd::Stopped
            } else {
                RunEnd::Lapsed
            };
            if how != RunEnd::Done {
                failed.push((task.clone(), run.run));
            }
            self.end(&task, how);
        }
        failed
    }

    /// Ends a run, if it is there.
    pub fn end(&mut self, task: &str, how: RunEnd) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        self.close_run(task, run.run);
        self.ended.push(EndedRow {
            number: self.next_row_number,
            task: task.to_owned(),
            run: run.run,
            how,
            checkpoint: String::new(),
        });
        self.next_row_number += 1;
    }

    fn close_run(&mut self, task: &str, run: u32) {
        let last_closed_run = self.last_closed_run.entry(task.to_owned()).or_default();
        *last_closed_run = (*last_closed_run).max(run);
    }

    fn extend(&mut self, until: MilliTime, now: MilliTime) {
        let latest = now + MilliSpan::new(MAX_LEASE_MS);
        self.lease_until = self.lease_until.max(until.min(latest));
    }

    /// Carries a start out. `planned` is when and how the run ends.
    ///
    /// # Errors
    /// Fails as the platform's workers do.
    pub fn start(
        &mut self,
        command: &StartCommand,
        need: ResourceAmount,
        planned: (MilliTime, RunEnd),
        now: MilliTime,
    ) -> Result<MilliTime, OrderError> {
        if command.token < self.fence {
            return Err(OrderError::Fenced);
        }
        self.fence = command.token;
        if command.until <= now {
            return Err(OrderError::TooLate);
        }
        let task = command.task.to_string();
        let last_closed_run = self.last_closed_run.get(&task).copied().unwrap_or(0);
        self.extend(command.until, now);
        if command.run <= last_closed_run {
            return Err(OrderError::OldRun);
        }
        if let Some(run) = self.runs.get(&task) {
            return if run.run == command.run {
                Ok(now)
            } else {
                Err(OrderError::OldRun)
            };
        }
        let run = FleetRun {
            run: command.run,
            need,
            ends: planned.0,
            how: planned.1,
            stops_at: None,
        };
        self.runs.insert(task, run);
        Ok(now)
    }

    /// Carries a stop out.
    ///
    /// # Errors
    /// Fails as the platform's workers do.
    pub fn stop(&mut self, command: &StopCommand, now: MilliTime) -> Result<MilliTime, OrderError> {
        if command.token < self.fence {
            return Err(OrderError::Fenced);
        }
        self.fence = command.token;
        match self.runs.get_mut(&command.task) {
            Some(run) if run.run == command.run => {
                run.stops_at
                    .get_or_insert(now + MilliSpan::new(STOP_TIME_MS));
            }
            _ => self.close_run(&command.task, command.run),
        }
        Ok(now)
    }

    /// Renews the lease and lists the runs.
    ///
    /// # Errors
    /// Fails as the platform's workers do.
    pub fn look(
        &mut self,
        command: &LookCommand,
        now: MilliTime,
    ) -> Result<WorkerListing, OrderError> {
        if command.token < self.fence {
            return Err(OrderError::Fenced);
        }
        self.fence = command.token;
        if let Some(until) = command.until {
            self.extend(until, now);
        }
        self.ended.retain(|row| row.number > command.noted);
        let running = self.runs.iter().map(|(task, run)| RunningRow {
            task: task.clone(),
            run: run.run,
            checkpoint: String::new(),
            percent: u32::try_from(now.as_millis() / 10 % 100).unwrap_or(0),
        });
        Ok(WorkerListing {
            born: Some(self.report.born),
            clock: now,
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }

    /// Returns the processor time in use.
    #[must_use]
    pub fn used_cpu(&self) -> u64 {
        self.runs.values().map(|run| run.need.cpu_millis).sum()
    }
}

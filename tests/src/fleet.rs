//! A fleet of workers in memory that answers orders by the platform's rules,
//! loses answers, carries orders out late, crashes and is cut off.

use std::collections::BTreeMap;

use pimentochute_base::{MilliSpan, MilliTime, ResourceAmount};
use pimentochute_work::{
    EndedRow, OrderError, PollCommand, RunEnd, RunningRow, StartCommand, StopCommand,
    WorkerListing, WorkerReport,
};

/// The longest lease that a worker accepts.
const MAX_LEASE: u64 = 10_000;

/// The time for which a worker stops a run.
const STOP_TIME: u64 = 200;

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
    next_number: u64,
    /// The highest run that ended or was stopped here, by task.
    barred: BTreeMap<String, u32>,
}

/// A run on a worker.
#[derive(Debug, Clone)]
pub struct FleetRun {
    /// The number of the run.
    pub run: u32,
    /// What it takes up.
    pub demand: ResourceAmount,
    /// When it ends.
    pub ends: MilliTime,
    /// How it ends then.
    pub outcome: RunEnd,
    stops: Option<MilliTime>,
}

impl FleetWorker {
    /// Creates a worker whose life began at `now`.
    #[must_use]
    pub fn new(mut report: WorkerReport, now: MilliTime) -> Self {
        report.started_at = now;
        report.clock = now;
        Self {
            report,
            is_up: true,
            cut_until: MilliTime::ZERO,
            fence: 0,
            lease_until: MilliTime::ZERO,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_number: 1,
            barred: BTreeMap::new(),
        }
    }

    /// The worker starts anew under its identifier.
    pub fn restart(&mut self, now: MilliTime) {
        self.is_up = true;
        self.report.started_at = now;
        self.fence = 0;
        self.lease_until = MilliTime::ZERO;
        self.runs.clear();
        self.ended.clear();
        self.next_number = 1;
        self.barred.clear();
    }

    /// The worker crashes.
    pub fn crash(&mut self) {
        self.is_up = false;
        self.runs.clear();
    }

    /// Ends what is due; returns the tasks and runs that ended without being
    /// done.
    pub fn advance(&mut self, now: MilliTime) -> Vec<(String, u32)> {
        let mut broken = Vec::new();
        let lapsed = now >= self.lease_until;
        let due: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                lapsed || run.ends <= now || run.stops.is_some_and(|stops| stops <= now)
            })
            .map(|(task, run)| (task.clone(), run.clone()))
            .collect();
        for (task, run) in due {
            let outcome = if run.ends <= now {
                run.outcome
            } else if run.stops.is_some() {
                RunEnd::Stopped
            } else {
                RunEnd::Expired
            };
            if outcome != RunEnd::Done {
                broken.push((task.clone(), run.run));
            }
            self.end(&task, outcome);
        }
        broken
    }

    /// Ends a run, if it is there.
    pub fn end(&mut self, task: &str, outcome: RunEnd) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        self.bar(task, run.run);
        self.ended.push(EndedRow {
            number: self.next_number,
            task: task.to_owned(),
            run: run.run,
            outcome,
            checkpoint: String::new(),
        });
        self.next_number += 1;
    }

    fn bar(&mut self, task: &str, run: u32) {
        let barred = self.barred.entry(task.to_owned()).or_default();
        *barred = (*barred).max(run);
    }

    fn extend(&mut self, until: MilliTime, now: MilliTime) {
        let most = now + MilliSpan::new(MAX_LEASE);
        self.lease_until = self.lease_until.max(until.min(most));
    }

    /// Carries a start out. `planned` is when and how the run ends.
    ///
    /// # Errors
    /// Fails as the platform's workers do.
    pub fn start(
        &mut self,
        command: &StartCommand,
        demand: ResourceAmount,
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
        let barred = self.barred.get(&task).copied().unwrap_or(0);
        self.extend(command.until, now);
        if command.run <= barred {
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
            demand,
            ends: planned.0,
            outcome: planned.1,
            stops: None,
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
                run.stops.get_or_insert(now + MilliSpan::new(STOP_TIME));
            }
            _ => self.bar(&command.task, command.run),
        }
        Ok(now)
    }

    /// Renews the lease and lists the runs.
    ///
    /// # Errors
    /// Fails as the platform's workers do.
    pub fn poll(
        &mut self,
        command: &PollCommand,
        now: MilliTime,
    ) -> Result<WorkerListing, OrderError> {
        if command.token < self.fence {
            return Err(OrderError::Fenced);
        }
        self.fence = command.token;
        if let Some(until) = command.until {
            self.extend(until, now);
        }
        self.ended.retain(|row| row.number > command.recorded_end);
        let running = self.runs.iter().map(|(task, run)| RunningRow {
            task: task.clone(),
            run: run.run,
            checkpoint: String::new(),
            percent: u32::try_from(now.as_millis() / 10 % 100).unwrap_or(0),
        });
        Ok(WorkerListing {
            started_at: Some(self.report.started_at),
            clock: now,
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }

    /// Returns the processor time in use.
    #[must_use]
    pub fn used_cpu(&self) -> u64 {
        self.runs.values().map(|run| run.demand.cpu_millis).sum()
    }
}

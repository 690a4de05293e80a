//! The workers as the cell's owner knows them.

use std::collections::BTreeMap;

use pimentochute_base::{MilliSpan, MilliTime, ResourceAmount};

use crate::{JobKey, LeasePolicy};

/// What a worker reports of itself in the platform's list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// The identifier of the worker.
    pub id: String,
    /// Where the worker takes orders, as `ip:port`.
    pub address: String,
    /// The pool.
    pub pool: String,
    /// The data centre.
    pub data_centre: String,
    /// The worker finishes what it has and leaves.
    pub is_draining: bool,
    /// What the worker has.
    pub capacity: ResourceAmount,
    /// The kind and the rack.
    pub labels: Vec<String>,
    /// The start of the worker's life, since the Unix epoch.
    pub started_at: MilliTime,
    /// The worker's own clock when it reported.
    pub clock: MilliTime,
}

/// What a worker answers about its runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerListing {
    /// The start of the worker's life; none if the worker does not tell.
    pub started_at: Option<MilliTime>,
    /// The worker's own clock.
    pub clock: MilliTime,
    /// What runs.
    pub running: Vec<RunningRow>,
    /// What ended and was not yet noted.
    pub ended: Vec<EndedRow>,
}

/// A run that goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRow {
    /// The name of the task, as it was sent.
    pub task: String,
    /// The run.
    pub run: u32,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: String,
    /// How far the run is, in percent.
    pub percent: u32,
}

/// A run that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRow {
    /// The number of the end within the worker's life.
    pub number: u64,
    /// The name of the task, as it was sent.
    pub task: String,
    /// The run.
    pub run: u32,
    /// How it ended.
    pub outcome: RunEnd,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RunEnd {
    /// The work is done.
    Done,
    /// The task or the worker failed.
    Failed,
    /// An order stopped it.
    Stopped,
    /// The lease ran out.
    #[strum(to_string = "lapsed")]
    Expired,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not come.
    Alone,
}

/// Where a worker takes orders, and which life of it is meant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerTarget {
    /// The identifier of the worker.
    pub id: String,
    /// The address, as `ip:port`.
    pub address: String,
}

/// A worker.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) report: WorkerReport,
    /// The worker is in the platform's list.
    pub(crate) is_listed: bool,
    /// When the worker last reported, on the cell's clock.
    pub(crate) reported_at: MilliTime,
    pub(crate) lease: LeaseState,
    /// The runs that are placed here, by task index of the job. The sum of
    /// their needs is `committed`.
    pub(crate) runs: BTreeMap<(JobKey, usize), PlacedRun>,
    pub(crate) committed: ResourceAmount,
    /// The highest number of an end that was applied.
    pub(crate) applied_end: u64,
    /// The highest number of an end that is in the log.
    pub(crate) recorded_end: u64,
    /// When the last answered look was sent, on the cell's clock.
    pub(crate) listed_at: MilliTime,
    /// Failures of different runs since the last success.
    pub(crate) failures: u32,
    /// No run starts here before this time, on the cell's clock.
    pub(crate) avoid_until: MilliTime,
}

/// A run that is placed on a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacedRun {
    pub(crate) run: u32,
    pub(crate) demand: ResourceAmount,
    /// The token of the start order; none before it is sent.
    pub(crate) order_token: Option<u64>,
    /// When the start was answered with success, on the cell's clock.
    pub(crate) answered_at: Option<MilliTime>,
    /// When a stop was last sent, on the cell's clock.
    pub(crate) stop_sent: Option<MilliTime>,
    /// The percent of the last listing, and when it changed.
    pub(crate) percent: u32,
    pub(crate) percent_at: MilliTime,
}

/// Control over a worker: token, lease and the look that renews it.
#[derive(Debug)]
pub(crate) struct LeaseState {
    /// The token of orders. It rises whenever an order has no answer, so that
    /// the order cannot take effect after the next look.
    pub(crate) token: u64,
    /// A look with the present token was answered.
    pub(crate) has_control: bool,
    /// The worker's clock, and the cell's clock when it was known.
    pub(crate) clock: Option<(MilliTime, MilliTime)>,
    /// The latest time up to which the runs may go on, on the worker's clock.
    pub(crate) until: MilliTime,
    /// Nobody else extended the lease after this time, on the cell's clock.
    pub(crate) inherited_until: MilliTime,
    /// A look is on its way.
    pub(crate) is_polling: bool,
    /// The next look is due, on the cell's clock.
    pub(crate) next_poll_at: MilliTime,
    /// Looks in a row without an answer.
    pub(crate) failed_polls: u32,
}

impl WorkerState {
    pub(crate) fn new(
        report: WorkerReport,
        token: u64,
        inherited: MilliTime,
        now: MilliTime,
    ) -> Self {
        let clock = (report.clock, now);
        Self {
            report,
            is_listed: true,
            reported_at: now,
            lease: LeaseState {
                token,
                has_control: false,
                clock: Some(clock),
                until: MilliTime::ZERO,
                inherited_until: inherited,
                is_polling: false,
                next_poll_at: now,
                failed_polls: 0,
            },
            runs: BTreeMap::new(),
            committed: ResourceAmount::ZERO,
            applied_end: 0,
            recorded_end: 0,
            listed_at: MilliTime::ZERO,
            failures: 0,
            avoid_until: MilliTime::ZERO,
        }
    }

    /// Returns where orders go.
    pub(crate) fn target(&self) -> WorkerTarget {
        WorkerTarget {
            id: self.report.id.clone(),
            address: self.report.address.clone(),
        }
    }

    /// Returns the rack: the last label, after the kind.
    pub(crate) fn rack(&self) -> &str {
        self.report.labels.last().map_or("", String::as_str)
    }

    /// Tells whether new runs may start here.
    pub(crate) fn takes_runs(&self, now: MilliTime) -> bool {
        self.is_listed
            && !self.report.is_draining
            && self.lease.has_control
            && self.avoid_until <= now
    }

    /// Tells whether the worker has something to tell: runs whose starts were
    /// sent, ends that are noted by now, or whether it obeys at all.
    pub(crate) fn needs_polling(&self) -> bool {
        !self.lease.has_control
            || self.recorded_end < self.applied_end
            || self.runs.values().any(|run| run.order_token.is_some())
    }

    /// Returns what is free.
    pub(crate) fn free(&self) -> ResourceAmount {
        self.report.capacity.saturating_sub(&self.committed)
    }

    /// Adds a run; returns the run of the task that it replaces.
    pub(crate) fn add_run(
        &mut self,
        job: JobKey,
        task: usize,
        run: PlacedRun,
    ) -> Option<PlacedRun> {
        let before = self.runs.insert((job, task), run);
        if let Some(before) = &before {
            self.committed = self.committed.saturating_sub(&before.demand);
        }
        self.committed += run.demand;
        before
    }

    pub(crate) fn remove_run(&mut self, job: JobKey, task: usize) -> Option<PlacedRun> {
        let run = self.runs.remove(&(job, task))?;
        self.committed = self.committed.saturating_sub(&run.demand);
        Some(run)
    }
}

impl PlacedRun {
    /// Creates a run whose start was not sent.
    pub(crate) const fn new(run: u32, demand: ResourceAmount, now: MilliTime) -> Self {
        Self {
            run,
            demand,
            order_token: None,
            answered_at: None,
            stop_sent: None,
            percent: 0,
            percent_at: now,
        }
    }

    /// Creates a run that a previous owner may have started.
    pub(crate) const fn restored(run: u32, demand: ResourceAmount, now: MilliTime) -> Self {
        let mut placed = Self::new(run, demand, now);
        placed.order_token = Some(0);
        placed
    }
}

impl LeaseState {
    /// Returns the worker's clock now, as far as it is known.
    pub(crate) fn worker_clock(&self, now: MilliTime) -> Option<MilliTime> {
        let (reading, at) = self.clock?;
        Some(reading + now.since(at))
    }

    /// Notes a reading of the worker's clock.
    pub(crate) fn record_clock(&mut self, reading: MilliTime, now: MilliTime) {
        self.clock = Some((reading, now));
    }

    /// Extends the lease and returns its end on the worker's clock; none if
    /// that clock is unknown.
    pub(crate) fn extend(&mut self, policy: &LeasePolicy, now: MilliTime) -> Option<MilliTime> {
        let until = self.worker_clock(now)? + policy.duration;
        self.until = self.until.max(until);
        Some(self.until)
    }

    /// Makes outstanding orders void after the next look.
    pub(crate) fn raise_token(&mut self) {
        self.token += 1;
        self.has_control = false;
    }

    /// Returns when the lease has surely run out, on the cell's clock.
    ///
    /// The worker's clock may be slower than the cell's by `policy.clock_drift`.
    pub(crate) fn expires_at(&self, policy: &LeasePolicy) -> MilliTime {
        let own = match self.clock {
            Some((reading, at)) if self.until > reading => {
                at + policy.stretched(self.until.since(reading))
            }
            Some((_, at)) => at,
            None => MilliTime::ZERO,
        };
        own.max(self.inherited_until) + policy.margin
    }
}

/// Rounds a span up for a clock that is slow by `permille`.
pub(crate) fn stretched_span(span: MilliSpan, permille: u64) -> MilliSpan {
    MilliSpan::new((span.as_millis() * 1_000).div_ceil(1_000 - permille.min(999)))
}

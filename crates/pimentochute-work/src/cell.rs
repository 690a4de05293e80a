//! The state of a cell at its owner.

mod advise;
mod closed;
mod config;
mod ends;
mod gang;
mod jobs;
mod orders;
mod place;
mod polls;
mod rank;
mod records;
mod restore;
mod round;
mod teams;
mod workers;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pimentochute_base::{EpochNumber, MilliTime};
use slotmap::SlotMap;

use crate::advice::EligibilityRate;
use crate::effect::CellEffect;
use crate::job::JobState;
use crate::relays::AdviceRelays;
use crate::worker::WorkerState;
use crate::{CellConfig, CellPolicy, JobCode, JobKey, OrderError, WorkerKey};

use closed::ClosedJobs;
use polls::PollSchedule;
use records::{BatchInFlight, StagedAction};
use teams::TeamState;

pub use jobs::JobStatus;
pub use records::{RecordBatch, RecordKind, RecordWrite};

/// The tokens of an epoch. An owner would have to lose a million orders before
/// it runs out of them.
const TOKENS_PER_EPOCH: u64 = 1 << 20;

/// The jobs and workers of a cell, and the decisions about them.
///
/// Callers advance the clock, report what happened and take the effects. An
/// effect that depends on a record is released only when the record is in the
/// log.
#[derive(Debug)]
pub struct WorkCell {
    policy: CellPolicy,
    /// The first token of the owner's epoch.
    first_token: u64,
    /// On the owner's monotonic clock, which counts the time that the machine
    /// is suspended.
    now: MilliTime,
    /// Since the Unix epoch.
    unix_now: MilliTime,
    /// When the previous owner's leases have surely ended.
    inherited_until: MilliTime,
    /// When the log last confirmed that this owner is the present one.
    confirmed_at: MilliTime,
    config: CellConfig,
    jobs: SlotMap<JobKey, JobState>,
    job_keys: BTreeMap<JobCode, JobKey>,
    /// Jobs that are in neither of the two above.
    closed: ClosedJobs,
    workers: SlotMap<WorkerKey, WorkerState>,
    worker_keys: BTreeMap<String, WorkerKey>,
    teams: BTreeMap<String, TeamState>,
    /// The number of jobs that go on.
    open_jobs: usize,
    /// The jobs with tasks that wait for a worker.
    backlog: BTreeSet<JobKey>,
    /// How many workers of a question suit, by queue.
    eligibility_rates: BTreeMap<String, EligibilityRate>,
    /// The hosts through which questions go.
    relays: AdviceRelays,
    /// A worker obeys a newer owner.
    is_superseded: bool,
    /// Something changed since the last placement round.
    needs_round: bool,
    /// When the last placement round was.
    last_round_at: MilliTime,
    /// When leases, stalls and departures were last checked.
    last_maintenance_at: MilliTime,
    polls: PollSchedule,
    /// Jobs whose submission has to be recorded.
    submitted: Vec<JobKey>,
    /// Jobs whose progress has to be recorded.
    dirty: BTreeSet<JobKey>,
    /// Jobs that are to be forgotten.
    expired: Vec<JobCode>,
    /// What happens once the next batch is in the log.
    staged: Vec<StagedAction>,
    /// The batches on their way to the log, the oldest first.
    in_flight: VecDeque<BatchInFlight>,
    effects: Vec<CellEffect>,
}

impl WorkCell {
    /// Creates a cell without jobs and workers.
    ///
    /// `now` is the time at which the log began to refuse the previous owner.
    #[must_use]
    pub fn new(
        policy: CellPolicy,
        epoch: EpochNumber,
        config: CellConfig,
        now: MilliTime,
        unix_now: MilliTime,
    ) -> Self {
        Self {
            first_token: epoch.get().saturating_mul(TOKENS_PER_EPOCH),
            inherited_until: now + policy.lease.inherited_duration(),
            policy,
            now,
            unix_now,
            confirmed_at: now,
            config,
            jobs: SlotMap::with_key(),
            job_keys: BTreeMap::new(),
            closed: ClosedJobs::default(),
            workers: SlotMap::with_key(),
            worker_keys: BTreeMap::new(),
            teams: BTreeMap::new(),
            open_jobs: 0,
            backlog: BTreeSet::new(),
            eligibility_rates: BTreeMap::new(),
            relays: AdviceRelays::default(),
            is_superseded: false,
            needs_round: true,
            last_round_at: MilliTime::ZERO,
            last_maintenance_at: MilliTime::ZERO,
            polls: PollSchedule::default(),
            submitted: Vec::new(),
            dirty: BTreeSet::new(),
            expired: Vec::new(),
            staged: Vec::new(),
            in_flight: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    /// Moves the clocks; they never go back.
    pub fn advance(&mut self, now: MilliTime, unix_now: MilliTime) {
        self.now = self.now.max(now);
        self.unix_now = unix_now;
    }

    /// Tells whether a worker obeys a newer owner, so that this one has to end.
    #[must_use]
    pub const fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Notes that a worker obeys a higher token than that of an order. Orders
    /// with a token that was raised since may be refused by the worker of
    /// this owner itself.
    fn record_fenced(&mut self, error: OrderError, token: u64, present: u64) {
        self.is_superseded |= error == OrderError::Fenced && token == present;
    }

    /// Sets the addresses of the hosts through which questions to the advice
    /// service go; the owner's own is the first.
    pub fn set_relays(&mut self, hosts: Vec<String>) {
        self.relays.set_hosts(hosts);
    }

    /// Notes that the log accepted a call of this owner that was sent at
    /// `sent`.
    pub fn confirm(&mut self, sent: MilliTime) {
        self.confirmed_at = self.confirmed_at.max(sent);
    }

    /// Tells whether this owner may still extend leases.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.now.since(self.confirmed_at) <= self.policy.lease.unconfirmed_timeout
    }

    /// Returns what is to be done outside.
    pub fn take_effects(&mut self) -> Vec<CellEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the numbers of jobs that go on and of workers.
    #[must_use]
    pub fn sizes(&self) -> (usize, usize) {
        (self.open_jobs, self.workers.len())
    }
}

//! [`WorkCell`], the state from which the owner of a cell schedules its jobs.

mod admit;
mod advise;
mod answers;
mod closed;
mod config;
mod crashes;
mod deferred_ends;
mod early_cancellations;
mod ends;
mod evacuation;
mod expectation;
mod gang;
mod gang_progress;
mod gang_wait;
mod jobs;
mod orders;
mod paused_workers;
mod place;
mod place_apart;
mod place_gang;
mod poll_window;
mod polls;
mod rank;
mod records;
mod restore;
mod round;
mod runs;
mod scarcity;
mod speeds;
mod suspect_usage;
mod teams;
mod unused_entries;
mod workers;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pimentochute_base::{EpochNumber, MilliSpan, MilliTime};
use slotmap::SlotMap;

use crate::advice::EligibilityRate;
use crate::decision::DecisionCounts;
use crate::effect::CellEffect;
use crate::job::JobState;
use crate::learning::{DurationModel, FleetSpeeds};
use crate::relays::AdviceRelays;
use crate::worker::{StartDelay, WorkerState};
use crate::{
    CellConfig, CellPolicy, JobCode, JobKey, JobProgress, OrderError, ProgressPart, WorkerKey,
};

use admit::AdmissionState;
use closed::ClosedJobs;
use crashes::LostWorker;
use deferred_ends::DeferredEnds;
use early_cancellations::EarlyCancellations;
use evacuation::EvacuationState;
use poll_window::PollWindow;
use polls::PollSchedule;
use records::{BatchInFlight, StagedAction};
use scarcity::RoomPressure;
use teams::TeamState;
use unused_entries::UnusedEntries;

pub use closed::MIN_RESTORED_RETENTION;
pub use jobs::JobStatus;
pub use records::{RecordBatch, RecordKind, RecordWrite};

/// The number of fencing tokens of an epoch. The token of a worker rises by one when an order
/// fails, the worker restarts, or a start passes a poll: at most nine times a second, so that
/// these are enough for a year.
const TOKENS_PER_EPOCH: u64 = 1 << 28;

/// The jobs and workers of a cell, and the scheduler that assigns them.
///
/// The owner advances the clock, reports events and takes the effects. An
/// effect that depends on a record is returned only once the record is in the
/// log.
#[derive(Debug)]
pub struct WorkCell {
    policy: CellPolicy,
    epoch: EpochNumber,
    /// The first fencing token of a worker that appears. It is above those of all
    /// workers that were removed, since one of them may appear again.
    first_token: u64,
    /// On the owner's monotonic clock, which includes the time for which the
    /// host is suspended.
    now: MilliTime,
    /// Since the Unix epoch.
    unix_now: MilliTime,
    /// When all leases that the previous owner may have renewed have expired.
    inherited_until: MilliTime,
    /// How long an order waits before it leaves the owner's host.
    order_delay: MilliSpan,
    /// When the last call that the log accepted from this owner was sent.
    log_contact_at: MilliTime,
    config: CellConfig,
    jobs: SlotMap<JobKey, JobState>,
    job_keys: BTreeMap<JobCode, JobKey>,
    /// Jobs that have ended and are no longer in `jobs` and `job_keys`.
    closed: ClosedJobs,
    /// Cancellations of jobs that have not arrived.
    early_cancellations: EarlyCancellations,
    /// The recorded progress of jobs whose submission has not arrived.
    early_progress: BTreeMap<JobCode, JobProgress>,
    /// All jobs that the intake had at this time have been accepted.
    intake_read_at: MilliTime,
    workers: SlotMap<WorkerKey, WorkerState>,
    worker_keys: BTreeMap<String, WorkerKey>,
    /// The worker at each address that started last.
    address_holders: BTreeMap<String, WorkerKey>,
    /// The entries that say nothing about a worker, or not yet.
    unused_entries: UnusedEntries,
    /// The data centres whose workers get no further runs.
    evacuation: EvacuationState,
    teams: BTreeMap<String, TeamState>,
    /// The number of jobs that have not ended.
    open_jobs: usize,
    /// The jobs with tasks that wait for a worker.
    backlog: BTreeSet<JobKey>,
    /// Which part of the workers in advice requests is eligible, by queue.
    eligibility_rates: BTreeMap<String, EligibilityRate>,
    /// The hosts that pass requests on to the advice service.
    relays: AdviceRelays,
    /// The steps of jobs that can still end in time which the last placement round left
    /// waiting.
    on_time_backlog: usize,
    /// The workers that the last placement round kept free for gangs.
    reserved_workers: BTreeSet<WorkerKey>,
    /// The waiting jobs that the last placement round did not reach.
    passed_over: usize,
    /// The room at the start of the last placement round, and what waited for it.
    pressure: RoomPressure,
    admission: AdmissionState,
    /// The teams that the last placement round found above their share.
    teams_above: usize,
    /// Contains all jobs with a task that is suspected of crashing its workers.
    suspect_jobs: BTreeSet<JobKey>,
    /// The workers that take no tasks but suspected ones until the next placement round,
    /// and since when.
    trial_workers: BTreeMap<WorkerKey, MilliTime>,
    /// The workers of which it is not known yet whether they crashed.
    lost_workers: Vec<LostWorker>,
    start_delay: StartDelay,
    /// A worker has accepted the token of a newer owner.
    is_superseded: bool,
    /// An event since the last placement round may allow another placement.
    needs_placement: bool,
    last_placement_at: MilliTime,
    /// When leases, stalled runs and removed workers were last checked.
    last_maintenance_at: MilliTime,
    last_usage_log_at: MilliTime,
    /// The suspected tasks that waited at that time.
    suspects_waiting: usize,
    polls: PollSchedule,
    poll_window: PollWindow,
    durations: DurationModel,
    speeds: FleetSpeeds,
    /// When speeds and the expectations of waiting jobs were last updated.
    expected_at: MilliTime,
    /// Jobs whose submission has to be recorded.
    submitted: Vec<JobKey>,
    /// Jobs whose progress has to be recorded.
    dirty: BTreeSet<JobKey>,
    /// Jobs whose progress has to be recorded soon.
    deferred_ends: DeferredEnds,
    /// Closed jobs whose records have to be deleted.
    expired: Vec<JobCode>,
    /// Jobs that are not known and whose record of crashes has to be deleted.
    orphaned_crashes: Vec<JobCode>,
    /// The numbers of parts that belong to no open job and whose records have to be deleted.
    orphaned_parts: Vec<(JobCode, u32)>,
    /// The parts of jobs whose progress has not been restored yet, by their numbers.
    restored_parts: BTreeMap<JobCode, BTreeMap<u32, ProgressPart>>,
    /// Records that did not fit into the last batch.
    unsent: VecDeque<RecordWrite>,
    /// The actions that follow once the last of `unsent` is in the log.
    unsent_actions: Vec<StagedAction>,
    /// The actions that follow once the next batch is in the log.
    staged: Vec<StagedAction>,
    /// The batches that are not known to be in the log, the oldest first.
    in_flight: VecDeque<BatchInFlight>,
    effects: Vec<CellEffect>,
    /// The decisions since [`WorkCell::take_decisions`] was last called.
    decisions: DecisionCounts,
}

impl WorkCell {
    /// Creates a cell without jobs and workers.
    ///
    /// `now` is the time from which the log refuses the previous owner.
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
            epoch,
            now,
            unix_now,
            order_delay: MilliSpan::ZERO,
            log_contact_at: now,
            config,
            jobs: SlotMap::with_key(),
            job_keys: BTreeMap::new(),
            closed: ClosedJobs::default(),
            early_cancellations: EarlyCancellations::default(),
            early_progress: BTreeMap::new(),
            intake_read_at: now,
            workers: SlotMap::with_key(),
            worker_keys: BTreeMap::new(),
            address_holders: BTreeMap::new(),
            unused_entries: UnusedEntries::default(),
            evacuation: EvacuationState::default(),
            teams: BTreeMap::new(),
            open_jobs: 0,
            backlog: BTreeSet::new(),
            eligibility_rates: BTreeMap::new(),
            relays: AdviceRelays::default(),
            on_time_backlog: 0,
            reserved_workers: BTreeSet::new(),
            passed_over: 0,
            pressure: RoomPressure::default(),
            teams_above: 0,
            admission: AdmissionState::new(now),
            suspect_jobs: BTreeSet::new(),
            trial_workers: BTreeMap::new(),
            lost_workers: Vec::new(),
            start_delay: StartDelay::default(),
            is_superseded: false,
            needs_placement: true,
            last_placement_at: MilliTime::ZERO,
            last_maintenance_at: MilliTime::ZERO,
            last_usage_log_at: now,
            suspects_waiting: 0,
            polls: PollSchedule::default(),
            poll_window: PollWindow::new(),
            durations: DurationModel::new(policy.learning.max_keys),
            speeds: FleetSpeeds::default(),
            expected_at: MilliTime::ZERO,
            submitted: Vec::new(),
            dirty: BTreeSet::new(),
            deferred_ends: DeferredEnds::default(),
            expired: Vec::new(),
            orphaned_crashes: Vec::new(),
            orphaned_parts: Vec::new(),
            restored_parts: BTreeMap::new(),
            unsent: VecDeque::new(),
            unsent_actions: Vec::new(),
            staged: Vec::new(),
            in_flight: VecDeque::new(),
            effects: Vec::new(),
            decisions: DecisionCounts::default(),
        }
    }

    /// Sets the clocks. The monotonic one never goes back.
    pub fn advance(&mut self, now: MilliTime, unix_now: MilliTime) {
        self.now = self.now.max(now);
        self.unix_now = unix_now;
    }

    /// Returns whether a worker has accepted a newer owner, so that this one
    /// has to stop.
    #[must_use]
    pub const fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Marks this owner as superseded if a worker refused an order with the
    /// `present` token because it knows a higher one. The refusal of an earlier
    /// token proves nothing, since this owner has raised it itself.
    fn note_fenced(&mut self, error: OrderError, token: u64, present: u64) {
        self.is_superseded |= error == OrderError::Fenced && token == present;
    }

    /// Sets the addresses of the hosts that pass requests on to the advice
    /// service; the owner's own host is the first.
    pub fn set_relays(&mut self, hosts: Vec<String>) {
        self.relays.set_hosts(hosts, self.now);
    }

    /// Notes that the log accepted a call that this owner sent at `sent`.
    pub fn update_log_contact(&mut self, sent: MilliTime) {
        self.log_contact_at = self.log_contact_at.max(sent);
    }

    /// Returns whether this owner may still extend leases: the log accepted a
    /// call of it recently enough.
    #[must_use]
    pub fn may_extend_leases(&self) -> bool {
        self.now.since(self.log_contact_at) <= self.policy.lease.unconfirmed_timeout
    }

    /// Returns the effects since the last call, for the owner to carry out.
    pub fn take_effects(&mut self) -> Vec<CellEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns how often each decision was made since the last call, for the metrics.
    pub fn take_decisions(&mut self) -> DecisionCounts {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the number of jobs that have not ended and of known workers.
    #[must_use]
    pub fn sizes(&self) -> (usize, usize) {
        (self.open_jobs, self.workers.len())
    }
}

//! The state of a worker: its entry in the platform's list, its lease and its runs.

use std::collections::BTreeMap;

use pimentochute_base::{MilliSpan, MilliTime, ResourceAmount};

use crate::crash::{START_CRASH_WINDOW, StartStatus};
use crate::learning::{LogEstimate, WorkerSpeed};
use crate::{IncarnationNumber, JobKey, LeasePolicy};

/// Stands for the token of a start that an earlier owner may have sent; it is below all
/// others.
const INHERITED_TOKEN: u64 = 0;

/// A worker whose ends wait to be acknowledged for this long gets no further starts, since
/// one of them is on its way whenever a poll leaves.
const MAX_ACKNOWLEDGE_WAIT: MilliSpan = MilliSpan::new(500);

/// The error of a difference of two clock readings in whole milliseconds.
const CLOCK_ROUNDING: MilliSpan = MilliSpan::new(2);

/// The start of a suspected task leaves at once if its worker has answered a poll that was
/// sent at most this long ago.
const MAX_ANSWER_AGE: MilliSpan = MilliSpan::new(50);

/// The state of a worker, as the owner knows it.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) report: WorkerReport,
    /// The start that `report` names. All that is known of runs, ends, clock and lease is
    /// of this start; answers to orders for an earlier one are not admitted.
    pub(crate) incarnation: IncarnationNumber,
    /// The worker is in the platform's list.
    pub(crate) in_platform_list: bool,
    /// Since when another entry claims the address for a worker that seems to have started
    /// later, on the cell's clock. Nothing starts here meanwhile, but an entry alone does not
    /// prove that this worker has ended: its lease is renewed until an answer tells.
    pub(crate) replaced_since: Option<MilliTime>,
    /// Another worker has answered for this one at its address, so it has ended, whatever the
    /// starts of both say.
    pub(crate) has_left_address: bool,
    /// The address at which the worker last answered this owner, so where its runs are; `None`
    /// before the first answer.
    pub(crate) answered_address: Option<String>,
    /// The last entry of the worker was written at this time or later, on the cell's
    /// clock; `None` if that is not known.
    pub(crate) entry_written_after: Option<MilliTime>,
    /// The start of the incarnation before; that of `report` if none is known.
    pub(crate) former_start: MilliTime,
    pub(crate) entry: EntryStatus,
    /// The data centre of `report` is evacuated.
    pub(crate) is_evacuated: bool,
    /// A start that the platform's list named and the worker itself did not.
    pub(crate) refuted_start: Option<MilliTime>,
    /// The last entry with a later start that is not applied before an answer confirms it.
    pub(crate) doubted: Option<DoubtedReport>,
    pub(crate) lease: LeaseState,
    /// The runs that are placed here, by job and index of the task.
    pub(crate) runs: BTreeMap<(JobKey, usize), PlacedRun>,
    /// The runs that the worker lists and that are not placed here, by the name of the task
    /// and the number of the run. They are being stopped, and take their room until a listing
    /// does not name them any more.
    pub(crate) unwanted_runs: BTreeMap<(String, u32), UnwantedRun>,
    /// The sum of the demands of `runs` and `unwanted_runs`.
    pub(crate) committed: ResourceAmount,
    /// The job of a suspected task that starts here; no other job gets runs here
    /// meanwhile.
    pub(crate) apart_job: Option<JobKey>,
    /// The highest number of an end that was applied.
    pub(crate) applied_end: u64,
    /// The highest number of an end that is in the log. The worker may forget its
    /// ends up to it.
    pub(crate) last_recorded_end: u64,
    /// The highest number of an end that an answered poll has acknowledged.
    pub(crate) acknowledged_end: u64,
    /// Since when polls acknowledge no further ends because of starts without an answer, on
    /// the cell's clock.
    pub(crate) withheld_since: Option<MilliTime>,
    /// The highest token of a start that was given up without an answer; an incarnation that
    /// has answered no poll with a higher one may have carried it out.
    pub(crate) given_up_token: Option<u64>,
    /// The token of the last poll that this incarnation answered. It refuses starts with a
    /// lower one from then on.
    pub(crate) answered_token: u64,
    /// When the last poll that was answered was sent, on the cell's clock.
    pub(crate) answered_poll_sent_at: MilliTime,
    /// When an order was last answered, on the cell's clock.
    pub(crate) last_answer_at: MilliTime,
    /// The number of failed runs since the last success.
    pub(crate) failures: u32,
    /// No run starts here before this time, on the cell's clock.
    pub(crate) avoid_until: MilliTime,
    pub(crate) open_starts: OpenStarts,
    /// Since when a check has found that the worker pauses, on the cell's clock.
    pub(crate) paused_since: Option<MilliTime>,
    pub(crate) speed: WorkerSpeed,
}

/// An entry with a later start than the known one, of a worker whose entries have named wrong
/// ones before.
#[derive(Debug)]
pub(crate) struct DoubtedReport {
    pub(crate) report: WorkerReport,
    /// When the entry was read, on the cell's clock.
    pub(crate) read_at: MilliTime,
}

/// Which incarnation of a worker its entry in the platform's list describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EntryStatus {
    /// The present one.
    Current,
    /// The one before: a poll has found a restart. Pool, labels and capacity of the present
    /// one are not known.
    Outdated,
    /// One with an earlier start than the known one: the entry is late, or the worker has
    /// restarted and its time of day has stepped back; or the first one that this owner has
    /// read, of a pool that the configuration does not have. A poll tells.
    Doubtful,
}

/// What shows that a worker which seems to be replaced at its address has ended. Entries do
/// not: another writer may have left them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum EndEvidence {
    /// Another worker has answered for it at its address.
    OtherAnswer,
    /// The holder of its address has answered there.
    SuccessorAnswer,
}

/// Why no runs start on a worker that is neither draining nor gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum PauseReason {
    /// A worker that started later has its address.
    Replaced,
    /// Its entry in the platform's list describes another incarnation, or may do so.
    Entry,
    /// The owner does not know its runs: an order had no answer, or it is new.
    Control,
    /// Its ends are not acknowledged, because of a start without an answer.
    EndsWithheld,
    /// Several runs have failed there.
    Avoided,
    /// Starts have no answer for longer than others.
    StartsOpen,
}

/// The starts that a worker has not answered yet.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct OpenStarts {
    count: u32,
    /// When the worker last answered a start, or the first of the open ones was sent,
    /// on the cell's clock.
    waiting_since: MilliTime,
}

/// A worker's entry in the platform's list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// The identifier of the worker, which it keeps when it restarts.
    pub id: String,
    /// The address that accepts orders, as `ip:port`. It is empty for a worker
    /// that is known only from a record.
    pub address: String,
    /// The name of the pool that the worker belongs to.
    pub pool: String,
    /// The name of the data centre.
    pub data_centre: String,
    /// The worker finishes its runs, accepts no new ones and then leaves.
    pub is_draining: bool,
    /// The resources of the worker without any runs.
    pub capacity: ResourceAmount,
    /// The kind and, as the last one, the rack.
    pub labels: Vec<String>,
    /// The start of the worker's incarnation, since the Unix epoch.
    pub started_at: MilliTime,
    /// The reading of the worker's own clock at the time of the report.
    pub clock: MilliTime,
}

/// The answer of a worker to a poll.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerListing {
    /// The start of the worker's incarnation; `None` if the answer has none.
    pub started_at: Option<MilliTime>,
    /// The reading of the worker's own clock.
    pub clock: MilliTime,
    /// The runs that have not ended.
    pub running: Vec<RunningRow>,
    /// The ends of runs above the number that the poll reported as recorded. A
    /// worker lists a limited number of them.
    pub ended: Vec<EndedRow>,
    /// The number of rows of both lists that cannot be decoded. With any, the listing
    /// does not prove that a run is absent.
    pub unreadable_rows: usize,
}

/// A run that has not ended, as its worker lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRow {
    /// The name of the task, as the start order had it.
    pub task: String,
    /// The number of the run.
    pub run: u32,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: String,
    /// The progress of the run, in percent.
    pub percent: u32,
}

/// A run that ended, as its worker lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRow {
    /// The number of the end, which rises within an incarnation of the worker.
    pub number: u64,
    /// The name of the task, as the start order had it.
    pub task: String,
    /// The number of the run.
    pub run: u32,
    /// The reason for the end.
    pub outcome: RunEnd,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// Why a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RunEnd {
    /// The task succeeded.
    Done,
    /// The task or the worker failed.
    Failed,
    /// A stop order ended it.
    Stopped,
    /// The lease of the worker expired.
    #[strum(to_string = "lapsed")]
    Expired,
    /// The run was ended because another member of its gang had ended.
    Broken,
    /// The run was ended because the other members of its gang did not start in
    /// time.
    Alone,
}

/// The worker that an order is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerTarget {
    /// The identifier of the worker.
    pub id: String,
    /// The address that accepts orders, as `ip:port`.
    pub address: String,
}

/// A run that a worker lists and that is not placed there.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnwantedRun {
    pub(crate) demand: ResourceAmount,
    /// When a stop was last sent, on the cell's clock.
    pub(crate) stop_sent: MilliTime,
}

/// A run that is placed on a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacedRun {
    /// The number of the run; a task's first run is 1.
    pub(crate) number: u32,
    /// The incarnation of the worker that the run was placed on or that listed it last. The
    /// start leaves only to the former, and the loss of a later one says nothing about the
    /// run.
    pub(crate) incarnation: IncarnationNumber,
    pub(crate) demand: ResourceAmount,
    /// The token of the start order; `None` before it is sent.
    pub(crate) order_token: Option<u64>,
    /// When the worker first acknowledged the run, by answering the start or by
    /// listing the run, on the cell's clock.
    pub(crate) acknowledged_at: Option<MilliTime>,
    /// When a stop was last sent, on the cell's clock.
    pub(crate) stop_sent: Option<MilliTime>,
    /// The progress in the last listing, in percent.
    pub(crate) percent: u32,
    /// When `percent` last changed, on the cell's clock.
    pub(crate) percent_at: MilliTime,
    /// The task is suspected of crashing its workers, so that nothing starts beside it.
    /// Its start leaves only once the worker has answered a poll.
    pub(crate) is_apart: bool,
    /// The placement is in the log, and the start waits since this time, on the cell's
    /// clock, for the answer to a later poll.
    pub(crate) held_since: Option<MilliTime>,
    /// The task is suspected, and its worker was alive as the start left or answered it.
    pub(crate) has_reached_worker: bool,
    /// The task is suspected, and no other run on its worker could be harmful when it was
    /// placed.
    pub(crate) is_calm_start: bool,
    pub(crate) reading: RunReading,
}

/// From where the progress of a run is measured.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunReading {
    /// A percentage, and when the run had it, on the cell's clock; `None` before the first.
    pub(crate) base: Option<(u32, MilliTime)>,
    /// What was known of the worker's speed when `base` was read, before other tasks of the
    /// step have told.
    pub(crate) speed: Option<LogEstimate>,
    /// The run has told how long its task takes.
    pub(crate) is_used: bool,
}

/// The lease, the fencing token, control and the poll state of a worker.
#[derive(Debug)]
pub(crate) struct LeaseState {
    /// The fencing token of orders. It rises whenever an order has no answer, so
    /// that the order cannot take effect after the next poll.
    pub(crate) token: u64,
    /// The present token when an order last had no answer. Later starts may have raised it
    /// further; a poll with this token or a higher one shows the worker's runs.
    pub(crate) control_token: u64,
    /// A poll with the control token or a higher one was answered in full, so the owner knows
    /// the worker's runs.
    pub(crate) has_control: bool,
    /// The token of the last poll that acknowledged ends, while it is in flight.
    pub(crate) acknowledging_token: Option<u64>,
    /// The last reading of the worker's clock, and the cell's clock when it was
    /// received.
    pub(crate) clock: Option<(MilliTime, MilliTime)>,
    /// The latest end of the lease that an order carried, on the worker's clock.
    pub(crate) until: MilliTime,
    /// Leases that `until` does not cover have expired by this time, on the cell's
    /// clock: those of the previous owner, and those that a new incarnation may
    /// have accepted.
    pub(crate) untracked_lease_until: MilliTime,
    /// A poll of the present incarnation is in flight.
    pub(crate) is_polling: bool,
    /// When the next poll is due, on the cell's clock.
    pub(crate) next_poll_at: MilliTime,
    /// The number of consecutive polls that failed.
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
            former_start: report.started_at,
            report,
            incarnation: IncarnationNumber::FIRST,
            in_platform_list: true,
            replaced_since: None,
            has_left_address: false,
            answered_address: None,
            entry_written_after: None,
            entry: EntryStatus::Current,
            is_evacuated: false,
            refuted_start: None,
            doubted: None,
            lease: LeaseState {
                token,
                control_token: token,
                has_control: false,
                acknowledging_token: None,
                clock: Some(clock),
                until: MilliTime::ZERO,
                untracked_lease_until: inherited,
                is_polling: false,
                next_poll_at: now,
                failed_polls: 0,
            },
            runs: BTreeMap::new(),
            unwanted_runs: BTreeMap::new(),
            committed: ResourceAmount::ZERO,
            apart_job: None,
            applied_end: 0,
            last_recorded_end: 0,
            acknowledged_end: 0,
            withheld_since: None,
            given_up_token: None,
            answered_token: 0,
            answered_poll_sent_at: MilliTime::ZERO,
            last_answer_at: now,
            failures: 0,
            avoid_until: MilliTime::ZERO,
            open_starts: OpenStarts::default(),
            paused_since: None,
            speed: WorkerSpeed::UNKNOWN,
        }
    }

    /// Returns the destination of orders to this worker.
    pub(crate) fn target(&self) -> WorkerTarget {
        WorkerTarget {
            id: self.report.id.clone(),
            address: self.report.address.clone(),
        }
    }

    /// Returns the rack, which is the last label.
    pub(crate) fn rack(&self) -> &str {
        self.report.labels.last().map_or("", String::as_str)
    }

    /// Returns whether new runs may start here. A worker that has not answered its
    /// starts for longer than `answer_limit` may be unreachable: what starts there
    /// could not be given to another worker before its lease ends.
    pub(crate) fn takes_runs(&self, now: MilliTime, answer_limit: MilliSpan) -> bool {
        self.in_platform_list
            && !self.report.is_draining
            && !self.is_evacuated
            && self.pause_reason(now, answer_limit).is_none()
    }

    /// Returns why no runs start here for a while, whether the worker is in the platform's
    /// list or not.
    pub(crate) fn pause_reason(
        &self,
        now: MilliTime,
        answer_limit: MilliSpan,
    ) -> Option<PauseReason> {
        let is_withheld = self
            .withheld_since
            .is_some_and(|since| now.since(since) > MAX_ACKNOWLEDGE_WAIT);
        let reasons = [
            (self.is_replaced(), PauseReason::Replaced),
            (self.entry != EntryStatus::Current, PauseReason::Entry),
            (!self.lease.has_control, PauseReason::Control),
            (is_withheld, PauseReason::EndsWithheld),
            (self.avoid_until > now, PauseReason::Avoided),
            (
                self.open_starts.is_overdue(answer_limit, now),
                PauseReason::StartsOpen,
            ),
        ];
        let holds = reasons.into_iter().find(|(holds, _)| *holds);
        holds.map(|(_, reason)| reason)
    }

    /// Returns the number of runs whose start has left and of which the worker has shown
    /// nothing since, and when the first of them left, on the cell's clock.
    pub(crate) fn unconfirmed_runs(&self) -> (usize, Option<MilliTime>) {
        let open = self
            .runs
            .values()
            .filter(|run| run.order_token.is_some() && run.acknowledged_at.is_none());
        (open.clone().count(), open.map(|run| run.percent_at).min())
    }

    /// Returns whether another entry claims the worker's address, so that it may have ended.
    pub(crate) const fn is_replaced(&self) -> bool {
        self.replaced_since.is_some()
    }

    /// Returns whether the present incarnation has answered this owner at its address.
    pub(crate) fn has_answered_here(&self) -> bool {
        self.answered_token > 0 && self.answered_address.as_ref() == Some(&self.report.address)
    }

    /// Returns whether an entry is all that is known of the worker, and the answer of another
    /// one at its address has refuted it.
    pub(crate) const fn is_refuted(&self) -> bool {
        self.is_replaced() && self.has_left_address && self.answered_address.is_none()
    }

    /// Returns whether the present incarnation, unlike an earlier one, has not answered this
    /// owner: only the worker's entry names its start.
    pub(crate) const fn has_open_restart(&self) -> bool {
        self.answered_token == 0 && self.answered_address.is_some()
    }

    /// Returns whether the runs are at the worker's address as far as this owner knows. They
    /// may not be if an entry has named another one since the last answer, or if there is only
    /// a doubtful entry.
    pub(crate) fn has_runs_here(&self) -> bool {
        match &self.answered_address {
            Some(address) => *address == self.report.address,
            None => self.entry == EntryStatus::Current,
        }
    }

    /// Returns whether the worker has to be polled: the owner lacks control, the
    /// worker still has to be told that ends are recorded, it may have runs, or a
    /// suspected task is to start there. One that seems to be replaced is polled only for
    /// its runs and for a start that its entry names.
    pub(crate) fn needs_polling(&self) -> bool {
        let may_run = self.runs.values().any(|run| run.order_token.is_some());
        if self.is_replaced() {
            return may_run || self.doubted.is_some();
        }
        !self.lease.has_control
            || self.entry != EntryStatus::Current
            || self.withheld_since.is_some()
            || self.last_recorded_end < self.applied_end
            || !self.unwanted_runs.is_empty()
            || self.apart_job.is_some()
            || may_run
    }

    /// Returns whether a start has left that this incarnation is not known to have carried
    /// out or to refuse: one that the owner has not met yet may have done so instead.
    pub(crate) fn has_unconfirmed_start(&self) -> bool {
        let open = self.highest_unconfirmed_token().max(self.given_up_token);
        open.is_some_and(|token| token >= self.answered_token)
    }

    /// Notes that the runs of the worker are given up, because its lease has ended.
    pub(crate) fn note_given_up_starts(&mut self) {
        let highest = self.highest_unconfirmed_token();
        self.given_up_token = self.given_up_token.max(highest);
    }

    /// Returns the highest token of the starts that this incarnation is not known to have
    /// carried out.
    fn highest_unconfirmed_token(&self) -> Option<u64> {
        let unconfirmed = self.runs.values().filter(|run| {
            let is_confirmed = run.acknowledged_at.is_some() && run.incarnation == self.incarnation;
            !is_confirmed
        });
        unconfirmed.filter_map(|run| run.order_token).max()
    }

    /// Returns the longest time for which the worker may not have renewed its entry in
    /// the platform's list; `None` if that is not known.
    pub(crate) fn entry_age(&self, now: MilliTime) -> Option<MilliSpan> {
        self.entry_written_after.map(|written| now.since(written))
    }

    /// Returns the free resources.
    pub(crate) fn free(&self) -> ResourceAmount {
        self.report.capacity.saturating_sub(&self.committed)
    }

    /// Adds a run; returns the earlier run of the same task that it replaces.
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
        self.update_apart_job();
        before
    }

    pub(crate) fn remove_run(&mut self, job: JobKey, task: usize) -> Option<PlacedRun> {
        let run = self.runs.remove(&(job, task))?;
        self.committed = self.committed.saturating_sub(&run.demand);
        self.update_apart_job();
        Some(run)
    }

    /// Replaces the runs that are not placed here and take room all the same.
    pub(crate) fn set_unwanted_runs(&mut self, runs: BTreeMap<(String, u32), UnwantedRun>) {
        for run in self.unwanted_runs.values() {
            self.committed = self.committed.saturating_sub(&run.demand);
        }
        for run in runs.values() {
            self.committed += run.demand;
        }
        self.unwanted_runs = runs;
    }

    /// Returns the start of the incarnation that a run belongs to; of earlier ones, only the
    /// last is known.
    pub(crate) fn start_of(&self, job: JobKey, task: usize) -> MilliTime {
        match self.runs.get(&(job, task)) {
            Some(run) if run.incarnation != self.incarnation => self.former_start,
            _ => self.report.started_at,
        }
    }

    /// Returns how far the start of a run has come, as far as the worker has answered.
    pub(crate) fn start_status(&self, run: &PlacedRun) -> StartStatus {
        match run.acknowledged_at {
            _ if run.incarnation != self.incarnation => StartStatus::Unanswered,
            None if run.has_reached_worker => StartStatus::Checked,
            None if run.order_token == Some(INHERITED_TOKEN) => StartStatus::Inherited,
            None => StartStatus::Unanswered,
            Some(at) if self.last_answer_at.since(at) < START_CRASH_WINDOW => StartStatus::Recent,
            Some(_) => StartStatus::Settled,
        }
    }

    /// Returns whether a suspected task has started here or is about to, and the worker
    /// has not answered since for long enough to show that it does no harm.
    pub(crate) fn has_open_trial(&self) -> bool {
        let mut apart = self.runs.values().filter(|run| run.is_apart);
        self.apart_job.is_some() && apart.any(|run| self.start_status(run) != StartStatus::Settled)
    }

    /// Updates `apart_job` after a change of the runs.
    pub(crate) fn update_apart_job(&mut self) {
        let mut apart = self.runs.iter().filter(|(_, run)| run.is_apart);
        self.apart_job = apart.next().map(|((job, _), _)| *job);
    }
}

/// How long workers take to answer a start, as the owner sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct StartDelay {
    /// The mean delay, in microseconds.
    mean_micros: u64,
}

impl StartDelay {
    /// The share of a new answer in the mean, as a divisor.
    const WEIGHT_DIVISOR: u64 = 16;

    /// The limit is this many times the mean delay. It follows the delay, since an
    /// owner with little processor time or a full link reads all answers late.
    const LIMIT_FACTOR: u64 = 4;

    /// The smallest limit.
    const MIN_LIMIT: MilliSpan = MilliSpan::new(150);

    /// Adds the delay of an answer.
    pub(crate) const fn add_answer(&mut self, delay: MilliSpan) {
        let kept = self.mean_micros * (Self::WEIGHT_DIVISOR - 1);
        self.mean_micros = (kept + delay.as_millis() * 1_000) / Self::WEIGHT_DIVISOR;
    }

    /// Returns the delay above which a worker may be unreachable.
    pub(crate) fn limit(self) -> MilliSpan {
        let limit = MilliSpan::new(self.mean_micros * Self::LIMIT_FACTOR / 1_000);
        limit.max(Self::MIN_LIMIT)
    }
}

impl OpenStarts {
    /// Notes that a start is sent.
    pub(crate) fn record_sent(&mut self, now: MilliTime) {
        if self.count == 0 {
            self.waiting_since = now;
        }
        self.count += 1;
    }

    /// Notes that a start has an answer, or that the wait for it has ended.
    pub(crate) fn record_answer(&mut self, now: MilliTime) {
        self.count = self.count.saturating_sub(1);
        self.waiting_since = now;
    }

    /// Returns whether the worker has not answered for longer than `limit`.
    pub(crate) fn is_overdue(&self, limit: MilliSpan, now: MilliTime) -> bool {
        self.count > 0 && now.since(self.waiting_since) > limit
    }
}

impl PlacedRun {
    /// Creates a run whose start order was not sent.
    pub(crate) const fn new(
        number: u32,
        incarnation: IncarnationNumber,
        demand: ResourceAmount,
        now: MilliTime,
    ) -> Self {
        Self {
            number,
            incarnation,
            demand,
            order_token: None,
            acknowledged_at: None,
            stop_sent: None,
            percent: 0,
            percent_at: now,
            is_apart: false,
            held_since: None,
            has_reached_worker: false,
            is_calm_start: false,
            reading: RunReading {
                base: None,
                speed: None,
                is_used: false,
            },
        }
    }

    /// Returns whether the start has to wait until the worker has answered a poll; the
    /// last one that was answered was sent at `answered_poll`.
    pub(crate) fn waits_for_answer(&self, answered_poll: MilliTime, now: MilliTime) -> bool {
        let is_recent = match self.held_since {
            Some(since) => answered_poll >= since,
            None => now.since(answered_poll) <= MAX_ANSWER_AGE,
        };
        self.is_apart && !is_recent
    }

    /// Returns the run with another value of `is_apart`.
    pub(crate) const fn with_apart(mut self, is_apart: bool) -> Self {
        self.is_apart = is_apart;
        self
    }

    /// Creates a run that a previous owner may have started.
    pub(crate) const fn restored(
        number: u32,
        incarnation: IncarnationNumber,
        demand: ResourceAmount,
        now: MilliTime,
    ) -> Self {
        let mut placed = Self::new(number, incarnation, demand, now);
        placed.order_token = Some(INHERITED_TOKEN);
        placed
    }
}

impl LeaseState {
    /// Returns the estimated reading of the worker's clock; `None` if it is not
    /// known.
    pub(crate) fn worker_clock(&self, now: MilliTime) -> Option<MilliTime> {
        let (reading, at) = self.clock?;
        Some(reading + now.since(at))
    }

    /// Returns the lowest reading that the worker's clock may have now; zero if it is not
    /// known. The clock of another incarnation starts anew.
    pub(crate) fn earliest_clock(&self, policy: &LeasePolicy, now: MilliTime) -> MilliTime {
        let Some((reading, at)) = self.clock else {
            return MilliTime::ZERO;
        };
        let slowed = policy.shrunk(now.since(at));
        reading + slowed.saturating_sub(CLOCK_ROUNDING)
    }

    /// Updates the last reading of the worker's clock.
    pub(crate) fn update_clock(&mut self, reading: MilliTime, now: MilliTime) {
        self.clock = Some((reading, now));
    }

    /// Extends the lease and returns its end on the worker's clock; `None` if that
    /// clock is not known.
    pub(crate) fn extend(&mut self, policy: &LeasePolicy, now: MilliTime) -> Option<MilliTime> {
        let until = self.worker_clock(now)? + policy.duration;
        self.until = self.until.max(until);
        Some(self.until)
    }

    /// Raises the token, so that the worker refuses all earlier orders after the
    /// next poll.
    pub(crate) fn raise_token(&mut self) {
        self.token += 1;
        self.control_token = self.token;
        self.has_control = false;
    }

    /// Raises the token above that of a poll in flight that acknowledges ends. If a later
    /// incarnation carries out a start before that poll, it refuses the poll, which would
    /// acknowledge the end of that start unread.
    pub(crate) fn pass_open_acknowledgement(&mut self) {
        if self.acknowledging_token == Some(self.token) {
            self.token += 1;
        }
    }

    /// Returns whether only starts have raised the token above `token`.
    pub(crate) const fn is_passed(&self, token: u64) -> bool {
        self.control_token <= token && token < self.token
    }

    /// Returns when the lease has expired in any case, on the cell's clock.
    ///
    /// The worker's clock may be slower than the cell's by
    /// `policy.clock_drift_permille`.
    pub(crate) fn expires_at(&self, policy: &LeasePolicy) -> MilliTime {
        let own = match self.clock {
            Some((reading, at)) if self.until > reading => {
                at + policy.stretched(self.until.since(reading))
            }
            Some((_, at)) => at,
            None => MilliTime::ZERO,
        };
        own.max(self.untracked_lease_until) + policy.margin
    }
}

/// Returns how long a span of a clock takes that is slow by `permille`, rounded up.
pub(crate) fn stretched_span(span: MilliSpan, permille: u64) -> MilliSpan {
    MilliSpan::new((span.as_millis() * 1_000).div_ceil(1_000 - permille.min(999)))
}

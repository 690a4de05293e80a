//! The regular work of a cell: maintenance, placement rounds and polls.

use std::collections::BTreeMap;

use pimentochute_base::{MilliSpan, MilliTime, ResourceAmount};

use crate::decision::StopReason;
use crate::job::TaskPlacement;
use crate::worker::{PlacedRun, WorkerState};
use crate::{JobKey, WorkerKey};

use super::WorkCell;
use super::gang_progress::FULL_PERCENT;
use super::place::{RoundPlan, StepKey};
use super::rank::{JobRank, RankedBacklog};

/// The time between two checks of leases, stalled runs and removed workers, which
/// go through all runs.
const MAINTENANCE_INTERVAL: MilliSpan = MilliSpan::new(50);

/// The number of waiting jobs for which the interval between two placement rounds
/// grows by a millisecond.
const BACKLOG_PER_MILLI: u64 = 16;

/// The shortest interval between two placement rounds. A shorter one would gain
/// nothing: placements wait for the next batch of records, and batches are
/// further apart.
const MIN_PLACEMENT_INTERVAL: MilliSpan = MilliSpan::new(4);

/// The interval between two log lines about the usage of the cell.
const USAGE_LOG_INTERVAL: MilliSpan = MilliSpan::new(1_000);

/// The longest interval between two placement rounds while jobs wait. What a job waits for
/// may end without an event: the pause after a call for advice, or the claim of another gang.
const MAX_PLACEMENT_INTERVAL: MilliSpan = MilliSpan::new(250);

/// No tasks are placed while a batch has waited for the log for this long, since
/// they would start too late.
const MAX_RECORD_DELAY: MilliSpan = MilliSpan::new(1_000);

/// No tasks are placed while an order would wait this long before it leaves the owner's host.
/// Jobs wait in the order of their ranks, orders in that of their arrival; and a task whose
/// order leaves too late has to be placed again.
const MAX_ORDER_DELAY: MilliSpan = MilliSpan::new(60);

/// The longest time for which nothing is placed because orders wait.
const MAX_HOLD: MilliSpan = MilliSpan::new(1_500);

impl WorkCell {
    /// Does what is due: maintenance, placement and polls.
    pub fn run_due_work(&mut self) {
        if self.now.since(self.last_maintenance_at) >= MAINTENANCE_INTERVAL {
            self.last_maintenance_at = self.now;
            self.requeue_replaced();
            self.requeue_expired();
            self.stop_stalled();
            self.expire_jobs();
            self.expire_losses();
            self.remove_departed();
            self.log_evacuation_check();
            self.update_expectations();
            self.log_usage();
            let is_overdue = self.now.since(self.last_placement_at) >= MAX_PLACEMENT_INTERVAL;
            self.needs_placement |= is_overdue && !self.backlog.is_empty();
        }
        if self.may_place() && self.placement_due() <= self.now {
            self.needs_placement = false;
            self.last_placement_at = self.now;
            self.place_backlog();
        }
        self.record_due_ends();
        self.send_due_polls();
    }

    /// Returns whether a placement round is wanted and useful: the log takes records, orders
    /// leave this host soon, and this owner may extend leases and knows which data centres are
    /// evacuated. A round that is not stays wanted.
    pub(super) fn may_place(&self) -> bool {
        let (_, _, oldest) = self.batches();
        self.needs_placement
            && oldest <= MAX_RECORD_DELAY
            && !self.is_held_back()
            && self.may_extend_leases()
            && self.knows_evacuations()
    }

    /// Returns whether placement waits because orders would. That ends in bounded time: other
    /// messages may keep the link busy for long.
    fn is_held_back(&self) -> bool {
        let held = self.now.since(self.last_placement_at);
        self.order_delay > MAX_ORDER_DELAY && held < MAX_HOLD
    }

    /// Sets how long an order would wait now before it leaves this host.
    pub fn set_order_delay(&mut self, delay: MilliSpan) {
        self.order_delay = delay;
    }

    /// Returns when the next placement round is due. With a long backlog a round
    /// takes longer, so rounds are further apart.
    pub(super) fn placement_due(&self) -> MilliTime {
        let pause = MilliSpan::new(self.backlog.len() as u64 / BACKLOG_PER_MILLI);
        self.last_placement_at + pause.max(MIN_PLACEMENT_INTERVAL)
    }

    /// Requests a placement round, for conditions that change with time alone.
    pub fn request_placement(&mut self) {
        self.needs_placement = true;
    }

    /// Logs the resources in use, which tell later why jobs waited.
    fn log_usage(&mut self) {
        if self.now.since(self.last_usage_log_at) < USAGE_LOG_INTERVAL {
            return;
        }
        self.last_usage_log_at = self.now;
        let capacity = self.total_capacity();
        let committed: ResourceAmount = self.workers.values().map(|worker| worker.committed).sum();
        log::info!(
            jobs = self.open_jobs,
            waiting = self.backlog.len(),
            workers = self.workers.len(),
            reserved = self.reserved_workers.len(),
            passed_over = self.passed_over,
            is_scarce = self.pressure.is_scarce(),
            waiting_millis = self.pressure.on_time_demand.cpu_millis,
            teams_above = self.teams_above,
            capacity_millis = capacity.cpu_millis,
            committed_millis = committed.cpu_millis,
            capacity_mib = capacity.memory_mib,
            committed_mib = committed.memory_mib;
            "cell: usage"
        );
        self.relays.log_calls();
        self.log_suspects();
        self.log_paused_workers();
        self.log_unused_entries();
        self.log_learning();
    }

    fn place_backlog(&mut self) {
        let mut plan = RoundPlan {
            max_free: self.max_free(),
            ..RoundPlan::default()
        };
        self.place_suspects(&mut plan);
        self.on_time_backlog = 0;
        let backlog = self.ranked_backlog();
        self.note_waiting_work(&backlog);
        let RankedBacklog {
            ranks,
            pressure,
            teams_above,
        } = backlog;
        self.pressure = pressure;
        self.teams_above = teams_above;
        let free = pressure.free;
        plan.total_free = free;
        plan.claims = self.room_claims(&ranks);
        let backlog = ranks.len();
        let mut considered = 0;
        for rank in ranks {
            let job = &self.jobs[rank.key];
            let terms = self.terms_of(job);
            let steps: Vec<_> = self.ready_steps(rank.key).collect();
            plan.is_late = !rank.is_on_time();
            if let Some(cost) = terms.advice_cost().filter(|_| !plan.is_late) {
                self.relays.note_job_in_time(cost.span(0), self.now);
            }
            for step_index in steps {
                self.place_step(rank.key, step_index, &terms, &mut plan);
                let still_waits = self.jobs[rank.key].steps[step_index].waiting > 0;
                self.on_time_backlog += usize::from(still_waits && rank.is_on_time());
            }
            considered += 1;
            if plan.requested_demand.cpu_millis > free.cpu_millis.saturating_mul(2) {
                break;
            }
        }
        self.passed_over = backlog.saturating_sub(considered);
        self.reserved_workers = plan.reserved;
        self.reserved_workers.extend(plan.claims.into_keys());
    }

    /// Returns the workers that late gangs keep free while they request tickets for them.
    fn room_claims(&self, ranks: &[JobRank]) -> BTreeMap<WorkerKey, StepKey> {
        let mut claims = BTreeMap::new();
        for rank in ranks {
            let steps = self.jobs[rank.key].steps.iter().enumerate();
            for (step_index, state) in steps.filter(|(_, state)| state.waiting > 0) {
                let Some(claim) = &state.advice.claim else {
                    continue;
                };
                if claim.until > self.now {
                    for worker_key in &claim.workers {
                        claims.entry(*worker_key).or_insert((rank.key, step_index));
                    }
                }
            }
        }
        claims
    }

    /// Returns the largest free amount of each resource on any worker.
    fn max_free(&self) -> ResourceAmount {
        let taking = self
            .workers
            .values()
            .filter(|worker| self.takes_runs(worker));
        let mut max_free = ResourceAmount::ZERO;
        for free in taking.map(WorkerState::free) {
            max_free.cpu_millis = max_free.cpu_millis.max(free.cpu_millis);
            max_free.memory_mib = max_free.memory_mib.max(free.memory_mib);
            max_free.accelerators = max_free.accelerators.max(free.accelerators);
        }
        max_free
    }

    /// Returns the capacity of the workers that take runs.
    pub(super) fn total_capacity(&self) -> ResourceAmount {
        let taking = self
            .workers
            .values()
            .filter(|worker| self.takes_runs(worker));
        taking.map(|worker| worker.report.capacity).sum()
    }

    pub(super) fn total_free(&self) -> ResourceAmount {
        let taking = self
            .workers
            .values()
            .filter(|worker| self.takes_runs(worker));
        taking.map(WorkerState::free).sum()
    }

    /// Stops the runs that make no progress, and avoids their workers for a while.
    fn stop_stalled(&mut self) {
        let mut stalled = Vec::new();
        for (worker_key, worker) in &self.workers {
            let runs = worker.runs.iter().filter(|((job, index), run)| {
                run.stop_sent.is_none() && self.is_stalled(worker, *job, *index, run)
            });
            stalled.extend(runs.map(|((job, index), _)| (*job, *index, worker_key)));
        }
        for (job, index, worker_key) in stalled {
            self.stop_stalled_run(job, index, worker_key);
        }
    }

    /// Returns whether a run has stalled according to the polls of its worker.
    /// The time counts up to the last poll, since this owner may have been
    /// suspended after it.
    fn is_stalled(
        &self,
        worker: &WorkerState,
        job_key: JobKey,
        index: usize,
        run: &PlacedRun,
    ) -> bool {
        let still = worker.answered_poll_sent_at.since(run.percent_at);
        if still <= self.policy.stall_timeout || run.acknowledged_at.is_none() {
            return false;
        }
        let job = &self.jobs[job_key];
        if job.tasks[index].placement == TaskPlacement::Done {
            // It ended with its gang, but its worker has not listed the end yet.
            return false;
        }
        let spec = job.step_spec(job.step_index(job.name_of(index)));
        if spec.is_service || spec.uses_leftover_cpu {
            return false;
        }
        // One percent of a long task may take longer than the timeout. The
        // estimate is rough, so four times its share for a percent is allowed.
        let per_percent = MilliSpan::new(spec.estimate.as_millis() / 25);
        let limit = self.policy.stall_timeout + per_percent;
        if spec.is_gang {
            let Some(waits_since) = self.gang_member_still_since(job_key, index, run) else {
                return false;
            };
            return worker.answered_poll_sent_at.since(waits_since) > limit;
        }
        still > limit
    }

    fn stop_stalled_run(&mut self, job_key: JobKey, index: usize, worker_key: WorkerKey) {
        let job = &self.jobs[job_key];
        let Some(run) = self.workers[worker_key]
            .runs
            .get(&(job_key, index))
            .copied()
        else {
            // It was given up with another member of its gang.
            return;
        };
        if run.stop_sent.is_some() {
            return;
        }
        log::warn!(
            task:% = job.name_of(index),
            run = run.number,
            worker:% = self.workers[worker_key].report.id,
            percent = run.percent,
            still:% = self.workers[worker_key].answered_poll_sent_at.since(run.percent_at);
            "cell: a run makes no progress"
        );
        if run.percent < FULL_PERCENT {
            // A member of a gang that has done its part says nothing about its worker.
            self.workers[worker_key].avoid_until = self.now + self.policy.avoid_duration;
        }
        self.stop_or_requeue(job_key, index, worker_key, StopReason::Stalled);
        self.break_gang(job_key, index);
    }
}

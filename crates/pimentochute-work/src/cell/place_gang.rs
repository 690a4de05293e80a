//! Places gangs, whose tasks have to start together.
//!
//! A gang needs free resources for all of its tasks at the same time, on workers
//! that the advice service allows. While it waits, it reserves the workers on which it can
//! start soonest and holds its part of the team's cap, so that smaller jobs behind it do
//! not take each slot that becomes free. A gang that does not fit on the workers that it
//! knows, even if they were idle, holds neither: it may never start, and several of them
//! would otherwise keep parts of the fleet idle and wait for each other's part. One that
//! does not fit on all workers that may still be suitable requests no advice either.

use std::collections::BTreeMap;

use pimentochute_base::{MilliSpan, ResourceAmount};

use crate::advice::RoomClaim;
use crate::job::WaitReason;
use crate::learning::SpeedPreference;
use crate::{AdviceCost, JobKey, QueueTerms, StepSpec, WorkerKey};

use super::WorkCell;
use super::gang_wait::GangRoom;
use super::place::{RoundPlan, StepKey, StepWorker, matches_step, slots_in, total_demand};

/// A gang reserves workers for this many times its tasks, in percent, so that
/// a run that takes long does not delay it.
const RESERVE_PERCENT: u32 = 150;

/// At most one in this many workers is reserved for gangs.
const MAX_RESERVED_DIVISOR: usize = 2;

/// Gangs that are late already reserve workers only while at most one in this many
/// is reserved.
const MAX_LATE_DIVISOR: usize = 8;

/// At most one in this many workers is kept free for late gangs that request tickets,
/// beyond those of the first one.
const MAX_CLAIMED_DIVISOR: usize = 2;

/// A gang requests advice until it expects this many times its tasks to fit on
/// eligible workers, in percent.
const REQUEST_PERCENT: u64 = 200;

/// Tickets are requested for this many times the tasks of a gang, in percent, since
/// some of the room may be gone when they arrive.
const TICKET_PERCENT: u64 = 150;

/// While relays are idle, tickets are renewed once the gang would fit if this many
/// percent more of its slots were free, so that the advice arrives with the last
/// of them.
const EARLY_TICKET_PERCENT: u64 = 50;

/// A gang behind others that wait for room requests advice about free workers of which too
/// few are likely to suit it only after this time without a request.
const UNLIKELY_ROOM_DELAY: MilliSpan = MilliSpan::new(2_000);

/// The smallest number of workers in a request of a gang.
const MIN_REQUESTED: usize = 8;

/// A request names at least as many workers as lengthen the call by this part of its fixed
/// time, in percent: fewer would cost a further call, which takes the fixed time again.
const MIN_WORKER_TIME_PERCENT: u64 = 25;

/// The largest number of workers that a gang requests advice about at a time.
const MAX_REQUESTED: usize = 120;

/// The largest number of workers in one of the requests of a gang, which are made
/// through several hosts at the same time.
const MAX_PER_REQUEST: usize = 40;

impl WorkCell {
    /// Places a gang if all of its tasks fit at the same time. Otherwise requests
    /// the advice that it lacks, and reserves what it needs.
    pub(super) fn place_gang(
        &mut self,
        job_key: JobKey,
        step_index: usize,
        terms: &QueueTerms,
        spec: &StepSpec,
        plan: &mut RoundPlan,
    ) {
        if !self.jobs[job_key].steps[step_index].advice.is_pending() {
            self.drop_claim((job_key, step_index), plan);
        }
        let mut rows = self.eligible_workers(job_key, step_index, terms, spec);
        let room = GangRoom::new(&rows, plan, (job_key, step_index));
        let state = &self.jobs[job_key].steps[step_index];
        if state.waiting < spec.tasks {
            self.note_gang_wait(job_key, step_index, WaitReason::Members, room, plan);
            return;
        }
        let fits_known = total_max_slots(&rows) >= spec.tasks;
        if !fits_known && !self.may_fit_gang(job_key, step_index, terms, spec, &rows) {
            self.note_gang_wait(job_key, step_index, WaitReason::Unplaceable, room, plan);
            return;
        }
        rows.retain(|row| !plan.is_kept(row.worker_key, (job_key, step_index)));
        let team = self.jobs[job_key].submission.team.clone();
        let all = total_demand(&spec.demand, spec.tasks);
        let counted = plan.with_cap_hold(team.as_deref(), all);
        if !self.fits_team_cap(team.as_deref(), &counted) {
            self.note_gang_wait(job_key, step_index, WaitReason::TeamCap, room, plan);
            if fits_known {
                self.hold_cap(team, all, plan);
            } else if self.is_within_team_cap(team.as_deref(), &all) {
                self.request_for_gang(job_key, step_index, terms, spec, &rows, plan);
            }
            return;
        }
        let suspects = self.waiting_suspects(job_key, step_index);
        if suspects.is_empty() {
            rows.retain(|row| !self.trial_workers.contains_key(&row.worker_key));
        }
        if spec.prefers_one_rack {
            self.keep_best_rack(&mut rows, spec.tasks);
        }
        let need = self.speed_need(job_key, step_index, terms, MilliSpan::ZERO);
        self.drop_slow_gang_workers(&mut rows, spec.tasks, &need);
        let ready = rows.iter().filter(|row| row.may_start);
        let ready = total_slots(ready.map(|row| row.slots));
        if ready >= spec.tasks {
            rows.retain(|row| row.may_start && row.slots > 0);
            if suspects.is_empty() {
                self.jobs[job_key].steps[step_index].wait_reason = None;
                self.keep_gang_speed(&mut rows, spec.tasks, &need);
                let workers = gang_slots(rows, spec.tasks);
                self.place_gang_members(job_key, step_index, spec, workers);
                return;
            }
            if let Some((apart, rest)) = self.split_gang_workers(job_key, suspects.len(), &rows) {
                self.jobs[job_key].steps[step_index].wait_reason = None;
                let workers = self.suspect_gang_slots(job_key, step_index, spec, apart, rest);
                self.place_gang_members(job_key, step_index, spec, workers);
                return;
            }
            self.note_gang_wait(job_key, step_index, WaitReason::Suspects, room, plan);
            self.hold_cap(team, all, plan);
            return;
        }
        let slots = total_slots(rows.iter().map(|row| row.slots));
        let fits_unreserved = total_max_slots(&rows) >= spec.tasks;
        let reason = if slots >= spec.tasks {
            WaitReason::Tickets
        } else if fits_unreserved {
            WaitReason::Resources
        } else if fits_known {
            WaitReason::Reserved
        } else {
            WaitReason::Advice
        };
        self.note_gang_wait(job_key, step_index, reason, room, plan);
        self.request_for_gang(job_key, step_index, terms, spec, &rows, plan);
        if fits_known {
            self.hold_cap(team, all, plan);
        }
        if fits_unreserved {
            self.reserve(rows, spec, plan);
        }
    }

    /// Returns whether a gang may fit on the eligible `rows` together with the workers that
    /// the advice service has not been asked about. `false` is certain until the workers change.
    fn may_fit_gang(
        &self,
        job_key: JobKey,
        step_index: usize,
        terms: &QueueTerms,
        spec: &StepSpec,
        rows: &[StepWorker],
    ) -> bool {
        if terms.advice.is_none() {
            return false;
        }
        let advice = &self.jobs[job_key].steps[step_index].advice;
        let quota = self.step_quota(job_key, step_index);
        let others = self.workers.iter().filter(|(worker_key, worker)| {
            !advice.answered.contains(worker_key) && matches_step(worker, terms, spec)
        });
        let others =
            total_slots(others.map(|(worker_key, _)| self.idle_slots(worker_key, spec, &quota)));
        others.saturating_add(total_max_slots(rows)) >= spec.tasks
    }

    /// Holds a part of the team's cap for a gang that fits on the workers it knows, unless
    /// one with a higher rank waits already or the gang alone exceeds the cap.
    fn hold_cap(&self, team: Option<String>, all: ResourceAmount, plan: &mut RoundPlan) {
        if self.is_within_team_cap(team.as_deref(), &all)
            && let Some(team) = team
        {
            plan.cap_holds.entry(team).or_insert(all);
        }
    }

    fn place_gang_members(
        &mut self,
        job_key: JobKey,
        step_index: usize,
        spec: &StepSpec,
        workers: Vec<WorkerKey>,
    ) {
        self.share_checkpoint(job_key, step_index);
        self.jobs[job_key].steps[step_index].advice.claim = None;
        let members = self.jobs[job_key].task_range(step_index);
        let last = self.jobs[job_key].tasks[members.clone()]
            .iter()
            .map(|task| task.run)
            .max();
        let run = last.unwrap_or(0) + 1;
        for (index, worker) in members.zip(workers) {
            self.place_task_run(job_key, index, worker, run, spec.demand);
        }
    }

    /// Returns the worker of each member of a gang. The suspected members get those of
    /// `apart`, which the others share with them as far as there is room.
    fn suspect_gang_slots(
        &self,
        job_key: JobKey,
        step_index: usize,
        spec: &StepSpec,
        apart: Vec<StepWorker>,
        rest: Vec<StepWorker>,
    ) -> Vec<WorkerKey> {
        let room: u32 = apart.iter().map(|row| row.slots).sum();
        let apart_tasks = room.min(spec.tasks);
        let mut apart = gang_slots(apart, apart_tasks);
        let mut rest = gang_slots(rest, spec.tasks - apart_tasks).into_iter();
        let suspects = self.waiting_suspects(job_key, step_index);
        let mut shared = apart.split_off(suspects.len()).into_iter();
        let mut apart = apart.into_iter();
        let members = self.jobs[job_key].task_range(step_index);
        let workers = members.filter_map(|index| {
            if suspects.contains(&index) {
                apart.next()
            } else {
                shared.next().or_else(|| rest.next())
            }
        });
        workers.collect()
    }

    /// Reserves workers for a gang that does not fit now, those that lack the least
    /// for its tasks first.
    fn reserve(&self, rows: Vec<StepWorker>, spec: &StepSpec, plan: &mut RoundPlan) {
        let max_reserved = self.max_reserved(plan);
        let mut wanted = (spec.tasks * RESERVE_PERCENT).div_ceil(100);
        let mut rows = rows;
        rows.sort_by_cached_key(|row| {
            let free = self.workers[row.worker_key].free();
            std::cmp::Reverse(fill_permille(&free, &spec.demand, row.max_slots))
        });
        for row in rows {
            if wanted == 0 || plan.reserved.len() >= max_reserved {
                return;
            }
            plan.reserved.insert(row.worker_key);
            wanted = wanted.saturating_sub(row.max_slots);
        }
    }

    /// Keeps only the rack with the most slots, if the gang fits there.
    fn keep_best_rack(&self, rows: &mut Vec<StepWorker>, tasks: u32) {
        let mut racks: BTreeMap<&str, u32> = BTreeMap::new();
        for row in rows.iter() {
            *racks
                .entry(self.workers[row.worker_key].rack())
                .or_default() += row.max_slots;
        }
        let best = racks.into_iter().max_by_key(|(_, max_slots)| *max_slots);
        if let Some((rack, max_slots)) = best
            && max_slots >= tasks
        {
            let rack = rack.to_owned();
            rows.retain(|row| self.workers[row.worker_key].rack() == rack);
        }
    }

    /// Requests the advice that brings a gang nearer to its start: tickets for the
    /// eligible workers on which all of it fits, or else advice about further workers.
    fn request_for_gang(
        &mut self,
        job_key: JobKey,
        step_index: usize,
        terms: &QueueTerms,
        spec: &StepSpec,
        rows: &[StepWorker],
        plan: &mut RoundPlan,
    ) {
        let step = (job_key, step_index);
        let now = self.now;
        let advice = &mut self.jobs[job_key].steps[step_index].advice;
        advice.requested_at.get_or_insert(now);
        let advice = &self.jobs[job_key].steps[step_index].advice;
        if advice.is_pending() || advice.retry_at > now || !self.may_request(terms, plan) {
            return;
        }
        let slots = total_slots(rows.iter().map(|row| row.slots));
        let expected = if self.relays.has_spare() && !plan.is_late {
            u64::from(slots) * (100 + EARLY_TICKET_PERCENT) / 100
        } else {
            u64::from(slots)
        };
        let has_tickets = rows.iter().all(|row| row.may_start || row.slots == 0);
        let fits = expected >= u64::from(spec.tasks);
        let has_suspects = !self.waiting_suspects(job_key, step_index).is_empty();
        let requested = if fits && !has_tickets && has_suspects {
            // The suspects need workers that are calm, of which the ones with the most
            // room may be none.
            let rows = rows.iter().filter(|row| row.slots > 0);
            rows.map(|row| row.worker_key).collect()
        } else if fits && !has_tickets {
            let requested = ticket_workers(rows, spec.tasks);
            if plan.is_late && !self.claim_room(step, terms, &requested, plan) {
                return;
            }
            requested
        } else {
            self.new_gang_workers(job_key, step_index, terms, spec, rows, plan)
        };
        let mut is_requested = false;
        for part in requested.chunks(MAX_PER_REQUEST) {
            is_requested |= self.request_advice(job_key, step_index, terms, part);
        }
        if is_requested {
            let advice = &mut self.jobs[job_key].steps[step_index].advice;
            advice.requested_at = Some(now);
        } else {
            self.drop_claim(step, plan);
        }
    }

    /// Ends the claim of a gang, if there is one.
    fn drop_claim(&mut self, step: StepKey, plan: &mut RoundPlan) {
        let (job_key, step_index) = step;
        let advice = &mut self.jobs[job_key].steps[step_index].advice;
        if advice.claim.take().is_some() {
            plan.claims.retain(|_, claimant| *claimant != step);
        }
    }

    /// Keeps workers free for a late gang until it has tickets for them. Returns `false` if
    /// too many are kept for others already.
    fn claim_room(
        &mut self,
        step: StepKey,
        terms: &QueueTerms,
        workers: &[WorkerKey],
        plan: &mut RoundPlan,
    ) -> bool {
        let max_claimed = self.open_workers() / MAX_CLAIMED_DIVISOR;
        if !plan.claims.is_empty() && plan.claims.len() + workers.len() > max_claimed {
            return false;
        }
        let Some(cost) = terms.advice_cost() else {
            return false;
        };
        // A call may have to wait for another one through the same host.
        let call = cost.span(workers.len());
        let until = self.now + call + call + cost.validity;
        plan.claims
            .extend(workers.iter().map(|worker_key| (*worker_key, step)));
        let (job_key, step_index) = step;
        self.jobs[job_key].steps[step_index].advice.claim = Some(RoomClaim {
            workers: workers.to_vec(),
            until,
        });
        true
    }

    /// Returns further workers to request advice about for a gang: those with free slots,
    /// if all of it may fit there and on the eligible `rows`, and is likely to while others
    /// wait for room; or else, if it may reserve workers and knows too few, any that it would
    /// fit on. They are in an order of the gang's own, so that gangs that arrive together do not
    /// compete for the same workers.
    fn new_gang_workers(
        &self,
        job_key: JobKey,
        step_index: usize,
        terms: &QueueTerms,
        spec: &StepSpec,
        rows: &[StepWorker],
        plan: &RoundPlan,
    ) -> Vec<WorkerKey> {
        let wanted = u64::from(spec.tasks) * REQUEST_PERCENT / 100;
        let known = u64::from(total_max_slots(rows));
        let may_learn = known < wanted && plan.reserved.len() < self.max_reserved(plan);
        let may_fit = slots_in(&plan.total_free, &spec.demand) >= spec.tasks;
        if !may_learn && !may_fit {
            return Vec::new();
        }
        let job = &self.jobs[job_key];
        let advice = &job.steps[step_index].advice;
        let quota = self.step_quota(job_key, step_index);
        let delay = terms
            .advice_cost()
            .map_or(MilliSpan::ZERO, |cost| cost.span(0));
        let need = self.speed_need(job_key, step_index, terms, delay);
        let mut new: Vec<_> = self
            .workers
            .iter()
            .filter(|(worker_key, worker)| {
                matches_step(worker, terms, spec)
                    && !advice.answered.contains(worker_key)
                    && !plan.is_kept(*worker_key, (job_key, step_index))
            })
            .enumerate()
            .map(|(index, (worker_key, _))| NewWorker {
                worker_key,
                free: self
                    .free_slots(job_key, worker_key, spec, &quota)
                    .min(spec.tasks),
                max_slots: self.idle_slots(worker_key, spec, &quota).min(spec.tasks),
                preference: need.preference(self.log_speed(worker_key)),
                order: spread_order(job.code.get(), index),
            })
            .filter(|new| new.max_slots > 0)
            .collect();
        new.sort_unstable_by_key(|new| (new.preference, std::cmp::Reverse(new.free), new.order));
        let rate = self.eligibility_rate(&job.submission.queue);
        let slots = u64::from(total_slots(rows.iter().map(|row| row.slots)));
        let free = u64::from(total_slots(new.iter().map(|new| new.free)));
        let least = terms.advice_cost().map_or(0, least_requested);
        let is_first = plan.reserved.is_empty();
        let is_overdue = advice
            .requested_at
            .is_some_and(|requested| self.now.since(requested) >= UNLIKELY_ROOM_DELAY);
        let suitable = if is_first || is_overdue {
            free
        } else {
            rate.eligible_of(free)
        };
        if slots + suitable >= u64::from(spec.tasks) {
            new.retain(|new| new.free > 0);
            let missing = rate.requested_for(wanted.saturating_sub(slots));
            return choose_workers(new, missing, least, |new| new.free);
        }
        if !may_learn {
            return Vec::new();
        }
        let missing = rate.requested_for(wanted - known);
        choose_workers(new, missing, least, |new| new.max_slots)
    }

    /// Returns how many workers may be reserved for gangs at this point of a round.
    fn max_reserved(&self, plan: &RoundPlan) -> usize {
        let divisor = if plan.is_late {
            MAX_LATE_DIVISOR
        } else {
            MAX_RESERVED_DIVISOR
        };
        self.open_workers() / divisor
    }
}

/// A worker that the advice service has not been asked about.
#[derive(Debug, Clone, Copy)]
struct NewWorker {
    worker_key: WorkerKey,
    /// The number of tasks of the gang that fit now.
    free: u32,
    /// The number of tasks of the gang that would fit without other runs.
    max_slots: u32,
    /// How well the worker's speed suits the gang.
    preference: SpeedPreference,
    /// The place among workers with as much room.
    order: u64,
}

/// Returns the smallest number of workers that a request of a gang names.
fn least_requested(cost: AdviceCost) -> usize {
    let micros = cost.call_micros * MIN_WORKER_TIME_PERCENT / 100;
    let workers = micros.checked_div(cost.worker_micros);
    let workers = workers.and_then(|workers| usize::try_from(workers).ok());
    let workers = workers.unwrap_or(MAX_PER_REQUEST);
    workers.clamp(MIN_REQUESTED, MAX_PER_REQUEST)
}

/// Takes workers until `missing` slots are among them, but at least `least` and not too
/// many at a time.
fn choose_workers(
    new: Vec<NewWorker>,
    mut missing: u64,
    least: usize,
    slots: impl Fn(&NewWorker) -> u32,
) -> Vec<WorkerKey> {
    let mut chosen = Vec::new();
    for worker in new {
        if chosen.len() >= MAX_REQUESTED || missing == 0 && chosen.len() >= least {
            break;
        }
        missing = missing.saturating_sub(u64::from(slots(&worker)));
        chosen.push(worker.worker_key);
    }
    chosen
}

/// Returns the workers to request tickets for, those with the most room first: the whole
/// gang fits on them, with some slots to spare.
fn ticket_workers(rows: &[StepWorker], tasks: u32) -> Vec<WorkerKey> {
    let mut rows: Vec<_> = rows.iter().filter(|row| row.slots > 0).collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.slots));
    let mut missing = (u64::from(tasks) * TICKET_PERCENT).div_ceil(100);
    let chosen = rows.into_iter().take_while(|row| {
        let is_needed = missing > 0;
        missing = missing.saturating_sub(u64::from(row.slots));
        is_needed
    });
    chosen.map(|row| row.worker_key).collect()
}

/// Returns how many tasks fit on workers that have no other runs.
fn total_max_slots(rows: &[StepWorker]) -> u32 {
    total_slots(rows.iter().map(|row| row.max_slots))
}

/// Adds up slots; a task without demand has any number of them on each worker.
fn total_slots(slots: impl Iterator<Item = u32>) -> u32 {
    slots.fold(0, u32::saturating_add)
}

/// Returns the worker of each task of a gang. Whole workers are left to others
/// where possible: a part that fits on one worker goes to the one with the fewest
/// free slots for it.
fn gang_slots(mut rows: Vec<StepWorker>, tasks: u32) -> Vec<WorkerKey> {
    rows.sort_by_key(|row| row.slots);
    let mut chosen = Vec::with_capacity(tasks as usize);
    let mut left = tasks;
    while left > 0 && !rows.is_empty() {
        let fitting = rows.partition_point(|row| row.slots < left);
        let row = rows.remove(fitting.min(rows.len() - 1));
        let taken = row.slots.min(left);
        chosen.extend(std::iter::repeat_n(row.worker_key, taken as usize));
        left -= taken;
    }
    chosen
}

/// Returns for how many of `slots` tasks a worker has free resources, in thousandths
/// of a task.
fn fill_permille(free: &ResourceAmount, demand: &ResourceAmount, slots: u32) -> u64 {
    let parts = [
        (free.cpu_millis, demand.cpu_millis),
        (free.memory_mib, demand.memory_mib),
        (free.accelerators, demand.accelerators),
    ];
    let parts = parts.into_iter().filter(|(_, demand)| *demand > 0);
    let filled = parts.map(|(free, demand)| free.saturating_mul(1_000) / demand);
    let limit = u64::from(slots) * 1_000;
    filled.min().map_or(limit, |filled| filled.min(limit))
}

/// Returns a key that orders workers differently for each job.
fn spread_order(job: u64, index: usize) -> u64 {
    // The multiplier of Fibonacci hashing, 2^64 divided by the golden ratio.
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = (job ^ (index as u64).wrapping_mul(MULTIPLIER)).wrapping_mul(MULTIPLIER);
    mixed ^ (mixed >> 32)
}

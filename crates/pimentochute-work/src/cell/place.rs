//! Chooses the workers for the waiting tasks of a step.

use std::collections::{BTreeMap, BTreeSet};

use pimentochute_base::{MilliSpan, ResourceAmount};

use crate::job::{JobState, TaskPlacement};
use crate::learning::SpeedNeed;
use crate::worker::{PlacedRun, WorkerState};
use crate::{JobKey, QueueTerms, StepSpec, WorkerKey};

use super::WorkCell;
use super::records::StagedAction;

/// The state of one placement round over all waiting jobs.
#[derive(Debug, Default)]
pub(super) struct RoundPlan {
    /// Workers that are kept free for a gang of a job with a higher rank.
    pub(super) reserved: BTreeSet<WorkerKey>,
    /// The workers that late gangs keep free while they request tickets for them. Jobs in
    /// time may use them.
    pub(super) claims: BTreeMap<WorkerKey, StepKey>,
    /// The demand of the first waiting gang of each team, which counts against the
    /// team's cap for the jobs behind it. Otherwise their tasks would take each
    /// part of the cap that becomes free. It is within the cap, and each of these gangs
    /// fits on the workers that it knows.
    pub(super) cap_holds: BTreeMap<String, ResourceAmount>,
    /// The demand of the tasks with an advice request in flight. The round ends
    /// once it exceeds the free resources by far.
    pub(super) requested_demand: ResourceAmount,
    /// The job that is being placed is late already, so that its long requests for
    /// advice wait while the relays are busy.
    pub(super) is_late: bool,
    /// The number of gangs about whose wait a line was repeated in the round.
    pub(super) repeated_waits: usize,
    /// The free resources of all workers together at the start of the round.
    pub(super) total_free: ResourceAmount,
    /// The largest amount of each resource that is free on any worker at the
    /// start of the round.
    pub(super) max_free: ResourceAmount,
}

/// A step of a job: the job, and the index of the step in it.
pub(super) type StepKey = (JobKey, usize);

impl RoundPlan {
    /// Returns whether a worker is kept free for another gang than that of `step`.
    pub(super) fn is_kept(&self, worker_key: WorkerKey, step: StepKey) -> bool {
        let claim = self.claims.get(&worker_key);
        self.reserved.contains(&worker_key)
            || self.is_late && claim.is_some_and(|claimant| *claimant != step)
    }

    /// Returns a demand of a team together with what is held for its first waiting
    /// gang.
    pub(super) fn with_cap_hold(
        &self,
        team: Option<&str>,
        demand: ResourceAmount,
    ) -> ResourceAmount {
        let hold = team.and_then(|team| self.cap_holds.get(team));
        demand + hold.copied().unwrap_or_default()
    }

    /// Returns whether a task may fit on some worker. `false` is certain.
    fn may_fit(&self, demand: &ResourceAmount) -> bool {
        demand.fits_within(&self.max_free)
    }
}

/// A worker that may run tasks of a step.
#[derive(Debug, Clone, Copy)]
pub(super) struct StepWorker {
    pub(super) worker_key: WorkerKey,
    /// The number of further tasks of the step that fit now.
    pub(super) slots: u32,
    /// The number of further tasks of the step that would fit if the worker had
    /// no other runs.
    pub(super) max_slots: u32,
    /// There is a valid ticket for the worker, or the queue needs none.
    pub(super) may_start: bool,
}

/// How many further tasks of a step each worker may have, whatever room it has.
#[derive(Debug)]
pub(super) struct StepQuota {
    /// `None` if the step has no limit per worker.
    max_per_worker: Option<u32>,
    /// The number of tasks on each worker; empty if the step has no limit.
    placed: BTreeMap<WorkerKey, u32>,
}

impl StepQuota {
    fn new(job: &JobState, step_index: usize) -> Self {
        let max_per_worker = job.step_spec(step_index).max_per_worker;
        let mut quota = Self {
            max_per_worker: (max_per_worker > 0).then_some(max_per_worker),
            placed: BTreeMap::new(),
        };
        if quota.max_per_worker.is_some() {
            for task in &job.tasks[job.task_range(step_index)] {
                if let TaskPlacement::Placed(worker_key) = task.placement {
                    *quota.placed.entry(worker_key).or_default() += 1;
                }
            }
        }
        quota
    }

    fn left(&self, worker_key: WorkerKey) -> u32 {
        let placed = self.placed.get(&worker_key).copied().unwrap_or_default();
        self.max_per_worker.map_or(u32::MAX, |max_per_worker| {
            max_per_worker.saturating_sub(placed)
        })
    }
}

impl WorkCell {
    /// Places the waiting tasks of a step as far as possible, and requests advice
    /// if it is missing.
    pub(super) fn place_step(
        &mut self,
        job_key: JobKey,
        step_index: usize,
        terms: &QueueTerms,
        plan: &mut RoundPlan,
    ) {
        let spec = self.jobs[job_key].step_spec(step_index).clone();
        if spec.is_gang {
            self.place_gang(job_key, step_index, terms, &spec, plan);
        } else {
            self.place_tasks(job_key, step_index, terms, &spec, plan);
        }
    }

    fn place_tasks(
        &mut self,
        job_key: JobKey,
        step_index: usize,
        terms: &QueueTerms,
        spec: &StepSpec,
        plan: &mut RoundPlan,
    ) {
        if !plan.may_fit(&spec.demand) {
            return;
        }
        let team = self.jobs[job_key].submission.team.clone();
        let mut usable = self.step_workers(job_key, step_index, terms, spec, plan);
        usable
            .retain(|row| row.slots > 0 && row.may_start && !self.is_for_suspects(row.worker_key));
        let need = self.speed_need(job_key, step_index, terms, MilliSpan::ZERO);
        self.drop_slow_workers(&mut usable, &need);
        for index in self.jobs[job_key].task_range(step_index) {
            let task = &self.jobs[job_key].tasks[index];
            if task.placement != TaskPlacement::Waiting || task.crashes.is_suspect {
                continue;
            }
            let counted = plan.with_cap_hold(team.as_deref(), spec.demand);
            if !self.fits_team_cap(team.as_deref(), &counted) {
                return;
            }
            let Some(worker) = self.take_best_worker(job_key, index, &need, &mut usable) else {
                break;
            };
            let run = self.jobs[job_key].tasks[index].run + 1;
            self.place_task_run(job_key, index, worker, run, spec.demand);
        }
        let suspects = self.waiting_suspects(job_key, step_index).len();
        let waiting = self.jobs[job_key].steps[step_index].waiting;
        let waiting = waiting.saturating_sub(u32::try_from(suspects).unwrap_or(u32::MAX));
        if waiting > 0 {
            self.request_for_tasks(job_key, step_index, terms, spec, waiting, plan);
        }
    }

    /// Returns whether a worker takes no tasks but suspects.
    fn is_for_suspects(&self, worker_key: WorkerKey) -> bool {
        self.workers[worker_key].apart_job.is_some() || self.trial_workers.contains_key(&worker_key)
    }

    /// Takes a slot of the best worker for a task. In this order, a worker is
    /// preferred on which the task did not just fail, in the rack of the data,
    /// with fewer failures, that no gang waits for, of the speed that suits, and with the
    /// least left free.
    fn take_best_worker(
        &self,
        job_key: JobKey,
        index: usize,
        need: &SpeedNeed,
        usable: &mut Vec<StepWorker>,
    ) -> Option<WorkerKey> {
        let job = &self.jobs[job_key];
        let failed_on = job.tasks[index].failed_on;
        let spec = job.step_spec(job.step_index(job.name_of(index)));
        let rated = usable.iter().enumerate().min_by_key(|(_, row)| {
            let worker = &self.workers[row.worker_key];
            let is_far = spec
                .rack
                .as_deref()
                .is_some_and(|rack| rack != worker.rack());
            let left = worker.free().saturating_sub(&spec.demand);
            let leftover = left.dominant_share_ppm(&worker.report.capacity);
            (
                failed_on == Some(row.worker_key),
                is_far,
                worker.failures,
                self.reserved_workers.contains(&row.worker_key),
                need.preference(worker.speed.applied),
                leftover,
            )
        });
        let position = rated?.0;
        let row = &mut usable[position];
        row.slots -= 1;
        let worker_key = row.worker_key;
        if row.slots == 0 {
            usable.swap_remove(position);
        }
        Some(worker_key)
    }

    /// Places a task on a worker. The start order is sent once the record is in the log.
    pub(super) fn place_task_run(
        &mut self,
        job_key: JobKey,
        index: usize,
        worker: WorkerKey,
        run: u32,
        demand: ResourceAmount,
    ) {
        let is_apart = self.jobs[job_key].tasks[index].crashes.is_suspect;
        let incarnation = self.workers[worker].incarnation;
        let mut placed = PlacedRun::new(run, incarnation, demand, self.now).with_apart(is_apart);
        placed.is_calm_start = is_apart && self.is_calm_for(job_key, &self.workers[worker]);
        self.place_run(job_key, index, worker, placed);
        self.dirty.insert(job_key);
        self.staged.push(StagedAction::Start {
            job: job_key,
            task: index,
            run,
            worker,
        });
        if !self.jobs[job_key].has_waiting() {
            self.backlog.remove(&job_key);
        }
        let name = self.jobs[job_key].name_of(index);
        let report = &self.workers[worker].report;
        let step_index = self.jobs[job_key].step_index(name);
        log::debug!(
            task:% = name,
            run,
            worker:% = report.id,
            expected:% = self.expected_span(&self.jobs[job_key], step_index),
            speed:% = format_args!("{:.2}", self.log_speed(worker).exp());
            "cell: a task is placed"
        );
    }

    /// Returns the workers that may run a step, except reserved ones. If the queue
    /// needs advice, these are the workers that the service has named.
    pub(super) fn step_workers(
        &self,
        job_key: JobKey,
        step_index: usize,
        terms: &QueueTerms,
        spec: &StepSpec,
        plan: &RoundPlan,
    ) -> Vec<StepWorker> {
        let mut rows = self.eligible_workers(job_key, step_index, terms, spec);
        rows.retain(|row| !plan.is_kept(row.worker_key, (job_key, step_index)));
        rows
    }

    /// Returns the workers that may run a step, whatever they are reserved for.
    pub(super) fn eligible_workers(
        &self,
        job_key: JobKey,
        step_index: usize,
        terms: &QueueTerms,
        spec: &StepSpec,
    ) -> Vec<StepWorker> {
        let quota = self.step_quota(job_key, step_index);
        let row_of = |worker_key: WorkerKey, may_start: bool| {
            let worker = self.workers.get(worker_key)?;
            matches_step(worker, terms, spec).then(|| StepWorker {
                worker_key,
                slots: self.free_slots(job_key, worker_key, spec, &quota),
                max_slots: self.idle_slots(worker_key, spec, &quota),
                may_start,
            })
        };
        if terms.advice.is_some() {
            let rows = self.jobs[job_key].steps[step_index].advice.eligible.iter();
            rows.filter_map(|row| row_of(row.worker, row.valid_until > self.now))
                .collect()
        } else {
            self.workers
                .keys()
                .filter_map(|worker_key| row_of(worker_key, true))
                .collect()
        }
    }

    /// Returns how many further tasks of a step each worker may have.
    pub(super) fn step_quota(&self, job_key: JobKey, step_index: usize) -> StepQuota {
        StepQuota::new(&self.jobs[job_key], step_index)
    }

    /// Returns the number of further tasks of a step that fit on a worker now.
    pub(super) fn free_slots(
        &self,
        job_key: JobKey,
        worker_key: WorkerKey,
        spec: &StepSpec,
        quota: &StepQuota,
    ) -> u32 {
        let worker = &self.workers[worker_key];
        if self.takes_runs_of(job_key, worker) {
            slots_in(&worker.free(), &spec.demand).min(quota.left(worker_key))
        } else {
            0
        }
    }

    /// Returns the number of further tasks of a step that would fit on a worker if it had
    /// no other runs.
    pub(super) fn idle_slots(
        &self,
        worker_key: WorkerKey,
        spec: &StepSpec,
        quota: &StepQuota,
    ) -> u32 {
        let capacity = &self.workers[worker_key].report.capacity;
        slots_in(capacity, &spec.demand).min(quota.left(worker_key))
    }

    /// Requests advice for the `waiting` tasks of a step that is not a gang: again about
    /// the eligible workers with free resources, or else about new ones.
    fn request_for_tasks(
        &mut self,
        job_key: JobKey,
        step_index: usize,
        terms: &QueueTerms,
        spec: &StepSpec,
        waiting: u32,
        plan: &mut RoundPlan,
    ) {
        let advice = &self.jobs[job_key].steps[step_index].advice;
        if terms.advice.is_none() {
            return;
        }
        if advice.is_pending() {
            plan.requested_demand += total_demand(&spec.demand, waiting);
            return;
        }
        if advice.retry_at > self.now || !self.may_request(terms, plan) {
            return;
        }
        let quota = self.step_quota(job_key, step_index);
        let delay = terms
            .advice_cost()
            .map_or(MilliSpan::ZERO, |cost| cost.span(0));
        let need = self.speed_need(job_key, step_index, terms, delay);
        let has_capacity = |worker_key: &WorkerKey| {
            self.workers.get(*worker_key).is_some_and(|worker| {
                matches_step(worker, terms, spec)
                    && !plan.is_kept(*worker_key, (job_key, step_index))
                    && !self.is_for_suspects(*worker_key)
                    && !need.rejects(worker.speed.applied)
                    && self.free_slots(job_key, *worker_key, spec, &quota) > 0
            })
        };
        let known: Vec<_> = advice
            .eligible
            .iter()
            .map(|row| row.worker)
            .filter(has_capacity)
            .collect();
        let requested = if known.is_empty() {
            let new = self
                .workers
                .keys()
                .filter(|worker_key| !advice.answered.contains(worker_key));
            let mut new: Vec<_> = new.filter(has_capacity).collect();
            // Full workers first, and those that a gang waits for last, so that
            // whole workers become free for gangs.
            new.sort_by_cached_key(|worker_key| {
                (
                    self.reserved_workers.contains(worker_key),
                    need.preference(self.log_speed(*worker_key)),
                    self.workers[*worker_key].free().cpu_millis,
                )
            });
            let rate = self.eligibility_rate(&self.jobs[job_key].submission.queue);
            let mut missing = rate.requested_for_tasks(u64::from(waiting));
            let chosen = new.into_iter().take_while(|worker_key| {
                let is_needed = missing > 0;
                let slots = self.free_slots(job_key, *worker_key, spec, &quota);
                missing = missing.saturating_sub(u64::from(slots));
                is_needed
            });
            chosen.collect()
        } else {
            known
        };
        if requested.is_empty() {
            return;
        }
        plan.requested_demand += total_demand(&spec.demand, waiting);
        self.request_advice(job_key, step_index, terms, &requested);
    }
}

/// Returns whether a worker is listed, is neither draining nor evacuated, and has the pool
/// and the label that a step requires.
pub(super) fn matches_step(worker: &WorkerState, terms: &QueueTerms, spec: &StepSpec) -> bool {
    worker.in_platform_list
        && !worker.report.is_draining
        && !worker.is_evacuated
        && worker.report.pool == terms.pool
        && spec
            .label
            .as_ref()
            .is_none_or(|label| worker.report.labels.contains(label))
}

/// Returns how many tasks with a demand fit into the `free` resources.
pub(super) fn slots_in(free: &ResourceAmount, demand: &ResourceAmount) -> u32 {
    let parts = [
        (free.cpu_millis, demand.cpu_millis),
        (free.memory_mib, demand.memory_mib),
        (free.accelerators, demand.accelerators),
    ];
    let parts = parts.into_iter().filter(|(_, demand)| *demand > 0);
    let slots = parts
        .map(|(free, demand)| free / demand)
        .min()
        .unwrap_or(u64::MAX);
    u32::try_from(slots).unwrap_or(u32::MAX)
}

/// Returns the demand of `tasks` tasks together.
pub(super) fn total_demand(demand: &ResourceAmount, tasks: u32) -> ResourceAmount {
    let tasks = u64::from(tasks);
    ResourceAmount {
        cpu_millis: demand.cpu_millis.saturating_mul(tasks),
        memory_mib: demand.memory_mib.saturating_mul(tasks),
        accelerators: demand.accelerators.saturating_mul(tasks),
    }
}

//! Chooses the workers for the waiting tasks of a step.

use std::collections::BTreeSet;

use pimentochute_base::ResourceAmount;

use crate::job::TaskPlacement;
use crate::worker::{PlacedRun, WorkerState};
use crate::{JobKey, QueueTerms, StepSpec, WorkerKey};

use super::WorkCell;
use super::records::StagedAction;

/// The state of one placement round over all waiting jobs.
#[derive(Debug, Default)]
pub(super) struct RoundPlan {
    /// Workers that are kept free for a gang of a job with a higher rank.
    pub(super) reserved: BTreeSet<WorkerKey>,
    /// The demand of the tasks with an advice request in flight. The round ends
    /// once it exceeds the free resources by far.
    pub(super) requested_demand: ResourceAmount,
    /// The largest amount of each resource that is free on any worker at the
    /// start of the round.
    pub(super) max_free: ResourceAmount,
}

impl RoundPlan {
    /// Returns whether a task may fit on some worker. `false` is certain.
    fn may_fit(&self, demand: &ResourceAmount) -> bool {
        demand.fits_within(&self.max_free)
    }
}

/// A worker that may run tasks of a step.
#[derive(Debug, Clone, Copy)]
struct StepWorker {
    worker_key: WorkerKey,
    /// The number of further tasks of the step that fit now.
    slots: u32,
    /// The number of further tasks of the step that would fit if the worker had
    /// no other runs.
    max_slots: u32,
    /// There is a valid ticket for the worker, or the queue needs none.
    may_start: bool,
}

/// A gang reserves workers for this many times its tasks, so that enough of them
/// become free sooner.
const RESERVE_FACTOR: u32 = 2;

/// At most one in this many workers is reserved for gangs.
const MAX_RESERVED_DIVISOR: usize = 2;

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
        let rows = self.step_workers(job_key, step_index, terms, spec, plan);
        let usable = rows
            .into_iter()
            .filter(|row| row.slots > 0 && row.may_start);
        let mut usable: Vec<_> = usable.collect();
        for index in self.jobs[job_key].task_range(step_index) {
            if self.jobs[job_key].tasks[index].placement != TaskPlacement::Waiting {
                continue;
            }
            if !self.fits_team_cap(team.as_deref(), &spec.demand) {
                return;
            }
            let Some(worker) = self.take_best_worker(job_key, index, spec, &mut usable) else {
                break;
            };
            let run = self.jobs[job_key].tasks[index].run + 1;
            self.place_task_run(job_key, index, worker, run, spec.demand);
        }
        let waiting = self.jobs[job_key].steps[step_index].waiting;
        if waiting > 0 {
            self.request_for_tasks(job_key, step_index, terms, spec, waiting, plan);
        }
    }

    /// Takes a slot of the best worker for a task. In this order, a worker is
    /// preferred on which the task did not just fail, in the rack of the data,
    /// with fewer failures, and with the least left free.
    fn take_best_worker(
        &self,
        job_key: JobKey,
        index: usize,
        spec: &StepSpec,
        usable: &mut Vec<StepWorker>,
    ) -> Option<WorkerKey> {
        let failed_on = self.jobs[job_key].tasks[index].failed_on;
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

    fn place_gang(
        &mut self,
        job_key: JobKey,
        step_index: usize,
        terms: &QueueTerms,
        spec: &StepSpec,
        plan: &mut RoundPlan,
    ) {
        let state = &self.jobs[job_key].steps[step_index];
        if state.waiting < spec.tasks {
            return;
        }
        let team = self.jobs[job_key].submission.team.clone();
        let all = total_demand(&spec.demand, spec.tasks);
        if !self.fits_team_cap(team.as_deref(), &all) {
            return;
        }
        let mut rows = self.step_workers(job_key, step_index, terms, spec, plan);
        if spec.prefers_one_rack {
            self.keep_best_rack(&mut rows, spec.tasks);
        }
        // Workers with many slots first, so that the gang uses few workers.
        rows.sort_by_key(|row| std::cmp::Reverse((row.may_start, row.slots)));
        let ready: u32 = rows
            .iter()
            .filter(|row| row.may_start)
            .map(|row| row.slots)
            .sum();
        if ready >= spec.tasks {
            self.place_gang_members(job_key, step_index, spec, &rows);
            return;
        }
        let slots: u32 = rows.iter().map(|row| row.slots).sum();
        if terms.advice.is_some() {
            self.request_for_gang(job_key, step_index, terms, spec, &rows, slots >= spec.tasks);
        }
        self.reserve(&rows, spec.tasks, plan);
    }

    fn place_gang_members(
        &mut self,
        job_key: JobKey,
        step_index: usize,
        spec: &StepSpec,
        rows: &[StepWorker],
    ) {
        self.share_checkpoint(job_key, step_index);
        let members = self.jobs[job_key].task_range(step_index);
        let last = self.jobs[job_key].tasks[members.clone()]
            .iter()
            .map(|task| task.run)
            .max();
        let run = last.unwrap_or(0) + 1;
        let slots = rows.iter().filter(|row| row.may_start);
        let slots = slots.flat_map(|row| (0..row.slots).map(|_| row.worker_key));
        let slots: Vec<_> = slots.take(members.len()).collect();
        for (index, worker) in members.zip(slots) {
            self.place_task_run(job_key, index, worker, run, spec.demand);
        }
    }

    /// Reserves workers for a gang that does not fit now.
    fn reserve(&self, rows: &[StepWorker], tasks: u32, plan: &mut RoundPlan) {
        let max_reserved = self.workers.len() / MAX_RESERVED_DIVISOR;
        let mut wanted = tasks * RESERVE_FACTOR;
        let mut rows: Vec<_> = rows.iter().collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.slots));
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
        let mut racks: std::collections::BTreeMap<&str, u32> = std::collections::BTreeMap::new();
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

    /// Places a task on a worker. The start order is sent once the record is in the log.
    fn place_task_run(
        &mut self,
        job_key: JobKey,
        index: usize,
        worker: WorkerKey,
        run: u32,
        demand: ResourceAmount,
    ) {
        let placed = PlacedRun::new(run, demand, self.now);
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
        log::debug!(task:% = name, run, worker:% = report.id; "cell: a task is placed");
    }

    /// Returns the workers that may run a step, except reserved ones. If the queue
    /// needs advice, these are the workers that the service has named.
    fn step_workers(
        &self,
        job_key: JobKey,
        step_index: usize,
        terms: &QueueTerms,
        spec: &StepSpec,
        plan: &RoundPlan,
    ) -> Vec<StepWorker> {
        let advice = &self.jobs[job_key].steps[step_index].advice;
        let row_of = |worker_key: WorkerKey, may_start: bool| {
            let worker = self.workers.get(worker_key)?;
            if !matches_step(worker, terms, spec) || plan.reserved.contains(&worker_key) {
                return None;
            }
            let here = self.tasks_on(job_key, step_index, worker_key, spec);
            let limit = if spec.max_per_worker == 0 {
                u32::MAX
            } else {
                spec.max_per_worker
            };
            let limit = limit.saturating_sub(here);
            let takes = worker.takes_runs(self.now);
            Some(StepWorker {
                worker_key,
                slots: if takes {
                    slots_in(&worker.free(), &spec.demand).min(limit)
                } else {
                    0
                },
                max_slots: slots_in(&worker.report.capacity, &spec.demand).min(limit),
                may_start,
            })
        };
        if terms.advice.is_some() {
            let rows = advice.eligible.iter();
            rows.filter_map(|row| row_of(row.worker, row.valid_until > self.now))
                .collect()
        } else {
            self.workers
                .keys()
                .filter_map(|worker_key| row_of(worker_key, true))
                .collect()
        }
    }

    /// Returns how many tasks of a step are on a worker; 0 if the step has no
    /// limit per worker.
    fn tasks_on(
        &self,
        job_key: JobKey,
        step_index: usize,
        worker_key: WorkerKey,
        spec: &StepSpec,
    ) -> u32 {
        if spec.max_per_worker == 0 {
            return 0;
        }
        let job = &self.jobs[job_key];
        let here = job.tasks[job.task_range(step_index)].iter();
        let here = here
            .filter(|task| task.placement == TaskPlacement::Placed(worker_key))
            .count();
        u32::try_from(here).unwrap_or(u32::MAX)
    }

    /// Requests advice for the tasks of a step that is not a gang: again about the
    /// eligible workers with free resources, or else about new ones.
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
        if advice.is_pending {
            plan.requested_demand += total_demand(&spec.demand, waiting);
            return;
        }
        if advice.retry_at > self.now {
            return;
        }
        let has_capacity = |worker_key: &WorkerKey| {
            self.workers.get(*worker_key).is_some_and(|worker| {
                matches_step(worker, terms, spec)
                    && worker.takes_runs(self.now)
                    && !plan.reserved.contains(worker_key)
                    && spec.demand.fits_within(&worker.free())
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
            new.sort_by_key(|worker_key| {
                std::cmp::Reverse(self.workers[*worker_key].free().cpu_millis)
            });
            let slots = new
                .iter()
                .map(|worker_key| slots_in(&self.workers[*worker_key].free(), &spec.demand));
            let slots: u32 = slots.sum();
            let per_worker = (slots as usize / new.len().max(1)).max(1);
            let queue = &self.jobs[job_key].submission.queue;
            let rate = self
                .eligibility_rates
                .get(queue)
                .copied()
                .unwrap_or_default();
            new.truncate(rate.request_size((waiting as usize).div_ceil(per_worker)));
            new
        } else {
            known
        };
        if requested.is_empty() {
            return;
        }
        plan.requested_demand += total_demand(&spec.demand, waiting);
        self.request_advice(job_key, step_index, terms, &requested);
    }

    /// Requests advice for a gang: again about the eligible workers if the gang
    /// `fits` on them, or else about all workers that were not requested yet.
    fn request_for_gang(
        &mut self,
        job_key: JobKey,
        step_index: usize,
        terms: &QueueTerms,
        spec: &StepSpec,
        rows: &[StepWorker],
        fits: bool,
    ) {
        let advice = &self.jobs[job_key].steps[step_index].advice;
        if advice.is_pending || advice.retry_at > self.now {
            return;
        }
        let requested: Vec<_> = if fits {
            rows.iter()
                .filter(|row| row.slots > 0)
                .map(|row| row.worker_key)
                .collect()
        } else {
            let new = self.workers.iter().filter(|(worker_key, worker)| {
                matches_step(worker, terms, spec) && !advice.answered.contains(worker_key)
            });
            new.map(|(worker_key, _)| worker_key).collect()
        };
        if !requested.is_empty() {
            self.request_advice(job_key, step_index, terms, &requested);
        }
    }
}

/// Returns whether a worker is listed, is not draining, and has the pool and the
/// label that a step requires.
fn matches_step(worker: &WorkerState, terms: &QueueTerms, spec: &StepSpec) -> bool {
    worker.in_platform_list
        && !worker.report.is_draining
        && worker.report.pool == terms.pool
        && spec
            .label
            .as_ref()
            .is_none_or(|label| worker.report.labels.contains(label))
}

/// Returns how many tasks with a demand fit into the `free` resources.
fn slots_in(free: &ResourceAmount, demand: &ResourceAmount) -> u32 {
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
fn total_demand(demand: &ResourceAmount, tasks: u32) -> ResourceAmount {
    let tasks = u64::from(tasks);
    ResourceAmount {
        cpu_millis: demand.cpu_millis.saturating_mul(tasks),
        memory_mib: demand.memory_mib.saturating_mul(tasks),
        accelerators: demand.accelerators.saturating_mul(tasks),
    }
}

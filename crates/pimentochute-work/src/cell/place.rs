//! Placement of the tasks of a step.

use std::collections::BTreeSet;

use pimentochute_base::ResourceAmount;

use crate::job::TaskSpot;
use crate::worker::{PlacedRun, WorkerState};
use crate::{JobKey, QueueTerms, StepSpec, WorkerKey};

use super::WorkCell;
use super::records::StagedAction;

/// What a placement round has set aside.
#[derive(Debug, Default)]
pub(super) struct RoundPlan {
    /// Workers that are kept free for a gang of a job that goes first.
    pub(super) reserved: BTreeSet<WorkerKey>,
    /// What the tasks need about which questions are asked, so that there are
    /// not more questions than room.
    pub(super) requested: ResourceAmount,
    /// The most of each kind that is free on any worker at the start of the
    /// round.
    pub(super) most_room: ResourceAmount,
}

impl RoundPlan {
    /// Tells whether some worker could have room for a task.
    fn may_fit(&self, need: &ResourceAmount) -> bool {
        need.fits_within(&self.most_room)
    }
}

/// A worker that could run tasks of a step.
#[derive(Debug, Clone, Copy)]
struct StepWorker {
    key: WorkerKey,
    /// How many tasks of the step fit now.
    slots: u32,
    /// How many tasks of the step would fit on the empty worker.
    most: u32,
    has_ticket: bool,
}

/// A gang reserves workers with this many times the room that it needs, so
/// that the room comes together sooner.
const RESERVE_FACTOR: u32 = 2;

/// At most one in this many workers is reserved.
const RESERVED_PART: usize = 2;

impl WorkCell {
    /// Places what can be placed of a step, and asks for advice where that is
    /// missing.
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
        if !plan.may_fit(&spec.need) {
            return;
        }
        let team = self.jobs[job_key].submission.team.clone();
        let rows = self.step_workers(job_key, step_index, terms, spec, plan);
        let usable = rows
            .into_iter()
            .filter(|row| row.slots > 0 && row.has_ticket);
        let mut usable: Vec<_> = usable.collect();
        for index in self.jobs[job_key].task_range(step_index) {
            if self.jobs[job_key].tasks[index].spot != TaskSpot::Waiting {
                continue;
            }
            if !self.team_has_room(team.as_deref(), &spec.need) {
                return;
            }
            let Some(worker) = self.take_best_worker(job_key, index, spec, &mut usable) else {
                break;
            };
            let run = self.jobs[job_key].tasks[index].run + 1;
            self.start_run(job_key, index, worker, run, spec.need);
        }
        let waiting = self.jobs[job_key].steps[step_index].waiting;
        if waiting > 0 {
            self.request_for_tasks(job_key, step_index, terms, spec, waiting, plan);
        }
    }

    /// Takes a slot of the best worker for a task: in the rack of its data if
    /// possible, otherwise the one that is filled best.
    fn take_best_worker(
        &self,
        job_key: JobKey,
        index: usize,
        spec: &StepSpec,
        usable: &mut Vec<StepWorker>,
    ) -> Option<WorkerKey> {
        let failed_on = self.jobs[job_key].tasks[index].failed_on;
        let rated = usable.iter().enumerate().min_by_key(|(_, row)| {
            let worker = &self.workers[row.key];
            let is_far = spec
                .rack
                .as_deref()
                .is_some_and(|rack| rack != worker.rack());
            let left = worker.room().saturating_sub(&spec.need);
            let leftover = left.dominant_share_ppm(&worker.report.capacity);
            (
                failed_on == Some(row.key),
                is_far,
                worker.failures,
                leftover,
            )
        });
        let position = rated?.0;
        let row = &mut usable[position];
        row.slots -= 1;
        let key = row.key;
        if row.slots == 0 {
            usable.swap_remove(position);
        }
        Some(key)
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
        let all = scaled(&spec.need, spec.tasks);
        if !self.team_has_room(team.as_deref(), &all) {
            return;
        }
        let mut rows = self.step_workers(job_key, step_index, terms, spec, plan);
        if spec.prefers_one_rack {
            self.keep_best_rack(&mut rows, spec.tasks);
        }
        // Few workers with much room: the members are spread less.
        rows.sort_by_key(|row| std::cmp::Reverse((row.has_ticket, row.slots)));
        let ready: u32 = rows
            .iter()
            .filter(|row| row.has_ticket)
            .map(|row| row.slots)
            .sum();
        if ready >= spec.tasks {
            self.start_gang(job_key, step_index, spec, &rows);
            return;
        }
        let room: u32 = rows.iter().map(|row| row.slots).sum();
        if terms.advice.is_some() {
            self.request_for_gang(job_key, step_index, terms, spec, &rows, room >= spec.tasks);
        }
        self.reserve(&rows, spec.tasks, plan);
    }

    fn start_gang(
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
        let slots = rows.iter().filter(|row| row.has_ticket);
        let slots = slots.flat_map(|row| (0..row.slots).map(|_| row.key));
        let slots: Vec<_> = slots.take(members.len()).collect();
        for (index, worker) in members.zip(slots) {
            self.start_run(job_key, index, worker, run, spec.need);
        }
    }

    /// Keeps workers free for a gang that does not fit now.
    fn reserve(&self, rows: &[StepWorker], tasks: u32, plan: &mut RoundPlan) {
        let most = self.workers.len() / RESERVED_PART;
        let mut wanted = tasks * RESERVE_FACTOR;
        let mut rows: Vec<_> = rows.iter().collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.slots));
        for row in rows {
            if wanted == 0 || plan.reserved.len() >= most {
                return;
            }
            plan.reserved.insert(row.key);
            wanted = wanted.saturating_sub(row.most);
        }
    }

    /// Keeps only the rack with the most room if the gang fits there.
    fn keep_best_rack(&self, rows: &mut Vec<StepWorker>, tasks: u32) {
        let mut racks: std::collections::BTreeMap<&str, u32> = std::collections::BTreeMap::new();
        for row in rows.iter() {
            *racks.entry(self.workers[row.key].rack()).or_default() += row.most;
        }
        let best = racks.into_iter().max_by_key(|(_, most)| *most);
        if let Some((rack, most)) = best
            && most >= tasks
        {
            let rack = rack.to_owned();
            rows.retain(|row| self.workers[row.key].rack() == rack);
        }
    }

    /// Records that a task is given to a worker; the start follows the record.
    fn start_run(
        &mut self,
        job_key: JobKey,
        index: usize,
        worker: WorkerKey,
        run: u32,
        need: ResourceAmount,
    ) {
        let placed = PlacedRun::new(run, need, self.now);
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

    /// Returns the workers that may run a step, as far as is known, except
    /// those that are reserved.
    fn step_workers(
        &self,
        job_key: JobKey,
        step_index: usize,
        terms: &QueueTerms,
        spec: &StepSpec,
        plan: &RoundPlan,
    ) -> Vec<StepWorker> {
        let advice = &self.jobs[job_key].steps[step_index].advice;
        let row_of = |key: WorkerKey, has_ticket: bool| {
            let worker = self.workers.get(key)?;
            if !matches_step(worker, terms, spec) || plan.reserved.contains(&key) {
                return None;
            }
            let here = self.tasks_on(job_key, step_index, key, spec);
            let limit = if spec.max_per_worker == 0 {
                u32::MAX
            } else {
                spec.max_per_worker
            };
            let limit = limit.saturating_sub(here);
            let takes = worker.takes_runs(self.now);
            Some(StepWorker {
                key,
                slots: if takes {
                    fitting(&worker.room(), &spec.need).min(limit)
                } else {
                    0
                },
                most: fitting(&worker.report.capacity, &spec.need).min(limit),
                has_ticket,
            })
        };
        if terms.advice.is_some() {
            let rows = advice.eligible.iter();
            rows.filter_map(|row| row_of(row.worker, row.valid_until > self.now))
                .collect()
        } else {
            self.workers
                .keys()
                .filter_map(|key| row_of(key, true))
                .collect()
        }
    }

    /// Returns how many tasks of a step are on a worker, if that is limited.
    fn tasks_on(&self, job_key: JobKey, step_index: usize, key: WorkerKey, spec: &StepSpec) -> u32 {
        if spec.max_per_worker == 0 {
            return 0;
        }
        let job = &self.jobs[job_key];
        let here = job.tasks[job.task_range(step_index)].iter();
        let here = here
            .filter(|task| task.spot == TaskSpot::Placed(key))
            .count();
        u32::try_from(here).unwrap_or(u32::MAX)
    }

    /// Asks about workers for the tasks of a step that are not a gang.
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
            plan.requested += scaled(&spec.need, waiting);
            return;
        }
        if advice.retry_at > self.now {
            return;
        }
        let with_room = |key: &WorkerKey| {
            self.workers.get(*key).is_some_and(|worker| {
                matches_step(worker, terms, spec)
                    && worker.takes_runs(self.now)
                    && !plan.reserved.contains(key)
                    && spec.need.fits_within(&worker.room())
            })
        };
        let known: Vec<_> = advice
            .eligible
            .iter()
            .map(|row| row.worker)
            .filter(with_room)
            .collect();
        let requested = if known.is_empty() {
            let new = self
                .workers
                .keys()
                .filter(|key| !advice.requested.contains(key));
            let mut new: Vec<_> = new.filter(with_room).collect();
            new.sort_by_key(|key| std::cmp::Reverse(self.workers[*key].room().cpu_millis));
            let slots = new
                .iter()
                .map(|key| fitting(&self.workers[*key].room(), &spec.need));
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
        plan.requested += scaled(&spec.need, waiting);
        self.request_advice(job_key, step_index, terms, &requested);
    }

    /// Asks about workers for a gang: about all others while those known to
    /// suit lack room, or again about those that have room.
    fn request_for_gang(
        &mut self,
        job_key: JobKey,
        step_index: usize,
        terms: &QueueTerms,
        spec: &StepSpec,
        rows: &[StepWorker],
        has_room: bool,
    ) {
        let advice = &self.jobs[job_key].steps[step_index].advice;
        if advice.is_pending || advice.retry_at > self.now {
            return;
        }
        let requested: Vec<_> = if has_room {
            rows.iter()
                .filter(|row| row.slots > 0)
                .map(|row| row.key)
                .collect()
        } else {
            let new = self.workers.iter().filter(|(key, worker)| {
                matches_step(worker, terms, spec) && !advice.requested.contains(key)
            });
            new.map(|(key, _)| key).collect()
        };
        if !requested.is_empty() {
            self.request_advice(job_key, step_index, terms, &requested);
        }
    }
}

/// Tells whether a worker is of the kind that a step needs.
fn matches_step(worker: &WorkerState, terms: &QueueTerms, spec: &StepSpec) -> bool {
    worker.is_listed
        && !worker.report.is_draining
        && worker.report.pool == terms.pool
        && spec
            .label
            .as_ref()
            .is_none_or(|label| worker.report.labels.contains(label))
}

/// Returns how many tasks fit into `room`.
fn fitting(room: &ResourceAmount, need: &ResourceAmount) -> u32 {
    let parts = [
        (room.cpu_millis, need.cpu_millis),
        (room.memory_mib, need.memory_mib),
        (room.accelerators, need.accelerators),
    ];
    let parts = parts.into_iter().filter(|(_, need)| *need > 0);
    let fewest = parts
        .map(|(room, need)| room / need)
        .min()
        .unwrap_or(u64::MAX);
    u32::try_from(fewest).unwrap_or(u32::MAX)
}

/// Returns what `tasks` tasks need.
fn scaled(need: &ResourceAmount, tasks: u32) -> ResourceAmount {
    let tasks = u64::from(tasks);
    ResourceAmount {
        cpu_millis: need.cpu_millis.saturating_mul(tasks),
        memory_mib: need.memory_mib.saturating_mul(tasks),
        accelerators: need.accelerators.saturating_mul(tasks),
    }
}

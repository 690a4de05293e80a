//! The scheduling decisions: which waiting tasks are placed, and in what order.

use pimentochute_base::{MilliTime, TaskIndex, WorkKind};
use smallvec::SmallVec;

use crate::class_order::CLASS_COUNT;
use crate::job_table::JobKey;
use crate::round::{DecisionRound, TurnContext};
use crate::shape_table::ShapeKey;
use crate::team_table::TeamKey;
use crate::worker_table::WorkerKey;
use crate::{FitRule, JobPlacer, JobRank, PlacementDecision};

/// Tasks of one job that are placed before the teams are ranked again. A smaller
/// value follows the team shares more closely, a larger one costs less time.
const MAX_TASKS_PER_TURN: usize = 4;

/// Ready tasks of one job that are tried before the next job. Larger than
/// [`MAX_TASKS_PER_TURN`], since some tasks may have to avoid the free workers.
const MAX_TASKS_TRIED: usize = 16;

/// Jobs of the same team, class and shape that are tried in a row. If one does
/// not fit, neither do the others, except for gangs of different sizes and tasks
/// with workers to avoid.
const MAX_JOBS_TRIED: usize = 8;

impl JobPlacer {
    /// Places up to `max_tasks` waiting tasks. A gang that is placed last may
    /// exceed the limit, since gangs are not split.
    ///
    /// `now` is on the same clock as the times of the jobs. The decisions
    /// reserve their workers at once.
    #[must_use]
    pub fn decide(&mut self, now: MilliTime, max_tasks: usize) -> Vec<PlacementDecision> {
        self.wake_jobs(now);
        self.rerank_teams();
        let mut round = DecisionRound::new(now, max_tasks);
        self.place_holder(&mut round);
        while round.remaining_tasks > 0 {
            let due = self.teams.classes_due();
            let open: [bool; CLASS_COUNT] =
                std::array::from_fn(|class| due[class] && !round.exhausted[class]);
            let next = self.settings.class_order.next(open);
            // Without this filter, an order that returns a class without work
            // would loop forever.
            let next = next.filter(|(class, _)| open.get(*class) == Some(&true));
            let Some((class, turn)) = next else {
                break;
            };
            let context = TurnContext {
                turn,
                is_holder: false,
            };
            match self.place_in_class(class, context, &mut round) {
                0 => round.exhausted[class] = true,
                tasks => self.record_placed(class, tasks, due),
            }
        }
        self.plan_hold(now);
        let decisions = round.into_decisions();
        self.totals.decisions += decisions.len() as u64;
        let placed = decisions.iter().map(|decision| decision.tasks.len() as u64);
        self.totals.placed_tasks += placed.sum::<u64>();
        decisions
    }

    fn record_placed(&mut self, class: usize, tasks: u32, due: [bool; CLASS_COUNT]) {
        self.settings.class_order.record(class, tasks, due);
    }

    /// Places tasks of the first team, by rank, that has a task that fits.
    /// Returns the number of tasks placed.
    fn place_in_class(
        &mut self,
        class: usize,
        context: TurnContext,
        round: &mut DecisionRound,
    ) -> u32 {
        let mut cursor = None;
        while let Some(entry) = self.teams.next_in(class, cursor) {
            cursor = Some(entry);
            let team = entry.1;
            if round.is_blocked(class, team) {
                continue;
            }
            let tasks = self.place_for_team(class, team, context, round);
            if tasks > 0 {
                return tasks;
            }
            round.block(class, team);
        }
        0
    }

    /// Places tasks of the first job of a team that fits. Returns the number of
    /// tasks placed.
    fn place_for_team(
        &mut self,
        class: usize,
        team: TeamKey,
        context: TurnContext,
        round: &mut DecisionRound,
    ) -> u32 {
        for (_, shape) in self.shapes_to_try(class, team, round) {
            let mut cursor = None;
            for _ in 0..MAX_JOBS_TRIED {
                let Some(entry) = self.next_due(class, team, shape, cursor) else {
                    break;
                };
                cursor = Some(entry);
                let tasks = self.place_job(entry.1, context, round);
                if tasks > 0 {
                    return tasks;
                }
                if !self.may_fit(shape, round) {
                    break;
                }
            }
        }
        0
    }

    /// Returns the shapes of a team's due jobs that may fit, ordered by the rank
    /// of the first job of each shape.
    fn shapes_to_try(
        &self,
        class: usize,
        team: TeamKey,
        round: &mut DecisionRound,
    ) -> SmallVec<[(JobRank, ShapeKey); 8]> {
        let mut shapes = SmallVec::new();
        let state = self.teams.get(team).filter(|state| state.headroom() > 0);
        for (shape, jobs) in state.iter().flat_map(|state| &state.due[class]) {
            if let Some((rank, _)) = jobs.first()
                && self.may_fit(*shape, round)
            {
                shapes.push((*rank, *shape));
            }
        }
        shapes.sort_unstable();
        shapes
    }

    /// Returns whether a task of the shape may fit on some worker. Remembers
    /// for the rest of the round that a shape does not fit.
    fn may_fit(&self, key: ShapeKey, round: &mut DecisionRound) -> bool {
        if round.unplaceable_shapes.contains_key(key) {
            return false;
        }
        let Some(shape) = self.shapes.get(key) else {
            return false;
        };
        let unheld = !round.no_unheld_fit.covers(&shape.demand);
        let held = || {
            let demand = &shape.demand;
            !round.no_held_fit.covers(demand)
                && self.workers.held.count_tasks_that_fit(demand, 1) > 0
        };
        let probes = || self.workers.has_probe_for(&shape.demand);
        let tries = round.backfill_tries > 0;
        let fits = unheld || !shape.gang && (tries && held() || probes());
        if !fits {
            round.unplaceable_shapes.insert(key, ());
        }
        fits
    }

    /// Returns the due job after `after` in the order of ranks.
    fn next_due(
        &self,
        class: usize,
        team: TeamKey,
        shape: ShapeKey,
        after: Option<(JobRank, JobKey)>,
    ) -> Option<(JobRank, JobKey)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let due = self.teams.get(team)?.due[class].get(&shape)?;
        match after {
            None => due.first().copied(),
            Some(last) => due.range((Excluded(last), Unbounded)).next().copied(),
        }
    }

    /// Places tasks of a job and returns how many were placed.
    pub(crate) fn place_job(
        &mut self,
        key: JobKey,
        context: TurnContext,
        round: &mut DecisionRound,
    ) -> u32 {
        let Some(job) = self.jobs.get(key) else {
            return 0;
        };
        let headroom = self.headroom(key);
        if headroom == 0 {
            return 0;
        }
        if job.kind == WorkKind::Gang {
            self.place_gang(key, headroom, context, round)
        } else {
            self.place_independent(key, headroom, context, round)
        }
    }

    /// Returns how many tasks of a job the allotment of its team allows, less
    /// the part that is held for another job of the team.
    fn headroom(&self, key: JobKey) -> u32 {
        let job = self.jobs.get(key);
        let team = job.and_then(|job| self.teams.get(job.team).map(|state| (job.team, state)));
        team.map_or(0, |(team, state)| {
            let held = self.hold.held_allotment(team, key);
            state.headroom().saturating_sub(held)
        })
    }

    /// Places up to [`MAX_TASKS_PER_TURN`] tasks of a job that is not a gang.
    fn place_independent(
        &mut self,
        key: JobKey,
        headroom: u32,
        context: TurnContext,
        round: &mut DecisionRound,
    ) -> u32 {
        let limit = MAX_TASKS_PER_TURN
            .min(round.remaining_tasks)
            .min(headroom as usize);
        let mut placed = 0;
        for index in self.first_ready(key) {
            if placed as usize == limit {
                break;
            }
            match self.try_task(key, index, context.is_holder, round) {
                TaskTrial::Fits(worker, rule) => {
                    let reason = self.placement_reason(key, context, rule, round.now);
                    if let Some(choice) = self.reserve(key, index, worker, round.now) {
                        self.add_to_decision(key, choice, reason, round);
                        placed += 1;
                    }
                }
                TaskTrial::NoWorker => break,
                TaskTrial::Skipped => {}
            }
        }
        self.requeue(key);
        placed
    }

    fn first_ready(&self, key: JobKey) -> SmallVec<[TaskIndex; MAX_TASKS_TRIED]> {
        let job = self.jobs.get(key);
        job.map_or_else(SmallVec::new, |job| {
            job.ready.keys().take(MAX_TASKS_TRIED).copied().collect()
        })
    }

    /// Chooses a worker for a ready task, without reserving it.
    pub(crate) fn try_task(
        &self,
        key: JobKey,
        index: TaskIndex,
        is_holder: bool,
        round: &mut DecisionRound,
    ) -> TaskTrial {
        let job = self.jobs.get(key);
        let Some(task) = job.and_then(|job| job.ready.get(&index)) else {
            return TaskTrial::Skipped;
        };
        match self.choose_worker(key, task, is_holder, round) {
            Some((worker, rule)) => TaskTrial::Fits(worker, rule),
            None if task.avoid.is_empty() => TaskTrial::NoWorker,
            None => TaskTrial::Skipped,
        }
    }
}

/// The outcome of the search for a worker for one task.
pub(crate) enum TaskTrial {
    /// The task fits on this worker.
    Fits(WorkerKey, FitRule),
    /// No worker has enough free resources, for this task or others of the job.
    NoWorker,
    /// The task cannot be placed, but others of the job may: it has to avoid
    /// workers, or it is not ready.
    Skipped,
}

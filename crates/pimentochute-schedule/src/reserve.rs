//! Turns the choice of a worker into a reservation and a part of a decision.

use pimentochute_base::{MilliSpan, MilliTime, PriorityClass, TaskIndex};

use crate::job_table::JobKey;
use crate::placement_table::PlacedTask;
use crate::round::{DecisionRound, TurnContext};
use crate::worker_table::WorkerKey;
use crate::{FitRule, JobPlacer, PlacementDecision, PlacementReason, TaskChoice};

impl JobPlacer {
    /// Reserves a worker for a ready task.
    pub(crate) fn reserve(
        &mut self,
        key: JobKey,
        index: TaskIndex,
        worker: WorkerKey,
        now: MilliTime,
    ) -> Option<TaskChoice> {
        let state = self.workers.get(worker)?;
        let (name, incarnation) = (state.name.clone(), state.incarnation);
        let job = self.jobs.get_mut(key)?;
        let waiting = job.ready.remove(&index)?;
        let attempt = waiting.attempt;
        let placed = PlacedTask {
            job: job.id,
            task: index,
            attempt,
            team: job.team,
            kind: job.kind,
            worker,
            demand: job.demand,
            expected_end: job.times.expected_run.map(|run| now + run),
            probe_generation: None,
            reserved: Some(Box::new(waiting)),
        };
        self.add_placement(placed);
        Some(TaskChoice {
            task: index,
            attempt,
            worker: name,
            incarnation,
        })
    }

    /// Adds a reserved task to the decisions of the round.
    pub(crate) fn add_to_decision(
        &self,
        key: JobKey,
        choice: TaskChoice,
        reason: PlacementReason,
        round: &mut DecisionRound,
    ) {
        if let Some(decision) = self.new_decision(key, Vec::new(), reason) {
            round.add_task(key, choice, decision);
        }
    }

    pub(crate) fn new_decision(
        &self,
        key: JobKey,
        tasks: Vec<TaskChoice>,
        reason: PlacementReason,
    ) -> Option<PlacementDecision> {
        let job = self.jobs.get(key)?;
        Some(PlacementDecision {
            job: job.id,
            team: self.teams.get(job.team)?.name.clone(),
            tasks,
            reason,
        })
    }

    /// Returns the reason for a placement, with the share of the team before it.
    pub(crate) fn placement_reason(
        &self,
        key: JobKey,
        context: TurnContext,
        fit: FitRule,
        now: MilliTime,
    ) -> PlacementReason {
        let job = self.jobs.get(key);
        let used = job.and_then(|job| self.teams.get(job.team)).map(|t| t.used);
        PlacementReason {
            class: job.map_or(PriorityClass::Normal, |job| job.priority),
            turn: context.turn,
            share_ppm: used.map_or(0, |used| self.workers.scale().dominant_ppm(&used)),
            waited: job.map_or(MilliSpan::ZERO, |job| job.waited(now)),
            fit,
        }
    }
}

//! The state of one call of [`JobPlacer::decide`](crate::JobPlacer::decide).

use std::collections::HashMap;

use pimentochute_base::{MilliTime, ResourceAmount};
use slotmap::SecondaryMap;
use smallvec::SmallVec;

use crate::class_order::CLASS_COUNT;
use crate::job_table::JobKey;
use crate::shape_table::ShapeKey;
use crate::team_table::TeamKey;
use crate::{PlacementDecision, TaskChoice, TurnReason};

/// The maximum number of independent tasks in a decision. A decision is valid
/// or invalid as a whole: one invalid task makes all of them wait again.
const MAX_DECISION_TASKS: usize = 32;

/// The capacity of [`FailedDemands`]; searching longer lists costs more time
/// than it saves.
const MAX_FAILED_DEMANDS: usize = 16;

/// Searches of held workers for backfill per call. Without this limit, a call
/// took 8 ms with 12,700 waiting jobs.
const MAX_BACKFILL_TRIES: usize = 256;

/// The state of one call of `decide`.
///
/// Free resources only shrink during a call, so a demand that did not fit once
/// is not tried again. If a hold may have ended,
/// [`DecisionRound::clear_failures`] resets this.
#[derive(Debug)]
pub(crate) struct DecisionRound {
    pub now: MilliTime,
    /// The number of tasks that may still be placed.
    pub remaining_tasks: usize,
    /// Whether no more tasks of a class fit, by class index.
    pub exhausted: [bool; CLASS_COUNT],
    /// The teams of which no more tasks fit, with one bit per class.
    blocked: SecondaryMap<TeamKey, u8>,
    /// The demands that do not fit on any unheld worker.
    pub no_unheld_fit: FailedDemands,
    /// The demands that do not fit on any held worker.
    pub no_held_fit: FailedDemands,
    /// The size of the smallest gang that did not fit, by shape.
    pub min_failed_gangs: SecondaryMap<ShapeKey, u32>,
    /// The shapes that do not fit on any worker.
    pub unplaceable_shapes: SecondaryMap<ShapeKey, ()>,
    /// How many more searches of held workers are allowed.
    pub backfill_tries: usize,
    decisions: Vec<PlacementDecision>,
    /// The index of the decision to which further tasks of a job are added.
    by_job: HashMap<JobKey, usize>,
}

impl DecisionRound {
    pub fn new(now: MilliTime, max_tasks: usize) -> Self {
        Self {
            now,
            remaining_tasks: max_tasks,
            exhausted: [false; CLASS_COUNT],
            blocked: SecondaryMap::new(),
            no_unheld_fit: FailedDemands::default(),
            no_held_fit: FailedDemands::default(),
            min_failed_gangs: SecondaryMap::new(),
            unplaceable_shapes: SecondaryMap::new(),
            backfill_tries: MAX_BACKFILL_TRIES,
            decisions: Vec::new(),
            by_job: HashMap::new(),
        }
    }

    /// Clears the record of failed searches. Called after the holder was tried,
    /// since its workers may no longer be held.
    pub fn clear_failures(&mut self) {
        self.no_unheld_fit = FailedDemands::default();
        self.no_held_fit = FailedDemands::default();
        self.min_failed_gangs.clear();
        self.unplaceable_shapes.clear();
    }

    /// Returns whether no more tasks of a team in a class fit.
    pub fn is_blocked(&self, class: usize, team: TeamKey) -> bool {
        self.blocked
            .get(team)
            .is_some_and(|mask| mask & (1 << class) != 0)
    }

    /// Records that no more tasks of a team in a class fit.
    pub fn block(&mut self, class: usize, team: TeamKey) {
        let mask = self.blocked.get(team).copied().unwrap_or(0);
        self.blocked.insert(team, mask | 1 << class);
    }

    /// Adds an independent task to the latest decision of its job. If there is
    /// none or it is full, adds `new` with the task instead.
    pub fn add_task(&mut self, key: JobKey, choice: TaskChoice, new: PlacementDecision) {
        self.remaining_tasks = self.remaining_tasks.saturating_sub(1);
        let known = self.by_job.get(&key).copied();
        if let Some(decision) = known.and_then(|at| self.decisions.get_mut(at))
            && decision.tasks.len() < MAX_DECISION_TASKS
        {
            decision.tasks.push(choice);
            return;
        }
        self.by_job.insert(key, self.decisions.len());
        self.decisions.push(PlacementDecision {
            tasks: vec![choice],
            ..new
        });
    }

    /// Adds the decision for a whole gang.
    pub fn add_gang(&mut self, decision: PlacementDecision) {
        self.remaining_tasks = self.remaining_tasks.saturating_sub(decision.tasks.len());
        self.decisions.push(decision);
    }

    pub fn into_decisions(self) -> Vec<PlacementDecision> {
        self.decisions
    }
}

/// The smallest demands for which no worker was found.
#[derive(Debug, Clone, Default)]
pub(crate) struct FailedDemands(SmallVec<[ResourceAmount; 4]>);

impl FailedDemands {
    /// Returns whether a demand cannot fit because an equal or smaller one did
    /// not.
    pub fn covers(&self, demand: &ResourceAmount) -> bool {
        self.0.iter().any(|failed| failed.fits_within(demand))
    }

    /// Adds a demand that did not fit and removes the larger ones that it covers.
    pub fn add(&mut self, demand: ResourceAmount) {
        self.0.retain(|failed| !demand.fits_within(failed));
        if self.0.len() < MAX_FAILED_DEMANDS {
            self.0.push(demand);
        }
    }
}

/// The part of a placement that is known before its workers are chosen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TurnContext {
    /// Why the class of the job has its turn.
    pub turn: TurnReason,
    /// Whether the job is the holder and may use the held workers.
    pub is_holder: bool,
}

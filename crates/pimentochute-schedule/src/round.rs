//! What one call of `decide` remembers while it runs.

use std::collections::HashMap;

use pimentochute_base::{MilliTime, ResourceAmount};
use slotmap::SecondaryMap;
use smallvec::SmallVec;

use crate::class_order::CLASS_COUNT;
use crate::job_table::JobKey;
use crate::shape_table::ShapeKey;
use crate::team_table::TeamKey;
use crate::{PlacementDecision, TaskChoice, TurnReason};

/// A decision of independent tasks has this many at most: one of them being
/// invalid makes all of them wait again.
const MAX_DECISION_TASKS: usize = 32;

/// Demands that did not fit; longer lists cost more than they save.
const MAX_FAILED_DEMANDS: usize = 16;

/// Jobs tried per call for room that is held. A call that could try all took
/// 8 ms with 12,700 waiting jobs.
const MAX_BACKFILL_TRIES: usize = 256;

/// One call of `decide`. Room only shrinks while it runs, so what did not fit
/// once need not be tried again.
#[derive(Debug)]
pub(crate) struct DecisionRound {
    pub now: MilliTime,
    /// The tasks that may still be placed.
    pub remaining_tasks: usize,
    /// The classes in which nothing more fits.
    pub exhausted: [bool; CLASS_COUNT],
    /// The teams of which nothing more fits, with a bit per class.
    blocked: SecondaryMap<TeamKey, u8>,
    /// What does not fit on workers that are not held.
    pub no_unheld_fit: FailedDemands,
    /// What does not fit on held workers.
    pub no_held_fit: FailedDemands,
    /// The fewest tasks of each gang shape that did not fit.
    pub min_failed_gangs: SecondaryMap<ShapeKey, u32>,
    /// The shapes that fit nowhere.
    pub unplaceable_shapes: SecondaryMap<ShapeKey, ()>,
    /// How many more jobs are tried for room that is held.
    pub backfill_tries: usize,
    decisions: Vec<PlacementDecision>,
    /// The decision that further tasks of a job join.
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

    /// Forgets what did not fit, after room was given back.
    pub fn clear_failures(&mut self) {
        self.no_unheld_fit = FailedDemands::default();
        self.no_held_fit = FailedDemands::default();
        self.min_failed_gangs.clear();
        self.unplaceable_shapes.clear();
    }

    /// Tells whether nothing more of a team fits.
    pub fn is_blocked(&self, class: usize, team: TeamKey) -> bool {
        self.blocked
            .get(team)
            .is_some_and(|mask| mask & (1 << class) != 0)
    }

    /// Remembers that nothing more of a team fits.
    pub fn block(&mut self, class: usize, team: TeamKey) {
        let mask = self.blocked.get(team).copied().unwrap_or(0);
        self.blocked.insert(team, mask | 1 << class);
    }

    /// Adds an independent task, to the job's decision if it has one.
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

    /// Adds the decision of a gang.
    pub fn add_gang(&mut self, decision: PlacementDecision) {
        self.remaining_tasks = self.remaining_tasks.saturating_sub(decision.tasks.len());
        self.decisions.push(decision);
    }

    /// Returns the decisions.
    pub fn into_decisions(self) -> Vec<PlacementDecision> {
        self.decisions
    }
}

/// Demands for which no worker was found.
#[derive(Debug, Clone, Default)]
pub(crate) struct FailedDemands(SmallVec<[ResourceAmount; 4]>);

impl FailedDemands {
    /// Tells whether a demand does not fit because a smaller one did not.
    pub fn covers(&self, demand: &ResourceAmount) -> bool {
        self.0.iter().any(|failed| failed.fits_within(demand))
    }

    /// Adds a demand that did not fit.
    pub fn add(&mut self, demand: ResourceAmount) {
        self.0.retain(|failed| !demand.fits_within(failed));
        if self.0.len() < MAX_FAILED_DEMANDS {
            self.0.push(demand);
        }
    }
}

/// Why a job is placed, before its workers are known.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TurnContext {
    pub turn: TurnReason,
    /// Whether the job owns the hold and may use its workers.
    pub is_holder: bool,
}

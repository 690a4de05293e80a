//! Placement of gangs: all tasks at once or none.

use pimentochute_base::{AttemptRef, MilliTime, ResourceAmount, TaskIndex};

use crate::decide::TaskTrial;
use crate::job_table::JobKey;
use crate::round::{DecisionRound, TurnContext};
use crate::{FitRule, JobPlacer, TaskChoice};

impl JobPlacer {
    /// Places all tasks of a gang or none. Returns the number of tasks placed.
    pub(crate) fn place_gang(
        &mut self,
        key: JobKey,
        headroom: u32,
        context: TurnContext,
        round: &mut DecisionRound,
    ) -> u32 {
        if !self.gang_may_fit(key, headroom, context.is_holder, round) {
            return 0;
        }
        let reason = self.placement_reason(key, context, FitRule::Gang, round.now);
        let choices = self.reserve_all(key, context.is_holder, round);
        let tasks = u32::try_from(choices.len()).unwrap_or(u32::MAX);
        if !choices.is_empty()
            && let Some(decision) = self.new_decision(key, choices, reason)
        {
            round.add_gang(decision);
        }
        self.requeue(key);
        tasks
    }

    /// Returns whether a gang may fit, without trying its tasks one by one. The
    /// result is exact unless a task has workers to avoid.
    fn gang_may_fit(
        &self,
        key: JobKey,
        headroom: u32,
        is_holder: bool,
        round: &mut DecisionRound,
    ) -> bool {
        let Some(job) = self.jobs.get(key).filter(|job| headroom >= job.task_count) else {
            return false;
        };
        let tasks = job.task_count;
        if is_holder {
            return self.gang_fits(job.demand, tasks, true);
        }
        let known = round.min_failed_gangs.get(job.shape);
        if known.is_some_and(|limit| tasks >= *limit) {
            return false;
        }
        let fits = self.gang_fits(job.demand, tasks, false);
        if !fits {
            round.min_failed_gangs.insert(job.shape, tasks);
        }
        fits
    }

    /// Returns whether the workers have free resources for the whole gang. Checks
    /// the cheap upper bound first.
    fn gang_fits(&self, demand: ResourceAmount, tasks: u32, is_holder: bool) -> bool {
        let enough = u64::from(tasks);
        let unheld = &self.workers.unheld;
        let held = if is_holder {
            self.workers.held.count_tasks_that_fit(&demand, enough)
        } else {
            0
        };
        let enough = enough.saturating_sub(held);
        unheld.max_tasks_that_fit(&demand, enough) >= enough
            && unheld.count_tasks_that_fit(&demand, enough) >= enough
    }

    /// Reserves workers for all ready tasks. If one does not fit, cancels the
    /// reservations and returns an empty list.
    fn reserve_all(
        &mut self,
        key: JobKey,
        is_holder: bool,
        round: &mut DecisionRound,
    ) -> Vec<TaskChoice> {
        let Some(job) = self.jobs.get(key) else {
            return Vec::new();
        };
        let id = job.id;
        let tasks: Vec<TaskIndex> = job.ready.keys().copied().collect();
        let mut choices = Vec::with_capacity(tasks.len());
        let known = (round.no_unheld_fit.clone(), round.no_held_fit.clone());
        for index in tasks {
            let choice = match self.try_task(key, index, is_holder, round) {
                TaskTrial::Fits(worker, _) => self.reserve(key, index, worker, round.now),
                TaskTrial::NoWorker | TaskTrial::Skipped => None,
            };
            if let Some(choice) = choice {
                choices.push(choice);
                continue;
            }
            for choice in choices.drain(..) {
                self.cancel_reservation(AttemptRef {
                    job: id,
                    task: choice.task,
                    attempt: choice.attempt,
                });
            }
            self.wake_tasks(key, round.now);
            // Demands that did not fit beside a part of the gang may fit without it.
            (round.no_unheld_fit, round.no_held_fit) = known;
            break;
        }
        choices
    }

    fn wake_tasks(&mut self, key: JobKey, now: MilliTime) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.wake_tasks(now);
        }
    }
}

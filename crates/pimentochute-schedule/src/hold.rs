//! Holds: workers or a part of the allotment kept for a job that has waited long.
//!
//! At most one job, the holder, has a hold at a time. Other jobs may backfill
//! the held workers with tasks that are declared to end before the holder is
//! expected to start.

use pimentochute_base::{MilliSpan, MilliTime, ResourceAmount, WorkKind};
use slotmap::SecondaryMap;

use crate::buckets::tasks_that_fit;
use crate::job_table::{JobKey, JobState};
use crate::round::{DecisionRound, TurnContext};
use crate::team_table::{TeamKey, TeamState};
use crate::worker_table::WorkerKey;
use crate::{HoldLimits, JobPlacer, TurnReason, WorkerReadiness};

/// The minimum time between two runs of the planner of holds. Planning is
/// expensive: it visits every placed task.
const HOLD_PLAN_INTERVAL: MilliSpan = MilliSpan::new(1_000);

/// Jobs considered per run of the planner, longest waiting first.
const MAX_PLANNED_JOBS: usize = 8;

/// The assumed remaining run time of a task without a declared one.
const DEFAULT_RUN_TIME: MilliSpan = MilliSpan::new(3_600_000);

/// The assumed remaining run time of a task that is past its declared end.
const OVERDUE_RUN_TIME: MilliSpan = MilliSpan::new(60_000);

/// The active hold, if any, and when the next one may be planned.
#[derive(Debug, Default)]
pub(crate) struct HoldState {
    active: Option<ActiveHold>,
    /// No hold is planned before this time.
    next_plan_at: MilliTime,
}

#[derive(Debug)]
struct ActiveHold {
    job: JobKey,
    team: TeamKey,
    /// How many tasks have to fit: all tasks of a gang, or one of any other job.
    tasks: u32,
    /// The workers marked as held; empty if only the allotment is held.
    workers: Vec<WorkerKey>,
    /// When the hold began.
    started_at: MilliTime,
    /// When the job is expected to start.
    expected_start: MilliTime,
    /// When the hold is given up.
    expires_at: MilliTime,
}

impl HoldState {
    /// Returns when the holder is expected to start, or `None` without a hold.
    pub fn expected_start(&self) -> Option<MilliTime> {
        self.active.as_ref().map(|active| active.expected_start)
    }

    /// Returns the number of held workers.
    pub fn worker_count(&self) -> usize {
        let active = self.active.as_ref();
        active.map_or(0, |active| active.workers.len())
    }

    /// Returns how many tasks of the team's allotment are held for the holder
    /// and not available to `job`.
    pub fn held_allotment(&self, team: TeamKey, job: JobKey) -> u32 {
        let active = self.active.as_ref();
        let active = active.filter(|active| active.team == team && active.job != job);
        active.map_or(0, |active| active.tasks)
    }
}

impl JobPlacer {
    /// Places the holder if it fits. Ends the hold once the holder is placed, is
    /// no longer due, or the hold has exceeded its maximum duration.
    pub(crate) fn place_holder(&mut self, round: &mut DecisionRound) {
        let Some(active) = &self.hold.active else {
            return;
        };
        let (key, expired) = (active.job, round.now >= active.expires_at);
        if !self.jobs.get(key).is_some_and(JobState::is_due) {
            self.end_hold(round.now);
            return;
        }
        let context = TurnContext {
            turn: TurnReason::Reserved,
            is_holder: true,
        };
        if round.remaining_tasks > 0 && self.place_job(key, context, round) > 0 {
            self.end_hold(round.now);
        } else if expired {
            self.totals.abandoned_holds += 1;
            self.exclude_from_holds(key, round.now);
            self.end_hold(round.now);
        }
        round.clear_failures();
    }

    /// Starts a hold for the longest waiting job that can get one, if no hold is
    /// active.
    pub(crate) fn plan_hold(&mut self, now: MilliTime) {
        let Some(limits) = self.settings.holds else {
            return;
        };
        if self.hold.active.is_some() || now < self.hold.next_plan_at {
            return;
        }
        self.hold.next_plan_at = now + HOLD_PLAN_INTERVAL;
        for key in self.longest_waiting(&limits, now) {
            if self.start_hold(key, &limits, now) {
                return;
            }
        }
    }

    /// Returns the longest waiting jobs that are eligible for a hold, among the
    /// first jobs of each team, class and shape.
    fn longest_waiting(&self, limits: &HoldLimits, now: MilliTime) -> Vec<JobKey> {
        let known = self.teams.iter().filter(|team| team.known);
        let mut waiting: Vec<_> = known
            .flat_map(TeamState::first_due)
            .filter_map(|key| self.jobs.get(key).map(|job| (job, key)))
            .filter(|(job, _)| job.is_eligible_for_hold(limits, now))
            .map(|(job, key)| (job.times.submitted, key))
            .collect();
        waiting.sort_unstable();
        waiting.truncate(MAX_PLANNED_JOBS);
        waiting.into_iter().map(|(_, key)| key).collect()
    }

    /// Starts a hold for a job and returns whether it could. If not, the job is
    /// excluded from holds for [`HoldLimits::retry_delay`].
    fn start_hold(&mut self, key: JobKey, limits: &HoldLimits, now: MilliTime) -> bool {
        let Some(job) = self.jobs.get(key) else {
            return false;
        };
        let team = job.team;
        let tasks = match job.kind {
            WorkKind::Gang => job.task_count,
            _ => 1,
        };
        let allowed = self.teams.get(team).map(|s| (s.allotment, s.headroom()));
        let plan = match allowed {
            Some((allotment, _)) if allotment < tasks => None,
            Some((_, headroom)) if headroom < tasks => Some((Vec::new(), now)),
            _ => self.earliest_start(&job.demand, u64::from(tasks), now),
        };
        let Some((workers, start)) = plan else {
            self.exclude_from_holds(key, now);
            return false;
        };
        for worker in &workers {
            self.workers.set_held(*worker, true);
        }
        self.hold.active = Some(ActiveHold {
            job: key,
            team,
            tasks,
            workers,
            started_at: now,
            expected_start: start,
            expires_at: now + limits.max_duration,
        });
        true
    }

    /// Ends the hold; the next one is planned only after the rest period.
    fn end_hold(&mut self, now: MilliTime) {
        if let Some(active) = self.hold.active.take() {
            let percent = self.settings.holds.map_or(0, |limits| limits.rest_percent);
            let held = now.since(active.started_at).as_millis();
            let rest = held.saturating_mul(percent) / 100;
            self.hold.next_plan_at = self.hold.next_plan_at.max(now + MilliSpan::new(rest));
            for worker in active.workers {
                self.workers.set_held(worker, false);
            }
        }
    }

    /// Excludes a job from holds for [`HoldLimits::retry_delay`].
    fn exclude_from_holds(&mut self, key: JobKey, now: MilliTime) {
        let retry_delay = self
            .settings
            .holds
            .map_or(MilliSpan::ZERO, |limits| limits.retry_delay);
        if let Some(job) = self.jobs.get_mut(key) {
            job.hold_not_before = now + retry_delay;
        }
    }

    /// Returns the workers on which `tasks` tasks can start at the earliest, and
    /// that time, assuming that the placed tasks end as declared and services
    /// never end. Returns `None` if there are too few workers even then.
    fn earliest_start(
        &self,
        demand: &ResourceAmount,
        tasks: u64,
        now: MilliTime,
    ) -> Option<(Vec<WorkerKey>, MilliTime)> {
        let mut free_amounts = self.free_on_large_workers(demand);
        let mut fitting_tasks: u64 = free_amounts
            .values()
            .map(|free| tasks_that_fit(free, demand))
            .sum();
        let mut start = now;
        let mut ends = self.expected_ends(&free_amounts, now).into_iter();
        while fitting_tasks < tasks {
            let (end, worker, released) = ends.next()?;
            let free = free_amounts.get_mut(worker)?;
            let before = tasks_that_fit(free, demand);
            *free += released;
            fitting_tasks += tasks_that_fit(free, demand) - before;
            start = end;
        }
        let workers = free_amounts.iter();
        let workers = workers.filter(|(_, free)| tasks_that_fit(free, demand) > 0);
        Some((workers.map(|(worker, _)| worker).collect(), start))
    }

    /// Returns the free resources of the usable workers whose capacity fits the
    /// demand.
    fn free_on_large_workers(
        &self,
        demand: &ResourceAmount,
    ) -> SecondaryMap<WorkerKey, ResourceAmount> {
        let large = self.workers.iter().filter(|(_, state)| {
            state.readiness == WorkerReadiness::Usable && demand.fits_within(&state.capacity)
        });
        large.map(|(key, state)| (key, state.free())).collect()
    }

    /// Returns the expected end, worker and demand of the tasks on `workers`, in
    /// order of their ends.
    fn expected_ends(
        &self,
        workers: &SecondaryMap<WorkerKey, ResourceAmount>,
        now: MilliTime,
    ) -> Vec<(MilliTime, WorkerKey, ResourceAmount)> {
        let ending = self.placements.iter().filter(|placed| {
            placed.kind != WorkKind::Service && workers.contains_key(placed.worker)
        });
        let mut ends: Vec<_> = ending
            .map(|placed| {
                let end = placed.expected_end.unwrap_or(now + DEFAULT_RUN_TIME);
                let end = if end <= now {
                    now + OVERDUE_RUN_TIME
                } else {
                    end
                };
                (end, placed.worker, placed.demand)
            })
            .collect();
        ends.sort_by_key(|(end, worker, _)| (*end, *worker));
        ends
    }
}

//! The order in which a placement round goes through the waiting jobs.

use pimentochute_base::{MilliSpan, MilliTime, ResourceAmount};

use crate::job::{JobState, RateStatus, TaskPlacement};
use crate::{JobKey, QueueTerms};

use super::WorkCell;
use super::place::total_demand;
use super::scarcity::{RoomPressure, ShareStatus, TeamShares};

/// A job that takes longer than this many times the time allowed by its objective,
/// counted from when it was received, is of no use to its caller any more.
pub(super) const LATE_FACTOR: u64 = 3;

/// By how much the slowest task of a step may exceed the expected time, in percent: tasks of
/// a step differ, and so do workers.
const SPREAD_PERCENT: u64 = 25;

/// The rank of a waiting job; the smallest is placed first. The order of the
/// fields is the order of comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct JobRank {
    rate: RateStatus,
    prospect: JobProspect,
    priority: u32,
    /// `Within` for all while room is not scarce, and for gangs.
    share: ShareStatus,
    received: MilliTime,
    pub(super) key: JobKey,
}

/// Whether a job can still end in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum JobProspect {
    /// It can end within its objective.
    OnTime,
    /// It can end within its objective if all of its tasks take no longer than expected. While
    /// room is not scarce, such jobs count as `OnTime`, and gangs always.
    Tight,
    /// It misses its objective, but can end in time to be of use.
    Late,
    /// It ends too late to be of use, and runs only on what others leave free.
    TooLate,
}

/// The waiting jobs in the order of their ranks.
#[derive(Debug, Default)]
pub(super) struct RankedBacklog {
    pub(super) ranks: Vec<JobRank>,
    pub(super) pressure: RoomPressure,
    /// The teams with waiting work that use more than their share; 0 while room is not scarce.
    pub(super) teams_above: usize,
}

impl JobRank {
    /// Returns whether the job can end within its objective, and its team submits
    /// within its rate.
    pub(super) fn is_on_time(&self) -> bool {
        self.rate == RateStatus::Within && self.prospect <= JobProspect::Tight
    }

    /// Returns whether the job can end within its objective even if a task takes longer than
    /// expected.
    pub(super) fn is_surely_on_time(&self) -> bool {
        self.prospect == JobProspect::OnTime
    }

    /// Returns whether the team of the job submits within its rate.
    pub(super) const fn rate(&self) -> RateStatus {
        self.rate
    }

    /// Returns the priority of the job's queue.
    pub(super) const fn priority(&self) -> u32 {
        self.priority
    }
}

impl WorkCell {
    /// Returns the jobs with a task that may start, in the order of their ranks.
    pub(super) fn ranked_backlog(&self) -> RankedBacklog {
        let mut pressure = RoomPressure {
            free: self.total_free(),
            ..RoomPressure::default()
        };
        let mut ranks = Vec::with_capacity(self.backlog.len());
        for key in &self.backlog {
            if self.ready_steps(*key).next().is_none() {
                continue;
            }
            let rank = self.rank_of(*key);
            if rank.is_on_time() {
                pressure.on_time_demand += self.ready_demand(*key);
            }
            ranks.push(rank);
        }
        let is_scarce = pressure.is_scarce();
        let shares = if is_scarce {
            self.team_shares(&ranks)
        } else {
            TeamShares::default()
        };
        for rank in &mut ranks {
            // A gang keeps its place: another one in front would take over the workers that it
            // keeps free, and its tickets would expire.
            if is_scarce && !self.waits_as_gang(rank.key) {
                let team = self.jobs[rank.key].submission.team.as_deref();
                rank.share = shares.status(team);
            } else if rank.prospect == JobProspect::Tight {
                rank.prospect = JobProspect::OnTime;
            }
        }
        let teams_above = shares.above();
        ranks.sort_unstable();
        RankedBacklog {
            ranks,
            pressure,
            teams_above,
        }
    }

    fn rank_of(&self, key: JobKey) -> JobRank {
        let job = &self.jobs[key];
        let terms = self.terms_of(job);
        JobRank {
            rate: job.rate,
            prospect: self.prospect_of(job, &terms),
            priority: terms.priority,
            share: ShareStatus::Within,
            received: job.submission.received,
            key,
        }
    }

    fn prospect_of(&self, job: &JobState, terms: &QueueTerms) -> JobProspect {
        if job.submission.spec.schedule.is_some() {
            return JobProspect::OnTime;
        }
        let objective = self.objective_of(job, terms);
        let left = self.remaining_span(job);
        let spread = MilliSpan::new(left.as_millis() * SPREAD_PERCENT / 100);
        let end = self.unix_now + left;
        if end + spread <= objective {
            JobProspect::OnTime
        } else if end <= objective {
            JobProspect::Tight
        } else if end <= latest_use(job, objective) {
            JobProspect::Late
        } else {
            JobProspect::TooLate
        }
    }

    /// Returns the time by which a job should end, since the Unix epoch.
    pub(super) fn objective_of(&self, job: &JobState, terms: &QueueTerms) -> MilliTime {
        let span = |index| self.expected_span(job, index);
        job.objective(job.submission.spec.longest_chain(span), terms)
    }

    /// Returns the expected time that a job still takes if all of its tasks start as soon as
    /// their turn comes.
    pub(super) fn remaining_span(&self, job: &JobState) -> MilliSpan {
        let span = |index| self.remaining_step_span(job, index);
        job.submission.spec.longest_chain(span)
    }

    /// Returns the expected time that a step still takes.
    fn remaining_step_span(&self, job: &JobState, index: usize) -> MilliSpan {
        let state = &job.steps[index];
        if state.unfinished == 0 {
            return MilliSpan::ZERO;
        }
        let span = self.expected_span(job, index);
        if state.waiting > 0 {
            return span;
        }
        let runs = job.task_range(index).filter_map(|task| {
            let TaskPlacement::Placed(worker_key) = job.tasks[task].placement else {
                return None;
            };
            let key = self.job_keys.get(&job.code)?;
            self.workers[worker_key].runs.get(&(*key, task))
        });
        let least = runs.map(|run| run.percent).min().unwrap_or_default();
        let left = 100 - u64::from(least.min(100));
        MilliSpan::new(span.as_millis() * left / 100)
    }

    /// Returns the demand of the waiting tasks of a job whose turn has come, without those that
    /// run until the job is cancelled or use what others leave.
    fn ready_demand(&self, key: JobKey) -> ResourceAmount {
        let job = &self.jobs[key];
        let steps = self.ready_steps(key).filter(|index| {
            let spec = job.step_spec(*index);
            !spec.is_service && !spec.uses_leftover_cpu
        });
        let demands =
            steps.map(|index| total_demand(&job.step_spec(index).demand, job.steps[index].waiting));
        demands.sum()
    }

    /// Returns whether a gang of a job waits whose turn has come.
    fn waits_as_gang(&self, key: JobKey) -> bool {
        let job = &self.jobs[key];
        self.ready_steps(key)
            .any(|index| job.step_spec(index).is_gang)
    }

    /// Returns the steps with waiting tasks whose turn has come.
    pub(super) fn ready_steps(&self, key: JobKey) -> impl Iterator<Item = usize> {
        let job = &self.jobs[key];
        let steps = job.steps.iter().enumerate();
        steps
            .filter(|(index, state)| state.waiting > 0 && job.is_ready(*index, self.unix_now))
            .map(|(index, _)| index)
    }

    /// Returns what the teams of `ranks` use.
    fn team_shares(&self, ranks: &[JobRank]) -> TeamShares<'_> {
        let capacity = self.total_capacity();
        let mut shares = TeamShares::default();
        for rank in ranks {
            let Some(team) = self.jobs[rank.key].submission.team.as_deref() else {
                continue;
            };
            if shares.contains(team) {
                continue;
            }
            let weight = self.team_weight(team);
            let placed = self.teams.get(team).map(|state| state.placed_demand);
            let used_ppm = placed.unwrap_or_default().dominant_share_ppm(&capacity);
            shares.add(team, used_ppm, weight);
        }
        shares
    }
}

/// Returns the time after which the end of a job is of no use to its caller.
pub(super) fn latest_use(job: &JobState, objective: MilliTime) -> MilliTime {
    let received = job.submission.received;
    let allowed = objective.since(received).as_millis();
    received + MilliSpan::new(allowed.saturating_mul(LATE_FACTOR))
}

//! Places suspected tasks, which have to start apart from other suspects.
//!
//! A suspect starts on a calm worker: all other runs there have shown that they do no
//! harm. This is a trial, and may crash the worker. While suspects wait, some workers take
//! no other tasks, so that they run empty and a crash there harms nobody. Their number
//! follows the room that is free, and the suspects take their turns in an order of their
//! own: the rank of a job falls with its age, and the newest suspects would go first.

use std::collections::BTreeMap;

use pimentochute_base::MilliTime;

use crate::{JobKey, QueueTerms, StepSpec, WorkerKey};

use super::WorkCell;
use super::crashes::TrialUsage;
use super::place::{RoundPlan, StepWorker, matches_step};

/// The turn of a step with waiting suspects; the smallest comes first. The order of the
/// fields is the order of comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TrialTurn {
    /// The trials of all its suspects probably end with a crash, which keeps a worker
    /// for seconds.
    is_likely_guilty: bool,
    /// When the first of the suspects lost its worker.
    lost_at: MilliTime,
    job_key: JobKey,
    step_index: usize,
}

/// A worker that may be kept for a suspect; the smallest is the best. The order of the
/// fields is the order of comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TrialCandidate {
    has_runs: bool,
    standing: CandidateStanding,
    runs: usize,
    worker_key: WorkerKey,
}

/// What a candidate was used for in the last placement round.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CandidateStanding {
    /// It was kept for suspects.
    Kept,
    /// It took any tasks.
    Open,
    /// It was reserved for a gang.
    Reserved,
}

impl WorkCell {
    /// Returns the suspected tasks of a step that wait, in the order of their turns.
    pub(super) fn waiting_suspects(&self, job_key: JobKey, step_index: usize) -> Vec<usize> {
        if !self.suspect_jobs.contains(&job_key) {
            return Vec::new();
        }
        let job = &self.jobs[job_key];
        let range = job.task_range(step_index);
        let mut suspects: Vec<_> = range
            .filter(|index| job.tasks[*index].is_waiting_suspect())
            .collect();
        suspects.sort_by_key(|index| job.tasks[*index].crashes.sole_losses > 0);
        suspects
    }

    /// Starts trials of waiting suspects that are not members of gangs, as far as there
    /// are workers for them.
    pub(super) fn place_suspects(&mut self, plan: &mut RoundPlan) {
        let (jobs, backlog) = (&self.jobs, &self.backlog);
        self.suspect_jobs.retain(|job_key| {
            let job = jobs.get(*job_key);
            let is_open = job.is_some_and(|job| job.end.is_none());
            is_open && (backlog.contains(job_key) || jobs[*job_key].has_suspects())
        });
        if self.suspect_jobs.is_empty() {
            self.trial_workers.clear();
            return;
        }
        let usage = self.trial_usage();
        let turns = self.trial_turns(&usage);
        self.choose_trial_workers(&turns, &usage);
        let mut spare = usage.spare();
        for turn in turns {
            if spare == 0 {
                return;
            }
            spare -= self.place_step_suspects(turn, spare, &usage, plan);
        }
    }

    /// Returns the steps that are not gangs and have suspects which may start, in order.
    fn trial_turns(&self, usage: &TrialUsage) -> Vec<TrialTurn> {
        let mut turns = Vec::new();
        for job_key in self.suspect_jobs.intersection(&self.backlog) {
            let job = &self.jobs[*job_key];
            for step_index in 0..job.steps.len() {
                let spec = job.step_spec(step_index);
                let team = job.submission.team.as_deref();
                if spec.is_gang
                    || !job.is_ready(step_index, self.unix_now)
                    || !self.fits_team_cap(team, &spec.demand)
                {
                    continue;
                }
                let mut suspects = self.waiting_suspects(*job_key, step_index);
                if !usage.has_room_for_long() {
                    suspects.retain(|index| !job.tasks[*index].crashes.is_long_suspect());
                }
                let tasks = suspects.iter().map(|index| &job.tasks[*index]);
                let Some(lost_at) = tasks.clone().map(|task| task.lost_at).min() else {
                    continue;
                };
                turns.push(TrialTurn {
                    is_likely_guilty: tasks.clone().all(|task| task.crashes.sole_losses > 0),
                    lost_at,
                    job_key: *job_key,
                    step_index,
                });
            }
        }
        turns.sort_unstable();
        turns
    }

    /// Chooses the workers that take no tasks but suspects in this round: for each step in
    /// turn one on which it may run, preferably one that has no runs or runs empty already.
    fn choose_trial_workers(&mut self, turns: &[TrialTurn], usage: &TrialUsage) {
        let wanted = usage.kept_workers();
        let candidates = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.apart_job.is_none() && self.takes_runs(worker));
        let mut candidates: Vec<_> = candidates
            .map(|(worker_key, worker)| TrialCandidate {
                has_runs: !worker.runs.is_empty(),
                standing: self.candidate_standing(worker_key),
                runs: worker.runs.len(),
                worker_key,
            })
            .collect();
        candidates.sort_unstable();
        let mut chosen = BTreeMap::new();
        for turn in turns {
            if chosen.len() >= wanted || candidates.is_empty() {
                break;
            }
            let best = candidates
                .iter()
                .position(|candidate| self.may_run_step(*turn, candidate.worker_key));
            if let Some(position) = best {
                let worker_key = candidates.remove(position).worker_key;
                let chosen_at = self.trial_workers.get(&worker_key);
                chosen.insert(worker_key, *chosen_at.unwrap_or(&self.now));
            }
        }
        self.trial_workers = chosen;
    }

    /// Returns whether a step may run on a worker once it has no other runs, as far as the
    /// advice so far tells.
    fn may_run_step(&self, turn: TrialTurn, worker_key: WorkerKey) -> bool {
        let job = &self.jobs[turn.job_key];
        let terms = self.terms_of(job);
        let spec = job.step_spec(turn.step_index);
        let worker = &self.workers[worker_key];
        let advice = &job.steps[turn.step_index].advice;
        matches_step(worker, &terms, spec)
            && spec.demand.fits_within(&worker.report.capacity)
            && (terms.advice.is_none()
                || !advice.answered.contains(&worker_key)
                || advice.eligible.iter().any(|row| row.worker == worker_key))
    }

    fn candidate_standing(&self, worker_key: WorkerKey) -> CandidateStanding {
        if self.trial_workers.contains_key(&worker_key) {
            CandidateStanding::Kept
        } else if self.reserved_workers.contains(&worker_key) {
            CandidateStanding::Reserved
        } else {
            CandidateStanding::Open
        }
    }

    /// Starts trials of the suspects of a step on up to `spare` further workers, and
    /// requests the advice that they lack. Returns how many workers that uses up.
    fn place_step_suspects(
        &mut self,
        turn: TrialTurn,
        spare: usize,
        usage: &TrialUsage,
        plan: &mut RoundPlan,
    ) -> usize {
        let (job_key, step_index) = (turn.job_key, turn.step_index);
        let spec = self.jobs[job_key].step_spec(step_index).clone();
        let terms = self.terms_of(&self.jobs[job_key]);
        let team = self.jobs[job_key].submission.team.clone();
        let mut rows = self.step_workers(job_key, step_index, &terms, &spec, plan);
        let mut used = 0;
        for index in self.waiting_suspects(job_key, step_index) {
            let is_long = self.jobs[job_key].tasks[index].crashes.is_long_suspect();
            if is_long && !usage.has_room_for_long() {
                continue;
            }
            let counted = plan.with_cap_hold(team.as_deref(), spec.demand);
            if !self.fits_team_cap(team.as_deref(), &counted) {
                return used;
            }
            let Some(row) = self.best_trial_row(job_key, index, &mut rows, used < spare) else {
                let requested = used < spare
                    && self.request_for_suspect(job_key, step_index, index, &terms, &spec, plan);
                return used + usize::from(requested);
            };
            row.slots -= 1;
            let worker_key = row.worker_key;
            used += usize::from(!self.is_apart_for(job_key, worker_key));
            let run = self.jobs[job_key].tasks[index].run + 1;
            self.place_task_run(job_key, index, worker_key, run, spec.demand);
        }
        used
    }

    /// Returns the best worker for the trial of a task: one on which its job is in a trial
    /// already, or else one with few runs if a further one `may_be_used`.
    fn best_trial_row<'a>(
        &self,
        job_key: JobKey,
        index: usize,
        rows: &'a mut [StepWorker],
        may_be_used: bool,
    ) -> Option<&'a mut StepWorker> {
        let failed_on = self.jobs[job_key].tasks[index].failed_on;
        let usable = rows.iter_mut().filter(|row| {
            row.slots > 0
                && row.may_start
                && (may_be_used || self.is_apart_for(job_key, row.worker_key))
                && self.is_worker_for_suspect(job_key, index, row.worker_key)
        });
        usable.min_by_key(|row| {
            let is_own = self.is_apart_for(job_key, row.worker_key);
            let runs = self.workers[row.worker_key].runs.len();
            (failed_on == Some(row.worker_key), !is_own, runs)
        })
    }

    /// Requests advice for a suspect: again about the eligible workers on which it could
    /// start now and whose tickets have expired, or else about new ones, also those that
    /// run empty. Returns whether a request is in flight.
    fn request_for_suspect(
        &mut self,
        job_key: JobKey,
        step_index: usize,
        index: usize,
        terms: &QueueTerms,
        spec: &StepSpec,
        plan: &RoundPlan,
    ) -> bool {
        let advice = &self.jobs[job_key].steps[step_index].advice;
        if advice.is_pending() {
            return true;
        }
        if advice.retry_at > self.now || !self.may_request(terms, plan) {
            return false;
        }
        let is_usable = |worker_key: &WorkerKey| {
            self.workers.get(*worker_key).is_some_and(|worker| {
                matches_step(worker, terms, spec)
                    && self.takes_runs_of(job_key, worker)
                    && spec.demand.fits_within(&worker.free())
                    && self.is_worker_for_suspect(job_key, index, *worker_key)
            })
        };
        let expired = advice.eligible.iter();
        let expired = expired.filter(|row| row.valid_until <= self.now);
        let known: Vec<_> = expired.map(|row| row.worker).filter(is_usable).collect();
        let requested = if known.is_empty() {
            let rate = self.eligibility_rate(&self.jobs[job_key].submission.queue);
            let wanted = usize::try_from(rate.requested_for_tasks(1)).unwrap_or(usize::MAX);
            let new = self.workers.iter().filter(|(worker_key, worker)| {
                let is_kept = self.trial_workers.contains_key(worker_key);
                !advice.answered.contains(worker_key)
                    && matches_step(worker, terms, spec)
                    && (is_kept || is_usable(worker_key))
            });
            new.map(|(worker_key, _)| worker_key).take(wanted).collect()
        } else {
            known
        };
        !requested.is_empty() && self.request_advice(job_key, step_index, terms, &requested)
    }

    /// Returns the workers of a gang with suspected members: those for the suspects, and
    /// the others; `None` if too few are calm.
    ///
    /// The suspects of a gang can only be tried all at once, so that one gang at a time may
    /// use more workers than are spare.
    pub(super) fn split_gang_workers(
        &self,
        job_key: JobKey,
        suspects: usize,
        rows: &[StepWorker],
    ) -> Option<(Vec<StepWorker>, Vec<StepWorker>)> {
        let (mut calm, mut rest): (Vec<_>, Vec<_>) = rows
            .iter()
            .copied()
            .partition(|row| self.is_calm_for(job_key, &self.workers[row.worker_key]));
        calm.sort_by_key(|row| self.workers[row.worker_key].runs.len());
        let spare = if self.has_gang_in_trial() {
            self.trial_usage().spare()
        } else {
            usize::MAX
        };
        let mut apart: Vec<StepWorker> = Vec::new();
        let mut slots = 0;
        for row in calm {
            if slots < suspects && apart.len() < spare {
                slots += row.slots as usize;
                apart.push(row);
            } else {
                rest.push(row);
            }
        }
        (slots >= suspects).then_some((apart, rest))
    }

    fn has_gang_in_trial(&self) -> bool {
        let mut in_trial = self
            .workers
            .values()
            .filter(|worker| worker.has_open_trial());
        in_trial.any(|worker| {
            let mut apart = worker.runs.iter().filter(|(_, run)| run.is_apart);
            apart.any(|((job_key, index), _)| {
                let job = &self.jobs[*job_key];
                job.step_spec(job.step_index(job.name_of(*index))).is_gang
            })
        })
    }

    /// Returns whether a suspected task of a job starts on a worker.
    fn is_apart_for(&self, job_key: JobKey, worker_key: WorkerKey) -> bool {
        self.workers[worker_key].apart_job == Some(job_key)
    }
}

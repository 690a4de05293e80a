//! Places suspected tasks, which have to run apart from other jobs.
//!
//! Where all workers have runs of other jobs, the one with the least committed is kept
//! for the task until those runs have ended. Only a part of the workers is used in this
//! way at a time, since each suspect may crash the one that it gets.

use std::cmp::Reverse;

use crate::{JobKey, QueueTerms, StepSpec, WorkerKey};

use super::WorkCell;
use super::place::{RoundPlan, StepWorker, matches_step};

impl WorkCell {
    /// Returns the suspected tasks of a step that wait.
    pub(super) fn waiting_suspects(&self, job_key: JobKey, step_index: usize) -> Vec<usize> {
        let job = &self.jobs[job_key];
        let range = job.task_range(step_index);
        range
            .filter(|index| job.tasks[*index].is_waiting_suspect())
            .collect()
    }

    /// Places suspected tasks of a step that is not a gang on workers without runs of
    /// other jobs, as far as there are any. Otherwise keeps one for them.
    pub(super) fn place_suspects(
        &mut self,
        job_key: JobKey,
        suspects: &[usize],
        spec: &StepSpec,
        rows: &mut [StepWorker],
        plan: &RoundPlan,
    ) {
        let team = self.jobs[job_key].submission.team.clone();
        let mut spare = self.spare_for_suspects();
        for index in suspects {
            let counted = plan.with_cap_hold(team.as_deref(), spec.demand);
            if !self.fits_team_cap(team.as_deref(), &counted) {
                return;
            }
            let failed_on = self.jobs[job_key].tasks[*index].failed_on;
            let usable = rows.iter_mut().filter(|row| {
                let worker = &self.workers[row.worker_key];
                let is_own = self.is_kept_for(job_key, row.worker_key);
                row.slots > 0
                    && row.may_start
                    && worker.is_vacant_for(job_key)
                    && (is_own || spare > 0)
            });
            let best = usable.min_by_key(|row| {
                let is_own = self.is_kept_for(job_key, row.worker_key);
                (failed_on == Some(row.worker_key), Reverse(is_own))
            });
            let Some(row) = best else {
                self.keep_worker(job_key, rows, spare);
                return;
            };
            row.slots -= 1;
            let worker_key = row.worker_key;
            if !self.is_kept_for(job_key, worker_key) {
                spare -= 1;
            }
            self.kept_workers.remove(&worker_key);
            let run = self.jobs[job_key].tasks[*index].run + 1;
            self.place_task_run(job_key, *index, worker_key, run, spec.demand);
        }
    }

    /// Returns the workers of a gang with suspected members: those for the suspects, and
    /// the others. Returns `None`, and keeps workers for the suspects, if there are not
    /// enough without runs of other jobs.
    pub(super) fn split_gang_workers(
        &mut self,
        job_key: JobKey,
        suspects: usize,
        rows: &[StepWorker],
    ) -> Option<(Vec<StepWorker>, Vec<StepWorker>)> {
        let (mut vacant, others): (Vec<_>, Vec<_>) = rows.iter().copied().partition(|row| {
            row.slots > 0 && row.may_start && {
                let worker = &self.workers[row.worker_key];
                worker.is_vacant_for(job_key)
            }
        });
        vacant.sort_by_key(|row| {
            let is_own = self.is_kept_for(job_key, row.worker_key);
            (Reverse(is_own), Reverse(row.slots))
        });
        let spare = self.spare_for_suspects();
        let mut apart: Vec<StepWorker> = Vec::new();
        let mut rest = others;
        let (mut slots, mut used) = (0, 0);
        for row in vacant {
            let is_own = self.is_kept_for(job_key, row.worker_key);
            if slots < suspects && (is_own || used < spare) {
                slots += row.slots as usize;
                used += usize::from(!is_own);
                apart.push(row);
            } else {
                rest.push(row);
            }
        }
        if slots < suspects {
            self.keep_worker(job_key, rows, spare);
            return None;
        }
        for row in &apart {
            self.kept_workers.remove(&row.worker_key);
        }
        Some((apart, rest))
    }

    /// Returns whether a worker is kept for a suspected task of a job, or has one.
    pub(super) fn is_kept_for(&self, job_key: JobKey, worker_key: WorkerKey) -> bool {
        self.kept_workers.get(&worker_key) == Some(&job_key)
            || self.workers[worker_key].apart_job == Some(job_key)
    }

    /// Keeps the worker with the least committed for a suspected task, unless one is
    /// kept for its job already.
    fn keep_worker(&mut self, job_key: JobKey, rows: &[StepWorker], spare: usize) {
        let has_own = self.kept_workers.values().any(|kept| *kept == job_key);
        if has_own || spare == 0 {
            return;
        }
        let candidates = rows.iter().filter(|row| {
            let worker = &self.workers[row.worker_key];
            row.max_slots > 0 && self.takes_runs_of(job_key, row.worker_key, worker)
        });
        let best = candidates.min_by_key(|row| self.committed_ppm(row.worker_key));
        let Some(worker_key) = best.map(|row| row.worker_key) else {
            return;
        };
        self.kept_workers.insert(worker_key, job_key);
        let worker = &self.workers[worker_key];
        log::info!(
            worker:% = worker.report.id,
            runs = worker.runs.len(),
            job:% = self.jobs[job_key].code;
            "cell: a worker is kept for a suspected task"
        );
    }

    fn committed_ppm(&self, worker_key: WorkerKey) -> u64 {
        let worker = &self.workers[worker_key];
        worker.committed.dominant_share_ppm(&worker.report.capacity)
    }

    /// Returns the workers that may run a step and about which no advice was received,
    /// those with the least committed first.
    pub(super) fn least_committed(
        &self,
        job_key: JobKey,
        step_index: usize,
        terms: &QueueTerms,
        spec: &StepSpec,
    ) -> Vec<WorkerKey> {
        let answered = &self.jobs[job_key].steps[step_index].advice.answered;
        let new = self.workers.iter().filter(|(worker_key, worker)| {
            matches_step(worker, terms, spec)
                && self.takes_runs_of(job_key, *worker_key, worker)
                && !answered.contains(worker_key)
        });
        let mut new: Vec<_> = new.map(|(worker_key, _)| worker_key).collect();
        new.sort_by_cached_key(|worker_key| self.committed_ppm(*worker_key));
        new
    }
}

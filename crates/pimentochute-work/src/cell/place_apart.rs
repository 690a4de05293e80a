//! Places suspected tasks, which have to start apart from other suspects.
//!
//! A suspect starts on a calm worker: all other runs there have shown that they do no
//! harm. Only a part of the workers is used in this way at a time, since each suspect may
//! crash the one that it gets.

use crate::{JobKey, StepSpec, WorkerKey};

use super::WorkCell;
use super::place::{RoundPlan, StepWorker};

impl WorkCell {
    /// Returns the suspected tasks of a step that wait.
    pub(super) fn waiting_suspects(&self, job_key: JobKey, step_index: usize) -> Vec<usize> {
        let job = &self.jobs[job_key];
        let range = job.task_range(step_index);
        range
            .filter(|index| job.tasks[*index].is_waiting_suspect())
            .collect()
    }

    /// Places suspected tasks of a step that is not a gang on calm workers, as far as
    /// there are any.
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
                row.slots > 0
                    && row.may_start
                    && (spare > 0 || self.is_apart_for(job_key, row.worker_key))
                    && self.is_worker_for_suspect(job_key, *index, &self.workers[row.worker_key])
            });
            let best = usable.min_by_key(|row| {
                let is_own = self.is_apart_for(job_key, row.worker_key);
                let runs = self.workers[row.worker_key].runs.len();
                (failed_on == Some(row.worker_key), !is_own, runs)
            });
            let Some(row) = best else { return };
            row.slots -= 1;
            let worker_key = row.worker_key;
            spare -= usize::from(!self.is_apart_for(job_key, worker_key));
            let run = self.jobs[job_key].tasks[*index].run + 1;
            self.place_task_run(job_key, *index, worker_key, run, spec.demand);
        }
    }

    /// Returns the workers of a gang with suspected members: those for the suspects, and
    /// the others; `None` if too few are calm.
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
        let spare = self.spare_for_suspects();
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

    /// Returns whether a suspected task of a job starts on a worker.
    fn is_apart_for(&self, job_key: JobKey, worker_key: WorkerKey) -> bool {
        self.workers[worker_key].apart_job == Some(job_key)
    }
}

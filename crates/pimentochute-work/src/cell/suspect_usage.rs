//! Counts the suspected tasks that wait, which tells later why they did.

use strum::{EnumCount, IntoStaticStr, VariantArray};

use crate::JobKey;

use super::WorkCell;
use super::place::{RoundPlan, StepWorker};

/// Why a suspected task waits. The first reason in this order that applies counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
enum SuspectWait {
    /// The tasks of an earlier step are not done, or its time has not come.
    NotReady,
    /// The team would exceed its cap.
    TeamCap,
    /// No worker that may run the step has enough free resources.
    Room,
    /// Such workers have, but other suspected tasks are starting on as many workers as
    /// are used for that at a time.
    Trials,
    /// The workers with room have runs that may be harmful themselves.
    CalmWorkers,
    /// Of the calm workers with room, none has a valid ticket, or the next round places
    /// the task.
    Tickets,
}

impl WorkCell {
    /// Returns the number of suspected tasks that waited when the usage was last logged.
    #[must_use]
    pub const fn suspects_waiting(&self) -> usize {
        self.suspects_waiting
    }

    /// Logs how many suspected tasks wait, and why, if there are any.
    pub(super) fn log_suspects(&mut self) {
        let mut waits = [0_usize; SuspectWait::COUNT];
        let mut oldest = self.now;
        for job_key in &self.backlog {
            let job = &self.jobs[*job_key];
            for step_index in 0..job.steps.len() {
                let suspects = self.waiting_suspects(*job_key, step_index);
                if let Some(first) = suspects.first() {
                    waits[self.wait_of_suspect(*job_key, step_index, *first) as usize] +=
                        suspects.len();
                }
                for index in suspects {
                    oldest = oldest.min(job.tasks[index].lost_at);
                }
            }
        }
        let waiting: usize = waits.iter().sum();
        self.suspects_waiting = waiting;
        let usage = self.trial_usage();
        if waiting == 0 && usage.apart == 0 {
            return;
        }
        let reasons = SuspectWait::VARIANTS.iter().map(|wait| {
            let name: &str = wait.into();
            format!("{name}={}", waits[*wait as usize])
        });
        log::info!(
            waiting,
            oldest:% = self.now.since(oldest),
            reasons = reasons.collect::<Vec<_>>().join(" "),
            apart = usage.apart,
            silent = usage.silent,
            on_time_steps = self.on_time_backlog,
            limit = usage.limit(),
            chosen = self.trial_workers.len(),
            vacant = usage.vacant,
            calm = self.calm_workers();
            "cell: suspects"
        );
    }

    fn wait_of_suspect(&self, job_key: JobKey, step_index: usize, index: usize) -> SuspectWait {
        let job = &self.jobs[job_key];
        if !job.is_ready(step_index, self.unix_now) {
            return SuspectWait::NotReady;
        }
        let spec = job.step_spec(step_index);
        let team = job.submission.team.as_deref();
        if !self.fits_team_cap(team, &spec.demand) {
            return SuspectWait::TeamCap;
        }
        let terms = self.terms_of(job);
        let rows = self.step_workers(job_key, step_index, &terms, spec, &RoundPlan::default());
        let mut rows = rows.into_iter().filter(|row| row.slots > 0).peekable();
        if rows.peek().is_none() {
            return SuspectWait::Room;
        }
        if self.trial_usage().spare() == 0 {
            return SuspectWait::Trials;
        }
        let is_calm = |row: &StepWorker| self.is_worker_for_suspect(job_key, index, row.worker_key);
        if rows.any(|row| is_calm(&row)) {
            SuspectWait::Tickets
        } else {
            SuspectWait::CalmWorkers
        }
    }

    /// Returns the number of workers that take runs and on which a suspected task of a
    /// new job could start.
    fn calm_workers(&self) -> usize {
        let workers = self.workers.values().filter(|worker| {
            self.takes_runs(worker)
                && worker.apart_job.is_none()
                && self.is_calm_for(JobKey::default(), worker)
        });
        workers.count()
    }
}

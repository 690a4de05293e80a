//! Evacuated data centres, whose workers get no further runs.
//!
//! The operator's requests are in the log, which the owner's host follows. What runs in an
//! evacuated data centre goes on, and its workers are polled as before.

use std::collections::BTreeSet;

use pimentochute_base::MilliTime;

use crate::decision::CellDecision;
use crate::job::TaskPlacement;
use crate::worker::WorkerState;
use crate::{JobKey, WorkerKey};

use super::WorkCell;

/// What the owner knows about the operator's requests to evacuate data centres.
#[derive(Debug, Default)]
pub(super) struct EvacuationState {
    data_centres: BTreeSet<String>,
    /// The log had no further requests at this time, on the cell's clock.
    confirmed_at: MilliTime,
    /// The last check has found that the confirmation is too old.
    is_overdue: bool,
}

impl EvacuationState {
    /// Returns whether the workers of a data centre get no further runs.
    pub(super) fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre)
    }
}

impl WorkCell {
    /// Sets the data centres that are evacuated. Names that no worker has are allowed: its
    /// workers may appear later.
    pub fn set_evacuated(&mut self, data_centres: &BTreeSet<String>) {
        if self.evacuation.data_centres == *data_centres {
            return;
        }
        for name in data_centres.difference(&self.evacuation.data_centres) {
            let (workers, runs) = self.size_of(name);
            log::warn!(data_centre = name.as_str(), workers, runs; "cell: a data centre is evacuated");
        }
        for name in self.evacuation.data_centres.difference(data_centres) {
            let (workers, runs) = self.size_of(name);
            log::warn!(
                data_centre = name.as_str(), workers, runs;
                "cell: the evacuation of a data centre was taken back"
            );
        }
        self.evacuation.data_centres.clone_from(data_centres);
        for worker in self.workers.values_mut() {
            worker.is_evacuated = self.evacuation.contains(&worker.report.data_centre);
        }
        self.drop_evacuated_claims();
        self.needs_placement = true;
    }

    /// Notes that the set data centres were all that the log named at `confirmed_at`.
    pub fn confirm_evacuations(&mut self, confirmed_at: MilliTime) {
        self.evacuation.confirmed_at = self.evacuation.confirmed_at.max(confirmed_at);
    }

    /// Returns whether the list of evacuated data centres is recent enough to start runs. A
    /// host that the log does not answer may have missed a request.
    pub(super) fn knows_evacuations(&self) -> bool {
        let age = self.now.since(self.evacuation.confirmed_at);
        self.policy
            .evacuation_grace
            .is_none_or(|grace| age <= grace)
    }

    /// Logs when starts begin to wait for the list of evacuated data centres, and when they
    /// continue.
    pub(super) fn log_evacuation_check(&mut self) {
        let is_overdue = !self.knows_evacuations();
        if is_overdue == self.evacuation.is_overdue {
            return;
        }
        self.evacuation.is_overdue = is_overdue;
        let age = self.now.since(self.evacuation.confirmed_at);
        if is_overdue {
            log::warn!(age:%; "cell: nothing starts: the evacuated data centres are not confirmed");
        } else {
            log::info!("cell: the evacuated data centres are confirmed again");
        }
    }

    /// Returns whether a start that has not left is to be withdrawn: its worker is evacuated,
    /// or that of another member of its gang which has not started either. Members that have
    /// started go on, and the others join them.
    pub(super) fn is_start_evacuated(
        &self,
        job_key: JobKey,
        index: usize,
        worker_key: WorkerKey,
    ) -> bool {
        let is_withdrawn = |index: usize, worker_key: WorkerKey| {
            let worker = &self.workers[worker_key];
            let run = worker.runs.get(&(job_key, index));
            worker.is_evacuated && run.is_none_or(|run| run.order_token.is_none())
        };
        let job = &self.jobs[job_key];
        let step_index = job.step_index(job.name_of(index));
        if !job.step_spec(step_index).is_gang {
            return is_withdrawn(index, worker_key);
        }
        job.task_range(step_index)
            .any(|member| match job.tasks[member].placement {
                TaskPlacement::Placed(worker_key) => is_withdrawn(member, worker_key),
                TaskPlacement::Waiting | TaskPlacement::Done => false,
            })
    }

    /// Withdraws a start that has not left; its task waits again.
    pub(super) fn withdraw_start(&mut self, job_key: JobKey, index: usize) {
        self.decisions.add(CellDecision::WithdrawEvacuated);
        self.requeue_run(job_key, index, "its data centre is evacuated");
    }

    /// Returns the number of workers outside the evacuated data centres.
    pub(super) fn open_workers(&self) -> usize {
        let open = self.workers.values().filter(|worker| !worker.is_evacuated);
        open.count()
    }

    /// Frees the claims of gangs to workers that get no further runs.
    fn drop_evacuated_claims(&mut self) {
        let workers = &self.workers;
        let is_open = |worker_key: &WorkerKey| {
            let worker = workers.get(*worker_key);
            worker.is_some_and(|worker| !worker.is_evacuated)
        };
        for job_key in &self.backlog {
            for step in &mut self.jobs[*job_key].steps {
                if let Some(claim) = &mut step.advice.claim {
                    claim.workers.retain(is_open);
                }
            }
        }
    }

    /// Returns the number of workers of a data centre and of the runs that are placed there.
    fn size_of(&self, data_centre: &str) -> (usize, usize) {
        let workers = self
            .workers
            .values()
            .filter(|worker| worker.report.data_centre == data_centre);
        let runs = |worker: &WorkerState| worker.runs.len();
        (workers.clone().count(), workers.map(runs).sum())
    }
}

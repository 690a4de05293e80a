//! Applies the platform's list of workers: new, restarted and absent ones.

use pimentochute_base::MilliTime;

use crate::worker::WorkerState;
use crate::{WorkerKey, WorkerReport};

use super::WorkCell;

impl WorkCell {
    /// Applies a worker's entry in the platform's list.
    pub fn worker_reported(&mut self, report: WorkerReport) {
        let Some(key) = self.worker_keys.get(&report.id).copied() else {
            log::info!(
                worker:% = report.id, pool:% = report.pool, address:% = report.address;
                "cell: a new worker appeared in the platform's list"
            );
            self.log_replaced(&report);
            self.add_worker(report, true);
            self.needs_placement = true;
            return;
        };
        let now = self.now;
        let worker = &mut self.workers[key];
        if report.started_at < worker.report.started_at {
            return;
        }
        let has_restarted = report.started_at > worker.report.started_at;
        let has_moved = report.address != worker.report.address;
        if report.is_draining && !worker.report.is_draining {
            log::info!(worker:% = report.id, runs = worker.runs.len(); "cell: a worker is draining");
        }
        if report.capacity != worker.report.capacity {
            log::info!(
                worker:% = report.id,
                before_millis = worker.report.capacity.cpu_millis,
                capacity_millis = report.capacity.cpu_millis,
                before_mib = worker.report.capacity.memory_mib,
                capacity_mib = report.capacity.memory_mib,
                committed_millis = worker.committed.cpu_millis,
                committed_mib = worker.committed.memory_mib;
                "cell: the capacity of a worker changed"
            );
        }
        worker.in_platform_list = true;
        worker.reported_at = now;
        worker.report = report;
        if has_restarted {
            self.reset_worker(key);
        } else if has_moved {
            let worker = &mut self.workers[key];
            worker.lease.raise_token();
            worker.lease.next_poll_at = now;
        }
        self.needs_placement = true;
    }

    /// Marks a worker as absent from the platform's list. Its state is removed once
    /// it has no runs. The runs of a draining worker that was reported recently are
    /// requeued at once.
    pub fn worker_unlisted(&mut self, id: &str) {
        let Some(key) = self.worker_keys.get(id).copied() else {
            return;
        };
        let worker = &mut self.workers[key];
        if !worker.in_platform_list {
            return;
        }
        worker.in_platform_list = false;
        log::info!(
            worker:% = id,
            runs = worker.runs.len(),
            draining = worker.report.is_draining;
            "cell: a worker left the platform's list"
        );
        let silence = self.now.since(worker.reported_at);
        if worker.report.is_draining && silence < self.policy.clean_leave_timeout {
            self.requeue_runs(key, "its worker has left");
        }
        self.needs_placement = true;
    }

    /// Marks all workers that are not in the complete list `ids` as absent from the
    /// platform's list.
    pub fn unlist_workers_except(&mut self, ids: &std::collections::BTreeSet<String>) {
        let gone: Vec<_> = self
            .worker_keys
            .keys()
            .filter(|id| !ids.contains(*id))
            .cloned()
            .collect();
        for id in gone {
            self.worker_unlisted(&id);
        }
    }

    /// Logs the workers whose address a new worker has. They have ended, and all
    /// their runs with them.
    fn log_replaced(&self, report: &WorkerReport) {
        let now = self.now;
        let replaced = self.workers.values().filter(|worker| {
            worker.report.address == report.address && worker.report.started_at < report.started_at
        });
        for worker in replaced {
            let acknowledged = worker.runs.values().filter_map(|run| run.acknowledged_at);
            let youngest = acknowledged.max().unwrap_or(worker.answered_poll_sent_at);
            log::warn!(
                worker:% = worker.report.id,
                replaced_by:% = report.id,
                address:% = report.address,
                draining = worker.report.is_draining,
                runs = worker.runs.len(),
                silence:% = now.since(worker.answered_poll_sent_at),
                youngest_run:% = now.since(youngest);
                "cell: a worker was replaced at its address"
            );
        }
    }

    /// Returns whether new runs may be placed on a worker.
    pub(super) fn takes_runs(&self, worker: &WorkerState) -> bool {
        worker.takes_runs(self.now, self.start_delay.limit())
    }

    pub(super) fn add_worker(&mut self, report: WorkerReport, in_platform_list: bool) -> WorkerKey {
        let id = report.id.clone();
        let mut worker = WorkerState::new(report, self.first_token, self.inherited_until, self.now);
        worker.in_platform_list = in_platform_list;
        let key = self.workers.insert(worker);
        self.worker_keys.insert(id, key);
        key
    }

    /// Resets what is known of a worker that has restarted. It runs nothing from
    /// before, and the next poll shows which orders reached the new incarnation.
    pub(super) fn reset_worker(&mut self, key: WorkerKey) {
        let worker = &mut self.workers[key];
        log::info!(
            worker:% = worker.report.id, runs = worker.runs.len();
            "cell: a worker has restarted"
        );
        worker.applied_end = 0;
        worker.last_recorded_end = 0;
        worker.failures = 0;
        worker.avoid_until = self.now;
        worker.lease.raise_token();
        worker.lease.clock = None;
        worker.lease.until = MilliTime::ZERO;
        // An earlier start may have reached the new incarnation. Its clock
        // starts anew, so it may have accepted a lease of the maximum length.
        let longest = self.policy.lease.stretched(self.policy.lease.max_lease);
        worker.lease.untracked_lease_until = self.now + longest;
        worker.lease.next_poll_at = self.now;
        for job in self.jobs.values_mut() {
            for step in &mut job.steps {
                step.advice.forget(key);
            }
        }
    }

    /// Removes the workers that are absent from the platform's list and have no
    /// runs.
    pub(super) fn remove_departed(&mut self) {
        let gone: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                !worker.in_platform_list && worker.runs.is_empty() && !worker.lease.is_polling
            })
            .map(|(key, worker)| (key, worker.report.id.clone()))
            .collect();
        for (key, id) in gone {
            if let Some(worker) = self.workers.remove(key) {
                self.first_token = self.first_token.max(worker.lease.token + 1);
            }
            self.worker_keys.remove(&id);
        }
    }
}

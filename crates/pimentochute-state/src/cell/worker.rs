//! Workers: registration, loss, health and committed resources.

use std::collections::BTreeSet;

use pimentochute_base::{
    AttemptRef, EpochNumber, HostName, JobId, MilliTime, RackName, ResourceAmount,
    WorkerIncarnation, WorkerName,
};
use smallvec::SmallVec;

use super::limits::{MAX_FAILED_JOBS, MAX_LOST_WORKERS, MAX_PAST_INCARNATIONS, MAX_WORKERS};
use super::replica::CellReplica;
use crate::{CellEffect, EndReason, InvalidReason, JobTransition, WorkerHealth};

/// A worker of the data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerState {
    /// The worker's name.
    pub name: WorkerName,
    /// The incarnation of the worker's process.
    pub incarnation: WorkerIncarnation,
    /// The epoch of the last recorded control of `incarnation`; only increases
    /// for the same incarnation.
    pub epoch: EpochNumber,
    /// The host that recorded `epoch`.
    pub manager: HostName,
    /// The rack that the worker is in.
    pub rack: RackName,
    /// The worker's total resources.
    pub capacity: ResourceAmount,
    /// The sum of the demands of `placements`. It exceeds `capacity` only after
    /// the capacity shrank, and does not grow until it fits again.
    pub committed: ResourceAmount,
    /// Whether the worker may be given tasks.
    pub health: WorkerHealth,
    /// Whether the worker was declared lost. A lost worker has no placements.
    pub lost: bool,
    /// The live attempts on `incarnation`.
    pub placements: BTreeSet<AttemptRef>,
    /// The distinct jobs that failed on the worker since its last success, oldest
    /// first; at most [`MAX_FAILED_JOBS`].
    pub failed_jobs: SmallVec<[JobId; MAX_FAILED_JOBS]>,
    /// Earlier incarnations, oldest first; at most [`MAX_PAST_INCARNATIONS`].
    pub past: SmallVec<[WorkerIncarnation; 1]>,
}

/// An incarnation of a worker and the epoch of the control of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ControlEpoch {
    pub(super) incarnation: WorkerIncarnation,
    pub(super) epoch: EpochNumber,
}

/// The content of a `worker_seen` record and its writer.
pub(super) struct SeenWorker {
    pub(super) worker: WorkerName,
    pub(super) control: ControlEpoch,
    pub(super) manager: HostName,
    pub(super) rack: RackName,
    pub(super) capacity: ResourceAmount,
}

impl WorkerState {
    /// Returns the resources that are not committed; zero where overcommitted.
    #[must_use]
    pub const fn free(&self) -> ResourceAmount {
        self.capacity.saturating_sub(&self.committed)
    }

    /// Updates `failed_jobs` by the end of an attempt.
    pub(super) fn count_end(&mut self, job: JobId, reason: EndReason) {
        match reason {
            EndReason::Succeeded => self.failed_jobs.clear(),
            EndReason::Failed | EndReason::RefusedByWorker => {
                if !self.failed_jobs.contains(&job) && self.failed_jobs.len() < MAX_FAILED_JOBS {
                    self.failed_jobs.push(job);
                }
            }
            EndReason::Stopped | EndReason::Expired => {}
        }
    }

    fn replace_incarnation(&mut self, incarnation: WorkerIncarnation) {
        if self.past.len() >= MAX_PAST_INCARNATIONS {
            self.past.remove(0);
        }
        self.past.push(self.incarnation);
        self.incarnation = incarnation;
    }
}

impl CellReplica {
    pub(super) fn record_worker(&mut self, seen: SeenWorker) -> Result<CellEffect, InvalidReason> {
        let Some(&slot) = self.worker_slots.get(&seen.worker) else {
            return self.add_worker(seen);
        };
        let name = seen.worker;
        let Some(worker) = self.workers.get(slot) else {
            return Err(InvalidReason::UnknownWorker { worker: name });
        };
        let incarnation = seen.control.incarnation;
        if worker.past.contains(&incarnation) {
            return Err(InvalidReason::OtherIncarnation { worker: name });
        }
        let restarted = worker.incarnation != incarnation;
        if !restarted && seen.control.epoch <= worker.epoch {
            let current = worker.epoch;
            return Err(InvalidReason::StaleControl {
                worker: name,
                current,
            });
        }
        let expired = if restarted {
            self.expire_all(&name, self.latest)
        } else {
            Vec::new()
        };
        self.lost.retain(|lost| *lost != slot);
        if let Some(worker) = self.workers.get_mut(slot) {
            if restarted {
                worker.replace_incarnation(incarnation);
            }
            worker.epoch = seen.control.epoch;
            worker.manager = seen.manager;
            worker.rack = seen.rack;
            worker.capacity = seen.capacity;
            worker.lost = false;
        }
        Ok(CellEffect::WorkerSeen {
            worker: name,
            incarnation,
            expired,
        })
    }

    pub(super) fn lose_worker(
        &mut self,
        name: WorkerName,
        control: ControlEpoch,
        at: MilliTime,
    ) -> Result<CellEffect, InvalidReason> {
        let Some(&slot) = self.worker_slots.get(&name) else {
            return Err(InvalidReason::UnknownWorker { worker: name });
        };
        let worker = self.workers.get(slot);
        if worker.is_none_or(|worker| worker.incarnation != control.incarnation) {
            return Err(InvalidReason::OtherIncarnation { worker: name });
        }
        if let Some(worker) = worker.filter(|worker| worker.epoch != control.epoch) {
            let current = worker.epoch;
            return Err(InvalidReason::StaleControl {
                worker: name,
                current,
            });
        }
        if worker.is_some_and(|worker| worker.lost) {
            return Err(InvalidReason::WorkerLost { worker: name });
        }
        self.advance_latest(at);
        let expired = self.expire_all(&name, at);
        if let Some(worker) = self.workers.get_mut(slot) {
            worker.lost = true;
        }
        self.lost.push_back(slot);
        self.evict_lost_workers();
        Ok(CellEffect::WorkerLost {
            worker: name,
            expired,
        })
    }

    pub(super) fn set_health(
        &mut self,
        name: WorkerName,
        health: WorkerHealth,
    ) -> Result<CellEffect, InvalidReason> {
        let Some(worker) = self.worker_mut(&name) else {
            return Err(InvalidReason::UnknownWorker { worker: name });
        };
        if worker.health == health {
            return Err(InvalidReason::Unchanged);
        }
        worker.health = health;
        Ok(CellEffect::WorkerHealthSet {
            worker: name,
            health,
        })
    }

    fn add_worker(&mut self, seen: SeenWorker) -> Result<CellEffect, InvalidReason> {
        if self.workers.len() >= MAX_WORKERS {
            return Err(InvalidReason::Full { what: "workers" });
        }
        let (name, incarnation) = (seen.worker, seen.control.incarnation);
        let slot = self.workers.insert(WorkerState {
            name: name.clone(),
            incarnation,
            epoch: seen.control.epoch,
            manager: seen.manager,
            rack: seen.rack,
            capacity: seen.capacity,
            committed: ResourceAmount::ZERO,
            health: WorkerHealth::Healthy,
            lost: false,
            placements: BTreeSet::new(),
            failed_jobs: SmallVec::new(),
            past: SmallVec::new(),
        });
        self.worker_slots.insert(name.clone(), slot);
        Ok(CellEffect::WorkerSeen {
            worker: name,
            incarnation,
            expired: Vec::new(),
        })
    }

    /// Ends all live attempts on a worker as [`EndReason::Expired`].
    fn expire_all(&mut self, name: &WorkerName, at: MilliTime) -> Vec<(AttemptRef, JobTransition)> {
        let attempts: Vec<AttemptRef> = self
            .worker(name)
            .map(|worker| worker.placements.iter().copied().collect())
            .unwrap_or_default();
        let ends = attempts.into_iter().filter_map(|attempt| {
            let end = self.end_attempt(attempt, EndReason::Expired, at).ok()?;
            Some((attempt, end.transition))
        });
        ends.collect()
    }

    fn evict_lost_workers(&mut self) {
        while self.lost.len() > MAX_LOST_WORKERS
            && let Some(slot) = self.lost.pop_front()
        {
            if let Some(worker) = self.workers.remove(slot) {
                self.worker_slots.remove(&worker.name);
            }
        }
    }
}

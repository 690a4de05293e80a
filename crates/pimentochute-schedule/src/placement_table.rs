//! The table of placed tasks, reserved and committed.

use std::collections::HashMap;

use pimentochute_base::{
    AttemptNumber, AttemptRef, JobId, MilliTime, ResourceAmount, TaskIndex, WorkKind,
};
use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;

use crate::WaitingTask;
use crate::team_table::TeamKey;
use crate::worker_table::WorkerKey;

new_key_type! {
    /// A placed task in the table.
    pub(crate) struct PlacedKey;
}

/// A task that uses resources of a worker.
#[derive(Debug)]
pub(crate) struct PlacedTask {
    pub job: JobId,
    pub task: TaskIndex,
    pub attempt: AttemptNumber,
    pub team: TeamKey,
    pub kind: WorkKind,
    pub worker: WorkerKey,
    pub demand: ResourceAmount,
    pub expected_end: Option<MilliTime>,
    /// The probe generation of the worker, if it was not usable when the task was
    /// placed.
    pub probe_generation: Option<u32>,
    /// The task that waits again if the decision is revoked; `None` once
    /// committed.
    pub reserved: Option<Box<WaitingTask>>,
}

/// All placed tasks, with at most one attempt of each task.
#[derive(Debug, Default)]
pub(crate) struct PlacementTable {
    placed: SlotMap<PlacedKey, PlacedTask>,
    by_task: HashMap<(JobId, TaskIndex), PlacedKey>,
    /// The number of tasks of each service per worker; no count is zero.
    spread: HashMap<JobId, SmallVec<[(WorkerKey, u32); 4]>>,
    /// The number of tasks in `placed` that are reserved.
    pub reserved_count: usize,
}

impl PlacementTable {
    /// Returns the placed attempt of a task.
    pub fn find(&self, job: JobId, task: TaskIndex) -> Option<(PlacedKey, &PlacedTask)> {
        let key = *self.by_task.get(&(job, task))?;
        Some((key, self.placed.get(key)?))
    }

    pub fn get_mut(&mut self, key: PlacedKey) -> Option<&mut PlacedTask> {
        self.placed.get_mut(key)
    }

    pub fn iter(&self) -> impl Iterator<Item = &PlacedTask> {
        self.placed.values()
    }

    /// Returns the number of placed tasks.
    pub fn len(&self) -> usize {
        self.placed.len()
    }

    /// Returns the attempts that are reserved.
    pub fn reservations(&self) -> Vec<AttemptRef> {
        let reserved = self.iter().filter(|placed| placed.reserved.is_some());
        reserved
            .map(|placed| AttemptRef {
                job: placed.job,
                task: placed.task,
                attempt: placed.attempt,
            })
            .collect()
    }

    /// Returns the number of tasks of a service per worker; empty for other jobs.
    pub fn spread_of(&self, job: JobId) -> &[(WorkerKey, u32)] {
        self.spread.get(&job).map_or(&[], SmallVec::as_slice)
    }

    /// Adds a task. No attempt of it may be placed.
    pub fn insert(&mut self, placed: PlacedTask) {
        if placed.kind == WorkKind::Service {
            let spread = self.spread.entry(placed.job).or_default();
            match spread.iter_mut().find(|(key, _)| *key == placed.worker) {
                Some((_, count)) => *count += 1,
                None => spread.push((placed.worker, 1)),
            }
        }
        self.reserved_count += usize::from(placed.reserved.is_some());
        let task = (placed.job, placed.task);
        let key = self.placed.insert(placed);
        self.by_task.insert(task, key);
    }

    /// Removes a placed task and returns it.
    pub fn remove(&mut self, key: PlacedKey) -> Option<PlacedTask> {
        let placed = self.placed.remove(key)?;
        self.by_task.remove(&(placed.job, placed.task));
        self.reserved_count -= usize::from(placed.reserved.is_some());
        if placed.kind == WorkKind::Service {
            self.remove_from_spread(placed.job, placed.worker);
        }
        Some(placed)
    }

    fn remove_from_spread(&mut self, job: JobId, worker: WorkerKey) {
        let Some(spread) = self.spread.get_mut(&job) else {
            return;
        };
        if let Some((_, count)) = spread.iter_mut().find(|(key, _)| *key == worker) {
            *count = count.saturating_sub(1);
        }
        spread.retain(|(_, count)| *count > 0);
        if spread.is_empty() {
            self.spread.remove(&job);
        }
    }
}

//! Placements of tasks on workers and starts of attempts.

use std::collections::{BTreeMap, BTreeSet};

use pimentochute_base::{
    AttemptRef, EpochNumber, JobId, MilliTime, ResourceAmount, SliceIndex, TeamName, WorkKind,
    WorkerName,
};

use super::replica::{CellReplica, JobSlot};
use super::{JobState, TaskPhase, WorkerState};
use crate::{CellEffect, InvalidReason, TaskPlacement, WorkerHealth};

/// The load that one record adds to a worker.
#[derive(Default)]
struct WorkerLoad {
    /// The sum of the demands.
    demand: ResourceAmount,
    /// The number of tasks.
    tasks: usize,
}

impl CellReplica {
    pub(super) fn place_tasks(
        &mut self,
        job: JobId,
        (slice, epoch): (SliceIndex, EpochNumber),
        tasks: Vec<TaskPlacement>,
        at: MilliTime,
    ) -> Result<CellEffect, InvalidReason> {
        let slot = self.active_slot(job)?;
        if let Some(state) = self.jobs.get(slot) {
            self.check_ownership(&state.spec.team, slice, epoch)?;
            check_tasks(state, &tasks)?;
            self.check_workers(&state.spec.demand, &tasks)?;
            self.check_allotment(&state.spec.team, tasks.len())?;
        }
        self.advance_latest(at);
        for placement in &tasks {
            self.place_task(slot, placement, at);
        }
        Ok(CellEffect::TasksPlaced { job, tasks })
    }

    pub(super) fn start_task(
        &mut self,
        attempt: AttemptRef,
        at: MilliTime,
    ) -> Result<CellEffect, InvalidReason> {
        let task = self
            .live_task(attempt)
            .ok_or(InvalidReason::AttemptNotLive)?;
        let TaskPhase::Placed {
            attempt: number,
            worker,
            incarnation,
            ..
        } = task.phase.clone()
        else {
            return Err(InvalidReason::AlreadyStarted);
        };
        self.advance_latest(at);
        let slot = self.job_slots.get(&attempt.job).copied();
        let job = slot.and_then(|slot| self.jobs.get_mut(slot));
        if let Some(task) = job.and_then(|job| job.task_mut(attempt.task)) {
            task.phase = TaskPhase::Running {
                attempt: number,
                worker: worker.clone(),
                incarnation,
                at,
            };
        }
        Ok(CellEffect::TaskStarted { attempt, worker })
    }

    fn check_workers(
        &self,
        demand: &ResourceAmount,
        tasks: &[TaskPlacement],
    ) -> Result<(), InvalidReason> {
        let mut loads: BTreeMap<&WorkerName, WorkerLoad> = BTreeMap::new();
        for placement in tasks {
            let name = &placement.worker;
            let Some(worker) = self.worker(name) else {
                let worker = name.clone();
                return Err(InvalidReason::UnknownWorker { worker });
            };
            if worker.incarnation != placement.incarnation {
                let worker = name.clone();
                return Err(InvalidReason::OtherIncarnation { worker });
            }
            let load = loads.entry(name).or_default();
            let sum = load.demand.checked_add(demand);
            let Some(sum) = sum else {
                let worker = name.clone();
                return Err(InvalidReason::InsufficientResources { worker });
            };
            load.demand = sum;
            load.tasks += 1;
        }
        let mut loads = loads.iter();
        loads.try_for_each(|(name, load)| check_worker(self.worker(name), name, load))
    }

    fn check_allotment(&self, team: &TeamName, tasks: usize) -> Result<(), InvalidReason> {
        let (running, allotment) = self
            .team(team)
            .map_or((0, 0), |team| (team.live, team.allotment));
        let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
        if running.checked_add(tasks).is_none_or(|sum| sum > allotment) {
            return Err(InvalidReason::OverAllotment { running, allotment });
        }
        Ok(())
    }

    /// Places a task without any checks.
    fn place_task(&mut self, slot: JobSlot, placement: &TaskPlacement, at: MilliTime) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        let attempt = AttemptRef {
            job: job.spec.id,
            task: placement.task,
            attempt: placement.attempt,
        };
        let (team, demand) = (job.spec.team.clone(), job.spec.demand);
        if let Some(task) = job.task_mut(placement.task) {
            task.phase = TaskPhase::Placed {
                attempt: placement.attempt,
                worker: placement.worker.clone(),
                incarnation: placement.incarnation,
                at,
            };
        }
        job.live += 1;
        self.commit(&placement.worker, &team, attempt, &demand);
    }

    /// Adds a live attempt to the counts of its worker and team.
    pub(super) fn commit(
        &mut self,
        worker: &WorkerName,
        team: &TeamName,
        attempt: AttemptRef,
        demand: &ResourceAmount,
    ) {
        if let Some(worker) = self.worker_mut(worker)
            && let Some(sum) = worker.committed.checked_add(demand)
        {
            worker.committed = sum;
            worker.placements.insert(attempt);
        }
        if let Some(team) = self.teams.get_mut(team) {
            team.live += 1;
        }
    }
}

fn check_tasks(job: &JobState, tasks: &[TaskPlacement]) -> Result<(), InvalidReason> {
    if tasks.is_empty() {
        return Err(InvalidReason::NoTasks);
    }
    let mut named = BTreeSet::new();
    for placement in tasks {
        let task = placement.task;
        if !named.insert(task) {
            return Err(InvalidReason::RepeatedTask { task });
        }
        match job.task(task).map(|task| &task.phase) {
            None => return Err(InvalidReason::UnknownTask { task }),
            Some(TaskPhase::Waiting { next, .. }) if *next == placement.attempt => {}
            Some(TaskPhase::Waiting { .. }) => return Err(InvalidReason::WrongAttempt { task }),
            Some(_) => return Err(InvalidReason::TaskNotWaiting { task }),
        }
    }
    if job.spec.kind == WorkKind::Gang && tasks.len() != job.tasks.len() {
        let tasks = job.spec.tasks;
        return Err(InvalidReason::GangIncomplete { tasks });
    }
    Ok(())
}

fn check_worker(
    worker: Option<&WorkerState>,
    name: &WorkerName,
    load: &WorkerLoad,
) -> Result<(), InvalidReason> {
    let Some(state) = worker else {
        let worker = name.clone();
        return Err(InvalidReason::UnknownWorker { worker });
    };
    let worker = name.clone();
    if state.lost {
        return Err(InvalidReason::WorkerLost { worker });
    }
    match state.health {
        WorkerHealth::Leaving => return Err(InvalidReason::WorkerLeaving { worker }),
        WorkerHealth::Quarantined if state.placements.len() + load.tasks > 1 => {
            return Err(InvalidReason::WorkerQuarantined { worker });
        }
        WorkerHealth::Healthy | WorkerHealth::Quarantined => {}
    }
    let sum = state.committed.checked_add(&load.demand);
    if sum.is_none_or(|sum| !sum.fits_within(&state.capacity)) {
        return Err(InvalidReason::InsufficientResources { worker });
    }
    Ok(())
}

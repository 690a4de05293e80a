//! Keeps the placer in step with the replicated state of the data centre.

use std::collections::BTreeMap;

use pimentochute_base::{
    AttemptRef, JobId, MilliSpan, MilliTime, SliceIndex, TeamName, WorkerName,
};
use pimentochute_schedule::{
    CommittedTask, JobPlacer, PlacementDecision, PlacerSettings, TeamSpec, UnplaceableJob,
    WaitingJob, WaitingTask, WorkerReadiness, WorkerSpec,
};
use pimentochute_state::{
    CellEffect, CellReplica, EndReason, FleetConfig, JobState, RecordOutcome, TaskPhase,
    WorkerHealth, WorkerState,
};

use super::cell::ReplicatedCell;

/// A placer that is updated from the replica.
///
/// Each change only names an object, which is then read from the replica again.
/// A change that is handled late or twice therefore does no harm.
pub(crate) struct PlacementMirror {
    placer: JobPlacer,
    probe_interval: MilliSpan,
    /// Per worker whose last unsuccessful attempt was recent, when it may get a
    /// probe task. Used only while the worker is quarantined.
    next_probe_at: BTreeMap<WorkerName, MilliTime>,
}

impl PlacementMirror {
    /// Creates a mirror without workers, teams or jobs.
    pub(crate) fn new(probe_interval: MilliSpan) -> Self {
        Self {
            placer: JobPlacer::new(PlacerSettings::default()),
            probe_interval,
            next_probe_at: BTreeMap::new(),
        }
    }

    /// Replaces the placer's state by that of the replica.
    pub(crate) fn rebuild(&mut self, cell: &ReplicatedCell, config: &FleetConfig) {
        self.placer = JobPlacer::new(PlacerSettings::default());
        let replica = cell.read();
        for worker in replica.workers() {
            self.set_worker(worker);
            for attempt in replica.placements(&worker.name) {
                self.commit(&replica, attempt);
            }
        }
        self.set_teams_of(&replica, config);
        for slice in (0..replica.slice_count()).map(SliceIndex::new) {
            self.set_slice(cell, &replica, slice);
        }
    }

    /// Updates the shares and allotments of the teams.
    pub(crate) fn set_teams(&mut self, cell: &ReplicatedCell, config: &FleetConfig) {
        self.set_teams_of(&cell.read(), config);
    }

    /// Applies the outcome of a record.
    pub(crate) fn apply(
        &mut self,
        cell: &ReplicatedCell,
        config: &FleetConfig,
        outcome: &RecordOutcome,
        now: MilliTime,
    ) {
        let Ok(effect) = &outcome.effect else { return };
        let replica = cell.read();
        match effect {
            CellEffect::JobSubmitted { job }
            | CellEffect::JobCancelled { job }
            | CellEffect::JobRefused { job } => self.set_job(cell, &replica, *job),
            CellEffect::TasksPlaced { job, tasks } => {
                for placed in tasks {
                    let (task, attempt) = (placed.task, placed.attempt);
                    self.commit(
                        &replica,
                        AttemptRef {
                            job: *job,
                            task,
                            attempt,
                        },
                    );
                }
                self.set_job(cell, &replica, *job);
            }
            CellEffect::TaskStarted { .. } => {}
            CellEffect::TaskEnded {
                attempt,
                worker,
                reason,
                ..
            } => {
                if *reason != EndReason::Succeeded {
                    self.next_probe_at
                        .insert(worker.clone(), now + self.probe_interval);
                }
                self.release(cell, &replica, *attempt);
            }
            CellEffect::WorkerSeen {
                worker, expired, ..
            }
            | CellEffect::WorkerLost { worker, expired } => {
                self.set_worker_by_name(&replica, worker);
                for (attempt, _) in expired {
                    self.release(cell, &replica, *attempt);
                }
            }
            CellEffect::WorkerHealthSet { worker, .. } => self.set_worker_by_name(&replica, worker),
            CellEffect::SliceClaimed { slice, .. } | CellEffect::SliceReleased { slice, .. } => {
                self.set_slice(cell, &replica, *slice);
            }
            CellEffect::AllotmentSet { team, .. } => self.set_team(&replica, config, team),
        }
        for job in outcome.ended.iter().chain(&outcome.evicted) {
            self.placer.remove_job(*job);
        }
    }

    /// Lets quarantined workers take a probe task once their probe interval is
    /// over.
    pub(crate) fn refresh_probes(&mut self, cell: &ReplicatedCell, now: MilliTime) {
        let due: Vec<WorkerName> = self
            .next_probe_at
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(worker, _)| worker.clone())
            .collect();
        for worker in due {
            self.next_probe_at.remove(&worker);
            self.set_worker_by_name(&cell.read(), &worker);
        }
    }

    /// Places at most `max_tasks` tasks.
    pub(crate) fn decide(&mut self, now: MilliTime, max_tasks: usize) -> Vec<PlacementDecision> {
        self.placer.decide(now, max_tasks)
    }

    /// Returns the jobs that cannot run with the current workers and
    /// allotments.
    pub(crate) fn unplaceable_jobs(&self) -> Vec<UnplaceableJob> {
        self.placer.unplaceable_jobs()
    }

    /// Makes a decision final, after its record took effect.
    pub(crate) fn confirm(&mut self, decision: &PlacementDecision) {
        self.placer.confirm(decision);
    }

    /// Revokes a decision and reads its job from the replica again.
    pub(crate) fn revoke(&mut self, cell: &ReplicatedCell, decision: &PlacementDecision) {
        self.placer.revoke(decision);
        self.set_job(cell, &cell.read(), decision.job);
    }

    fn set_slice(&mut self, cell: &ReplicatedCell, replica: &CellReplica, slice: SliceIndex) {
        for job in replica.unended_jobs(slice) {
            self.set_job(cell, replica, job.spec.id);
        }
    }

    fn set_job(&mut self, cell: &ReplicatedCell, replica: &CellReplica, job: JobId) {
        let state = replica
            .job(job)
            .filter(|state| owns_team(cell, replica, &state.spec.team));
        match state.and_then(waiting_job) {
            Some(job) => self.placer.update_job(job),
            None => self.placer.remove_job(job),
        }
    }

    fn release(&mut self, cell: &ReplicatedCell, replica: &CellReplica, attempt: AttemptRef) {
        self.placer.release(attempt);
        self.set_job(cell, replica, attempt.job);
    }

    /// Commits an attempt's resources on its worker, unless it has ended since.
    fn commit(&mut self, replica: &CellReplica, attempt: AttemptRef) {
        let Some(job) = replica.job(attempt.job) else {
            return;
        };
        let Some(task) = replica.live_task(attempt) else {
            return;
        };
        let Some((_, worker, _)) = task.phase.placement() else {
            return;
        };
        self.placer.commit(CommittedTask {
            attempt,
            team: job.spec.team.clone(),
            kind: job.spec.kind,
            worker: worker.clone(),
            demand: job.spec.demand,
            expected_end: job.spec.expected_run.map(|run| replica.latest_time() + run),
        });
    }

    fn set_worker_by_name(&mut self, replica: &CellReplica, name: &WorkerName) {
        match replica.worker(name) {
            Some(worker) => self.set_worker(worker),
            None => self.placer.remove_worker(name),
        }
    }

    fn set_worker(&mut self, worker: &WorkerState) {
        let readiness = match worker.health {
            _ if worker.lost => WorkerReadiness::Unusable,
            WorkerHealth::Healthy => WorkerReadiness::Usable,
            WorkerHealth::Quarantined if !self.next_probe_at.contains_key(&worker.name) => {
                WorkerReadiness::Probe
            }
            WorkerHealth::Quarantined | WorkerHealth::Leaving => WorkerReadiness::Unusable,
        };
        self.placer.set_worker(WorkerSpec {
            name: worker.name.clone(),
            incarnation: worker.incarnation,
            rack: worker.rack.clone(),
            capacity: worker.capacity,
            readiness,
        });
    }

    fn set_teams_of(&mut self, replica: &CellReplica, config: &FleetConfig) {
        for team in config.teams.keys() {
            self.set_team(replica, config, team);
        }
    }

    fn set_team(&mut self, replica: &CellReplica, config: &FleetConfig, team: &TeamName) {
        let share = config.teams.get(team).map_or(1, |limits| limits.share);
        let allotment = replica.team(team).map_or(0, |state| state.allotment);
        self.placer.set_team(TeamSpec {
            name: team.clone(),
            share,
            allotment,
        });
    }
}

fn owns_team(cell: &ReplicatedCell, replica: &CellReplica, team: &TeamName) -> bool {
    let slice = replica.slice(replica.slice_of(team));
    slice.is_some_and(|slice| slice.owner.as_ref() == Some(cell.this_host()))
}

/// Returns the job with its waiting tasks; `None` if no task may be placed.
fn waiting_job(state: &JobState) -> Option<WaitingJob> {
    if state.has_ended() || state.is_stopping() {
        return None;
    }
    let tasks: Vec<WaitingTask> = state
        .indexed_tasks()
        .filter_map(|(task, state)| match &state.phase {
            TaskPhase::Waiting { next, not_before } => Some(WaitingTask {
                task,
                attempt: *next,
                not_before: *not_before,
                avoid: state.failed_on.iter().cloned().collect(),
            }),
            _ => None,
        })
        .collect();
    if tasks.is_empty() {
        return None;
    }
    Some(WaitingJob {
        job: state.spec.id,
        team: state.spec.team.clone(),
        kind: state.spec.kind,
        priority: state.spec.priority,
        demand: state.spec.demand,
        task_count: state.spec.tasks,
        submitted: state.submitted_at,
        expected_run: state.spec.expected_run,
        finish_by: state.spec.finish_by,
        tasks,
    })
}

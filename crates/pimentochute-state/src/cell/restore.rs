//! Restores and validates a data centre's state from a snapshot.

use std::collections::BTreeSet;

use derive_more::{Display, Error};
use pimentochute_base::{AttemptRef, JobId, ResourceAmount, TeamName, WorkKind, WorkerName};
use smallvec::SmallVec;

use super::dedup::SeenTags;
use super::limits::{MAX_ENDED_JOBS, MAX_FAILED_JOBS, MAX_LOST_WORKERS, MAX_PAST_INCARNATIONS};
use super::owner::{SliceState, TeamState};
use super::replica::{CellReplica, JobSlot};
use super::snapshot::{CellSnapshot, JobWire, SliceWire, TeamWire, WorkerWire};
use super::{JobState, TaskPhase, WorkerState};
use crate::EndReason;

/// Why a snapshot of a cell was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SnapshotError {
    /// There are no slices or more than 65,535.
    #[display("the snapshot has {count} slices; hint: load another snapshot")]
    Slices {
        /// The number found.
        count: usize,
    },
    /// A list is longer than a replica's limit.
    #[display("the snapshot has too many {what}; hint: load another snapshot")]
    TooLong {
        /// The list.
        what: &'static str,
    },
    /// A team is listed twice, or a job's team is not listed.
    #[display("team {team} is missing or listed twice; hint: load another snapshot")]
    Team {
        /// The team.
        team: TeamName,
    },
    /// A worker is listed twice or has inconsistent fields.
    #[display("worker {worker} is inconsistent or listed twice; hint: load another snapshot")]
    Worker {
        /// The worker.
        worker: WorkerName,
    },
    /// A job is listed twice or has inconsistent fields.
    #[display("job {job} is inconsistent or listed twice; hint: load another snapshot")]
    Job {
        /// The job.
        job: JobId,
    },
    /// An attempt is placed on a worker that is lost, unknown or has another
    /// incarnation, or whose committed resources would overflow.
    #[display("attempt {attempt} has no valid placement; hint: load another snapshot")]
    Placement {
        /// The attempt.
        attempt: AttemptRef,
    },
}

impl TryFrom<CellSnapshot> for CellReplica {
    type Error = SnapshotError;

    fn try_from(snapshot: CellSnapshot) -> Result<Self, SnapshotError> {
        let count = snapshot.slices.len();
        if count == 0 || count > usize::from(u16::MAX) {
            return Err(SnapshotError::Slices { count });
        }
        if snapshot.ended.len() > MAX_ENDED_JOBS {
            return Err(SnapshotError::TooLong { what: "ended jobs" });
        }
        let mut replica = Self {
            next_offset: snapshot.next_offset,
            latest: snapshot.latest,
            next_number: snapshot.next_number,
            slices: snapshot.slices.into_iter().map(SliceState::from).collect(),
            writers: SeenTags::try_from(snapshot.writers)?,
            ..Self::default()
        };
        for team in snapshot.teams {
            replica.restore_team(team)?;
        }
        for worker in snapshot.workers {
            replica.restore_worker(worker)?;
        }
        let active = snapshot.active.into_iter().map(|job| (job, false));
        let ended = snapshot.ended.into_iter().map(|job| (job, true));
        let mut numbers = BTreeSet::new();
        for (job, ended) in active.chain(ended) {
            let fresh = numbers.insert(job.number);
            let job = JobState::from(job);
            if !fresh || job.number >= replica.next_number || job.has_ended() != ended {
                return Err(SnapshotError::Job { job: job.spec.id });
            }
            replica.restore_job(job)?;
        }
        Ok(replica)
    }
}

impl CellReplica {
    fn restore_team(&mut self, wire: TeamWire) -> Result<(), SnapshotError> {
        let state = TeamState {
            allotment: wire.allotment,
            version: wire.version,
            ..TeamState::default()
        };
        match self.teams.insert(wire.team.clone(), state) {
            None => Ok(()),
            Some(_) => Err(SnapshotError::Team { team: wire.team }),
        }
    }

    fn restore_worker(&mut self, wire: WorkerWire) -> Result<(), SnapshotError> {
        let (name, lost) = (wire.name.clone(), wire.lost);
        let fits = wire.failed_jobs.len() <= MAX_FAILED_JOBS
            && wire.past.len() <= MAX_PAST_INCARNATIONS
            && !wire.past.contains(&wire.incarnation);
        if !fits || self.worker_slots.contains_key(&name) {
            return Err(SnapshotError::Worker { worker: name });
        }
        let slot = self.workers.insert(WorkerState::from(wire));
        self.worker_slots.insert(name, slot);
        if lost {
            self.lost.push_back(slot);
        }
        if self.lost.len() > MAX_LOST_WORKERS {
            let what = "lost workers";
            return Err(SnapshotError::TooLong { what });
        }
        Ok(())
    }

    fn restore_job(&mut self, job: JobState) -> Result<(), SnapshotError> {
        let id = job.spec.id;
        if !is_consistent(&job) || self.job_slots.contains_key(&id) {
            return Err(SnapshotError::Job { job: id });
        }
        if !self.teams.contains_key(&job.spec.team) {
            let team = job.spec.team.clone();
            return Err(SnapshotError::Team { team });
        }
        let slot = self.add_job(job);
        self.restore_placements(slot)
    }

    fn restore_placements(&mut self, slot: JobSlot) -> Result<(), SnapshotError> {
        let Some(job) = self.jobs.get(slot) else {
            return Ok(());
        };
        let (id, team, demand) = (job.spec.id, job.spec.team.clone(), job.spec.demand);
        let live = job.indexed_tasks().filter_map(|(task, state)| {
            let (attempt, worker, incarnation) = state.phase.placement()?;
            let job = id;
            let attempt = AttemptRef { job, task, attempt };
            Some((attempt, worker.clone(), incarnation))
        });
        let placements: Vec<_> = live.collect();
        for (attempt, name, incarnation) in placements {
            let valid = self.worker(&name).is_some_and(|worker| {
                !worker.lost
                    && worker.incarnation == incarnation
                    && worker.committed.checked_add(&demand).is_some()
            });
            if !valid {
                return Err(SnapshotError::Placement { attempt });
            }
            self.commit(&name, &team, attempt, &demand);
        }
        Ok(())
    }
}

/// Returns whether the counts of a job match its tasks.
fn is_consistent(job: &JobState) -> bool {
    let count = u32::try_from(job.tasks.len()).ok();
    if job.has_ended() {
        return job.live == 0 && (job.tasks.is_empty() || count == Some(job.spec.tasks));
    }
    // Only a gang can be broken, and only while it has live attempts.
    let broken_is_valid = job.broken.is_none() || (job.spec.kind == WorkKind::Gang && job.live > 0);
    let succeeded = job.tasks.iter().filter(|task| {
        matches!(
            task.phase,
            TaskPhase::Done {
                reason: EndReason::Succeeded,
                ..
            }
        )
    });
    broken_is_valid
        && count == Some(job.spec.tasks)
        && u32::try_from(succeeded.count()).ok() == Some(job.succeeded)
}

impl From<SliceWire> for SliceState {
    fn from(wire: SliceWire) -> Self {
        Self {
            owner: wire.owner,
            epoch: wire.epoch,
            ..Self::default()
        }
    }
}

impl From<WorkerWire> for WorkerState {
    fn from(wire: WorkerWire) -> Self {
        Self {
            name: wire.name,
            incarnation: wire.incarnation,
            epoch: wire.epoch,
            manager: wire.manager,
            rack: wire.rack,
            capacity: wire.capacity,
            committed: ResourceAmount::ZERO,
            health: wire.health,
            lost: wire.lost,
            placements: BTreeSet::new(),
            failed_jobs: SmallVec::from_iter(wire.failed_jobs),
            past: SmallVec::from_iter(wire.past),
        }
    }
}

impl From<JobWire> for JobState {
    fn from(wire: JobWire) -> Self {
        let live = wire.tasks.iter().filter(|task| task.phase.is_live());
        Self {
            live: u32::try_from(live.count()).unwrap_or(u32::MAX),
            spec: wire.spec,
            fingerprint: wire.fingerprint,
            number: wire.number,
            submitted_at: wire.submitted_at,
            phase: wire.state,
            tasks: wire.tasks,
            succeeded: wire.succeeded,
            broken: wire.broken,
            retries: wire.retries,
        }
    }
}

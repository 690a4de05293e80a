//! The wire type of the cell's state.

use pimentochute_base::{
    ConfigVersion, EpochNumber, HostName, JobId, LogOffset, MilliTime, RackName, ResourceAmount,
    TeamName, WorkerIncarnation, WorkerName,
};
use serde::{Deserialize, Serialize};

use super::replica::CellReplica;
use super::{JobPhase, JobState, RetryCount, SliceOwner, TaskState, WorkerState, WriterWire};
use crate::{EndReason, JobSpec, WorkerHealth};

/// The state of a [`CellReplica`] as it is published. Sums, counts and indexes
/// are left out; they follow from the rest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellSnapshot {
    /// The offset that is applied next.
    pub next_offset: LogOffset,
    /// The latest time of a valid record.
    pub latest: MilliTime,
    /// The number of the next job.
    pub next_number: u64,
    /// The slices by index.
    pub slices: Vec<SliceWire>,
    /// The teams by name.
    pub teams: Vec<TeamWire>,
    /// The workers that are not lost by name, then the lost ones, the longest
    /// lost first.
    pub workers: Vec<WorkerWire>,
    /// The writers by host and incarnation.
    pub writers: Vec<WriterWire>,
    /// The jobs that have not ended by number.
    pub active: Vec<JobWire>,
    /// The jobs that have ended, in the order of their ends.
    pub ended: Vec<JobWire>,
}

/// A slice in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SliceWire {
    /// The owner.
    pub owner: Option<SliceOwner>,
    /// The epoch of the last claim.
    pub epoch: EpochNumber,
}

/// A team in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamWire {
    /// The team.
    pub team: TeamName,
    /// Its allotment.
    pub allotment: u32,
    /// The configuration that the allotment follows.
    pub version: ConfigVersion,
}

/// A worker in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerWire {
    /// The worker.
    pub name: WorkerName,
    /// The run of its process.
    pub incarnation: WorkerIncarnation,
    /// The recorded epoch of control.
    pub epoch: EpochNumber,
    /// The host that has control.
    pub manager: HostName,
    /// Its rack.
    pub rack: RackName,
    /// What it has in all.
    pub capacity: ResourceAmount,
    /// Whether it is given tasks.
    pub health: WorkerHealth,
    /// Whether it is lost.
    pub lost: bool,
    /// The jobs that failed on it in a row.
    pub failed_jobs: Vec<JobId>,
    /// Its earlier incarnations.
    pub past: Vec<WorkerIncarnation>,
}

/// A job in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobWire {
    /// The job.
    pub spec: JobSpec,
    /// Identifies the spec as submitted.
    pub fingerprint: u64,
    /// The number of the job.
    pub number: u64,
    /// When it was submitted.
    pub submitted_at: MilliTime,
    /// How far it is.
    pub state: JobPhase,
    /// Its tasks.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskState>,
    /// The number of tasks that succeeded.
    pub succeeded: u32,
    /// How a gang's attempt was broken.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub broken: Option<EndReason>,
    /// The attempts of a gang.
    #[serde(default, skip_serializing_if = "RetryCount::is_zero")]
    pub retries: RetryCount,
}

impl From<&CellReplica> for CellSnapshot {
    fn from(replica: &CellReplica) -> Self {
        let mut active: Vec<&JobState> = replica.jobs.values().filter(|j| !j.has_ended()).collect();
        active.sort_unstable_by_key(|job| job.number);
        let ended = replica
            .ended
            .iter()
            .filter_map(|slot| replica.jobs.get(*slot));
        let present = replica.workers().filter(|worker| !worker.lost);
        let lost = replica
            .lost
            .iter()
            .filter_map(|slot| replica.workers.get(*slot));
        Self {
            next_offset: replica.next_offset,
            latest: replica.latest,
            next_number: replica.next_number,
            slices: replica.slices.iter().map(SliceWire::from).collect(),
            teams: replica.teams().map(TeamWire::from).collect(),
            workers: present.chain(lost).map(WorkerWire::from).collect(),
            writers: Vec::from(&replica.writers),
            active: active.into_iter().map(JobWire::from).collect(),
            ended: ended.map(JobWire::from).collect(),
        }
    }
}

impl From<&super::SliceState> for SliceWire {
    fn from(slice: &super::SliceState) -> Self {
        Self {
            owner: slice.owner.clone(),
            epoch: slice.epoch,
        }
    }
}

impl From<(&TeamName, &super::TeamState)> for TeamWire {
    fn from((name, team): (&TeamName, &super::TeamState)) -> Self {
        Self {
            team: name.clone(),
            allotment: team.allotment,
            version: team.version,
        }
    }
}

impl From<&WorkerState> for WorkerWire {
    fn from(worker: &WorkerState) -> Self {
        Self {
            name: worker.name.clone(),
            incarnation: worker.incarnation,
            epoch: worker.epoch,
            manager: worker.manager.clone(),
            rack: worker.rack.clone(),
            capacity: worker.capacity,
            health: worker.health,
            lost: worker.lost,
            failed_jobs: worker.failed_jobs.to_vec(),
            past: worker.past.to_vec(),
        }
    }
}

impl From<&JobState> for JobWire {
    fn from(job: &JobState) -> Self {
        Self {
            spec: job.spec.clone(),
            fingerprint: job.fingerprint,
            number: job.number,
            submitted_at: job.submitted_at,
            state: job.phase,
            tasks: job.tasks.clone(),
            succeeded: job.succeeded,
            broken: job.broken,
            retries: job.retries,
        }
    }
}

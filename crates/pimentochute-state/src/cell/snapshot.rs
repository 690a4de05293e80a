//! Serialised form of a data centre's state.

use pimentochute_base::{
    ConfigVersion, EpochNumber, HostName, JobId, LogOffset, MilliTime, RackName, ResourceAmount,
    TeamName, WorkerIncarnation, WorkerName,
};
use serde::{Deserialize, Serialize};

use super::replica::CellReplica;
use super::{JobPhase, JobState, RetryCount, SliceOwner, TaskState, WorkerState, WriterWire};
use crate::{EndReason, JobSpec, WorkerHealth};

/// A snapshot of a [`CellReplica`], as hosts publish it. Sums, counts and indexes
/// are left out, since restoring computes them from the rest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellSnapshot {
    /// The offset of the next record to apply.
    pub next_offset: LogOffset,
    /// The latest time of a valid record.
    pub latest: MilliTime,
    /// The number that the next submitted job gets.
    pub next_number: u64,
    /// The slices by index.
    pub slices: Vec<SliceWire>,
    /// The teams in the order of their names.
    pub teams: Vec<TeamWire>,
    /// The workers that are not lost in the order of their names, then the lost
    /// ones in the order of their loss.
    pub workers: Vec<WorkerWire>,
    /// The writers in the order of host and incarnation.
    pub writers: Vec<WriterWire>,
    /// The jobs that have not ended, in the order of their numbers.
    pub active: Vec<JobWire>,
    /// The retained ended jobs, in the order in which they ended.
    pub ended: Vec<JobWire>,
}

/// A slice in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SliceWire {
    /// The owner; `None` before the first claim and after a release.
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
    /// The maximum number of live tasks.
    pub allotment: u32,
    /// The version of the configuration that the allotment is derived from.
    pub version: ConfigVersion,
}

/// A worker in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerWire {
    /// The worker.
    pub name: WorkerName,
    /// The incarnation of its process.
    pub incarnation: WorkerIncarnation,
    /// The epoch of the last recorded control.
    pub epoch: EpochNumber,
    /// The host that recorded `epoch`.
    pub manager: HostName,
    /// The rack that it is in.
    pub rack: RackName,
    /// Its total resources.
    pub capacity: ResourceAmount,
    /// Whether it may be given tasks.
    pub health: WorkerHealth,
    /// Whether it was declared lost.
    pub lost: bool,
    /// The distinct jobs that failed on it since its last success, oldest first.
    pub failed_jobs: Vec<JobId>,
    /// Its earlier incarnations, oldest first.
    pub past: Vec<WorkerIncarnation>,
}

/// A job in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobWire {
    /// The job as submitted; the command is empty if the job has ended.
    pub spec: JobSpec,
    /// Hash of the fields of the spec that the caller set.
    pub fingerprint: u64,
    /// The position of the job in the order of submission in the cell.
    pub number: u64,
    /// The wall-clock time of its submission.
    pub submitted_at: MilliTime,
    /// The phase of its life cycle.
    pub state: JobPhase,
    /// Its tasks; may be left out once it has ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskState>,
    /// The number of tasks that succeeded.
    pub succeeded: u32,
    /// Why the current attempt of a gang is broken; `None` if it is not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub broken: Option<EndReason>,
    /// The attempts of a gang so far; zero for other kinds.
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

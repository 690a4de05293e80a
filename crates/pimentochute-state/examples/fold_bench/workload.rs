//! Builds valid records of a data centre and applies them.

use pimentochute_base::{
    AttemptNumber, AttemptRef, ConfigVersion, EpochNumber, HostIncarnation, HostName,
    IdempotencyKey, JobId, MilliTime, PriorityClass, QueueName, RackName, ResourceAmount,
    SliceIndex, TaskIndex, TeamName, WorkKind, WorkerIncarnation, WorkerName,
};
use pimentochute_state::{
    CellRecord, CellReplica, EndReason, JobSpec, RecordBatch, RecordTag, StampedRecord,
    TaskPlacement, slice_of,
};

use crate::BenchResult;

/// The default number of slices of a cell.
const SLICES: u16 = 16;

/// The number of tasks that fit on a worker of the benchmark.
const TASKS_PER_WORKER: u64 = 10_000;

/// The time of the first record, in milliseconds since the Unix epoch.
const FIRST_TIME: u64 = 1_790_000_000_000;

/// A command of typical length.
const COMMAND: &str = "render --separation cyan --plate 17 --input store/2026/tea-towel-4711";

/// A replica and the writer of its records.
pub struct BenchCell {
    /// The replica that is measured.
    pub replica: CellReplica,
    /// The sequence number of the last record.
    sequence: u64,
}

impl BenchCell {
    /// Creates a data centre whose slices have an owner.
    pub fn new() -> BenchResult<Self> {
        let mut cell = Self {
            replica: CellReplica::new(SLICES),
            sequence: 0,
        };
        for slice in 0..SLICES {
            cell.apply(CellRecord::SliceClaimed {
                slice: SliceIndex::new(slice),
                host: host_name()?,
                incarnation: HostIncarnation::new(1_790_000_000_123),
                epoch: EpochNumber::new(1),
            })?;
        }
        Ok(cell)
    }

    /// Creates a data centre with workers and teams.
    pub fn with_fleet(workers: usize, teams: usize) -> BenchResult<Self> {
        let mut cell = Self::new()?;
        cell.add_workers(workers)?;
        cell.add_teams(teams)?;
        Ok(cell)
    }

    /// Adds workers.
    pub fn add_workers(&mut self, count: usize) -> BenchResult<()> {
        (0..count).try_for_each(|index| self.apply(worker_seen(index)?))
    }

    /// Adds teams with an allotment that is never reached.
    pub fn add_teams(&mut self, count: usize) -> BenchResult<()> {
        (0..count).try_for_each(|index| self.apply(allotment_set(index)?))
    }

    /// Applies one record as an append of its own.
    pub fn apply(&mut self, record: CellRecord) -> BenchResult<()> {
        let payload = self.payload(record)?;
        self.apply_payload(&payload)
    }

    /// Encodes one record as an append of its own.
    pub fn payload(&mut self, record: CellRecord) -> BenchResult<Vec<u8>> {
        self.sequence += 1;
        let stamped = stamped(record, self.sequence)?;
        Ok(serde_json::to_vec(&RecordBatch {
            records: vec![stamped],
        })?)
    }

    /// Applies an append; fails if a record of it is not valid.
    pub fn apply_payload(&mut self, payload: &[u8]) -> BenchResult<()> {
        let outcomes = self.replica.apply(self.replica.next_offset(), payload)?;
        for outcome in outcomes {
            if let Err(reason) = outcome.effect {
                return Err(reason.into());
            }
        }
        Ok(())
    }
}

/// Adds a tag to a record, as a host does.
pub fn stamped(record: CellRecord, sequence: u64) -> BenchResult<StampedRecord> {
    let tag = RecordTag {
        host: host_name()?,
        incarnation: HostIncarnation::new(1_790_000_000_123),
        sequence,
    };
    Ok(StampedRecord { tag, record })
}

/// The submission of a job.
pub fn submitted(job: usize, tasks: u32, teams: usize) -> BenchResult<CellRecord> {
    let (team, key) = (team_name(job % teams)?, job_key(job)?);
    let spec = JobSpec {
        id: JobId::new(&team, &key),
        team,
        queue: QueueName::new("separations")?,
        key,
        kind: WorkKind::Batch,
        priority: PriorityClass::Normal,
        tasks,
        demand: ResourceAmount::new(1_000, 1_024),
        command: COMMAND.to_owned(),
        expected_run: None,
        finish_by: None,
        max_attempts: 3,
    };
    Ok(CellRecord::JobSubmitted {
        spec,
        at: time(job),
    })
}

/// The placement of all tasks of a job on one worker.
pub fn placed(job: usize, tasks: u32, teams: usize, worker: usize) -> BenchResult<CellRecord> {
    let team = team_name(job % teams)?;
    let worker = worker_name(worker)?;
    let placements = (0..tasks).map(|task| TaskPlacement {
        task: TaskIndex::new(task),
        attempt: AttemptNumber::new(1),
        worker: worker.clone(),
        incarnation: WorkerIncarnation::new(1_790_000_000_456),
    });
    Ok(CellRecord::TasksPlaced {
        job: JobId::new(&team, &job_key(job)?),
        slice: slice_of(&team, SLICES),
        epoch: EpochNumber::new(1),
        tasks: placements.collect(),
        at: time(job),
    })
}

/// The start of the first task of a job.
pub fn started(job: usize, teams: usize) -> BenchResult<CellRecord> {
    Ok(CellRecord::TaskStarted {
        attempt: attempt(job, teams)?,
        at: time(job),
    })
}

/// The end of the first task of a job.
pub fn ended(job: usize, teams: usize) -> BenchResult<CellRecord> {
    Ok(CellRecord::TaskEnded {
        attempt: attempt(job, teams)?,
        epoch: EpochNumber::new(1),
        reason: EndReason::Succeeded,
        at: time(job),
    })
}

/// The record of a worker that a host took control of.
pub fn worker_seen(index: usize) -> BenchResult<CellRecord> {
    let capacity = ResourceAmount::new(1_000 * TASKS_PER_WORKER, 1_024 * TASKS_PER_WORKER);
    Ok(CellRecord::WorkerSeen {
        worker: worker_name(index)?,
        incarnation: WorkerIncarnation::new(1_790_000_000_456),
        epoch: EpochNumber::new(1),
        rack: RackName::new(&format!("kalmar-rack-{}", index / 8))?,
        capacity,
    })
}

/// The record of a team's allotment.
pub fn allotment_set(index: usize) -> BenchResult<CellRecord> {
    Ok(CellRecord::AllotmentSet {
        team: team_name(index)?,
        version: ConfigVersion::new(1),
        tasks: 1_000_000,
    })
}

/// The name of a team.
pub fn team_name(index: usize) -> BenchResult<TeamName> {
    Ok(TeamName::new(&format!("team-{index:04}"))?)
}

/// The name of the host that writes all records.
fn host_name() -> BenchResult<HostName> {
    Ok(HostName::new("kalmar-entry-1")?)
}

/// The name of a worker.
fn worker_name(index: usize) -> BenchResult<WorkerName> {
    Ok(WorkerName::new(&format!("kalmar-worker-{index:05}"))?)
}

/// The idempotency key of a job.
fn job_key(index: usize) -> BenchResult<IdempotencyKey> {
    Ok(IdempotencyKey::new(&format!("order-2026-{index:08}"))?)
}

/// The first attempt of the first task of a job.
fn attempt(job: usize, teams: usize) -> BenchResult<AttemptRef> {
    let team = team_name(job % teams)?;
    Ok(AttemptRef {
        job: JobId::new(&team, &job_key(job)?),
        task: TaskIndex::new(0),
        attempt: AttemptNumber::new(1),
    })
}

/// The time of the records of a job.
fn time(job: usize) -> MilliTime {
    MilliTime::new(FIRST_TIME + u64::try_from(job).unwrap_or(u64::MAX))
}

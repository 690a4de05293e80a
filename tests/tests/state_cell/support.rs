//! Builds records and applies them to a replica.

use pimentochute_base::{
    AttemptNumber, AttemptRef, ConfigVersion, EpochNumber, HostIncarnation, HostName,
    IdempotencyKey, JobId, LogOffset, MilliTime, PriorityClass, QueueName, RackName,
    ResourceAmount, SliceIndex, TaskIndex, TeamName, WorkKind, WorkerIncarnation, WorkerName,
};
use pimentochute_state::{
    CellEffect, CellRecord, CellReplica, EndReason, InvalidReason, JobSpec, JobState, RecordBatch,
    RecordOutcome, RecordTag, StampedRecord, TaskPhase, TaskPlacement, WorkerHealth, slice_of,
};

/// The slices of the cells under test.
pub const SLICES: u16 = 2;

/// The CPU capacity of a worker, in thousandths of a core; a task takes 1,000.
pub const WORKER_CPU: u64 = 2_000;

pub fn team(name: &str) -> TeamName {
    TeamName::new(name).expect("valid name")
}

pub fn worker(name: &str) -> WorkerName {
    WorkerName::new(name).expect("valid name")
}

pub fn host(name: &str) -> HostName {
    HostName::new(name).expect("valid name")
}

pub fn job_spec(team_name: &str, key: &str, kind: WorkKind, tasks: u32) -> JobSpec {
    let (team, key) = (
        team(team_name),
        IdempotencyKey::new(key).expect("valid key"),
    );
    JobSpec {
        id: JobId::new(&team, &key),
        team,
        queue: QueueName::new("queue").expect("valid name"),
        key,
        kind,
        priority: PriorityClass::Normal,
        tasks,
        demand: ResourceAmount::new(1_000, 10),
        command: "run".to_owned(),
        expected_run: None,
        finish_by: None,
        max_attempts: 3,
    }
}

pub fn placement(task: u32, attempt: u32, name: &str) -> TaskPlacement {
    TaskPlacement {
        task: TaskIndex::new(task),
        attempt: AttemptNumber::new(attempt),
        worker: worker(name),
        incarnation: WorkerIncarnation::new(1),
    }
}

pub fn attempt_ref(job: JobId, task: u32, attempt: u32) -> AttemptRef {
    AttemptRef {
        job,
        task: TaskIndex::new(task),
        attempt: AttemptNumber::new(attempt),
    }
}

pub fn seen(name: &str, incarnation: u64, cpu: u64) -> CellRecord {
    seen_under(name, incarnation, 1, cpu)
}

pub fn seen_under(name: &str, incarnation: u64, epoch: u64, cpu: u64) -> CellRecord {
    CellRecord::WorkerSeen {
        worker: worker(name),
        incarnation: WorkerIncarnation::new(incarnation),
        epoch: EpochNumber::new(epoch),
        rack: RackName::new("rack").expect("valid name"),
        capacity: ResourceAmount::new(cpu, 1_000),
    }
}

pub fn claimed(slice: u16, epoch: u64) -> CellRecord {
    CellRecord::SliceClaimed {
        slice: SliceIndex::new(slice),
        host: host("h1"),
        incarnation: HostIncarnation::new(1),
        epoch: EpochNumber::new(epoch),
    }
}

pub fn allotted(name: &str, version: u64, tasks: u32) -> CellRecord {
    CellRecord::AllotmentSet {
        team: team(name),
        version: ConfigVersion::new(version),
        tasks,
    }
}

/// Applies records to a replica. Each gets a tag of its own, unless the test
/// stamps it.
#[derive(Clone)]
pub struct CellDriver {
    pub replica: CellReplica,
    /// The time of the next record, in milliseconds.
    pub now: u64,
    sequence: u64,
}

impl CellDriver {
    /// Creates an empty cell.
    pub fn empty() -> Self {
        Self {
            replica: CellReplica::new(SLICES),
            now: 1_000,
            sequence: 0,
        }
    }

    /// Creates a cell with owned slices, workers `w1` to `w3` with resources for
    /// two tasks each, and teams `a` and `b` with an allotment of ten tasks each.
    pub fn ready() -> Self {
        let mut driver = Self::empty();
        (0..SLICES).for_each(|slice| drop(driver.valid(claimed(slice, 1))));
        for name in ["w1", "w2", "w3"] {
            driver.valid(seen(name, 1, WORKER_CPU));
        }
        for name in ["a", "b"] {
            driver.valid(allotted(name, 1, 10));
        }
        driver
    }

    pub fn at(&self) -> MilliTime {
        MilliTime::new(self.now)
    }

    pub fn stamp(&mut self, record: CellRecord) -> StampedRecord {
        self.sequence += 1;
        let tag = RecordTag {
            host: host("h1"),
            incarnation: HostIncarnation::new(1),
            sequence: self.sequence,
        };
        StampedRecord { tag, record }
    }

    pub fn append(&mut self, record: StampedRecord) -> RecordOutcome {
        let outcomes = self.append_batch(vec![record]);
        outcomes.into_iter().next().expect("one outcome per record")
    }

    pub fn append_batch(&mut self, records: Vec<StampedRecord>) -> Vec<RecordOutcome> {
        let payload = serde_json::to_vec(&RecordBatch { records }).expect("records serialise");
        self.append_bytes(&payload).expect("the batch decodes")
    }

    pub fn append_bytes(
        &mut self,
        payload: &[u8],
    ) -> Result<Vec<RecordOutcome>, pimentochute_state::RecordError> {
        let offset: LogOffset = self.replica.next_offset();
        self.replica.apply(offset, payload)
    }

    pub fn outcome(&mut self, record: CellRecord) -> RecordOutcome {
        let stamped = self.stamp(record);
        self.append(stamped)
    }

    pub fn valid(&mut self, record: CellRecord) -> CellEffect {
        self.outcome(record).effect.expect("the record is valid")
    }

    pub fn invalid(&mut self, record: CellRecord) -> InvalidReason {
        let before = self.replica.snapshot();
        let reason = self
            .outcome(record)
            .effect
            .expect_err("the record is invalid");
        let mut after = self.replica.snapshot();
        after.next_offset = before.next_offset;
        after.writers.clone_from(&before.writers);
        assert_eq!(after, before, "an invalid record changes nothing");
        reason
    }

    pub fn submit(&mut self, spec: &JobSpec) -> JobId {
        let (spec, at) = (spec.clone(), self.at());
        let id = spec.id;
        self.valid(CellRecord::JobSubmitted { spec, at });
        id
    }

    pub fn cancelled(&self, job: JobId) -> CellRecord {
        CellRecord::JobCancelled { job, at: self.at() }
    }

    /// Returns a placement under the current epoch of the team's slice.
    pub fn placed(&self, job: JobId, tasks: &[TaskPlacement]) -> CellRecord {
        let known = self.replica.job(job);
        let slice = known.map_or(SliceIndex::new(0), |job| slice_of(&job.spec.team, SLICES));
        let epoch = self.replica.slice(slice).expect("known slice").epoch;
        CellRecord::TasksPlaced {
            job,
            slice,
            epoch,
            tasks: tasks.to_vec(),
            at: self.at(),
        }
    }

    pub fn place(&mut self, job: JobId, tasks: &[TaskPlacement]) {
        self.valid(self.placed(job, tasks));
    }

    pub fn ended(&self, job: JobId, task: u32, attempt: u32, reason: EndReason) -> CellRecord {
        let attempt = attempt_ref(job, task, attempt);
        CellRecord::TaskEnded {
            attempt,
            epoch: self.control_of(attempt),
            reason,
            at: self.at(),
        }
    }

    /// Returns the recorded epoch of control of the worker of a live attempt.
    pub fn control_of(&self, attempt: AttemptRef) -> EpochNumber {
        let placement = self
            .replica
            .live_task(attempt)
            .and_then(|task| task.phase.placement());
        let known = placement.and_then(|(_, name, _)| self.replica.worker(name));
        known.map_or(EpochNumber::new(1), |worker| worker.epoch)
    }

    pub fn end(&mut self, job: JobId, task: u32, attempt: u32, reason: EndReason) -> RecordOutcome {
        let outcome = self.outcome(self.ended(job, task, attempt, reason));
        assert!(outcome.effect.is_ok(), "{outcome:?}");
        outcome
    }

    pub fn lost(&self, name: &str) -> CellRecord {
        let known = self.replica.worker(&worker(name));
        CellRecord::WorkerLost {
            worker: worker(name),
            incarnation: WorkerIncarnation::new(1),
            epoch: known.map_or(EpochNumber::new(1), |worker| worker.epoch),
            at: self.at(),
        }
    }

    pub fn set_health(&mut self, name: &str, health: WorkerHealth) {
        let worker = worker(name);
        self.valid(CellRecord::WorkerHealthSet { worker, health });
    }

    pub fn job(&self, job: JobId) -> &JobState {
        self.replica.job(job).expect("known job")
    }

    pub fn phase(&self, job: JobId, task: u32) -> &TaskPhase {
        let task = self.job(job).task(TaskIndex::new(task));
        &task.expect("known task").phase
    }

    /// Returns the next attempt of a waiting task and its earliest time.
    pub fn waiting(&self, job: JobId, task: u32) -> Option<(u32, u64)> {
        match self.phase(job, task) {
            TaskPhase::Waiting { next, not_before } => Some((next.get(), not_before.as_millis())),
            _ => None,
        }
    }
}

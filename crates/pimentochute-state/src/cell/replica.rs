//! The state of a data centre, its read access and the dispatch of records.

use std::collections::{BTreeMap, HashMap, VecDeque};

use pimentochute_base::{
    AttemptRef, HostName, JobId, LogOffset, MilliTime, SliceIndex, TeamName, WorkerName,
};
use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;

use super::dedup::SeenTags;
use super::owner::{SliceOwner, SliceState, TeamState};
use super::worker::{ControlEpoch, SeenWorker};
use super::{CellSnapshot, JobState, SnapshotError, TaskState, WorkerState};
use crate::decode::next_record;
use crate::{
    CellEffect, CellRecord, InvalidReason, RecordBatch, RecordError, RecordOutcome, StampedRecord,
    slice_of,
};

new_key_type! {
    /// The key of a job in `CellReplica::jobs`.
    pub(super) struct JobSlot;
    /// The key of a worker in `CellReplica::workers`.
    pub(super) struct WorkerSlot;
}

/// The jobs, placements, workers and slice owners of a data centre, built by
/// applying the records of its stream in order.
///
/// Applying is deterministic, so that replicas with the same records are equal:
/// it reads no clock and no random numbers and never iterates a hash map.
#[derive(Debug, Clone, Default)]
pub struct CellReplica {
    /// The offset of the next record to apply.
    pub(super) next_offset: LogOffset,
    /// The latest time of a valid record; never decreases.
    pub(super) latest: MilliTime,
    /// The number that the next submitted job gets.
    pub(super) next_number: u64,
    /// All jobs that have not ended, and the ended ones that are retained.
    pub(super) jobs: SlotMap<JobSlot, JobState>,
    /// Index of `jobs` by identifier; never iterated, as its order is random.
    pub(super) job_slots: HashMap<JobId, JobSlot>,
    /// The retained ended jobs, in the order in which they ended.
    pub(super) ended: VecDeque<JobSlot>,
    /// The number of tasks of all jobs that have not ended.
    pub(super) unended_tasks: usize,
    /// All known workers, including lost ones.
    pub(super) workers: SlotMap<WorkerSlot, WorkerState>,
    /// Index of `workers` by name.
    pub(super) worker_slots: BTreeMap<WorkerName, WorkerSlot>,
    /// The lost workers in the order of their loss.
    pub(super) lost: VecDeque<WorkerSlot>,
    /// All teams that ever had a job or an allotment.
    pub(super) teams: BTreeMap<TeamName, TeamState>,
    /// The slices by index; at least one, and the number is fixed.
    pub(super) slices: Vec<SliceState>,
    /// The record tags read so far, for deduplication.
    pub(super) writers: SeenTags,
    /// The jobs that ended with the current record; empty between records.
    pub(super) newly_ended: SmallVec<[JobId; 1]>,
    /// The ended jobs that were evicted with the current record; empty between
    /// records.
    pub(super) newly_evicted: SmallVec<[JobId; 1]>,
}

impl CellReplica {
    /// Creates the replica of an empty stream; `slices` of zero counts as one.
    #[must_use]
    pub fn new(slices: u16) -> Self {
        Self {
            slices: vec![SliceState::default(); usize::from(slices.max(1))],
            ..Self::default()
        }
    }

    /// Applies the batch of records at `offset` and returns one outcome per
    /// record, in order.
    ///
    /// # Errors
    /// Fails and changes nothing if `offset` is not the next one. If the payload
    /// cannot be decoded, fails and only advances the offset.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        payload: &[u8],
    ) -> Result<Vec<RecordOutcome>, RecordError> {
        let batch: RecordBatch = next_record(&mut self.next_offset, offset, payload)?;
        let records = batch.records.into_iter();
        Ok(records.map(|record| self.apply_record(record)).collect())
    }

    /// Returns the offset of the next record to apply.
    #[must_use]
    pub const fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns the latest wall-clock time of a valid record.
    #[must_use]
    pub const fn latest_time(&self) -> MilliTime {
        self.latest
    }

    /// Returns a job; `None` if it is unknown or was evicted.
    #[must_use]
    pub fn job(&self, job: JobId) -> Option<&JobState> {
        self.jobs.get(*self.job_slots.get(&job)?)
    }

    /// Returns all known jobs by team name, then in the order of submission.
    pub fn jobs(&self) -> impl Iterator<Item = &JobState> {
        let slots = self.teams.values().flat_map(|team| team.jobs.values());
        slots.filter_map(|slot| self.jobs.get(*slot))
    }

    /// Returns the known jobs of a team in the order of submission.
    #[must_use]
    pub fn jobs_of(&self, team: &TeamName) -> impl DoubleEndedIterator<Item = &JobState> {
        let team = self.teams.get(team);
        let slots = team.into_iter().flat_map(|team| team.jobs.values());
        slots.filter_map(|slot| self.jobs.get(*slot))
    }

    /// Returns the jobs of a slice that have not ended, in the order of
    /// submission.
    #[must_use]
    pub fn unended_jobs(&self, slice: SliceIndex) -> impl DoubleEndedIterator<Item = &JobState> {
        let slice = self.slice(slice);
        let slots = slice.into_iter().flat_map(|slice| slice.active.values());
        slots.filter_map(|slot| self.jobs.get(*slot))
    }

    /// Returns the number of jobs that have not ended.
    #[must_use]
    pub fn unended_job_count(&self) -> usize {
        self.jobs.len() - self.ended.len()
    }

    /// Returns the task of a live attempt; `None` if the attempt has ended or
    /// was never placed.
    #[must_use]
    pub fn live_task(&self, attempt: AttemptRef) -> Option<&TaskState> {
        let task = self.job(attempt.job)?.task(attempt.task)?;
        let (number, ..) = task.phase.placement()?;
        (number == attempt.attempt).then_some(task)
    }

    /// Returns whether an attempt is live and its job still needs it, that is, the
    /// job is not ending and its gang is not broken. Does not consider the team's
    /// allotment.
    #[must_use]
    pub fn is_needed_by_job(&self, attempt: AttemptRef) -> bool {
        let stopping = self.job(attempt.job).is_none_or(JobState::is_stopping);
        !stopping && self.live_task(attempt).is_some()
    }

    /// Returns a worker; `None` if it is unknown or was evicted.
    #[must_use]
    pub fn worker(&self, name: &WorkerName) -> Option<&WorkerState> {
        self.workers.get(*self.worker_slots.get(name)?)
    }

    /// Returns all known workers in the order of their names, including lost
    /// ones.
    #[must_use]
    pub fn workers(&self) -> impl DoubleEndedIterator<Item = &WorkerState> {
        let slots = self.worker_slots.values();
        slots.filter_map(|slot| self.workers.get(*slot))
    }

    /// Returns the live attempts on a worker.
    pub fn placements(&self, worker: &WorkerName) -> impl Iterator<Item = AttemptRef> {
        let worker = self.worker(worker).into_iter();
        worker.flat_map(|worker| worker.placements.iter().copied())
    }

    /// Returns a team; `None` if it never had a job or an allotment.
    #[must_use]
    pub fn team(&self, team: &TeamName) -> Option<&TeamState> {
        self.teams.get(team)
    }

    /// Returns all known teams in the order of their names.
    #[must_use]
    pub fn teams(&self) -> impl ExactSizeIterator<Item = (&TeamName, &TeamState)> {
        self.teams.iter()
    }

    /// Returns a slice; `None` if the index is out of range.
    #[must_use]
    pub fn slice(&self, slice: SliceIndex) -> Option<&SliceState> {
        self.slices.get(usize::from(slice.get()))
    }

    /// Returns the number of slices.
    #[must_use]
    pub fn slice_count(&self) -> u16 {
        u16::try_from(self.slices.len()).unwrap_or(u16::MAX)
    }

    /// Returns the slice that a team belongs to.
    #[must_use]
    pub fn slice_of(&self, team: &TeamName) -> SliceIndex {
        slice_of(team, self.slice_count())
    }

    /// Returns the number of live tasks, placed or running.
    #[must_use]
    pub fn live_tasks(&self) -> u64 {
        self.teams.values().map(|team| u64::from(team.live)).sum()
    }

    /// Copies the state into a snapshot.
    #[must_use]
    pub fn snapshot(&self) -> CellSnapshot {
        CellSnapshot::from(self)
    }

    /// Restores a replica from a snapshot.
    ///
    /// # Errors
    /// Fails if the snapshot is inconsistent.
    pub fn from_snapshot(snapshot: CellSnapshot) -> Result<Self, SnapshotError> {
        Self::try_from(snapshot)
    }

    pub(super) fn worker_mut(&mut self, name: &WorkerName) -> Option<&mut WorkerState> {
        self.workers.get_mut(*self.worker_slots.get(name)?)
    }

    pub(super) fn advance_latest(&mut self, at: MilliTime) {
        self.latest = self.latest.max(at);
    }

    fn apply_record(&mut self, stamped: StampedRecord) -> RecordOutcome {
        let effect = if self.writers.admit(&stamped.tag, self.next_offset) {
            self.dispatch(stamped.record, &stamped.tag.host)
        } else {
            Err(InvalidReason::RepeatedRecord)
        };
        RecordOutcome {
            tag: stamped.tag,
            effect,
            ended: std::mem::take(&mut self.newly_ended),
            evicted: std::mem::take(&mut self.newly_evicted),
        }
    }

    fn dispatch(
        &mut self,
        record: CellRecord,
        writer: &HostName,
    ) -> Result<CellEffect, InvalidReason> {
        match record {
            CellRecord::JobSubmitted { spec, at } => self.submit_job(spec, at),
            CellRecord::JobCancelled { job, at } => self.cancel_job(job, at),
            CellRecord::JobRefused {
                job,
                slice,
                epoch,
                reason,
                at,
            } => self.refuse_job(job, (slice, epoch), reason, at),
            CellRecord::TasksPlaced {
                job,
                slice,
                epoch,
                tasks,
                at,
            } => self.place_tasks(job, (slice, epoch), tasks, at),
            CellRecord::TaskStarted { attempt, at } => self.start_task(attempt, at),
            CellRecord::TaskEnded {
                attempt,
                epoch,
                reason,
                at,
            } => self.end_task(attempt, epoch, reason, at),
            CellRecord::WorkerSeen {
                worker,
                incarnation,
                epoch,
                rack,
                capacity,
            } => {
                let manager = writer.clone();
                let control = ControlEpoch { incarnation, epoch };
                self.record_worker(SeenWorker {
                    worker,
                    control,
                    manager,
                    rack,
                    capacity,
                })
            }
            CellRecord::WorkerLost {
                worker,
                incarnation,
                epoch,
                at,
            } => self.lose_worker(worker, ControlEpoch { incarnation, epoch }, at),
            CellRecord::WorkerHealthSet { worker, health } => self.set_health(worker, health),
            CellRecord::SliceClaimed {
                slice,
                host,
                incarnation,
                epoch,
            } => self.claim_slice(slice, SliceOwner { host, incarnation }, epoch),
            CellRecord::SliceReleased { slice, epoch } => self.release_slice(slice, epoch),
            CellRecord::AllotmentSet {
                team,
                version,
                tasks,
            } => self.set_allotment(team, version, tasks),
        }
    }
}

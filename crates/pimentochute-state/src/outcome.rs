//! Effects of cell records and the reasons why records are invalid.

use derive_more::{Display, Error};
use pimentochute_base::{
    AttemptRef, ConfigVersion, EpochNumber, HostIncarnation, HostName, JobId, SliceIndex,
    TaskIndex, TeamName, WorkerIncarnation, WorkerName,
};
use smallvec::SmallVec;

use crate::{EndReason, RecordTag, TaskPlacement, WorkerHealth};

/// The result of applying a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordOutcome {
    /// The tag of the record.
    pub tag: RecordTag,
    /// The change, or why the record changed nothing.
    pub effect: Result<CellEffect, InvalidReason>,
    /// The jobs that ended with this record.
    pub ended: SmallVec<[JobId; 1]>,
    /// The ended jobs that were evicted with this record.
    pub evicted: SmallVec<[JobId; 1]>,
}

/// The change that a valid record made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellEffect {
    /// A job was added; its tasks wait to be placed.
    JobSubmitted {
        /// The job.
        job: JobId,
    },
    /// A job is cancelled: its waiting tasks have ended, its live ones are to be
    /// stopped.
    JobCancelled {
        /// The job.
        job: JobId,
    },
    /// A job was refused and has ended.
    JobRefused {
        /// The job.
        job: JobId,
    },
    /// Tasks were placed.
    TasksPlaced {
        /// The job.
        job: JobId,
        /// The tasks and their workers.
        tasks: Vec<TaskPlacement>,
    },
    /// A placed task is running.
    TaskStarted {
        /// The attempt.
        attempt: AttemptRef,
        /// The worker.
        worker: WorkerName,
    },
    /// An attempt ended and its resources are free.
    TaskEnded {
        /// The attempt.
        attempt: AttemptRef,
        /// The worker.
        worker: WorkerName,
        /// How the attempt ended.
        reason: EndReason,
        /// The change of the job.
        transition: JobTransition,
    },
    /// A worker is available; attempts on its previous incarnation have ended as
    /// [`EndReason::Expired`].
    WorkerSeen {
        /// The worker, which keeps its name when it restarts.
        worker: WorkerName,
        /// The incarnation of its process.
        incarnation: WorkerIncarnation,
        /// The attempts that ended, and the change of their jobs.
        expired: Vec<(AttemptRef, JobTransition)>,
    },
    /// A worker is lost; its attempts have ended as [`EndReason::Expired`].
    WorkerLost {
        /// The worker.
        worker: WorkerName,
        /// The attempts that ended, and the change of their jobs.
        expired: Vec<(AttemptRef, JobTransition)>,
    },
    /// A worker's health changed.
    WorkerHealthSet {
        /// The worker.
        worker: WorkerName,
        /// The new health.
        health: WorkerHealth,
    },
    /// A slice has a new owner.
    SliceClaimed {
        /// The slice.
        slice: SliceIndex,
        /// The host that owns the slice from now on.
        host: HostName,
        /// The incarnation of the owner's process.
        incarnation: HostIncarnation,
        /// The epoch of the owner.
        epoch: EpochNumber,
    },
    /// A slice has no owner.
    SliceReleased {
        /// The slice.
        slice: SliceIndex,
        /// The epoch that ended.
        epoch: EpochNumber,
    },
    /// A team's allotment changed.
    AllotmentSet {
        /// The team.
        team: TeamName,
        /// The version of the configuration that it is derived from.
        version: ConfigVersion,
        /// The maximum number of live tasks of the team in the data centre.
        tasks: u32,
    },
}

/// The change of a job that the end of an attempt causes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobTransition {
    /// The task is done; the job continues.
    TaskDone,
    /// The task waits for another attempt.
    Retry,
    /// The gang's attempt is broken; its other tasks are to be stopped.
    GangBroken,
    /// The last task of a broken attempt ended; all tasks of the gang wait for
    /// another attempt.
    GangRetry,
    /// The job is ending; its live tasks are to be stopped.
    JobEnding,
    /// The job has ended.
    JobEnded,
}

/// Why a record is invalid and changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum InvalidReason {
    /// A record with the same tag was read before, or its number is below the
    /// writer's deduplication window.
    #[display("the record was read before; hint: see the outcome of its first copy")]
    RepeatedRecord,
    /// The same job was submitted before.
    #[display("the job was submitted before; hint: nothing needs to be done")]
    RepeatedSubmission,
    /// The job's identifier belongs to a different job.
    #[display("the idempotency key was used for a different job; hint: choose a new key")]
    ConflictingSubmission,
    /// The job's identifier does not follow from its team and key.
    #[display("the job id does not match team and key; hint: derive it from them")]
    WrongJobId,
    /// A field of the job is out of range.
    #[display("{field} of the job is out of range; hint: check the limits")]
    BadJob {
        /// The name of the field, for the message.
        field: &'static str,
    },
    /// A limit of the cell is reached.
    #[display("the cell has too many {what}; hint: try again later")]
    Full {
        /// What there are too many of.
        what: &'static str,
    },
    /// The job was never submitted or was evicted.
    #[display("the job is not known; hint: it may have ended long ago")]
    UnknownJob,
    /// The job has ended.
    #[display("the job has ended; hint: nothing needs to be done")]
    JobEnded,
    /// The job is ending already.
    #[display("the job is ending already; hint: wait for its end")]
    JobEnding,
    /// The job has live tasks and cannot be refused.
    #[display("the job has live tasks; hint: wait until they have ended")]
    JobPlaced,
    /// The record names a slice that is not the team's.
    #[display(
        "the team belongs to slice {expected}, not to the one in the record; hint: check `slices`"
    )]
    WrongSlice {
        /// The slice of the team.
        expected: SliceIndex,
    },
    /// The slice does not exist.
    #[display("the slice does not exist; hint: check `slices`")]
    UnknownSlice,
    /// The record's epoch is not the current one of the slice.
    #[display(
        "the epoch is stale, the current one is {current}; hint: another host owns the slice"
    )]
    StaleEpoch {
        /// The current epoch of the slice.
        current: EpochNumber,
    },
    /// The epoch of the claim is not the next one.
    #[display(
        "the claim is not for the epoch after {current}; hint: another host claimed the slice first"
    )]
    EpochTaken {
        /// The current epoch of the slice.
        current: EpochNumber,
    },
    /// The slice has no owner.
    #[display("the slice has no owner; hint: claim it first")]
    SliceNotOwned,
    /// The record places no task.
    #[display("no task is named; hint: name at least one")]
    NoTasks,
    /// The record places only a part of a gang.
    #[display("the gang has {tasks} tasks; hint: place all of them in one record")]
    GangIncomplete {
        /// The number of tasks of the gang.
        tasks: u32,
    },
    /// The task does not exist.
    #[display("task {task} does not exist; hint: tasks are numbered from zero")]
    UnknownTask {
        /// The task.
        task: TaskIndex,
    },
    /// The record names a task twice.
    #[display("task {task} is named twice; hint: name it once")]
    RepeatedTask {
        /// The task.
        task: TaskIndex,
    },
    /// The task is not waiting to be placed.
    #[display("task {task} is not waiting to be placed; hint: it was placed or is done")]
    TaskNotWaiting {
        /// The task.
        task: TaskIndex,
    },
    /// The attempt's number is not the next one.
    #[display(
        "the attempt of task {task} is not the next one; hint: an attempt with this number was placed before"
    )]
    WrongAttempt {
        /// The task.
        task: TaskIndex,
    },
    /// The worker was never recorded or was evicted.
    #[display("worker {worker} is not known; hint: it may have been lost long ago")]
    UnknownWorker {
        /// The worker.
        worker: WorkerName,
    },
    /// The record is for another incarnation of the worker.
    #[display("worker {worker} has another incarnation; hint: it has restarted")]
    OtherIncarnation {
        /// The worker.
        worker: WorkerName,
    },
    /// The record's epoch of control of the worker is not the recorded one, or is
    /// not newer.
    #[display("worker {worker} is controlled under epoch {current}; hint: another host manages it")]
    StaleControl {
        /// The worker.
        worker: WorkerName,
        /// The recorded epoch of control.
        current: EpochNumber,
    },
    /// The worker is lost.
    #[display("worker {worker} is lost; hint: choose another one")]
    WorkerLost {
        /// The worker.
        worker: WorkerName,
    },
    /// The worker is quarantined and would have more than one task.
    #[display("worker {worker} is quarantined; hint: give it one task at a time")]
    WorkerQuarantined {
        /// The worker.
        worker: WorkerName,
    },
    /// The worker is leaving.
    #[display("worker {worker} is leaving; hint: choose another one")]
    WorkerLeaving {
        /// The worker.
        worker: WorkerName,
    },
    /// The worker's free resources are less than the demand.
    #[display("worker {worker} has too few free resources; hint: choose another one")]
    InsufficientResources {
        /// The worker.
        worker: WorkerName,
    },
    /// The team would have more live tasks than its allotment.
    #[display(
        "the team has {running} live tasks and an allotment of {allotment}; hint: wait until a task ends, or raise the limit"
    )]
    OverAllotment {
        /// The number of live tasks of the team.
        running: u32,
        /// The maximum number of live tasks of the team in the data centre.
        allotment: u32,
    },
    /// The attempt was never placed or has ended.
    #[display("the attempt is not live; hint: it has ended or was never placed")]
    AttemptNotLive,
    /// The attempt was reported as running before.
    #[display("the attempt has started before; hint: nothing needs to be done")]
    AlreadyStarted,
    /// The worker has this health already.
    #[display("the record sets the present value; hint: nothing needs to be done")]
    Unchanged,
    /// The allotment is derived from a configuration that is not newer than that of
    /// the current allotment.
    #[display(
        "the allotment is derived from version {current} already; hint: nothing needs to be done"
    )]
    OldVersion {
        /// The version that the current allotment is derived from.
        current: ConfigVersion,
    },
}

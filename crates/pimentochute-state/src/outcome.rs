//! The effects of cell records.

use derive_more::{Display, Error};
use pimentochute_base::{
    AttemptRef, ConfigVersion, EpochNumber, HostIncarnation, HostName, JobId, SliceIndex,
    TaskIndex, TeamName, WorkerIncarnation, WorkerName,
};
use smallvec::SmallVec;

use crate::{EndReason, RecordTag, TaskPlacement, WorkerHealth};

/// What a record did when it was read back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordOutcome {
    /// The tag of the record.
    pub tag: RecordTag,
    /// The change, or why there was none.
    pub effect: Result<CellEffect, InvalidReason>,
    /// The jobs that ended with the record.
    pub ended: SmallVec<[JobId; 1]>,
    /// Ended jobs that are no longer remembered.
    pub dropped: SmallVec<[JobId; 1]>,
}

/// The change that a valid record made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellEffect {
    /// A job was added; its tasks wait.
    JobSubmitted {
        /// The job.
        job: JobId,
    },
    /// A job is cancelled: waiting tasks ended, placed ones are to be stopped.
    JobCancelled {
        /// The job.
        job: JobId,
    },
    /// A job was refused and has ended.
    JobRefused {
        /// The job.
        job: JobId,
    },
    /// Tasks have a place.
    TasksPlaced {
        /// The job.
        job: JobId,
        /// The tasks and their workers.
        tasks: Vec<TaskPlacement>,
    },
    /// A placed task runs.
    TaskStarted {
        /// The attempt.
        attempt: AttemptRef,
        /// The worker.
        worker: WorkerName,
    },
    /// An attempt ended and its place is free.
    TaskEnded {
        /// The attempt.
        attempt: AttemptRef,
        /// The worker.
        worker: WorkerName,
        /// How the attempt ended.
        reason: EndReason,
        /// What follows for the job.
        transition: JobTransition,
    },
    /// A worker is known; attempts on its older incarnation ended as `Expired`.
    WorkerSeen {
        /// The worker.
        worker: WorkerName,
        /// The run of its process.
        incarnation: WorkerIncarnation,
        /// The attempts that ended.
        expired: Vec<(AttemptRef, JobTransition)>,
    },
    /// A worker is lost; its attempts ended as `Expired`.
    WorkerLost {
        /// The worker.
        worker: WorkerName,
        /// The attempts that ended.
        expired: Vec<(AttemptRef, JobTransition)>,
    },
    /// A worker's health changed.
    WorkerHealthSet {
        /// The worker.
        worker: WorkerName,
        /// Its health.
        health: WorkerHealth,
    },
    /// A slice has a new owner.
    SliceClaimed {
        /// The slice.
        slice: SliceIndex,
        /// The owner.
        host: HostName,
        /// The run of the owner's process.
        incarnation: HostIncarnation,
        /// The epoch.
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
        /// The configuration that it follows.
        version: ConfigVersion,
        /// The most tasks that run at once in the data centre.
        tasks: u32,
    },
}

/// What the end of an attempt means for its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobTransition {
    /// The task is done; the job goes on.
    TaskDone,
    /// The task waits for another attempt.
    Retry,
    /// The gang's attempt is broken; its other tasks are to be stopped.
    GangBroken,
    /// All tasks of the gang wait for another attempt.
    GangRetry,
    /// The job is ending; its placed tasks are to be stopped.
    JobEnding,
    /// The job has ended.
    JobEnded,
}

/// The reason why a record changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum InvalidReason {
    /// A record with the same tag was read before, or so many later records
    /// of the writer that it can no longer be told.
    #[display("the record was read before; hint: its first reading tells the outcome")]
    RepeatedRecord,
    /// The same job was submitted before.
    #[display("the job was submitted before; hint: nothing needs to be done")]
    RepeatedSubmission,
    /// The job's identifier stands for another job.
    #[display("the idempotency key was used for a different job; hint: choose a new key")]
    ConflictingSubmission,
    /// The job's identifier does not follow from its team and key.
    #[display("the job id does not match team and key; hint: derive it from them")]
    WrongJobId,
    /// A field of the job is out of range.
    #[display("{field} of the job is out of range; hint: check the limits")]
    BadJob {
        /// The field.
        field: &'static str,
    },
    /// The cell holds as much as it can.
    #[display("the cell has too many {what}; hint: try again later")]
    Full {
        /// What there is too much of.
        what: &'static str,
    },
    /// The job is not known.
    #[display("the job is not known; hint: it may have ended long ago")]
    UnknownJob,
    /// The job has ended.
    #[display("the job has ended; hint: nothing needs to be done")]
    JobEnded,
    /// The job is ending already.
    #[display("the job is ending already; hint: wait for its end")]
    JobEnding,
    /// The job has placed tasks and cannot be refused.
    #[display("the job has placed tasks; hint: wait for their end")]
    JobPlaced,
    /// The slice is not the one of the team.
    #[display("the slice is not that of the team, which is {expected}; hint: check `slices`")]
    WrongSlice {
        /// The slice of the team.
        expected: SliceIndex,
    },
    /// The slice does not exist.
    #[display("the slice does not exist; hint: check `slices`")]
    UnknownSlice,
    /// The epoch is not the one in force.
    #[display("the epoch is stale, {current} is in force; hint: another host owns the slice")]
    StaleEpoch {
        /// The epoch in force.
        current: EpochNumber,
    },
    /// The claim does not name the next epoch.
    #[display("the claim does not follow epoch {current}; hint: another host claimed first")]
    EpochTaken {
        /// The epoch in force.
        current: EpochNumber,
    },
    /// The slice has no owner.
    #[display("the slice has no owner; hint: claim it first")]
    SliceNotOwned,
    /// The record places no task.
    #[display("no task is named; hint: name at least one")]
    NoTasks,
    /// The gang is not placed as a whole.
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
    /// The task does not wait for a place.
    #[display("task {task} does not wait; hint: it was placed or is done")]
    TaskNotWaiting {
        /// The task.
        task: TaskIndex,
    },
    /// The attempt's number is not the next one.
    #[display("the attempt of task {task} is not the next one; hint: it was placed before")]
    WrongAttempt {
        /// The task.
        task: TaskIndex,
    },
    /// The worker is not known.
    #[display("worker {worker} is not known; hint: it may have been lost long ago")]
    UnknownWorker {
        /// The worker.
        worker: WorkerName,
    },
    /// The worker runs another incarnation.
    #[display("worker {worker} has another incarnation; hint: it has restarted")]
    OtherIncarnation {
        /// The worker.
        worker: WorkerName,
    },
    /// The writer's control of the worker is not the recorded one.
    #[display(
        "control of worker {worker} is recorded under epoch {current}; hint: another host manages it"
    )]
    StaleControl {
        /// The worker.
        worker: WorkerName,
        /// The recorded epoch.
        current: EpochNumber,
    },
    /// The worker is lost.
    #[display("worker {worker} is lost; hint: choose another one")]
    WorkerLost {
        /// The worker.
        worker: WorkerName,
    },
    /// The worker is quarantined and has its probe task already.
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
    /// The worker has no room.
    #[display("worker {worker} has no room; hint: choose another one")]
    InsufficientResources {
        /// The worker.
        worker: WorkerName,
    },
    /// The team would have more running than its allotment.
    #[display(
        "the team runs {running} tasks of {allotment} allowed; hint: wait until one ends, or raise the limit"
    )]
    OverAllotment {
        /// The placed tasks of the team.
        running: u32,
        /// The team's allotment in the data centre.
        allotment: u32,
    },
    /// The attempt was never placed, or has ended.
    #[display("the attempt is not live; hint: it has ended, or its place was never recorded")]
    AttemptNotLive,
    /// The attempt was seen running before.
    #[display("the attempt has started before; hint: nothing needs to be done")]
    AlreadyStarted,
    /// The record brings nothing new.
    #[display("the record brings nothing new; hint: nothing needs to be done")]
    Unchanged,
    /// The allotment follows a configuration that is not newer.
    #[display("the allotment follows version {current} already; hint: nothing needs to be done")]
    OldVersion {
        /// The version that the allotment in force follows.
        current: ConfigVersion,
    },
}

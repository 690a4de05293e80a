//! What the placer is told.

use pimentochute_base::{
    AttemptNumber, AttemptRef, JobId, MilliSpan, MilliTime, PriorityClass, RackName,
    ResourceAmount, TaskIndex, TeamName, WorkKind, WorkerIncarnation, WorkerName,
};
use smallvec::SmallVec;
use strum::{Display, EnumIter, IntoStaticStr};

/// A worker and what it has in all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSpec {
    /// The worker.
    pub name: WorkerName,
    /// The run of its process; decisions name it.
    pub incarnation: WorkerIncarnation,
    /// The rack, over which services are spread.
    pub rack: RackName,
    /// What the worker has in all.
    pub capacity: ResourceAmount,
    /// Whether the worker is given tasks.
    pub readiness: WorkerReadiness,
}

/// Whether a worker is given tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum WorkerReadiness {
    /// The worker is given tasks while it has room.
    Usable,
    /// The worker is given one task at a time, to see whether it succeeds.
    Probe,
    /// The worker is given nothing.
    Unusable,
}

/// A team and its part of the data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamSpec {
    /// The team.
    pub name: TeamName,
    /// The weight of the team; zero counts as one.
    pub share: u32,
    /// The most tasks that run at once, decided but unconfirmed ones included.
    pub allotment: u32,
}

/// A job with tasks that wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingJob {
    /// The job.
    pub job: JobId,
    /// The team.
    pub team: TeamName,
    /// The kind of work; never [`WorkKind::Request`].
    pub kind: WorkKind,
    /// The priority.
    pub priority: PriorityClass,
    /// What each task is given.
    pub demand: ResourceAmount,
    /// The number of tasks of the job, waiting or not. A gang is placed only
    /// when all of them wait.
    pub task_count: u32,
    /// When the job was submitted.
    pub submitted: MilliTime,
    /// How long a task is declared to run; often far from the actual time.
    pub expected_run: Option<MilliSpan>,
    /// When the job has to be done.
    pub finish_by: Option<MilliTime>,
    /// The tasks that wait.
    pub tasks: Vec<WaitingTask>,
}

/// A task that waits for a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingTask {
    /// The position in the job.
    pub task: TaskIndex,
    /// The number that the next attempt has.
    pub attempt: AttemptNumber,
    /// The task is not placed earlier than this.
    pub not_before: MilliTime,
    /// The workers that the task failed on.
    pub avoid: SmallVec<[WorkerName; 2]>,
}

impl WaitingTask {
    /// Creates the first attempt of a task.
    #[must_use]
    pub fn new(task: TaskIndex) -> Self {
        Self {
            task,
            attempt: AttemptNumber::new(1),
            not_before: MilliTime::ZERO,
            avoid: SmallVec::new(),
        }
    }
}

/// A placement that the cell records hold, of any host's slices.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommittedTask {
    /// The attempt.
    pub attempt: AttemptRef,
    /// The team of the job.
    pub team: TeamName,
    /// The kind of work.
    pub kind: WorkKind,
    /// The worker.
    pub worker: WorkerName,
    /// What the task is given.
    pub demand: ResourceAmount,
    /// When the task is declared to end, if that is known.
    pub expected_end: Option<MilliTime>,
}

//! The inputs of the placer: workers, teams, jobs and committed tasks.

use pimentochute_base::{
    AttemptNumber, AttemptRef, JobId, MilliSpan, MilliTime, PriorityClass, RackName,
    ResourceAmount, TaskIndex, TeamName, WorkKind, WorkerIncarnation, WorkerName,
};
use smallvec::SmallVec;
use strum::{Display, EnumIter, IntoStaticStr};

/// A worker and its capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSpec {
    /// The name that identifies the worker.
    pub name: WorkerName,
    /// The incarnation of its process, which decisions contain.
    pub incarnation: WorkerIncarnation,
    /// The rack of the worker. Tasks of a service are spread over racks.
    pub rack: RackName,
    /// The total resources of the worker, including those in use.
    pub capacity: ResourceAmount,
    /// Whether the worker may be given tasks.
    pub readiness: WorkerReadiness,
}

/// Whether a worker may be given tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum WorkerReadiness {
    /// The worker is given tasks while they fit.
    Usable,
    /// The worker is quarantined and given one task at a time, to test whether it
    /// works again.
    Probe,
    /// The worker is given no tasks.
    Unusable,
}

/// A team with its weight and its limit in the data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamSpec {
    /// The name that identifies the team.
    pub name: TeamName,
    /// The weight in the fair shares of the teams; zero counts as one.
    pub share: u32,
    /// The maximum number of placed tasks, including reserved ones.
    pub allotment: u32,
}

/// A job with waiting tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingJob {
    /// The id of the job.
    pub job: JobId,
    /// The team that the job belongs to.
    pub team: TeamName,
    /// The kind of work. Jobs of kind [`WorkKind::Request`] are ignored.
    pub kind: WorkKind,
    /// The priority class of the job.
    pub priority: PriorityClass,
    /// The demand of each task.
    pub demand: ResourceAmount,
    /// The number of tasks of the job, whether or not they wait. A gang is
    /// placed only while all of them wait.
    pub task_count: u32,
    /// When the job was submitted.
    pub submitted: MilliTime,
    /// The declared run time of each task, if any; often far from the actual one.
    pub expected_run: Option<MilliSpan>,
    /// The deadline of the whole job, if any.
    pub finish_by: Option<MilliTime>,
    /// The waiting tasks of the job.
    pub tasks: Vec<WaitingTask>,
}

/// A task that waits for a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingTask {
    /// The index of the task in its job.
    pub task: TaskIndex,
    /// The number of the next attempt.
    pub attempt: AttemptNumber,
    /// The task is not placed before this time; zero if it may be placed at once.
    pub not_before: MilliTime,
    /// The workers that the task failed on, which are used only as a last resort.
    pub avoid: SmallVec<[WorkerName; 2]>,
}

impl WaitingTask {
    /// Creates the first attempt of a task, which may be placed at once.
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

/// A placement from the cell log. The job may be in a slice of another host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommittedTask {
    /// The attempt that is placed.
    pub attempt: AttemptRef,
    /// The team of the job.
    pub team: TeamName,
    /// The kind of work.
    pub kind: WorkKind,
    /// The worker that the attempt is placed on.
    pub worker: WorkerName,
    /// The resources that the task uses.
    pub demand: ResourceAmount,
    /// When the task ends according to its declared run time, if it has one.
    pub expected_end: Option<MilliTime>,
}

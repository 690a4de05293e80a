//! What the placer answers.

use derive_more::Display;
use pimentochute_base::{
    AttemptNumber, AttemptRef, JobId, MilliSpan, PriorityClass, ResourceAmount, TaskIndex,
    TeamName, WorkerIncarnation, WorkerName,
};
use strum::{EnumIter, IntoStaticStr};

/// Tasks of one job and the workers chosen for them, valid all together or
/// not at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementDecision {
    /// The job.
    pub job: JobId,
    /// The team of the job.
    pub team: TeamName,
    /// The tasks; not empty, and all waiting tasks if the job is a gang.
    pub tasks: Vec<TaskChoice>,
    /// Why these tasks were chosen and why these workers, for the log line.
    pub reason: PlacementReason,
}

impl PlacementDecision {
    /// Returns the attempts that the decision starts.
    pub fn attempts(&self) -> impl Iterator<Item = AttemptRef> + '_ {
        self.tasks.iter().map(|choice| AttemptRef {
            job: self.job,
            task: choice.task,
            attempt: choice.attempt,
        })
    }
}

/// The worker chosen for a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskChoice {
    /// The task.
    pub task: TaskIndex,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// The worker.
    pub worker: WorkerName,
    /// The run of the worker's process.
    pub incarnation: WorkerIncarnation,
}

/// Why a decision was made.
///
/// A decision with several tasks holds the reason of its first one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{turn} ({class}), team at {share_ppm} ppm of the fleet, waited {waited}, {fit}")]
pub struct PlacementReason {
    /// The priority class of the job.
    pub class: PriorityClass,
    /// Why the class had its turn.
    pub turn: TurnReason,
    /// The dominant share of the team before the decision, in parts per
    /// million of the usable capacity, not divided by its weight.
    pub share_ppm: u64,
    /// How long the job had waited since its submission.
    pub waited: MilliSpan,
    /// Why the worker was chosen.
    pub fit: FitRule,
}

/// Why a priority class had its turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum TurnReason {
    /// No higher class had work that fits.
    #[display("highest class with work")]
    Priority,
    /// The class was passed over as often as the bound allows.
    #[display("turn of a passed-over class")]
    Passed,
    /// The job held the workers reserved for it.
    #[display("reserved room")]
    Reserved,
}

/// Why a worker was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum FitRule {
    /// The worker with the least room left over.
    #[display("best fit")]
    BestFit,
    /// The worker with the most room left over.
    #[display("worst fit")]
    WorstFit,
    /// A worker in a rack with the fewest tasks of the job.
    #[display("least used rack")]
    RackSpread,
    /// A quarantined worker that needs a probe task.
    #[display("probe of a quarantined worker")]
    Probe,
    /// Reserved room that is expected to be free again before its job starts.
    #[display("backfill of reserved room")]
    Backfill,
    /// A worker that the task failed on, since no other can run it.
    #[display("repeated on a worker it failed on")]
    Repeated,
    /// Room for all tasks of a gang at once.
    #[display("whole gang")]
    Gang,
}

/// A job that can never run as things stand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRefusal {
    /// The job.
    pub job: JobId,
    /// The team of the job.
    pub team: TeamName,
    /// Why the job cannot run.
    pub reason: RefusalReason,
}

/// Why a job can never run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// No worker is large enough, even when empty.
    #[display("no worker has {demand}, even when empty; hint: ask for less per task")]
    TooLarge {
        /// What a task asks for.
        demand: ResourceAmount,
    },
    /// The gang has more tasks than the team's allotment.
    #[display(
        "the gang has {tasks} tasks and the team may run {allotment}; hint: split the gang or raise the team's limit"
    )]
    OverAllotment {
        /// The tasks of the gang.
        tasks: u32,
        /// The allotment of the team.
        allotment: u32,
    },
    /// The workers together cannot hold the gang, even when empty.
    #[display(
        "the workers together hold {room} of the gang's {tasks} tasks, even when empty; hint: use fewer or smaller tasks"
    )]
    GangTooLarge {
        /// The tasks of the gang.
        tasks: u32,
        /// How many of them the empty workers hold.
        room: u32,
    },
}

/// Counts for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacerStats {
    /// The workers known, whatever their readiness.
    pub workers: usize,
    /// The teams known.
    pub teams: usize,
    /// The jobs with waiting tasks.
    pub jobs: usize,
    /// The tasks that wait, including those not due yet.
    pub waiting_tasks: usize,
    /// The tasks that the cell records place.
    pub committed_tasks: usize,
    /// The tasks decided and neither confirmed nor revoked.
    pub reserved_tasks: usize,
    /// The capacity of the usable workers.
    pub capacity: ResourceAmount,
    /// What committed and reserved tasks use, on any worker.
    pub used: ResourceAmount,
    /// The workers held for a job that waited long.
    pub held_workers: usize,
    /// The decisions made so far.
    pub decisions: u64,
    /// The tasks placed by those decisions.
    pub placed_tasks: u64,
    /// The tasks of revoked decisions so far.
    pub revoked_tasks: u64,
    /// The holds given up so far because their time ran out.
    pub abandoned_holds: u64,
}

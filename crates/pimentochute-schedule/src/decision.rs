//! The results of the placer: decisions, unplaceable jobs and counts.

use derive_more::Display;
use pimentochute_base::{
    AttemptNumber, AttemptRef, JobId, MilliSpan, PriorityClass, ResourceAmount, TaskIndex,
    TeamName, WorkerIncarnation, WorkerName,
};
use strum::{EnumIter, IntoStaticStr};

/// The workers chosen for tasks of one job. A decision is valid or invalid as a
/// whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementDecision {
    /// The job that the tasks belong to.
    pub job: JobId,
    /// The team of the job.
    pub team: TeamName,
    /// The placed tasks. Never empty; all tasks of the job if it is a gang.
    pub tasks: Vec<TaskChoice>,
    /// Why these tasks and workers were chosen, for the log.
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
    /// The index of the task in its job.
    pub task: TaskIndex,
    /// The number of the attempt that the decision starts.
    pub attempt: AttemptNumber,
    /// The worker that is to run the task.
    pub worker: WorkerName,
    /// The incarnation of the worker, so that a restarted worker is not mistaken
    /// for the one that was chosen.
    pub incarnation: WorkerIncarnation,
}

/// Why a decision was made.
///
/// If a decision has several tasks, this is the reason for the first one.
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
    /// The class was passed over by as many tasks as the limit allows.
    #[display("turn of a passed-over class")]
    Passed,
    /// The job is the holder: workers or a part of the allotment are held for it.
    #[display("turn of the job that holds workers")]
    Reserved,
}

/// Why a worker was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum FitRule {
    /// The worker with the least free resources left over.
    #[display("best fit")]
    BestFit,
    /// The worker with the most free resources left over.
    #[display("worst fit")]
    WorstFit,
    /// A worker in a rack with the fewest tasks of the job.
    #[display("least used rack")]
    RackSpread,
    /// A quarantined worker that needs a probe task.
    #[display("probe of a quarantined worker")]
    Probe,
    /// A held worker, for a task that is expected to end before the holder starts
    /// or an urgent task.
    #[display("backfill on held workers")]
    Backfill,
    /// A worker that the task failed on, since no other one could run it in
    /// time.
    #[display("retry on a worker that the task failed on")]
    Repeated,
    /// Workers for all tasks of a gang at once.
    #[display("whole gang")]
    Gang,
}

/// A job that cannot be placed with the current workers and allotments. The
/// caller decides whether to refuse it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnplaceableJob {
    /// The id of the job.
    pub job: JobId,
    /// The team of the job.
    pub team: TeamName,
    /// Why the job cannot be placed.
    pub reason: UnplaceableReason,
}

/// Why a job cannot be placed with the current workers and allotments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum UnplaceableReason {
    /// No worker is large enough, even when empty.
    #[display("no worker has {demand}, even when empty; hint: ask for less per task")]
    TooLarge {
        /// The demand of each task.
        demand: ResourceAmount,
    },
    /// The gang has more tasks than the allotment of the team allows.
    #[display(
        "the gang has {tasks} tasks and the team may run {allotment}; hint: split the gang or raise the team's limit"
    )]
    OverAllotment {
        /// The number of tasks of the gang.
        tasks: u32,
        /// The allotment of the team, in tasks.
        allotment: u32,
    },
    /// The gang does not fit on all workers together, even when empty.
    #[display(
        "the workers together hold {room} of the gang's {tasks} tasks, even when empty; hint: use fewer or smaller tasks"
    )]
    GangTooLarge {
        /// The number of tasks of the gang.
        tasks: u32,
        /// The number of these tasks that fit on the empty workers.
        room: u32,
    },
}

/// Counts of the placer, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacerStats {
    /// The known workers, regardless of their readiness.
    pub workers: usize,
    /// The teams that are set and not removed.
    pub teams: usize,
    /// The jobs with waiting or reserved tasks.
    pub jobs: usize,
    /// The waiting tasks, including those that may not be placed yet.
    pub waiting_tasks: usize,
    /// The tasks with a committed placement.
    pub committed_tasks: usize,
    /// The tasks that are decided, but neither committed, confirmed nor revoked.
    pub reserved_tasks: usize,
    /// The capacity of the usable workers.
    pub capacity: ResourceAmount,
    /// The resources used by committed and reserved tasks on all workers.
    pub used: ResourceAmount,
    /// The workers held for a job that has waited long.
    pub held_workers: usize,
    /// The decisions made so far.
    pub decisions: u64,
    /// The tasks placed by those decisions.
    pub placed_tasks: u64,
    /// The reserved tasks that were revoked so far.
    pub revoked_tasks: u64,
    /// The holds that exceeded their maximum duration so far.
    pub abandoned_holds: u64,
}

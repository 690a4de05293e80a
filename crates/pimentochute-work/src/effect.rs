//! What a cell wants done outside, and what came of it.

use std::sync::Arc;

use derive_more::{Display, Error};
use pimentochute_base::{MilliSpan, MilliTime};
use strum::IntoStaticStr;

use crate::{AdviceCost, JobCode, StepName, TaskName, WorkerKey, WorkerTarget};

/// Something that the cell wants done outside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellEffect {
    /// Start a run.
    Start(StartCommand),
    /// Stop a run.
    Stop(StopCommand),
    /// Renew a lease and learn what ended.
    Poll(PollCommand),
    /// Ask which workers may run a step.
    RequestAdvice(AdviceCommand),
    /// Drop the record by which a host took a job in.
    DropIntake(JobCode),
    /// Answer a caller who handed in or cancelled a job.
    Reply(ReplyKey, CallerAnswer),
}

/// Names a caller who waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyKey(pub u64);

/// The answer to a caller, once it lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CallerAnswer {
    /// The job is in the log.
    Accepted,
    /// The job is cancelled, or had ended before.
    Cancelled,
    /// There is no such job.
    Unknown,
}

/// The order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartCommand {
    /// The worker.
    pub worker: WorkerKey,
    /// Where the order goes.
    pub target: WorkerTarget,
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: u32,
    /// The text of the job.
    pub text: Arc<str>,
    /// The end of the worker's lease, on its clock.
    pub until: MilliTime,
    /// The fencing token.
    pub token: u64,
    /// The checkpoint to go on from; empty if there is none.
    pub checkpoint: String,
    /// The ticket of the advice service; empty if the queue needs none.
    pub ticket: String,
}

/// The order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopCommand {
    /// The worker.
    pub worker: WorkerKey,
    /// Where the order goes.
    pub target: WorkerTarget,
    /// The name of the task, as the worker lists it.
    pub task: String,
    /// The run.
    pub run: u32,
    /// The fencing token.
    pub token: u64,
}

/// The order to renew a lease and to list the runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollCommand {
    /// The worker.
    pub worker: WorkerKey,
    /// Where the order goes.
    pub target: WorkerTarget,
    /// The end of the worker's lease on its clock; none if it is not extended.
    pub until: Option<MilliTime>,
    /// The fencing token.
    pub token: u64,
    /// The ends up to this number are in the log.
    pub recorded_end: u64,
    /// How long the worker may hold back the answer until something ends.
    pub wait: MilliSpan,
    /// When the look was sent, on the cell's clock.
    pub sent: MilliTime,
}

/// The question which workers may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceCommand {
    /// The step.
    pub step: StepName,
    /// The identifiers of the workers in question.
    pub workers: Vec<String>,
    /// What the call takes.
    pub cost: AdviceCost,
    /// The address of the host through which the call goes.
    pub relay: String,
    /// The time in which the answer is expected.
    pub wait: MilliSpan,
}

/// A worker that may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRow {
    /// The identifier of the worker.
    pub worker: String,
    /// The ticket that a start carries.
    pub ticket: String,
}

/// Why an order was not carried out, as far as that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OrderError {
    /// The worker knows a higher token.
    #[display("the worker obeys a newer owner")]
    Fenced,
    /// The worker has seen this run or a later one.
    #[display("the run is not newer than one that the worker knows")]
    OldRun,
    /// The lease had ended before the order arrived.
    #[display("the order came after the end of its lease")]
    TooLate,
    /// The worker has no room.
    #[display("the worker has no room")]
    #[strum(to_string = "no_room")]
    InsufficientResources,
    /// The ticket is missing, wrong or too old.
    #[display("the worker does not accept the ticket")]
    BadTicket,
    /// The worker is unhealthy and did nothing.
    #[display("the worker is unhealthy and did nothing")]
    Unhealthy,
    /// The worker's life is another one than the order names.
    #[display("the worker has started again")]
    #[strum(to_string = "other_life")]
    WrongIncarnation,
    /// The worker cannot use the order.
    #[display("the worker cannot use the order")]
    Invalid,
    /// The order may have been carried out or may still be.
    #[display("no answer")]
    NoAnswer,
}

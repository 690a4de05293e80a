//! The effects that the owner of a cell carries out, and their errors.

use std::sync::Arc;

use derive_more::{Display, Error};
use pimentochute_base::{MilliSpan, MilliTime};
use strum::IntoStaticStr;

use crate::{AdviceCost, IncarnationNumber, JobCode, StepName, TaskName, WorkerKey, WorkerTarget};

/// An action that the owner of the cell carries out. Starts, stops, polls and
/// advice requests have a result, which goes back to the cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellEffect {
    /// Start a run on a worker.
    Start(StartCommand),
    /// Stop a run on a worker.
    Stop(StopCommand),
    /// Poll a worker: renew its lease and list its runs.
    Poll(PollCommand),
    /// Request advice on which workers may run a step.
    RequestAdvice(AdviceCommand),
    /// Delete the submission of a closed job from the intake, and report that with
    /// [`crate::WorkCell::intake_record_dropped`]. An effect that is returned while the
    /// deletion is under way asks for another one.
    DropIntake(JobCode),
    /// Answer a caller that submitted or cancelled a job.
    Reply(ReplyKey, CallerAnswer),
}

/// Identifies a caller that waits for an answer. The owner chooses the number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyKey(pub u64);

/// The answer to a caller, sent once the log has what it states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CallerAnswer {
    /// The job is in the log.
    Accepted,
    /// The job is cancelled, or had ended before.
    Cancelled,
    /// The job is not known. If the call cancels it, it will not run if it arrives later.
    Unknown,
    /// The job is not accepted and will not run, since its identifier belongs to another one;
    /// the caller should return after this time, or choose another identifier.
    IdentifierTaken(MilliSpan),
    /// The job is not known, and its cancellation cannot be remembered; the caller should
    /// return after this time.
    Busy(MilliSpan),
}

/// The order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartCommand {
    /// The worker, for the cell when the order is answered.
    pub worker: WorkerKey,
    /// The start of the worker that the order is meant for, for the cell when the order
    /// is answered.
    pub incarnation: IncarnationNumber,
    /// The destination of the order.
    pub target: WorkerTarget,
    /// The name of the task.
    pub task: TaskName,
    /// The number of the run, which rises with each run of the task.
    pub run: u32,
    /// The text of the job.
    pub text: Arc<str>,
    /// The new end of the worker's lease, on its clock.
    pub until: MilliTime,
    /// The fencing token.
    pub token: u64,
    /// When the order was sent, on the cell's clock.
    pub sent: MilliTime,
    /// The worker's clock when the order was sent, at least. An answer with an earlier
    /// reading is from an incarnation that the cell does not know yet.
    pub earliest_clock: MilliTime,
    /// The checkpoint to continue from; empty if there is none.
    pub checkpoint: String,
    /// The ticket of the advice service; empty if the queue needs none.
    pub ticket: String,
}

/// The order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopCommand {
    /// The worker, for the cell when the order is answered.
    pub worker: WorkerKey,
    /// The start of the worker that the order is meant for, for the cell when the order
    /// is answered.
    pub incarnation: IncarnationNumber,
    /// The destination of the order.
    pub target: WorkerTarget,
    /// The name of the task, as the worker lists it. It may be the name of a task
    /// that the cell does not know.
    pub task: String,
    /// The number of the run.
    pub run: u32,
    /// The fencing token.
    pub token: u64,
    /// When the order was sent, on the cell's clock.
    pub sent: MilliTime,
    /// The worker's clock when the order was sent, at least. An answer with an earlier
    /// reading is from an incarnation that the cell does not know yet.
    pub earliest_clock: MilliTime,
}

/// The order to renew the lease and to list the runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollCommand {
    /// The worker, for the cell when the order is answered.
    pub worker: WorkerKey,
    /// The start of the worker that the order is meant for, for the cell when the order
    /// is answered.
    pub incarnation: IncarnationNumber,
    /// The destination of the order.
    pub target: WorkerTarget,
    /// The new end of the worker's lease, on its clock; `None` to not extend it.
    pub until: Option<MilliTime>,
    /// The fencing token.
    pub token: u64,
    /// The ends up to this number are in the log, so the worker may forget them.
    pub last_recorded_end: u64,
    /// How long the worker may delay its answer until a run ends.
    pub max_wait: MilliSpan,
    /// When the poll was sent, on the cell's clock.
    pub sent: MilliTime,
}

/// The request for advice on which workers may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceCommand {
    /// The step that is to be placed.
    pub step: StepName,
    /// The identifiers of the workers to consider.
    pub workers: Vec<String>,
    /// The same workers, for the cell when the request is answered: a ticket is valid for
    /// one start of its worker. Empty on the host that passes the call on.
    pub incarnations: Vec<(WorkerKey, IncarnationNumber)>,
    /// The time that the call takes and the validity of the tickets.
    pub cost: AdviceCost,
    /// The address of the host that passes the call on.
    pub relay: String,
    /// The time in which the answer is expected, including the earlier calls of the
    /// relay.
    pub wait: MilliSpan,
    /// When the request was made, on the cell's clock. Zero on the host that passes the
    /// call on.
    pub sent: MilliTime,
}

impl AdviceCommand {
    /// Returns how long the service takes for the call itself.
    #[must_use]
    pub fn span(&self) -> MilliSpan {
        self.cost.span(self.workers.len())
    }

    /// Returns how long the answer may take in addition to the time of the exchange itself:
    /// the expected time, and that of a call that the owner does not know of.
    #[must_use]
    pub fn max_wait(&self) -> MilliSpan {
        self.wait + self.span()
    }
}

/// A worker that may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRow {
    /// The identifier of the worker.
    pub worker: String,
    /// The ticket that the start order has to carry.
    pub ticket: String,
}

/// Why an order was not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OrderError {
    /// The worker knows a higher token.
    #[display("the worker has accepted a higher fencing token")]
    Fenced,
    /// The worker knows this run of the task or a later one.
    #[display("the worker knows this run of the task or a later one")]
    OldRun,
    /// The lease that the order carries had expired on arrival.
    #[display("the order arrived after the end of its lease")]
    TooLate,
    /// The demand of the task exceeds what is free on the worker.
    #[display("the worker has not enough free resources")]
    #[strum(to_string = "no_room")]
    InsufficientResources,
    /// The ticket is missing, wrong or expired.
    #[display("the worker does not accept the ticket")]
    BadTicket,
    /// The worker is unhealthy and did not carry out the order.
    #[display("the worker is unhealthy and did not carry out the order")]
    Unhealthy,
    /// The order was meant for another incarnation of the worker.
    #[display("the worker has restarted")]
    #[strum(to_string = "other_life")]
    WrongIncarnation,
    /// The worker rejects the order as malformed.
    #[display("the worker rejects the order as invalid")]
    Invalid,
    /// No connection to the worker was made, so the order did not leave.
    #[display("the order did not reach the worker")]
    #[strum(to_string = "not_delivered")]
    Undelivered,
    /// There was no valid answer in time. The order may have been carried out, or
    /// may still be.
    #[display("the outcome of the order is unknown: no valid answer from the worker")]
    #[strum(to_string = "no_answer")]
    OutcomeUnknown,
}

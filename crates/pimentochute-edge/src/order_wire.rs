//! The messages about relayed orders: batches from the owner to another host, and the
//! results back. They are encoded like those of `peer_wire`.

use std::collections::BTreeMap;
use std::sync::Arc;

use derive_more::{Display, Error};
use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_platform::TrafficClass;
use pimentochute_work::{
    EndedRow, IncarnationNumber, JobCode, OrderError, PollCommand, RunEnd, RunningRow,
    StartCommand, StopCommand, TaskName, WorkerKey, WorkerListing, WorkerTarget,
};
use serde::{Deserialize, Serialize};

use crate::WorkerOrders;

/// The approximate size of an order in a message without the text of its job.
const ORDER_BYTES: usize = 120;

/// Orders of the owner that another host sends to their workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OrderBatch {
    /// The member name of the host that is meant; empty if the message only asks for its
    /// clock. Another incarnation has another clock and takes no orders.
    pub(crate) relay: String,
    /// At this time or later, on its clock, the relay sends no order to its link. An order may
    /// still wait there for as long as a direct one.
    pub(crate) send_before: MilliTime,
    /// The address that gets the results.
    pub(crate) reply_to: String,
    /// The term of the owner.
    pub(crate) epoch: u64,
    /// The texts of the jobs, each once.
    pub(crate) texts: Vec<Arc<str>>,
    pub(crate) orders: Vec<NumberedOrder>,
}

/// The answer of a relay that has taken a batch: its state, and results of earlier orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RelayStatus {
    /// The member name of the relay.
    pub(crate) relay: String,
    /// The reading of its clock.
    pub(crate) now: MilliTime,
    /// How long an order would wait there for the link.
    pub(crate) link_delay: MilliSpan,
    /// By the number of the order; all of them are of the term of the batch.
    pub(crate) results: Vec<(u64, OrderResultWire)>,
}

/// The results of relayed orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OrderResults {
    /// The term of the owner that sent the orders.
    pub(crate) epoch: u64,
    /// By the number of the order.
    pub(crate) results: Vec<(u64, OrderResultWire)>,
}

/// An order with the number that its result refers to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NumberedOrder {
    pub(crate) number: u64,
    worker: String,
    address: String,
    order: OrderWire,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum OrderWire {
    Start(StartWire),
    Stop(StopWire),
    Poll(PollWire),
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StartWire {
    job: JobCode,
    occurrence: u32,
    step: u16,
    index: u32,
    run: u32,
    /// The index of the text in the batch.
    text: u32,
    until: MilliTime,
    token: u64,
    checkpoint: String,
    ticket: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StopWire {
    task: String,
    run: u32,
    token: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PollWire {
    until: Option<MilliTime>,
    token: u64,
    last_recorded_end: u64,
    max_wait: MilliSpan,
}

/// The result of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OrderResultWire {
    /// A start or a stop was carried out; the worker's clock.
    Clock(MilliTime),
    /// The answer to a poll.
    Listing(ListingWire),
    /// The order came too late to the relay and was not sent.
    NotSent,
    /// The order was not carried out, or its outcome is unknown.
    Failed(OrderErrorWire),
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ListingWire {
    started_at: Option<MilliTime>,
    clock: MilliTime,
    running: Vec<(String, u32, String, u32)>,
    ended: Vec<(u64, String, u32, RunEndWire, String)>,
    unreadable_rows: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum RunEndWire {
    Done,
    Failed,
    Stopped,
    Expired,
    Broken,
    Alone,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OrderErrorWire {
    Fenced,
    OldRun,
    TooLate,
    InsufficientResources,
    BadTicket,
    Unhealthy,
    WrongIncarnation,
    Invalid,
    Undelivered,
    OutcomeUnknown,
}

/// An order of the owner to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WorkerOrder {
    Start(StartCommand),
    Stop(StopCommand),
    Poll(PollCommand),
}

/// The result of an order of any kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OrderOutcome {
    /// A start or a stop was carried out; the worker's clock.
    Clock(MilliTime),
    /// The answer to a poll.
    Listing(WorkerListing),
    /// The order came too late to the relay and was not sent.
    NotSent,
    /// The order was not carried out, or its outcome is unknown.
    Failed(OrderError),
}

/// A start refers to a text that its batch does not have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("an order refers to a text that its batch does not have")]
pub(crate) struct MissingTextError;

/// Collects orders for one message.
#[derive(Debug, Default)]
pub(crate) struct BatchBuilder {
    texts: Vec<Arc<str>>,
    indexes: BTreeMap<Arc<str>, u32>,
    orders: Vec<NumberedOrder>,
}

impl WorkerOrder {
    /// Sends the order and returns its result.
    pub(crate) async fn send_through(&self, orders: &dyn WorkerOrders) -> OrderOutcome {
        let result = match self {
            Self::Start(command) => orders.start(command).await.map(OrderOutcome::Clock),
            Self::Stop(command) => orders.stop(command).await.map(OrderOutcome::Clock),
            Self::Poll(command) => orders.poll(command).await.map(OrderOutcome::Listing),
        };
        result.unwrap_or_else(OrderOutcome::Failed)
    }

    /// Returns the size of the text that the worker gets, in bytes.
    pub(crate) fn text_bytes(&self) -> u64 {
        match self {
            Self::Start(command) => command.text.len() as u64,
            Self::Stop(_) | Self::Poll(_) => 0,
        }
    }

    /// Returns the class of the message to the worker.
    pub(crate) const fn traffic_class(&self) -> TrafficClass {
        match self {
            Self::Start(_) => TrafficClass::Order,
            Self::Stop(_) => TrafficClass::Stop,
            Self::Poll(_) => TrafficClass::Poll,
        }
    }

    /// Returns how long the worker may delay its answer.
    pub(crate) const fn max_wait(&self) -> MilliSpan {
        match self {
            Self::Start(_) | Self::Stop(_) => MilliSpan::ZERO,
            Self::Poll(command) => command.max_wait,
        }
    }

    pub(crate) const fn target(&self) -> &WorkerTarget {
        match self {
            Self::Start(command) => &command.target,
            Self::Stop(command) => &command.target,
            Self::Poll(command) => &command.target,
        }
    }
}

impl BatchBuilder {
    /// Adds an order under `number`.
    pub(crate) fn push(&mut self, number: u64, order: &WorkerOrder) {
        let target = order.target().clone();
        let order = match order {
            WorkerOrder::Start(command) => {
                let text = self.text_index(&command.text);
                OrderWire::Start(StartWire::new(command, text))
            }
            WorkerOrder::Stop(command) => OrderWire::Stop(command.into()),
            WorkerOrder::Poll(command) => OrderWire::Poll(command.into()),
        };
        self.orders.push(NumberedOrder {
            number,
            worker: target.id,
            address: target.address,
            order,
        });
    }

    /// Returns the approximate size of the message with a further order, in bytes.
    pub(crate) fn bytes_with(&self, order: &WorkerOrder) -> usize {
        let added = match order {
            WorkerOrder::Start(command) if !self.indexes.contains_key(&command.text) => {
                command.text.len()
            }
            WorkerOrder::Start(_) | WorkerOrder::Stop(_) | WorkerOrder::Poll(_) => 0,
        };
        let texts: usize = self.texts.iter().map(|text| text.len()).sum();
        texts + added + (self.orders.len() + 1) * ORDER_BYTES
    }

    /// Moves the orders into a message, of which only they and their texts are set.
    pub(crate) fn finish(self, batch: OrderBatch) -> OrderBatch {
        OrderBatch {
            texts: self.texts,
            orders: self.orders,
            ..batch
        }
    }

    fn text_index(&mut self, text: &Arc<str>) -> u32 {
        if let Some(index) = self.indexes.get(text) {
            return *index;
        }
        let index = u32::try_from(self.texts.len()).unwrap_or(u32::MAX);
        self.texts.push(Arc::clone(text));
        self.indexes.insert(Arc::clone(text), index);
        index
    }
}

impl NumberedOrder {
    /// Returns the order for its worker. What only the owner's cell needs is left out.
    ///
    /// # Errors
    /// Fails if `texts` has no text for it.
    pub(crate) fn try_into_order(
        self,
        texts: &[Arc<str>],
    ) -> Result<WorkerOrder, MissingTextError> {
        let target = WorkerTarget {
            id: self.worker,
            address: self.address,
        };
        let worker = WorkerKey::default();
        let incarnation = IncarnationNumber::FIRST;
        Ok(match self.order {
            OrderWire::Start(wire) => {
                let text = texts.get(wire.text as usize).ok_or(MissingTextError)?;
                WorkerOrder::Start(StartCommand {
                    worker,
                    incarnation,
                    target,
                    task: TaskName {
                        job: wire.job,
                        occurrence: wire.occurrence,
                        step: wire.step,
                        index: wire.index,
                    },
                    run: wire.run,
                    text: Arc::clone(text),
                    until: wire.until,
                    token: wire.token,
                    sent: MilliTime::ZERO,
                    earliest_clock: MilliTime::ZERO,
                    checkpoint: wire.checkpoint,
                    ticket: wire.ticket,
                })
            }
            OrderWire::Stop(wire) => WorkerOrder::Stop(StopCommand {
                worker,
                incarnation,
                target,
                task: wire.task,
                run: wire.run,
                token: wire.token,
                sent: MilliTime::ZERO,
                earliest_clock: MilliTime::ZERO,
            }),
            OrderWire::Poll(wire) => WorkerOrder::Poll(PollCommand {
                worker,
                incarnation,
                target,
                until: wire.until,
                token: wire.token,
                last_recorded_end: wire.last_recorded_end,
                max_wait: wire.max_wait,
                sent: MilliTime::ZERO,
            }),
        })
    }
}

impl StartWire {
    fn new(command: &StartCommand, text: u32) -> Self {
        Self {
            job: command.task.job,
            occurrence: command.task.occurrence,
            step: command.task.step,
            index: command.task.index,
            run: command.run,
            text,
            until: command.until,
            token: command.token,
            checkpoint: command.checkpoint.clone(),
            ticket: command.ticket.clone(),
        }
    }
}

impl From<&StopCommand> for StopWire {
    fn from(command: &StopCommand) -> Self {
        Self {
            task: command.task.clone(),
            run: command.run,
            token: command.token,
        }
    }
}

impl From<&PollCommand> for PollWire {
    fn from(command: &PollCommand) -> Self {
        Self {
            until: command.until,
            token: command.token,
            last_recorded_end: command.last_recorded_end,
            max_wait: command.max_wait,
        }
    }
}

impl OrderResultWire {
    /// Returns the number of rows of a listing; 0 for other results.
    pub(crate) const fn rows(&self) -> usize {
        match self {
            Self::Listing(listing) => listing.running.len() + listing.ended.len(),
            Self::Clock(_) | Self::NotSent | Self::Failed(_) => 0,
        }
    }
}

impl From<OrderOutcome> for Result<MilliTime, OrderError> {
    /// The result of a start or of a stop.
    fn from(outcome: OrderOutcome) -> Self {
        match outcome {
            OrderOutcome::Clock(clock) => Ok(clock),
            OrderOutcome::Listing(_) => Err(OrderError::OutcomeUnknown),
            OrderOutcome::NotSent => Err(OrderError::Undelivered),
            OrderOutcome::Failed(error) => Err(error),
        }
    }
}

impl From<OrderOutcome> for Result<WorkerListing, OrderError> {
    /// The result of a poll.
    fn from(outcome: OrderOutcome) -> Self {
        match outcome {
            OrderOutcome::Listing(listing) => Ok(listing),
            OrderOutcome::Clock(_) => Err(OrderError::OutcomeUnknown),
            OrderOutcome::NotSent => Err(OrderError::Undelivered),
            OrderOutcome::Failed(error) => Err(error),
        }
    }
}

impl From<OrderOutcome> for OrderResultWire {
    fn from(outcome: OrderOutcome) -> Self {
        match outcome {
            OrderOutcome::Clock(clock) => Self::Clock(clock),
            OrderOutcome::Listing(listing) => Self::Listing(listing.into()),
            OrderOutcome::NotSent => Self::NotSent,
            OrderOutcome::Failed(error) => Self::Failed(error.into()),
        }
    }
}

impl From<OrderResultWire> for OrderOutcome {
    fn from(wire: OrderResultWire) -> Self {
        match wire {
            OrderResultWire::Clock(clock) => Self::Clock(clock),
            OrderResultWire::Listing(listing) => Self::Listing(listing.into()),
            OrderResultWire::NotSent => Self::NotSent,
            OrderResultWire::Failed(error) => Self::Failed(error.into()),
        }
    }
}

impl From<WorkerListing> for ListingWire {
    fn from(listing: WorkerListing) -> Self {
        let running = listing.running.into_iter();
        let running = running.map(|row| (row.task, row.run, row.checkpoint, row.percent));
        let ended = listing.ended.into_iter().map(|row| {
            let outcome = row.outcome.into();
            (row.number, row.task, row.run, outcome, row.checkpoint)
        });
        Self {
            started_at: listing.started_at,
            clock: listing.clock,
            running: running.collect(),
            ended: ended.collect(),
            unreadable_rows: listing.unreadable_rows,
        }
    }
}

impl From<ListingWire> for WorkerListing {
    fn from(wire: ListingWire) -> Self {
        let running = wire.running.into_iter();
        let running = running.map(|(task, run, checkpoint, percent)| RunningRow {
            task,
            run,
            checkpoint,
            percent,
        });
        let ended = wire.ended.into_iter();
        let ended = ended.map(|(number, task, run, outcome, checkpoint)| EndedRow {
            number,
            task,
            run,
            outcome: outcome.into(),
            checkpoint,
        });
        Self {
            started_at: wire.started_at,
            clock: wire.clock,
            running: running.collect(),
            ended: ended.collect(),
            unreadable_rows: wire.unreadable_rows,
        }
    }
}

impl From<RunEnd> for RunEndWire {
    fn from(end: RunEnd) -> Self {
        match end {
            RunEnd::Done => Self::Done,
            RunEnd::Failed => Self::Failed,
            RunEnd::Stopped => Self::Stopped,
            RunEnd::Expired => Self::Expired,
            RunEnd::Broken => Self::Broken,
            RunEnd::Alone => Self::Alone,
        }
    }
}

impl From<RunEndWire> for RunEnd {
    fn from(wire: RunEndWire) -> Self {
        match wire {
            RunEndWire::Done => Self::Done,
            RunEndWire::Failed => Self::Failed,
            RunEndWire::Stopped => Self::Stopped,
            RunEndWire::Expired => Self::Expired,
            RunEndWire::Broken => Self::Broken,
            RunEndWire::Alone => Self::Alone,
        }
    }
}

impl From<OrderError> for OrderErrorWire {
    fn from(error: OrderError) -> Self {
        match error {
            OrderError::Fenced => Self::Fenced,
            OrderError::OldRun => Self::OldRun,
            OrderError::TooLate => Self::TooLate,
            OrderError::InsufficientResources => Self::InsufficientResources,
            OrderError::BadTicket => Self::BadTicket,
            OrderError::Unhealthy => Self::Unhealthy,
            OrderError::WrongIncarnation => Self::WrongIncarnation,
            OrderError::Invalid => Self::Invalid,
            OrderError::Undelivered => Self::Undelivered,
            OrderError::OutcomeUnknown => Self::OutcomeUnknown,
        }
    }
}

impl From<OrderErrorWire> for OrderError {
    fn from(wire: OrderErrorWire) -> Self {
        match wire {
            OrderErrorWire::Fenced => Self::Fenced,
            OrderErrorWire::OldRun => Self::OldRun,
            OrderErrorWire::TooLate => Self::TooLate,
            OrderErrorWire::InsufficientResources => Self::InsufficientResources,
            OrderErrorWire::BadTicket => Self::BadTicket,
            OrderErrorWire::Unhealthy => Self::Unhealthy,
            OrderErrorWire::WrongIncarnation => Self::WrongIncarnation,
            OrderErrorWire::Invalid => Self::Invalid,
            OrderErrorWire::Undelivered => Self::Undelivered,
            OrderErrorWire::OutcomeUnknown => Self::OutcomeUnknown,
        }
    }
}

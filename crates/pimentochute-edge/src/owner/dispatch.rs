//! Decides which host sends an order of the owner to its worker: this one, or another one
//! while the link of this one is behind. An order takes one way only.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::FutureExt as _;
use futures::future::BoxFuture;
use pimentochute_base::{EpochNumber, MilliSpan, MilliTime};
use pimentochute_work::{
    OrderError, PollCommand, StartCommand, StepName, StopCommand, WorkerListing,
};
use smallvec::SmallVec;

use super::relay_sender::{QueuedOrder, RelaySender};
use super::relayed_answers::{RelayVerdict, RelayedAnswers};
use super::run::CellOwner;
use crate::WorkerOrders;
use crate::order_wire::{OrderOutcome, WorkerOrder};

/// Orders leave through other hosts once one of them would wait for this long for the link
/// of this host.
const MAX_LINK_DELAY: MilliSpan = MilliSpan::new(20);

/// Orders go on leaving through other hosts for this long after the link was behind: the
/// way of an order should not change with each message.
const RELAYED_SPAN: MilliSpan = MilliSpan::new(1_000);

/// An order that is not sent to its worker within this time from now on is not sent at all.
pub(super) const ORDER_VALIDITY: MilliSpan = MilliSpan::new(1_000);

/// The time in which a host sends an order that it has begun to send, and has the answer of
/// a worker that does not wait.
const SEND_TIMEOUT: MilliSpan = MilliSpan::new(1_400);

/// The time in which a result comes back from a relay.
const RETURN_TIMEOUT: MilliSpan = MilliSpan::new(300);

/// This many tasks of a job in a row start through the same host. Their text crosses the
/// link of the owner once, and a gang of many tasks does not wait for the link of one relay.
const TASKS_PER_RELAY: u32 = 32;

/// The number of relays that are used while their links are not behind: with few relays, more
/// orders share a message.
const ACTIVE_RELAYS: usize = 4;

/// The approximate size of a message to a worker without the text of a job.
const MESSAGE_BYTES: u64 = 400;

/// The interval of the log lines about relayed orders.
const LOG_INTERVAL: MilliSpan = MilliSpan::new(1_000);

/// Sends the orders of one term.
pub(super) struct OrderDispatch {
    owner: CellOwner,
    epoch: EpochNumber,
    answers: RelayedAnswers,
    traffic: Arc<RelayTraffic>,
    state: Mutex<DispatchState>,
}

#[derive(Default)]
struct DispatchState {
    /// In the order of their addresses.
    relays: Vec<RelaySender>,
    /// The relays of the starts that have no result yet.
    blocks: BTreeMap<BlockKey, StartBlock>,
    /// The number of orders that failed while orders leave through other hosts, by the address
    /// of the worker; not 0. Another host may reach a worker that a relay is cut off from.
    failures: BTreeMap<String, u64>,
    /// Orders leave through other hosts until then.
    relayed_until: MilliTime,
    counts: OrderCounts,
    logged_at: MilliTime,
}

/// Neighbouring tasks of a step, which start through the same relay.
type BlockKey = (StepName, u32);

/// The starts of neighbouring tasks.
struct StartBlock {
    /// The address of the relay.
    relay: String,
    /// The number of starts without a result; not 0.
    open: u32,
}

/// An order that a relay has and that has no result yet.
struct OpenOrder<'a> {
    dispatch: &'a OrderDispatch,
    /// The load of its relay.
    load: Arc<AtomicU64>,
    bytes: u64,
    /// `None` if it is no start.
    block: Option<BlockKey>,
}

/// The orders that were given to relays since the last log line.
#[derive(Debug, Clone, Copy, Default)]
struct OrderCounts {
    starts: u64,
    stops: u64,
    polls: u64,
    unanswered: u64,
}

/// The messages with orders that left since the last log line.
#[derive(Debug, Default)]
pub(super) struct RelayTraffic {
    messages: AtomicU64,
    bytes: AtomicU64,
    /// The texts of jobs in them, and their part of the bytes.
    texts: AtomicU64,
    text_bytes: AtomicU64,
}

impl OrderDispatch {
    pub(super) fn new(owner: &CellOwner, epoch: EpochNumber) -> Self {
        Self {
            answers: owner.relayed_answers.clone(),
            owner: owner.clone(),
            epoch,
            traffic: Arc::default(),
            state: Mutex::default(),
        }
    }

    /// Sets the addresses of the other hosts.
    pub(super) fn set_relays(&self, addresses: &[String]) {
        let mut state = self.state();
        state
            .relays
            .retain(|relay| addresses.contains(&relay.address));
        for address in addresses {
            let mut relays = state.relays.iter();
            if relays.all(|relay| relay.address != *address) {
                let traffic = Arc::clone(&self.traffic);
                let relay = RelaySender::spawn(&self.owner, self.epoch, address, traffic);
                state.relays.push(relay);
            }
        }
        state.relays.sort_by(|a, b| a.address.cmp(&b.address));
    }

    /// Sends an order and returns its result.
    async fn send(&self, order: WorkerOrder) -> OrderOutcome {
        let clock = &self.owner.context.clock;
        let made_at = clock.now();
        // A stop is small, and should overtake starts.
        let may_relay = !matches!(order, WorkerOrder::Stop(_));
        while may_relay && self.is_link_behind(&order) {
            let (mut waiting, ticket) = self.answers.add(self.epoch);
            let queued = QueuedOrder {
                order: order.clone(),
                made_at,
                ticket,
            };
            let Some(_open) = self.enqueue(queued) else {
                break;
            };
            let timeout = ORDER_VALIDITY + SEND_TIMEOUT + order.max_wait() + RETURN_TIMEOUT;
            let verdict = tokio::time::timeout(timeout.as_duration(), &mut waiting.verdict).await;
            match verdict {
                Ok(Ok(RelayVerdict::Result(outcome))) => {
                    self.state().record_outcome(&order, &outcome);
                    return outcome;
                }
                Ok(Ok(RelayVerdict::NotTaken)) => {}
                Ok(Err(_)) | Err(_) => {
                    let outcome = OrderOutcome::Failed(OrderError::OutcomeUnknown);
                    let mut state = self.state();
                    state.counts.unanswered += 1;
                    state.record_outcome(&order, &outcome);
                    return outcome;
                }
            }
            if clock.now().since(made_at) >= ORDER_VALIDITY {
                return OrderOutcome::Failed(OrderError::Undelivered);
            }
        }
        let outcome = order.send_through(&*self.owner.context.ports.orders).await;
        let mut state = self.state();
        if clock.now() < state.relayed_until {
            state.record_outcome(&order, &outcome);
        }
        outcome
    }

    /// Returns whether orders should leave through other hosts.
    fn is_link_behind(&self, order: &WorkerOrder) -> bool {
        let context = &self.owner.context;
        let delay = context.ports.link.delay(order.traffic_class());
        let now = context.clock.now();
        let mut state = self.state();
        if now >= state.relayed_until {
            state.failures.clear();
        }
        if delay >= MAX_LINK_DELAY {
            state.relayed_until = now + RELAYED_SPAN;
        }
        now < state.relayed_until
    }

    /// Gives an order to a relay; `None` if it should leave from this host.
    fn enqueue(&self, queued: QueuedOrder) -> Option<OpenOrder<'_>> {
        let now = self.owner.context.clock.now();
        let bytes = queued.order.text_bytes() + MESSAGE_BYTES;
        let block = block_of(&queued.order);
        let kind = OrderCounts::from(&queued.order);
        let mut state = self.state();
        let load = state.enqueue(queued, block, now)?;
        state.counts.add(kind);
        if now.since(state.logged_at) >= LOG_INTERVAL {
            state.logged_at = now;
            let counts = std::mem::take(&mut state.counts);
            drop(state);
            counts.log(&self.traffic);
        }
        load.fetch_add(bytes, Ordering::Relaxed);
        Some(OpenOrder {
            dispatch: self,
            load,
            bytes,
            block,
        })
    }

    /// Locks the state. Poisoning is ignored: each update is a single step, so a panic of
    /// another holder leaves the state valid.
    fn state(&self) -> MutexGuard<'_, DispatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DispatchState {
    /// Gives an order to a relay and returns the load of that; `None` if no relay can take
    /// it, or its worker may be reached from this host only.
    fn enqueue(
        &mut self,
        queued: QueuedOrder,
        block: Option<BlockKey>,
        now: MilliTime,
    ) -> Option<Arc<AtomicU64>> {
        let active = self.active_relays(now);
        let worker = &queued.order.target().address;
        let failures = self.failures.get(worker).copied();
        let relay = match (block, failures) {
            (Some(block), None) => self.start_relay(block, &active),
            _ => worker_relay(worker, failures.unwrap_or(0), &active),
        };
        let relay = &self.relays[relay?];
        relay.queue_place(&queued.order)?.send(queued);
        let load = Arc::clone(&relay.open_bytes);
        if let Some(block) = block {
            let relay = relay.address.clone();
            let block = self.blocks.entry(block);
            block.or_insert(StartBlock { relay, open: 0 }).open += 1;
        }
        Some(load)
    }

    /// Notes an order whose sender may not reach its worker. The next ones go another way,
    /// and keep to the way on which they are answered.
    fn record_outcome(&mut self, order: &WorkerOrder, outcome: &OrderOutcome) {
        let worker = &order.target().address;
        if let OrderOutcome::Failed(OrderError::Undelivered | OrderError::OutcomeUnknown) = outcome
        {
            *self.failures.entry(worker.clone()).or_default() += 1;
        }
    }

    /// Returns the indexes of the relays to use: the first ones that work, and before all
    /// those whose links are not behind.
    fn active_relays(&self, now: MilliTime) -> SmallVec<[usize; ACTIVE_RELAYS]> {
        let usable = self.relays.iter().enumerate();
        let usable = usable.filter(|(_, relay)| relay.is_usable());
        let behind = |is_behind: bool| {
            let relays = usable.clone();
            relays.filter(move |(_, relay)| relay.is_behind(now) == is_behind)
        };
        let ordered = behind(false).chain(behind(true));
        ordered
            .map(|(index, _)| index)
            .take(ACTIVE_RELAYS)
            .collect()
    }

    /// Returns the index of the relay that starts tasks of the same block already, or of the
    /// one that has the least to send.
    fn start_relay(&self, block: BlockKey, active: &[usize]) -> Option<usize> {
        let known = self.blocks.get(&block).map(|block| &block.relay);
        let address = |index: usize| &self.relays[index].address;
        let same = active.iter().find(|index| Some(address(**index)) == known);
        let load = |index: usize| self.relays[index].open_bytes.load(Ordering::Relaxed);
        let least = || active.iter().min_by_key(|index| load(**index));
        same.or_else(least).copied()
    }
}

/// Returns the index of the relay of the polls and stops of a worker: the same one while the
/// active ones are, so that it keeps a connection to the worker. Each of `failures`
/// orders moves the next ones to another way; `None` if this host is next.
fn worker_relay(worker: &str, failures: u64, active: &[usize]) -> Option<usize> {
    let mut hasher = DefaultHasher::new();
    worker.hash(&mut hasher);
    let count = active.len() as u64;
    let first = hasher.finish() % count.max(1);
    let ways = if failures == 0 { count } else { count + 1 };
    let place = (first + failures) % ways.max(1);
    active.get(usize::try_from(place).ok()?).copied()
}

impl Drop for OpenOrder<'_> {
    fn drop(&mut self) {
        self.load.fetch_sub(self.bytes, Ordering::Relaxed);
        let Some(key) = self.block else { return };
        let mut state = self.dispatch.state();
        if let Some(block) = state.blocks.get_mut(&key) {
            block.open -= 1;
            if block.open == 0 {
                state.blocks.remove(&key);
            }
        }
    }
}

impl WorkerOrders for OrderDispatch {
    fn start<'a>(
        &'a self,
        command: &'a StartCommand,
    ) -> BoxFuture<'a, Result<MilliTime, OrderError>> {
        let order = WorkerOrder::Start(command.clone());
        self.send(order).map(Result::from).boxed()
    }

    fn stop<'a>(
        &'a self,
        command: &'a StopCommand,
    ) -> BoxFuture<'a, Result<MilliTime, OrderError>> {
        let order = WorkerOrder::Stop(command.clone());
        self.send(order).map(Result::from).boxed()
    }

    fn poll<'a>(
        &'a self,
        command: &'a PollCommand,
    ) -> BoxFuture<'a, Result<WorkerListing, OrderError>> {
        let order = WorkerOrder::Poll(command.clone());
        self.send(order).map(Result::from).boxed()
    }
}

/// Returns the block of a start; `None` for other orders.
fn block_of(order: &WorkerOrder) -> Option<BlockKey> {
    match order {
        WorkerOrder::Start(command) => {
            let task = command.task;
            Some((task.step_name(), task.index / TASKS_PER_RELAY))
        }
        WorkerOrder::Stop(_) | WorkerOrder::Poll(_) => None,
    }
}

impl From<&WorkerOrder> for OrderCounts {
    fn from(order: &WorkerOrder) -> Self {
        let mut counts = Self::default();
        match order {
            WorkerOrder::Start(_) => counts.starts = 1,
            WorkerOrder::Stop(_) => counts.stops = 1,
            WorkerOrder::Poll(_) => counts.polls = 1,
        }
        counts
    }
}

impl OrderCounts {
    const fn add(&mut self, other: Self) {
        self.starts += other.starts;
        self.stops += other.stops;
        self.polls += other.polls;
        self.unanswered += other.unanswered;
    }

    fn log(self, traffic: &RelayTraffic) {
        log::info!(
            starts = self.starts,
            stops = self.stops,
            polls = self.polls,
            unanswered = self.unanswered,
            messages = traffic.messages.swap(0, Ordering::Relaxed),
            bytes = traffic.bytes.swap(0, Ordering::Relaxed),
            texts = traffic.texts.swap(0, Ordering::Relaxed),
            text_bytes = traffic.text_bytes.swap(0, Ordering::Relaxed);
            "owner: orders through relays"
        );
    }
}

impl RelayTraffic {
    /// Counts a message.
    pub(super) fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts the text of a job in a message.
    pub(super) fn add_text(&self, text: &str) {
        self.texts.fetch_add(1, Ordering::Relaxed);
        self.text_bytes
            .fetch_add(text.len() as u64, Ordering::Relaxed);
    }
}

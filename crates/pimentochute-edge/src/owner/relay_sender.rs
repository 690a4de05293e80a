//! Sends orders of the owner in batches to one other host, which relays them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use pimentochute_base::{EpochNumber, MilliSpan, MilliTime};
use pimentochute_work::encode_record;
use tokio::sync::mpsc;
use tokio::task::{JoinError, JoinSet};
use tokio_util::task::AbortOnDropHandle;

use super::dispatch::{ORDER_VALIDITY, RelayTraffic};
use super::relayed_answers::{OrderTicket, RelayedAnswers};
use super::run::CellOwner;
use crate::context::EdgeContext;
use crate::order_wire::{BatchBuilder, OrderBatch, OrderResults, RelayStatus, WorkerOrder};
use crate::peer::{PeerCallError, PeerClient};

/// Orders that come within this time share a message.
const BATCH_DELAY: MilliSpan = MilliSpan::new(20);

/// The largest number of orders in a message.
const MAX_BATCH_ORDERS: usize = 200;

/// A message takes no further order once it has this many bytes, so that urgent messages do
/// not wait long behind it on a slow link.
const MAX_BATCH_BYTES: usize = 24 * 1024;

/// The largest number of messages without an answer.
const MAX_OPEN_MESSAGES: usize = 3;

/// A relay is behind if an order would wait there for this long.
const MAX_RELAY_DELAY: MilliSpan = MilliSpan::new(50);

/// A relay that was behind counts as such for this long.
const BEHIND_SPAN: MilliSpan = MilliSpan::new(1_000);

/// The clocks of two hosts drift apart by less than one part in this many.
const DRIFT_DIVISOR: u64 = 50;

/// The largest number of orders that wait for a message.
const MAX_QUEUED_ORDERS: usize = 1_024;

/// The timeout of a message that only asks for the clock of the relay.
const GREETING_TIMEOUT: MilliSpan = MilliSpan::new(300);

/// A reading of the relay's clock is used for this long.
const MAX_READING_AGE: MilliSpan = MilliSpan::new(10_000);

/// The pause of a relay after its first failure. It doubles with each further one.
const MIN_PAUSE: MilliSpan = MilliSpan::new(250);

/// The number of times that the pause doubles: the longest one is 4 s.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// The queue of orders for one relay; dropping it ends the task that sends them.
pub(super) struct RelaySender {
    pub(super) address: String,
    /// The approximate size of the messages to workers that the relay has to send or that
    /// have no answer yet, in bytes.
    pub(super) open_bytes: Arc<AtomicU64>,
    is_usable: Arc<AtomicBool>,
    /// The relay is behind until then, on the owner's clock, in milliseconds.
    behind_until: Arc<AtomicU64>,
    starts: mpsc::Sender<QueuedOrder>,
    /// The queue of stops and polls, which go before starts: they are small.
    others: mpsc::Sender<QueuedOrder>,
    _task: AbortOnDropHandle<()>,
}

/// An order that waits for a message to its relay.
#[derive(Debug)]
pub(super) struct QueuedOrder {
    pub(super) order: WorkerOrder,
    /// When the order was made, on the owner's clock.
    pub(super) made_at: MilliTime,
    pub(super) ticket: OrderTicket,
}

struct SenderTask {
    context: EdgeContext,
    peer_client: Arc<PeerClient>,
    answers: RelayedAnswers,
    epoch: EpochNumber,
    address: String,
    traffic: Arc<RelayTraffic>,
    /// The relay takes orders, as far as is known.
    is_usable: Arc<AtomicBool>,
    behind_until: Arc<AtomicU64>,
    exchanges: JoinSet<Exchange>,
    starts: mpsc::Receiver<QueuedOrder>,
    others: mpsc::Receiver<QueuedOrder>,
    /// An order that did not fit into the last message.
    held: Option<QueuedOrder>,
    reading: Option<ClockReading>,
    /// The number of failures since the relay last took orders.
    failures: u32,
}

/// The orders of the next message.
struct PendingBatch {
    builder: BatchBuilder,
    tickets: Vec<OrderTicket>,
    /// When the oldest of them was made, on the owner's clock.
    made_at: MilliTime,
}

/// How a message to the relay ended.
struct Exchange {
    status: Result<RelayStatus, PeerCallError>,
    ended_at: MilliTime,
}

/// A reading of the relay's clock.
#[derive(Debug)]
struct ClockReading {
    /// The member name of the relay.
    relay: String,
    clock: MilliTime,
    /// When it was received, on the owner's clock. The relay's clock had the reading then or
    /// before.
    received_at: MilliTime,
}

impl RelaySender {
    /// Starts a task that sends the orders of the term of `epoch` to the host at `address`.
    pub(super) fn spawn(
        owner: &CellOwner,
        epoch: EpochNumber,
        address: &str,
        traffic: Arc<RelayTraffic>,
    ) -> Self {
        let (start_queue, starts) = mpsc::channel(MAX_QUEUED_ORDERS);
        let (other_queue, others) = mpsc::channel(MAX_QUEUED_ORDERS);
        let is_usable = Arc::new(AtomicBool::new(true));
        let behind_until = Arc::default();
        let task = SenderTask {
            context: owner.context.clone(),
            peer_client: Arc::clone(&owner.peer_client),
            answers: owner.relayed_answers.clone(),
            epoch,
            address: address.to_owned(),
            traffic,
            is_usable: Arc::clone(&is_usable),
            behind_until: Arc::clone(&behind_until),
            exchanges: JoinSet::new(),
            starts,
            others,
            held: None,
            reading: None,
            failures: 0,
        };
        Self {
            address: address.to_owned(),
            open_bytes: Arc::default(),
            is_usable,
            behind_until,
            starts: start_queue,
            others: other_queue,
            _task: AbortOnDropHandle::new(tokio::spawn(task.run())),
        }
    }

    /// Returns whether the relay takes orders, as far as is known.
    pub(super) fn is_usable(&self) -> bool {
        self.is_usable.load(Ordering::Relaxed)
    }

    /// Returns whether orders would wait long at the relay.
    pub(super) fn is_behind(&self, now: MilliTime) -> bool {
        now.as_millis() < self.behind_until.load(Ordering::Relaxed)
    }

    /// Returns a place for an order; `None` if its queue is full.
    pub(super) fn queue_place(&self, order: &WorkerOrder) -> Option<mpsc::Permit<'_, QueuedOrder>> {
        let queue = match order {
            WorkerOrder::Start(_) => &self.starts,
            WorkerOrder::Stop(_) | WorkerOrder::Poll(_) => &self.others,
        };
        queue.try_reserve().ok()
    }
}

impl ClockReading {
    /// Returns a reading that the relay's clock has reached at `now`, on the owner's clock.
    fn estimate(&self, now: MilliTime) -> MilliTime {
        let age = now.since(self.received_at);
        let drift = MilliSpan::new(age.as_millis() / DRIFT_DIVISOR);
        self.clock + age.saturating_sub(drift)
    }
}

impl SenderTask {
    async fn run(mut self) {
        loop {
            while self.exchanges.len() >= MAX_OPEN_MESSAGES {
                self.finish_next().await;
            }
            let Some(batch) = self.next_batch().await else {
                return;
            };
            while let Some(exchange) = self.exchanges.try_join_next() {
                self.finish(exchange).await;
            }
            if !batch.tickets.is_empty() && !self.send(batch).await {
                self.recover().await;
            }
        }
    }

    /// Waits for an order, and collects those that come soon after it. Orders that have
    /// waited for too long are dropped as not taken. `None` if the term has ended.
    async fn next_batch(&mut self) -> Option<PendingBatch> {
        let first = match self.held.take() {
            Some(held) => held,
            None => self.next_order().await?,
        };
        tokio::time::sleep(BATCH_DELAY.as_duration()).await;
        let now = self.context.clock.now();
        let mut batch = PendingBatch {
            builder: BatchBuilder::default(),
            tickets: Vec::new(),
            made_at: now,
        };
        let mut next = Some(first);
        while let Some(queued) = next {
            if now.since(queued.made_at) < ORDER_VALIDITY {
                if !batch.fits(&queued.order) {
                    self.held = Some(queued);
                    break;
                }
                batch.push(queued);
            }
            let other = self.others.try_recv();
            next = other.or_else(|_| self.starts.try_recv()).ok();
        }
        Some(batch)
    }

    /// Waits for an order. `None` if the term has ended.
    async fn next_order(&mut self) -> Option<QueuedOrder> {
        tokio::select! {
            biased;
            queued = self.others.recv() => queued,
            queued = self.starts.recv() => queued,
        }
    }

    /// Begins to send a batch; returns false if the relay cannot be asked for its clock.
    async fn send(&mut self, mut batch: PendingBatch) -> bool {
        let Some((relay, relay_now)) = self.relay_time().await else {
            return false;
        };
        let now = self.context.clock.now();
        let left = (batch.made_at + ORDER_VALIDITY).since(now);
        let message = batch.builder.finish(OrderBatch {
            relay,
            send_before: relay_now + left,
            ..self.empty_batch()
        });
        for text in &message.texts {
            self.traffic.add_text(text);
        }
        let Ok(message) = encode_record(&message) else {
            log::error!(relay:% = self.address; "owner: orders cannot be encoded");
            return true;
        };
        for ticket in &mut batch.tickets {
            ticket.mark_sent();
        }
        self.traffic.add(message.len());
        let (peer_client, clock) = (Arc::clone(&self.peer_client), self.context.clock.clone());
        let (address, epoch) = (self.address.clone(), self.epoch);
        let answers = self.answers.clone();
        self.exchanges.spawn(async move {
            let mut status = peer_client.send_orders(&address, message).await;
            if let Ok(status) = &mut status {
                let results = std::mem::take(&mut status.results);
                let epoch = epoch.get();
                answers.record_results(OrderResults { epoch, results });
            }
            if let Err(error) = &status {
                let is_refusal = error.is_refusal();
                log::warn!(
                    relay:% = address, epoch:%, orders = batch.tickets.len(), is_refusal, error:%;
                    "owner: a relay has not taken orders, or may not have"
                );
                if is_refusal {
                    for ticket in &mut batch.tickets {
                        ticket.mark_refused();
                    }
                }
            }
            let ended_at = clock.now();
            Exchange { status, ended_at }
        });
        true
    }

    async fn finish_next(&mut self) {
        if let Some(exchange) = self.exchanges.join_next().await {
            self.finish(exchange).await;
        }
    }

    /// Notes how a message ended, and sets the relay apart if it has failed.
    async fn finish(&mut self, exchange: Result<Exchange, JoinError>) {
        let Ok(Exchange {
            status: Ok(status),
            ended_at,
        }) = exchange
        else {
            self.recover().await;
            return;
        };
        self.failures = 0;
        self.record_status(status, ended_at);
    }

    /// Returns the member name of the relay and a reading that its clock has reached. Asks
    /// it if there is no recent reading.
    async fn relay_time(&mut self) -> Option<(String, MilliTime)> {
        let now = self.context.clock.now();
        let is_recent = |reading: &ClockReading| now.since(reading.received_at) < MAX_READING_AGE;
        if !self.reading.as_ref().is_some_and(is_recent) {
            self.reading = None;
            self.greet().await;
        }
        let reading = self.reading.as_ref()?;
        Some((
            reading.relay.clone(),
            reading.estimate(self.context.clock.now()),
        ))
    }

    /// Asks the relay for its clock; returns whether it answers.
    async fn greet(&mut self) -> bool {
        let Ok(greeting) = encode_record(&self.empty_batch()) else {
            return false;
        };
        self.traffic.add(greeting.len());
        let exchange = self.peer_client.send_orders(&self.address, greeting);
        match tokio::time::timeout(GREETING_TIMEOUT.as_duration(), exchange).await {
            Ok(Ok(status)) => {
                self.record_status(status, self.context.clock.now());
                return true;
            }
            Ok(Err(error)) => {
                log::info!(relay:% = self.address, error:%; "owner: a relay takes no orders");
            }
            Err(_) => {
                log::info!(relay:% = self.address; "owner: a relay has not answered in time");
            }
        }
        false
    }

    /// Notes the state of the relay. Of several readings of its clock the one is kept whose
    /// answer was on its way for the shortest time.
    fn record_status(&mut self, status: RelayStatus, received_at: MilliTime) {
        if status.link_delay >= MAX_RELAY_DELAY {
            let until = received_at + BEHIND_SPAN;
            self.behind_until
                .store(until.as_millis(), Ordering::Relaxed);
        }
        let is_better = self.reading.as_ref().is_none_or(|known| {
            known.relay != status.relay || known.estimate(received_at) <= status.now
        });
        if is_better {
            self.reading = Some(ClockReading {
                relay: status.relay,
                clock: status.now,
                received_at,
            });
        }
    }

    /// Sets the relay apart until it answers again. Orders that wait for it are dropped as
    /// not taken.
    async fn recover(&mut self) {
        self.is_usable.store(false, Ordering::Relaxed);
        self.held = None;
        self.reading = None;
        // The results of what these have delivered may still come.
        self.exchanges.detach_all();
        loop {
            let doublings = self.failures.min(MAX_PAUSE_DOUBLINGS);
            let pause = MilliSpan::new(MIN_PAUSE.as_millis() << doublings);
            self.failures += 1;
            let ends = tokio::time::sleep(pause.as_duration());
            tokio::pin!(ends);
            loop {
                tokio::select! {
                    () = &mut ends => break,
                    queued = self.next_order() => match queued {
                        Some(queued) => drop(queued),
                        None => return,
                    }
                }
            }
            if self.greet().await {
                break;
            }
        }
        self.is_usable.store(true, Ordering::Relaxed);
    }

    fn empty_batch(&self) -> OrderBatch {
        OrderBatch {
            relay: String::new(),
            send_before: MilliTime::ZERO,
            reply_to: self.context.settings.peer_address().to_string(),
            epoch: self.epoch.get(),
            texts: Vec::new(),
            orders: Vec::new(),
        }
    }
}

impl PendingBatch {
    /// Returns whether the message may take a further order.
    fn fits(&self, order: &WorkerOrder) -> bool {
        self.tickets.is_empty()
            || self.tickets.len() < MAX_BATCH_ORDERS
                && self.builder.bytes_with(order) <= MAX_BATCH_BYTES
    }

    fn push(&mut self, queued: QueuedOrder) {
        self.builder.push(queued.ticket.number(), &queued.order);
        self.tickets.push(queued.ticket);
        self.made_at = self.made_at.min(queued.made_at);
    }
}

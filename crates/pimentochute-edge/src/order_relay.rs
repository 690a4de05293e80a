//! Sends orders of the owner, which runs on another host, to their workers, and returns
//! the results. Log lines of this module have the prefix `relay:`.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::{Display, Error};
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_platform::TrafficClass;

use crate::context::EdgeContext;
use crate::order_wire::{
    MissingTextError, OrderBatch, OrderOutcome, OrderResultWire, OrderResults, RelayStatus,
    WorkerOrder,
};
use crate::peer::PeerClient;

/// Results that come within this time share a message, unless the answer to a batch takes
/// them along before.
const RESULT_DELAY: MilliSpan = MilliSpan::new(50);

/// The largest number of results in a message, where each row of a listing counts as one. A
/// row has about 60 bytes, so that a message passes a slow link in a part of its timeout.
const MAX_RESULT_ROWS: usize = 400;

/// How often results are sent that the owner does not confirm.
const RESULT_TRIES: u32 = 2;

/// The largest number of orders without a result; further batches are refused.
const MAX_OPEN_ORDERS: usize = 2_000;

/// Carries out the orders of other hosts. Clones share their state.
#[derive(Clone)]
pub(crate) struct OrderRelay {
    context: EdgeContext,
    peer_client: Arc<PeerClient>,
    outboxes: Arc<Mutex<BTreeMap<OwnerTermKey, Vec<NumberedResult>>>>,
    open_orders: Arc<AtomicUsize>,
}

/// The address of an owner and its term.
type OwnerTermKey = (String, u64);

/// A result with the number of its order.
type NumberedResult = (u64, OrderResultWire);

/// Why a batch was refused: none of its orders is carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub(crate) enum BatchRefusal {
    /// The host stops, or has too many orders.
    #[display("the host takes no further orders")]
    Busy,
    /// The batch was meant for another incarnation of the host.
    #[display("the orders are for another incarnation of this host")]
    OtherIncarnation,
    /// An order cannot be decoded.
    #[display("{source}")]
    Invalid {
        /// What is wrong with it.
        source: MissingTextError,
    },
}

impl OrderRelay {
    pub(crate) fn new(context: EdgeContext, peer_client: Arc<PeerClient>) -> Self {
        Self {
            context,
            peer_client,
            outboxes: Arc::default(),
            open_orders: Arc::default(),
        }
    }

    /// Takes all orders of a batch and begins to carry them out, or none of them.
    ///
    /// # Errors
    /// Fails if the batch was refused.
    pub(crate) fn accept(&self, batch: OrderBatch) -> Result<RelayStatus, BatchRefusal> {
        if self.context.gate.is_draining()
            || self.open_orders.load(Ordering::Relaxed) + batch.orders.len() > MAX_OPEN_ORDERS
        {
            return Err(BatchRefusal::Busy);
        }
        let mut status = RelayStatus {
            relay: self.context.member.to_string(),
            now: self.context.clock.now(),
            link_delay: self.context.ports.link.delay(TrafficClass::Order),
            results: Vec::new(),
        };
        if batch.orders.is_empty() {
            return Ok(status);
        }
        if batch.relay != *self.context.member {
            return Err(BatchRefusal::OtherIncarnation);
        }
        let mut orders = Vec::with_capacity(batch.orders.len());
        for order in batch.orders {
            let number = order.number;
            let order = order.try_into_order(&batch.texts);
            let order = order.map_err(|source| BatchRefusal::Invalid { source })?;
            orders.push((number, order));
        }
        self.open_orders.fetch_add(orders.len(), Ordering::Relaxed);
        let owner = (batch.reply_to, batch.epoch);
        status.results = self
            .outboxes()
            .get_mut(&owner)
            .map_or_else(Vec::new, take_some);
        let relay = self.clone();
        let send_before = batch.send_before;
        tokio::spawn(async move { relay.carry_out(owner, orders, send_before).await });
        Ok(status)
    }

    async fn carry_out(
        &self,
        owner: OwnerTermKey,
        orders: Vec<(u64, WorkerOrder)>,
        send_before: MilliTime,
    ) {
        let sends = orders.into_iter().map(async |(number, order)| {
            let outcome = self.send(&order, send_before).await;
            (number, outcome)
        });
        let mut sends: FuturesUnordered<_> = sends.collect();
        while let Some((number, outcome)) = sends.next().await {
            self.open_orders.fetch_sub(1, Ordering::Relaxed);
            self.post_result(&owner, (number, outcome.into()));
        }
    }

    /// Sends an order, unless it is too late or the link would make it so.
    async fn send(&self, order: &WorkerOrder, send_before: MilliTime) -> OrderOutcome {
        let leaves_at =
            self.context.clock.now() + self.context.ports.link.delay(order.traffic_class());
        if leaves_at >= send_before {
            log::warn!(
                worker:% = order.target().id, leaves_at:%, send_before:%;
                "relay: an order came too late and was not sent"
            );
            return OrderOutcome::NotSent;
        }
        order.send_through(&*self.context.ports.orders).await
    }

    /// Adds a result to the next message to its owner.
    fn post_result(&self, owner: &OwnerTermKey, result: NumberedResult) {
        let mut outboxes = self.outboxes();
        if let Some(outbox) = outboxes.get_mut(owner) {
            outbox.push(result);
            return;
        }
        outboxes.insert(owner.clone(), vec![result]);
        let relay = self.clone();
        let owner = owner.clone();
        tokio::spawn(async move {
            tokio::time::sleep(RESULT_DELAY.as_duration()).await;
            relay.send_results(owner).await;
        });
    }

    /// Sends the results for an owner that have been collected. To the owner, those that are
    /// lost are missing answers.
    async fn send_results(&self, owner: OwnerTermKey) {
        let mut results = self.outboxes().remove(&owner).unwrap_or_default();
        let (address, epoch) = owner;
        while !results.is_empty() {
            let message = OrderResults {
                epoch,
                results: take_some(&mut results),
            };
            self.send_message(&address, &message).await;
        }
    }

    /// Sends results, again if there is no answer: the owner ignores repeated ones.
    async fn send_message(&self, address: &str, message: &OrderResults) {
        for tries_left in (0..RESULT_TRIES).rev() {
            let Err(error) = self.peer_client.send_results(address, message).await else {
                return;
            };
            log::warn!(
                owner:% = address, epoch = message.epoch, count = message.results.len(),
                tries_left, error:%;
                "relay: results of orders have no answer"
            );
        }
    }

    /// Locks the results. Poisoning is ignored: each update is a single step, so a panic of
    /// another holder leaves them valid.
    fn outboxes(&self) -> MutexGuard<'_, BTreeMap<OwnerTermKey, Vec<NumberedResult>>> {
        self.outboxes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes as many results as a message should have.
fn take_some(results: &mut Vec<NumberedResult>) -> Vec<NumberedResult> {
    let mut rows = 0;
    let fitting = results.iter().take_while(|(_, result)| {
        let fits = rows < MAX_RESULT_ROWS;
        rows += 1 + result.rows();
        fits
    });
    let count = fitting.count();
    results.drain(..count).collect()
}

//! The orders of the owner on this host that other hosts carry out.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pimentochute_base::EpochNumber;
use tokio::sync::oneshot;

use crate::order_wire::{OrderOutcome, OrderResults};

/// The term of the owner and the number of an order in it.
type OrderKey = (u64, u64);

/// The relayed orders that have no result yet. Clones share their state.
#[derive(Debug, Clone, Default)]
pub(crate) struct RelayedAnswers {
    state: Arc<Mutex<AnswersState>>,
}

#[derive(Debug, Default)]
struct AnswersState {
    waiting: BTreeMap<OrderKey, oneshot::Sender<RelayVerdict>>,
    next_number: u64,
}

/// What became of an order that was given to a relay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RelayVerdict {
    /// The relay has not taken the order and never will.
    NotTaken,
    /// The relay has carried it out.
    Result(OrderOutcome),
}

/// Waits for the result of a relayed order. A result that comes after it is dropped is
/// ignored.
#[derive(Debug)]
pub(super) struct RelayedOrder {
    answers: RelayedAnswers,
    key: OrderKey,
    pub(super) verdict: oneshot::Receiver<RelayVerdict>,
}

/// The claim of a relay's queue on an order. Unless [`OrderTicket::mark_sent`] is called, the
/// order counts as not taken when this is dropped.
#[derive(Debug)]
pub(super) struct OrderTicket {
    answers: RelayedAnswers,
    key: OrderKey,
    is_sent: bool,
}

impl RelayedAnswers {
    /// Adds an order of the term of `epoch`.
    pub(super) fn add(&self, epoch: EpochNumber) -> (RelayedOrder, OrderTicket) {
        let (sender, verdict) = oneshot::channel();
        let mut state = self.state();
        state.next_number += 1;
        let key = (epoch.get(), state.next_number);
        state.waiting.insert(key, sender);
        drop(state);
        let order = RelayedOrder {
            answers: self.clone(),
            key,
            verdict,
        };
        let ticket = OrderTicket {
            answers: self.clone(),
            key,
            is_sent: false,
        };
        (order, ticket)
    }

    /// Passes results on to the orders that wait for them. Those of earlier terms and of
    /// orders that were given up are ignored.
    pub(crate) fn record_results(&self, results: OrderResults) {
        let epoch = results.epoch;
        for (number, result) in results.results {
            self.resolve((epoch, number), RelayVerdict::Result(result.into()));
        }
    }

    fn resolve(&self, key: OrderKey, verdict: RelayVerdict) {
        let waiting = self.state().waiting.remove(&key);
        if waiting.is_none_or(|waiting| waiting.send(verdict).is_err()) {
            let (epoch, number) = key;
            log::info!(epoch, number; "owner: a relayed order has a result too late");
        }
    }

    /// Locks the state. Poisoning is ignored: each update is a single step, so a panic of
    /// another holder leaves the state valid.
    fn state(&self) -> MutexGuard<'_, AnswersState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for RelayedOrder {
    fn drop(&mut self) {
        self.answers.state().waiting.remove(&self.key);
    }
}

impl OrderTicket {
    /// Returns the number of the order in its term.
    pub(super) const fn number(&self) -> u64 {
        self.key.1
    }

    /// Notes that the relay may have taken the order.
    pub(super) fn mark_sent(&mut self) {
        self.is_sent = true;
    }

    /// Takes [`OrderTicket::mark_sent`] back: the relay has certainly not taken the order.
    pub(super) fn mark_refused(&mut self) {
        self.is_sent = false;
    }
}

impl Drop for OrderTicket {
    fn drop(&mut self) {
        if !self.is_sent {
            let waiting = self.answers.state().waiting.remove(&self.key);
            if let Some(waiting) = waiting {
                // The order may have been given up in the meantime.
                drop(waiting.send(RelayVerdict::NotTaken));
            }
        }
    }
}

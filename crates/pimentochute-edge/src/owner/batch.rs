//! Appends the batches of a term to the log.

use pimentochute_base::MilliSpan;
use tokio::sync::mpsc;

use super::load::{OWNER_TOPIC, stamp_of};
use super::term::TermEvent;
use crate::context::EdgeContext;
use crate::{AppendCall, KeyedRecord, StoreError};

/// The delay before a batch is sent again that reached the log ahead of an
/// earlier one.
const REORDER_DELAY: MilliSpan = MilliSpan::new(10);

/// The delay before a failed append is retried.
const RETRY_DELAY: MilliSpan = MilliSpan::new(100);

/// Appends one batch to the log.
pub(super) struct BatchWriter {
    pub(super) context: EdgeContext,
    pub(super) events: mpsc::Sender<TermEvent>,
    pub(super) epoch: u64,
    pub(super) sequence: u64,
    pub(super) records: Vec<KeyedRecord>,
}

impl BatchWriter {
    /// Appends the batch and retries until it is in the log or a newer epoch
    /// fences it.
    pub(super) async fn run(self) -> TermEvent {
        let sequence = self.sequence;
        loop {
            let call = AppendCall {
                topic: OWNER_TOPIC.to_owned(),
                records: self.records.clone(),
                stamp: Some(stamp_of(self.epoch, sequence)),
                expected_end: None,
            };
            let sent_at = self.context.clock.now();
            let result = self.context.ports.store.append(call).await;
            let took = self.context.clock.now().since(sent_at);
            let outcome = if result.is_ok() { "done" } else { "failed" };
            self.context.counters.record_batch(outcome, took);
            match result {
                Ok(_) => return TermEvent::Recorded { sequence, sent_at },
                Err(StoreError::Fenced) => return TermEvent::Fenced,
                // An earlier batch has not reached the log yet.
                Err(StoreError::OutOfSequence) => {
                    tokio::time::sleep(REORDER_DELAY.as_duration()).await;
                }
                Err(error) => {
                    let is_refusal = error.is_refusal(took);
                    let failed = TermEvent::AppendFailed { error, is_refusal };
                    // Sending fails only if the term has ended and nothing
                    // reads the result.
                    drop(self.events.send(failed).await);
                    tokio::time::sleep(RETRY_DELAY.as_duration()).await;
                }
            }
        }
    }
}

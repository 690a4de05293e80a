//! Writing the batches of a term to the log.

use pimentochute_base::MilliSpan;
use tokio::sync::mpsc;

use super::load::{PROGRESS_TOPIC, stamp_of};
use super::term::TermEvent;
use crate::context::EdgeContext;
use crate::{AppendCall, KeyedRecord, StoreError};

/// The pause before a batch that overtook an earlier one is sent again.
const REORDER_DELAY: MilliSpan = MilliSpan::new(10);

/// The pause after a failed call.
const RETRY_DELAY: MilliSpan = MilliSpan::new(100);

/// Writes one batch.
pub(super) struct BatchWriter {
    pub(super) context: EdgeContext,
    pub(super) events: mpsc::Sender<TermEvent>,
    pub(super) epoch: u64,
    pub(super) sequence: u64,
    pub(super) records: Vec<KeyedRecord>,
}

impl BatchWriter {
    /// Appends the batch, again and again until the log has answered.
    pub(super) async fn run(self) -> TermEvent {
        let sequence = self.sequence;
        loop {
            let call = AppendCall {
                topic: PROGRESS_TOPIC.to_owned(),
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
                // An earlier batch is still on its way.
                Err(StoreError::OutOfSequence) => {
                    tokio::time::sleep(REORDER_DELAY.as_duration()).await;
                }
                Err(error) => {
                    // The term may have ended; nobody needs the result then.
                    drop(self.events.send(TermEvent::AppendFailed { error }).await);
                    tokio::time::sleep(RETRY_DELAY.as_duration()).await;
                }
            }
        }
    }
}

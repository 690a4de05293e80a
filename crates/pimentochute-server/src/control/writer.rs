//! Appends records in batches, through the writer of the data centre.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pimentochute_base::{HostName, MilliSpan, StreamName};
use pimentochute_platform::{AppendError, LogService};
use pimentochute_state::{CellRecord, RecordBatch, StampedRecord};
use tokio::sync::{mpsc, oneshot};

use crate::peer::{PeerError, PeerLink};

/// About the bytes of a record without its lists and texts.
const BASE_RECORD_BYTES: usize = 500;

/// The records that may wait to be appended.
const QUEUE_LENGTH: usize = 8192;

/// The pause between batches that are sent to the data centre's writer.
const FORWARD_PAUSE: MilliSpan = MilliSpan::new(10);

/// The most bytes of the records of one append; the log's readers skip longer
/// payloads than 1 MiB.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Tells which host appends for the data centre.
pub(crate) trait WriterChoice: Send + Sync {
    /// Returns who appends.
    fn writer(&self) -> WriterRole;
}

/// Who appends for the data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WriterRole {
    /// This host.
    ThisHost,
    /// Another host, which records are sent to.
    OtherHost(HostName),
    /// Nobody yet, so that each host appends by itself.
    Nobody,
}

/// How often a host appends, and how much at once.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AppendPace {
    /// The shortest time between appends of the data centre's writer.
    pub writer: MilliSpan,
    /// The shortest time between appends of a host that cannot reach the
    /// writer.
    pub fallback: MilliSpan,
    /// The records from which on a batch takes no more.
    pub records: usize,
}

/// The sending side of the batched writer.
#[derive(Debug, Clone)]
pub(crate) struct WriterQueue {
    sender: mpsc::Sender<WriteOrder>,
}

/// Records that go into the log, and who waits for the append.
#[derive(Debug)]
struct WriteOrder {
    records: Vec<StampedRecord>,
    /// Whether the records came from another host and must not be forwarded.
    from_peer: bool,
    done: oneshot::Sender<Result<(), AppendError>>,
}

impl WriteOrder {
    /// Returns about how many bytes the records take.
    fn size(&self) -> usize {
        self.records.iter().map(record_size).sum()
    }
}

impl WriterQueue {
    /// Appends records of this host.
    ///
    /// # Errors
    /// Fails as the log's append does.
    pub(crate) async fn append(&self, records: Vec<StampedRecord>) -> Result<(), AppendError> {
        self.order(records, false).await
    }

    /// Appends records of another host.
    ///
    /// # Errors
    /// Fails as the log's append does.
    pub(crate) async fn append_for_peer(
        &self,
        records: Vec<StampedRecord>,
    ) -> Result<(), AppendError> {
        self.order(records, true).await
    }

    async fn order(&self, records: Vec<StampedRecord>, from_peer: bool) -> Result<(), AppendError> {
        let (done, result) = oneshot::channel();
        let order = WriteOrder {
            records,
            from_peer,
            done,
        };
        if self.sender.try_send(order).is_err() {
            // Bounds the memory of a host while the log is slow.
            return Err(not_appended("too many records wait to be appended"));
        }
        result
            .await
            .unwrap_or_else(|_| Err(unknown("the writer stopped")))
    }
}

/// Takes records from a queue and appends them.
pub(crate) struct RecordWriter {
    log: Arc<dyn LogService>,
    link: Arc<dyn PeerLink>,
    choice: Arc<dyn WriterChoice>,
    stream: StreamName,
    pace: AppendPace,
    receiver: tokio::sync::Mutex<mpsc::Receiver<WriteOrder>>,
}

impl RecordWriter {
    /// Creates a writer of `stream` and the queue that feeds it.
    pub(crate) fn new(
        log: Arc<dyn LogService>,
        link: Arc<dyn PeerLink>,
        choice: Arc<dyn WriterChoice>,
        stream: StreamName,
        pace: AppendPace,
    ) -> (Self, WriterQueue) {
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
        let receiver = tokio::sync::Mutex::new(receiver);
        let writer = Self {
            log,
            link,
            choice,
            stream,
            pace,
            receiver,
        };
        (writer, WriterQueue { sender })
    }

    /// Appends until every sender of the queue is gone.
    pub(crate) async fn run(&self) {
        let mut receiver = self.receiver.lock().await;
        while let Some(first) = receiver.recv().await {
            let orders = collect_orders(first, &mut receiver, self.pace.records);
            let pause = self.write(orders).await;
            // Records that come meanwhile make up the next batch.
            tokio::time::sleep(pause).await;
        }
    }

    /// Writes a batch and returns the pause until the next one.
    async fn write(&self, orders: Vec<WriteOrder>) -> Duration {
        let (peer_orders, own_orders): (Vec<_>, Vec<_>) =
            orders.into_iter().partition(|order| order.from_peer);
        let host = match self.choice.writer() {
            WriterRole::ThisHost => {
                self.append(own_orders.into_iter().chain(peer_orders).collect())
                    .await;
                return self.pace.writer.as_duration();
            }
            WriterRole::Nobody => {
                self.append(own_orders.into_iter().chain(peer_orders).collect())
                    .await;
                return self.pace.fallback.as_duration();
            }
            WriterRole::OtherHost(host) => host,
        };
        let mut pause = FORWARD_PAUSE;
        if !peer_orders.is_empty() {
            // The sender still holds this host for the writer.
            self.append(peer_orders).await;
            pause = self.pace.writer;
        }
        if !own_orders.is_empty() && !self.forward(&host, own_orders).await {
            pause = self.pace.fallback;
        }
        pause.as_duration()
    }

    /// Sends a batch to the writer, or appends it if the writer does not take
    /// it. Tells whether the writer took it.
    ///
    /// A writer without an answer may be paused, and its slice can be claimed
    /// only by a record that does not depend on it. If the batch is appended
    /// twice, the second one has no effect.
    async fn forward(&self, writer: &HostName, orders: Vec<WriteOrder>) -> bool {
        let error = match self.link.append(writer, records_of(&orders)).await {
            Ok(()) => {
                finish(orders, || Ok(()));
                return true;
            }
            Err(error) => error,
        };
        log::debug!("writer: Records are appended here. {error}");
        let may_be_appended = matches!(error, PeerError::OutcomeUnknown { .. });
        match self.append_batch(&orders).await {
            Err(AppendError::NotAppended { detail }) if may_be_appended => {
                finish(orders, || Err(unknown(&detail)));
            }
            result => finish_alike(orders, &result),
        }
        false
    }

    async fn append(&self, orders: Vec<WriteOrder>) {
        let result = self.append_batch(&orders).await;
        finish_alike(orders, &result);
    }

    async fn append_batch(&self, orders: &[WriteOrder]) -> Result<(), AppendError> {
        let batch = RecordBatch {
            records: records_of(orders),
        };
        let payload = serde_json::to_vec(&batch);
        let payload = payload.map_err(|error| not_appended(&error.to_string()))?;
        let appended = self.log.append(&self.stream, Bytes::from(payload)).await;
        appended.map(drop)
    }
}

fn collect_orders(
    first: WriteOrder,
    receiver: &mut mpsc::Receiver<WriteOrder>,
    max_records: usize,
) -> Vec<WriteOrder> {
    let mut count = first.records.len();
    let mut bytes = first.size();
    let mut orders = vec![first];
    while count < max_records && bytes < MAX_BATCH_BYTES {
        let Ok(order) = receiver.try_recv() else {
            break;
        };
        count += order.records.len();
        bytes += order.size();
        orders.push(order);
    }
    orders
}

/// Returns about how many bytes a record takes as JSON.
fn record_size(record: &StampedRecord) -> usize {
    match &record.record {
        CellRecord::JobSubmitted { spec, .. } => BASE_RECORD_BYTES + 2 * spec.command.len(),
        CellRecord::TasksPlaced { tasks, .. } => BASE_RECORD_BYTES + 150 * tasks.len(),
        _ => BASE_RECORD_BYTES,
    }
}

fn records_of(orders: &[WriteOrder]) -> Vec<StampedRecord> {
    orders
        .iter()
        .flat_map(|order| order.records.iter().cloned())
        .collect()
}

fn finish(orders: Vec<WriteOrder>, result: impl Fn() -> Result<(), AppendError>) {
    for order in orders {
        // A receiver that is gone no longer needs the answer.
        let _ = order.done.send(result());
    }
}

fn finish_alike(orders: Vec<WriteOrder>, result: &Result<(), AppendError>) {
    finish(orders, || match result {
        Ok(()) => Ok(()),
        Err(AppendError::NotAppended { detail }) => Err(not_appended(detail)),
        Err(AppendError::OutcomeUnknown { detail }) => Err(unknown(detail)),
    });
}

fn not_appended(detail: &str) -> AppendError {
    AppendError::NotAppended {
        detail: detail.to_owned(),
    }
}

fn unknown(detail: &str) -> AppendError {
    AppendError::OutcomeUnknown {
        detail: detail.to_owned(),
    }
}

//! Appends records in batches. One host, the writer, appends for the whole data
//! centre; the others forward their records to it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pimentochute_base::{HostName, MilliSpan, StreamName};
use pimentochute_platform::{AppendError, LogService};
use pimentochute_state::{CellRecord, RecordBatch, StampedRecord};
use tokio::sync::{mpsc, oneshot};

use crate::peer::{PeerError, PeerLink};

/// Estimated JSON bytes of a record without its lists and texts.
const BASE_RECORD_BYTES: usize = 500;

/// The most append requests that may wait.
const QUEUE_LENGTH: usize = 8192;

/// The shortest time between batches that are sent to the writer.
const FORWARD_INTERVAL: MilliSpan = MilliSpan::new(10);

/// The estimated bytes at which a batch is full. Readers of the log skip
/// payloads over 1 MiB.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Appends queued records, or forwards them to the writer.
pub(crate) struct RecordAppender {
    log: Arc<dyn LogService>,
    link: Arc<dyn PeerLink>,
    selector: Arc<dyn WriterSelector>,
    stream: StreamName,
    policy: BatchPolicy,
    receiver: tokio::sync::Mutex<mpsc::Receiver<AppendRequest>>,
}

impl RecordAppender {
    /// Creates an appender to `stream` and the queue that feeds it.
    pub(crate) fn new(
        log: Arc<dyn LogService>,
        link: Arc<dyn PeerLink>,
        selector: Arc<dyn WriterSelector>,
        stream: StreamName,
        policy: BatchPolicy,
    ) -> (Self, AppendQueue) {
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
        let receiver = tokio::sync::Mutex::new(receiver);
        let writer = Self {
            log,
            link,
            selector,
            stream,
            policy,
            receiver,
        };
        (writer, AppendQueue { sender })
    }

    /// Appends until every sender of the queue is gone.
    pub(crate) async fn run(&self) {
        let mut receiver = self.receiver.lock().await;
        while let Some(first) = receiver.recv().await {
            let requests = collect_batch(first, &mut receiver, self.policy.max_records);
            let delay = self.write(requests).await;
            // Records that arrive meanwhile form the next batch.
            tokio::time::sleep(delay).await;
        }
    }

    /// Writes a batch and returns the delay until the next one.
    async fn write(&self, requests: Vec<AppendRequest>) -> Duration {
        let (peer_requests, own_requests): (Vec<_>, Vec<_>) =
            requests.into_iter().partition(|request| request.from_peer);
        let host = match self.selector.writer() {
            WriterLocation::ThisHost => {
                self.append(own_requests.into_iter().chain(peer_requests).collect())
                    .await;
                return self.policy.writer_interval.as_duration();
            }
            WriterLocation::Nobody => {
                self.append(own_requests.into_iter().chain(peer_requests).collect())
                    .await;
                return self.policy.fallback_interval.as_duration();
            }
            WriterLocation::OtherHost(host) => host,
        };
        let mut interval = FORWARD_INTERVAL;
        if !peer_requests.is_empty() {
            // The sender does not know yet that this host is no longer the
            // writer.
            self.append(peer_requests).await;
            interval = self.policy.writer_interval;
        }
        if !own_requests.is_empty() && !self.forward(&host, own_requests).await {
            interval = self.policy.fallback_interval;
        }
        interval.as_duration()
    }

    /// Forwards a batch to the writer, or appends it directly if that fails.
    /// Returns whether the writer appended it.
    ///
    /// Appending directly matters when the writer hangs: the record that claims
    /// its slice must not depend on it. If the batch is appended twice, the
    /// second copy has no effect.
    async fn forward(&self, writer: &HostName, requests: Vec<AppendRequest>) -> bool {
        let error = match self.link.append(writer, records_of(&requests)).await {
            Ok(()) => {
                complete(requests, || Ok(()));
                return true;
            }
            Err(error) => error,
        };
        log::debug!(
            "writer: Cannot forward records to host {writer}, appending them directly: {error}"
        );
        let may_be_appended = matches!(error, PeerError::OutcomeUnknown { .. });
        match self.append_batch(&requests).await {
            Err(AppendError::NotAppended { detail }) if may_be_appended => {
                complete(requests, || Err(unknown(&detail)));
            }
            result => complete_with(requests, &result),
        }
        false
    }

    async fn append(&self, requests: Vec<AppendRequest>) {
        let result = self.append_batch(&requests).await;
        complete_with(requests, &result);
    }

    async fn append_batch(&self, requests: &[AppendRequest]) -> Result<(), AppendError> {
        let batch = RecordBatch {
            records: records_of(requests),
        };
        let payload = serde_json::to_vec(&batch);
        let payload = payload.map_err(|error| not_appended(&error.to_string()))?;
        let appended = self.log.append(&self.stream, Bytes::from(payload)).await;
        appended.map(drop)
    }
}

/// Queues records for the [`RecordAppender`].
#[derive(Debug, Clone)]
pub(crate) struct AppendQueue {
    sender: mpsc::Sender<AppendRequest>,
}

impl AppendQueue {
    /// Appends records of this host.
    ///
    /// # Errors
    /// Returns the error of the log's append, or
    /// [`AppendError::NotAppended`] if the queue is full.
    pub(crate) async fn append(&self, records: Vec<StampedRecord>) -> Result<(), AppendError> {
        self.enqueue(records, false).await
    }

    /// Appends records that another host forwarded.
    ///
    /// # Errors
    /// Fails as [`AppendQueue::append`] does.
    pub(crate) async fn append_for_peer(
        &self,
        records: Vec<StampedRecord>,
    ) -> Result<(), AppendError> {
        self.enqueue(records, true).await
    }

    async fn enqueue(
        &self,
        records: Vec<StampedRecord>,
        from_peer: bool,
    ) -> Result<(), AppendError> {
        let (done, result) = oneshot::channel();
        let request = AppendRequest {
            records,
            from_peer,
            done,
        };
        if self.sender.try_send(request).is_err() {
            // The bound limits the memory that a slow log can take up.
            return Err(not_appended("too many records wait to be appended"));
        }
        result
            .await
            .unwrap_or_else(|_| Err(unknown("the writer stopped")))
    }
}

/// Selects the host that appends for the data centre.
pub(crate) trait WriterSelector: Send + Sync {
    /// Returns where this host's records are appended.
    fn writer(&self) -> WriterLocation;
}

/// The host that appends for the data centre, as this host knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WriterLocation {
    /// This host appends for the data centre.
    ThisHost,
    /// Another host; records are forwarded to it.
    OtherHost(HostName),
    /// No host is known to be the writer; each host appends its own records.
    Nobody,
}

/// How often a host appends and how large its batches are.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BatchPolicy {
    /// The shortest time between appends of the writer.
    pub writer_interval: MilliSpan,
    /// The shortest time between appends of a host that cannot reach the
    /// writer.
    pub fallback_interval: MilliSpan,
    /// The number of records at which a batch is full.
    pub max_records: usize,
}

/// Records to append, and the channel for the result.
#[derive(Debug)]
struct AppendRequest {
    records: Vec<StampedRecord>,
    /// Whether another host forwarded the records; they are not forwarded
    /// again.
    from_peer: bool,
    done: oneshot::Sender<Result<(), AppendError>>,
}

impl AppendRequest {
    /// Estimates how many bytes the records take as JSON.
    fn estimated_bytes(&self) -> usize {
        self.records.iter().map(estimated_record_bytes).sum()
    }
}

fn collect_batch(
    first: AppendRequest,
    receiver: &mut mpsc::Receiver<AppendRequest>,
    max_records: usize,
) -> Vec<AppendRequest> {
    let mut count = first.records.len();
    let mut bytes = first.estimated_bytes();
    let mut requests = vec![first];
    while count < max_records && bytes < MAX_BATCH_BYTES {
        let Ok(request) = receiver.try_recv() else {
            break;
        };
        count += request.records.len();
        bytes += request.estimated_bytes();
        requests.push(request);
    }
    requests
}

/// Estimates how many bytes a record takes as JSON.
fn estimated_record_bytes(record: &StampedRecord) -> usize {
    match &record.record {
        CellRecord::JobSubmitted { spec, .. } => BASE_RECORD_BYTES + 2 * spec.command.len(),
        CellRecord::TasksPlaced { tasks, .. } => BASE_RECORD_BYTES + 150 * tasks.len(),
        _ => BASE_RECORD_BYTES,
    }
}

fn records_of(requests: &[AppendRequest]) -> Vec<StampedRecord> {
    requests
        .iter()
        .flat_map(|request| request.records.iter().cloned())
        .collect()
}

fn complete(requests: Vec<AppendRequest>, result: impl Fn() -> Result<(), AppendError>) {
    for request in requests {
        // The receiver is gone if the caller stopped waiting.
        let _ = request.done.send(result());
    }
}

fn complete_with(requests: Vec<AppendRequest>, result: &Result<(), AppendError>) {
    complete(requests, || match result {
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

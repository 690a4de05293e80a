//! Appends changes to the log and waits until they are read back.

use std::sync::Arc;

use bytes::Bytes;
use pimentochute_base::{MilliSpan, StreamName};
use pimentochute_platform::{AppendError, LogService};
use pimentochute_state::{
    CellRecord, ConfigPatch, ConfigRecord, PatchAnswer, RecordOutcome, RecordTag, StampedRecord,
};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::SubmitError;
use super::cell::ReplicatedCell;
use super::config::ReplicatedConfig;
use super::writer::AppendQueue;

/// Records changes to the state of the data centre.
#[derive(Clone)]
pub(crate) struct RecordClient {
    cell: Arc<ReplicatedCell>,
    queue: AppendQueue,
    outcome_timeout: MilliSpan,
}

impl RecordClient {
    /// Creates a client that waits at most `outcome_timeout` for an outcome.
    pub(crate) fn new(
        cell: Arc<ReplicatedCell>,
        queue: AppendQueue,
        outcome_timeout: MilliSpan,
    ) -> Self {
        Self {
            cell,
            queue,
            outcome_timeout,
        }
    }

    /// Appends a record and returns its outcome once it is read back.
    ///
    /// # Errors
    /// Returns [`SubmitError::NotRecorded`] only if the record was certainly
    /// not appended, and [`SubmitError::Unknown`] if it was not read back in
    /// time.
    pub(crate) async fn record(&self, record: CellRecord) -> Result<RecordOutcome, SubmitError> {
        let (record, outcome) = self.cell.stamp(record);
        // The caller may drop this future; the guard then removes the waiter.
        let _waiter = WaiterGuard {
            cell: &self.cell,
            tag: record.tag.clone(),
        };
        let recorded = self.append_and_read(record, outcome);
        let in_time = timeout(self.outcome_timeout.as_duration(), recorded).await;
        in_time.unwrap_or(Err(SubmitError::Unknown))
    }

    /// Appends a record and waits for its outcome, which may be read back
    /// before the append is acknowledged.
    async fn append_and_read(
        &self,
        record: StampedRecord,
        mut outcome: oneshot::Receiver<RecordOutcome>,
    ) -> Result<RecordOutcome, SubmitError> {
        tokio::select! {
            read = &mut outcome => return read.map_err(|_| SubmitError::Unknown),
            appended = self.queue.append(vec![record]) => {
                if let Err(AppendError::NotAppended { .. }) = appended {
                    return Err(SubmitError::NotRecorded);
                }
            }
        }
        outcome.await.map_err(|_| SubmitError::Unknown)
    }
}

/// Removes the waiter of a record when it is dropped.
struct WaiterGuard<'a> {
    cell: &'a ReplicatedCell,
    tag: RecordTag,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.cell.remove_waiter(&self.tag);
    }
}

/// Records changes to the configuration.
pub(crate) struct PatchClient {
    log: Arc<dyn LogService>,
    stream: StreamName,
    config: Arc<ReplicatedConfig>,
    outcome_timeout: MilliSpan,
}

impl PatchClient {
    /// Creates a client that waits at most `outcome_timeout` for an outcome.
    pub(crate) fn new(
        log: Arc<dyn LogService>,
        stream: StreamName,
        config: Arc<ReplicatedConfig>,
        outcome_timeout: MilliSpan,
    ) -> Self {
        Self {
            log,
            stream,
            config,
            outcome_timeout,
        }
    }

    /// Appends a patch and returns its outcome once it is read back.
    ///
    /// # Errors
    /// Returns the same errors as [`RecordClient::record`].
    pub(crate) async fn patch(&self, patch: ConfigPatch) -> Result<PatchAnswer, SubmitError> {
        let in_time = timeout(
            self.outcome_timeout.as_duration(),
            self.append_and_read(&patch),
        )
        .await;
        in_time.unwrap_or(Err(SubmitError::Unknown))
    }

    async fn append_and_read(&self, patch: &ConfigPatch) -> Result<PatchAnswer, SubmitError> {
        let mut changes = self.config.subscribe();
        if let Some(answer) = self.answer(patch) {
            return Ok(answer);
        }
        let record = ConfigRecord::Patch(patch.clone());
        let payload = serde_json::to_vec(&record).map_err(|_| SubmitError::NotRecorded)?;
        let appended = self.log.append(&self.stream, Bytes::from(payload)).await;
        if let Err(AppendError::NotAppended { .. }) = appended {
            return Err(SubmitError::NotRecorded);
        }
        loop {
            if let Some(answer) = self.answer(patch) {
                return Ok(answer);
            }
            // The sender lives as long as this client, so this cannot fail.
            let _ = changes.changed().await;
        }
    }

    fn answer(&self, patch: &ConfigPatch) -> Option<PatchAnswer> {
        self.config.read().answer(patch)
    }
}

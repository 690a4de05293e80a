//! Records changes and waits until they are read back.

use std::sync::Arc;

use bytes::Bytes;
use pimentochute_base::{MilliSpan, StreamName};
use pimentochute_platform::{AppendError, LogService};
use pimentochute_state::{
    CellRecord, ConfigPatch, ConfigRecord, PatchAnswer, RecordOutcome, RecordTag,
};
use tokio::time::{Instant, timeout_at};

use super::SubmitError;
use super::cell::CellShared;
use super::config::ConfigShared;
use super::writer::WriterQueue;

/// Records changes of the data centre's state.
#[derive(Clone)]
pub(crate) struct RecordClient {
    cell: Arc<CellShared>,
    queue: WriterQueue,
    wait: MilliSpan,
}

impl RecordClient {
    /// Creates a client that waits at most `wait` for an outcome.
    pub(crate) fn new(cell: Arc<CellShared>, queue: WriterQueue, wait: MilliSpan) -> Self {
        Self { cell, queue, wait }
    }

    /// Appends a record and returns what it did when it was read back.
    ///
    /// # Errors
    /// [`SubmitError::NotRecorded`] only if the record surely was not
    /// appended, [`SubmitError::Unknown`] if it was not read back in time.
    pub(crate) async fn record(&self, record: CellRecord) -> Result<RecordOutcome, SubmitError> {
        let deadline = Instant::now() + self.wait.as_duration();
        let (record, mut outcome) = self.cell.stamp(record);
        // A caller that goes away drops this future; nobody waits then.
        let _waiter = WaiterGuard {
            cell: &self.cell,
            tag: record.tag.clone(),
        };
        let result = tokio::select! {
            read = &mut outcome => return read.map_err(|_| SubmitError::Unknown),
            appended = timeout_at(deadline, self.queue.append(vec![record])) => appended,
        };
        if let Ok(Err(AppendError::NotAppended { .. })) = result {
            return Err(SubmitError::NotRecorded);
        }
        if let Ok(Ok(outcome)) = timeout_at(deadline, outcome).await {
            return Ok(outcome);
        }
        Err(SubmitError::Unknown)
    }
}

/// Removes the waiter of a record when it is dropped.
struct WaiterGuard<'a> {
    cell: &'a CellShared,
    tag: RecordTag,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.cell.forget(&self.tag);
    }
}

/// Records changes of the configuration.
pub(crate) struct PatchClient {
    log: Arc<dyn LogService>,
    stream: StreamName,
    config: Arc<ConfigShared>,
    wait: MilliSpan,
}

impl PatchClient {
    /// Creates a client that waits at most `wait` for an outcome.
    pub(crate) fn new(
        log: Arc<dyn LogService>,
        stream: StreamName,
        config: Arc<ConfigShared>,
        wait: MilliSpan,
    ) -> Self {
        Self {
            log,
            stream,
            config,
            wait,
        }
    }

    /// Appends a patch and returns what it did when it was read back.
    ///
    /// # Errors
    /// As [`RecordClient::record`].
    pub(crate) async fn patch(&self, patch: ConfigPatch) -> Result<PatchAnswer, SubmitError> {
        let deadline = Instant::now() + self.wait.as_duration();
        let mut changes = self.config.subscribe();
        if let Some(answer) = self.answer(&patch) {
            return Ok(answer);
        }
        let record = ConfigRecord::Patch(patch.clone());
        let payload = serde_json::to_vec(&record).map_err(|_| SubmitError::NotRecorded)?;
        let append = self.log.append(&self.stream, Bytes::from(payload));
        if let Ok(Err(AppendError::NotAppended { .. })) = timeout_at(deadline, append).await {
            return Err(SubmitError::NotRecorded);
        }
        loop {
            if let Some(answer) = self.answer(&patch) {
                return Ok(answer);
            }
            match timeout_at(deadline, changes.changed()).await {
                Ok(Ok(())) => {}
                _ => return Err(SubmitError::Unknown),
            }
        }
    }

    fn answer(&self, patch: &ConfigPatch) -> Option<PatchAnswer> {
        self.config.read().answer(patch)
    }
}

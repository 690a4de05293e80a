//! In-memory fake of the log service.

use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use pimentochute_base::{LogOffset, MilliClock, MilliSpan, StreamName};
use pimentochute_platform::{AppendError, LogRecord, LogService, ReadBatch, ReadError};
use pimentochute_standins::{LogStore, RetentionLimit};
use tokio::sync::watch;

use crate::shared::SharedState;

/// A log with faults that a test sets.
///
/// Clones share all state. [`FakeLog::new_link`] creates a handle for another
/// host: it shares the records and [`FakeLog::set_down`], and has its own
/// settings of all other faults.
#[derive(Debug, Clone)]
pub struct FakeLog {
    state: Arc<LogState>,
    link: Arc<SharedState<LinkFaults>>,
}

#[derive(Debug)]
struct LogState {
    clock: MilliClock,
    store: SharedState<LogStore>,
    down: SharedState<bool>,
    /// Wakes waiting reads after any change of records or faults.
    changes: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct LinkFaults {
    cut: bool,
    latency: MilliSpan,
    loses_answers: bool,
    holds_appends: bool,
    held: Vec<(StreamName, Bytes)>,
}

impl FakeLog {
    /// Creates an empty log that keeps every record.
    #[must_use]
    pub fn new(clock: MilliClock) -> Self {
        Self::with_retention(clock, RetentionLimit::default())
    }

    /// Creates an empty log with limited retention; the ages of records are
    /// measured by `clock`.
    #[must_use]
    pub fn with_retention(clock: MilliClock, limit: RetentionLimit) -> Self {
        let state = LogState {
            clock,
            store: SharedState::new(LogStore::new(limit)),
            down: SharedState::new(false),
            changes: watch::Sender::new(0),
        };
        Self {
            state: Arc::new(state),
            link: Arc::default(),
        }
    }

    /// Returns a handle to the same log over a link without faults.
    #[must_use]
    pub fn new_link(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
            link: Arc::default(),
        }
    }

    /// Sets whether calls over all links fail, including reads that wait.
    pub fn set_down(&self, down: bool) {
        *self.state.down.lock() = down;
        self.notify();
    }

    /// Sets whether calls over this link fail, including reads that wait.
    pub fn set_cut(&self, cut: bool) {
        self.link.lock().cut = cut;
        self.notify();
    }

    /// Delays every call over this link before it takes effect, by Tokio's
    /// timer.
    pub fn set_latency(&self, latency: MilliSpan) {
        self.link.lock().latency = latency;
    }

    /// Sets whether the answers of appends over this link are lost after the
    /// append has taken effect.
    pub fn set_loses_answers(&self, loses: bool) {
        self.link.lock().loses_answers = loses;
    }

    /// Sets whether appends over this link are held back: the caller gets an
    /// unknown outcome, and [`FakeLog::deliver_held`] appends them later.
    pub fn set_holds_appends(&self, holds: bool) {
        self.link.lock().holds_appends = holds;
    }

    /// Appends the records that were held back on this link, in the order of the
    /// calls.
    pub fn deliver_held(&self) {
        let held = std::mem::take(&mut self.link.lock().held);
        for (stream, payload) in held {
            self.append_now(&stream, payload);
        }
    }

    /// Removes the records of a stream before `first`, as retention does.
    pub fn trim_before(&self, stream: &StreamName, first: LogOffset) {
        self.state.store.lock().trim_before(stream, first);
        self.notify();
    }

    /// Appends a record, regardless of faults.
    pub fn append_now(&self, stream: &StreamName, payload: Bytes) -> LogOffset {
        let now = self.state.clock.now();
        let offset = self.state.store.lock().append(stream, payload, now);
        self.notify();
        offset
    }

    /// Returns the retained records of a stream, regardless of faults.
    #[must_use]
    pub fn records(&self, stream: &StreamName) -> Vec<LogRecord> {
        let read = |from| self.read_now(stream, from, usize::MAX);
        let batch = match read(LogOffset::new(0)) {
            Err(ReadError::BehindRetention { first_retained }) => read(first_retained),
            other => other,
        };
        batch.map(|batch| batch.records).unwrap_or_default()
    }

    fn notify(&self) {
        self.state.changes.send_modify(|count| *count += 1);
    }

    fn unavailable(&self) -> Option<String> {
        let down = *self.state.down.lock();
        let cut = self.link.lock().cut;
        (down || cut).then(|| "the fake log is down".to_owned())
    }

    async fn delay(&self) {
        let latency = self.link.lock().latency;
        if latency > MilliSpan::ZERO {
            tokio::time::sleep(latency.as_duration()).await;
        }
    }

    fn try_append(&self, stream: &StreamName, payload: Bytes) -> Result<LogOffset, AppendError> {
        if let Some(detail) = self.unavailable() {
            return Err(AppendError::NotAppended { detail });
        }
        let mut link = self.link.lock();
        if link.holds_appends {
            link.held.push((stream.clone(), payload));
            let detail = "the fake log holds the record back".to_owned();
            return Err(AppendError::OutcomeUnknown { detail });
        }
        let loses_answers = link.loses_answers;
        drop(link);
        let offset = self.append_now(stream, payload);
        if loses_answers {
            let detail = "the fake log lost the answer".to_owned();
            return Err(AppendError::OutcomeUnknown { detail });
        }
        Ok(offset)
    }

    fn read_now(
        &self,
        stream: &StreamName,
        from: LogOffset,
        max_records: usize,
    ) -> Result<ReadBatch, ReadError> {
        let now = self.state.clock.now();
        let mut store = self.state.store.lock();
        store.read(stream, from, max_records, now)
    }

    fn try_read(
        &self,
        stream: &StreamName,
        from: LogOffset,
        max_records: usize,
    ) -> Result<ReadBatch, ReadError> {
        match self.unavailable() {
            Some(detail) => Err(ReadError::Unavailable { detail }),
            None => self.read_now(stream, from, max_records),
        }
    }
}

impl LogService for FakeLog {
    fn append<'a>(
        &'a self,
        stream: &'a StreamName,
        payload: Bytes,
    ) -> BoxFuture<'a, Result<LogOffset, AppendError>> {
        Box::pin(async move {
            self.delay().await;
            self.try_append(stream, payload)
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a StreamName,
        from: LogOffset,
        max_records: usize,
        wait: MilliSpan,
    ) -> BoxFuture<'a, Result<ReadBatch, ReadError>> {
        Box::pin(async move {
            self.delay().await;
            let mut changes = self.state.changes.subscribe();
            let mut timeout = std::pin::pin!(tokio::time::sleep(wait.as_duration()));
            loop {
                changes.mark_unchanged();
                let batch = self.try_read(stream, from, max_records)?;
                if !batch.records.is_empty() || wait == MilliSpan::ZERO {
                    return Ok(batch);
                }
                tokio::select! {
                    _ = changes.changed() => {}
                    () = &mut timeout => return self.try_read(stream, from, max_records),
                }
            }
        })
    }
}

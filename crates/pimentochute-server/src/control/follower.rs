//! Reads a stream of the log continuously and applies its records to a replica.

use std::sync::Arc;
use std::time::Duration;

use pimentochute_base::{LogOffset, MilliClock, MilliSpan, StreamName};
use pimentochute_platform::{LogRecord, LogService, ReadError};

use super::health::LogHealth;
use crate::settings::LogSettings;

/// The most snapshots that one read returns.
const MAX_SNAPSHOTS_PER_READ: usize = 16;

/// The delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How many of the newest snapshots are tried.
const RECENT_SNAPSHOTS: u64 = 4;

/// A state that is built from the records of a stream.
pub(crate) trait StreamReplica: Send + Sync {
    /// Returns the offset of the first log entry that was not applied.
    fn next_offset(&self) -> LogOffset;

    /// Applies one log entry. Its payload may hold several records, which are
    /// applied or skipped together.
    fn apply(&self, record: &LogRecord);

    /// Replaces the state by a snapshot if the snapshot is valid and newer.
    /// Returns whether it did.
    fn load_snapshot(&self, payload: &[u8]) -> bool;
}

/// Keeps a replica up to date with one stream.
pub(crate) struct LogFollower {
    log: Arc<dyn LogService>,
    clock: MilliClock,
    stream: StreamName,
    snapshots: StreamName,
    replica: Arc<dyn StreamReplica>,
    health: Arc<LogHealth>,
    settings: LogSettings,
}

impl LogFollower {
    /// Creates a follower of `stream` whose snapshots are in `snapshots`.
    pub(crate) fn new(
        log: Arc<dyn LogService>,
        clock: MilliClock,
        stream: StreamName,
        snapshots: StreamName,
        replica: Arc<dyn StreamReplica>,
        health: Arc<LogHealth>,
        settings: LogSettings,
    ) -> Self {
        Self {
            log,
            clock,
            stream,
            snapshots,
            replica,
            health,
            settings,
        }
    }

    /// Loads the newest snapshot and then applies records until its future is
    /// dropped.
    pub(crate) async fn run(&self) {
        self.load_newest_snapshot().await;
        loop {
            if let Err(error) = self.step().await {
                self.health.record_failure();
                log::debug!("follower: Cannot read stream {}: {error}", self.stream);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Reads the next log entries and applies them.
    async fn step(&self) -> Result<(), ReadError> {
        let started_at = self.clock.now();
        let from = self.replica.next_offset();
        let max_records = usize::try_from(self.settings.read_records).unwrap_or(usize::MAX);
        let wait = if self.health.has_caught_up_once() {
            self.settings.read_wait_ms
        } else {
            MilliSpan::ZERO
        };
        let batch = match self.log.read(&self.stream, from, max_records, wait).await {
            Ok(batch) => batch,
            Err(ReadError::BehindRetention { first_retained }) => {
                return self.skip_to_snapshot(from, first_retained).await;
            }
            Err(error) => return Err(error),
        };
        for record in &batch.records {
            self.replica.apply(record);
        }
        if self.replica.next_offset() >= batch.tail {
            self.health.record_read(started_at);
        }
        Ok(())
    }

    /// Continues from a snapshot after retention removed the records at `from`.
    async fn skip_to_snapshot(
        &self,
        from: LogOffset,
        first_retained: LogOffset,
    ) -> Result<(), ReadError> {
        log::warn!(
            "follower: Stream {} has records only from offset {first_retained}, needed {from}. \
             Loading a snapshot.",
            self.stream,
        );
        self.load_newest_snapshot().await;
        if self.replica.next_offset() >= first_retained {
            return Ok(());
        }
        Err(ReadError::BehindRetention { first_retained })
    }

    /// Loads the newest valid snapshot that is ahead of the replica.
    async fn load_newest_snapshot(&self) {
        let Some(from) = self.recent_snapshots_offset().await else {
            return;
        };
        let read = self
            .log
            .read(
                &self.snapshots,
                from,
                MAX_SNAPSHOTS_PER_READ,
                MilliSpan::ZERO,
            )
            .await;
        let Ok(batch) = read else { return };
        for record in batch.records.iter().rev() {
            if self.replica.load_snapshot(&record.payload) {
                log::info!(
                    "follower: Stream {} continues from the snapshot at offset {}.",
                    self.stream,
                    self.replica.next_offset(),
                );
                return;
            }
        }
    }

    /// Returns the offset of the first of the recent snapshots; `None` if the
    /// log cannot be read.
    async fn recent_snapshots_offset(&self) -> Option<LogOffset> {
        let probe = self
            .log
            .read(&self.snapshots, LogOffset::new(0), 1, MilliSpan::ZERO)
            .await;
        let first = match probe {
            Ok(batch) if batch.tail.get() <= RECENT_SNAPSHOTS => return Some(batch.first_retained),
            Ok(batch) => {
                let recent = batch.tail.get().saturating_sub(RECENT_SNAPSHOTS);
                return Some(batch.first_retained.max(LogOffset::new(recent)));
            }
            Err(ReadError::BehindRetention { first_retained }) => first_retained,
            Err(ReadError::Unavailable { .. }) => return None,
        };
        let batch = self
            .log
            .read(&self.snapshots, first, 1, MilliSpan::ZERO)
            .await
            .ok()?;
        let recent = batch.tail.get().saturating_sub(RECENT_SNAPSHOTS);
        Some(first.max(LogOffset::new(recent)))
    }
}

//! Follows a stream of the log and applies its records.

use std::sync::Arc;
use std::time::Duration;

use pimentochute_base::{LogOffset, MilliClock, MilliSpan, StreamName};
use pimentochute_platform::{LogRecord, LogService, ReadError};

use super::health::LogHealth;
use crate::settings::LogSettings;

/// The most snapshots of one read.
const MAX_SNAPSHOTS_PER_READ: usize = 16;

/// The pause after a read that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The number of the newest snapshots that are looked at.
const RECENT_SNAPSHOTS: u64 = 4;

/// A state that follows a stream.
pub(crate) trait StreamReplica: Send + Sync {
    /// Returns the offset of the first record that was not applied.
    fn next_offset(&self) -> LogOffset;

    /// Applies one record.
    fn apply(&self, record: &LogRecord);

    /// Replaces the state by a snapshot if that is further ahead; tells
    /// whether it did.
    fn load_snapshot(&self, payload: &[u8]) -> bool;
}

/// Follows one stream.
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

    /// Follows the stream; returns only if its future is dropped.
    pub(crate) async fn run(&self) {
        self.load_newest_snapshot().await;
        loop {
            if let Err(error) = self.step().await {
                self.health.record_failure();
                log::debug!("follower: Stream {} cannot be read. {error}", self.stream);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Reads once and applies what came.
    async fn step(&self) -> Result<(), ReadError> {
        let started_at = self.clock.now();
        let from = self.replica.next_offset();
        let max_records = usize::try_from(self.settings.read_records).unwrap_or(usize::MAX);
        let wait = if self.health.is_caught_up() {
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

    /// Goes on at a snapshot, since the records after `from` are gone.
    async fn skip_to_snapshot(
        &self,
        from: LogOffset,
        first_retained: LogOffset,
    ) -> Result<(), ReadError> {
        log::warn!(
            "follower: Stream {} keeps records only from {first_retained} on, {from} was wanted. \
             A snapshot is loaded.",
            self.stream,
        );
        self.load_newest_snapshot().await;
        if self.replica.next_offset() >= first_retained {
            return Ok(());
        }
        Err(ReadError::BehindRetention { first_retained })
    }

    /// Loads the newest snapshot that is further ahead than the state.
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
                    "follower: Stream {} goes on from the snapshot at {}.",
                    self.stream,
                    self.replica.next_offset(),
                );
                return;
            }
        }
    }

    /// Returns the offset from which the newest snapshots are read.
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

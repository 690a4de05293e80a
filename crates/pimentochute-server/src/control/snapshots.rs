//! Publishes snapshots of the replicas, so that a host can start after
//! retention removed older records.

use std::sync::Arc;

use bytes::Bytes;
use pimentochute_base::{MilliSpan, SliceIndex, StreamName};
use pimentochute_platform::LogService;
use serde::Serialize;

use super::cell::ReplicatedCell;
use super::config::ReplicatedConfig;
use super::health::LogHealth;

/// The slice whose owner publishes the snapshots, so that only one host of the
/// data centre does. Slice 0 always exists.
const PUBLISHER_SLICE: SliceIndex = SliceIndex::new(0);

/// Publishes snapshots of the configuration and of the data centre's state.
pub(crate) struct SnapshotPublisher {
    pub(crate) log: Arc<dyn LogService>,
    pub(crate) cell: Arc<ReplicatedCell>,
    pub(crate) config: Arc<ReplicatedConfig>,
    pub(crate) cell_stream: StreamName,
    pub(crate) config_stream: StreamName,
    pub(crate) cell_health: Arc<LogHealth>,
    pub(crate) config_health: Arc<LogHealth>,
    pub(crate) interval: MilliSpan,
}

impl SnapshotPublisher {
    /// Publishes at a regular interval until its future is dropped.
    ///
    /// Unchanged states are published again, since retention removes snapshots
    /// too. A host that never read a stream to its end publishes no snapshot of
    /// it.
    pub(crate) async fn run(&self) {
        loop {
            tokio::time::sleep(self.interval.as_duration()).await;
            if !self.cell.owns(PUBLISHER_SLICE) {
                continue;
            }
            if self.cell_health.has_caught_up_once() {
                let snapshot = self.cell.read().snapshot();
                self.publish(&self.cell_stream, &snapshot).await;
            }
            if self.config_health.has_caught_up_once() {
                let snapshot = self.config.read().snapshot();
                self.publish(&self.config_stream, &snapshot).await;
            }
        }
    }

    async fn publish(&self, stream: &StreamName, snapshot: &impl Serialize) {
        let payload = match serde_json::to_vec(snapshot) {
            Ok(payload) => Bytes::from(payload),
            Err(error) => {
                log::error!("snapshots: Cannot encode the snapshot for stream {stream}: {error}");
                return;
            }
        };
        let size = payload.len();
        match self.log.append(stream, payload).await {
            Ok(offset) => {
                log::info!("snapshots: Wrote {size} bytes to stream {stream} at offset {offset}.");
            }
            Err(error) => {
                log::warn!("snapshots: Cannot append a snapshot to stream {stream}: {error}");
            }
        }
    }
}

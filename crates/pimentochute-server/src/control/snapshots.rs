//! Publishes snapshots, so that records may be removed by retention.

use std::sync::Arc;

use bytes::Bytes;
use pimentochute_base::{MilliSpan, SliceIndex, StreamName};
use pimentochute_platform::LogService;
use serde::Serialize;

use super::cell::ReplicatedCell;
use super::config::ReplicatedConfig;
use super::health::LogHealth;

/// The slice whose owner publishes the snapshots of the data centre.
const PUBLISHER_SLICE: SliceIndex = SliceIndex::new(0);

/// Publishes the snapshots of both streams.
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
    /// Publishes until its future is dropped.
    ///
    /// Unchanged states are published again, since retention removes snapshots
    /// too. A host that has not caught up publishes nothing.
    pub(crate) async fn run(&self) {
        loop {
            tokio::time::sleep(self.interval.as_duration()).await;
            if !self.cell.owns(PUBLISHER_SLICE) {
                continue;
            }
            if self.cell_health.is_caught_up() {
                let snapshot = self.cell.read().snapshot();
                self.publish(&self.cell_stream, &snapshot).await;
            }
            if self.config_health.is_caught_up() {
                let snapshot = self.config.read().snapshot();
                self.publish(&self.config_stream, &snapshot).await;
            }
        }
    }

    async fn publish(&self, stream: &StreamName, snapshot: &impl Serialize) {
        let payload = match serde_json::to_vec(snapshot) {
            Ok(payload) => Bytes::from(payload),
            Err(error) => {
                log::error!("snapshots: The snapshot for {stream} cannot be encoded. {error}");
                return;
            }
        };
        let size = payload.len();
        match self.log.append(stream, payload).await {
            Ok(offset) => log::info!("snapshots: {size} bytes are at {stream}/{offset}."),
            Err(error) => log::warn!("snapshots: Stream {stream} has no new snapshot. {error}"),
        }
    }
}

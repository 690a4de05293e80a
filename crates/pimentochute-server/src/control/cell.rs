//! The replicated state of the data centre, shared by the components of the
//! daemon.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError, RwLock, RwLockReadGuard};

use pimentochute_base::{HostIncarnation, HostName, LogOffset, SliceIndex};
use pimentochute_platform::LogRecord;
use pimentochute_state::{
    CellRecord, CellReplica, CellSnapshot, RecordOutcome, RecordTag, SliceOwner, StampedRecord,
};
use tokio::sync::{mpsc, oneshot, watch};

use super::follower::StreamReplica;

/// A change of the replica. Changes are sent in log order.
#[derive(Debug)]
pub(crate) enum CellChange {
    /// A record was applied.
    Applied(RecordOutcome),
    /// The whole state was replaced by a snapshot.
    Replaced,
}

/// The replica of the data centre's stream.
///
/// It passes the outcome of each record to the task that wrote the record, and
/// every change to the scheduler loop.
pub(crate) struct ReplicatedCell {
    this_host: SliceOwner,
    replica: RwLock<CellReplica>,
    waiters: Mutex<HashMap<RecordTag, oneshot::Sender<RecordOutcome>>>,
    sequence: AtomicU64,
    changes: mpsc::UnboundedSender<CellChange>,
    offset: watch::Sender<LogOffset>,
}

impl ReplicatedCell {
    /// Creates the replica of a stream that has not been read yet, and the
    /// channel that receives its changes.
    pub(crate) fn new(
        host: HostName,
        incarnation: HostIncarnation,
        slices: u16,
    ) -> (Self, mpsc::UnboundedReceiver<CellChange>) {
        let (changes, receiver) = mpsc::unbounded_channel();
        let shared = Self {
            this_host: SliceOwner { host, incarnation },
            replica: RwLock::new(CellReplica::new(slices)),
            waiters: Mutex::default(),
            sequence: AtomicU64::new(0),
            changes,
            offset: watch::Sender::new(LogOffset::new(0)),
        };
        (shared, receiver)
    }

    /// Returns this host with its current incarnation.
    pub(crate) const fn this_host(&self) -> &SliceOwner {
        &self.this_host
    }

    /// Locks the replica for reading. The guard must not be held across an
    /// await.
    pub(crate) fn read(&self) -> RwLockReadGuard<'_, CellReplica> {
        self.replica.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this host owns a slice in its current incarnation.
    pub(crate) fn owns(&self, slice: SliceIndex) -> bool {
        let replica = self.read();
        replica
            .slice(slice)
            .is_some_and(|state| state.owner.as_ref() == Some(&self.this_host))
    }

    /// Returns a receiver that is notified after records were applied.
    pub(crate) fn subscribe(&self) -> watch::Receiver<LogOffset> {
        self.offset.subscribe()
    }

    /// Tags a record and returns it with a receiver for its outcome.
    pub(crate) fn stamp(
        &self,
        record: CellRecord,
    ) -> (StampedRecord, oneshot::Receiver<RecordOutcome>) {
        let tag = RecordTag {
            host: self.this_host.host.clone(),
            incarnation: self.this_host.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::SeqCst),
        };
        let (sender, receiver) = oneshot::channel();
        self.waiters().insert(tag.clone(), sender);
        (StampedRecord { tag, record }, receiver)
    }

    /// Stops waiting for the outcome of a record.
    pub(crate) fn remove_waiter(&self, tag: &RecordTag) {
        self.waiters().remove(tag);
    }

    fn waiters(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<RecordTag, oneshot::Sender<RecordOutcome>>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish(&self, outcome: RecordOutcome) {
        if outcome.tag.host == self.this_host.host
            && let Some(waiter) = self.waiters().remove(&outcome.tag)
        {
            // The receiver is gone if the waiter timed out.
            let _ = waiter.send(outcome.clone());
        }
        // The scheduler loop is gone only when the process ends.
        let _ = self.changes.send(CellChange::Applied(outcome));
    }
}

impl StreamReplica for ReplicatedCell {
    fn next_offset(&self) -> LogOffset {
        self.read().next_offset()
    }

    fn apply(&self, record: &LogRecord) {
        let result = {
            let mut replica = self.replica.write().unwrap_or_else(PoisonError::into_inner);
            replica.apply(record.offset, &record.payload)
        };
        match result {
            Ok(outcomes) => outcomes
                .into_iter()
                .for_each(|outcome| self.publish(outcome)),
            Err(error) => log::warn!(
                "cell: Skipped the log entry at offset {}, with all its records: {error}",
                record.offset
            ),
        }
        self.offset.send_replace(record.offset.next());
    }

    fn load_snapshot(&self, payload: &[u8]) -> bool {
        let snapshot = match serde_json::from_slice::<CellSnapshot>(payload) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                log::warn!("cell: Skipping a snapshot that cannot be decoded: {error}");
                return false;
            }
        };
        let restored = match CellReplica::from_snapshot(snapshot) {
            Ok(restored) => restored,
            Err(error) => {
                log::warn!("cell: Skipping a snapshot that is inconsistent: {error}");
                return false;
            }
        };
        let next = restored.next_offset();
        {
            let mut replica = self.replica.write().unwrap_or_else(PoisonError::into_inner);
            if next <= replica.next_offset() {
                return false;
            }
            if restored.slice_count() != replica.slice_count() {
                log::error!(
                    "cell: Ignoring a snapshot with {} slices: the setting `slices.slices` is {}.",
                    restored.slice_count(),
                    replica.slice_count(),
                );
                return false;
            }
            *replica = restored;
        }
        let _ = self.changes.send(CellChange::Replaced);
        self.offset.send_replace(next);
        true
    }
}

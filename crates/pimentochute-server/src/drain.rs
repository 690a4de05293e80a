//! Tracks whether the daemon is draining and which calls are in flight.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pimentochute_base::{MilliClock, MilliTime};

/// Whether the daemon is draining, and its calls in flight. It refuses nothing
/// itself.
pub struct DrainState {
    clock: MilliClock,
    draining: AtomicBool,
    table: Mutex<InFlightTable>,
}

#[derive(Default)]
struct InFlightTable {
    next_id: u64,
    calls: BTreeMap<u64, InFlightCall>,
}

/// A call in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InFlightCall {
    /// The server, method and path, for logs.
    pub label: String,
    /// When the call arrived, by the local monotonic clock.
    pub started_at: MilliTime,
}

impl DrainState {
    /// Creates the state of a daemon that is not draining.
    #[must_use]
    pub fn new(clock: MilliClock) -> Self {
        Self {
            clock,
            draining: AtomicBool::new(false),
            table: Mutex::default(),
        }
    }

    /// Records that the daemon is draining. This cannot be undone.
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether the daemon is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Records a call as in flight until the returned guard is dropped.
    #[must_use]
    pub fn track_call(self: &Arc<Self>, label: String) -> InFlightGuard {
        let started_at = self.clock.now();
        let mut table = self.table();
        let id = table.next_id;
        table.next_id += 1;
        table.calls.insert(id, InFlightCall { label, started_at });
        InFlightGuard {
            drain_state: Arc::clone(self),
            id,
        }
    }

    /// Returns the calls in flight, oldest first.
    #[must_use]
    pub fn in_flight(&self) -> Vec<InFlightCall> {
        self.table().calls.values().cloned().collect()
    }

    /// Locks the table. A poisoned lock is safe to use: every change is a
    /// single operation, so a panic cannot leave the table inconsistent.
    fn table(&self) -> MutexGuard<'_, InFlightTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps a call recorded as in flight until it is dropped.
pub struct InFlightGuard {
    drain_state: Arc<DrainState>,
    id: u64,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.drain_state.table().calls.remove(&self.id);
    }
}

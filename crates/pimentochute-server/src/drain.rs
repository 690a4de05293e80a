//! The stopping state of the daemon and the work in flight.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pimentochute_base::{MilliClock, MilliTime};

/// Knows whether the daemon is stopping and which calls are in flight.
pub struct DrainGate {
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
    /// The server, method and path.
    pub label: String,
    /// When it arrived, by the local monotonic clock.
    pub started_at: MilliTime,
}

impl DrainGate {
    /// Creates the state of a daemon that is not stopping.
    #[must_use]
    pub fn new(clock: MilliClock) -> Self {
        Self {
            clock,
            draining: AtomicBool::new(false),
            table: Mutex::default(),
        }
    }

    /// Notes that the daemon is stopping.
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Tells whether the daemon is stopping.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Counts a call in until the guard is dropped.
    #[must_use]
    pub fn track_call(self: &Arc<Self>, label: String) -> InFlightGuard {
        let started_at = self.clock.now();
        let mut table = self.table();
        let id = table.next_id;
        table.next_id += 1;
        table.calls.insert(id, InFlightCall { label, started_at });
        InFlightGuard {
            gate: Arc::clone(self),
            id,
        }
    }

    /// Returns the calls in flight, the oldest first.
    #[must_use]
    pub fn in_flight(&self) -> Vec<InFlightCall> {
        self.table().calls.values().cloned().collect()
    }

    /// Each change of the table is a single step, so a panic elsewhere leaves
    /// it whole.
    fn table(&self) -> MutexGuard<'_, InFlightTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a call as in flight until it is dropped.
pub struct InFlightGuard {
    gate: Arc<DrainGate>,
    id: u64,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.gate.table().calls.remove(&self.id);
    }
}

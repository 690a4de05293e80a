//! The stopping state of the daemon and the work in flight.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pimentochute_base::{MilliClock, MilliTime};

/// Knows whether the daemon is stopping and which calls are in flight.
pub struct DrainGate {
    clock: MilliClock,
    draining: AtomicBool,
    flights: Mutex<FlightTable>,
}

#[derive(Default)]
struct FlightTable {
    next: u64,
    open: BTreeMap<u64, FlightInfo>,
}

/// A call in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlightInfo {
    /// The server, method and path.
    pub what: String,
    /// When it arrived, by the local monotonic clock.
    pub since: MilliTime,
}

impl DrainGate {
    /// Creates the state of a daemon that is not stopping.
    #[must_use]
    pub fn new(clock: MilliClock) -> Self {
        Self {
            clock,
            draining: AtomicBool::new(false),
            flights: Mutex::default(),
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
    pub fn enter(self: &Arc<Self>, what: String) -> FlightGuard {
        let since = self.clock.now();
        let mut flights = self.flights();
        let id = flights.next;
        flights.next += 1;
        flights.open.insert(id, FlightInfo { what, since });
        FlightGuard {
            gate: Arc::clone(self),
            id,
        }
    }

    /// Returns the calls in flight, the oldest first.
    #[must_use]
    pub fn in_flight(&self) -> Vec<FlightInfo> {
        self.flights().open.values().cloned().collect()
    }

    /// Each change of the table is a single step, so a panic elsewhere leaves
    /// it whole.
    fn flights(&self) -> MutexGuard<'_, FlightTable> {
        self.flights.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a call as in flight until it is dropped.
pub struct FlightGuard {
    gate: Arc<DrainGate>,
    id: u64,
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.gate.flights().open.remove(&self.id);
    }
}

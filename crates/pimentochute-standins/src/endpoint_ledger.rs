//! The slots in use of a stand-in endpoint and the requests that it ran, for
//! tests that check invariants of the router.

use pimentochute_base::{MilliSpan, MilliTime};
use serde::{Deserialize, Serialize};

/// The slots in use and every request that the endpoint ran.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLedger {
    /// The requests that the endpoint ran, in the order in which they started.
    pub runs: Vec<RequestRun>,
    /// The number of requests that are running.
    pub running: u32,
    /// The number of requests that arrived while all slots were in use.
    pub slot_violations: u64,
    /// The number of connections that exceeded the limit.
    pub connection_violations: u64,
}

/// One request that an endpoint ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRun {
    /// The request id, from the request header.
    pub id: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the request started.
    pub at: MilliTime,
}

impl EndpointLedger {
    /// Takes a slot and records the request. Returns `false` and counts a
    /// violation if all `slots` are in use.
    pub fn begin(&mut self, slots: u32, run: RequestRun) -> bool {
        if self.running >= slots {
            self.slot_violations += 1;
            return false;
        }
        self.running += 1;
        self.runs.push(run);
        true
    }

    /// Frees a slot.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns how many times the endpoint ran the request `id`.
    #[must_use]
    pub fn run_count(&self, id: &str) -> usize {
        self.runs.iter().filter(|run| run.id == id).count()
    }
}

/// Returns how long a request with this body runs: `sleep MS` for that many
/// milliseconds, any other body for no time.
#[must_use]
pub fn parse_sleep(body: &[u8]) -> MilliSpan {
    let text = std::str::from_utf8(body).unwrap_or_default();
    let millis = text.trim().strip_prefix("sleep ");
    MilliSpan::new(millis.and_then(|word| word.parse().ok()).unwrap_or(0))
}

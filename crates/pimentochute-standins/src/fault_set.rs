//! Switches that inject faults into the stand-ins.

use std::sync::Arc;

use pimentochute_base::MilliSpan;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// The body of `POST /faults`, which replaces all switches; a switch that is
/// left out is off. A stand-in ignores switches that do not apply to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(clippy::struct_excessive_bools, reason = "independent switches")]
pub struct FaultSet {
    /// Answers every call with 503 and `x-not-run: true`, without effect.
    pub down: bool,
    /// Delays the start of every call, in milliseconds.
    pub slow_ms: MilliSpan,
    /// Performs the call, then closes the connection instead of answering.
    pub lose_answers: bool,
    /// Never answers on a connection that carries a call while the switch is
    /// on: the calls have no effect, and the connection stays silent after the
    /// switch is off. New connections then work.
    pub silent: bool,
    /// Platform: the host list no longer changes.
    pub frozen_list: bool,
    /// Worker: every task that starts fails at once. Endpoint: every request
    /// runs and is answered with 500.
    pub fail_all: bool,
    /// Endpoint: the request runs and the answer is cut off.
    pub truncate: bool,
    /// Endpoint: the request runs and the answer has the id of another request.
    pub cross: bool,
    /// Endpoint: the request does not run and the answer says so, with the text
    /// "no free slot" as if all slots were in use.
    pub refuse: bool,
}

/// The fault switches in force; clones share them.
#[derive(Debug, Clone)]
pub struct FaultSwitches {
    current: Arc<watch::Sender<FaultSet>>,
}

impl FaultSwitches {
    /// Creates switches that are all off.
    #[must_use]
    pub fn new() -> Self {
        Self {
            current: Arc::new(watch::Sender::new(FaultSet::default())),
        }
    }

    /// Replaces all switches.
    pub fn set(&self, faults: FaultSet) {
        self.current.send_replace(faults);
    }

    /// Returns the switches in force.
    #[must_use]
    pub fn get(&self) -> FaultSet {
        *self.current.borrow()
    }

    /// Returns a receiver that is notified of every change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<FaultSet> {
        self.current.subscribe()
    }
}

impl Default for FaultSwitches {
    fn default() -> Self {
        Self::new()
    }
}

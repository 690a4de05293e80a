//! The fault switches of the stand-ins.

use std::sync::Arc;

use pimentochute_base::MilliSpan;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// The content of `POST /faults`, which replaces all switches; a switch that
/// is left out is off. A stand-in ignores the switches that do not fit it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(clippy::struct_excessive_bools, reason = "independent switches")]
pub struct FaultSet {
    /// Answers every call with 503 and `x-not-run: true`, without effect.
    pub down: bool,
    /// Delays the start of every call, in milliseconds.
    pub slow_ms: MilliSpan,
    /// Closes the connection in place of the answer, after the effect.
    pub lose_answers: bool,
    /// Silences each connection that carries a call, for good: without effect
    /// and also after the switch is off. New connections work then.
    pub silent: bool,
    /// Platform: the host list keeps its present content.
    pub frozen_list: bool,
    /// Worker: every task that starts fails at once. Endpoint: every request
    /// runs and is answered with 500.
    pub fail_all: bool,
    /// Endpoint: the request runs and a part of the answer is sent.
    pub truncate: bool,
    /// Endpoint: the request runs and the answer names another request.
    pub cross: bool,
    /// Endpoint: the request does not run and the answer says so.
    pub refuse: bool,
}

/// The switches in force; clones share them.
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

    /// Returns a receiver that is woken by every change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<FaultSet> {
        self.current.subscribe()
    }
}

impl Default for FaultSwitches {
    fn default() -> Self {
        Self::new()
    }
}

//! The one place where the control plane and the router are plugged in.

use std::sync::Arc;

use pimentochute_base::{HostIncarnation, MilliClock};
use pimentochute_route::PeerForward;

use crate::daemon::{DaemonError, DaemonParts};
use crate::settings::Settings;
use crate::{DrainGate, Metrics, PeerLink, PeerTable};

/// What the control plane and the router may build on.
#[derive(Clone)]
pub struct DaemonContext {
    /// The settings.
    pub settings: Arc<Settings>,
    /// The clock of the process.
    pub clock: MilliClock,
    /// This run of the process.
    pub incarnation: HostIncarnation,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The heartbeats of the other hosts.
    pub peers: Arc<PeerTable>,
    /// Calls to other hosts.
    pub link: Arc<dyn PeerLink>,
    /// Forwards requests to other hosts.
    pub forward: Arc<dyn PeerForward>,
    /// The stopping state and the calls in flight.
    pub gate: Arc<DrainGate>,
}

/// Builds the control plane and the router.
///
/// # Errors
/// Always fails: this build holds neither a control plane nor a router.
pub async fn assemble(_context: &DaemonContext) -> Result<DaemonParts, DaemonError> {
    Err(DaemonError::NotAssembled)
}

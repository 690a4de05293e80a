//! The state that all parts of the daemon share.

use std::sync::{Arc, PoisonError, RwLock};

use pimentochute_base::MilliClock;
use pimentochute_platform::LinkPacer;
use pimentochute_server::{BodyReader, CancellationToken, DrainState, Metrics};

use crate::edge_metrics::EdgeMetrics;
use crate::settings::PrescribedTimes;
use crate::{AdviceService, EdgeSettings, LogStore, PlatformCodec, WorkerOrders};

/// The state that all parts of the daemon share; clones share it as well.
#[derive(Clone)]
pub(crate) struct EdgeContext {
    /// The settings as of the start. Of the changes of the file, only those of
    /// `times` take effect before the next start.
    pub(crate) settings: Arc<EdgeSettings>,
    /// The times that the platform prescribes, as of the last reload.
    pub(crate) times: Arc<RwLock<PrescribedTimes>>,
    pub(crate) clock: MilliClock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) counters: EdgeMetrics,
    pub(crate) gate: Arc<DrainState>,
    /// Cancelled shortly before the process ends: the calls of callers that still
    /// wait then are answered with what is known.
    pub(crate) answers_due: CancellationToken,
    /// Reads the bodies of callers and of other hosts.
    pub(crate) bodies: BodyReader,
    pub(crate) ports: EdgePorts,
    /// The member name of this incarnation of the host in the group.
    pub(crate) member: Arc<str>,
}

impl EdgeContext {
    /// Returns the times that the platform currently prescribes.
    pub(crate) fn times(&self) -> PrescribedTimes {
        *self.times.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the prescribed times; returns whether they have changed.
    pub(crate) fn set_times(&self, times: PrescribedTimes) -> bool {
        let mut slot = self.times.write().unwrap_or_else(PoisonError::into_inner);
        let is_new = *slot != times;
        *slot = times;
        is_new
    }
}

/// The adapters to the platform: the traits through which this crate calls it,
/// not TCP ports.
#[derive(Clone)]
pub struct EdgePorts {
    /// The platform's log.
    pub store: Arc<dyn LogStore>,
    /// Sends orders to workers.
    pub orders: Arc<dyn WorkerOrders>,
    /// The advice service; `None` if all workers may run every step.
    pub advice: Option<Arc<dyn AdviceService>>,
    /// Decodes records and requests, and encodes the answers.
    pub codec: Arc<dyn PlatformCodec>,
    /// Paces what all of these and the calls to other hosts send.
    pub link: LinkPacer,
}

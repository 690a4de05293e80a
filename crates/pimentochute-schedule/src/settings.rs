//! The policies and limits of the placer.

use pimentochute_base::MilliSpan;

use crate::{
    BestFit, BoundedPriority, ClassOrder, DominantShare, JobOrder, LeastSlack, RackSpread,
    TeamOrder, WorkerFit,
};

/// The default of [`HoldLimits::gang_after`]. With 300 s instead, the 99th
/// percentile of gang waiting time at load 0.9 rose from 2,206 s to 2,798 s on
/// workers of 16 cores and fell from 3,586 s to 3,191 s on workers of 64 cores.
pub const GANG_HOLD_AFTER: MilliSpan = MilliSpan::new(60_000);

/// The default of [`HoldLimits::non_gang_after`]. Long, since in an overloaded
/// fleet most jobs wait for minutes only because others go first, and need no
/// hold.
pub const NON_GANG_HOLD_AFTER: MilliSpan = MilliSpan::new(600_000);

/// The default of [`HoldLimits::max_duration`].
pub const HOLD_MAX_DURATION: MilliSpan = MilliSpan::new(900_000);

/// The default of [`HoldLimits::retry_delay`].
pub const HOLD_RETRY_DELAY: MilliSpan = MilliSpan::new(300_000);

/// The default of [`HoldLimits::rest_percent`]: workers are held for at most half
/// of the time. Holds bypass the order of classes: without rest periods, the 99th
/// percentile of normal waiting time at load 1.2 on two fleets was 1,667 s and
/// 2,312 s instead of 636 s and 1,165 s.
pub const HOLD_REST_PERCENT: u64 = 100;

/// The policies and limits of a [`crate::JobPlacer`].
#[derive(Debug)]
pub struct PlacerSettings {
    pub(crate) class_order: Box<dyn ClassOrder>,
    pub(crate) team_order: Box<dyn TeamOrder>,
    pub(crate) job_order: Box<dyn JobOrder>,
    pub(crate) batch_and_gang_fit: Box<dyn WorkerFit>,
    pub(crate) service_fit: Box<dyn WorkerFit>,
    pub(crate) holds: Option<HoldLimits>,
}

impl Default for PlacerSettings {
    fn default() -> Self {
        Self {
            class_order: Box::new(BoundedPriority::default()),
            team_order: Box::new(DominantShare),
            job_order: Box::new(LeastSlack),
            batch_and_gang_fit: Box::new(BestFit),
            service_fit: Box::new(RackSpread),
            holds: Some(HoldLimits::default()),
        }
    }
}

impl PlacerSettings {
    /// Creates the default settings.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the order of the priority classes.
    #[must_use]
    pub fn with_class_order(mut self, order: Box<dyn ClassOrder>) -> Self {
        self.class_order = order;
        self
    }

    /// Sets the order of teams within a class.
    #[must_use]
    pub fn with_team_order(mut self, order: Box<dyn TeamOrder>) -> Self {
        self.team_order = order;
        self
    }

    /// Sets the order of a team's jobs within a class.
    #[must_use]
    pub fn with_job_order(mut self, order: Box<dyn JobOrder>) -> Self {
        self.job_order = order;
        self
    }

    /// Sets the placement policy, a [`WorkerFit`], for tasks of batch jobs and
    /// gangs.
    #[must_use]
    pub fn with_batch_and_gang_fit(mut self, fit: Box<dyn WorkerFit>) -> Self {
        self.batch_and_gang_fit = fit;
        self
    }

    /// Sets the placement policy, a [`WorkerFit`], for tasks of services.
    #[must_use]
    pub fn with_service_fit(mut self, fit: Box<dyn WorkerFit>) -> Self {
        self.service_fit = fit;
        self
    }

    /// Sets when jobs that have waited long get a hold on workers. `None`
    /// disables holds.
    #[must_use]
    pub fn with_holds(mut self, holds: Option<HoldLimits>) -> Self {
        self.holds = holds;
        self
    }
}

/// When a job gets a hold on workers, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldLimits {
    /// The waiting time after which a gang gets a hold.
    pub gang_after: MilliSpan,
    /// The waiting time after which a job of another kind gets a hold.
    pub non_gang_after: MilliSpan,
    /// The maximum duration of a hold. Declared run times may be wrong, so the
    /// expected start of the holder may never come.
    pub max_duration: MilliSpan,
    /// The time for which a job gets no further hold after one that failed, so
    /// that other jobs get one.
    pub retry_delay: MilliSpan,
    /// The time without holds after each hold, in percent of its duration.
    pub rest_percent: u64,
    /// Whether urgent tasks may use held workers regardless of their run time.
    /// Otherwise, the 99th percentile of their waiting time at load 0.9 on two
    /// fleets was 4.4 s and 5.4 s instead of 2.8 s and 3.5 s.
    pub urgent_may_backfill: bool,
}

impl Default for HoldLimits {
    fn default() -> Self {
        Self {
            gang_after: GANG_HOLD_AFTER,
            non_gang_after: NON_GANG_HOLD_AFTER,
            max_duration: HOLD_MAX_DURATION,
            retry_delay: HOLD_RETRY_DELAY,
            rest_percent: HOLD_REST_PERCENT,
            urgent_may_backfill: true,
        }
    }
}

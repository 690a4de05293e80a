//! Settings of the placer.

use pimentochute_base::MilliSpan;

use crate::{
    BestFit, BoundedPriority, ClassOrder, DominantShare, JobOrder, LeastSlack, RackSpread,
    TeamOrder, WorkerFit,
};

/// The default of [`HoldLimits::gang_after`]. With 300 s, the 99th percentile
/// of gang waiting time at load 0.9 was 2,798 s instead of 2,206 s on 16 cores
/// and 3,191 s instead of 3,586 s on 64 cores.
pub const GANG_HOLD_AFTER: MilliSpan = MilliSpan::new(60_000);

/// The default of [`HoldLimits::task_after`]. In an overloaded fleet most
/// jobs wait for minutes only because others go first, and need no hold.
pub const TASK_HOLD_AFTER: MilliSpan = MilliSpan::new(600_000);

/// The default of [`HoldLimits::max_duration`].
pub const HOLD_MAX_DURATION: MilliSpan = MilliSpan::new(900_000);

/// The default of [`HoldLimits::retry_delay`].
pub const HOLD_RETRY_DELAY: MilliSpan = MilliSpan::new(300_000);

/// The default of [`HoldLimits::rest_percent`]: room is held half of the time
/// at most. Without rest, the 99th percentile of normal waiting time at load
/// 1.2 was 1,667 s and 2,312 s (two fleets) instead of 636 s and 1,165 s, since
/// holds go past the order of classes.
pub const HOLD_REST_PERCENT: u64 = 100;

/// When a job holds workers, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldLimits {
    /// A gang that waited this long gets a hold.
    pub gang_after: MilliSpan,
    /// A job of another kind that waited this long gets a hold.
    pub task_after: MilliSpan,
    /// A hold is given up after this time, since declared run times may be
    /// wrong.
    pub max_duration: MilliSpan,
    /// A job whose hold was given up gets none for this time, so that others
    /// do.
    pub retry_delay: MilliSpan,
    /// The time without a hold after each hold, in percent of its length.
    pub rest_percent: u64,
    /// Whether urgent tasks may use held room whatever their run time. If not,
    /// the 99th percentile of their waiting time at load 0.9 was 4.4 s and
    /// 5.4 s (two fleets) instead of 2.8 s and 3.5 s.
    pub urgent_may_backfill: bool,
}

impl Default for HoldLimits {
    fn default() -> Self {
        Self {
            gang_after: GANG_HOLD_AFTER,
            task_after: TASK_HOLD_AFTER,
            max_duration: HOLD_MAX_DURATION,
            retry_delay: HOLD_RETRY_DELAY,
            rest_percent: HOLD_REST_PERCENT,
            urgent_may_backfill: true,
        }
    }
}

/// The policies and limits of a [`crate::JobPlacer`].
#[derive(Debug)]
pub struct PlacerSettings {
    pub(crate) class_order: Box<dyn ClassOrder>,
    pub(crate) team_order: Box<dyn TeamOrder>,
    pub(crate) job_order: Box<dyn JobOrder>,
    pub(crate) task_fit: Box<dyn WorkerFit>,
    pub(crate) service_fit: Box<dyn WorkerFit>,
    pub(crate) holds: Option<HoldLimits>,
}

impl Default for PlacerSettings {
    fn default() -> Self {
        Self {
            class_order: Box::new(BoundedPriority::default()),
            team_order: Box::new(DominantShare),
            job_order: Box::new(LeastSlack),
            task_fit: Box::new(BestFit),
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

    /// Sets the choice of workers for batch and gang tasks.
    #[must_use]
    pub fn with_task_fit(mut self, fit: Box<dyn WorkerFit>) -> Self {
        self.task_fit = fit;
        self
    }

    /// Sets the choice of workers for services.
    #[must_use]
    pub fn with_service_fit(mut self, fit: Box<dyn WorkerFit>) -> Self {
        self.service_fit = fit;
        self
    }

    /// Sets when jobs that waited long get a hold on workers; never if none.
    #[must_use]
    pub fn with_holds(mut self, holds: Option<HoldLimits>) -> Self {
        self.holds = holds;
        self
    }
}

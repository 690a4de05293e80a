//! Settings of the placer.

use pimentochute_base::MilliSpan;

use crate::{
    BestFit, BoundedPriority, ClassOrder, DominantShare, JobOrder, LeastSlack, RackSpread,
    TeamOrder, WorkerFit,
};

/// A gang that waited this long gets a hold. Most batch tasks that block it
/// end later than that, so a shorter time would only hold idle room.
pub const GANG_HOLD_AFTER: MilliSpan = MilliSpan::new(30_000);

/// A job of another kind that waited this long without fitting gets a hold.
pub const TASK_HOLD_AFTER: MilliSpan = MilliSpan::new(120_000);

/// A hold is given up after this time, since declared run times may be wrong.
pub const HOLD_LIMIT: MilliSpan = MilliSpan::new(900_000);

/// A job whose hold was given up gets none for this time, so that others do.
pub const HOLD_PAUSE: MilliSpan = MilliSpan::new(300_000);

/// The policies and limits of a [`crate::JobPlacer`].
#[derive(Debug)]
pub struct PlacerSettings {
    pub(crate) class_order: Box<dyn ClassOrder>,
    pub(crate) team_order: Box<dyn TeamOrder>,
    pub(crate) job_order: Box<dyn JobOrder>,
    pub(crate) task_fit: Box<dyn WorkerFit>,
    pub(crate) service_fit: Box<dyn WorkerFit>,
    pub(crate) holds: bool,
}

impl Default for PlacerSettings {
    fn default() -> Self {
        Self {
            class_order: Box::new(BoundedPriority::default()),
            team_order: Box::new(DominantShare),
            job_order: Box::new(LeastSlack),
            task_fit: Box::new(BestFit),
            service_fit: Box::new(RackSpread),
            holds: true,
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

    /// Sets whether jobs that waited long get a hold on workers.
    #[must_use]
    pub fn with_holds(mut self, holds: bool) -> Self {
        self.holds = holds;
        self
    }
}

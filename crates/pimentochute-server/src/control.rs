//! What callers and operators ask of the log-ordered state.

mod cell;
mod client;
mod config;
mod directory;
mod endpoints;
mod follower;
mod freshness;
mod health;
mod manager_choice;
mod monitor;
mod placement;
mod plan;
mod plane;
mod reconcile;
mod refusals;
mod runtime;
mod scheduler;
mod session;
mod slices;
mod snapshots;
mod views;
mod worker_health;
mod workers;
mod writer;

use std::sync::Arc;

use derive_more::{Display, Error};
use futures::future::BoxFuture;
use pimentochute_base::{ConfigVersion, JobId, TeamName};
use pimentochute_platform::AppendError;
use pimentochute_state::{CellConfig, ConfigPatch, InvalidReason, JobSpec, StampedRecord};

pub(crate) use config::ReplicatedConfig;
pub(crate) use endpoints::RouterUpdater;
pub use freshness::{ConfigFreshness, FreshnessFacts};
pub use plan::{AbandonedTasks, PlacedTask, RoundPlan};
pub use refusals::RefusalTimer;
pub use runtime::PlatformClients;
pub(crate) use runtime::{ControlRuntime, background_child};
pub use slices::{SliceAction, SliceFacts};

use crate::api::{HistoryView, JobView, PatchView, StatusView, WorkerView};

/// The border between the HTTP interfaces and the log-ordered state.
pub trait ControlPlane: Send + Sync {
    /// Returns the configuration in force on this host.
    fn config(&self) -> Arc<CellConfig>;

    /// Returns an earlier configuration that is still remembered.
    fn config_version(&self, version: ConfigVersion) -> Option<Arc<CellConfig>>;

    /// Returns the remembered patches, the oldest first.
    fn config_history(&self) -> Vec<HistoryView>;

    /// Tells whether the configuration is known to be current enough for
    /// work that needs a key.
    fn takes_keyed_work(&self) -> bool;

    /// Hands in a patch and waits for its outcome.
    ///
    /// # Errors
    /// Fails if the outcome is not known in time.
    fn patch(&self, patch: ConfigPatch) -> BoxFuture<'_, Result<PatchView, SubmitError>>;

    /// Records a job and waits until the record is read back.
    ///
    /// # Errors
    /// Fails if the outcome is not known in time.
    fn submit(&self, spec: JobSpec) -> BoxFuture<'_, Result<JobView, SubmitError>>;

    /// Records a job's cancellation; none if the job is not known.
    ///
    /// # Errors
    /// Fails if the outcome is not known in time.
    fn cancel(&self, job: JobId) -> BoxFuture<'_, Result<Option<JobView>, SubmitError>>;

    /// Tells whether the records of the data centre were read to their end at
    /// least once; before that a job may exist that is not known here.
    fn knows_jobs(&self) -> bool;

    /// Returns a job of the data centre.
    fn job(&self, job: JobId) -> Option<JobView>;

    /// Returns the jobs of the data centre, of one team if given.
    fn jobs(&self, team: Option<&TeamName>) -> Vec<JobView>;

    /// Returns the workers of the data centre.
    fn workers(&self) -> Vec<WorkerView>;

    /// Returns the state of this host.
    fn status(&self) -> StatusView;

    /// Appends records for another host of the data centre.
    ///
    /// # Errors
    /// Fails as the log's append does.
    fn append_for_peer(
        &self,
        records: Vec<StampedRecord>,
    ) -> BoxFuture<'_, Result<(), AppendError>>;
}

/// The reason why a change has no known outcome.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SubmitError {
    /// The change surely had no effect.
    #[display("the log does not take records now; hint: try again later")]
    NotRecorded,
    /// The change may have had, or may still have, an effect.
    #[display("the log gave no answer in time; hint: repeat with the same id, which is harmless")]
    Unknown,
    /// The job's identifier stands for another job.
    #[display("the idempotency key was used for a different job; hint: choose a new key")]
    Conflict,
    /// The change is not valid and had no effect.
    #[display("{reason}")]
    Refused {
        /// Why.
        #[error(not(source))]
        reason: InvalidReason,
    },
    /// The host is stopping.
    #[display("the host is stopping; hint: try again, another host will answer")]
    Draining,
}

//! The control plane of a host: replicas of the configuration and of the data
//! centre's jobs and workers, kept by the order of records in the log, and the
//! components that change them.

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
use pimentochute_state::{ConfigPatch, FleetConfig, InvalidReason, JobSpec, StampedRecord};

pub(crate) use config::ReplicatedConfig;
pub(crate) use endpoints::RouterUpdater;
pub use freshness::{ConfigFreshness, FreshnessFacts};
pub use plan::{AbandonedTasks, PlacedTask, ReconcilePlan};
pub use refusals::RefusalTimer;
pub use runtime::PlatformClients;
pub(crate) use runtime::{ControlRuntime, background_child};
pub use slices::{SliceAction, SliceFacts};

use crate::api::{HistoryView, JobView, PatchView, StatusView, WorkerView};

/// The interface through which the HTTP servers read and change the replicated
/// state.
pub trait ControlPlane: Send + Sync {
    /// Returns the configuration in force on this host.
    fn config(&self) -> Arc<FleetConfig>;

    /// Returns a version of the configuration; `None` if it is unknown or no
    /// longer kept.
    fn config_version(&self, version: ConfigVersion) -> Option<Arc<FleetConfig>>;

    /// Returns the patches that are still kept, oldest first.
    fn config_history(&self) -> Vec<HistoryView>;

    /// Returns whether the configuration is known to be current enough to
    /// accept work that needs a key.
    fn accepts_keyed_work(&self) -> bool;

    /// Records a patch of the configuration and waits for its outcome.
    ///
    /// # Errors
    /// Fails if the outcome is not known in time.
    fn patch(&self, patch: ConfigPatch) -> BoxFuture<'_, Result<PatchView, SubmitError>>;

    /// Records a job and waits until the record is read back from the log.
    ///
    /// # Errors
    /// Fails if the outcome is not known in time.
    fn submit(&self, spec: JobSpec) -> BoxFuture<'_, Result<JobView, SubmitError>>;

    /// Records a job's cancellation; `None` if the job is unknown.
    ///
    /// # Errors
    /// Fails if the outcome is not known in time.
    fn cancel(&self, job: JobId) -> BoxFuture<'_, Result<Option<JobView>, SubmitError>>;

    /// Returns whether the data centre's records were read to the end at least
    /// once. Before that, a job that is unknown here may still exist.
    fn has_read_jobs(&self) -> bool;

    /// Returns a job of the data centre; `None` if it is unknown.
    fn job(&self, job: JobId) -> Option<JobView>;

    /// Returns the jobs of the data centre, or only those of `team`.
    fn jobs(&self, team: Option<&TeamName>) -> Vec<JobView>;

    /// Returns the workers of the data centre.
    fn workers(&self) -> Vec<WorkerView>;

    /// Returns this host's view of its own state and of the data centre.
    fn status(&self) -> StatusView;

    /// Appends records that another host of the data centre forwarded.
    ///
    /// # Errors
    /// Returns the error of the log's append.
    fn append_for_peer(
        &self,
        records: Vec<StampedRecord>,
    ) -> BoxFuture<'_, Result<(), AppendError>>;
}

/// The reason why a change was not made, or has no known outcome.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SubmitError {
    /// The record was certainly not appended to the log, so the change has no
    /// effect.
    #[display("the log does not take records now; hint: try again later")]
    NotRecorded,
    /// The record was not read back in time. It may be in the log or still get
    /// there, so the change may take effect.
    #[display("the log gave no answer in time; hint: repeat with the same id, which is harmless")]
    Unknown,
    /// The record was read back and had no effect: the idempotency key already
    /// identifies a different job.
    #[display("the idempotency key was used for a different job; hint: choose a new key")]
    Conflict,
    /// The record was read back and had no effect, since the change is invalid.
    #[display("{reason}")]
    Refused {
        /// The rule that the change breaks.
        #[error(not(source))]
        reason: InvalidReason,
    },
    /// The host is stopping.
    #[display("the host is stopping; hint: try again, another host will answer")]
    Draining,
}

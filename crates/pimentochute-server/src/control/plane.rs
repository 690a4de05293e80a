//! Answers callers, operators and peers from the replicated state.

use std::sync::Arc;

use futures::future::{BoxFuture, FutureExt};
use pimentochute_base::{ConfigVersion, DataCentreName, JobId, MilliClock, SliceIndex, TeamName};
use pimentochute_platform::AppendError;
use pimentochute_route::RequestRouter;
use pimentochute_state::{
    CellRecord, ConfigPatch, FleetConfig, InvalidReason, JobSpec, RecordOutcome, StampedRecord,
};

use super::cell::ReplicatedCell;
use super::client::{PatchClient, RecordClient};
use super::config::ReplicatedConfig;
use super::health::LogHealth;
use super::monitor::FreshnessMonitor;
use super::workers::UnreachableWorkers;
use super::writer::AppendQueue;
use super::{ControlPlane, SubmitError};
use crate::api::{HistoryView, JobView, PatchView, SliceView, StatusView, WorkerView};
use crate::{DrainState, Heartbeat, HeartbeatSource, PeerTable, ServiceCapacity};

/// The [`ControlPlane`] of this host.
pub(crate) struct LocalControlPlane {
    pub(crate) cell: Arc<ReplicatedCell>,
    pub(crate) config: Arc<ReplicatedConfig>,
    pub(crate) client: RecordClient,
    pub(crate) patches: PatchClient,
    pub(crate) queue: AppendQueue,
    pub(crate) monitor: Arc<FreshnessMonitor>,
    pub(crate) cell_health: Arc<LogHealth>,
    pub(crate) config_health: Arc<LogHealth>,
    pub(crate) unreachable: Arc<UnreachableWorkers>,
    pub(crate) router: RequestRouter,
    pub(crate) peers: Arc<PeerTable>,
    pub(crate) drain_state: Arc<DrainState>,
    pub(crate) clock: MilliClock,
    pub(crate) data_centre: DataCentreName,
}

impl ControlPlane for LocalControlPlane {
    fn config(&self) -> Arc<FleetConfig> {
        self.config.current()
    }

    fn config_version(&self, version: ConfigVersion) -> Option<Arc<FleetConfig>> {
        self.config.version(version)
    }

    fn config_history(&self) -> Vec<HistoryView> {
        self.config
            .read()
            .history()
            .map(HistoryView::from)
            .collect()
    }

    fn accepts_keyed_work(&self) -> bool {
        self.monitor.accepts_keyed_work()
    }

    fn patch(&self, patch: ConfigPatch) -> BoxFuture<'_, Result<PatchView, SubmitError>> {
        async move {
            let answer = self.patches.patch(patch).await?;
            Ok(PatchView::from(&answer))
        }
        .boxed()
    }

    fn submit(&self, spec: JobSpec) -> BoxFuture<'_, Result<JobView, SubmitError>> {
        self.submit_job(spec).boxed()
    }

    fn cancel(&self, job: JobId) -> BoxFuture<'_, Result<Option<JobView>, SubmitError>> {
        self.cancel_job(job).boxed()
    }

    fn has_read_jobs(&self) -> bool {
        self.cell_health.has_caught_up_once()
    }

    fn job(&self, job: JobId) -> Option<JobView> {
        self.cell.read().job(job).map(JobView::from)
    }

    fn jobs(&self, team: Option<&TeamName>) -> Vec<JobView> {
        let replica = self.cell.read();
        match team {
            Some(team) => replica.jobs_of(team).map(JobView::from).collect(),
            None => replica.jobs().map(JobView::from).collect(),
        }
    }

    fn workers(&self) -> Vec<WorkerView> {
        self.cell.read().workers().map(WorkerView::from).collect()
    }

    fn status(&self) -> StatusView {
        let replica = self.cell.read();
        StatusView {
            host: self.cell.this_host().host.clone(),
            data_centre: self.data_centre.clone(),
            config_version: self.config.current().version,
            keyed_work: self.accepts_keyed_work(),
            log_age_ms: self.cell_health.age(),
            draining: self.drain_state.is_draining(),
            peers: self.peers.live_hosts(self.clock.now()),
            slices: (0..replica.slice_count())
                .map(SliceIndex::new)
                .filter_map(|slice| {
                    let state = replica.slice(slice)?;
                    let owner = state.owner.as_ref().map(|owner| owner.host.clone());
                    Some(SliceView {
                        slice,
                        owner,
                        epoch: state.epoch,
                    })
                })
                .collect(),
            active_jobs: u32::try_from(replica.unended_job_count()).unwrap_or(u32::MAX),
            placed_tasks: u32::try_from(replica.live_tasks()).unwrap_or(u32::MAX),
        }
    }

    fn append_for_peer(
        &self,
        records: Vec<StampedRecord>,
    ) -> BoxFuture<'_, Result<(), AppendError>> {
        self.queue.append_for_peer(records).boxed()
    }
}

impl HeartbeatSource for LocalControlPlane {
    fn beat(&self) -> Heartbeat {
        let services = self.router.loads().into_iter().map(|load| ServiceCapacity {
            service: load.service,
            free_slots: load.free_slots,
            waiting: load.waiting,
        });
        Heartbeat {
            host: self.cell.this_host().host.clone(),
            data_centre: self.data_centre.clone(),
            incarnation: self.cell.this_host().incarnation,
            config_version: self.config.current().version,
            evidence: self.config_health.evidence(),
            draining: self.drain_state.is_draining(),
            unreachable_workers: self.unreachable.list(),
            services: services.collect(),
        }
    }
}

impl LocalControlPlane {
    async fn submit_job(&self, spec: JobSpec) -> Result<JobView, SubmitError> {
        let id = spec.id;
        let at = self.clock.unix_now();
        let outcome = self
            .client
            .record(CellRecord::JobSubmitted { spec, at })
            .await?;
        match outcome.effect {
            Ok(_) | Err(InvalidReason::RepeatedSubmission | InvalidReason::RepeatedRecord) => {
                self.job(id).ok_or(SubmitError::Unknown)
            }
            Err(InvalidReason::ConflictingSubmission) => Err(SubmitError::Conflict),
            Err(reason) => Err(SubmitError::Refused { reason }),
        }
    }

    async fn cancel_job(&self, job: JobId) -> Result<Option<JobView>, SubmitError> {
        let Some(view) = self.job(job) else {
            return Ok(None);
        };
        if view.ended_ms.is_some() {
            return Ok(Some(view));
        }
        let at = self.clock.unix_now();
        let RecordOutcome { effect, .. } = self
            .client
            .record(CellRecord::JobCancelled { job, at })
            .await?;
        if let Err(reason) = effect {
            log::debug!("control: The cancellation of job {job} had no effect: {reason}");
        }
        Ok(self.job(job))
    }
}

//! Assembles the components of the control plane.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use futures::future::{BoxFuture, FutureExt};
use pimentochute_base::{MilliSpan, NameError, StreamName};
use pimentochute_platform::{HostDirectory, LogService, WorkerControl};
use pimentochute_route::RequestRouter;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use super::cell::{CellChange, ReplicatedCell};
use super::client::{PatchClient, RecordClient};
use super::config::ReplicatedConfig;
use super::directory::{DataCentreListing, DirectoryPoller};
use super::follower::{LogFollower, StreamReplica};
use super::health::LogHealth;
use super::monitor::FreshnessMonitor;
use super::plane::LocalControlPlane;
use super::scheduler::{SchedulerLoop, SchedulerSettings};
use super::slices::{SliceManager, SliceOwnerSelector};
use super::snapshots::SnapshotPublisher;
use super::workers::{UnreachableWorkers, WorkerContext, WorkerSessions};
use super::writer::{AppendQueue, BatchPolicy, RecordAppender, WriterSelector};
use crate::settings::WorkerSettings;
use crate::{ChildError, ChildSpec, DaemonContext, StopHooks};

/// The clients of the platform's services.
#[derive(Clone)]
pub struct PlatformClients {
    /// The client of the log.
    pub log: Arc<dyn LogService>,
    /// The client of the host list.
    pub directory: Arc<dyn HostDirectory>,
    /// The client that controls workers and sends them tasks.
    pub workers: Arc<dyn WorkerControl>,
}

/// The control plane with its background tasks and stop hooks.
pub(crate) struct ControlRuntime {
    pub(crate) plane: Arc<LocalControlPlane>,
    pub(crate) config: Arc<ReplicatedConfig>,
    pub(crate) hosts: watch::Receiver<Arc<DataCentreListing>>,
    pub(crate) children: Vec<ChildSpec>,
    pub(crate) hooks: Arc<dyn StopHooks>,
}

/// The names of the log streams that a host uses.
struct StreamNames {
    cell: StreamName,
    cell_snapshots: StreamName,
    config: StreamName,
    config_snapshots: StreamName,
}

impl ControlRuntime {
    /// Builds the components; the supervisor starts them later.
    ///
    /// # Errors
    /// Fails if the data centre's name is too long for the name of a stream.
    pub(crate) fn new(
        context: &DaemonContext,
        clients: &PlatformClients,
        router: RequestRouter,
    ) -> Result<Self, NameError> {
        let (builder, changes, writer) = RuntimeBuilder::new(context, clients)?;
        let poller = Arc::new(DirectoryPoller::new(
            Arc::clone(&clients.directory),
            context.settings.data_centre.clone(),
            context.settings.directory.poll_ms,
        ));
        let hosts = poller.subscribe();
        let unreachable = Arc::new(UnreachableWorkers::default());
        let workers = Arc::new(builder.workers(hosts.clone(), &unreachable));
        let slices = Arc::new(builder.slices());
        let monitor = Arc::new(builder.monitor());
        let plane = Arc::new(builder.plane(&monitor, unreachable, router));
        let hooks = Arc::new(ControlHooks {
            slices: Arc::clone(&slices),
            workers: Arc::clone(&workers),
        });
        let config_follower = Arc::new(builder.config_follower());
        let cell_follower = Arc::new(builder.cell_follower());
        let scheduler = Arc::new(builder.scheduler(changes));
        let publisher = Arc::new(builder.publisher());
        let children = vec![
            background_child("config follower", config_follower, |component| {
                async move { component.run().await }.boxed()
            }),
            background_child("cell follower", cell_follower, |component| {
                async move { component.run().await }.boxed()
            }),
            background_child("batched writer", Arc::new(writer), |component| {
                async move { component.run().await }.boxed()
            }),
            background_child("slice manager", slices, |component| {
                async move { component.run().await }.boxed()
            }),
            background_child("scheduler loop", scheduler, |component| {
                async move { component.run().await }.boxed()
            }),
            background_child("worker manager", workers, |component| {
                async move { component.run().await }.boxed()
            }),
            background_child("directory poller", poller, |component| {
                async move { component.run().await }.boxed()
            }),
            background_child("freshness monitor", monitor, |component| {
                async move { component.run().await }.boxed()
            }),
            background_child("snapshot publisher", publisher, |component| {
                async move { component.run().await }.boxed()
            }),
        ];
        Ok(Self {
            plane,
            config: builder.config,
            hosts,
            children,
            hooks,
        })
    }
}

/// Builds the components around the replicas and the clients that they share.
struct RuntimeBuilder<'a> {
    context: &'a DaemonContext,
    clients: &'a PlatformClients,
    streams: StreamNames,
    cell: Arc<ReplicatedCell>,
    config: Arc<ReplicatedConfig>,
    cell_health: Arc<LogHealth>,
    config_health: Arc<LogHealth>,
    queue: AppendQueue,
    client: RecordClient,
}

impl<'a> RuntimeBuilder<'a> {
    fn new(
        context: &'a DaemonContext,
        clients: &'a PlatformClients,
    ) -> Result<(Self, mpsc::UnboundedReceiver<CellChange>, RecordAppender), NameError> {
        let streams = StreamNames::new(context)?;
        let settings = &context.settings;
        let slices = settings.slices.slices;
        let (cell, changes) =
            ReplicatedCell::new(settings.host.clone(), context.incarnation, slices);
        let cell = Arc::new(cell);
        let selector: Arc<dyn WriterSelector> = Arc::new(SliceOwnerSelector {
            cell: Arc::clone(&cell),
            peers: Arc::clone(&context.peers),
            clock: context.clock.clone(),
        });
        let policy = BatchPolicy {
            writer_interval: settings.log.append_ms,
            fallback_interval: settings.log.direct_append_ms,
            max_records: usize::try_from(settings.log.append_records).unwrap_or(usize::MAX),
        };
        let (writer, queue) = RecordAppender::new(
            Arc::clone(&clients.log),
            Arc::clone(&context.link),
            selector,
            streams.cell.clone(),
            policy,
        );
        let outcome_timeout = settings.log.outcome_wait_ms;
        let client = RecordClient::new(Arc::clone(&cell), queue.clone(), outcome_timeout);
        let builder = Self {
            context,
            clients,
            streams,
            cell,
            config: Arc::new(ReplicatedConfig::new()),
            cell_health: Arc::new(LogHealth::new(context.clock.clone())),
            config_health: Arc::new(LogHealth::new(context.clock.clone())),
            queue,
            client,
        };
        Ok((builder, changes, writer))
    }

    fn workers(
        &self,
        hosts: watch::Receiver<Arc<DataCentreListing>>,
        unreachable: &Arc<UnreachableWorkers>,
    ) -> WorkerSessions {
        let settings = &self.context.settings;
        WorkerSessions::new(WorkerContext {
            cell: Arc::clone(&self.cell),
            client: self.client.clone(),
            worker_client: Arc::clone(&self.clients.workers),
            peers: Arc::clone(&self.context.peers),
            clock: self.context.clock.clone(),
            settings: settings.workers,
            hosts,
            releasing: AtomicBool::new(false),
            unreachable: Arc::clone(unreachable),
            log_health: Arc::clone(&self.cell_health),
        })
    }

    fn slices(&self) -> SliceManager {
        SliceManager::new(
            Arc::clone(&self.cell),
            self.client.clone(),
            Arc::clone(&self.context.peers),
            self.context.clock.clone(),
            self.context.settings.slices.takeover_ms,
            Arc::clone(&self.context.drain_state),
        )
    }

    fn monitor(&self) -> FreshnessMonitor {
        FreshnessMonitor::new(
            Arc::clone(&self.config),
            Arc::clone(&self.config_health),
            Arc::clone(&self.context.peers),
            Arc::clone(&self.context.link),
            self.context.clock.clone(),
            self.context.settings.configuration,
        )
    }

    fn scheduler(&self, changes: mpsc::UnboundedReceiver<CellChange>) -> SchedulerLoop {
        let settings = &self.context.settings;
        let scheduler_settings = SchedulerSettings {
            data_centre: settings.data_centre.clone(),
            data_centres: self.context.peers.centres(),
            probe_interval: settings.workers.quarantine_probe_ms,
            refusal_timeout: refusal_timeout(settings.workers),
        };
        SchedulerLoop::new(
            Arc::clone(&self.cell),
            Arc::clone(&self.config),
            self.client.clone(),
            self.context.clock.clone(),
            scheduler_settings,
            changes,
        )
    }

    fn publisher(&self) -> SnapshotPublisher {
        SnapshotPublisher {
            log: Arc::clone(&self.clients.log),
            cell: Arc::clone(&self.cell),
            config: Arc::clone(&self.config),
            cell_stream: self.streams.cell_snapshots.clone(),
            config_stream: self.streams.config_snapshots.clone(),
            cell_health: Arc::clone(&self.cell_health),
            config_health: Arc::clone(&self.config_health),
            interval: self.context.settings.log.snapshot_ms,
        }
    }

    fn plane(
        &self,
        monitor: &Arc<FreshnessMonitor>,
        unreachable: Arc<UnreachableWorkers>,
        router: RequestRouter,
    ) -> LocalControlPlane {
        let patches = PatchClient::new(
            Arc::clone(&self.clients.log),
            self.streams.config.clone(),
            Arc::clone(&self.config),
            self.context.settings.log.outcome_wait_ms,
        );
        LocalControlPlane {
            cell: Arc::clone(&self.cell),
            config: Arc::clone(&self.config),
            client: self.client.clone(),
            patches,
            queue: self.queue.clone(),
            monitor: Arc::clone(monitor),
            cell_health: Arc::clone(&self.cell_health),
            config_health: Arc::clone(&self.config_health),
            unreachable,
            router,
            peers: Arc::clone(&self.context.peers),
            drain_state: Arc::clone(&self.context.drain_state),
            clock: self.context.clock.clone(),
            data_centre: self.context.settings.data_centre.clone(),
        }
    }

    fn config_follower(&self) -> LogFollower {
        let target: Arc<dyn StreamReplica> = self.config.clone();
        let streams = (
            self.streams.config.clone(),
            self.streams.config_snapshots.clone(),
        );
        self.follower(streams, target, &self.config_health)
    }

    fn cell_follower(&self) -> LogFollower {
        let target: Arc<dyn StreamReplica> = self.cell.clone();
        let streams = (
            self.streams.cell.clone(),
            self.streams.cell_snapshots.clone(),
        );
        self.follower(streams, target, &self.cell_health)
    }

    fn follower(
        &self,
        (stream, snapshots): (StreamName, StreamName),
        target: Arc<dyn StreamReplica>,
        health: &Arc<LogHealth>,
    ) -> LogFollower {
        LogFollower::new(
            Arc::clone(&self.clients.log),
            self.context.clock.clone(),
            stream,
            snapshots,
            target,
            Arc::clone(health),
            self.context.settings.log,
        )
    }
}

impl StreamNames {
    fn new(context: &DaemonContext) -> Result<Self, NameError> {
        let data_centre = &context.settings.data_centre;
        Ok(Self {
            cell: StreamName::new(&format!("cell.{data_centre}"))?,
            cell_snapshots: StreamName::new(&format!("cell.{data_centre}.snapshot"))?,
            config: StreamName::new("config")?,
            config_snapshots: StreamName::new("config.snapshot")?,
        })
    }
}

/// Releases slices and control of workers during a planned stop.
struct ControlHooks {
    slices: Arc<SliceManager>,
    workers: Arc<WorkerSessions>,
}

impl StopHooks for ControlHooks {
    fn release_slices(&self) -> BoxFuture<'_, ()> {
        self.slices.release_all().boxed()
    }

    fn release_workers(&self) -> BoxFuture<'_, ()> {
        self.workers.release_all().boxed()
    }
}

/// Returns how long a job must be unplaceable before it is refused: twice the
/// control lease plus the task lease. A worker that was lost, or whose manager
/// failed, is recorded again after these leases have expired.
fn refusal_timeout(workers: WorkerSettings) -> MilliSpan {
    let leases = workers.control_lease_ms + workers.task_lease_ms;
    leases + leases
}

/// Wraps a component that runs until it is stopped as a supervised child. An
/// end before that is an error.
pub(crate) fn background_child<T: Send + Sync + 'static>(
    name: &'static str,
    component: Arc<T>,
    run: fn(Arc<T>) -> BoxFuture<'static, ()>,
) -> ChildSpec {
    ChildSpec::new(name, move |stop: CancellationToken| {
        let running = run(Arc::clone(&component));
        async move {
            tokio::select! {
                () = stop.cancelled() => Ok(()),
                () = running => Err(ChildError::EndedEarly),
            }
        }
    })
}

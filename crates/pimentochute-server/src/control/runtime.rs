//! Puts the parts that follow and change the log-ordered state together.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use futures::future::{BoxFuture, FutureExt};
use pimentochute_base::{NameError, StreamName};
use pimentochute_platform::{HostDirectory, LogService, WorkerControl};
use pimentochute_route::RequestRouter;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::cell::CellShared;
use super::client::{PatchClient, RecordClient};
use super::config::ConfigShared;
use super::directory::{DirectoryPoller, HostList};
use super::follower::{FoldTarget, LogFollower};
use super::health::LogHealth;
use super::monitor::FreshnessMonitor;
use super::plane::CellPlane;
use super::scheduler::{SchedulerLoop, SchedulerPlace};
use super::slices::SliceManager;
use super::snapshots::SnapshotPublisher;
use super::workers::{UnreachableWorkers, WorkerContext, WorkerManager};
use super::writer::{AppendPace, RecordWriter, WriterChoice, WriterQueue};
use crate::{ChildError, ChildSpec, DaemonContext, StopHooks};

/// The systems outside that the control plane uses.
#[derive(Clone)]
pub struct PlatformClients {
    /// The log.
    pub log: Arc<dyn LogService>,
    /// The host list.
    pub directory: Arc<dyn HostDirectory>,
    /// The workers.
    pub workers: Arc<dyn WorkerControl>,
}

/// The control plane with its background parts.
pub(crate) struct ControlRuntime {
    pub(crate) plane: Arc<CellPlane>,
    pub(crate) config: Arc<ConfigShared>,
    pub(crate) hosts: watch::Receiver<HostList>,
    pub(crate) children: Vec<ChildSpec>,
    pub(crate) hooks: Arc<dyn StopHooks>,
}

/// The names of the streams of a host.
struct StreamNames {
    cell: StreamName,
    cell_snapshots: StreamName,
    config: StreamName,
    config_snapshots: StreamName,
}

/// The states that follow the streams.
struct FollowedStates {
    cell: Arc<CellShared>,
    config: Arc<ConfigShared>,
    cell_health: Arc<LogHealth>,
    config_health: Arc<LogHealth>,
}

impl ControlRuntime {
    /// Builds the parts; none of them runs yet.
    ///
    /// # Errors
    /// Fails if the data centre's name is too long for the name of a stream.
    pub(crate) fn new(
        context: &DaemonContext,
        clients: &PlatformClients,
        router: RequestRouter,
    ) -> Result<Self, NameError> {
        let streams = StreamNames::new(context)?;
        let settings = &context.settings;
        let clock = &context.clock;
        let (cell, changes) = CellShared::new(
            settings.host.clone(),
            context.incarnation,
            settings.slices.slices,
        );
        let states = FollowedStates {
            cell: Arc::new(cell),
            config: Arc::new(ConfigShared::new()),
            cell_health: Arc::new(LogHealth::new(clock.clone())),
            config_health: Arc::new(LogHealth::new(clock.clone())),
        };
        let (writer, queue) = record_writer(context, clients, &streams, &states);
        let client =
            RecordClient::new(Arc::clone(&states.cell), queue.clone(), settings.log.outcome_wait_ms);
        let poller =
            Arc::new(DirectoryPoller::new(Arc::clone(&clients.directory), settings.directory.poll_ms));
        let hosts = poller.subscribe();
        let unreachable = Arc::new(UnreachableWorkers::default());
        let workers = Arc::new(WorkerManager::new(WorkerContext {
            cell: Arc::clone(&states.cell),
            client: client.clone(),
            control: Arc::clone(&clients.workers),
            table: Arc::clone(&context.peers),
            clock: clock.clone(),
            settings: settings.workers,
            data_centre: settings.data_centre.clone(),
            hosts: hosts.clone(),
            releasing: AtomicBool::new(false),
            unreachable: Arc::clone(&unreachable),
            log_health: Arc::clone(&states.cell_health),
        }));
        let slices = Arc::new(SliceManager::new(
            Arc::clone(&states.cell),
            client.clone(),
            Arc::clone(&context.peers),
            clock.clone(),
            settings.slices.takeover_ms,
            Arc::clone(&context.gate),
        ));
        let monitor = Arc::new(FreshnessMonitor::new(
            Arc::clone(&states.config),
            Arc::clone(&states.config_health),
            Arc::clone(&context.peers),
            Arc::clone(&context.link),
            clock.clone(),
            settings.configuration,
        ));
        let scheduler = SchedulerLoop::new(
            Arc::clone(&states.cell),
            Arc::clone(&states.config),
            client.clone(),
            clock.clone(),
            SchedulerPlace {
                data_centre: settings.data_centre.clone(),
                data_centres: context.peers.centres(),
                probe_interval: settings.workers.quarantine_probe_ms,
            },
            changes,
        );
        let publisher = SnapshotPublisher {
            log: Arc::clone(&clients.log),
            cell: Arc::clone(&states.cell),
            config: Arc::clone(&states.config),
            cell_stream: streams.cell_snapshots.clone(),
            config_stream: streams.config_snapshots.clone(),
            cell_health: Arc::clone(&states.cell_health),
            config_health: Arc::clone(&states.config_health),
            interval: settings.log.snapshot_ms,
        };
        let patches = PatchClient::new(
            Arc::clone(&clients.log),
            streams.config.clone(),
            Arc::clone(&states.config),
            settings.log.outcome_wait_ms,
        );
        let config_follower = states.config_follower(context, clients, &streams);
        let cell_follower = states.cell_follower(context, clients, &streams);
        let plane = CellPlane {
            cell: Arc::clone(&states.cell),
            config: Arc::clone(&states.config),
            client,
            patches,
            queue,
            monitor: Arc::clone(&monitor),
            cell_health: states.cell_health,
            config_health: states.config_health,
            unreachable,
            router,
            table: Arc::clone(&context.peers),
            gate: Arc::clone(&context.gate),
            clock: clock.clone(),
            data_centre: settings.data_centre.clone(),
        };
        let hooks = Arc::new(ControlHooks {
            slices: Arc::clone(&slices),
            workers: Arc::clone(&workers),
        });
        Ok(Self {
            plane: Arc::new(plane),
            config: states.config,
            hosts,
            children: vec![
                endless("config follower", Arc::new(config_follower), |part| {
                    async move { part.run().await }.boxed()
                }),
                endless("cell follower", Arc::new(cell_follower), |part| {
                    async move { part.run().await }.boxed()
                }),
                endless("batched writer", Arc::new(writer), |part| {
                    async move { part.run().await }.boxed()
                }),
                endless("slice manager", slices, |part| async move { part.run().await }.boxed()),
                endless("scheduler loop", Arc::new(scheduler), |part| {
                    async move { part.run().await }.boxed()
                }),
                endless("worker manager", workers, |part| async move { part.run().await }.boxed()),
                endless("directory poller", poller, |part| async move { part.run().await }.boxed()),
                endless("freshness monitor", monitor, |part| {
                    async move { part.run().await }.boxed()
                }),
                endless("snapshot publisher", Arc::new(publisher), |part| {
                    async move { part.run().await }.boxed()
                }),
            ],
            hooks,
        })
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

impl FollowedStates {
    fn config_follower(
        &self,
        context: &DaemonContext,
        clients: &PlatformClients,
        streams: &StreamNames,
    ) -> LogFollower {
        let target: Arc<dyn FoldTarget> = self.config.clone();
        LogFollower::new(
            Arc::clone(&clients.log),
            context.clock.clone(),
            streams.config.clone(),
            streams.config_snapshots.clone(),
            target,
            Arc::clone(&self.config_health),
        )
    }

    fn cell_follower(
        &self,
        context: &DaemonContext,
        clients: &PlatformClients,
        streams: &StreamNames,
    ) -> LogFollower {
        let target: Arc<dyn FoldTarget> = self.cell.clone();
        LogFollower::new(
            Arc::clone(&clients.log),
            context.clock.clone(),
            streams.cell.clone(),
            streams.cell_snapshots.clone(),
            target,
            Arc::clone(&self.cell_health),
        )
    }
}

/// Gives up slices and workers during a planned stop.
struct ControlHooks {
    slices: Arc<SliceManager>,
    workers: Arc<WorkerManager>,
}

impl StopHooks for ControlHooks {
    fn release_slices(&self) -> BoxFuture<'_, ()> {
        self.slices.release_all().boxed()
    }

    fn release_workers(&self) -> BoxFuture<'_, ()> {
        self.workers.release_all().boxed()
    }
}

fn record_writer(
    context: &DaemonContext,
    clients: &PlatformClients,
    streams: &StreamNames,
    states: &FollowedStates,
) -> (RecordWriter, WriterQueue) {
    let choice: Arc<dyn WriterChoice> = states.cell.clone();
    let pace = AppendPace {
        writer: context.settings.log.append_ms,
        fallback: context.settings.log.direct_append_ms,
    };
    RecordWriter::new(
        Arc::clone(&clients.log),
        Arc::clone(&context.link),
        choice,
        streams.cell.clone(),
        pace,
    )
}

/// Makes a child of a part that runs until it is stopped.
pub(crate) fn endless<T: Send + Sync + 'static>(
    name: &'static str,
    part: Arc<T>,
    run: fn(Arc<T>) -> BoxFuture<'static, ()>,
) -> ChildSpec {
    ChildSpec::new(name, move |stop: CancellationToken| {
        let running = run(Arc::clone(&part));
        async move {
            tokio::select! {
                () = stop.cancelled() => Ok(()),
                () = running => Err(ChildError::EndedEarly),
            }
        }
    })
}

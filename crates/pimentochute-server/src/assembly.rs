//! Builds the control plane and the router and connects them to the daemon.

use std::sync::Arc;

use futures::FutureExt;
use pimentochute_base::{HostIncarnation, MilliClock};
use pimentochute_platform::{
    Authority, EndpointDialer, HttpDirectory, HttpEndpointDialer, HttpLog, HttpWorkerControl,
};
use pimentochute_route::{
    EndpointStatus, HostPosition, PeerForward, RequestRouter, RouterSettings,
};

use crate::api::EndpointView;
use crate::control::{ControlRuntime, RouterUpdater, background_child};
use crate::daemon::{DaemonDependencies, DaemonError};
use crate::permit_relay::PermitRelay;
use crate::settings::{HostPort, Settings};
use crate::{
    ClientLedger, DrainState, EndpointList, Metrics, PeerLink, PeerTable, PlatformClients,
    ServiceCapacity,
};

/// What the control plane and the router are built from.
#[derive(Clone)]
pub struct DaemonContext {
    /// The settings of this host.
    pub settings: Arc<Settings>,
    /// The clock of the process.
    pub clock: MilliClock,
    /// The incarnation of this host.
    pub incarnation: HostIncarnation,
    /// The metrics of the process.
    pub metrics: Arc<Metrics>,
    /// The last heartbeats of the other hosts.
    pub peers: Arc<PeerTable>,
    /// Calls other hosts.
    pub link: Arc<dyn PeerLink>,
    /// Forwards requests to other hosts.
    pub forward: Arc<dyn PeerForward>,
    /// The draining flag and the calls in flight.
    pub drain_state: Arc<DrainState>,
    /// The connections and bodies of clients, of all listeners.
    pub clients: ClientLedger,
}

/// Builds the control plane and the router with the platform services that the
/// settings name.
///
/// # Errors
/// Fails if an address or a name of the settings is invalid.
pub async fn assemble(context: &DaemonContext) -> Result<DaemonDependencies, DaemonError> {
    let settings = &context.settings;
    let log =
        HttpLog::new(authority(&settings.log_address)?).with_timeout(settings.log.call_timeout_ms);
    let directory = HttpDirectory::new(authority(&settings.directory_address)?)
        .with_timeout(settings.directory.call_timeout_ms);
    let workers = HttpWorkerControl::new().with_timeout(settings.workers.call_timeout_ms);
    let clients = PlatformClients {
        log: Arc::new(log),
        directory: Arc::new(directory),
        workers: Arc::new(workers),
    };
    assemble_with(context, &clients, Arc::new(HttpEndpointDialer::new()))
}

/// Builds the control plane and the router with the given platform clients.
///
/// # Errors
/// Fails if the name of the data centre is too long to form a stream name.
pub fn assemble_with(
    context: &DaemonContext,
    clients: &PlatformClients,
    dialer: Arc<dyn EndpointDialer>,
) -> Result<DaemonDependencies, DaemonError> {
    let router = request_router(context, dialer);
    let runtime = ControlRuntime::new(context, clients, router.clone())?;
    let relay = PermitRelay {
        route: Arc::new(router.clone()),
        forward: Arc::clone(&context.forward),
        config: Arc::clone(&runtime.config),
        table: Arc::clone(&context.peers),
        clock: context.clock.clone(),
        position: host_position(context),
        centre_index: index(context.settings.centre_index()),
        centre_count: index(context.settings.data_centres.len()),
    };
    let updater = RouterUpdater {
        router: router.clone(),
        config: runtime.config,
        hosts: runtime.hosts,
        centre_index: index(context.settings.centre_index()),
        centre_count: index(context.settings.data_centres.len()),
        position: host_position(context),
    };
    let mut children = runtime.children;
    children.push(background_child(
        "router feed",
        Arc::new(updater),
        |component| async move { component.run().await }.boxed(),
    ));
    Ok(DaemonDependencies {
        control: runtime.plane.clone(),
        route: Arc::new(relay),
        endpoints: Arc::new(router),
        heartbeats: runtime.plane,
        hooks: runtime.hooks,
        children,
    })
}

impl EndpointList for RequestRouter {
    fn endpoints(&self) -> Vec<EndpointView> {
        let used = Self::endpoints(self).into_iter();
        used.map(|endpoint| EndpointView {
            name: endpoint.name.to_string(),
            service: endpoint.service.to_string(),
            status: match endpoint.status {
                EndpointStatus::Live if endpoint.avoided => "avoided".to_owned(),
                EndpointStatus::Live => "live".to_owned(),
                EndpointStatus::Leaving => "leaving".to_owned(),
            },
            slots: endpoint.slots,
            in_use: endpoint.in_use,
        })
        .collect()
    }

    fn free_capacity(&self) -> Vec<ServiceCapacity> {
        let loads = self.loads().into_iter();
        loads
            .map(|load| ServiceCapacity {
                service: load.service,
                free_slots: load.free_slots,
                waiting: load.waiting,
            })
            .collect()
    }
}

fn request_router(context: &DaemonContext, dialer: Arc<dyn EndpointDialer>) -> RequestRouter {
    let requests = context.settings.requests;
    let settings = RouterSettings {
        max_waiting: usize::try_from(requests.queue_length).unwrap_or(usize::MAX),
        connect_timeout: requests.connect_timeout_ms,
        probe_idle_after: requests.probe_idle_ms,
        probe_timeout: requests.probe_timeout_ms,
        retry_percent: requests.retry_percent,
        retry_reserve: requests.retry_reserve,
        backoff_base: requests.retry_backoff_ms,
        seed: context.incarnation.get(),
        ..RouterSettings::default()
    };
    RequestRouter::new(
        settings,
        host_position(context),
        dialer,
        Arc::clone(&context.forward),
        context.clock.clone(),
    )
}

fn host_position(context: &DaemonContext) -> HostPosition {
    let settings = &context.settings;
    HostPosition::new(
        index(settings.host_index()),
        index(settings.local_hosts().len()),
    )
}

fn index(position: usize) -> u32 {
    u32::try_from(position).unwrap_or(u32::MAX)
}

fn authority(address: &HostPort) -> Result<Authority, DaemonError> {
    address.as_str().parse().map_err(|_| DaemonError::Address {
        address: address.clone(),
    })
}

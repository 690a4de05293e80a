//! Runs a worker or endpoint and registers it with the platform.

use std::io;
use std::net::SocketAddr;

use pimentochute_base::MilliClock;
use pimentochute_platform::{HostEntry, HostRole, HostStatus};
use tokio::net::TcpListener;

use crate::endpoint_standin::EndpointStandin;
use crate::fleet_plan::{EndpointPlan, RegistrationTarget, WorkerPlan};
use crate::registration::{HostRegistration, LeavingSwitch};
use crate::server::{RunningServer, Standin, serve};
use crate::worker_standin::WorkerStandin;

/// A worker or endpoint that runs and registers until it is stopped or dropped.
#[derive(Debug)]
pub struct RunningHost {
    /// The entry under which the host registers.
    pub entry: HostEntry,
    server: RunningServer,
    _registration: HostRegistration,
}

impl RunningHost {
    /// Runs a worker on `listen` and registers it.
    ///
    /// # Errors
    /// Fails if the server cannot listen on the address.
    pub async fn start_worker(
        plan: WorkerPlan,
        listen: SocketAddr,
        target: &RegistrationTarget,
        clock: MilliClock,
    ) -> io::Result<Self> {
        let name = plan.name.to_string();
        let rack = Some(plan.rack.clone());
        let worker = WorkerStandin::new(plan.name, plan.rack, plan.capacity, clock);
        let entry = |address| HostEntry {
            rack,
            ..host_entry(name, HostRole::Worker, address, target)
        };
        Self::start(&worker, worker.leaving(), listen, target, entry).await
    }

    /// Runs an endpoint on `listen` and registers it.
    ///
    /// # Errors
    /// Fails if the server cannot listen on the address.
    pub async fn start_endpoint(
        plan: EndpointPlan,
        listen: SocketAddr,
        target: &RegistrationTarget,
        clock: MilliClock,
    ) -> io::Result<Self> {
        let name = plan.name.to_string();
        let endpoint = EndpointStandin::new(plan.name, plan.slots, plan.connections, clock);
        let entry = |address| HostEntry {
            service: Some(plan.service),
            slots: plan.slots,
            connections: plan.connections,
            ..host_entry(name, HostRole::Endpoint, address, target)
        };
        Self::start(&endpoint, endpoint.leaving(), listen, target, entry).await
    }

    /// Stops the host. It disappears from the host list when its last
    /// registration expires, after a few seconds.
    pub async fn stop(self) {
        self.server.stop().await;
    }

    async fn start(
        standin: &dyn Standin,
        leaving: &LeavingSwitch,
        listen: SocketAddr,
        target: &RegistrationTarget,
        entry: impl FnOnce(SocketAddr) -> HostEntry,
    ) -> io::Result<Self> {
        let server = serve(TcpListener::bind(listen).await?, standin)?;
        let entry = entry(server.address());
        let platform = target.platform.clone();
        Ok(Self {
            _registration: HostRegistration::new(platform, entry.clone(), leaving),
            entry,
            server,
        })
    }
}

fn host_entry(
    name: String,
    role: HostRole,
    address: SocketAddr,
    target: &RegistrationTarget,
) -> HostEntry {
    HostEntry {
        name,
        role,
        data_centre: target.data_centre.clone(),
        address,
        status: HostStatus::Live,
        rack: None,
        service: None,
        slots: 0,
        connections: 0,
    }
}

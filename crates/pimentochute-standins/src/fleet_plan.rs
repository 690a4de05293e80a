//! Describes the hosts that a process of stand-ins runs.

use pimentochute_base::{
    DataCentreName, EndpointName, NameError, RackName, ResourceAmount, ServiceName, WorkerName,
};
use pimentochute_platform::Authority;

/// The platform and the data centre that stand-ins register with.
#[derive(Debug, Clone)]
pub struct RegistrationTarget {
    /// The address of the platform stand-in.
    pub platform: Authority,
    /// The data centre that the hosts belong to.
    pub data_centre: DataCentreName,
}

/// One worker to run.
#[derive(Debug, Clone)]
pub struct WorkerPlan {
    /// The name, unique among workers.
    pub name: WorkerName,
    /// The rack that the worker stands in.
    pub rack: RackName,
    /// The total resources of the worker.
    pub capacity: ResourceAmount,
}

/// One endpoint to run.
#[derive(Debug, Clone)]
pub struct EndpointPlan {
    /// The name, unique among endpoints.
    pub name: EndpointName,
    /// The service that it offers.
    pub service: ServiceName,
    /// The maximum number of requests that it runs at once.
    pub slots: u32,
    /// The maximum number of open connections.
    pub connections: u32,
}

/// Workers and endpoints to run in one process.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The workers, each with its own server.
    pub workers: Vec<WorkerPlan>,
    /// The endpoints, each with its own server.
    pub endpoints: Vec<EndpointPlan>,
}

/// The parameters from which a [`FleetPlan`] is generated.
#[derive(Debug, Clone)]
pub struct FleetShape {
    /// The prefix of each name, so that the names of several fleets differ.
    pub prefix: String,
    /// The number of workers.
    pub workers: u32,
    /// The number of workers per rack.
    pub per_rack: u32,
    /// The total resources of each worker.
    pub capacity: ResourceAmount,
    /// The number of endpoints.
    pub endpoints: u32,
    /// The service of the endpoints.
    pub service: ServiceName,
    /// The maximum number of requests that an endpoint runs at once.
    pub slots: u32,
    /// The maximum number of open connections of an endpoint.
    pub connections: u32,
}

impl FleetPlan {
    /// Generates workers, racks and endpoints with the names `PREFIXw1`,
    /// `PREFIXr1`, `PREFIXe1` and so on.
    ///
    /// # Errors
    /// Fails if the prefix does not result in valid names.
    pub fn new(shape: &FleetShape) -> Result<Self, NameError> {
        let prefix = &shape.prefix;
        let workers = (0..shape.workers).map(|index| {
            let rack = index / shape.per_rack.max(1);
            Ok(WorkerPlan {
                name: format!("{prefix}w{}", index + 1).parse()?,
                rack: format!("{prefix}r{}", rack + 1).parse()?,
                capacity: shape.capacity,
            })
        });
        let endpoints = (0..shape.endpoints).map(|index| {
            Ok(EndpointPlan {
                name: format!("{prefix}e{}", index + 1).parse()?,
                service: shape.service.clone(),
                slots: shape.slots,
                connections: shape.connections,
            })
        });
        Ok(Self {
            workers: workers.collect::<Result<_, NameError>>()?,
            endpoints: endpoints.collect::<Result<_, NameError>>()?,
        })
    }
}

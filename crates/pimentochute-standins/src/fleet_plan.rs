//! What a process of stand-ins runs.

use pimentochute_base::{
    DataCentreName, EndpointName, NameError, RackName, ResourceAmount, ServiceName, WorkerName,
};
use pimentochute_platform::Authority;

/// Where stand-ins register, and as part of what.
#[derive(Debug, Clone)]
pub struct RegistrationTarget {
    /// The platform stand-in.
    pub platform: Authority,
    /// The data centre of the hosts.
    pub data_centre: DataCentreName,
}

/// One worker to run.
#[derive(Debug, Clone)]
pub struct WorkerPlan {
    /// The name.
    pub name: WorkerName,
    /// The rack.
    pub rack: RackName,
    /// What the worker has in all.
    pub capacity: ResourceAmount,
}

/// One endpoint to run.
#[derive(Debug, Clone)]
pub struct EndpointPlan {
    /// The name.
    pub name: EndpointName,
    /// The service that it offers.
    pub service: ServiceName,
    /// The requests that it runs at once.
    pub slots: u32,
    /// The connections that it accepts.
    pub connections: u32,
}

/// Workers and endpoints to run in one process.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The workers.
    pub workers: Vec<WorkerPlan>,
    /// The endpoints.
    pub endpoints: Vec<EndpointPlan>,
}

/// The numbers by which the hosts of a fleet are made.
#[derive(Debug, Clone)]
pub struct FleetShape {
    /// The start of each name, so that fleets do not collide.
    pub prefix: String,
    /// The number of workers.
    pub workers: u32,
    /// The workers of a rack.
    pub per_rack: u32,
    /// What each worker has in all.
    pub capacity: ResourceAmount,
    /// The number of endpoints.
    pub endpoints: u32,
    /// The service of the endpoints.
    pub service: ServiceName,
    /// The requests that an endpoint runs at once.
    pub slots: u32,
    /// The connections that an endpoint accepts.
    pub connections: u32,
}

impl FleetPlan {
    /// Makes the names `PREFIXw1`, `PREFIXr1` and `PREFIXe1` and so on.
    ///
    /// # Errors
    /// Fails if the prefix does not make valid names.
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

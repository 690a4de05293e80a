//! The `pimentochute-standin` program, which plays the outside systems in
//! tests.

use std::process::ExitCode;

use derive_more::{Display, Error, From};
use pimentochute_base::{MilliSpan, NameError, ResourceAmount};
use pimentochute_standins::{
    EndpointPlan, FleetPlan, FleetShape, RegistrationTarget, RetentionLimit, WorkerPlan,
    run_endpoint, run_fleet, run_platform, run_worker,
};

mod flags {
    use std::net::SocketAddr;

    use pimentochute_base::{DataCentreName, EndpointName, RackName, ServiceName, WorkerName};
    use pimentochute_platform::Authority;

    xflags::xflags! {
        /// Plays the systems outside of pimentochute in tests.
        cmd pimentochute-standin {
            /// Runs the log and the host list.
            cmd platform {
                /// The address to listen on; port 0 picks an idle one.
                required --listen addr: SocketAddr
                /// The most records that a stream keeps; no limit if left out.
                optional --keep-records count: usize
                /// The longest time that a record is kept, in milliseconds; no
                /// limit if left out.
                optional --keep-ms millis: u64
            }
            /// Runs one worker.
            cmd worker {
                /// The address to listen on; port 0 picks an idle one.
                required --listen addr: SocketAddr
                /// The worker's name.
                required --name name: WorkerName
                /// The worker's rack.
                required --rack rack: RackName
                /// Processor time in thousandths of a core.
                required --cpu-millis amount: u64
                /// Memory in MiB.
                required --memory-mib amount: u64
                /// Whole accelerators; none if left out.
                optional --accelerators amount: u64
                /// The platform stand-in (host and port).
                required --platform addr: Authority
                /// The data centre.
                required --data-centre name: DataCentreName
            }
            /// Runs one endpoint.
            cmd endpoint {
                /// The address to listen on; port 0 picks an idle one.
                required --listen addr: SocketAddr
                /// The endpoint's name.
                required --name name: EndpointName
                /// The service that the endpoint offers.
                required --service name: ServiceName
                /// The requests that it runs at once; 8 if left out.
                optional --slots count: u32
                /// The connections that it accepts; 64 if left out.
                optional --connections count: u32
                /// The platform stand-in (host and port).
                required --platform addr: Authority
                /// The data centre.
                required --data-centre name: DataCentreName
            }
            /// Runs many workers and endpoints, each on an idle port.
            cmd fleet {
                /// The address to listen on; its port is not used.
                required --listen addr: SocketAddr
                /// The platform stand-in (host and port).
                required --platform addr: Authority
                /// The data centre.
                required --data-centre name: DataCentreName
                /// The start of each name; `DATA_CENTRE-` if left out.
                optional --prefix text: String
                /// The number of workers; none if left out.
                optional --workers count: u32
                /// The workers of a rack; 6 if left out.
                optional --per-rack count: u32
                /// Processor time of a worker in thousandths of a core; 16000
                /// if left out.
                optional --cpu-millis amount: u64
                /// Memory of a worker in MiB; 65536 if left out.
                optional --memory-mib amount: u64
                /// Whole accelerators of a worker; none if left out.
                optional --accelerators amount: u64
                /// The number of endpoints; none if left out.
                optional --endpoints count: u32
                /// The service of the endpoints; `render` if left out.
                optional --service name: ServiceName
                /// The requests that an endpoint runs at once; 8 if left out.
                optional --slots count: u32
                /// The connections that an endpoint accepts; 64 if left out.
                optional --connections count: u32
            }
        }
    }
}

/// The default of `--slots`, as in the fleets of both users.
const DEFAULT_SLOTS: u32 = 8;

/// The default of `--connections`, as in the fleets of both users.
const DEFAULT_CONNECTIONS: u32 = 64;

/// The reason why the program failed.
#[derive(Debug, Display, Error, From)]
enum ProgramError {
    #[display("cannot serve: {_0}")]
    Serve(std::io::Error),
    #[display("{_0}")]
    Name(NameError),
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::PimentochuteStandin::from_env_or_exit();
    match run(flags.subcommand).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pimentochute-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: flags::PimentochuteStandinCmd) -> Result<(), ProgramError> {
    use flags::PimentochuteStandinCmd as Cmd;
    match command {
        Cmd::Platform(flags) => {
            let limit = RetentionLimit {
                records: flags.keep_records,
                age: flags.keep_ms.map(MilliSpan::new),
            };
            run_platform(flags.listen, limit).await?;
        }
        Cmd::Worker(flags) => {
            let listen = flags.listen;
            let (plan, target) = worker_plan(flags);
            run_worker(plan, listen, target).await?;
        }
        Cmd::Endpoint(flags) => {
            let listen = flags.listen;
            let (plan, target) = endpoint_plan(flags);
            run_endpoint(plan, listen, target).await?;
        }
        Cmd::Fleet(flags) => {
            let listen = flags.listen;
            let (plan, target) = fleet_plan(flags)?;
            run_fleet(plan, listen, target).await?;
        }
    }
    Ok(())
}

fn worker_plan(flags: flags::Worker) -> (WorkerPlan, RegistrationTarget) {
    let capacity = ResourceAmount::new(flags.cpu_millis, flags.memory_mib);
    let plan = WorkerPlan {
        name: flags.name,
        rack: flags.rack,
        capacity: capacity.with_accelerators(flags.accelerators.unwrap_or(0)),
    };
    let target = RegistrationTarget {
        platform: flags.platform,
        data_centre: flags.data_centre,
    };
    (plan, target)
}

fn endpoint_plan(flags: flags::Endpoint) -> (EndpointPlan, RegistrationTarget) {
    let plan = EndpointPlan {
        name: flags.name,
        service: flags.service,
        slots: flags.slots.unwrap_or(DEFAULT_SLOTS),
        connections: flags.connections.unwrap_or(DEFAULT_CONNECTIONS),
    };
    let target = RegistrationTarget {
        platform: flags.platform,
        data_centre: flags.data_centre,
    };
    (plan, target)
}

fn fleet_plan(flags: flags::Fleet) -> Result<(FleetPlan, RegistrationTarget), NameError> {
    let data_centre = flags.data_centre;
    let cpu_millis = flags.cpu_millis.unwrap_or(16_000);
    let memory_mib = flags.memory_mib.unwrap_or(65_536);
    let capacity = ResourceAmount::new(cpu_millis, memory_mib);
    let prefix = flags.prefix;
    let service = flags.service;
    let shape = FleetShape {
        prefix: prefix.unwrap_or_else(|| format!("{data_centre}-")),
        workers: flags.workers.unwrap_or(0),
        per_rack: flags.per_rack.unwrap_or(6),
        capacity: capacity.with_accelerators(flags.accelerators.unwrap_or(0)),
        endpoints: flags.endpoints.unwrap_or(0),
        service: service.map_or_else(|| "render".parse(), Ok)?,
        slots: flags.slots.unwrap_or(DEFAULT_SLOTS),
        connections: flags.connections.unwrap_or(DEFAULT_CONNECTIONS),
    };
    let target = RegistrationTarget {
        platform: flags.platform,
        data_centre,
    };
    Ok((FleetPlan::new(&shape)?, target))
}

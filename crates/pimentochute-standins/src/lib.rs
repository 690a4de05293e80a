//! Stand-ins for the outside systems that tests need: the platform (log and
//! host list), workers and endpoints. Their rules do no I/O, so that the
//! in-memory fakes of the tests use the same ones.

mod connection;
mod connection_limiter;
mod endpoint_ledger;
mod endpoint_standin;
mod fault_set;
mod fleet_plan;
mod host_table;
mod log_store;
mod platform_standin;
mod program;
mod registration;
mod reply;
mod running_host;
mod server;
mod task_command;
mod task_run;
mod worker_ledger;
mod worker_model;
mod worker_standin;

pub use connection_limiter::ConnectionLimiter;
pub use endpoint_ledger::{EndpointLedger, RequestRun, parse_sleep};
pub use endpoint_standin::{EndpointRecords, EndpointStandin};
pub use fault_set::{FaultSet, FaultSwitches};
pub use fleet_plan::{EndpointPlan, FleetPlan, FleetShape, RegistrationTarget, WorkerPlan};
pub use host_table::HostTable;
pub use log_store::{LogStore, RetentionLimit};
pub use platform_standin::PlatformStandin;
pub use program::{run_endpoint, run_fleet, run_platform, run_worker};
pub use registration::{HostRegistration, LeavingSwitch};
pub use running_host::RunningHost;
pub use server::{RunningServer, Standin, serve, serve_local};
pub use task_command::TaskCommand;
pub use worker_ledger::{LedgerEntry, WorkerLedger};
pub use worker_model::WorkerModel;
pub use worker_standin::{WorkerRecords, WorkerStandin};

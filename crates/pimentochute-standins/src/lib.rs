//! Small test programs that play the systems outside: the platform (log and
//! host list), workers and endpoints. The rules are free of I/O, so that
//! in-memory fakes share them.

mod endpoint_ledger;
mod log_store;
mod task_command;
mod task_run;
mod worker_ledger;
mod worker_machine;

pub use endpoint_ledger::{EndpointLedger, RequestRun, sleep_of};
pub use log_store::{LogStore, RetentionLimit};
pub use task_command::TaskCommand;
pub use worker_ledger::{LedgerEntry, WorkerLedger};
pub use worker_machine::WorkerMachine;

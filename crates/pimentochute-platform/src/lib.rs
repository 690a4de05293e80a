//! Clients of the systems outside: the log, the host list, workers and
//! endpoints. Each sits behind one trait object in one file, so that another
//! published interface costs one file.

mod directory;
mod endpoint;
mod log;
mod worker;

pub use directory::{DirectoryError, HostDirectory, HostEntry, HostRole, HostStatus};
pub use endpoint::{
    ConnectError, DispatchError, EndpointAnswer, EndpointConnection, EndpointDialer,
    EndpointRequest, ProbeError,
};
pub use log::{AppendError, LogRecord, LogService, ReadBatch, ReadError};
pub use worker::{
    ControlGrant, ControlRequest, StartOrder, TaskReport, TaskStatus, WorkerControl, WorkerError,
    WorkerReport, WorkerTarget,
};

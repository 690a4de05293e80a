//! Clients of the external systems: the log, the host list, workers and
//! endpoints.
//!
//! Each system has a trait and one module that implements it over HTTP, so that
//! support for another interface needs only another module.

mod directory;
mod endpoint;
mod http_client;
mod http_directory;
mod http_endpoint;
mod http_log;
mod http_worker;
mod link;
mod log;
pub mod wire;
mod worker;

pub use directory::{DirectoryError, HostDirectory, HostEntry, HostRole, HostStatus};
pub use endpoint::{
    ConnectError, EndpointAnswer, EndpointConnection, EndpointDialer, EndpointRequest, ProbeError,
    SendError,
};
pub use http::uri::Authority;
pub use http_client::{
    CallError, HttpCall, HttpClient, HttpReply, NOT_RUN_HEADER, error_chain, message_bytes,
};
pub use http_directory::HttpDirectory;
pub use http_endpoint::{
    DEADLINE_HEADER, HttpEndpointDialer, IDEMPOTENT_HEADER, REQUEST_ID_HEADER,
};
pub use http_log::HttpLog;
pub use http_worker::HttpWorkerControl;
pub use link::{LinkPacer, LinkUsage, TrafficClass};
pub use log::{AppendError, LogRecord, LogService, ReadBatch, ReadError};
pub use worker::{
    ControlGrant, ControlRequest, StartOrder, TaskReport, TaskStatus, WorkerControl, WorkerError,
    WorkerReport, WorkerTarget,
};

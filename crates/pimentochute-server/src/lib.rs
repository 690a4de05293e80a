//! The daemon of an entry host: settings, HTTP servers, admission of callers,
//! links to other entry hosts, control plane and supervision.
//!
//! A *call* is any HTTP request to a host; a *request* is work routed to an
//! endpoint.

mod admission;
pub mod api;
mod assembly;
mod bounded_output;
mod control;
mod daemon;
mod drain;
mod heartbeat_loop;
mod http_server;
mod logging;
mod metrics;
mod peer;
mod peer_client;
mod peer_server;
mod peer_table;
mod peer_wire;
mod permit_relay;
mod public;
mod refusal;
pub mod settings;
mod supervisor;

pub use admission::{AdmissionCheck, AdmittedWork, CallerIdentity};
pub use assembly::{DaemonContext, assemble, assemble_with};
pub use bounded_output::BoundedOutput;
pub use control::{
    AbandonedTasks, ConfigFreshness, ControlPlane, FreshnessFacts, PlacedTask, PlatformClients,
    ReconcilePlan, RefusalTimer, SliceAction, SliceFacts, SubmitError,
};
pub use daemon::{
    Daemon, DaemonDependencies, DaemonEnd, DaemonError, StopHooks, StopSignal, run, run_with,
};
pub use drain::{DrainState, InFlightCall, InFlightGuard};
pub use heartbeat_loop::HeartbeatLoop;
pub use http_server::{
    BindError, BodyError, BodyReader, BufferedBody, ClientLedger, HttpServer, ServerContext,
};
pub use logging::{LoggingError, log_dispatch, start_stderr_logging, start_stdout_logging};
pub use metrics::{Metrics, MetricsError};
pub use peer::{ConfigEvidence, Heartbeat, PeerError, PeerLink, PeerStatus, ServiceCapacity};
pub use peer_client::PeerClient;
pub use peer_server::{HeartbeatSource, PeerDependencies, peer_routes};
pub use peer_table::{HeartbeatError, PeerTable};
pub use peer_wire::{
    AppendMessage, EmptyMessage, ForwardResult, PEER_VERSION, PeerCodecError, PeerRefusal,
    PeerRefusalCode, decode_peer, encode_peer,
};
pub use public::{EndpointList, PublicDependencies, public_routes};
pub use refusal::{Refusal, RefusalCode};
pub use supervisor::{ChildError, ChildFuture, ChildSpec, Escalation, Supervisor};
/// The token whose cancellation stops children of the daemon.
pub use tokio_util::sync::CancellationToken;

//! The daemon of an entry host.

pub mod api;
mod control;
mod logging;
mod metrics;
mod peer;
mod peer_table;
pub mod settings;
mod supervisor;

pub use control::{ControlPlane, SubmitError};
pub use logging::{LoggingError, log_dispatch, start_logging};
pub use metrics::{Metrics, MetricsError};
pub use peer::{ConfigEvidence, Heartbeat, PeerError, PeerLink, PeerStatus, ServiceLoad};
pub use peer_table::{BeatFault, PeerTable};
pub use supervisor::{ChildError, ChildFuture, ChildSpec, Escalation, Supervisor};
/// The token that asks the parts of the daemon to stop.
pub use tokio_util::sync::CancellationToken;

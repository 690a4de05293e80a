//! The daemon of an entry host.

pub mod api;
mod control;
mod peer;

pub use control::{ControlPlane, SubmitError};
pub use peer::{ConfigEvidence, Heartbeat, PeerError, PeerLink, PeerStatus, ServiceLoad};

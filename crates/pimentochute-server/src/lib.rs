//! The daemon of an entry host.

pub mod api;
mod control;
mod peer;
mod peer_table;
pub mod settings;

pub use control::{ControlPlane, SubmitError};
pub use peer::{ConfigEvidence, Heartbeat, PeerError, PeerLink, PeerStatus, ServiceLoad};
pub use peer_table::{BeatFault, PeerTable};

//! Basic types for all other crates: the clock, names, identifiers, resource
//! amounts, key digests and stable hashes.

mod clock;
mod digest;
mod hash;
mod ids;
mod names;
mod resources;
mod work;

pub use clock::{MilliClock, MilliSpan, MilliTime};
pub use digest::{DigestError, KeyDigest};
pub use hash::{rendezvous_choice, stable_hash};
pub use ids::{
    AttemptNumber, AttemptRef, ConfigVersion, EpochNumber, HostIncarnation, IdError, JobId,
    LogOffset, SliceIndex, TaskIndex, WorkerIncarnation,
};
pub use names::{
    DataCentreName, EndpointName, HostName, IdempotencyKey, KeyId, NameError, PatchId, QueueName,
    RackName, ServiceName, StreamName, TeamName, WorkerName,
};
pub use resources::ResourceAmount;
pub use work::{PriorityClass, WorkKind};

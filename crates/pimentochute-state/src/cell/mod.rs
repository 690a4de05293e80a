//! The replicated state machine of a data centre: its jobs, placements, workers
//! and slice owners.

mod dedup;
mod end;
mod excess;
mod job;
pub mod limits;
mod owner;
mod place;
mod replica;
mod restore;
mod snapshot;
mod submit;
mod task;
mod worker;

pub use dedup::WriterWire;
pub use job::{JobOutcome, JobPhase, JobState};
pub use owner::{SliceOwner, SliceState, TeamState};
pub use replica::CellReplica;
pub use restore::SnapshotError;
pub use snapshot::{CellSnapshot, JobWire, SliceWire, TeamWire, WorkerWire};
pub use task::{RetryCount, TaskPhase, TaskState};
pub use worker::WorkerState;

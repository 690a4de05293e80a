//! The fold of a data centre's stream.

mod end;
mod fold;
mod job;
pub mod limits;
mod owner;
mod place;
mod restore;
mod snapshot;
mod submit;
mod worker;

pub use fold::CellFold;
pub use job::{JobOutcome, JobPhase, JobState, RetryCount, TaskPhase, TaskState};
pub use owner::{SliceOwner, SliceState, TeamState};
pub use restore::SnapshotError;
pub use snapshot::{CellSnapshot, JobWire, SliceWire, TeamWire, WorkerWire};
pub use worker::WorkerState;

//! Replicated state machines that are built from the log: the configuration, and
//! the jobs, placements and slice owners of a data centre. A cell is the replicated
//! state of one data centre.
//!
//! Applying a record is deterministic and does no I/O, so that all hosts that
//! read the same records have the same state.

mod allotment;
mod cell;
mod config;
mod config_check;
mod config_replica;
mod decode;
mod outcome;
mod patch;
mod record;

pub use allotment::{allotment, slice_of};
pub use cell::{
    CellReplica, CellSnapshot, JobOutcome, JobPhase, JobState, JobWire, RetryCount, SliceOwner,
    SliceState, SliceWire, SnapshotError, TaskPhase, TaskState, TeamState, TeamWire, WorkerState,
    WorkerWire, WriterWire, limits,
};
pub use config::{
    ConfigPatch, ConfigRecord, FleetConfig, KeyConfig, PatchOperation, QueueConfig, TeamConfig,
};
pub use config_check::{
    MAX_AUTHOR_BYTES, MAX_KEYS, MAX_OPERATIONS, MAX_QUEUE_TEAMS, MAX_QUEUES, MAX_SHARE, MAX_TEAMS,
};
pub use config_replica::{
    ConfigReplica, ConfigSnapshot, ConfigSnapshotError, MAX_HISTORY, MAX_RETIRED_KEYS, MAX_VERSIONS,
};
pub use decode::{MAX_PAYLOAD_BYTES, RecordError};
pub use outcome::{CellEffect, InvalidReason, JobTransition, RecordOutcome};
pub use patch::{PatchAnswer, PatchEntry, PatchOutcome, RejectReason};
pub use record::{
    CellRecord, EndReason, JobSpec, RecordBatch, RecordTag, RefuseReason, StampedRecord,
    TaskPlacement, WorkerHealth,
};

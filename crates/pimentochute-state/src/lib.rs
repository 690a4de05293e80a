//! The state that log order decides: the configuration, and the jobs,
//! placements and owners of a data centre. Pure functions without I/O.

mod config;
mod record;

pub use config::{
    CellConfig, ConfigPatch, ConfigRecord, KeyConfig, PatchOperation, QueueConfig, TeamConfig,
};
pub use record::{
    CellRecord, EndReason, JobSpec, RecordBatch, RecordTag, RefuseReason, StampedRecord,
    TaskPlacement, WorkerHealth,
};

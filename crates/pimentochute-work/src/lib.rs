//! The work of a cell: jobs of steps, the workers that run them, and every
//! decision about both.
//!
//! Pure functions without I/O. The owner of a cell feeds a [`WorkCell`] with
//! what callers, workers and the log say, and carries out its effects.

mod advice;
mod cell;
mod config;
mod effect;
mod ids;
mod job;
mod policy;
mod record;
mod relays;
mod spec;
mod worker;

use advice::AdviceState;

pub use cell::{JobStatus, RecordBatch, RecordKind, RecordWrite, WorkCell};
pub use config::{AdviceCost, CellConfig, PoolConfig, QueueConfig, RequestLimits, TeamConfig};
pub use effect::{
    AdviceCommand, AdviceRow, CallerAnswer, CellEffect, OrderError, PollCommand, ReplyKey,
    StartCommand, StopCommand,
};
pub use ids::{JobCode, JobCodeError, JobKey, StepName, TaskName, WorkerKey};
pub use policy::{CellPolicy, LeasePolicy, PollPolicy};
pub use record::{
    JobEnd, JobProgress, JobSubmission, QueueTerms, RecordError, TaskPhase, TaskProgress,
    decode_record, encode_record,
};
pub use spec::{JobSchedule, JobSpec, MAX_TASKS, SpecError, StepSpec};
pub use worker::{EndedRow, RunEnd, RunningRow, WorkerListing, WorkerReport, WorkerTarget};

//! The scheduler of a cell: which worker runs which task, and when a run is
//! stopped, retried or given up.
//!
//! The crate does no I/O. The owner of a cell passes the calls of clients, the
//! answers of workers and the confirmations of the log to a [`WorkCell`], and
//! carries out the effects that it returns.

mod admission;
mod advice;
mod call_mix;
mod cell;
mod config;
mod crash;
mod decision;
mod effect;
mod ids;
mod job;
mod learning;
mod policy;
mod record;
mod relays;
mod scope;
mod spec;
mod worker;

use advice::AdviceState;

pub use admission::retry_without_owner;
pub use cell::{JobStatus, MIN_RESTORED_RETENTION, RecordBatch, RecordKind, RecordWrite, WorkCell};
pub use config::{AdviceCost, CellConfig, PoolConfig, QueueConfig, RequestLimits, TeamConfig};
pub use decision::{CellDecision, DecisionCounts};
pub use effect::{
    AdviceCommand, AdviceRow, CallerAnswer, CellEffect, OrderError, PollCommand, ReplyKey,
    StartCommand, StopCommand,
};
pub use ids::{IncarnationNumber, JobCode, JobCodeError, JobKey, StepName, TaskName, WorkerKey};
pub use policy::{CellPolicy, LearningPolicy, LeasePolicy, PollPolicy, RecordLimits};
pub use record::{
    ExtendedRecord, JobCancellations, JobCrashes, JobEnd, JobProgress, JobSubmission, ProgressPart,
    QueueTerms, RecordError, TaskCrashes, TaskPhase, TaskProgress, TeamCancellation,
    decode_extended, decode_record, encode_extended, encode_record,
};
pub use scope::JobScope;
pub use spec::{JobSchedule, JobSpec, MAX_TASKS, SpecError, StepSpec};
pub use worker::{EndedRow, RunEnd, RunningRow, WorkerListing, WorkerReport, WorkerTarget};

//! The scheduler: decides which waiting task is placed on which worker, and when.
//!
//! The crate does no I/O and reads no clock. Time is an argument, on the wall
//! clock that the cell records use.

mod buckets;
mod class_order;
mod decide;
mod decision;
mod gang;
mod hold;
mod job_order;
mod job_table;
mod placement_table;
mod placer;
mod reserve;
mod resource_index;
mod round;
mod settings;
mod shape_table;
mod share_scale;
mod spec;
mod table_updates;
mod team_order;
mod team_table;
mod unplaceable;
mod worker_choice;
mod worker_fit;
mod worker_table;

pub use class_order::{
    BoundedPriority, CLASS_COUNT, ClassOrder, MAX_PASSED_TASKS, StrictPriority, class_index,
};
pub use decision::{
    FitRule, PlacementDecision, PlacementReason, PlacerStats, TaskChoice, TurnReason,
    UnplaceableJob, UnplaceableReason,
};
pub use job_order::{DEFAULT_SLACK, FirstSubmitted, JobOrder, JobRank, JobTimes, LeastSlack};
pub use placer::JobPlacer;
pub use resource_index::{FitScore, SearchOrder};
pub use settings::{
    GANG_HOLD_AFTER, HOLD_MAX_DURATION, HOLD_REST_PERCENT, HOLD_RETRY_DELAY, HoldLimits,
    NON_GANG_HOLD_AFTER, PlacerSettings,
};
pub use share_scale::ShareScale;
pub use spec::{CommittedTask, TeamSpec, WaitingJob, WaitingTask, WorkerReadiness, WorkerSpec};
pub use team_order::{DominantShare, TaskShare, TeamOrder, TeamUsage};
pub use worker_choice::AVOID_TIMEOUT;
pub use worker_fit::{BestFit, FitCandidate, RackSpread, WorkerFit, WorstFit};

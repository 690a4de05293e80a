//! Placement decisions: which waiting task goes to which worker, and when.
//!
//! Pure functions without I/O. Time is an argument, on the wall clock of the
//! cell records.

mod decision;
mod placer;
mod spec;

pub use decision::{
    FitRule, JobRefusal, PlacementDecision, PlacementReason, PlacerStats, RefusalReason,
    TaskChoice, TurnReason,
};
pub use placer::JobPlacer;
pub use settings::PlacerSettings;
pub use spec::{CommittedTask, TeamSpec, WaitingJob, WaitingTask, WorkerReadiness, WorkerSpec};

mod settings;

//! What is learnt from runs: how long tasks take, and how fast workers are.
//!
//! The models know nothing of the cell. They work with natural logarithms of
//! milliseconds, in which a factor is a sum: an estimate that is off by a factor, a worker
//! that is slower by a factor. A task takes `work / speed`, where the work is the time on a
//! worker of usual speed.

mod duration;
mod speed;
mod suitability;

use pimentochute_base::MilliSpan;

pub(crate) use duration::{DurationKeys, DurationModel, StepEvidence};
pub(crate) use speed::{FleetSpeeds, WorkerSpeed};
pub(crate) use suitability::{ClassSlots, SpeedClass, SpeedNeed, SpeedPreference, gang_classes};

/// The variance of the logarithm of the work among the tasks of one step.
pub(crate) const TASK_VARIANCE: f64 = 0.05;

/// A logarithm with its uncertainty.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LogEstimate {
    pub(crate) mean: f64,
    pub(crate) variance: f64,
}

/// Returns the logarithm of a span in milliseconds; that of 1 ms for an empty one.
pub(crate) fn log_of(span: MilliSpan) -> f64 {
    let millis = u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
    f64::from(millis.max(1)).ln()
}

/// Returns the span with a logarithm, to the millisecond.
pub(crate) fn span_of(log: f64) -> MilliSpan {
    let millis = log.exp().round().clamp(0.0, f64::from(u32::MAX));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped to the range"
    )]
    let millis = millis as u64;
    MilliSpan::new(millis)
}

/// Returns by which factor the slowest of `tasks` tasks of a step exceeds the usual one, as
/// a logarithm.
pub(crate) fn slowest_excess(tasks: u32) -> f64 {
    // The mean of the largest of n normal values is close to 0.95 * sqrt(2 ln n) - 0.35 for
    // n from 3 to 100.
    let largest = 0.95 * (2.0 * f64::from(tasks.max(1)).ln()).sqrt() - 0.35;
    TASK_VARIANCE.sqrt() * largest.max(0.0)
}

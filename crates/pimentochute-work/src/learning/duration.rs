//! How long the tasks of a step take on a worker of usual speed.
//!
//! Answers the load "callers' estimates are off": by a constant factor, by a factor that
//! differs from job to job, or by one that changes with time. For each kind of step, a
//! regression of the logarithm of the measured on that of the estimated time tells how far
//! the caller's estimate can be trusted.

use std::collections::BTreeMap;

use pimentochute_base::{MilliSpan, stable_hash};
use smallvec::SmallVec;

use super::{LogEstimate, log_of};

/// The variance of the logarithm of an estimate's error before anything is learnt.
const INITIAL_VARIANCE: f64 = 0.5;

/// The smallest variance of a prediction. A history that never varied does not make the
/// next step certain, and what the step itself shows has to count.
const MIN_VARIANCE: f64 = 0.1;

/// A kind counts as much as the more general one above it after this many steps.
const PRIOR_STEPS: f64 = 4.0;

/// The weight of the assumption that the work is proportional to the estimate, as a sum of
/// squares of logarithms.
const SLOPE_RIDGE: f64 = 1.0;

/// The effective number of steps that a kind remembers. Older ones fade, so that a
/// workload that shifts is followed within about this many steps.
const MAX_STEPS: f64 = 30.0;

/// A step moves its kind by at most this many standard deviations.
const MAX_DEVIATIONS: f64 = 2.5;

/// The share of a new step in the trend of the errors.
const TREND_SHARE: f64 = 0.2;

/// If the errors of the last steps have this mean, in standard deviations, the workload has
/// shifted. Five steps in a row reach it, three do not.
const SHIFT_TREND: f64 = 1.5;

/// What a kind remembers after a shift, in steps.
const SHIFTED_STEPS: f64 = 5.0;

/// The share of a new step in the mean errors that are logged.
const ERROR_SHARE: f64 = 0.02;

/// The kinds that a step belongs to, from the general to the specific.
pub(crate) type DurationKeys = SmallVec<[u64; 4]>;

/// The measured times of the kinds of steps.
///
/// Holds at most `max_keys` kinds; the one that was used least recently gives way.
#[derive(Debug)]
pub(crate) struct DurationModel {
    histories: BTreeMap<u64, KindHistory>,
    max_keys: usize,
    /// The number of steps learnt.
    steps: u64,
    /// The mean absolute logarithm of measured to estimated time.
    estimate_error: f64,
    /// The mean absolute logarithm of measured to predicted time, before each step.
    learnt_error: f64,
}

/// The regression of a kind of steps, with fading memory.
#[derive(Debug, Clone, Copy)]
struct KindHistory {
    /// The effective number of steps, at most [`MAX_STEPS`].
    weight: f64,
    mean_estimate: f64,
    mean_actual: f64,
    estimate_variance: f64,
    covariance: f64,
    /// The mean square of the errors of the predictions.
    residual: f64,
    /// The recent mean of the errors, in standard deviations.
    trend: f64,
    /// The number of the step that was learnt last.
    last_step: u64,
}

/// The owner holds [`DurationModel::max_keys`] of them.
const _: () = assert!(size_of::<KindHistory>() <= 72);

/// What the tasks of one step have shown: the logarithm of their work.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StepEvidence {
    mean: f64,
    /// The inverse of the variance of `mean`; 0 without evidence.
    precision: f64,
}

impl DurationModel {
    pub(crate) const fn new(max_keys: usize) -> Self {
        Self {
            histories: BTreeMap::new(),
            max_keys,
            steps: 0,
            estimate_error: 0.0,
            learnt_error: 0.0,
        }
    }

    /// Returns the kinds that a step belongs to.
    pub(crate) fn keys(queue: &str, step: usize, image: &str, team: Option<&str>) -> DurationKeys {
        let queue = stable_hash(queue);
        let step = mixed_key(queue, step as u64);
        let mut keys = DurationKeys::from_slice(&[queue, step]);
        let mut last = step;
        if !image.is_empty() {
            last = mixed_key(last, stable_hash(image));
            keys.push(last);
        }
        if let Some(team) = team {
            keys.push(mixed_key(last, stable_hash(team)));
        }
        keys
    }

    /// Returns the expected logarithm of the work of the tasks of a step.
    pub(crate) fn predict(&self, keys: &[u64], estimate: MilliSpan) -> LogEstimate {
        let log_estimate = log_of(estimate);
        let mut prediction = caller_estimate(log_estimate);
        for key in keys {
            if let Some(history) = self.histories.get(key) {
                prediction = history.refine(prediction, log_estimate);
            }
        }
        prediction
    }

    /// Learns the logarithm of the work that a step has shown.
    pub(crate) fn learn(&mut self, keys: &[u64], estimate: MilliSpan, actual: f64) {
        let log_estimate = log_of(estimate);
        let predicted = self.predict(keys, estimate);
        self.steps += 1;
        let share = ERROR_SHARE.max(1.0 / count(self.steps));
        self.estimate_error += share * ((actual - log_estimate).abs() - self.estimate_error);
        self.learnt_error += share * ((actual - predicted.mean).abs() - self.learnt_error);
        let mut prediction = caller_estimate(log_estimate);
        for key in keys {
            let history = self.histories.entry(*key).or_insert(KindHistory::NEW);
            history.last_step = self.steps;
            history.learn(prediction, log_estimate, actual);
            prediction = history.refine(prediction, log_estimate);
        }
        while self.histories.len() > self.max_keys {
            let oldest = self.histories.iter().min_by_key(|(_, kind)| kind.last_step);
            let Some(oldest) = oldest.map(|(key, _)| *key) else {
                return;
            };
            self.histories.remove(&oldest);
        }
    }

    /// Returns the number of kinds, the number of steps learnt, and the mean errors of the
    /// callers' estimates and of the predictions as factors.
    pub(crate) fn summary(&self) -> (usize, u64, f64, f64) {
        let errors = (self.estimate_error.exp(), self.learnt_error.exp());
        (self.histories.len(), self.steps, errors.0, errors.1)
    }
}

impl KindHistory {
    const NEW: Self = Self {
        weight: 0.0,
        mean_estimate: 0.0,
        mean_actual: 0.0,
        estimate_variance: 0.0,
        covariance: 0.0,
        residual: INITIAL_VARIANCE,
        trend: 0.0,
        last_step: 0,
    };

    /// Refines the prediction of the more general kind.
    fn refine(&self, general: LogEstimate, log_estimate: f64) -> LogEstimate {
        if self.weight <= 0.0 {
            return general;
        }
        let covariance = self.covariance * self.weight + SLOPE_RIDGE;
        let slope = covariance / (self.estimate_variance * self.weight + SLOPE_RIDGE);
        let own = self.mean_actual + slope * (log_estimate - self.mean_estimate);
        let share = self.weight / (self.weight + PRIOR_STEPS);
        let variance = general.variance + share * (self.residual - general.variance);
        LogEstimate {
            mean: general.mean + share * (own - general.mean),
            variance: variance.max(MIN_VARIANCE),
        }
    }

    fn learn(&mut self, general: LogEstimate, log_estimate: f64, actual: f64) {
        let prediction = self.refine(general, log_estimate);
        let limit = MAX_DEVIATIONS * prediction.variance.sqrt();
        let error = (actual - prediction.mean).clamp(-limit, limit);
        let actual = prediction.mean + error;
        self.trend += TREND_SHARE * (error / prediction.variance.sqrt() - self.trend);
        if self.trend.abs() >= SHIFT_TREND {
            self.weight = self.weight.min(SHIFTED_STEPS);
        }
        self.weight = (self.weight + 1.0).min(MAX_STEPS);
        let share = 1.0 / self.weight;
        let from_estimate = log_estimate - self.mean_estimate;
        let from_actual = actual - self.mean_actual;
        let kept = 1.0 - share;
        self.estimate_variance = kept * (self.estimate_variance + share * from_estimate.powi(2));
        self.covariance = kept * (self.covariance + share * from_estimate * from_actual);
        self.mean_estimate += share * from_estimate;
        self.mean_actual += share * from_actual;
        // The initial variance counts as some steps, so that few alike ones do not make a
        // prediction look certain.
        let share = 1.0 / (self.weight + PRIOR_STEPS);
        self.residual += share * (error.powi(2) - self.residual);
    }
}

impl StepEvidence {
    /// Returns whether a task has shown anything.
    pub(crate) fn is_empty(&self) -> bool {
        self.precision <= 0.0
    }

    /// Returns the mean of what the tasks have shown.
    pub(crate) const fn mean(&self) -> f64 {
        self.mean
    }

    /// Adds what a task has shown.
    pub(crate) fn add(&mut self, shown: LogEstimate) {
        let precision = 1.0 / shown.variance;
        self.precision += precision;
        self.mean += precision / self.precision * (shown.mean - self.mean);
    }

    /// Returns the prediction of the step's kinds, corrected by the evidence.
    pub(crate) fn refine(&self, prediction: LogEstimate) -> LogEstimate {
        let precision = 1.0 / prediction.variance + self.precision;
        let share = self.precision / precision;
        LogEstimate {
            mean: prediction.mean + share * (self.mean - prediction.mean),
            variance: 1.0 / precision,
        }
    }
}

const fn caller_estimate(log_estimate: f64) -> LogEstimate {
    LogEstimate {
        mean: log_estimate,
        variance: INITIAL_VARIANCE,
    }
}

/// Returns the key of a part of the kind with another key.
const fn mixed_key(key: u64, part: u64) -> u64 {
    // The multiplier of Fibonacci hashing, 2^64 divided by the golden ratio.
    (key ^ part.wrapping_add(1))
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(31)
}

fn count(steps: u64) -> f64 {
    f64::from(u32::try_from(steps).unwrap_or(u32::MAX))
}

//! How fast a worker is, compared with the usual one.
//!
//! Answers two loads: workers of unlike speed, and workers that turn slow for some seconds.
//! The logarithm of a speed is a lasting part plus a deviation that fades by itself, and a
//! Kalman filter estimates both from the times that runs take.

use pimentochute_base::MilliTime;

use super::LogEstimate;

/// The variance of the lasting part before anything is known of a worker.
const INITIAL_VARIANCE: f64 = 0.16;

/// What a restart adds to the variance of the lasting part: the machine may be another.
const RESTART_VARIANCE: f64 = 0.12;

/// What a second adds to the variance of the lasting part.
const DRIFT_VARIANCE: f64 = 0.000_1;

/// The usual variance of the deviation.
const DEVIATION_VARIANCE: f64 = 0.01;

/// The variance of the deviation once several runs in a row say that the speed has changed.
const CHANGED_VARIANCE: f64 = 0.5;

/// In this time, in seconds, a deviation fades to a third.
const DEVIATION_FADE_S: f64 = 5.0;

/// Runs whose work is less certain than this do not show a change.
const MAX_SURPRISE_VARIANCE: f64 = 0.15;

/// A run moves the estimate by at most this many standard deviations.
const MAX_DEVIATIONS: f64 = 2.5;

/// This many surprising runs in a row, all in the same direction, show a change.
const RUNS_TO_CHANGE: i8 = 2;

/// A smaller deviation has no effect on placement.
const MIN_DEVIATION: f64 = 0.3;

/// Speeds have an effect on placement if their standard deviation over the workers is at
/// least this large. Below it, preferring faster workers would only hinder packing.
const MIN_SPREAD: f64 = 0.1;

/// The number of runs from which a worker counts for the spread.
const MIN_RUNS: u32 = 3;

/// The number of workers from which a spread is known.
const MIN_WORKERS: u32 = 4;

/// The speed of a worker, learnt from its runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkerSpeed {
    lasting: f64,
    deviation: f64,
    lasting_variance: f64,
    deviation_variance: f64,
    covariance: f64,
    /// The time that the estimate is for, on the cell's clock.
    at: MilliTime,
    /// The number of runs learnt since the last restart.
    runs: u32,
    /// Surprising runs in a row; negative if the worker was slower than expected.
    surprises: i8,
    /// The logarithm of the speed that placement goes by; 0 is the usual speed, also while
    /// nothing certain is known.
    pub(crate) applied: f64,
}

/// The owner holds one for each worker of a large fleet.
const _: () = assert!(size_of::<WorkerSpeed>() <= 64);

/// The speeds of all workers.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FleetSpeeds {
    /// The mean of the lasting parts, which is the usual speed.
    center: f64,
    /// The mean of the deviations. What all workers show at the same time lies in the work,
    /// not in the workers.
    common_deviation: f64,
    /// The variance of the true lasting parts; 0 if they do not differ noticeably.
    spread: f64,
    /// The logarithm of the speed of the fastest worker.
    pub(crate) fastest: f64,
    /// The number of workers whose speed is known.
    pub(crate) known: u32,
    /// The number of workers that are slower for the moment.
    pub(crate) slowed: u32,
}

impl WorkerSpeed {
    /// The speed of a worker of which nothing is known.
    pub(crate) const UNKNOWN: Self = Self {
        lasting: 0.0,
        deviation: 0.0,
        lasting_variance: INITIAL_VARIANCE,
        deviation_variance: DEVIATION_VARIANCE,
        covariance: 0.0,
        at: MilliTime::ZERO,
        runs: 0,
        surprises: 0,
        applied: 0.0,
    };

    /// Keeps little of what is known: the worker has restarted, perhaps on another machine.
    pub(crate) fn restart(&mut self) {
        let known = *self;
        *self = Self::UNKNOWN;
        self.lasting = known.lasting;
        self.lasting_variance = (known.lasting_variance + RESTART_VARIANCE).min(INITIAL_VARIANCE);
        self.at = known.at;
    }

    /// Returns the logarithm of the present speed, relative to the usual one.
    pub(crate) fn estimate(&self, fleet: &FleetSpeeds, now: MilliTime) -> LogEstimate {
        let present = self.at_time(now);
        LogEstimate {
            mean: present.lasting + present.deviation - fleet.usual(),
            variance: present.variance(),
        }
    }

    /// Learns the logarithm of the speed that a run has shown, relative to the usual one.
    pub(crate) fn learn(&mut self, shown: LogEstimate, fleet: &FleetSpeeds, now: MilliTime) {
        *self = self.at_time(now);
        let error = shown.mean + fleet.usual() - self.lasting - self.deviation;
        let limit = MAX_DEVIATIONS * (self.variance() + shown.variance).sqrt();
        if shown.variance <= MAX_SURPRISE_VARIANCE {
            self.note_surprise(error, limit);
        }
        let variance = self.variance() + shown.variance;
        let error = error.clamp(-limit, limit);
        let to_lasting = self.lasting_variance + self.covariance;
        let to_deviation = self.deviation_variance + self.covariance;
        self.lasting += to_lasting / variance * error;
        self.deviation += to_deviation / variance * error;
        self.lasting_variance -= to_lasting.powi(2) / variance;
        self.deviation_variance -= to_deviation.powi(2) / variance;
        self.covariance -= to_lasting * to_deviation / variance;
        self.runs = self.runs.saturating_add(1);
    }

    fn note_surprise(&mut self, error: f64, limit: f64) {
        let direction = if error < 0.0 { -1 } else { 1 };
        if error.abs() < limit * 0.6 {
            self.surprises = 0;
        } else if self.surprises.signum() == -direction {
            self.surprises = direction;
        } else {
            self.surprises = self.surprises.saturating_add(direction);
        }
        if self.surprises.abs() >= RUNS_TO_CHANGE {
            self.deviation_variance = self.deviation_variance.max(CHANGED_VARIANCE);
            self.surprises = 0;
        }
    }

    /// Returns the estimate for a later time.
    fn at_time(&self, now: MilliTime) -> Self {
        let millis = u32::try_from(now.since(self.at).as_millis()).unwrap_or(u32::MAX);
        let seconds = f64::from(millis) / 1_000.0;
        let kept = (-seconds / DEVIATION_FADE_S).exp();
        let mut later = *self;
        later.at = self.at.max(now);
        later.deviation *= kept;
        later.covariance *= kept;
        later.deviation_variance =
            DEVIATION_VARIANCE + kept.powi(2) * (self.deviation_variance - DEVIATION_VARIANCE);
        let drifted = self.lasting_variance + DRIFT_VARIANCE * seconds;
        later.lasting_variance = drifted.min(INITIAL_VARIANCE);
        later
    }

    fn variance(&self) -> f64 {
        let own = self.lasting_variance + self.deviation_variance;
        (own + 2.0 * self.covariance).max(0.0)
    }

    /// Returns whether enough runs were seen to count the worker.
    const fn is_known(&self) -> bool {
        self.runs >= MIN_RUNS
    }

    /// Returns the deviation from that of the other workers if it is certain and large,
    /// otherwise 0.
    fn certain_deviation(&self, fleet: &FleetSpeeds, now: MilliTime) -> f64 {
        let deviation = self.at_time(now).deviation - fleet.common_deviation;
        let variance = self.deviation_variance.min(DEVIATION_VARIANCE);
        if deviation.abs() >= MIN_DEVIATION.max(2.0 * variance.sqrt()) {
            deviation
        } else {
            0.0
        }
    }

    /// Updates what placement goes by. Lasting parts shrink towards the usual speed by
    /// their uncertainty.
    pub(crate) fn apply(&mut self, fleet: &FleetSpeeds, now: MilliTime) {
        let share = if fleet.spread > 0.0 {
            fleet.spread / (fleet.spread + self.lasting_variance)
        } else {
            0.0
        };
        let lasting = share * (self.lasting - fleet.center);
        self.applied = lasting + self.certain_deviation(fleet, now);
    }
}

impl FleetSpeeds {
    /// Returns the logarithm of the usual speed at present.
    fn usual(&self) -> f64 {
        self.center + self.common_deviation
    }

    /// Returns the speeds of workers, and updates what placement goes by.
    pub(crate) fn from_workers<'a>(
        speeds: impl Iterator<Item = &'a mut WorkerSpeed>,
        now: MilliTime,
    ) -> Self {
        let mut speeds: Vec<_> = speeds.collect();
        let known = speeds.iter().filter(|speed| speed.is_known());
        let (mut count, mut sum, mut squares, mut errors) = (0_u32, 0.0, 0.0, 0.0);
        let mut deviations = 0.0;
        for speed in known {
            count += 1;
            deviations += speed.at_time(now).deviation;
            sum += speed.lasting;
            squares += speed.lasting.powi(2);
            errors += speed.lasting_variance;
        }
        let mut fleet = Self {
            known: count,
            ..Self::default()
        };
        if count > 0 {
            fleet.center = sum / f64::from(count);
            fleet.common_deviation = deviations / f64::from(count);
        }
        if count >= MIN_WORKERS {
            let mean_square = squares / f64::from(count) - fleet.center.powi(2);
            let spread = mean_square - errors / f64::from(count);
            if spread >= MIN_SPREAD.powi(2) {
                fleet.spread = spread;
            }
        }
        for speed in &mut speeds {
            speed.apply(&fleet, now);
            fleet.fastest = fleet.fastest.max(speed.applied);
            fleet.slowed += u32::from(speed.certain_deviation(&fleet, now) < 0.0);
        }
        fleet
    }
}

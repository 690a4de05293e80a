//! The retry budget and the backoff between retries.

use fastrand::Rng;
use pimentochute_base::MilliSpan;

use crate::RouterSettings;

/// The budget units that one retry costs. Each request adds `retry_percent`
/// units.
const UNITS_PER_RETRY: u64 = 100;

/// The number of retries that may accumulate beyond the reserve.
const MAX_SAVED_RETRIES: u64 = 100;

/// Limits retries to a percentage of the requests plus a reserve, so that they
/// do not multiply the load on endpoints that are already failing.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    units: u64,
    max_units: u64,
    percent: u64,
}

impl RetryBudget {
    /// Creates a budget that starts with the reserve.
    pub(crate) fn new(settings: &RouterSettings) -> Self {
        let reserve = u64::from(settings.retry_reserve) * UNITS_PER_RETRY;
        Self {
            units: reserve,
            max_units: reserve + MAX_SAVED_RETRIES * UNITS_PER_RETRY,
            percent: u64::from(settings.retry_percent),
        }
    }

    /// Adds the units that an accepted request earns.
    pub(crate) fn add_request(&mut self) {
        self.units = (self.units + self.percent).min(self.max_units);
    }

    /// Takes one retry from the budget; returns whether it is allowed.
    pub(crate) const fn take_retry(&mut self) -> bool {
        let allowed = self.units >= UNITS_PER_RETRY;
        if allowed {
            self.units -= UNITS_PER_RETRY;
        }
        allowed
    }
}

/// Returns the delay before retry `number`, counted from zero.
///
/// The maximum doubles with each retry. The delay is a random time between half
/// of the maximum and the maximum, so that requests that failed together do not
/// retry together.
pub(crate) fn backoff_delay(rng: &mut Rng, settings: &RouterSettings, number: u32) -> MilliSpan {
    let growth = 1_u64 << number.min(16);
    let longest = settings
        .backoff_base
        .as_millis()
        .saturating_mul(growth)
        .min(settings.backoff_max.as_millis());
    MilliSpan::new(rng.u64(longest / 2..=longest))
}

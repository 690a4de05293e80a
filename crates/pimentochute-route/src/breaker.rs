//! Avoidance of endpoints that do not accept or answer.

use pimentochute_base::{MilliSpan, MilliTime};

use crate::RouterSettings;

/// A circuit breaker: after repeated failures an endpoint is avoided for a
/// growing time, then one request tries it again.
#[derive(Debug, Default)]
pub(crate) struct EndpointBreaker {
    /// The failures since the last success.
    failures: u32,
    /// The end of the avoidance; `None` while closed.
    open_until: Option<MilliTime>,
    /// Whether a request tries the endpoint after the avoidance.
    trial: bool,
    /// The number of avoidances since the last success.
    times_opened: u32,
}

impl EndpointBreaker {
    /// Tells whether a request may use the endpoint.
    pub(crate) fn allows(&self, now: MilliTime) -> bool {
        self.open_until
            .is_none_or(|until| !self.trial && now >= until)
    }

    /// Tells whether the endpoint failed since its last success.
    pub(crate) const fn is_suspect(&self) -> bool {
        self.failures > 0
    }

    /// Notes that a request uses the endpoint; returns whether it is a trial.
    pub(crate) const fn begin_request(&mut self) -> bool {
        self.trial = self.open_until.is_some();
        self.trial
    }

    /// Notes that a trial ended, with or without a result.
    pub(crate) const fn end_trial(&mut self) {
        self.trial = false;
    }

    /// Closes the breaker.
    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Counts a failure; opens the breaker when there are too many.
    pub(crate) fn record_failure(&mut self, now: MilliTime, settings: &RouterSettings) {
        self.failures = self.failures.saturating_add(1);
        let already_open = self.open_until.is_some_and(|until| now < until);
        if self.failures < settings.breaker_failures || already_open {
            return;
        }
        let growth = 1_u64 << self.times_opened.min(16);
        let span = settings.breaker_base.as_millis().saturating_mul(growth);
        let span = MilliSpan::new(span).min(settings.breaker_max);
        self.open_until = Some(now + span);
        self.times_opened = self.times_opened.saturating_add(1);
    }
}

//! Circuit breaker for endpoints whose connects or probes fail.

use pimentochute_base::{MilliSpan, MilliTime};

use crate::RouterSettings;

/// A circuit breaker. After repeated failures an endpoint is avoided for a time
/// that doubles with each opening; then a single trial request may use it.
#[derive(Debug, Default)]
pub(crate) struct EndpointBreaker {
    /// The number of failures since the last success.
    failures: u32,
    /// The time from which a trial request is allowed; `None` while the breaker
    /// is closed.
    open_until: Option<MilliTime>,
    /// Whether a trial request is running.
    trial_running: bool,
    /// The number of times the breaker has opened since the last success.
    times_opened: u32,
}

impl EndpointBreaker {
    /// Returns whether a request may use the endpoint: always while the breaker
    /// is closed, otherwise only as a trial.
    pub(crate) fn allows(&self, now: MilliTime) -> bool {
        self.open_until
            .is_none_or(|until| !self.trial_running && now >= until)
    }

    /// Returns whether the endpoint has failed since its last success.
    pub(crate) const fn is_suspect(&self) -> bool {
        self.failures > 0
    }

    /// Records that a request uses the endpoint; returns whether it is a trial.
    pub(crate) const fn begin_request(&mut self) -> bool {
        self.trial_running = self.open_until.is_some();
        self.trial_running
    }

    /// Records that the trial request ended, with or without a result.
    pub(crate) const fn end_trial(&mut self) {
        self.trial_running = false;
    }

    /// Closes the breaker and resets its counts.
    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Counts a failure; opens the breaker after `breaker_failures` of them.
    /// Failures of requests that started before the breaker opened do not
    /// prolong the time for which it is open.
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

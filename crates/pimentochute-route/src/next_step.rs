//! Decides what follows an attempt: the result of the request or a retry.

use log::info;
use pimentochute_base::{MilliSpan, MilliTime};

use crate::budget::backoff_delay;
use crate::flow::{FlowStep, RequestFlow};
use crate::{RouteError, RoutedAnswer, RoutedRequest};

impl RequestFlow {
    /// Handles the result of forwarding the request to a peer.
    pub(crate) fn handle_peer_result(
        &mut self,
        host: &str,
        result: Result<RoutedAnswer, RouteError>,
    ) -> FlowStep {
        match result {
            Ok(mut answer) => {
                answer.attempts = answer.attempts.saturating_add(self.attempts);
                self.finish(answer)
            }
            Err(RouteError::OutcomeUnknown) => {
                self.attempts += 1;
                self.handle_unknown(host, "no answer from the peer")
            }
            Err(RouteError::RefusedByEndpoint) => {
                self.attempts += 1;
                self.handle_refusal(host)
            }
            Err(RouteError::PeerUnreachable) => self.handle_not_sent(host, "peer is unreachable"),
            Err(
                RouteError::NoEndpoint { .. }
                | RouteError::Overloaded { .. }
                | RouteError::DeadlineBeforeSend
                | RouteError::Draining,
            ) => self.handle_not_sent(host, "peer refused"),
        }
    }

    /// Ends the request with an answer and releases its permit at once. An
    /// earlier attempt with an unknown outcome may still run; only its slot
    /// stays held.
    pub(crate) fn finish(&mut self, answer: RoutedAnswer) -> FlowStep {
        self.set_permit_hold(None);
        FlowStep::Done(Ok(answer))
    }

    /// Continues after an attempt that did not reach an endpoint.
    pub(crate) fn handle_not_sent(&mut self, target: &str, why: &'static str) -> FlowStep {
        self.set_permit_hold(self.unknown_until);
        self.send_failures += 1;
        if self.send_failures >= self.shared.settings.max_send_failures {
            let service = self.request.service.clone();
            return self.fail(RouteError::NoEndpoint { service }, why);
        }
        // The first failure is retried at once: usually the endpoint has closed
        // an idle connection.
        let delay = self
            .send_failures
            .checked_sub(2)
            .map(|number| self.retry_delay(number));
        let delay = delay.unwrap_or(MilliSpan::ZERO);
        self.log_retry(target, why, delay);
        FlowStep::RetryAfter(delay)
    }

    /// Continues after an endpoint stated that it did not run the request.
    pub(crate) fn handle_refusal(&mut self, target: &str) -> FlowStep {
        self.set_permit_hold(self.unknown_until);
        self.refused = true;
        self.retry(RouteError::RefusedByEndpoint, target, "endpoint refused")
    }

    /// Continues after an attempt that may have run. From now on the request
    /// may not be evicted from the queue, since that reports it as not run.
    pub(crate) fn handle_unknown(&mut self, target: &str, why: &'static str) -> FlowStep {
        self.unknown_until = self.permit_hold().max(Some(self.deadline_at));
        self.criteria.evictable = false;
        self.retry(RouteError::OutcomeUnknown, target, why)
    }

    /// Retries an idempotent request if attempts, time and the retry budget are
    /// left. A non-idempotent request that was sent is never sent again.
    fn retry(&mut self, error: RouteError, target: &str, why: &'static str) -> FlowStep {
        let exhausted = self.attempts >= self.shared.settings.max_attempts;
        if !self.request.idempotent || exhausted {
            return self.fail(error, why);
        }
        let delay = self.retry_delay(self.attempts.saturating_sub(1));
        if delay >= self.shared.time_left(self.deadline_at) {
            return self.fail(error, why);
        }
        let mut state = self.shared.lock();
        let allowed = state.retry_budget.take_retry();
        state.stats.retried += u64::from(allowed);
        state.stats.retries_denied += u64::from(!allowed);
        drop(state);
        if !allowed {
            return self.fail(error, "retry budget is exhausted");
        }
        self.send_failures = 0;
        self.log_retry(target, why, delay);
        FlowStep::RetryAfter(delay)
    }

    fn permit_hold(&self) -> Option<MilliTime> {
        self.permit.as_ref().and_then(|permit| permit.hold_until)
    }

    fn retry_delay(&self, number: u32) -> MilliSpan {
        let mut state = self.shared.lock();
        backoff_delay(&mut state.rng, &self.shared.settings, number)
    }

    fn fail(&self, error: RouteError, why: &'static str) -> FlowStep {
        FlowStep::Done(Err(self.final_error(error, why)))
    }

    /// Returns and logs the error for the caller. It states that the request
    /// was not run only if no attempt can have run.
    pub(crate) fn final_error(&self, error: RouteError, why: &'static str) -> RouteError {
        let error = if self.unknown_until.is_some() {
            RouteError::OutcomeUnknown
        } else if self.refused {
            RouteError::RefusedByEndpoint
        } else {
            error
        };
        log_failure(&self.request, &error, why);
        error
    }

    /// Logs the target of an attempt and why it was chosen.
    pub(crate) fn log_attempt(&self, kind: &str, target: &str, why: &str) {
        let RoutedRequest {
            id, team, service, ..
        } = &self.request;
        let number = self.attempts.max(1);
        info!(
            "router: request {id:?} of team {team} for service {service}: \
             sending attempt {number} to {kind} {target} because {why}"
        );
    }

    fn log_retry(&self, target: &str, why: &str, delay: MilliSpan) {
        let RoutedRequest {
            id, team, service, ..
        } = &self.request;
        let number = self.attempts;
        info!(
            "router: request {id:?} of team {team} for service {service}: \
             retrying in {delay} after {number} attempts because of {target}: {why}"
        );
    }
}

/// Logs that a request ended without an answer. `why` tells what happened last;
/// the code may stem from an earlier attempt.
pub(crate) fn log_failure(request: &RoutedRequest, error: &RouteError, why: &str) {
    let RoutedRequest {
        id, team, service, ..
    } = request;
    let code: &'static str = error.into();
    info!(
        "router: request {id:?} of team {team} for service {service}: ended with {code}; \
         last step: {why}"
    );
}

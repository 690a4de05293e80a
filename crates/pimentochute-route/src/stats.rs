//! Counters of the router.

use crate::{RouteError, RoutedAnswer};

/// Counts since the router was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouterStats {
    /// Requests that were accepted, not refused on arrival.
    pub accepted: u64,
    /// Requests that ended with an endpoint's answer.
    pub answered: u64,
    /// Requests refused because too many wait or the team has no permits.
    pub overloaded: u64,
    /// Requests refused because the host is stopping.
    pub draining: u64,
    /// Requests refused because no endpoint accepts them.
    pub no_endpoint: u64,
    /// Requests whose deadline passed before they were sent.
    pub expired: u64,
    /// Requests that an endpoint refused before running them.
    pub refused: u64,
    /// Requests with an unknown outcome.
    pub unknown: u64,
    /// Requests whose caller went away before the result.
    pub abandoned: u64,
    /// Attempts that were sent to an endpoint, or may have been.
    pub sent: u64,
    /// Requests forwarded to a peer.
    pub forwarded: u64,
    /// Retries after an attempt that was sent.
    pub retried: u64,
    /// Retries that the retry budget did not allow.
    pub retries_denied: u64,
    /// Connections opened.
    pub connects: u64,
    /// Connects that failed.
    pub connect_failures: u64,
    /// Probes that failed.
    pub probe_failures: u64,
}

impl RouterStats {
    /// Counts the result of a request.
    pub(crate) const fn count(&mut self, result: &Result<RoutedAnswer, RouteError>) {
        let counter = match result {
            Ok(_) => &mut self.answered,
            Err(RouteError::NoEndpoint { .. } | RouteError::PeerUnreachable) => {
                &mut self.no_endpoint
            }
            Err(RouteError::Overloaded { .. }) => &mut self.overloaded,
            Err(RouteError::DeadlineBeforeSend) => &mut self.expired,
            Err(RouteError::RefusedByEndpoint) => &mut self.refused,
            Err(RouteError::Draining) => &mut self.draining,
            Err(RouteError::OutcomeUnknown) => &mut self.unknown,
        };
        *counter += 1;
    }
}

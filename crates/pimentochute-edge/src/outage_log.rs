//! Rate-limited log lines about an operation that fails repeatedly.

use std::fmt::Display;

use pimentochute_base::{MilliClock, MilliSpan, MilliTime};

/// The shortest time between two lines about the same outage.
const MIN_LINE_INTERVAL: MilliSpan = MilliSpan::new(1_000);

/// Logs a line when an operation starts to fail and when it works again, and at
/// most one per second in between.
#[derive(Debug)]
pub(crate) struct OutageLog {
    /// The operation, with the log prefix of its part.
    operation: &'static str,
    clock: MilliClock,
    outage: Option<OutageState>,
}

#[derive(Debug)]
struct OutageState {
    since: MilliTime,
    last_line_at: MilliTime,
    failures: u64,
}

impl OutageLog {
    pub(crate) const fn new(operation: &'static str, clock: MilliClock) -> Self {
        Self {
            operation,
            clock,
            outage: None,
        }
    }

    /// Records a failed call and logs it if a line is due.
    pub(crate) fn record_failure(&mut self, error: &dyn Display) {
        let now = self.clock.now();
        let operation = self.operation;
        let Some(outage) = &mut self.outage else {
            log::warn!(error:%; "{operation} fails");
            self.outage = Some(OutageState {
                since: now,
                last_line_at: now,
                failures: 1,
            });
            return;
        };
        outage.failures += 1;
        if now.since(outage.last_line_at) >= MIN_LINE_INTERVAL {
            outage.last_line_at = now;
            let lasts = now.since(outage.since);
            log::warn!(failures = outage.failures, lasts:%, error:%; "{operation} still fails");
        }
    }

    /// Records a successful call, which ends the outage.
    pub(crate) fn record_success(&mut self) {
        if let Some(outage) = self.outage.take() {
            let lasted = self.clock.now().since(outage.since);
            let operation = self.operation;
            log::info!(failures = outage.failures, lasted:%; "{operation} works again");
        }
    }
}

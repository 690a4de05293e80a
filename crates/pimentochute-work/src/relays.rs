//! Spreads advice requests over the hosts that relay them to the advice service.
//!
//! The service handles the calls of each host one after the other, and it does
//! not abandon calls whose caller has given up. A host therefore gets only as
//! many calls as keep it busy. A request that finds no host with capacity is
//! dropped; a later placement round makes it again in the order of ranks. Some
//! hosts take only shorter calls, as many as these have needed lately, since they
//! would otherwise wait behind the longer ones.
//!
//! A host whose call has no answer is set apart for a pause, which grows with each
//! further failure, and then tried again by one call. The service may still handle a
//! call that has timed out, so its host stays occupied for the time of that call.

use pimentochute_base::{MilliSpan, MilliTime};
use strum::IntoStaticStr;

use crate::call_mix::{CallLength, CallMix};

/// One host in this many has to be idle for early requests for tickets.
const HOSTS_PER_SPARE: usize = 2;

/// Of the hosts that take a call, one in this many has to be idle after a call for a job
/// that is late already, so that those for jobs in time find it.
const HOSTS_PER_LATE_SPARE: usize = 4;

/// No host has to be idle for jobs in time once none of them has waited for this long.
const IN_TIME_WINDOW: MilliSpan = MilliSpan::new(2_000);

/// The largest number of long calls through one host: one that is handled and one
/// that follows at once.
const MAX_LONG: usize = 2;

/// The largest number of calls through one host.
const MAX_OPEN: usize = 4;

/// The cost of a call through another host, so that short calls go through the
/// owner's own host while it is idle.
const REMOTE_COST: MilliSpan = MilliSpan::new(4);

/// The pause of a host after its first call without an answer. It doubles with each
/// further one.
const MIN_PAUSE: MilliSpan = MilliSpan::new(250);

/// The number of times that the pause doubles: the longest one is 4 s.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// The cost of a call through a host that is tried again, so that a host in good order
/// that is free as soon goes first.
const TRIAL_COST: MilliSpan = MilliSpan::new(20);

/// An answer that takes this much longer than expected is late.
const LATE_AFTER: MilliSpan = MilliSpan::new(100);

/// A call is given up no earlier than this after its answer was expected. One that ends
/// without an answer before has failed.
const TIMEOUT_MARGIN: MilliSpan = MilliSpan::new(500);

/// Chooses the host that relays an advice request.
#[derive(Debug, Clone, Default)]
pub(crate) struct AdviceRelays {
    /// The hosts that may be chosen, the owner's own host first, and after them those that
    /// have left and still have calls in flight.
    hosts: Vec<RelayHost>,
    /// The number of hosts that may be chosen.
    listed: usize,
    mix: CallMix,
    /// When a job in time last waited that needs calls of more than the short length.
    in_time_at: MilliTime,
    /// The calls since the last log line.
    counts: CallCounts,
}

/// How a call for advice ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum CallOutcome {
    /// The answer came in time.
    Answered,
    /// The answer came later than expected.
    Late,
    /// The call ended without an answer before one was due.
    Failed,
    /// There was no answer in time.
    TimedOut,
}

/// The calls made and ended in a period.
#[derive(Debug, Clone, Copy, Default)]
struct CallCounts {
    made: u64,
    answered: u64,
    /// A part of those answered.
    late: u64,
    failed: u64,
    timed_out: u64,
}

#[derive(Debug, Clone, Default)]
struct RelayHost {
    address: String,
    load: RelayLoad,
}

#[derive(Debug, Clone, Copy, Default)]
struct RelayLoad {
    /// The number of calls without a result.
    open: usize,
    /// The time that these calls take at the service.
    open_span: MilliSpan,
    /// When the calls through the host are expected to end, those that timed out
    /// included.
    busy_until: MilliTime,
    /// The number of pauses since the last answer; 0 for a host in good order.
    failures: u32,
    /// The host takes no calls until then.
    apart_until: MilliTime,
}

impl AdviceRelays {
    /// Sets the addresses of the hosts; the owner's own host is the first.
    pub(crate) fn set_hosts(&mut self, addresses: Vec<String>, now: MilliTime) {
        if self.hosts.is_empty() {
            self.mix.assume_load(addresses.len(), now);
            self.in_time_at = now;
        }
        let mut known = std::mem::take(&mut self.hosts);
        for address in addresses {
            let index = known.iter().position(|host| host.address == address);
            let load = index.map(|index| known.swap_remove(index).load);
            let load = load.unwrap_or_default();
            self.hosts.push(RelayHost { address, load });
        }
        self.listed = self.hosts.len();
        known.retain(|host| host.load.open > 0);
        self.hosts.extend(known);
    }

    /// Returns the host for a call that takes `span`, and the time in which its
    /// answer is expected; `None` if no host has capacity for it.
    pub(crate) fn choose(
        &mut self,
        span: MilliSpan,
        now: MilliTime,
    ) -> Option<(String, MilliSpan)> {
        let length = CallLength::from(span);
        let max_open = match length {
            CallLength::Short => MAX_OPEN,
            CallLength::Long | CallLength::VeryLong => MAX_LONG,
        };
        let healthy = self.healthy_loads().count();
        let reserved = self.mix.kept_hosts(length, healthy, now);
        let mut skipped = 0;
        let usable = self.hosts[..self.listed].iter().enumerate();
        let usable = usable.filter(|(_, host)| {
            if host.load.failures > 0 {
                return host.load.may_try(now);
            }
            skipped += 1;
            skipped > reserved && host.load.open < max_open
        });
        let chosen = usable.min_by_key(|(index, host)| {
            let mut distance = MilliSpan::ZERO;
            if *index > 0 {
                distance = distance + REMOTE_COST;
            }
            if host.load.failures > 0 {
                distance = distance + TRIAL_COST;
            }
            host.load.busy_until.max(now) + distance
        });
        let index = chosen?.0;
        let host = &mut self.hosts[index];
        self.counts.made += 1;
        self.mix.record(span, now);
        host.load.open += 1;
        host.load.open_span = host.load.open_span + span;
        host.load.busy_until = host.load.busy_until.max(now) + span;
        Some((host.address.clone(), host.load.busy_until.since(now)))
    }

    /// Returns whether a call that takes `span` may be made for a job that is late
    /// already: it is short, or enough of the hosts that take it are idle. A host that may
    /// be tried again counts as idle: late calls alone have to find out that it answers.
    pub(crate) fn takes_late(&self, span: MilliSpan, now: MilliTime) -> bool {
        let length = CallLength::from(span);
        if length == CallLength::Short {
            return true;
        }
        let healthy = self.healthy_loads().count();
        let kept = self.mix.kept_hosts(length, healthy, now);
        let idle = self.healthy_loads().skip(kept);
        let idle = idle.filter(|load| load.open == 0).count();
        let apart = self.listed_loads().filter(|load| load.failures > 0);
        let trials = apart.filter(|load| load.may_try(now)).count();
        let spare = if now.since(self.in_time_at) < IN_TIME_WINDOW {
            (healthy - kept) / HOSTS_PER_LATE_SPARE
        } else {
            0
        };
        idle + trials > spare
    }

    /// Notes that a job in time waits whose calls take `span` at least.
    pub(crate) fn note_job_in_time(&mut self, span: MilliSpan, now: MilliTime) {
        if CallLength::from(span) != CallLength::Short {
            self.in_time_at = now;
        }
    }

    /// Returns whether many of the hosts in good order are idle.
    pub(crate) fn has_spare(&self) -> bool {
        let idle = self.healthy_loads().filter(|load| load.open == 0);
        idle.count() * HOSTS_PER_SPARE >= self.healthy_loads().count()
    }

    /// Returns whether a host takes a call at once.
    pub(crate) fn has_usable(&self, now: MilliTime) -> bool {
        self.listed_loads()
            .any(|load| load.failures == 0 && load.open < MAX_LONG || load.may_try(now))
    }

    /// Updates the load of a host with the outcome of a call that takes `span` at the
    /// service.
    pub(crate) fn call_finished(
        &mut self,
        host: &str,
        span: MilliSpan,
        outcome: CallOutcome,
        now: MilliTime,
    ) {
        self.counts.add(outcome);
        if let Some(host) = self.hosts.iter_mut().find(|known| known.address == host) {
            host.load.call_finished(span, outcome, now);
        }
    }

    /// Logs the calls in flight and those since the last line, if there are any.
    pub(crate) fn log_calls(&mut self) {
        let counts = std::mem::take(&mut self.counts);
        let in_flight: usize = self.hosts.iter().map(|host| host.load.open).sum();
        if in_flight == 0 && counts.is_empty() {
            return;
        }
        let healthy = self.healthy_loads().count();
        let accepting = self.healthy_loads().filter(|load| load.open < MAX_LONG);
        log::info!(
            in_flight,
            hosts = self.listed,
            accepting = accepting.count(),
            apart = self.listed - healthy,
            made = counts.made,
            answered = counts.answered,
            late = counts.late,
            failed = counts.failed,
            timed_out = counts.timed_out;
            "cell: advice calls"
        );
    }

    /// Returns the loads of the hosts in good order: the last call was answered, or there
    /// was none.
    fn healthy_loads(&self) -> impl Iterator<Item = &RelayLoad> {
        self.listed_loads().filter(|load| load.failures == 0)
    }

    fn listed_loads(&self) -> impl Iterator<Item = &RelayLoad> {
        self.hosts[..self.listed].iter().map(|host| &host.load)
    }
}

impl RelayLoad {
    /// Returns whether a call may try a host that was set apart.
    fn may_try(self, now: MilliTime) -> bool {
        self.open == 0 && self.apart_until <= now
    }

    fn call_finished(&mut self, span: MilliSpan, outcome: CallOutcome, now: MilliTime) {
        self.open = self.open.saturating_sub(1);
        self.open_span = self.open_span.saturating_sub(span);
        match outcome {
            CallOutcome::Answered | CallOutcome::Late => {
                self.failures = 0;
                self.apart_until = MilliTime::ZERO;
                // The service begins the next call when it has answered one.
                self.busy_until = now + self.open_span;
            }
            CallOutcome::Failed => {
                self.busy_until = self.busy_until - span;
                self.set_apart(now);
            }
            CallOutcome::TimedOut => {
                // The service may have begun the call only now.
                self.busy_until = now + self.open_span + span;
                self.set_apart(now);
            }
        }
    }

    /// Calls that were made before the pause began do not extend it.
    fn set_apart(&mut self, now: MilliTime) {
        if now < self.apart_until {
            return;
        }
        let doublings = self.failures.min(MAX_PAUSE_DOUBLINGS);
        let pause = MilliSpan::new(MIN_PAUSE.as_millis() << doublings);
        self.apart_until = now + pause;
        self.failures += 1;
    }
}

impl CallOutcome {
    /// Returns how a call ended that took `took` and whose answer was expected within
    /// `expected`.
    pub(crate) fn new(has_answer: bool, took: MilliSpan, expected: MilliSpan) -> Self {
        match has_answer {
            true if took > expected + LATE_AFTER => Self::Late,
            true => Self::Answered,
            false if took < expected + TIMEOUT_MARGIN => Self::Failed,
            false => Self::TimedOut,
        }
    }
}

impl CallCounts {
    fn add(&mut self, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Answered => self.answered += 1,
            CallOutcome::Late => {
                self.answered += 1;
                self.late += 1;
            }
            CallOutcome::Failed => self.failed += 1,
            CallOutcome::TimedOut => self.timed_out += 1,
        }
    }

    const fn is_empty(&self) -> bool {
        self.made + self.answered + self.failed + self.timed_out == 0
    }
}

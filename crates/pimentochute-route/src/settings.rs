//! Settings of the router and the position of the host.

use pimentochute_base::MilliSpan;

/// The position of this host among the entry hosts of its data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostPosition {
    /// The index of the host, from zero.
    pub index: u32,
    /// The number of hosts by settings, dead ones included.
    pub count: u32,
}

impl HostPosition {
    /// Creates a position; a count of zero is taken as one.
    #[must_use]
    pub const fn new(index: u32, count: u32) -> Self {
        let count = if count == 0 { 1 } else { count };
        Self { index, count }
    }
}

/// Limits and times of the router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterSettings {
    /// The requests that may wait on this host.
    pub max_waiting: usize,
    /// The bytes of request bodies that may wait on this host. Bounds memory
    /// when few but large requests wait.
    pub max_waiting_bytes: usize,
    /// The time for opening a connection.
    pub connect_timeout: MilliSpan,
    /// The time after which an idempotent attempt is given up and retried.
    /// A non-idempotent attempt has the time until the caller's deadline.
    pub attempt_timeout: MilliSpan,
    /// The idle time after which a connection is probed before reuse.
    pub probe_idle_after: MilliSpan,
    /// The time for an answer to a probe.
    pub probe_timeout: MilliSpan,
    /// The margin after an attempt's deadline for which the slot of an attempt
    /// with an unknown outcome stays held. 2 % of the time to the deadline is
    /// added, for clock rates that differ.
    pub hold_margin: MilliSpan,
    /// The failures to send in a row after which a request is refused.
    pub max_send_failures: u32,
    /// The attempts of an idempotent request that may reach an endpoint.
    pub max_attempts: u32,
    /// The percentage of requests that may be retried.
    pub retry_percent: u32,
    /// The retries allowed in addition to the percentage.
    pub retry_reserve: u32,
    /// The longest pause before the first retry; doubles with each retry.
    pub backoff_base: MilliSpan,
    /// The longest pause before any retry.
    pub backoff_max: MilliSpan,
    /// The failed connects or probes in a row that open an endpoint's breaker.
    pub breaker_failures: u32,
    /// The first time for which an endpoint is avoided; doubles each time.
    pub breaker_base: MilliSpan,
    /// The longest time for which an endpoint is avoided.
    pub breaker_max: MilliSpan,
    /// The interval at which the queue is checked for free slots of peers,
    /// lapsed holds and endpoints to be tried again.
    pub check_interval: MilliSpan,
    /// The seed of the generator for choices, jitter and retry times.
    pub seed: u64,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            max_waiting: 1024,
            max_waiting_bytes: 64 << 20,
            connect_timeout: MilliSpan::new(500),
            attempt_timeout: MilliSpan::new(30_000),
            probe_idle_after: MilliSpan::new(1000),
            probe_timeout: MilliSpan::new(500),
            hold_margin: MilliSpan::new(2000),
            max_send_failures: 8,
            max_attempts: 4,
            retry_percent: 10,
            retry_reserve: 10,
            backoff_base: MilliSpan::new(50),
            backoff_max: MilliSpan::new(2000),
            breaker_failures: 3,
            breaker_base: MilliSpan::new(500),
            breaker_max: MilliSpan::new(30_000),
            check_interval: MilliSpan::new(50),
            seed: 0,
        }
    }
}

impl RouterSettings {
    /// Sets the seed; hosts should use different ones, so that they do not
    /// make the same choices.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

//! Settings of the router, and the position of the host in its data centre.

use pimentochute_base::MilliSpan;

/// Limits, timeouts and intervals of the router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterSettings {
    /// The maximum number of requests that wait on this host.
    pub max_waiting: usize,
    /// The maximum total size of the bodies of waiting requests, in bytes. It
    /// bounds memory when few but large requests wait.
    pub max_waiting_bytes: usize,
    /// The timeout for opening a connection.
    pub connect_timeout: MilliSpan,
    /// The timeout of one attempt of an idempotent request, which may then be
    /// retried. An attempt of a non-idempotent request may take until the
    /// caller's deadline.
    pub attempt_timeout: MilliSpan,
    /// The idle time after which a connection is probed before reuse.
    pub probe_idle_after: MilliSpan,
    /// The timeout for the answer to a probe.
    pub probe_timeout: MilliSpan,
    /// The time after an attempt's deadline for which its slot stays held if
    /// the outcome is unknown. 2 % of the time limit of the attempt is added,
    /// for differences in clock rates.
    pub hold_margin: MilliSpan,
    /// The number of consecutive failures to send after which a request is
    /// refused.
    pub max_send_failures: u32,
    /// The maximum number of attempts of an idempotent request that may have
    /// reached an endpoint.
    pub max_attempts: u32,
    /// The retries that are allowed as a percentage of the requests.
    pub retry_percent: u32,
    /// The number of retries that are allowed in addition to the percentage.
    pub retry_reserve: u32,
    /// The maximum delay before the first retry; doubles with each retry.
    pub backoff_base: MilliSpan,
    /// The maximum delay before any retry.
    pub backoff_max: MilliSpan,
    /// The number of consecutive failed connects or probes that open an
    /// endpoint's circuit breaker.
    pub breaker_failures: u32,
    /// The time for which the breaker stays open at first; doubles each time it
    /// opens again.
    pub breaker_base: MilliSpan,
    /// The maximum time for which the breaker stays open.
    pub breaker_max: MilliSpan,
    /// The interval at which a non-empty queue is checked for free slots of
    /// peers, expired holds and endpoints that may be tried again.
    pub check_interval: MilliSpan,
    /// The seed of the random numbers for choices, jitter and retry times.
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
    /// Sets the seed. Hosts should use different seeds, so that they do not
    /// make the same choices.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// The position of this host among the entry hosts of its data centre. It
/// determines which slots, connections and permits belong to the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostPosition {
    /// The index of the host, from zero.
    pub index: u32,
    /// The number of configured hosts, including hosts that are down.
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

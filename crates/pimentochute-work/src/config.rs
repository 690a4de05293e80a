//! The configuration that a cell works by.

use std::collections::BTreeMap;

use pimentochute_base::{ConfigVersion, MilliSpan, ResourceAmount};

/// A version of the configuration in full.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CellConfig {
    /// The version; later ones are larger.
    pub version: ConfigVersion,
    /// The queues by name.
    pub queues: BTreeMap<String, QueueConfig>,
    /// The worker pools by name.
    pub pools: BTreeMap<String, PoolConfig>,
    /// The teams by name.
    pub teams: BTreeMap<String, TeamConfig>,
    /// The limits of callers' requests.
    pub limits: RequestLimits,
}

/// A queue that callers reach by host name and path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueConfig {
    /// The host name that callers ask for.
    pub host: String,
    /// The start of the paths that belong to the queue.
    pub path_prefix: String,
    /// The pool whose workers run the tasks.
    pub pool: String,
    /// The priority; 0 goes first.
    pub priority: u32,
    /// How often a task may fail.
    pub max_attempts: u32,
    /// The longest time for a call of the queue.
    pub timeout: MilliSpan,
    /// The time that a job may take beyond its work.
    pub target_latency: MilliSpan,
    /// How many thousandths of its own work a job may take.
    pub stretch_permille: u64,
    /// Callers need no key.
    pub is_open: bool,
    /// The cost of asking which workers may run a step; none if all may.
    pub advice: Option<AdviceCost>,
}

/// How long the placement advice of a queue takes and lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdviceCost {
    /// The time of a call, in microseconds.
    pub call_micros: u64,
    /// The further time for each worker of a call, in microseconds.
    pub worker_micros: u64,
    /// How long a ticket lasts.
    pub validity: MilliSpan,
}

/// A pool of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolConfig {
    /// The workers refuse what does not fit.
    pub workers_check_capacity: bool,
    /// The workers are off until the pool is needed.
    pub is_standby: bool,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamConfig {
    /// The secrets by which callers of the team are known.
    pub keys: Vec<String>,
    /// The share when the fleet is full; at least 1.
    pub weight: u64,
    /// The most that may run at a time; a part of 0 is no limit.
    pub cap: ResourceAmount,
}

/// The limits of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The time in which a head has to arrive.
    pub header_timeout: MilliSpan,
    /// The time after which an idle connection is closed.
    pub idle_timeout: MilliSpan,
}

impl AdviceCost {
    /// Returns the time of a call about `workers` workers.
    #[must_use]
    pub fn span(&self, workers: usize) -> MilliSpan {
        let workers = u64::try_from(workers).unwrap_or(u64::MAX);
        let micros = self.call_micros + self.worker_micros.saturating_mul(workers);
        MilliSpan::new(micros.div_ceil(1_000))
    }
}

impl CellConfig {
    /// Returns the queue that serves a path, and the rest of the path.
    #[must_use]
    pub fn queue_of<'a>(&self, host: &str, path: &'a str) -> Option<(&str, &QueueConfig, &'a str)> {
        let matching = self.queues.iter().filter(|(_, queue)| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.path_prefix)
        });
        let (name, queue) = matching.max_by_key(|(_, queue)| queue.path_prefix.len())?;
        Some((name, queue, &path[queue.path_prefix.len()..]))
    }

    /// Returns the team that holds a key.
    #[must_use]
    pub fn team_of(&self, secret: &str) -> Option<&str> {
        let holder = self
            .teams
            .iter()
            .find(|(_, team)| team.keys.iter().any(|key| key == secret));
        holder.map(|(name, _)| name.as_str())
    }
}

//! The configuration of a cell: queues, pools, teams and limits.

use std::collections::BTreeMap;

use pimentochute_base::{ConfigVersion, MilliSpan, ResourceAmount};

/// One complete version of the configuration.
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
    /// The limits for requests of callers.
    pub limits: RequestLimits,
}

/// A queue that callers reach by host name and path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueConfig {
    /// The host name in the URLs of the queue.
    pub host: String,
    /// The prefix of the paths that belong to the queue.
    pub path_prefix: String,
    /// The pool whose workers run the tasks.
    pub pool: String,
    /// The priority; 0 goes first.
    pub priority: u32,
    /// The number of failed runs of a task after which its job fails.
    pub max_attempts: u32,
    /// The timeout for a call of the queue. Accepted and stored, not used yet.
    pub timeout: MilliSpan,
    /// The time that a job may take in addition to its stretched work.
    pub target_latency: MilliSpan,
    /// The time that a job may take as a multiple of its work, in thousandths.
    pub stretch_permille: u64,
    /// Callers need no key.
    pub is_open: bool,
    /// The cost of placement advice; `None` if all workers may run all steps.
    pub advice: Option<AdviceCost>,
}

/// How long the placement advice of a queue takes, and how long it is valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdviceCost {
    /// The fixed time of a call, in microseconds.
    pub call_micros: u64,
    /// The additional time for each worker of a call, in microseconds.
    pub worker_micros: u64,
    /// How long a ticket is valid.
    pub validity: MilliSpan,
}

/// A pool of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolConfig {
    /// The workers refuse tasks that do not fit. Accepted and stored, not used for
    /// scheduling yet.
    pub workers_check_capacity: bool,
    /// The workers are switched off until the pool is needed. Accepted and stored,
    /// not used for scheduling yet.
    pub is_standby: bool,
}

/// A team, whose members submit jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamConfig {
    /// The secrets that identify callers of the team.
    pub keys: Vec<String>,
    /// The number of jobs per second that the team may submit at normal rank; 0
    /// counts as 1. Jobs beyond it are placed after those of teams within their
    /// rate.
    pub weight: u64,
    /// The resources that the runs of the team may use at a time; a resource of 0
    /// is not limited.
    pub cap: ResourceAmount,
}

/// The limits for requests of callers.
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
    /// Returns the name and the configuration of the queue with the longest
    /// matching prefix, and the rest of the path.
    #[must_use]
    pub fn queue_of<'a>(&self, host: &str, path: &'a str) -> Option<(&str, &QueueConfig, &'a str)> {
        let matching = self.queues.iter().filter(|(_, queue)| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.path_prefix)
        });
        let (name, queue) = matching.max_by_key(|(_, queue)| queue.path_prefix.len())?;
        Some((name, queue, &path[queue.path_prefix.len()..]))
    }

    /// Returns the name of the team that has a key.
    #[must_use]
    pub fn team_of(&self, secret: &str) -> Option<&str> {
        let holder = self
            .teams
            .iter()
            .find(|(_, team)| team.keys.iter().any(|key| key == secret));
        holder.map(|(name, _)| name.as_str())
    }
}

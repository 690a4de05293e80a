//! The configuration and the patches that change it.

use std::collections::BTreeMap;

use pimentochute_base::{
    ConfigVersion, KeyDigest, KeyId, PatchId, PriorityClass, QueueName, ServiceName, TeamName,
    WorkKind,
};
use serde::{Deserialize, Serialize};

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// The version; zero is the empty initial configuration.
    pub version: ConfigVersion,
    /// The teams by name.
    pub teams: BTreeMap<TeamName, TeamConfig>,
    /// The keys by identifier. Every key's team is in `teams`.
    pub keys: BTreeMap<KeyId, KeyConfig>,
    /// The queues by name. Every team of a queue is in `teams`.
    pub queues: BTreeMap<QueueName, QueueConfig>,
}

/// A team's share and limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamConfig {
    /// The weight of the team in fair sharing when the fleet is full; at least one.
    pub share: u32,
    /// The maximum number of live tasks across the fleet.
    pub max_tasks: u32,
    /// The maximum number of requests in flight across the fleet.
    pub max_requests: u32,
}

/// A key that identifies callers of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyConfig {
    /// The team that the key belongs to.
    pub team: TeamName,
    /// The digest of the secret; unique among the keys.
    pub digest: KeyDigest,
}

/// A queue that callers submit work to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueConfig {
    /// The kind of work that the queue takes.
    pub kind: WorkKind,
    /// Whether work is accepted without a key.
    #[serde(default)]
    pub open: bool,
    /// The teams whose work the queue takes; not empty, without duplicates. Work
    /// without a key counts for the first one.
    pub teams: Vec<TeamName>,
    /// The priority of the work.
    pub priority: PriorityClass,
    /// The service whose endpoints answer the requests; `Some` if and only if
    /// `kind` is [`WorkKind::Request`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
}

/// A change of the configuration, based on a given version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigPatch {
    /// The identifier by which a repeated patch is recognised; chosen by the
    /// author.
    pub id: PatchId,
    /// The version that the patch is based on; it is rejected if another one is in
    /// force.
    pub base_version: ConfigVersion,
    /// Who made the patch.
    pub author: String,
    /// The operations, applied in order. If one is invalid, none takes effect.
    pub operations: Vec<PatchOperation>,
}

/// One operation of a patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
pub enum PatchOperation {
    /// Adds or replaces a team.
    SetTeam {
        /// The team.
        team: TeamName,
        /// Its share and limits.
        config: TeamConfig,
    },
    /// Removes a team that no key or queue refers to.
    RemoveTeam {
        /// The team.
        team: TeamName,
    },
    /// Grants a key to a team. The identifier of a withdrawn key cannot be used
    /// again.
    GrantKey {
        /// The identifier.
        key: KeyId,
        /// The team and the digest.
        config: KeyConfig,
    },
    /// Withdraws a key.
    WithdrawKey {
        /// The identifier.
        key: KeyId,
    },
    /// Adds or replaces a queue.
    SetQueue {
        /// The queue.
        queue: QueueName,
        /// Its settings.
        config: QueueConfig,
    },
    /// Removes a queue.
    RemoveQueue {
        /// The queue.
        queue: QueueName,
    },
}

/// A record of the `config` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ConfigRecord {
    /// A patch that an operator submitted.
    Patch(ConfigPatch),
}

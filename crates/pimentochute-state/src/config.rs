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
pub struct CellConfig {
    /// The version; zero is the empty configuration.
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
    /// The weight of the team when the fleet is full; at least one.
    pub share: u32,
    /// The most tasks that run at once across the fleet.
    pub max_tasks: u32,
    /// The most requests in flight at once across the fleet.
    pub max_requests: u32,
}

/// A key of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyConfig {
    /// The team that the key belongs to.
    pub team: TeamName,
    /// The digest of the secret.
    pub digest: KeyDigest,
}

/// A queue that work is handed to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueConfig {
    /// The kind of work that the queue takes.
    pub kind: WorkKind,
    /// Whether work is accepted without a key.
    #[serde(default)]
    pub open: bool,
    /// The teams whose work the queue takes; not empty. Work without a key
    /// belongs to the first one.
    pub teams: Vec<TeamName>,
    /// The priority of the work.
    pub priority: PriorityClass,
    /// The service whose endpoints answer; set for requests only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
}

/// A change of the configuration, made against a numbered version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigPatch {
    /// The identifier that makes a repetition harmless.
    pub id: PatchId,
    /// The version that the patch was made against.
    pub base_version: ConfigVersion,
    /// Who made the patch.
    pub author: String,
    /// The operations, applied in order; all of them or none.
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
    /// Removes a team that no key and no queue names.
    RemoveTeam {
        /// The team.
        team: TeamName,
    },
    /// Adds a key; an identifier is never used again.
    GrantKey {
        /// The identifier.
        key: KeyId,
        /// The team and the digest.
        config: KeyConfig,
    },
    /// Removes a key.
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
    /// A patch that an operator handed in.
    Patch(ConfigPatch),
}

//! Outcomes of configuration patches and why patches are rejected.

use derive_more::{Display, Error};
use pimentochute_base::{ConfigVersion, KeyId, PatchId, QueueName, TeamName};
use serde::{Deserialize, Serialize};

use crate::config_check::{
    MAX_AUTHOR_BYTES, MAX_KEYS, MAX_OPERATIONS, MAX_QUEUE_TEAMS, MAX_QUEUES, MAX_SHARE, MAX_TEAMS,
};

/// The result of applying a patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum PatchOutcome {
    /// The patch took effect and made a new version.
    Accepted {
        /// The new version.
        version: ConfigVersion,
    },
    /// The patch changed nothing.
    Rejected {
        /// The version in force when the patch was read.
        current: ConfigVersion,
        /// The rule that the patch breaks.
        reason: RejectReason,
    },
}

/// The answer for the author of a patch that was read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PatchAnswer {
    /// The patch was read for the first time, with this outcome.
    First(PatchOutcome),
    /// The same patch was read before, with this outcome.
    Repeated(PatchOutcome),
    /// A different patch has the same identifier; this one changed nothing.
    Conflict {
        /// The outcome of the other patch.
        other: PatchOutcome,
    },
}

/// A patch in the history of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PatchEntry {
    /// The identifier of the patch.
    pub id: PatchId,
    /// Who made the patch; empty if the author was rejected as invalid.
    pub author: String,
    /// Hash of the content, to tell a repeated patch from another one with the same
    /// identifier.
    pub fingerprint: u64,
    /// The result of applying it.
    pub outcome: PatchOutcome,
}

/// Why a patch was rejected and changed nothing.
// These texts are part of the answers to clients; do not reword them.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum RejectReason {
    /// The patch was made against another version.
    #[display(
        "the patch is against version {base}, in force is {current}; hint: read version {current} and make a new patch"
    )]
    StaleBase {
        /// The version that the patch was made against.
        base: ConfigVersion,
        /// The version in force.
        current: ConfigVersion,
    },
    /// The author is empty, too long or has control characters.
    #[display(
        "the author is not valid; hint: use 1 to {MAX_AUTHOR_BYTES} bytes without control characters"
    )]
    BadAuthor,
    /// The patch has no operation.
    #[display("the patch has no operation; hint: add one")]
    Empty,
    /// The patch has too many operations.
    #[display("the patch has {count} operations; hint: split it, {MAX_OPERATIONS} are allowed")]
    TooManyOperations {
        /// The number found.
        count: usize,
    },
    /// The team does not exist.
    #[display("team {team} does not exist; hint: set the team first")]
    UnknownTeam {
        /// The team.
        team: TeamName,
    },
    /// The share is out of range.
    #[display("team {team} has a share out of range; hint: use 1 to {MAX_SHARE}")]
    BadShare {
        /// The team.
        team: TeamName,
    },
    /// A key or a queue still refers to the team and prevents its removal.
    #[display(
        "team {team} is still named by a key or a queue; hint: withdraw its keys and change its queues first"
    )]
    TeamInUse {
        /// The team.
        team: TeamName,
    },
    /// There are too many teams.
    #[display("there are too many teams; hint: remove one, {MAX_TEAMS} are allowed")]
    TooManyTeams,
    /// The key identifier is in use or was used by a withdrawn key.
    #[display("key id {key} was used before; hint: choose a new id")]
    DuplicateKey {
        /// The key.
        key: KeyId,
    },
    /// Another key has the same secret.
    #[display("key {key} has the secret of another key; hint: make a new secret")]
    DuplicateSecret {
        /// The key.
        key: KeyId,
    },
    /// The key does not exist.
    #[display("key {key} does not exist; hint: check the id")]
    UnknownKey {
        /// The key.
        key: KeyId,
    },
    /// There are too many keys.
    #[display("there are too many keys; hint: withdraw one, {MAX_KEYS} are allowed")]
    TooManyKeys,
    /// The queue does not exist.
    #[display("queue {queue} does not exist; hint: check the name")]
    UnknownQueue {
        /// The queue.
        queue: QueueName,
    },
    /// The queue has no teams, too many, or a duplicate.
    #[display(
        "queue {queue} has no valid list of teams; hint: name 1 to {MAX_QUEUE_TEAMS} teams, each once"
    )]
    BadQueueTeams {
        /// The queue.
        queue: QueueName,
    },
    /// The queue takes requests and names no service, or names one and takes
    /// something else.
    #[display(
        "queue {queue} does not match its kind; hint: name a service for requests and for nothing else"
    )]
    BadQueueService {
        /// The queue whose kind and service contradict each other.
        queue: QueueName,
    },
    /// There are too many queues.
    #[display("there are too many queues; hint: remove one, {MAX_QUEUES} are allowed")]
    TooManyQueues,
}

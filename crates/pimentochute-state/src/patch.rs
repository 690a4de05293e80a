//! The outcomes of configuration patches.

use derive_more::{Display, Error};
use pimentochute_base::{ConfigVersion, KeyId, PatchId, QueueName, TeamName};
use serde::{Deserialize, Serialize};

use crate::config_check::{
    MAX_AUTHOR_BYTES, MAX_KEYS, MAX_OPERATIONS, MAX_QUEUE_TEAMS, MAX_QUEUES, MAX_SHARE, MAX_TEAMS,
};

/// What became of a patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum PatchOutcome {
    /// The patch made a version.
    Accepted {
        /// The version.
        version: ConfigVersion,
    },
    /// The patch changed nothing.
    Rejected {
        /// The version in force when the patch was met.
        current: ConfigVersion,
        /// Why.
        reason: RejectReason,
    },
}

/// What a patch that was read from the log means to its author.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PatchAnswer {
    /// The patch was met for the first time.
    First(PatchOutcome),
    /// The same patch was met before and has the outcome it had.
    Repeated(PatchOutcome),
    /// Another patch has this identifier; this one changed nothing.
    Conflict {
        /// The outcome of the other patch.
        other: PatchOutcome,
    },
}

/// One entry of the configuration's history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PatchEntry {
    /// The patch.
    pub id: PatchId,
    /// Who made it.
    pub author: String,
    /// Identifies the content, to tell a repetition from another patch.
    pub fingerprint: u64,
    /// What became of it.
    pub outcome: PatchOutcome,
}

/// The reason why a patch changed nothing.
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
    /// The author is empty, too long or not printable.
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
    /// A key or a queue names the team.
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
    /// The key identifier is or was in use.
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
    /// The queue names no team, too many, or one twice.
    #[display(
        "queue {queue} has no valid list of teams; hint: name 1 to {MAX_QUEUE_TEAMS} teams, each once"
    )]
    BadQueueTeams {
        /// The queue.
        queue: QueueName,
    },
    /// A queue names a service if and only if it takes requests.
    #[display(
        "queue {queue} does not match its kind; hint: name a service for requests and for nothing else"
    )]
    BadQueueService {
        /// The queue.
        queue: QueueName,
    },
    /// There are too many queues.
    #[display("there are too many queues; hint: remove one, {MAX_QUEUES} are allowed")]
    TooManyQueues,
}

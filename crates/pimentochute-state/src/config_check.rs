//! Validation of configuration patches and snapshots.

use std::collections::BTreeSet;

use pimentochute_base::{KeyId, QueueName, TeamName, WorkKind};

use crate::{
    ConfigPatch, FleetConfig, KeyConfig, PatchOperation, QueueConfig, RejectReason, TeamConfig,
};

/// Maximum length of a patch's author, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 128;

/// Maximum number of operations of a patch.
pub const MAX_OPERATIONS: usize = 256;

/// Maximum number of teams; the target size is 200.
pub const MAX_TEAMS: usize = 2_000;

/// Maximum number of keys of all teams.
pub const MAX_KEYS: usize = 10_000;

/// Maximum number of queues of all teams.
pub const MAX_QUEUES: usize = 2_000;

/// Maximum number of teams of a queue.
pub const MAX_QUEUE_TEAMS: usize = 256;

/// Maximum share of a team.
pub const MAX_SHARE: u32 = 1_000_000;

/// Returns the configuration after a patch; its version is still the base's.
pub(crate) fn patched_config(
    config: &FleetConfig,
    retired: &BTreeSet<KeyId>,
    patch: &ConfigPatch,
) -> Result<FleetConfig, RejectReason> {
    if patch.base_version != config.version {
        return Err(RejectReason::StaleBase {
            base: patch.base_version,
            current: config.version,
        });
    }
    check_author(&patch.author)?;
    match patch.operations.len() {
        0 => return Err(RejectReason::Empty),
        count if count > MAX_OPERATIONS => return Err(RejectReason::TooManyOperations { count }),
        _ => {}
    }
    let mut config = config.clone();
    // Includes keys that this patch withdraws: they cannot be granted again
    // either.
    let mut withdrawn = BTreeSet::new();
    for operation in &patch.operations {
        apply_operation(&mut config, retired, &mut withdrawn, operation)?;
    }
    Ok(config)
}

/// Checks a whole configuration, such as that of a snapshot.
pub(crate) fn check_config(config: &FleetConfig) -> Result<(), RejectReason> {
    check_counts(config)?;
    for (team, settings) in &config.teams {
        check_share(team, settings)?;
    }
    for key in config.keys.values() {
        check_team(config, &key.team)?;
    }
    for (queue, settings) in &config.queues {
        check_queue(config, queue, settings)?;
    }
    Ok(())
}

fn apply_operation(
    config: &mut FleetConfig,
    retired: &BTreeSet<KeyId>,
    withdrawn: &mut BTreeSet<KeyId>,
    operation: &PatchOperation,
) -> Result<(), RejectReason> {
    match operation {
        PatchOperation::SetTeam { team, config: new } => {
            check_share(team, new)?;
            config.teams.insert(team.clone(), *new);
        }
        PatchOperation::RemoveTeam { team } => remove_team(config, team)?,
        PatchOperation::GrantKey { key, config: new } => {
            let used = retired.contains(key) || withdrawn.contains(key);
            grant_key(config, used, key, new)?;
        }
        PatchOperation::WithdrawKey { key } => {
            if config.keys.remove(key).is_none() {
                return Err(RejectReason::UnknownKey { key: key.clone() });
            }
            withdrawn.insert(key.clone());
        }
        PatchOperation::SetQueue { queue, config: new } => {
            check_queue(config, queue, new)?;
            config.queues.insert(queue.clone(), new.clone());
        }
        PatchOperation::RemoveQueue { queue } => {
            if config.queues.remove(queue).is_none() {
                let queue = queue.clone();
                return Err(RejectReason::UnknownQueue { queue });
            }
        }
    }
    check_counts(config)
}

fn remove_team(config: &mut FleetConfig, team: &TeamName) -> Result<(), RejectReason> {
    let keyed = config.keys.values().any(|key| key.team == *team);
    let queued = config
        .queues
        .values()
        .any(|queue| queue.teams.contains(team));
    if keyed || queued {
        return Err(RejectReason::TeamInUse { team: team.clone() });
    }
    match config.teams.remove(team) {
        Some(_) => Ok(()),
        None => Err(RejectReason::UnknownTeam { team: team.clone() }),
    }
}

fn grant_key(
    config: &mut FleetConfig,
    used: bool,
    key: &KeyId,
    new: &KeyConfig,
) -> Result<(), RejectReason> {
    check_team(config, &new.team)?;
    if used || config.keys.contains_key(key) {
        return Err(RejectReason::DuplicateKey { key: key.clone() });
    }
    // A caller's team is looked up by its secret, which must be unique.
    if config.keys.values().any(|other| other.digest == new.digest) {
        return Err(RejectReason::DuplicateSecret { key: key.clone() });
    }
    config.keys.insert(key.clone(), new.clone());
    Ok(())
}

fn check_author(author: &str) -> Result<(), RejectReason> {
    let fits = (1..=MAX_AUTHOR_BYTES).contains(&author.len());
    if fits && !author.chars().any(char::is_control) {
        Ok(())
    } else {
        Err(RejectReason::BadAuthor)
    }
}

fn check_share(team: &TeamName, config: &TeamConfig) -> Result<(), RejectReason> {
    if (1..=MAX_SHARE).contains(&config.share) {
        Ok(())
    } else {
        Err(RejectReason::BadShare { team: team.clone() })
    }
}

fn check_team(config: &FleetConfig, team: &TeamName) -> Result<(), RejectReason> {
    if config.teams.contains_key(team) {
        Ok(())
    } else {
        Err(RejectReason::UnknownTeam { team: team.clone() })
    }
}

fn check_queue(
    config: &FleetConfig,
    queue: &QueueName,
    new: &QueueConfig,
) -> Result<(), RejectReason> {
    let distinct: BTreeSet<&TeamName> = new.teams.iter().collect();
    let fits = (1..=MAX_QUEUE_TEAMS).contains(&new.teams.len());
    if !fits || distinct.len() != new.teams.len() {
        let queue = queue.clone();
        return Err(RejectReason::BadQueueTeams { queue });
    }
    if new.service.is_some() != (new.kind == WorkKind::Request) {
        let queue = queue.clone();
        return Err(RejectReason::BadQueueService { queue });
    }
    new.teams
        .iter()
        .try_for_each(|team| check_team(config, team))
}

fn check_counts(config: &FleetConfig) -> Result<(), RejectReason> {
    if config.teams.len() > MAX_TEAMS {
        Err(RejectReason::TooManyTeams)
    } else if config.keys.len() > MAX_KEYS {
        Err(RejectReason::TooManyKeys)
    } else if config.queues.len() > MAX_QUEUES {
        Err(RejectReason::TooManyQueues)
    } else {
        Ok(())
    }
}

//! Builds patches and applies them to a replica.

use pimentochute_base::{
    ConfigVersion, KeyDigest, KeyId, PatchId, PriorityClass, QueueName, ServiceName, TeamName,
    WorkKind,
};
use pimentochute_state::{
    ConfigPatch, ConfigRecord, ConfigReplica, KeyConfig, PatchAnswer, PatchOperation, PatchOutcome,
    QueueConfig, RejectReason, TeamConfig,
};

pub fn team(name: &str) -> TeamName {
    TeamName::new(name).expect("valid name")
}

pub fn key(name: &str) -> KeyId {
    KeyId::new(name).expect("valid name")
}

pub fn queue(name: &str) -> QueueName {
    QueueName::new(name).expect("valid name")
}

pub fn patch_id(name: &str) -> PatchId {
    PatchId::new(name).expect("valid name")
}

pub fn set_team(name: &str, share: u32) -> PatchOperation {
    PatchOperation::SetTeam {
        team: team(name),
        config: TeamConfig {
            share,
            max_tasks: 10,
            max_requests: 10,
        },
    }
}

pub fn remove_team(name: &str) -> PatchOperation {
    PatchOperation::RemoveTeam { team: team(name) }
}

pub fn grant_key(id: &str, name: &str, secret: &str) -> PatchOperation {
    PatchOperation::GrantKey {
        key: key(id),
        config: KeyConfig {
            team: team(name),
            digest: KeyDigest::of(secret),
        },
    }
}

pub fn withdraw_key(id: &str) -> PatchOperation {
    PatchOperation::WithdrawKey { key: key(id) }
}

pub fn queue_config(kind: WorkKind, teams: &[&str], service: Option<&str>) -> QueueConfig {
    QueueConfig {
        kind,
        open: false,
        teams: teams.iter().map(|name| team(name)).collect(),
        priority: PriorityClass::Normal,
        service: service.map(|name| ServiceName::new(name).expect("valid name")),
    }
}

pub fn set_queue(name: &str, teams: &[&str]) -> PatchOperation {
    PatchOperation::SetQueue {
        queue: queue(name),
        config: queue_config(WorkKind::Batch, teams, None),
    }
}

pub fn patch(id: &str, base: u64, operations: Vec<PatchOperation>) -> ConfigPatch {
    ConfigPatch {
        id: patch_id(id),
        base_version: ConfigVersion::new(base),
        author: "operator".to_owned(),
        operations,
    }
}

pub fn payload(patch: &ConfigPatch) -> Vec<u8> {
    serde_json::to_vec(&ConfigRecord::Patch(patch.clone())).expect("patches serialise")
}

pub fn append(replica: &mut ConfigReplica, patch: &ConfigPatch) -> PatchAnswer {
    let offset = replica.next_offset();
    replica
        .apply(offset, &payload(patch))
        .expect("the patch decodes")
}

/// Applies a patch that is based on the version in force.
pub fn change(
    replica: &mut ConfigReplica,
    id: &str,
    operations: Vec<PatchOperation>,
) -> Result<u64, RejectReason> {
    let patch = patch(id, replica.current().version.get(), operations);
    match append(replica, &patch) {
        PatchAnswer::First(PatchOutcome::Accepted { version }) => Ok(version.get()),
        PatchAnswer::First(PatchOutcome::Rejected { reason, .. }) => Err(reason),
        other => panic!("patch {id} was read before: {other:?}"),
    }
}

/// Returns a replica at version one, with team `a`, its key `ka` and its queue
/// `qa`.
pub fn ready_replica() -> ConfigReplica {
    let mut replica = ConfigReplica::new();
    let operations = vec![
        set_team("a", 1),
        grant_key("ka", "a", "secret-a"),
        set_queue("qa", &["a"]),
    ];
    change(&mut replica, "setup", operations).expect("the setup is valid");
    replica
}

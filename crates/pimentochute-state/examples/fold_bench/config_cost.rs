//! Benchmarks the time per configuration patch and the memory of the
//! configuration.

use pimentochute_base::{
    KeyDigest, KeyId, PatchId, PriorityClass, QueueName, ServiceName, WorkKind,
};
use pimentochute_state::{
    ConfigPatch, ConfigRecord, ConfigReplica, FleetConfig, KeyConfig, MAX_OPERATIONS, PatchAnswer,
    PatchOperation, PatchOutcome, QueueConfig, TeamConfig,
};

use crate::BenchResult;
use crate::report::{print, resident_bytes, timed};
use crate::workload::team_name;

const TEAMS: usize = 200;
const KEYS: usize = 600;
const QUEUES: usize = 400;

/// The number of patches in a day at the target size.
const DAY_PATCHES: usize = 3_400;

/// The number of copies over which the memory is averaged.
const COPIES: usize = 100;

/// Maximum time per patch, in microseconds: a host that replays a day of patches
/// must be done within the 12 s that a change may take.
const PATCH_MICROS: f64 = 12e6 / 3_400.0;

/// A quarter of the memory that the control plane may use per node, in bytes.
const MAX_REPLICA_BYTES: f64 = 8.0 * 1_024.0 * 1_024.0;

/// Measures a day of patches at the target size.
pub fn run() -> BenchResult<()> {
    eprintln!("config: memory");
    let mut replica = ConfigReplica::new();
    for (index, operations) in base_operations()?.chunks(MAX_OPERATIONS).enumerate() {
        apply(&mut replica, &format!("base-{index}"), operations.to_vec())?;
    }
    let payload = serde_json::to_vec(&**replica.current())?;
    print("config_size", payload.len() as f64, "B", None);
    // Kept to the end, so that the replica does not reuse freed memory.
    let copies = decoded_copies(&payload)?;
    eprintln!("config: a day of patches");
    let before = resident_bytes();
    let mut sum = 0.0;
    for index in 0..DAY_PATCHES {
        let operations = vec![set_team(index % TEAMS, 1 + u32::try_from(index)?)?];
        sum += apply(&mut replica, &format!("patch-{index}"), operations)?;
    }
    let micros = sum / DAY_PATCHES as f64;
    print("config_patch", micros, "us", Some(PATCH_MICROS));
    let bytes = resident_bytes() - before;
    print(
        "config_fold_growth_in_a_day",
        bytes,
        "B",
        Some(MAX_REPLICA_BYTES),
    );
    let (snapshot, micros) = timed(|| serde_json::to_vec(&replica.snapshot()));
    print(
        "config_snapshot_size_after_a_day",
        snapshot?.len() as f64,
        "B",
        None,
    );
    print("config_snapshot_encoding_after_a_day", micros, "us", None);
    drop(copies);
    Ok(())
}

/// Prints the memory of a configuration that was decoded from JSON and returns
/// the copies that it was measured with.
fn decoded_copies(payload: &[u8]) -> BenchResult<Vec<FleetConfig>> {
    let before = resident_bytes();
    let copies = (0..COPIES).map(|_| serde_json::from_slice::<FleetConfig>(payload));
    let copies: Vec<FleetConfig> = copies.collect::<Result<_, _>>()?;
    let grown = resident_bytes() - before;
    print("config_memory", grown / copies.len() as f64, "B", None);
    Ok(copies)
}

/// Applies a patch to the current version and returns the time in
/// microseconds; fails if the patch is rejected.
fn apply(
    replica: &mut ConfigReplica,
    id: &str,
    operations: Vec<PatchOperation>,
) -> BenchResult<f64> {
    let record = ConfigRecord::Patch(ConfigPatch {
        id: PatchId::new(id)?,
        base_version: replica.current().version,
        author: "desk".to_owned(),
        operations,
    });
    let payload = serde_json::to_vec(&record)?;
    let (answer, micros) = timed(|| replica.apply(replica.next_offset(), &payload));
    match answer? {
        PatchAnswer::First(PatchOutcome::Accepted { .. }) => Ok(micros),
        other => Err(format!("patch {id} is not accepted: {other:?}").into()),
    }
}

/// The operations that make the configuration of the target size.
fn base_operations() -> BenchResult<Vec<PatchOperation>> {
    let teams = (0..TEAMS).map(|index| set_team(index, 1));
    let keys = (0..KEYS).map(grant_key);
    let queues = (0..QUEUES).map(set_queue);
    teams.chain(keys).chain(queues).collect()
}

fn set_team(index: usize, share: u32) -> BenchResult<PatchOperation> {
    let config = TeamConfig {
        share,
        max_tasks: 500,
        max_requests: 500,
    };
    Ok(PatchOperation::SetTeam {
        team: team_name(index)?,
        config,
    })
}

fn grant_key(index: usize) -> BenchResult<PatchOperation> {
    let config = KeyConfig {
        team: team_name(index % TEAMS)?,
        digest: KeyDigest::of(&format!("secret-{index}")),
    };
    Ok(PatchOperation::GrantKey {
        key: KeyId::new(&format!("key-2026-{index:04}"))?,
        config,
    })
}

fn set_queue(index: usize) -> BenchResult<PatchOperation> {
    let requests = index.is_multiple_of(2);
    let service = requests.then(|| ServiceName::new("price")).transpose()?;
    let config = QueueConfig {
        kind: if requests {
            WorkKind::Request
        } else {
            WorkKind::Batch
        },
        open: false,
        teams: vec![team_name(index % TEAMS)?, team_name((index + 1) % TEAMS)?],
        priority: PriorityClass::Normal,
        service,
    };
    Ok(PatchOperation::SetQueue {
        queue: QueueName::new(&format!("queue-{index:04}"))?,
        config,
    })
}

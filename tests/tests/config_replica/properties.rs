//! Properties that hold for random sequences of patches.

use std::collections::BTreeMap;

use pimentochute_state::{
    ConfigPatch, ConfigReplica, ConfigSnapshot, PatchAnswer, PatchOperation, PatchOutcome,
};
use proptest::collection::vec;
use proptest::prelude::*;

use super::support::{
    append, grant_key, patch, payload, queue, ready_replica, remove_team, set_queue, set_team,
    withdraw_key,
};

fn operation() -> impl Strategy<Value = PatchOperation> {
    let name = proptest::sample::select(vec!["a", "b", "c"]);
    prop_oneof![
        3 => (name.clone(), 0..4_u32).prop_map(|(name, share)| set_team(name, share)),
        1 => name.clone().prop_map(remove_team),
        2 => (name.clone(), 0..6_u8).prop_map(|(name, number)| {
            grant_key(&format!("k{number}"), name, &format!("s{number}"))
        }),
        1 => (0..6_u8).prop_map(|number| withdraw_key(&format!("k{number}"))),
        2 => (name.clone(), name.clone()).prop_map(|(one, two)| set_queue(one, &[one, two])),
        1 => name.prop_map(|name| PatchOperation::RemoveQueue { queue: queue(name) }),
    ]
}

/// The identifier of a patch, how many versions its base is behind the current
/// one, and its operations.
fn step() -> impl Strategy<Value = (u8, u64, Vec<PatchOperation>)> {
    let behind = prop_oneof![4 => Just(0), 1 => 0..3_u64];
    (0..40_u8, behind, vec(operation(), 0..4))
}

fn next_patch(
    replica: &ConfigReplica,
    (id, behind, operations): (u8, u64, Vec<PatchOperation>),
) -> ConfigPatch {
    let base = replica.current().version.get().saturating_sub(behind);
    patch(&format!("p{id}"), base, operations)
}

fn check_config(replica: &ConfigReplica) {
    let config = replica.current();
    let known = |team| config.teams.contains_key(team);
    assert!(config.keys.values().all(|key| known(&key.team)));
    for queue in config.queues.values() {
        assert!(!queue.teams.is_empty() && queue.teams.iter().all(known));
    }
    assert!(config.teams.values().all(|team| team.share > 0));
    assert_eq!(replica.version(config.version), Some(config));
}

proptest! {
    /// The version never decreases, the configuration keeps the rules, and the
    /// answer to an author agrees with the configuration in force.
    #[test]
    fn versions_never_go_back(steps in vec(step(), 40)) {
        let mut replica = ready_replica();
        let mut outcomes = BTreeMap::new();
        for step in steps {
            let before = replica.current().clone();
            let patch = next_patch(&replica, step);
            let answer = append(&mut replica, &patch);
            check_config(&replica);
            let first = outcomes.get(&patch.id).cloned();
            match (answer, first) {
                (PatchAnswer::First(PatchOutcome::Accepted { version }), None) => {
                    prop_assert_eq!(version, before.version.next());
                    prop_assert_eq!(patch.base_version, before.version);
                    prop_assert_eq!(replica.current().version, version);
                    outcomes.insert(patch.id, PatchOutcome::Accepted { version });
                }
                (PatchAnswer::First(outcome), None) => {
                    prop_assert_eq!(replica.current(), &before);
                    outcomes.insert(patch.id, outcome);
                }
                (PatchAnswer::Repeated(other) | PatchAnswer::Conflict { other }, Some(first)) => {
                    prop_assert_eq!(other, first);
                    prop_assert_eq!(replica.current(), &before);
                }
                (answer, first) => prop_assert!(false, "{:?} after {:?}", answer, first),
            }
        }
    }

    /// Two operators must not both be told that they changed the same version.
    #[test]
    fn of_two_patches_on_one_base_one_is_accepted(
        one in vec(operation(), 1..3),
        two in vec(operation(), 1..3),
    ) {
        let base = ready_replica();
        let version = base.current().version.get();
        let accepts = |replica: &mut ConfigReplica, id: &str, operations: &[PatchOperation]| {
            let answer = append(replica, &patch(id, version, operations.to_vec()));
            matches!(answer, PatchAnswer::First(PatchOutcome::Accepted { .. }))
        };
        let alone = [&one, &two].map(|operations| accepts(&mut base.clone(), "x", operations));
        let mut replica = base.clone();
        let both = [accepts(&mut replica, "one", &one), accepts(&mut replica, "two", &two)];
        prop_assert_eq!(both[0], alone[0]);
        prop_assert_eq!(both[1], alone[1] && !alone[0]);
    }

    /// A host that starts from a snapshot must agree with one that read all records.
    #[test]
    fn replay_from_a_snapshot_equals_replay(steps in vec(step(), 30), cut in 0..30_usize) {
        let mut whole = ready_replica();
        let mut restored: Option<ConfigReplica> = None;
        for (index, step) in steps.into_iter().enumerate() {
            if index == cut {
                let text = serde_json::to_vec(&whole.snapshot()).expect("snapshots serialise");
                let snapshot: ConfigSnapshot = serde_json::from_slice(&text).expect("it decodes");
                let replica = ConfigReplica::from_snapshot(snapshot);
                restored = Some(replica.expect("the snapshot is valid"));
            }
            let patch = next_patch(&whole, step);
            let answer = append(&mut whole, &patch);
            if let Some(restored) = &mut restored {
                prop_assert_eq!(append(restored, &patch), answer);
                prop_assert_eq!(restored.snapshot(), whole.snapshot());
            }
        }
    }

    /// Unknown bytes in the stream must neither stop a replica nor change its state.
    #[test]
    fn bytes_that_are_no_patch_change_only_the_offset(bytes in vec(any::<u8>(), 0..200)) {
        let mut replica = ready_replica();
        let before = replica.snapshot();
        let offset = replica.next_offset();
        prop_assert!(replica.apply(offset, &bytes).is_err());
        let mut after = replica.snapshot();
        prop_assert_eq!(after.next_offset, offset.next());
        after.next_offset = offset;
        prop_assert_eq!(after, before);
    }

    /// A truncated patch must not be applied in part.
    #[test]
    fn truncated_patch_changes_only_the_offset(cut in 0..300_usize) {
        let mut replica = ready_replica();
        let bytes = payload(&patch("p", 1, vec![set_team("b", 1), withdraw_key("ka")]));
        let before = replica.current().clone();
        let offset = replica.next_offset();
        let cut = cut.min(bytes.len() - 1);
        prop_assert!(replica.apply(offset, &bytes[..cut]).is_err());
        prop_assert_eq!(replica.current(), &before);
        prop_assert_eq!(replica.next_offset(), offset.next());
    }
}

//! Outcomes of patches, the history, and snapshots of the configuration.

use pimentochute_base::{ConfigVersion, LogOffset};
use pimentochute_state::{
    ConfigReplica, ConfigSnapshot, MAX_HISTORY, MAX_VERSIONS, PatchAnswer, PatchOutcome,
    RecordError,
};
use test_case::test_case;

use super::support::{
    append, change, grant_key, key, patch, patch_id, ready_replica, set_team, team, withdraw_key,
};

fn accepted(version: u64) -> PatchOutcome {
    PatchOutcome::Accepted {
        version: ConfigVersion::new(version),
    }
}

/// A repeated append of a patch must not take effect twice, and its author must
/// get the first outcome instead of a stale base.
#[test]
fn repeated_patch_has_its_first_outcome() {
    let mut replica = ready_replica();
    let one = patch("p", 1, vec![set_team("b", 1)]);
    let stale = patch("q", 1, vec![set_team("b", 2)]);
    assert_eq!(append(&mut replica, &one), PatchAnswer::First(accepted(2)));
    let PatchAnswer::First(rejected) = append(&mut replica, &stale) else {
        panic!("the patch is new");
    };
    change(&mut replica, "r", vec![set_team("b", 3)]).expect("the patch is valid");
    assert_eq!(
        append(&mut replica, &one),
        PatchAnswer::Repeated(accepted(2))
    );
    let answer = append(&mut replica, &stale);
    assert_eq!(answer, PatchAnswer::Repeated(rejected));
    assert_eq!(replica.current().version.get(), 3);
    assert_eq!(replica.current().teams[&team("b")].share, 3);
}

/// The author of a different patch with a used identifier must not be told that
/// it was accepted.
#[test]
fn other_patch_with_a_used_id_is_a_conflict() {
    let mut replica = ready_replica();
    append(&mut replica, &patch("p", 1, vec![set_team("b", 1)]));
    let other = patch("p", 2, vec![set_team("c", 1)]);
    let conflict = PatchAnswer::Conflict { other: accepted(2) };
    assert_eq!(append(&mut replica, &other), conflict);
    assert_eq!(replica.answer(&other), Some(conflict));
    assert_eq!(replica.outcome(&patch_id("p")), Some(&accepted(2)));
    assert!(!replica.current().teams.contains_key(&team("c")));
}

#[test]
fn two_patches_on_one_base_have_one_winner() {
    let mut replica = ready_replica();
    let first = append(&mut replica, &patch("p", 1, vec![set_team("b", 1)]));
    let second = append(&mut replica, &patch("q", 1, vec![set_team("c", 1)]));
    assert_eq!(first, PatchAnswer::First(accepted(2)));
    assert!(matches!(
        second,
        PatchAnswer::First(PatchOutcome::Rejected { current, .. }) if current.get() == 2
    ));
}

#[test]
fn versions_and_history_are_bounded() {
    let mut replica = ready_replica();
    let last = MAX_HISTORY as u64 + 10;
    for version in 2..=last {
        let made = change(&mut replica, &format!("p{version}"), vec![set_team("b", 1)]);
        assert_eq!(made, Ok(version));
    }
    assert_eq!(replica.history().len(), MAX_HISTORY);
    assert_eq!(replica.outcome(&patch_id("setup")), None);
    let newest = patch_id(&format!("p{last}"));
    assert_eq!(replica.outcome(&newest), Some(&accepted(last)));
    let kept = last - MAX_VERSIONS as u64 + 1;
    for version in kept..=last {
        let config = replica.version(ConfigVersion::new(version));
        assert_eq!(config.map(|config| config.version.get()), Some(version));
    }
    assert!(replica.version(ConfigVersion::new(kept - 1)).is_none());
    let restored = ConfigReplica::from_snapshot(replica.snapshot()).expect("the snapshot is valid");
    assert_eq!(restored.outcome(&newest), Some(&accepted(last)));
}

/// A patch that is appended again after its eviction from the history must not
/// undo later changes.
#[test]
fn evicted_patch_is_stale_when_repeated() {
    let mut replica = ready_replica();
    let first = patch("first", 1, vec![set_team("a", 7)]);
    append(&mut replica, &first);
    for index in 0..=MAX_HISTORY {
        change(&mut replica, &format!("p{index}"), vec![set_team("a", 1)]).expect("valid patch");
    }
    assert_eq!(replica.outcome(&first.id), None);
    let PatchAnswer::First(PatchOutcome::Rejected { .. }) = append(&mut replica, &first) else {
        panic!("the patch is stale");
    };
    assert_eq!(replica.current().teams[&team("a")].share, 1);
}

#[test]
fn withdrawn_keys_survive_a_snapshot() {
    let mut replica = ready_replica();
    change(&mut replica, "w", vec![withdraw_key("ka")]).expect("the key exists");
    let mut restored = ConfigReplica::from_snapshot(replica.snapshot()).expect("valid snapshot");
    assert!(change(&mut restored, "g", vec![grant_key("ka", "a", "new")]).is_err());
}

/// A damaged snapshot must not become the configuration in force.
#[test_case(|s| s.config.teams.clear() ; "key of unknown team")]
#[test_case(|s| s.history.push(s.history[0].clone()) ; "patch twice")]
#[test_case(|s| s.retired_keys.push(key("ka")) ; "withdrawn key in force")]
#[test_case(|s| s.retired_keys = vec![key("x"), key("x")] ; "withdrawn key twice")]
fn contradictory_snapshot_is_refused(change: fn(&mut ConfigSnapshot)) {
    let mut snapshot = ready_replica().snapshot();
    ConfigReplica::from_snapshot(snapshot.clone()).expect("the snapshot is valid");
    change(&mut snapshot);
    assert!(ConfigReplica::from_snapshot(snapshot).is_err());
}

/// A reader that skips or repeats records must not change the state.
#[test]
fn offset_out_of_order_changes_nothing() {
    let mut replica = ready_replica();
    let before = replica.snapshot();
    let expected = replica.next_offset();
    for found in [0, 2].map(LogOffset::new) {
        let error = replica.apply(found, b"{}");
        assert_eq!(error, Err(RecordError::Offset { expected, found }));
    }
    assert_eq!(replica.snapshot(), before);
}

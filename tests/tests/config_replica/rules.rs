//! The rules by which patches are rejected.

use pimentochute_base::WorkKind;
use pimentochute_state::{
    ConfigReplica, MAX_OPERATIONS, PatchAnswer, PatchOperation, PatchOutcome, RejectReason,
};
use test_case::test_case;

use super::support::{
    append, change, grant_key, key, patch, queue, queue_config, ready_replica, remove_team,
    set_queue, set_team, team, withdraw_key,
};

fn queue_operation(kind: WorkKind, teams: &[&str], service: Option<&str>) -> PatchOperation {
    PatchOperation::SetQueue {
        queue: queue("q"),
        config: queue_config(kind, teams, service),
    }
}

#[test_case(vec![], "the patch has no operation" ; "no operation")]
#[test_case(vec![set_team("b", 1); MAX_OPERATIONS + 1], "the patch has 257 operations" ; "too many operations")]
#[test_case(vec![set_team("b", 0)], "team b has a share out of range" ; "no share")]
#[test_case(vec![remove_team("b")], "team b does not exist" ; "remove unknown team")]
#[test_case(vec![remove_team("a")], "team a is still named" ; "remove team in use")]
#[test_case(vec![withdraw_key("ka"), remove_team("a")], "team a is still named" ; "remove team of a queue")]
#[test_case(vec![grant_key("kb", "b", "s")], "team b does not exist" ; "key of unknown team")]
#[test_case(vec![grant_key("ka", "a", "s")], "key id ka was used before" ; "key id in use")]
#[test_case(vec![withdraw_key("ka"), grant_key("ka", "a", "s")], "key id ka was used before" ; "key id withdrawn")]
#[test_case(vec![grant_key("kb", "a", "secret-a")], "key kb has the secret of another key" ; "secret in use")]
#[test_case(vec![withdraw_key("kb")], "key kb does not exist" ; "withdraw unknown key")]
#[test_case(vec![set_queue("q", &[])], "queue q has no valid list" ; "queue without team")]
#[test_case(vec![set_queue("q", &["a", "a"])], "queue q has no valid list" ; "queue with team twice")]
#[test_case(vec![set_queue("q", &["b"])], "team b does not exist" ; "queue of unknown team")]
#[test_case(vec![queue_operation(WorkKind::Batch, &["a"], Some("s"))], "queue q does not match" ; "batch with service")]
#[test_case(vec![queue_operation(WorkKind::Request, &["a"], None)], "queue q does not match" ; "requests without service")]
#[test_case(vec![PatchOperation::RemoveQueue { queue: queue("q") }], "queue q does not exist" ; "remove unknown queue")]
fn operation_is_rejected(operations: Vec<PatchOperation>, message: &str) {
    let mut replica = ready_replica();
    let before = replica.current().clone();
    let reason = change(&mut replica, "p", operations).expect_err("the patch is not valid");
    assert!(reason.to_string().starts_with(message), "{reason}");
    assert!(reason.to_string().contains("hint: "));
    assert_eq!(*replica.current(), before);
}

/// A patch with an invalid operation must not take effect in part.
#[test]
fn patch_with_one_bad_operation_changes_nothing() {
    let mut replica = ready_replica();
    let operations = vec![set_team("b", 1), withdraw_key("ka"), remove_team("c")];
    let reason = change(&mut replica, "p", operations);
    let team_name = team("c");
    assert_eq!(reason, Err(RejectReason::UnknownTeam { team: team_name }));
    assert_eq!(replica.current().version.get(), 1);
    assert!(!replica.current().teams.contains_key(&team("b")));
    assert!(replica.current().keys.contains_key(&key("ka")));
}

/// The identifier of a withdrawn key must not be granted to someone else.
#[test]
fn withdrawn_key_id_is_not_granted_again() {
    let mut replica = ready_replica();
    change(&mut replica, "withdraw", vec![withdraw_key("ka")]).expect("the key exists");
    let again = change(&mut replica, "grant", vec![grant_key("ka", "a", "new")]);
    assert_eq!(again, Err(RejectReason::DuplicateKey { key: key("ka") }));
}

/// Two operators must not overwrite each other's changes.
#[test_case(0 ; "older base")]
#[test_case(2 ; "future base")]
fn patch_against_another_version_is_stale(base: u64) {
    let mut replica = ready_replica();
    let patch = patch("p", base, vec![set_team("b", 1)]);
    let PatchAnswer::First(PatchOutcome::Rejected { current, reason }) =
        append(&mut replica, &patch)
    else {
        panic!("the patch is stale");
    };
    assert_eq!(current.get(), 1);
    assert!(matches!(reason, RejectReason::StaleBase { .. }));
}

#[test_case(String::new() ; "empty")]
#[test_case("x".repeat(129) ; "too long")]
#[test_case("a\nb".to_owned() ; "control character")]
fn author_is_rejected(author: String) {
    let mut replica = ready_replica();
    let mut bad = patch("p", 1, vec![set_team("b", 1)]);
    bad.author = author;
    let PatchAnswer::First(PatchOutcome::Rejected { reason, .. }) = append(&mut replica, &bad)
    else {
        panic!("the author is not valid");
    };
    assert_eq!(reason, RejectReason::BadAuthor);
    let kept = replica.history().last().map(|entry| entry.author.len());
    assert_eq!(kept, Some(0), "an invalid author is not retained");
}

/// The number of teams must be bounded.
#[test]
fn too_many_teams_are_rejected() {
    let mut replica = ConfigReplica::new();
    let mut outcome = Ok(0);
    for group in 0..=pimentochute_state::MAX_TEAMS / 200 {
        let teams = (0..200).map(|index| set_team(&format!("t{group}-{index}"), 1));
        outcome = change(&mut replica, &format!("p{group}"), teams.collect());
    }
    assert_eq!(outcome, Err(RejectReason::TooManyTeams));
}

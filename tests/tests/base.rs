//! Tests of the base types.

use pimentochute_base::{
    IdempotencyKey, JobId, KeyDigest, MilliClock, MilliSpan, MilliTime, ResourceAmount, TeamName,
    rendezvous_choice,
};
use test_case::test_case;

#[test_case("" ; "empty")]
#[test_case("a b" ; "space")]
#[test_case("a/b" ; "slash")]
#[test_case("ä" ; "not ascii")]
#[test_case(&"x".repeat(64) ; "too long")]
fn invalid_name_is_refused(text: &str) {
    assert!(TeamName::new(text).is_err());
}

/// Guards against two hosts deriving different identifiers from one submission.
#[test]
fn job_id_is_stable_and_round_trips() {
    let team = TeamName::new("print").expect("valid name");
    let key = IdempotencyKey::new("order-17").expect("valid key");
    let id = JobId::new(&team, &key);
    assert_eq!(id.to_string().parse::<JobId>(), Ok(id));
    assert_eq!(id, JobId::new(&team, &key));
}

/// Guards against (team "a", key "bc") and (team "ab", key "c") colliding.
#[test]
fn job_id_separates_team_and_key() {
    let id = |team: &str, key: &str| {
        let team = TeamName::new(team).expect("valid name");
        JobId::new(&team, &IdempotencyKey::new(key).expect("valid key"))
    };
    assert_ne!(id("a", "bc"), id("ab", "c"));
}

#[test]
fn digest_never_prints_its_bytes() {
    let digest = KeyDigest::of("secret");
    assert_eq!(format!("{digest:?}"), "KeyDigest(..)");
    let text = String::from(digest);
    assert_eq!(KeyDigest::try_from(text), Ok(digest));
}

#[test]
fn manual_clock_moves_only_when_advanced() {
    let clock = MilliClock::manual(MilliTime::new(5));
    let shared = clock.clone();
    clock.advance(MilliSpan::new(7));
    assert_eq!(shared.now(), MilliTime::new(12));
}

/// Guards against a check that compares only the processor time.
#[test]
fn amount_fits_only_if_each_part_fits() {
    let available = ResourceAmount::new(4000, 8192);
    assert!(ResourceAmount::new(4000, 8192).fits_within(&available));
    assert!(!ResourceAmount::new(1, 8193).fits_within(&available));
    assert!(
        !ResourceAmount::new(1, 1)
            .with_accelerators(1)
            .fits_within(&available)
    );
}

/// Guards against items of the remaining candidates moving when one is removed.
#[test]
fn rendezvous_moves_only_items_of_the_lost_candidate() {
    let all = ["h1", "h2", "h3", "h4"];
    let rest = ["h1", "h2", "h4"];
    for item in (0..200).map(|index| format!("slice-{index}")) {
        let before = rendezvous_choice(&item, &all);
        let after = rendezvous_choice(&item, &rest);
        assert!(before == Some("h3") || before == after);
    }
}

/// Guards against a sum that wraps around because of one impossible amount.
#[test]
fn sums_of_resources_saturate() {
    let largest = ResourceAmount::new(u64::MAX, u64::MAX).with_accelerators(u64::MAX);
    let sum: ResourceAmount = [largest, ResourceAmount::new(1, 1)].into_iter().sum();
    assert_eq!(sum, largest);
}

//! When a host suspects the owner of the cell to have failed.

use pimentochute_base::{EpochNumber, MilliTime};
use pimentochute_edge::{FailureDetector, OwnerVerdict, PeerObservation};
use test_case::test_case;

use OwnerVerdict::{Answers, NoPeerAnswers, OthersReachIt, Suspect, Unclear};
use PeerObservation::{NoAnswer, Reachable, Unreachable};

const OWNER: EpochNumber = EpochNumber::new(3);

/// Returns a detector that has just recorded an answer of the owner.
fn healthy_detector() -> FailureDetector {
    let mut detector = FailureDetector::new();
    assert_eq!(
        detector.record_call(OWNER, true, &[], MilliTime::new(1)),
        Answers
    );
    detector
}

#[test_case(&[Unreachable, Unreachable, Unreachable], Suspect; "nobody reaches it")]
#[test_case(&[Unreachable, NoAnswer, NoAnswer], Suspect; "one that answers does not reach it")]
#[test_case(&[], Suspect; "there is nobody to ask")]
#[test_case(&[Reachable, Unreachable, Unreachable], OthersReachIt; "one reaches it")]
#[test_case(&[Reachable, NoAnswer, NoAnswer], OthersReachIt; "the only one that answers reaches it")]
#[test_case(&[NoAnswer, NoAnswer, NoAnswer], NoPeerAnswers; "nobody answers")]
fn the_second_unanswered_call_is_decided_by_what_peers_observe(
    observations: &[PeerObservation],
    verdict: OwnerVerdict,
) {
    let mut detector = healthy_detector();
    let first = detector.record_call(OWNER, false, &[], MilliTime::new(10));
    assert_eq!(first, Unclear);
    assert!(detector.has_missed_calls());
    let second = detector.record_call(OWNER, false, observations, MilliTime::new(20));
    assert_eq!(second, verdict);
    let since = (verdict == Suspect).then_some(MilliTime::new(20));
    assert_eq!(detector.suspected_since(OWNER), since);
}

#[test]
fn a_suspicion_starts_once_and_ends_when_any_host_reaches_the_owner() {
    let mut detector = healthy_detector();
    for at in [10, 20, 30, 40] {
        detector.record_call(OWNER, false, &[Unreachable], MilliTime::new(at));
    }
    assert_eq!(detector.suspected_since(OWNER), Some(MilliTime::new(20)));
    detector.record_call(OWNER, false, &[Reachable], MilliTime::new(50));
    assert_eq!(detector.suspected_since(OWNER), None);
    detector.record_call(OWNER, false, &[Unreachable], MilliTime::new(60));
    assert_eq!(detector.suspected_since(OWNER), Some(MilliTime::new(60)));
    detector.record_call(OWNER, true, &[], MilliTime::new(70));
    assert_eq!(detector.suspected_since(OWNER), None);
    assert!(!detector.has_missed_calls());
}

#[test]
fn a_new_owner_is_not_suspected_for_calls_that_its_predecessor_missed() {
    let mut detector = healthy_detector();
    detector.record_call(OWNER, false, &[Unreachable], MilliTime::new(10));
    detector.record_call(OWNER, false, &[Unreachable], MilliTime::new(20));
    let next = OWNER.next();
    assert_eq!(detector.suspected_since(next), None);
    detector.clear();
    assert_eq!(detector.suspected_since(OWNER), None);
}

#[test]
fn a_host_that_has_just_started_decides_after_one_unanswered_call() {
    let mut detector = FailureDetector::new();
    assert!(detector.has_missed_calls());
    let verdict = detector.record_call(OWNER, false, &[Unreachable], MilliTime::new(10));
    assert_eq!(verdict, Suspect);
}

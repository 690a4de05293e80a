//! When a host holds the owner of the cell to be gone.

use pimentochute_base::{EpochNumber, MilliTime};
use pimentochute_edge::{OwnerOpinion, OwnerVerdict, OwnerWatch};
use test_case::test_case;

use OwnerOpinion::{Silent, Unheard, Works};
use OwnerVerdict::{Answers, CutOff, OthersReachIt, Suspect, Unclear};

const OWNER: EpochNumber = EpochNumber::new(3);

/// Returns a watch whose host got answers until now.
fn calm() -> OwnerWatch {
    let mut watch = OwnerWatch::new();
    assert_eq!(watch.note(OWNER, true, &[], MilliTime::new(1)), Answers);
    watch
}

#[test_case(&[Silent, Silent, Silent], Suspect; "nobody reaches it")]
#[test_case(&[Silent, Unheard, Unheard], Suspect; "one that answers does not reach it")]
#[test_case(&[], Suspect; "there is nobody to ask")]
#[test_case(&[Works, Silent, Silent], OthersReachIt; "one reaches it")]
#[test_case(&[Works, Unheard, Unheard], OthersReachIt; "the only one that answers reaches it")]
#[test_case(&[Unheard, Unheard, Unheard], CutOff; "nobody answers")]
fn the_second_missed_call_decides_by_what_others_see(
    opinions: &[OwnerOpinion],
    verdict: OwnerVerdict,
) {
    let mut watch = calm();
    let first = watch.note(OWNER, false, &[], MilliTime::new(10));
    assert_eq!(first, Unclear);
    assert!(watch.is_doubtful());
    let second = watch.note(OWNER, false, opinions, MilliTime::new(20));
    assert_eq!(second, verdict);
    let since = (verdict == Suspect).then_some(MilliTime::new(20));
    assert_eq!(watch.suspected_since(OWNER), since);
}

#[test]
fn a_suspicion_lasts_from_its_beginning_until_someone_reaches_the_owner() {
    let mut watch = calm();
    for at in [10, 20, 30, 40] {
        watch.note(OWNER, false, &[Silent], MilliTime::new(at));
    }
    assert_eq!(watch.suspected_since(OWNER), Some(MilliTime::new(20)));
    watch.note(OWNER, false, &[Works], MilliTime::new(50));
    assert_eq!(watch.suspected_since(OWNER), None);
    watch.note(OWNER, false, &[Silent], MilliTime::new(60));
    assert_eq!(watch.suspected_since(OWNER), Some(MilliTime::new(60)));
    watch.note(OWNER, true, &[], MilliTime::new(70));
    assert_eq!(watch.suspected_since(OWNER), None);
    assert!(!watch.is_doubtful());
}

#[test]
fn a_new_owner_is_not_suspected_for_the_silence_of_the_one_before() {
    let mut watch = calm();
    watch.note(OWNER, false, &[Silent], MilliTime::new(10));
    watch.note(OWNER, false, &[Silent], MilliTime::new(20));
    let next = OWNER.next();
    assert_eq!(watch.suspected_since(next), None);
    watch.clear();
    assert_eq!(watch.suspected_since(OWNER), None);
}

#[test]
fn a_host_that_starts_decides_after_its_first_missed_call() {
    let mut watch = OwnerWatch::new();
    assert!(watch.is_doubtful());
    let verdict = watch.note(OWNER, false, &[Silent], MilliTime::new(10));
    assert_eq!(verdict, Suspect);
}

//! Inconsistent and damaged snapshots.

use pimentochute_base::{WorkKind, WorkerIncarnation};
use pimentochute_state::{CellReplica, CellSnapshot, SnapshotError};
use proptest::prelude::*;
use test_case::test_case;

use super::invariants;
use super::support::{CellDriver, job_spec, placement};

fn valid_snapshot() -> CellSnapshot {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 2));
    driver.place(job, &[placement(0, 1, "w1")]);
    let ended = driver.submit(&job_spec("b", "k", WorkKind::Batch, 1));
    driver.valid(driver.cancelled(ended));
    driver.replica.snapshot()
}

/// An inconsistent snapshot must not become the state of a cell.
#[test_case(|s| s.slices.clear() ; "no slice")]
#[test_case(|s| s.teams.clear() ; "no team")]
#[test_case(|s| s.teams.push(s.teams[0].clone()) ; "team twice")]
#[test_case(|s| s.workers.push(s.workers[0].clone()) ; "worker twice")]
#[test_case(|s| s.workers.clear() ; "placement on an unknown worker")]
#[test_case(|s| s.workers[0].lost = true ; "placement on a lost worker")]
#[test_case(|s| s.workers[0].incarnation = WorkerIncarnation::new(9) ; "placement on another incarnation")]
#[test_case(|s| s.active.push(s.active[0].clone()) ; "job twice")]
#[test_case(|s| s.active.append(&mut s.ended) ; "ended job among the active ones")]
#[test_case(|s| s.active[0].succeeded = 1 ; "wrong count")]
#[test_case(|s| s.active[0].tasks.truncate(1) ; "missing task")]
#[test_case(|s| s.active[0].broken = Some(pimentochute_state::EndReason::Failed) ; "broken batch")]
#[test_case(|s| s.next_number = 0 ; "next number in use")]
fn contradictory_snapshot_is_refused(change: fn(&mut CellSnapshot)) {
    let mut snapshot = valid_snapshot();
    CellReplica::from_snapshot(snapshot.clone()).expect("the snapshot is valid");
    change(&mut snapshot);
    let result: Result<CellReplica, SnapshotError> = CellReplica::from_snapshot(snapshot);
    assert!(result.is_err());
}

proptest! {
    /// A damaged snapshot must not make the process panic.
    #[test]
    fn changed_snapshot_is_refused_or_valid(position in 0..4_000_usize, byte in any::<u8>()) {
        let mut bytes = serde_json::to_vec(&valid_snapshot()).expect("snapshots serialise");
        let position = position % bytes.len();
        bytes[position] = byte;
        let decoded = serde_json::from_slice::<CellSnapshot>(&bytes);
        if let Ok(Ok(replica)) = decoded.map(CellReplica::from_snapshot) {
            invariants::check(&replica);
        }
    }
}

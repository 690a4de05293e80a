//! The conditions of a valid placement; slices and allotments.

use pimentochute_base::{DataCentreName, EpochNumber, SliceIndex, TeamName, WorkKind};
use pimentochute_state::{
    CellRecord, EndReason, InvalidReason, TaskPlacement, WorkerHealth, allotment, slice_of,
};
use proptest::prelude::*;
use test_case::test_case;

use super::support::{CellDriver, SLICES, allotted, claimed, job_spec, placement, team, worker};

#[test_case(&[], "no task is named" ; "no task")]
#[test_case(&[placement(2, 1, "w1")], "task 2 does not exist" ; "unknown task")]
#[test_case(&[placement(0, 1, "w1"), placement(0, 1, "w2")], "task 0 is named twice" ; "task twice")]
#[test_case(&[placement(0, 2, "w1")], "the attempt of task 0 is not the next" ; "wrong attempt")]
#[test_case(&[placement(0, 1, "w9")], "worker w9 is not known" ; "unknown worker")]
#[test_case(&[placement(0, 1, "gone")], "worker gone is lost" ; "lost worker")]
#[test_case(&[placement(0, 1, "leaving")], "worker leaving is leaving" ; "leaving worker")]
#[test_case(&[placement(0, 1, "sick"), placement(1, 1, "sick")], "worker sick is quarantined" ; "two probes")]
#[test_case(&[placement(0, 1, "small"), placement(1, 1, "small")], "worker small has too few free resources" ; "too few resources")]
fn placement_is_invalid(tasks: &[TaskPlacement], message: &str) {
    let mut driver = CellDriver::ready();
    for (name, cpu) in [
        ("gone", 2_000),
        ("leaving", 2_000),
        ("sick", 2_000),
        ("small", 1_999),
    ] {
        driver.valid(super::support::seen(name, 1, cpu));
    }
    driver.valid(driver.lost("gone"));
    driver.set_health("leaving", WorkerHealth::Leaving);
    driver.set_health("sick", WorkerHealth::Quarantined);
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 2));
    let reason = driver.invalid(driver.placed(job, tasks));
    assert!(reason.to_string().starts_with(message), "{reason}");
}

/// The sum of demands near the largest number must not wrap around.
#[test]
fn sum_of_demands_does_not_overflow() {
    let mut driver = CellDriver::ready();
    driver.valid(super::support::seen("w4", 1, u64::MAX));
    let mut spec = job_spec("a", "k", WorkKind::Batch, 2);
    spec.demand.cpu_millis = u64::MAX;
    let job = driver.submit(&spec);
    let both = [placement(0, 1, "w4"), placement(1, 1, "w4")];
    let reason = driver.invalid(driver.placed(job, &both));
    assert!(matches!(
        reason,
        InvalidReason::InsufficientResources { .. }
    ));
    driver.place(job, &both[..1]);
    let reason = driver.invalid(driver.placed(job, &both[1..]));
    assert!(matches!(
        reason,
        InvalidReason::InsufficientResources { .. }
    ));
}

/// A placement on an older incarnation of a worker must be invalid.
#[test]
fn placement_on_another_incarnation_is_invalid() {
    let mut driver = CellDriver::ready();
    driver.valid(super::support::seen("w1", 2, 2_000));
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 1));
    let reason = driver.invalid(driver.placed(job, &[placement(0, 1, "w1")]));
    let worker = worker("w1");
    assert_eq!(reason, InvalidReason::OtherIncarnation { worker });
}

/// A quarantined worker must get a probe task, and only one at a time.
#[test]
fn quarantined_worker_takes_one_task() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 2));
    driver.set_health("w1", WorkerHealth::Quarantined);
    driver.place(job, &[placement(0, 1, "w1")]);
    let reason = driver.invalid(driver.placed(job, &[placement(1, 1, "w1")]));
    assert!(matches!(reason, InvalidReason::WorkerQuarantined { .. }));
}

/// A competing record must not place a task a second time.
#[test]
fn placed_task_is_not_placed_again() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 1));
    driver.place(job, &[placement(0, 1, "w1")]);
    let reason = driver.invalid(driver.placed(job, &[placement(0, 1, "w2")]));
    assert!(matches!(reason, InvalidReason::TaskNotWaiting { .. }));
}

fn placed_under(driver: &CellDriver, slice: u16, epoch: u64) -> CellRecord {
    CellRecord::TasksPlaced {
        job: job_spec("a", "k", WorkKind::Batch, 1).id,
        slice: SliceIndex::new(slice),
        epoch: EpochNumber::new(epoch),
        tasks: vec![placement(0, 1, "w1")],
        at: driver.at(),
    }
}

/// Placements of a host that was paused while another one took over its slice
/// must be invalid.
#[test]
fn placement_needs_the_epoch_of_the_teams_slice() {
    let mut driver = CellDriver::ready();
    driver.submit(&job_spec("a", "k", WorkKind::Batch, 1));
    let slice = slice_of(&team("a"), SLICES).get();
    let record = placed_under(&driver, 1 - slice, 1);
    let reason = driver.invalid(record);
    assert!(matches!(reason, InvalidReason::WrongSlice { .. }));
    driver.valid(claimed(slice, 2));
    let reason = driver.invalid(placed_under(&driver, slice, 1));
    let current = EpochNumber::new(2);
    assert_eq!(reason, InvalidReason::StaleEpoch { current });
    driver.valid(CellRecord::SliceReleased {
        slice: SliceIndex::new(slice),
        epoch: current,
    });
    let reason = driver.invalid(placed_under(&driver, slice, 2));
    assert_eq!(reason, InvalidReason::SliceNotOwned);
    driver.valid(claimed(slice, 3));
    driver.valid(placed_under(&driver, slice, 3));
}

/// Two hosts must not both own a slice.
#[test_case(1 ; "the epoch in force")]
#[test_case(3 ; "an epoch too far ahead")]
fn claim_needs_the_next_epoch(epoch: u64) {
    let mut driver = CellDriver::ready();
    let reason = driver.invalid(claimed(0, epoch));
    let current = EpochNumber::new(1);
    assert_eq!(reason, InvalidReason::EpochTaken { current });
    assert_eq!(
        driver.invalid(claimed(SLICES, 1)),
        InvalidReason::UnknownSlice
    );
}

/// A late release must not free the slice of the next owner.
#[test]
fn release_needs_the_epoch() {
    let mut driver = CellDriver::ready();
    driver.valid(claimed(0, 2));
    let release = |epoch| CellRecord::SliceReleased {
        slice: SliceIndex::new(0),
        epoch: EpochNumber::new(epoch),
    };
    let reason = driver.invalid(release(1));
    assert!(matches!(reason, InvalidReason::StaleEpoch { .. }));
    driver.valid(release(2));
    assert_eq!(driver.invalid(release(2)), InvalidReason::SliceNotOwned);
}

/// A team must not have more live tasks than its allotment.
#[test]
fn placement_stays_within_the_allotment() {
    let mut driver = CellDriver::ready();
    driver.valid(allotted("a", 2, 2));
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 3));
    let all = [
        placement(0, 1, "w1"),
        placement(1, 1, "w1"),
        placement(2, 1, "w2"),
    ];
    let reason = driver.invalid(driver.placed(job, &all));
    let over = InvalidReason::OverAllotment {
        running: 0,
        allotment: 2,
    };
    assert_eq!(reason, over);
    driver.place(job, &all[..2]);
    driver.valid(allotted("a", 3, 1));
    driver.end(job, 0, 1, EndReason::Succeeded);
    let reason = driver.invalid(driver.placed(job, &all[2..]));
    assert!(matches!(reason, InvalidReason::OverAllotment { .. }));
    driver.end(job, 1, 1, EndReason::Succeeded);
    driver.place(job, &all[2..]);
}

/// A late record must not reinstate the allotment of an older configuration.
#[test]
fn allotment_needs_a_newer_version() {
    let mut driver = CellDriver::ready();
    driver.valid(allotted("a", 5, 2));
    for version in [4, 5] {
        let reason = driver.invalid(allotted("a", version, 9));
        assert!(matches!(reason, InvalidReason::OldVersion { .. }));
    }
    assert_eq!(
        driver.replica.team(&team("a")).map(|team| team.allotment),
        Some(2)
    );
}

/// A team without an allotment must not run anything.
#[test]
fn team_without_an_allotment_runs_nothing() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("new", "k", WorkKind::Batch, 1));
    let reason = driver.invalid(driver.placed(job, &[placement(0, 1, "w1")]));
    assert!(matches!(reason, InvalidReason::OverAllotment { .. }));
}

fn data_centres(count: u32) -> Vec<DataCentreName> {
    let names = (0..count).map(|index| DataCentreName::new(&format!("dc{index}")));
    names.collect::<Result<_, _>>().expect("valid names")
}

proptest! {
    /// The parts must add up to the limit, and to at most the larger of two limits
    /// while data centres adopt a change.
    #[test]
    fn allotments_add_up_and_grow_with_the_limit(
        limits in (0..2_000_u32, 0..2_000_u32),
        count in 1..13_u32,
        name in "[a-z]{1,8}",
        adopted in any::<u16>(),
    ) {
        let team = TeamName::new(&name).expect("valid name");
        let centres = data_centres(count);
        let (old, new) = limits;
        let part = |limit, centre| allotment(limit, &team, &centres, centre);
        prop_assert_eq!(centres.iter().map(|centre| part(old, centre)).sum::<u32>(), old);
        let mixed: u32 = centres.iter().enumerate().map(|(index, centre)| {
            part(if adopted >> index & 1 == 1 { new } else { old }, centre)
        }).sum();
        prop_assert!(mixed <= old.max(new));
    }
}

/// Hosts whose settings list the data centres in different orders must agree.
#[test]
fn allotment_does_not_depend_on_the_order_of_data_centres() {
    let centres = data_centres(5);
    let reversed: Vec<_> = centres.iter().rev().cloned().collect();
    for centre in &centres {
        let forward = allotment(7, &team("a"), &centres, centre);
        assert_eq!(forward, allotment(7, &team("a"), &reversed, centre));
    }
    let other = DataCentreName::new("other").expect("valid name");
    assert_eq!(allotment(7, &team("a"), &centres, &other), 0);
}

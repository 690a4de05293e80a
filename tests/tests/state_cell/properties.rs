//! Properties that hold for random histories of records.

use std::collections::BTreeMap;

use pimentochute_base::{LogOffset, WorkKind};
use pimentochute_state::{
    CellEffect, CellRecord, CellReplica, CellSnapshot, InvalidReason, RecordBatch, RecordError,
    StampedRecord, TaskPhase, WorkerHealth,
};
use proptest::collection::vec;
use proptest::prelude::*;

use super::actions::{CellAction, action_teams, cell_action, record_of};
use super::invariants;
use super::support::{CellDriver, SLICES, job_spec, placement};

/// The number of actions of a history.
const ACTIONS: usize = 120;

fn payload(record: &StampedRecord) -> Vec<u8> {
    let records = vec![record.clone()];
    serde_json::to_vec(&RecordBatch { records }).expect("records serialise")
}

/// Applies the records of actions to a ready cell and calls `each` after every one
/// with the driver, the replica before, the record and whether it was valid.
fn apply_actions(
    actions: &[CellAction],
    mut each: impl FnMut(&CellDriver, &CellReplica, &StampedRecord, bool),
) {
    let mut driver = CellDriver::ready();
    let mut earlier: Vec<StampedRecord> = Vec::new();
    for step in actions {
        let Some(record) = record_of(&mut driver, step, &earlier) else {
            continue;
        };
        let before = driver.replica.clone();
        let valid = driver.append(record.clone()).effect.is_ok();
        each(&driver, &before, &record, valid);
        earlier.push(record);
    }
}

/// Applies the records of actions to a ready cell and returns their payloads.
fn payloads(actions: &[CellAction]) -> Vec<Vec<u8>> {
    let mut payloads = Vec::new();
    apply_actions(actions, |_, _, record, _| payloads.push(payload(record)));
    payloads
}

fn apply_all(replica: &mut CellReplica, payloads: &[Vec<u8>]) {
    for payload in payloads {
        let offset = replica.next_offset();
        replica.apply(offset, payload).expect("the batch decodes");
    }
}

/// Checks that no placement exceeds a worker's capacity or a team's allotment.
/// Earlier placements may exceed one that was lowered since.
fn check_capacity(before: &CellReplica, after: &CellReplica) {
    for worker in after.workers() {
        let old = before.worker(&worker.name).map(|worker| worker.committed);
        let grew = !worker.committed.fits_within(&old.unwrap_or_default());
        let fits = worker.committed.fits_within(&worker.capacity);
        assert!(!grew || fits, "{} is over its capacity", worker.name);
    }
    for team in action_teams() {
        let old = before.team(&team).map_or(0, |team| team.live);
        let new = after.team(&team).expect("known team");
        let within = new.live <= old || new.live <= new.allotment;
        assert!(within, "{team} is over its allotment");
    }
}

/// Checks the conditions of a valid placement, apart from those of
/// [`check_capacity`].
fn check_placement(before: &CellReplica, record: &CellRecord) {
    let CellRecord::TasksPlaced {
        job,
        slice,
        epoch,
        tasks,
        ..
    } = record
    else {
        return;
    };
    let job = before.job(*job).expect("the job is known");
    assert!(!job.has_ended() && !job.is_stopping(), "the job is active");
    assert_eq!(*slice, before.slice_of(&job.spec.team));
    let owned = before.slice(*slice).expect("the slice exists");
    assert!(
        owned.epoch == *epoch && owned.owner.is_some(),
        "stale epoch"
    );
    let whole = tasks.len() == job.tasks.len();
    assert!(job.spec.kind != WorkKind::Gang || whole, "part of a gang");
    for placement in tasks {
        let task = job.task(placement.task).expect("the task exists");
        let next =
            matches!(task.phase, TaskPhase::Waiting { next, .. } if next == placement.attempt);
        assert!(next, "task {} does not wait", placement.task);
        let worker = before.worker(&placement.worker).expect("known worker");
        assert_eq!(worker.incarnation, placement.incarnation);
        assert!(!worker.lost && worker.health != WorkerHealth::Leaving);
        let given = tasks.iter().filter(|other| other.worker == worker.name);
        let sum = worker.placements.len() + given.count();
        assert!(worker.health == WorkerHealth::Healthy || sum == 1, "probe");
    }
}

/// Checks that versions, epochs and times do not decrease.
fn check_monotonic(before: &CellReplica, after: &CellReplica) {
    for team in action_teams() {
        let version = |replica: &CellReplica| replica.team(&team).map(|team| team.version);
        assert!(version(after) >= version(before));
    }
    for slice in (0..SLICES).map(pimentochute_base::SliceIndex::new) {
        let epoch = |replica: &CellReplica| replica.slice(slice).map(|slice| slice.epoch);
        assert!(epoch(after) >= epoch(before));
    }
    assert!(after.latest_time() >= before.latest_time());
}

/// Checks that a task's attempt numbers go up one by one and that a live attempt
/// is never moved.
fn check_attempts(
    attempts: &mut BTreeMap<(pimentochute_base::JobId, u32), u32>,
    before: &CellReplica,
    after: &CellReplica,
) {
    for job in after.jobs() {
        for (task, state) in job.indexed_tasks() {
            let key = (job.spec.id, task.get());
            let last = state.phase.last_attempt().get();
            let known = attempts.insert(key, last).unwrap_or(0);
            assert!(last == known || last == known + 1, "attempts of {key:?}");
            let old = before.job(job.spec.id).and_then(|job| job.task(task));
            let place = state.phase.placement();
            let moved = old.and_then(|old| old.phase.placement()).zip(place);
            assert!(moved.is_none_or(|(old, new)| old == new), "{key:?} moved");
        }
    }
}

proptest! {
    /// No history breaks points 1, 2 or 5 of the design or makes a count differ
    /// from what it counts.
    #[test]
    fn every_history_keeps_the_invariants(actions in vec(cell_action(), ACTIONS)) {
        let mut attempts = BTreeMap::new();
        apply_actions(&actions, |driver, before, record, valid| {
            invariants::check(&driver.replica);
            check_capacity(before, &driver.replica);
            check_monotonic(before, &driver.replica);
            if valid {
                check_placement(before, &record.record);
            }
            check_attempts(&mut attempts, before, &driver.replica);
        });
    }

    /// Hosts that read the same records must agree.
    #[test]
    fn replicas_of_the_same_records_are_equal(actions in vec(cell_action(), ACTIONS)) {
        let payloads = payloads(&actions);
        let (mut one, mut two) = (CellDriver::ready().replica, CellDriver::ready().replica);
        apply_all(&mut one, &payloads);
        apply_all(&mut two, &payloads);
        prop_assert_eq!(one.snapshot(), two.snapshot());
    }

    /// A host that starts from a snapshot must agree with the others on the state
    /// and on the outcome of each record.
    #[test]
    fn replay_from_a_snapshot_equals_replay(
        actions in vec(cell_action(), ACTIONS),
        cut in 0..ACTIONS,
    ) {
        let payloads = payloads(&actions);
        let mut whole = CellDriver::ready().replica;
        let cut = cut.min(payloads.len());
        apply_all(&mut whole, &payloads[..cut]);
        let text = serde_json::to_vec(&whole.snapshot()).expect("snapshots serialise");
        let snapshot: CellSnapshot = serde_json::from_slice(&text).expect("snapshots decode");
        let mut restored = CellReplica::from_snapshot(snapshot).expect("the snapshot is valid");
        invariants::check(&restored);
        for payload in &payloads[cut..] {
            let offset = whole.next_offset();
            prop_assert_eq!(restored.apply(offset, payload), whole.apply(offset, payload));
        }
        prop_assert_eq!(restored.snapshot(), whole.snapshot());
        invariants::check(&restored);
    }

    /// A record whose append is repeated must not take effect twice.
    #[test]
    fn repeated_records_change_nothing(actions in vec(cell_action(), ACTIONS), picks in vec(0..ACTIONS, 4)) {
        let mut records = Vec::new();
        let mut driver = CellDriver::ready();
        apply_actions(&actions, |after, _, record, _| {
            driver = after.clone();
            records.push(record.clone());
        });
        let before = driver.replica.snapshot();
        for pick in picks.into_iter().filter(|_| !records.is_empty()) {
            let outcome = driver.append(records[pick % records.len()].clone());
            prop_assert_eq!(outcome.effect, Err(InvalidReason::RepeatedRecord));
        }
        let mut after = driver.replica.snapshot();
        after.next_offset = before.next_offset;
        after.writers.clone_from(&before.writers);
        prop_assert_eq!(after, before);
    }

    /// Unknown bytes in the stream must neither stop a replica nor change its state.
    #[test]
    fn bytes_that_are_no_batch_change_only_the_offset(bytes in vec(any::<u8>(), 0..200)) {
        let mut driver = CellDriver::ready();
        let before = driver.replica.snapshot();
        let error = driver.append_bytes(&bytes).expect_err("random bytes are no batch");
        prop_assert!(matches!(error, RecordError::Malformed { .. }), "{:?}", error);
        let mut after = driver.replica.snapshot();
        prop_assert_eq!(after.next_offset, before.next_offset.next());
        after.next_offset = before.next_offset;
        prop_assert_eq!(after, before);
    }

    /// A damaged batch must not be applied in part.
    #[test]
    fn truncated_or_changed_batch_is_applied_whole_or_not_at_all(
        cut in 0..400_usize,
        byte in any::<u8>(),
    ) {
        let mut driver = CellDriver::ready();
        let spec = job_spec("a", "k", WorkKind::Batch, 2);
        let at = driver.at();
        let submitted = CellRecord::JobSubmitted { spec: spec.clone(), at };
        let records = vec![driver.stamp(submitted)];
        let mut bytes = serde_json::to_vec(&RecordBatch { records }).expect("records serialise");
        let cut = cut.min(bytes.len() - 1);
        let result = driver.clone().append_bytes(&bytes[..cut]);
        prop_assert!(result.is_err(), "cut at {}", cut);
        bytes[cut] = byte;
        if driver.append_bytes(&bytes).is_err() {
            prop_assert!(driver.replica.job(spec.id).is_none());
        }
        invariants::check(&driver.replica);
    }
}

/// A reader that skips or repeats records must not change the state.
#[test]
fn offset_out_of_order_changes_nothing() {
    let mut replica = CellReplica::new(SLICES);
    replica
        .apply(LogOffset::new(0), b"{\"records\":[]}")
        .expect("the batch decodes");
    for found in [0, 2].map(LogOffset::new) {
        let expected = LogOffset::new(1);
        let error = replica.apply(found, b"{\"records\":[]}");
        assert_eq!(error, Err(RecordError::Offset { expected, found }));
        assert_eq!(replica.next_offset(), expected);
    }
}

/// A payload above the limit must not be decoded, since it could take any amount
/// of memory.
#[test]
fn overlong_payload_is_not_decoded() {
    let mut driver = CellDriver::ready();
    let bytes = vec![b' '; pimentochute_state::MAX_PAYLOAD_BYTES + 1];
    let error = driver.append_bytes(&bytes);
    assert_eq!(error, Err(RecordError::TooLong { len: bytes.len() }));
}

/// Consumers that follow the effects must learn of every placement.
#[test]
fn placement_effect_names_its_tasks() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 1));
    let tasks = vec![placement(0, 1, "w1")];
    let effect = driver.valid(driver.placed(job, &tasks));
    assert_eq!(effect, CellEffect::TasksPlaced { job, tasks });
}

//! Tests of the leases, epochs and capacity of a worker, with a manual clock.

use pimentochute_base::{
    AttemptNumber, AttemptRef, EpochNumber, HostIncarnation, HostName, IdempotencyKey, JobId,
    MilliClock, MilliSpan, MilliTime, RackName, ResourceAmount, TaskIndex, TeamName,
    WorkerIncarnation, WorkerName,
};
use pimentochute_platform::{
    ControlRequest, StartOrder, TaskStatus, WorkerControl, WorkerError, WorkerTarget,
};
use pimentochute_standins::{TaskCommand, WorkerModel};
use pimentochute_tests::FakeWorkerFleet;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const CONTROL_LEASE: MilliSpan = MilliSpan::new(6_000);
const TASK_LEASE: MilliSpan = MilliSpan::new(20_000);
const CAPACITY: ResourceAmount = ResourceAmount::new(4_000, 8_192);

fn attempt(task: u32) -> AttemptRef {
    let team = TeamName::new("print").expect("valid name");
    let key = IdempotencyKey::new("order").expect("valid key");
    AttemptRef {
        job: JobId::new(&team, &key),
        task: TaskIndex::new(task),
        attempt: AttemptNumber::new(1),
    }
}

fn order(task: u32, command: &str) -> StartOrder {
    StartOrder {
        attempt: attempt(task),
        incarnation: WorkerIncarnation::new(1),
        demand: ResourceAmount::new(1_000, 1_024),
        command: command.to_owned(),
        lease: TASK_LEASE,
    }
}

fn request(holder: &str) -> ControlRequest {
    ControlRequest {
        holder: HostName::new(holder).expect("valid name"),
        incarnation: HostIncarnation::new(1),
        lease: CONTROL_LEASE,
    }
}

fn machine() -> WorkerModel {
    let rack = RackName::new("r1").expect("valid name");
    WorkerModel::new(rack, CAPACITY, WorkerIncarnation::new(1))
}

fn at(millis: u64) -> MilliTime {
    MilliTime::new(millis)
}

fn status_of(machine: &mut WorkerModel, task: u32, now: u64) -> Option<TaskStatus> {
    let report = machine.report(at(now));
    let found = report
        .tasks
        .iter()
        .find(|found| found.attempt == attempt(task));
    found.map(|found| found.status)
}

/// Guards against a task that outlives its lease, and against a renewal that extends
/// the leases of other tasks.
#[test]
fn task_expires_exactly_at_the_end_of_its_lease() {
    let mut machine = machine();
    let epoch = machine.acquire(&request("h1"), at(0)).expect("free").epoch;
    for task in [1, 2] {
        machine
            .start(epoch, &order(task, "forever"), at(0))
            .expect("enough free resources");
    }
    machine
        .renew(epoch, &[attempt(1)], CONTROL_LEASE, TASK_LEASE, at(5_000))
        .expect("in force");
    assert_eq!(
        status_of(&mut machine, 2, 19_999),
        Some(TaskStatus::Running)
    );
    assert_eq!(
        status_of(&mut machine, 2, 20_000),
        Some(TaskStatus::Expired)
    );
    assert_eq!(
        status_of(&mut machine, 1, 24_999),
        Some(TaskStatus::Running)
    );
    assert_eq!(
        status_of(&mut machine, 1, 90_000),
        Some(TaskStatus::Expired)
    );
    let ends = &machine.ledger(at(90_000)).entries[2..];
    assert_eq!(ends[0].at, at(20_000));
    assert_eq!(ends[1].at, at(25_000));
}

/// Guards against a holder whose commands take effect after its lease has expired.
#[test]
fn expired_control_is_refused_and_another_host_gets_the_next_epoch() {
    let mut machine = machine();
    let first = machine.acquire(&request("h1"), at(0)).expect("free").epoch;
    let held = machine.acquire(&request("h2"), at(5_999));
    assert!(matches!(held, Err(WorkerError::Held { holder }) if holder.as_str() == "h1"));
    let late = machine.start(first, &order(1, "forever"), at(6_000));
    assert!(matches!(late, Err(WorkerError::StaleEpoch)));
    let second = machine
        .acquire(&request("h2"), at(6_000))
        .expect("expired")
        .epoch;
    assert!(second > first);
    let old = machine.renew(first, &[], CONTROL_LEASE, TASK_LEASE, at(6_001));
    assert!(matches!(old, Err(WorkerError::StaleEpoch)));
    assert!(machine.ledger(at(6_001)).entries.is_empty());
}

/// Guards against an epoch that is accepted after it was released.
#[test]
fn released_control_is_free_at_once_under_a_new_epoch() {
    let mut machine = machine();
    let first = machine.acquire(&request("h1"), at(0)).expect("free").epoch;
    machine.release(first, at(1)).expect("in force");
    let stale = machine.start(first, &order(1, "forever"), at(1));
    assert!(matches!(stale, Err(WorkerError::StaleEpoch)));
    let second = machine.acquire(&request("h2"), at(1)).expect("free").epoch;
    assert!(second > first);
}

/// Guards against overcommitment, and against a repeated order that starts the task
/// again or reserves its resources twice.
#[test]
fn order_beyond_capacity_is_refused_and_a_repeated_one_changes_nothing() {
    let mut machine = machine();
    let epoch = machine.acquire(&request("h1"), at(0)).expect("free").epoch;
    for task in [1, 2, 3, 4, 4] {
        machine
            .start(epoch, &order(task, "run 100"), at(0))
            .expect("enough free resources");
    }
    let full = machine.start(epoch, &order(5, "run 100"), at(99));
    assert!(matches!(full, Err(WorkerError::InsufficientResources)));
    machine
        .start(epoch, &order(5, "run 100"), at(100))
        .expect("enough free resources");
    let ledger = machine.ledger(at(100));
    assert_eq!((ledger.refused_orders, ledger.capacity_violations), (1, 0));
    assert_eq!(ledger.entries.len(), 4 + 4 + 1);
}

/// Guards against an outcome that is dropped before the manager has recorded it.
#[test]
fn ended_task_is_reported_until_it_is_forgotten() {
    let mut machine = machine();
    let epoch = machine.acquire(&request("h1"), at(0)).expect("free").epoch;
    machine
        .start(epoch, &order(1, "run 10"), at(0))
        .expect("enough free resources");
    machine
        .start(epoch, &order(2, "forever"), at(0))
        .expect("enough free resources");
    assert_eq!(status_of(&mut machine, 1, 11), Some(TaskStatus::Succeeded));
    let both = [attempt(1), attempt(2)];
    machine.forget(epoch, &both, at(12)).expect("in force");
    assert_eq!(status_of(&mut machine, 1, 12), None);
    assert_eq!(status_of(&mut machine, 2, 12), Some(TaskStatus::Running));
}

/// Guards against a stop that ends a task within its grace time.
#[test_case("run 50", 60, TaskStatus::Succeeded ; "ends by itself within the grace time")]
#[test_case("run 500", 99, TaskStatus::Running ; "runs until the grace time is over")]
#[test_case("run 500", 100, TaskStatus::Stopped ; "is stopped after the grace time")]
fn stop_leaves_the_grace_time(command: &str, now: u64, expected: TaskStatus) {
    let mut machine = machine();
    let epoch = machine.acquire(&request("h1"), at(0)).expect("free").epoch;
    machine
        .start(epoch, &order(1, command), at(0))
        .expect("enough free resources");
    machine
        .stop(epoch, attempt(1), MilliSpan::new(100), at(0))
        .expect("in force");
    assert_eq!(status_of(&mut machine, 1, now), Some(expected));
}

/// Guards against an order that takes effect on a later incarnation of the worker.
#[test]
fn restarted_worker_refuses_orders_for_its_earlier_incarnation() {
    let mut machine = machine();
    let epoch = machine.acquire(&request("h1"), at(0)).expect("free").epoch;
    machine
        .start(epoch, &order(1, "forever"), at(0))
        .expect("enough free resources");
    machine.restart(at(10));
    let epoch = machine.acquire(&request("h1"), at(11)).expect("free").epoch;
    let refused = machine.start(epoch, &order(2, "forever"), at(11));
    assert!(matches!(refused, Err(WorkerError::OtherIncarnation)));
    assert!(machine.report(at(11)).tasks.is_empty());
}

#[test_case("run 7", TaskCommand::Run(MilliSpan::new(7)))]
#[test_case("fail 7", TaskCommand::Fail(MilliSpan::new(7)))]
#[test_case("forever", TaskCommand::Forever)]
#[test_case("run", TaskCommand::Malformed)]
#[test_case("run 7 8", TaskCommand::Malformed)]
#[test_case("run -7", TaskCommand::Malformed)]
#[test_case("sh -c true", TaskCommand::Malformed)]
fn command_text_is_parsed(text: &str, expected: TaskCommand) {
    assert_eq!(TaskCommand::new(text), expected);
}

fn fleet() -> (MilliClock, FakeWorkerFleet, WorkerTarget) {
    let clock = MilliClock::manual(MilliTime::ZERO);
    let fleet = FakeWorkerFleet::new(clock.clone());
    let name = WorkerName::new("w1").expect("valid name");
    let target = fleet.add(name, RackName::new("r1").expect("valid name"), CAPACITY);
    (clock, fleet, target)
}

/// Guards against a delayed command that takes effect after the manager has
/// acquired control again.
#[tokio::test]
async fn delayed_command_is_fenced_by_a_new_epoch() {
    let (_clock, fleet, target) = fleet();
    let first = fleet
        .acquire(&target, request("h1"))
        .await
        .expect("free")
        .epoch;
    fleet.set_holds_commands(&target.name, true);
    let sent = fleet.start(&target, first, order(1, "forever")).await;
    assert!(matches!(sent, Err(WorkerError::OutcomeUnknown { .. })));
    fleet.set_holds_commands(&target.name, false);
    fleet
        .acquire(&target, request("h1"))
        .await
        .expect("own lease");
    fleet.deliver_held(&target.name);
    assert!(fleet.ledger(&target.name).entries.is_empty());
}

/// Guards against a fake in which a command whose answer is lost has no effect, or
/// one to a disconnected worker has one.
#[tokio::test]
async fn lost_answer_has_an_effect_and_a_cut_has_none() {
    let (_clock, fleet, target) = fleet();
    let other = fleet.new_link();
    let epoch = fleet
        .acquire(&target, request("h1"))
        .await
        .expect("free")
        .epoch;
    fleet.set_cut(&target.name, true);
    let cut = fleet.start(&target, epoch, order(1, "forever")).await;
    assert!(matches!(cut, Err(WorkerError::NoEffect { .. })));
    fleet.set_loses_answers(&target.name, true);
    let lost = other.start(&target, epoch, order(2, "forever")).await;
    assert!(matches!(lost, Err(WorkerError::OutcomeUnknown { .. })));
    let entries = fleet.ledger(&target.name).entries;
    assert_eq!(
        entries
            .iter()
            .map(|entry| entry.attempt)
            .collect::<Vec<_>>(),
        [attempt(2)]
    );
}

#[tokio::test]
async fn worker_that_fails_all_ends_each_start_at_once() {
    let (_clock, fleet, target) = fleet();
    let epoch = fleet
        .acquire(&target, request("h1"))
        .await
        .expect("free")
        .epoch;
    fleet.set_fails_all(&target.name, true);
    fleet
        .start(&target, epoch, order(1, "forever"))
        .await
        .expect("enough free resources");
    let report = fleet.report(&target.name).expect("known worker");
    assert_eq!(report.tasks[0].status, TaskStatus::Failed);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against a sequence of commands that overcommits the worker or starts an
    /// attempt twice.
    #[test]
    fn no_sequence_of_commands_overcommits(
        steps in prop::collection::vec((0u8..8, 0u32..8, 0u64..4_000, 0u64..8), 1..80),
    ) {
        let mut machine = machine();
        let mut now = at(0);
        let mut granted = EpochNumber::new(0);
        for (kind, task, span, behind) in steps {
            now = now + MilliSpan::new(span);
            let behind = u64::from(behind == 7);
            let epoch = EpochNumber::new(granted.get().saturating_sub(behind));
            let grace = MilliSpan::new(span);
            match kind {
                0 => {
                    let holder = if task < 4 { "h1" } else { "h2" };
                    let grant = machine.acquire(&request(holder), now);
                    granted = grant.map_or(granted, |grant| grant.epoch);
                }
                1 => drop(machine.start(epoch, &order(task, &format!("run {span}")), now)),
                2 => drop(machine.stop(epoch, attempt(task), grace, now)),
                3 => drop(machine.renew(epoch, &[attempt(task)], grace, grace, now)),
                _ => drop(machine.start(epoch, &order(task, "forever"), now)),
            }
        }
        let ledger = machine.ledger(now).clone();
        prop_assert_eq!(ledger.capacity_violations, 0);
        prop_assert!(ledger.entries.iter().all(|entry| entry.committed.fits_within(&CAPACITY)));
        prop_assert!(ledger.entries.is_sorted_by_key(|entry| entry.at));
        for task in 0..8 {
            let starts = ledger.entries.iter().filter(|entry| {
                entry.attempt == attempt(task) && entry.status == TaskStatus::Running
            });
            prop_assert!(starts.count() <= 1);
        }
    }
}

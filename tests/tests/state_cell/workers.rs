//! Workers that restart, are lost or come back, and repeated records.

use pimentochute_base::{WorkKind, WorkerIncarnation};
use pimentochute_state::{CellEffect, CellRecord, EndReason, InvalidReason, TaskPhase};

use super::support::{
    CellDriver, WORKER_CPU, attempt_ref, job_spec, placement, seen, seen_under, worker,
};

/// Tasks on an older incarnation of a worker must not keep their resources.
#[test]
fn new_incarnation_ends_the_tasks_of_the_older_one() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 1));
    driver.place(job, &[placement(0, 1, "w1")]);
    let CellEffect::WorkerSeen { expired, .. } = driver.valid(seen("w1", 2, WORKER_CPU)) else {
        panic!("the worker was seen");
    };
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].0, attempt_ref(job, 0, 1));
    assert_eq!(driver.waiting(job, 0).map(|(next, _)| next), Some(2));
    assert!(driver.job(job).tasks[0].failed_on.is_empty());
}

/// A late record of an earlier incarnation must not end the tasks of the present
/// one, which would place them a second time.
#[test]
fn earlier_incarnation_is_not_brought_back() {
    let mut driver = CellDriver::ready();
    driver.valid(seen("w1", 2, WORKER_CPU));
    let worker = worker("w1");
    let reason = driver.invalid(seen("w1", 1, WORKER_CPU));
    assert_eq!(reason, InvalidReason::OtherIncarnation { worker });
    let reason = driver.invalid(driver.lost("w1"));
    assert!(matches!(reason, InvalidReason::OtherIncarnation { .. }));
}

#[test]
fn lost_worker_ends_its_tasks_and_can_come_back() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 2));
    driver.place(job, &[placement(0, 1, "w1"), placement(1, 1, "w2")]);
    driver.valid(driver.lost("w1"));
    assert!(driver.waiting(job, 0).is_some());
    assert!(matches!(driver.phase(job, 1), TaskPhase::Placed { .. }));
    let reason = driver.invalid(driver.lost("w1"));
    assert!(matches!(reason, InvalidReason::WorkerLost { .. }));
    driver.valid(seen_under("w1", 1, 2, WORKER_CPU));
    driver.place(job, &[placement(0, 2, "w1")]);
}

/// An append whose answer was lost is repeated late. If the worker has come back
/// in between, the second copy must not end its new task, which would be placed
/// a second time.
#[test]
fn loss_that_is_appended_twice_counts_once() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 1));
    let loss = driver.lost("w1");
    let loss = driver.stamp(loss);
    assert!(driver.append(loss.clone()).effect.is_ok());
    driver.valid(seen_under("w1", 1, 2, WORKER_CPU));
    driver.place(job, &[placement(0, 1, "w1")]);
    let outcome = driver.append(loss);
    assert_eq!(outcome.effect, Err(InvalidReason::RepeatedRecord));
    assert_eq!(driver.job(job).live, 1);
}

/// A placement that was found invalid, and so reported as "not run", must not
/// become valid when its record is appended a second time.
#[test]
fn invalid_record_stays_invalid_when_appended_twice() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 1));
    let record = driver.placed(job, &[placement(0, 1, "w4")]);
    let stamped = driver.stamp(record);
    assert!(driver.append(stamped.clone()).effect.is_err());
    driver.valid(seen("w4", 1, WORKER_CPU));
    let outcome = driver.append(stamped);
    assert_eq!(outcome.effect, Err(InvalidReason::RepeatedRecord));
}

/// Records of a host must not be dropped when its appends overtake each other on
/// different paths.
#[test]
fn overtaken_record_still_counts() {
    let mut driver = CellDriver::empty();
    let first = driver.stamp(seen("w1", 1, WORKER_CPU));
    let second = driver.stamp(seen("w2", 1, WORKER_CPU));
    let outcomes = driver.append_batch(vec![second.clone(), first.clone(), first, second]);
    let valid: Vec<bool> = outcomes.iter().map(|o| o.effect.is_ok()).collect();
    assert_eq!(valid, [true, true, false, false]);
}

/// A worker whose capacity shrank must not be filled up to the former capacity.
#[test]
fn shrunk_worker_gets_nothing_until_its_tasks_fit() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 3));
    driver.place(job, &[placement(0, 1, "w1"), placement(1, 1, "w1")]);
    driver.valid(seen_under("w1", 1, 2, 1_000));
    driver.end(job, 0, 1, EndReason::Succeeded);
    let record = driver.placed(job, &[placement(2, 1, "w1")]);
    assert!(matches!(
        driver.invalid(record.clone()),
        InvalidReason::InsufficientResources { .. }
    ));
    driver.end(job, 1, 1, EndReason::Succeeded);
    driver.valid(record);
}

/// One job that always fails, or tasks that were told to stop, must not make a
/// healthy worker look like one that fails every task.
#[test]
fn worker_remembers_different_jobs_that_failed_in_a_row() {
    let mut driver = CellDriver::ready();
    let failed = |driver: &CellDriver| {
        let worker = driver.replica.worker(&worker("w1"));
        worker.map(|worker| worker.failed_jobs.len())
    };
    let first = driver.submit(&job_spec("a", "k1", WorkKind::Batch, 1));
    for attempt in 1..=2 {
        driver.place(first, &[placement(0, attempt, "w1")]);
        driver.end(first, 0, attempt, EndReason::Failed);
    }
    assert_eq!(failed(&driver), Some(1));
    let second = driver.submit(&job_spec("a", "k2", WorkKind::Batch, 2));
    driver.place(second, &[placement(0, 1, "w1"), placement(1, 1, "w1")]);
    driver.end(second, 0, 1, EndReason::Failed);
    assert_eq!(failed(&driver), Some(2));
    driver.valid(driver.cancelled(second));
    driver.end(second, 1, 1, EndReason::Failed);
    assert_eq!(failed(&driver), Some(2));
    driver.place(first, &[placement(0, 3, "w1")]);
    driver.end(first, 0, 3, EndReason::Succeeded);
    assert_eq!(failed(&driver), Some(0));
}

#[test]
fn task_that_was_seen_running_has_started_once() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 1));
    driver.place(job, &[placement(0, 1, "w1")]);
    let started = |driver: &CellDriver, attempt| CellRecord::TaskStarted {
        attempt: attempt_ref(job, 0, attempt),
        at: driver.at(),
    };
    let reason = driver.invalid(started(&driver, 2));
    assert_eq!(reason, InvalidReason::AttemptNotLive);
    driver.valid(started(&driver, 1));
    let incarnation = driver.phase(job, 0).placement().map(|(_, _, run)| run);
    assert_eq!(incarnation, Some(WorkerIncarnation::new(1)));
    let reason = driver.invalid(started(&driver, 1));
    assert_eq!(reason, InvalidReason::AlreadyStarted);
}

/// A manager that was paused and has lost control must not end an attempt that
/// the next manager has started: the task would be placed a second time while
/// it runs.
#[test]
fn end_under_an_older_epoch_is_ignored() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 1));
    driver.place(job, &[placement(0, 1, "w1")]);
    let late = driver.ended(job, 0, 1, EndReason::RefusedByWorker);
    driver.valid(seen_under("w1", 1, 2, WORKER_CPU));
    let reason = driver.invalid(late);
    assert!(matches!(reason, InvalidReason::StaleControl { .. }));
    assert!(matches!(driver.phase(job, 0), TaskPhase::Placed { .. }));
    driver.end(job, 0, 1, EndReason::Succeeded);
}

/// A loss that was declared under an older epoch must not end the tasks of a
/// worker that has come back under another manager.
#[test]
fn loss_under_an_older_epoch_is_ignored() {
    let mut driver = CellDriver::ready();
    let late = driver.lost("w1");
    driver.valid(seen_under("w1", 1, 2, WORKER_CPU));
    let reason = driver.invalid(late);
    assert!(matches!(reason, InvalidReason::StaleControl { .. }));
}

/// A late record of an earlier manager must not replace the present one.
#[test]
fn older_epoch_of_a_worker_is_not_brought_back() {
    let mut driver = CellDriver::ready();
    driver.valid(seen_under("w1", 1, 3, WORKER_CPU));
    let reason = driver.invalid(seen_under("w1", 1, 2, WORKER_CPU));
    assert!(matches!(reason, InvalidReason::StaleControl { .. }));
}

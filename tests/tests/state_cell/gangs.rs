//! Gangs, whose tasks are placed and retried all together.

use pimentochute_base::{JobId, WorkKind};
use pimentochute_state::{
    CellEffect, EndReason, InvalidReason, JobOutcome, JobTransition, RefuseReason, TaskPhase,
};
use test_case::test_case;

use super::support::{CellDriver, job_spec, placement};

fn gang(driver: &mut CellDriver) -> JobId {
    driver.submit(&job_spec("a", "g", WorkKind::Gang, 3))
}

fn place_all(driver: &mut CellDriver, job: JobId, attempt: u32) {
    let tasks = [
        placement(0, attempt, "w1"),
        placement(1, attempt, "w2"),
        placement(2, attempt, "w3"),
    ];
    driver.place(job, &tasks);
}

fn transition(effect: &Result<CellEffect, InvalidReason>) -> Option<JobTransition> {
    match effect {
        Ok(CellEffect::TaskEnded { transition, .. }) => Some(*transition),
        _ => None,
    }
}

/// A gang must not start in part, which would hold workers to no use.
#[test]
fn part_of_a_gang_is_not_placed() {
    let mut driver = CellDriver::ready();
    let job = gang(&mut driver);
    let part = [placement(0, 1, "w1"), placement(1, 1, "w2")];
    let reason = driver.invalid(driver.placed(job, &part));
    assert_eq!(reason, InvalidReason::GangIncomplete { tasks: 3 });
}

/// A gang must not be placed in part if one of its tasks does not fit.
#[test]
fn gang_with_one_task_too_many_is_not_placed() {
    let mut driver = CellDriver::ready();
    let job = gang(&mut driver);
    let tasks = [0, 1, 2].map(|task| placement(task, 1, "w1"));
    let reason = driver.invalid(driver.placed(job, &tasks));
    assert!(matches!(
        reason,
        InvalidReason::InsufficientResources { .. }
    ));
    assert_eq!(driver.replica.live_tasks(), 0);
}

/// Tasks of a gang that succeeded must not run again while the others are still
/// running.
#[test]
fn gang_completes_when_its_last_task_succeeds() {
    let mut driver = CellDriver::ready();
    let job = gang(&mut driver);
    place_all(&mut driver, job, 1);
    for task in 0..2 {
        let outcome = driver.end(job, task, 1, EndReason::Succeeded);
        assert_eq!(transition(&outcome.effect), Some(JobTransition::TaskDone));
        assert!(!driver.job(job).is_stopping());
    }
    let outcome = driver.end(job, 2, 1, EndReason::Succeeded);
    assert_eq!(outcome.ended.as_slice(), [job]);
    assert_eq!(driver.job(job).outcome(), Some(JobOutcome::Succeeded));
}

/// A broken gang must not be placed again before all tasks of the attempt have
/// ended, and the next attempt must include those that succeeded.
#[test]
fn broken_gang_waits_for_all_ends_and_runs_again_as_a_whole() {
    let mut driver = CellDriver::ready();
    let job = gang(&mut driver);
    place_all(&mut driver, job, 1);
    driver.end(job, 0, 1, EndReason::Succeeded);
    let outcome = driver.end(job, 1, 1, EndReason::Failed);
    assert_eq!(transition(&outcome.effect), Some(JobTransition::GangBroken));
    assert!(driver.job(job).is_stopping());
    assert!((0..3).all(|task| driver.waiting(job, task).is_none()));
    let again = [0, 1, 2].map(|task| placement(task, 2, ["w1", "w2", "w3"][task as usize]));
    let reason = driver.invalid(driver.placed(job, &again));
    assert!(matches!(reason, InvalidReason::TaskNotWaiting { .. }));

    let outcome = driver.end(job, 2, 1, EndReason::Stopped);
    assert_eq!(transition(&outcome.effect), Some(JobTransition::GangRetry));
    assert!(!driver.job(job).is_stopping());
    assert!((0..3).all(|task| driver.waiting(job, task).is_some_and(|(next, _)| next == 2)));
    place_all(&mut driver, job, 2);
    (0..3).for_each(|task| drop(driver.end(job, task, 2, EndReason::Succeeded)));
    assert_eq!(driver.job(job).outcome(), Some(JobOutcome::Succeeded));
}

/// Tasks that fail because they were told to stop must not use up the gang's
/// attempts.
#[test]
fn broken_attempt_counts_once_by_its_first_end() {
    let mut driver = CellDriver::ready();
    let job = gang(&mut driver);
    for attempt in 1..=4 {
        place_all(&mut driver, job, attempt);
        driver.end(job, 0, attempt, EndReason::Expired);
        driver.end(job, 1, attempt, EndReason::Failed);
        driver.end(job, 2, attempt, EndReason::Failed);
        assert!(!driver.job(job).has_ended());
    }
    assert_eq!(driver.job(job).retries.failures, 0);
    assert!(driver.job(job).tasks[1].failed_on.is_empty());
}

#[test_case(EndReason::Failed ; "failed")]
#[test_case(EndReason::RefusedByWorker ; "refused")]
fn gang_ends_after_max_attempts(reason: EndReason) {
    let mut driver = CellDriver::ready();
    let job = gang(&mut driver);
    for attempt in 1..=3 {
        place_all(&mut driver, job, attempt);
        driver.end(job, 1, attempt, reason);
        driver.end(job, 0, attempt, EndReason::Stopped);
        driver.end(job, 2, attempt, EndReason::Stopped);
    }
    let refused = JobOutcome::Refused {
        reason: RefuseReason::AttemptsExhausted,
    };
    let outcome = driver.job(job).outcome().expect("the job has ended");
    assert_eq!(outcome == refused, reason == EndReason::RefusedByWorker);
    assert_eq!(driver.replica.live_tasks(), 0);
}

/// A gang whose tasks all end by the loss of one worker must be retried.
#[test]
fn gang_on_a_lost_worker_waits_again() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "g", WorkKind::Gang, 2));
    driver.place(job, &[placement(0, 1, "w1"), placement(1, 1, "w1")]);
    driver.valid(driver.lost("w1"));
    assert_eq!(driver.waiting(job, 0).map(|(next, _)| next), Some(2));
    assert_eq!(driver.waiting(job, 1).map(|(next, _)| next), Some(2));
}

/// A cancelled gang must not be retried.
#[test]
fn gang_cancelled_while_broken_ends() {
    let mut driver = CellDriver::ready();
    let job = gang(&mut driver);
    place_all(&mut driver, job, 1);
    driver.end(job, 0, 1, EndReason::Failed);
    driver.valid(driver.cancelled(job));
    driver.end(job, 1, 1, EndReason::Stopped);
    assert!(matches!(driver.phase(job, 2), TaskPhase::Placed { .. }));
    driver.end(job, 2, 1, EndReason::Succeeded);
    assert_eq!(driver.job(job).outcome(), Some(JobOutcome::Cancelled));
}

//! Submission, attempts, cancellation and refusal of jobs.

use pimentochute_base::{EpochNumber, JobId, ResourceAmount, TaskIndex, WorkKind};
use pimentochute_state::{
    CellEffect, CellRecord, EndReason, InvalidReason, JobOutcome, JobPhase, JobTransition,
    RefuseReason, slice_of,
};
use test_case::test_case;

use super::support::{CellDriver, SLICES, job_spec, placement, worker};

fn submitted(driver: &CellDriver, spec: pimentochute_state::JobSpec) -> CellRecord {
    CellRecord::JobSubmitted {
        spec,
        at: driver.at(),
    }
}

/// A repeated submission must not run the job twice.
#[test]
fn repeated_submission_is_told_from_a_conflict() {
    let mut driver = CellDriver::ready();
    let spec = job_spec("a", "k", WorkKind::Batch, 1);
    driver.submit(&spec);
    let reason = driver.invalid(submitted(&driver, spec.clone()));
    assert_eq!(reason, InvalidReason::RepeatedSubmission);

    let mut other = spec.clone();
    other.command = "other".to_owned();
    let reason = driver.invalid(submitted(&driver, other));
    assert_eq!(reason, InvalidReason::ConflictingSubmission);
}

/// A job that has ended, and whose command is cleared, must neither run again nor
/// be reported as a conflict when its submission is repeated.
#[test]
fn submission_repeated_after_the_end_is_still_a_repetition() {
    let mut driver = CellDriver::ready();
    let spec = job_spec("a", "k", WorkKind::Batch, 1);
    let job = driver.submit(&spec);
    driver.place(job, &[placement(0, 1, "w1")]);
    driver.end(job, 0, 1, EndReason::Succeeded);
    let reason = driver.invalid(submitted(&driver, spec.clone()));
    assert_eq!(reason, InvalidReason::RepeatedSubmission);
}

/// A change of the queue's priority or of the settings between a submission and
/// its repetition must not be reported as a conflict.
#[test]
fn repetition_with_other_daemon_fields_is_no_conflict() {
    let mut driver = CellDriver::ready();
    let spec = job_spec("a", "k", WorkKind::Batch, 1);
    driver.submit(&spec);
    let mut again = spec.clone();
    again.priority = pimentochute_base::PriorityClass::Bulk;
    again.max_attempts = 5;
    let reason = driver.invalid(submitted(&driver, again));
    assert_eq!(reason, InvalidReason::RepeatedSubmission);
}

#[test_case(|spec| spec.kind = WorkKind::Request ; "request")]
#[test_case(|spec| spec.tasks = 0 ; "no task")]
#[test_case(|spec| spec.tasks = 4_097 ; "too many tasks")]
#[test_case(|spec| spec.max_attempts = 0 ; "no attempt")]
#[test_case(|spec| spec.max_attempts = 17 ; "too many attempts")]
#[test_case(|spec| spec.command = "x".repeat(8_193) ; "long command")]
fn job_out_of_range_is_invalid(change: fn(&mut pimentochute_state::JobSpec)) {
    let mut driver = CellDriver::ready();
    let mut spec = job_spec("a", "k", WorkKind::Batch, 1);
    change(&mut spec);
    let reason = driver.invalid(submitted(&driver, spec));
    assert!(matches!(reason, InvalidReason::BadJob { .. }), "{reason:?}");
}

/// A job must not take the identifier of another team's job.
#[test]
fn job_with_a_foreign_id_is_invalid() {
    let mut driver = CellDriver::ready();
    let mut spec = job_spec("a", "k", WorkKind::Batch, 1);
    spec.id = job_spec("b", "k", WorkKind::Batch, 1).id;
    let reason = driver.invalid(submitted(&driver, spec));
    assert_eq!(reason, InvalidReason::WrongJobId);
}

/// A task that fails must not be retried without end, and the loss of a worker
/// must not count as a failure.
#[test]
fn batch_fails_after_max_attempts_and_losses_do_not_count() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 1));
    let ends = [
        EndReason::Failed,
        EndReason::Expired,
        EndReason::Expired,
        EndReason::Failed,
    ];
    for (attempt, reason) in (1..).zip(ends) {
        driver.place(job, &[placement(0, attempt, "w1")]);
        driver.end(job, 0, attempt, reason);
        assert_eq!(
            driver.waiting(job, 0).map(|(next, _)| next),
            Some(attempt + 1)
        );
    }
    assert_eq!(
        driver.job(job).tasks[0].failed_on.as_slice(),
        [worker("w1")]
    );
    driver.place(job, &[placement(0, 5, "w2")]);
    let outcome = driver.end(job, 0, 5, EndReason::Failed);
    assert_eq!(outcome.ended.as_slice(), [job]);
    let task = TaskIndex::new(0);
    let failed = JobOutcome::Failed { task, failures: 3 };
    assert_eq!(driver.job(job).outcome(), Some(failed));
}

/// A job that never ran must not be reported as one that ran and failed.
#[test]
fn batch_refused_on_every_attempt_is_refused() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 1));
    for attempt in 1..=3 {
        driver.place(job, &[placement(0, attempt, "w1")]);
        driver.end(job, 0, attempt, EndReason::RefusedByWorker);
    }
    let reason = RefuseReason::AttemptsExhausted;
    let refused = JobOutcome::Refused { reason };
    assert_eq!(driver.job(job).outcome(), Some(refused));
}

/// Waiting tasks of a failed batch must not start, and its live ones must end
/// before the job does.
#[test]
fn failed_batch_ends_its_waiting_tasks_and_stops_its_placed_ones() {
    let mut driver = CellDriver::ready();
    let mut spec = job_spec("a", "k", WorkKind::Batch, 3);
    spec.max_attempts = 1;
    let job = driver.submit(&spec);
    driver.place(job, &[placement(0, 1, "w1"), placement(1, 1, "w2")]);
    let outcome = driver.end(job, 0, 1, EndReason::Failed);
    assert!(matches!(
        outcome.effect,
        Ok(CellEffect::TaskEnded {
            transition: JobTransition::JobEnding,
            ..
        })
    ));
    assert!(driver.job(job).is_stopping());
    let reason = driver.invalid(driver.placed(job, &[placement(2, 1, "w3")]));
    assert_eq!(reason, InvalidReason::JobEnding);
    let outcome = driver.end(job, 1, 1, EndReason::Stopped);
    assert_eq!(outcome.ended.as_slice(), [job]);
    assert!(matches!(
        driver.job(job).outcome(),
        Some(JobOutcome::Failed { .. })
    ));
}

/// Waiting tasks of a cancelled job must not be placed, and the job must not end
/// while one of its tasks is live.
#[test]
fn cancelled_job_ends_with_its_last_placed_task() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 2));
    driver.place(job, &[placement(0, 1, "w1")]);
    driver.valid(driver.cancelled(job));
    assert!(driver.waiting(job, 1).is_none());
    assert!(!driver.job(job).has_ended());
    assert_eq!(
        driver.invalid(driver.cancelled(job)),
        InvalidReason::JobEnding
    );
    let outcome = driver.end(job, 0, 1, EndReason::Stopped);
    assert_eq!(outcome.ended.as_slice(), [job]);
    assert_eq!(driver.job(job).outcome(), Some(JobOutcome::Cancelled));
    assert_eq!(
        driver.invalid(driver.cancelled(job)),
        InvalidReason::JobEnded
    );
}

#[test]
fn waiting_job_ends_at_once_when_cancelled() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "k", WorkKind::Service, 2));
    let outcome = driver.outcome(driver.cancelled(job));
    assert_eq!(outcome.ended.as_slice(), [job]);
    assert_eq!(driver.job(job).outcome(), Some(JobOutcome::Cancelled));
}

/// Finished work must not be reported as cancelled, which would make the caller
/// run it again.
#[test]
fn cancelled_job_whose_tasks_all_succeed_has_succeeded() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 1));
    driver.place(job, &[placement(0, 1, "w1")]);
    driver.valid(driver.cancelled(job));
    driver.end(job, 0, 1, EndReason::Succeeded);
    assert_eq!(driver.job(job).outcome(), Some(JobOutcome::Succeeded));
}

/// A service task that exits must be replaced, with a growing delay if it exits
/// early.
#[test]
fn service_is_replaced_with_growing_delays() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "k", WorkKind::Service, 1));
    let mut delays = Vec::new();
    for attempt in 1..=9 {
        driver.place(job, &[placement(0, attempt, "w1")]);
        driver.end(job, 0, attempt, EndReason::Succeeded);
        let (next, not_before) = driver.waiting(job, 0).expect("the task waits");
        assert_eq!(next, attempt + 1);
        delays.push(not_before - driver.now);
    }
    assert_eq!(
        delays,
        [
            1_000, 2_000, 4_000, 8_000, 16_000, 32_000, 60_000, 60_000, 60_000
        ]
    );
    driver.place(job, &[placement(0, 10, "w1")]);
    driver.now += 60_000;
    driver.end(job, 0, 10, EndReason::Failed);
    let (_, not_before) = driver.waiting(job, 0).expect("the task waits");
    assert_eq!(
        not_before - driver.now,
        1_000,
        "a long run resets the delay"
    );
}

/// An end that is reported twice must count once.
#[test]
fn only_the_first_end_of_an_attempt_counts() {
    let mut driver = CellDriver::ready();
    let job = driver.submit(&job_spec("a", "k", WorkKind::Batch, 1));
    driver.place(job, &[placement(0, 1, "w1")]);
    driver.end(job, 0, 1, EndReason::Failed);
    let record = driver.ended(job, 0, 1, EndReason::Succeeded);
    assert_eq!(driver.invalid(record), InvalidReason::AttemptNotLive);
    driver.place(job, &[placement(0, 2, "w2")]);
    let record = driver.ended(job, 0, 1, EndReason::Succeeded);
    assert_eq!(driver.invalid(record), InvalidReason::AttemptNotLive);
    assert_eq!(driver.job(job).live, 1);
}

fn refused(driver: &CellDriver, job: JobId, epoch: u64) -> CellRecord {
    CellRecord::JobRefused {
        job,
        slice: slice_of(&driver.job(job).spec.team, SLICES),
        epoch: EpochNumber::new(epoch),
        reason: RefuseReason::TooLarge,
        at: driver.at(),
    }
}

/// A job must not be refused while it has live tasks, or by a host that no longer
/// owns the slice.
#[test]
fn refusal_needs_the_epoch_and_no_placed_task() {
    let mut driver = CellDriver::ready();
    let mut spec = job_spec("a", "k", WorkKind::Batch, 2);
    spec.demand = ResourceAmount::new(1_000, 10);
    let job = driver.submit(&spec);
    let reason = driver.invalid(refused(&driver, job, 2));
    assert!(matches!(reason, InvalidReason::StaleEpoch { .. }));
    driver.place(job, &[placement(0, 1, "w1")]);
    let reason = driver.invalid(refused(&driver, job, 1));
    assert_eq!(reason, InvalidReason::JobPlaced);
    driver.end(job, 0, 1, EndReason::Failed);
    driver.valid(refused(&driver, job, 1));
    assert!(matches!(
        driver.job(job).phase,
        JobPhase::Ended {
            outcome: JobOutcome::Refused {
                reason: RefuseReason::TooLarge
            },
            ..
        }
    ));
}

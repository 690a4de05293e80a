//! Eviction of ended jobs, lost workers and writers.

use pimentochute_base::{HostIncarnation, JobId, WorkKind};
use pimentochute_state::{CellRecord, InvalidReason, limits};

use super::support::{CellDriver, job_spec, seen, seen_under, worker};

fn end_jobs(driver: &mut CellDriver, prefix: &str, count: usize) -> Vec<JobId> {
    let jobs = (0..count).map(|index| {
        let job = driver.submit(&job_spec(
            "a",
            &format!("{prefix}{index}"),
            WorkKind::Batch,
            1,
        ));
        driver.valid(driver.cancelled(job));
        job
    });
    jobs.collect()
}

/// A host with a wrong clock must not evict recent jobs, whose repeated
/// submissions would then run again.
#[test]
fn old_ended_jobs_are_evicted_down_to_a_minimum() {
    let mut driver = CellDriver::ready();
    let jobs = end_jobs(&mut driver, "k", limits::MIN_ENDED_JOBS + 5);
    assert_eq!(driver.replica.jobs().count(), jobs.len());
    driver.now += limits::ENDED_JOB_RETENTION.as_millis() + 1;
    let spec = job_spec("b", "late", WorkKind::Batch, 1);
    let at = driver.at();
    let outcome = driver.outcome(CellRecord::JobSubmitted { spec, at });
    assert_eq!(outcome.evicted.as_slice(), &jobs[..5]);
    assert!(driver.replica.job(jobs[4]).is_none());
    assert!(driver.replica.job(jobs[5]).is_some());
}

#[test]
fn number_of_ended_jobs_is_bounded() {
    let mut driver = CellDriver::ready();
    let jobs = end_jobs(&mut driver, "k", limits::MAX_ENDED_JOBS + 1);
    assert!(driver.replica.job(jobs[0]).is_none());
    assert!(driver.replica.job(jobs[1]).is_some());
    assert_eq!(driver.replica.jobs().count(), limits::MAX_ENDED_JOBS);
}

/// Workers that are replaced every day must not fill the memory.
#[test]
fn number_of_lost_workers_is_bounded() {
    let mut driver = CellDriver::ready();
    for index in 0..=limits::MAX_LOST_WORKERS {
        let name = format!("old{index}");
        driver.valid(seen(&name, 1, 1_000));
        driver.valid(driver.lost(&name));
    }
    assert!(driver.replica.worker(&worker("old0")).is_none());
    assert!(driver.replica.worker(&worker("old1")).is_some());
}

/// A repeated record must have no effect after its tag has left the deduplication
/// window, and the window must not grow without bound above a missing record.
#[test]
fn records_behind_the_window_stay_repeated() {
    let mut driver = CellDriver::empty();
    let missing = driver.stamp(seen("w0", 1, 1_000));
    let first = driver.stamp(seen("w1", 1, 1_000));
    let mut records = vec![first.clone()];
    for index in 0..limits::MAX_DEDUP_WINDOW {
        records.push(driver.stamp(seen_under("w1", 1, 2 + index as u64, 1_000)));
    }
    let last = records[records.len() - 1].clone();
    for chunk in records.chunks(1_000) {
        let outcomes = driver.append_batch(chunk.to_vec());
        assert!(outcomes.iter().all(|outcome| outcome.effect.is_ok()));
    }
    for record in [first, last, missing] {
        let effect = driver.append(record).effect;
        assert_eq!(effect, Err(InvalidReason::RepeatedRecord));
    }
    let writers = driver.replica.snapshot().writers;
    assert!(writers.iter().all(|writer| writer.above.is_empty()));
}

/// Hosts that are replaced every day must not fill the memory.
#[test]
fn number_of_writers_is_bounded() {
    let mut driver = CellDriver::empty();
    for run in 0..=limits::MAX_WRITERS {
        let mut record = driver.stamp(seen("w1", 1, 1_000 + run as u64));
        record.tag.incarnation = HostIncarnation::new(run as u64);
        driver.append(record);
    }
    let writers = driver.replica.snapshot().writers;
    assert_eq!(writers.len(), limits::MAX_WRITERS);
    assert_eq!(writers[0].incarnation, HostIncarnation::new(1));
}

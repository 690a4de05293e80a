//! Workers whose capacity changes while they run.

mod work_support;

use pimentochute_base::ResourceAmount;
use pimentochute_work::{
    JobCode, JobProgress, ReplyKey, RunEnd, RunningRow, TaskPhase, TaskProgress, WorkerListing,
};
use test_case::test_case;
use work_support::{PLAIN, TestCell, ended, gang, job, report, running, submission};

/// Reports the capacity of the first worker.
fn report_capacity(test: &mut TestCell, cpu_millis: u64) {
    let mut report = report(0, cpu_millis);
    report.clock = test.now;
    test.cell.worker_reported(report);
}

/// Guards against a start that brings a worker over its capacity, which shrank between
/// the placement and the confirmation of its record.
#[test]
fn a_start_is_withheld_from_a_worker_whose_capacity_has_shrunk_since_the_placement() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    test.submit(1, PLAIN, job(2, 2_000));
    assert!(
        test.run_due_work().starts.is_empty(),
        "the record comes first"
    );
    report_capacity(&mut test, 2_000);
    let starts = test.record().starts;
    assert_eq!(starts.len(), 1, "one of the two tasks still fits");
    test.answer_starts(&starts);
    for _ in 0..20 {
        test.step(100);
        assert!(test.run_due_work().starts.is_empty());
        assert!(
            test.record().starts.is_empty(),
            "the other one does not fit"
        );
    }
    report_capacity(&mut test, 4_000);
    test.run_due_work();
    assert_eq!(test.record().starts.len(), 1, "it fits again");
}

/// Guards against a gang of which only a part starts, since the capacity of a worker
/// shrank after its members were placed.
#[test]
fn a_gang_does_not_start_in_part_when_the_capacity_of_its_worker_has_shrunk() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    test.submit(1, PLAIN, gang(2, 2_000));
    test.run_due_work();
    report_capacity(&mut test, 2_000);
    assert!(test.record().starts.is_empty(), "no member starts alone");
}

/// Guards against a start beside a run that is being stopped and still holds its
/// resources, on a worker whose capacity has shrunk.
#[test]
fn a_run_that_is_being_stopped_counts_until_its_worker_lists_its_end() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    test.submit(1, PLAIN, job(1, 3_000));
    test.run_due_work();
    let starts = test.record().starts;
    test.answer_starts(&starts);
    report_capacity(&mut test, 2_000);
    test.cell.cancel(JobCode::new(1), ReplyKey(1));
    let stops = test.record().stops;
    assert_eq!(stops.len(), 1);
    test.submit(2, PLAIN, job(1, 1_000));
    test.step(150);
    let poll = test.run_due_work().polls.remove(0);
    assert!(
        test.record().starts.is_empty(),
        "the stop has not ended the run"
    );
    let listing = WorkerListing {
        running: vec![running(&starts[0], 10)],
        ..WorkerListing::default()
    };
    test.answer_poll(&poll, listing);
    test.step(150);
    let poll = test.run_due_work().polls.remove(0);
    assert!(test.record().starts.is_empty(), "its worker still lists it");
    let listing = WorkerListing {
        ended: vec![ended(&starts[0], 1, RunEnd::Stopped)],
        ..WorkerListing::default()
    };
    test.answer_poll(&poll, listing);
    test.run_due_work();
    assert_eq!(test.record().starts.len(), 1, "its resources are free");
}

/// Guards against a worker that gets nothing any more after its capacity was zero for a
/// while.
#[test]
fn a_worker_without_capacity_gets_runs_again_once_it_has_some() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    let mut none = report(0, 0);
    none.capacity = ResourceAmount::ZERO;
    test.cell.worker_reported(none);
    test.submit(1, PLAIN, job(1, 1_000));
    test.run_due_work();
    assert!(test.record().starts.is_empty());
    report_capacity(&mut test, 4_000);
    test.run_due_work();
    assert_eq!(test.record().starts.len(), 1);
}

/// LIMIT: a new owner stopped a run that a former one had started for a task that was done
/// since, and started others in its room meanwhile.
#[test_case(1, 3_000; "of a task that is done")]
#[test_case(9, 1_000; "of a job that is not known")]
fn a_run_that_an_earlier_owner_has_left_takes_its_room_until_it_has_ended(
    listed_job: u64,
    cpu_millis: u64,
) {
    let mut test = TestCell::new(2);
    test.cell.worker_reported(report(0, 4_000));
    let code = JobCode::new(1);
    let now = test.now;
    test.cell
        .restore_submission(code, submission(PLAIN, job(2, cpu_millis), now));
    let done = TaskProgress {
        run: 2,
        phase: TaskPhase::Done,
        ..TaskProgress::default()
    };
    let progress = JobProgress {
        tasks: vec![done, TaskProgress::default()],
        ..JobProgress::default()
    };
    test.cell.restore_progress(code, progress);
    let left = RunningRow {
        task: format!("{}.0.0.0", JobCode::new(listed_job)),
        run: 2,
        checkpoint: String::new(),
        percent: 10,
    };
    let mut listing = WorkerListing {
        running: vec![left],
        ..WorkerListing::default()
    };
    let mut stops = 0;
    for _ in 0..20 {
        for poll in test.run_due_work().polls {
            test.answer_poll(&poll, listing.clone());
        }
        let effects = test.record();
        stops += effects.stops.len();
        assert_eq!(effects.starts, Vec::new(), "no room beside the run");
        test.step(50);
    }
    assert!(stops > 0, "the run is stopped");
    listing.running.clear();
    let mut starts = Vec::new();
    for _ in 0..10 {
        for poll in test.run_due_work().polls {
            test.answer_poll(&poll, listing.clone());
        }
        starts.extend(test.record().starts);
        test.step(50);
    }
    assert_eq!(starts.len(), 1, "the room is free once the run has ended");
}

//! Ends of runs that workers list: which of them are applied, and which of them the
//! worker may forget.

mod work_support;

use pimentochute_base::MilliSpan;
use pimentochute_work::{
    JobCode, JobStatus, OrderError, PollCommand, RunEnd, StartCommand, WorkerListing,
};
use work_support::{PLAIN, TestCell, TestEffects, ended, job};

/// Returns a cell with one worker and two runs that have started there.
fn cell_with_two_runs() -> (TestCell, Vec<StartCommand>) {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    test.submit(1, PLAIN, job(2, 1_000));
    test.run_due_work();
    let starts = test.record().starts;
    assert_eq!(starts.len(), 2);
    test.answer_starts(&starts);
    (test, starts)
}

fn next_poll(test: &mut TestCell) -> PollCommand {
    test.step(200);
    test.run_due_work().polls.remove(0)
}

/// Issue 37, TWICE: an end that a listing did not show in a readable form was acknowledged
/// with the ends after it, and its task ran again.
#[test]
fn an_unreadable_end_is_applied_once_it_can_be_read() {
    let (mut test, starts) = cell_with_two_runs();
    let rows = vec![
        ended(&starts[0], 1, RunEnd::Done),
        ended(&starts[1], 2, RunEnd::Done),
    ];
    let torn = WorkerListing {
        ended: rows[1..].to_vec(),
        unreadable_rows: 1,
        ..WorkerListing::default()
    };
    let poll = next_poll(&mut test);
    test.answer_poll(&poll, torn);
    test.record();
    let poll = next_poll(&mut test);
    assert_eq!(poll.last_recorded_end, 0);
    let whole = WorkerListing {
        ended: rows,
        ..WorkerListing::default()
    };
    test.answer_poll(&poll, whole);
    test.run_due_work();
    assert_eq!(test.record().starts, Vec::new());
    let status = test.cell.state(JobCode::new(1));
    assert_eq!(status, Some(JobStatus::Completed));
}

/// Issue 37, TWICE: the success of a run that was given up was dropped while the record of
/// the next placement was on its way to the log, and the start left after it.
#[test]
fn a_success_that_arrives_before_the_next_start_leaves_ends_the_task() {
    let mut test = TestCell::new(1);
    test.add_workers(2, 4_000);
    test.submit(1, PLAIN, job(1, 1_000));
    test.run_due_work();
    let start = test.record().starts.remove(0);
    test.answer_starts(std::slice::from_ref(&start));
    // The worker is out of reach until its lease has expired.
    let mut poll = None;
    for _ in 0..400 {
        test.step(50);
        for sent in test.run_due_work().polls {
            if sent.worker != start.worker {
                test.answer_poll(&sent, WorkerListing::default());
            } else if test.cell.has_records() {
                poll = Some(sent);
            } else {
                let lost = Err(OrderError::OutcomeUnknown);
                test.cell.poll_answered(&sent, lost);
            }
        }
        if poll.is_some() {
            break;
        }
    }
    let poll = poll.expect("the task is placed elsewhere");
    let late = WorkerListing {
        ended: vec![ended(&start, 1, RunEnd::Done)],
        ..WorkerListing::default()
    };
    test.answer_poll(&poll, late);
    assert_eq!(test.record().starts, Vec::new());
    test.run_due_work();
    assert_eq!(test.record().starts, Vec::new());
    let status = test.cell.state(JobCode::new(1));
    assert_eq!(status, Some(JobStatus::Completed));
}

/// Returns a cell that finds a task to have succeeded on one of two workers after the next
/// start of the task has left for the other one, and that start.
fn cell_with_late_success() -> (TestCell, StartCommand) {
    let mut test = TestCell::new(1);
    test.add_workers(2, 4_000);
    test.submit(1, PLAIN, job(1, 1_000));
    test.run_due_work();
    let start = test.record().starts.remove(0);
    test.answer_starts(std::slice::from_ref(&start));
    // The worker is out of reach until its lease has expired and another start has left.
    let mut next_start = None;
    let poll = loop {
        test.step(50);
        let mut awaited = None;
        for sent in test.run_due_work().polls {
            if sent.worker != start.worker {
                test.answer_poll(&sent, WorkerListing::default());
            } else if next_start.is_some() {
                awaited = Some(sent);
            } else {
                let lost = Err(OrderError::OutcomeUnknown);
                test.cell.poll_answered(&sent, lost);
            }
        }
        if let Some(poll) = awaited {
            break poll;
        }
        next_start = next_start.or_else(|| test.record().starts.pop());
    };
    let next_start = next_start.expect("the task starts elsewhere");
    let late = WorkerListing {
        ended: vec![ended(&start, 1, RunEnd::Done)],
        ..WorkerListing::default()
    };
    test.answer_poll(&poll, late);
    (test, next_start)
}

/// Issue 43, TWICE: a start waited for the owner's link while an earlier run of the task was
/// found to have succeeded, and its run began after that.
#[test]
fn a_success_that_arrives_after_the_next_start_stops_that_run() {
    let (mut test, next_start) = cell_with_late_success();
    let stops = test.run_due_work().stops;
    assert_eq!(stops.len(), 1);
    assert_eq!(
        (stops[0].worker, stops[0].run),
        (next_start.worker, next_start.run)
    );
}

/// LOST: a worker refused the start of a task that had succeeded meanwhile. The run kept its
/// room, and as a start without evidence it kept the worker from taking any others.
#[test]
fn a_refused_start_of_a_task_that_is_done_frees_its_room() {
    let (mut test, next_start) = cell_with_late_success();
    test.run_due_work();
    // The stop has overtaken the start.
    test.cell
        .start_answered(&next_start, Err(OrderError::OldRun));
    test.submit(2, PLAIN, job(2, 4_000));
    let mut workers = Vec::new();
    for _ in 0..40 {
        for poll in test.run_due_work().polls {
            test.answer_poll(&poll, WorkerListing::default());
        }
        workers.extend(test.record().starts.iter().map(|start| start.worker));
        test.step(50);
    }
    assert_eq!(workers.len(), 2, "both workers have room for a task");
}

/// Guards against starts of an owner that was suspended for longer than it may act without
/// the log, and may have been replaced meanwhile.
#[test]
fn a_start_does_not_leave_once_the_owner_is_not_confirmed_any_more() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    test.submit(1, PLAIN, job(1, 1_000));
    test.run_due_work();
    let batch = test.cell.take_batch().expect("encodes");
    assert!(batch.is_some(), "the placement is recorded");
    test.now = test.now + MilliSpan::new(5_000);
    test.cell.advance(test.now, test.now);
    test.cell.batch_recorded();
    let effects = TestEffects::from(test.cell.take_effects());
    assert_eq!(effects.starts, Vec::new());
    test.run_due_work();
    assert_eq!(
        test.record().starts.len(),
        1,
        "the log confirms the owner again"
    );
}

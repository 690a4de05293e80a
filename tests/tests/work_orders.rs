//! Start orders, stop orders and polls: when the cell sends them, and how their
//! results change its state.

mod work_support;

use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_work::{
    CellPolicy, JobCode, JobStatus, OrderError, RunEnd, RunningRow, WorkerListing,
};
use test_case::test_case;
use work_support::{PLAIN, TestCell, TestEffects, ended, gang, job, report, running};

/// Submits a job and returns the effects once its placement is recorded.
fn started(test: &mut TestCell, code: u64, tasks: u32) -> TestEffects {
    test.submit(code, PLAIN, job(tasks, 1_000));
    let placed = test.run_due_work();
    assert!(
        placed.starts.is_empty(),
        "a start is sent before its record"
    );
    test.record()
}

#[test]
fn a_start_waits_for_its_record() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    assert_eq!(started(&mut test, 1, 2).starts.len(), 2);
}

/// The order may still be carried out. The task must not start elsewhere before a
/// poll with a higher token shows that it does not run.
#[test]
fn a_start_without_answer_stays_placed_until_a_poll_is_answered() {
    let mut test = TestCell::new(1);
    test.add_workers(2, 4_000);
    let starts = started(&mut test, 1, 1).starts;
    let start = &starts[0];
    test.cell
        .start_answered(start, Err(OrderError::OutcomeUnknown));
    let effects = test.run_due_work();
    assert!(test.record().starts.is_empty(), "the task starts elsewhere");
    let poll = effects
        .polls
        .iter()
        .find(|poll| poll.worker == start.worker);
    let poll = poll.expect("the worker is polled");
    assert!(poll.token > start.token, "the earlier order stays valid");
    test.answer_poll(poll, WorkerListing::default());
    test.run_due_work();
    let again = test.record().starts;
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].run, start.run + 1);
}

/// Guards against a task that waits for the end of a lease although its start reached
/// nobody.
#[test]
fn a_start_that_did_not_reach_its_worker_leaves_for_another_at_once() {
    let mut test = TestCell::new(1);
    test.add_workers(2, 4_000);
    let starts = started(&mut test, 1, 1).starts;
    let undelivered = Err(OrderError::Undelivered);
    test.cell.start_answered(&starts[0], undelivered);
    test.run_due_work();
    let again = test.record().starts;
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].worker, starts[0].worker);
    assert_eq!(again[0].run, starts[0].run + 1);
}

/// Guards against further starts on a worker that refuses connections, before it has
/// answered again.
#[test]
fn a_worker_that_a_start_did_not_reach_gets_no_run_before_a_poll() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    let starts = started(&mut test, 1, 1).starts;
    let undelivered = Err(OrderError::Undelivered);
    test.cell.start_answered(&starts[0], undelivered);
    let poll = test.run_due_work().polls.remove(0);
    assert!(poll.token > starts[0].token);
    assert!(test.record().starts.is_empty());
    test.answer_poll(&poll, WorkerListing::default());
    test.run_due_work();
    assert_eq!(test.record().starts.len(), 1);
}

/// An owner that was suspended and replaced must stop.
#[test]
fn a_refusal_with_the_present_token_supersedes_the_owner() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    let starts = started(&mut test, 1, 1).starts;
    test.cell
        .start_answered(&starts[0], Err(OrderError::Fenced));
    assert!(test.cell.is_superseded());
}

/// The worker refuses the second order because of the higher token that this
/// owner raised itself after the first one.
#[test]
fn a_refusal_with_an_earlier_token_does_not_supersede_the_owner() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    let starts = started(&mut test, 1, 2).starts;
    test.cell
        .start_answered(&starts[0], Err(OrderError::OutcomeUnknown));
    test.cell
        .start_answered(&starts[1], Err(OrderError::Fenced));
    assert!(!test.cell.is_superseded());
}

#[test]
fn an_end_is_acknowledged_to_the_worker_only_after_its_record() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    let starts = started(&mut test, 1, 1).starts;
    test.answer_starts(&starts);
    test.step(200);
    let poll = test.run_due_work().polls.remove(0);
    let row = ended(&starts[0], 1, RunEnd::Done);
    test.answer_poll(
        &poll,
        WorkerListing {
            ended: vec![row],
            ..WorkerListing::default()
        },
    );
    test.step(200);
    let before = test.run_due_work().polls.remove(0);
    assert_eq!(
        before.last_recorded_end, 0,
        "acknowledged before the record"
    );
    assert_eq!(test.cell.state(JobCode::new(1)), Some(JobStatus::Running));
    test.record();
    assert_eq!(test.cell.state(JobCode::new(1)), Some(JobStatus::Completed));
    test.answer_poll(&before, WorkerListing::default());
    test.step(200);
    let poll = test.run_due_work().polls;
    assert!(poll.is_empty() || poll[0].last_recorded_end == 1);
}

/// An owner that was suspended has not seen the progress in the meantime.
#[test]
fn a_suspended_owner_does_not_count_as_a_stalled_run() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    let starts = started(&mut test, 1, 1).starts;
    test.answer_starts(&starts);
    test.step(200);
    let poll = test.run_due_work().polls.remove(0);
    let rows = vec![running(&starts[0], 10)];
    test.answer_poll(
        &poll,
        WorkerListing {
            running: rows,
            ..WorkerListing::default()
        },
    );
    test.step(10_000);
    assert!(test.run_due_work().stops.is_empty());
}

#[test]
fn a_run_without_progress_is_stopped() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    let starts = started(&mut test, 1, 1).starts;
    test.answer_starts(&starts);
    let mut stops = Vec::new();
    for _ in 0..10 {
        test.step(400);
        let effects = test.run_due_work();
        stops.extend(effects.stops);
        for poll in effects.polls {
            let running = vec![running(&starts[0], 10)];
            test.answer_poll(
                &poll,
                WorkerListing {
                    running,
                    ..WorkerListing::default()
                },
            );
        }
    }
    assert!(!stops.is_empty());
}

/// A run that is not placed on its worker may be a second run of the task.
#[test]
fn an_unknown_run_is_stopped() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    let starts = started(&mut test, 1, 1).starts;
    test.answer_starts(&starts);
    test.step(200);
    let poll = test.run_due_work().polls.remove(0);
    let stray = RunningRow {
        task: "00000000000000ff.0.0.0".to_owned(),
        ..running(&starts[0], 5)
    };
    let running = vec![running(&starts[0], 10), stray];
    test.answer_poll(
        &poll,
        WorkerListing {
            running,
            ..WorkerListing::default()
        },
    );
    let stops = test.run_due_work().stops;
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].task, "00000000000000ff.0.0.0");
}

#[test]
fn the_members_of_a_gang_start_with_one_run_number() {
    let mut test = TestCell::new(1);
    test.add_workers(3, 4_000);
    test.submit(1, PLAIN, gang(6, 2_000));
    test.run_due_work();
    let starts = test.record().starts;
    assert_eq!(starts.len(), 6);
    assert!(starts.iter().all(|start| start.run == 1));
}

#[test]
fn a_gang_that_does_not_fit_starts_no_member() {
    let mut test = TestCell::new(1);
    test.add_workers(2, 4_000);
    test.submit(1, PLAIN, gang(6, 2_000));
    test.run_due_work();
    assert!(test.record().starts.is_empty());
}

#[test]
fn a_failed_task_is_tried_again_and_then_fails_its_job() {
    let mut test = TestCell::new(1);
    test.add_workers(2, 4_000);
    let mut starts = started(&mut test, 1, 1).starts;
    for number in 1..=2 {
        test.answer_starts(&starts);
        test.step(200);
        for poll in test.run_due_work().polls {
            let here = poll.worker == starts[0].worker;
            let row = ended(&starts[0], number, RunEnd::Failed);
            let ended = if here { vec![row] } else { Vec::new() };
            test.answer_poll(
                &poll,
                WorkerListing {
                    ended,
                    ..WorkerListing::default()
                },
            );
        }
        test.run_due_work();
        let next = test.record().starts;
        if number == 1 {
            assert_eq!(next.len(), 1, "there is a second attempt");
            starts = next;
        } else {
            assert!(next.is_empty());
        }
    }
    assert_eq!(test.cell.state(JobCode::new(1)), Some(JobStatus::Failed));
}

/// A start order does not name the incarnation of the worker, only its identifier.
/// The owner therefore has to poll a new incarnation before it places a run there.
#[test]
fn a_restarted_worker_gets_no_run_before_a_poll() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    let mut again = report(0, 4_000);
    again.started_at = MilliTime::new(200_000);
    test.cell.worker_reported(again);
    test.submit(1, PLAIN, job(1, 1_000));
    let poll = test.run_due_work().polls.remove(0);
    assert!(test.record().starts.is_empty());
    let started_at = Some(MilliTime::new(200_000));
    test.answer_poll(
        &poll,
        WorkerListing {
            started_at,
            ..WorkerListing::default()
        },
    );
    test.run_due_work();
    assert_eq!(test.record().starts.len(), 1);
}

#[test]
fn a_draining_worker_gets_no_new_runs() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    let mut draining = report(0, 4_000);
    draining.is_draining = true;
    test.cell.worker_reported(draining);
    test.submit(1, PLAIN, job(1, 1_000));
    test.run_due_work();
    assert!(test.record().starts.is_empty());
}

/// A service runs until its job is cancelled.
#[test_case(RunEnd::Done; "done")]
#[test_case(RunEnd::Failed; "failed")]
#[test_case(RunEnd::Expired; "lapsed")]
fn a_service_is_restarted_however_its_run_ends(outcome: RunEnd) {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    let mut spec = job(1, 1_000);
    spec.steps[0].is_service = true;
    test.submit(1, PLAIN, spec);
    test.run_due_work();
    let mut starts = test.record().starts;
    for number in 1..=5 {
        test.answer_starts(&starts);
        test.step(5_000);
        let poll = test.run_due_work().polls.remove(0);
        let ended = vec![ended(&starts[0], number, outcome)];
        test.answer_poll(
            &poll,
            WorkerListing {
                ended,
                ..WorkerListing::default()
            },
        );
        test.run_due_work();
        starts = test.record().starts;
        assert_eq!(starts.len(), 1, "end {number}");
    }
    assert_eq!(test.cell.state(JobCode::new(1)), Some(JobStatus::Running));
}

/// The start may have reached the new incarnation, which only a poll can show.
#[test]
fn a_run_on_a_restarted_worker_stays_placed_until_a_poll() {
    let mut test = TestCell::new(1);
    test.add_workers(2, 4_000);
    // The leases of an earlier owner have expired.
    test.step(20_000);
    let starts = started(&mut test, 1, 1).starts;
    let index = usize::from(starts[0].target.id.ends_with('1'));
    let mut again = report(index, 4_000);
    again.started_at = MilliTime::new(200_000);
    test.cell.worker_reported(again);
    test.step(3_000);
    let polls = test.run_due_work().polls;
    assert!(test.record().starts.is_empty(), "the task starts elsewhere");
    let poll = polls.iter().find(|poll| poll.worker == starts[0].worker);
    let rows = vec![running(&starts[0], 10)];
    let started_at = Some(MilliTime::new(200_000));
    let listing = WorkerListing {
        started_at,
        running: rows,
        ..WorkerListing::default()
    };
    test.answer_poll(poll.expect("the worker is polled"), listing);
    test.run_due_work();
    assert!(
        test.record().starts.is_empty(),
        "a second run of the task starts"
    );
}

/// Polls without an answer must not extend the lease of a failed worker.
#[test]
fn the_runs_of_a_worker_that_stops_answering_are_requeued() {
    let mut test = TestCell::new(1);
    test.add_workers(2, 4_000);
    let starts = started(&mut test, 1, 1).starts;
    test.answer_starts(&starts);
    let lost = starts[0].worker;
    let mut moved = Vec::new();
    for _ in 0..120 {
        test.step(100);
        let effects = test.run_due_work();
        for poll in effects.polls {
            if poll.worker == lost {
                test.cell
                    .poll_answered(&poll, Err(OrderError::OutcomeUnknown));
            } else {
                test.answer_poll(&poll, WorkerListing::default());
            }
        }
        moved.extend(test.record().starts);
    }
    assert_eq!(
        moved.len(),
        1,
        "the task does not start elsewhere within 12 s"
    );
    assert_ne!(moved[0].worker, lost);
}

#[test]
fn the_first_poll_of_a_run_is_due_after_the_poll_interval() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    test.submit(1, PLAIN, job(1, 1_000));
    test.run_due_work();
    let start = test.record().starts.remove(0);
    test.answer_starts(std::slice::from_ref(&start));
    test.cell.run_due_work();
    // The first poll is due after the poll interval, not at the maximum tick interval.
    let mut polls = Vec::new();
    for _ in 0..30 {
        let due = test.cell.next_due().since(test.now).as_millis();
        assert!(due > 0, "the next tick is due at once again");
        test.step(due);
        test.cell.run_due_work();
        polls.extend(test.cell.take_effects());
        if !polls.is_empty() {
            break;
        }
    }
    let waited = test
        .now
        .since(start.until - CellPolicy::default().lease.duration);
    assert_eq!(polls.len(), 1, "one poll: {polls:?}");
    assert!(waited.as_millis() <= 125, "the poll came after {waited}");
}

#[test]
fn all_members_of_a_gang_restart_from_the_furthest_checkpoint() {
    let mut test = TestCell::new(1);
    test.add_workers(2, 1_000);
    let mut spec = gang(2, 1_000);
    spec.steps[0].has_checkpoints = true;
    test.submit(1, PLAIN, spec);
    test.run_due_work();
    let starts = test.record().starts;
    assert!(starts.iter().all(|start| start.checkpoint.is_empty()));
    test.answer_starts(&starts);
    test.step(500);
    // The members are listed with different checkpoints.
    for poll in test.run_due_work().polls {
        let start = starts.iter().find(|start| start.worker == poll.worker);
        let start = start.expect("a member runs there");
        let (checkpoint, percent) = if start.task.index == 0 {
            ("early", 10)
        } else {
            ("late", 30)
        };
        let mut row = running(start, percent);
        row.checkpoint = checkpoint.to_owned();
        let listing = WorkerListing {
            running: vec![row],
            ..WorkerListing::default()
        };
        test.answer_poll(&poll, listing);
    }
    test.step(500);
    // The first member fails, so the other one ends as well.
    for poll in test.run_due_work().polls {
        let start = starts.iter().find(|start| start.worker == poll.worker);
        let start = start.expect("a member runs there");
        let outcome = if start.task.index == 0 {
            RunEnd::Failed
        } else {
            RunEnd::Broken
        };
        let listing = WorkerListing {
            ended: vec![ended(start, 1, outcome)],
            ..WorkerListing::default()
        };
        test.answer_poll(&poll, listing);
    }
    test.run_due_work();
    let again = test.record().starts;
    assert_eq!(again.len(), 2, "{again:?}");
    for start in again {
        assert_eq!(start.checkpoint, "late", "of {}", start.task);
    }
}

#[test]
fn members_that_end_with_their_gang_are_not_stopped() {
    let mut test = TestCell::new(1);
    test.add_workers(2, 1_000);
    test.submit(1, PLAIN, gang(2, 1_000));
    test.run_due_work();
    let starts = test.record().starts;
    test.answer_starts(&starts);
    test.step(500);
    // One worker lists the end; the listing of the other is from before it.
    let polls = test.run_due_work().polls;
    assert_eq!(polls.len(), 2, "{polls:?}");
    for poll in polls {
        let start = starts.iter().find(|start| start.worker == poll.worker);
        let start = start.expect("a member runs there");
        let listing = if start.task.index == 0 {
            WorkerListing {
                ended: vec![ended(start, 1, RunEnd::Done)],
                ..WorkerListing::default()
            }
        } else {
            WorkerListing {
                running: vec![running(start, 99)],
                ..WorkerListing::default()
            }
        };
        test.answer_poll(&poll, listing);
    }
    let effects = test.run_due_work();
    assert!(effects.stops.is_empty(), "{:?}", effects.stops);
    let effects = test.record();
    assert!(effects.stops.is_empty(), "{:?}", effects.stops);
    // The other worker lists the run for longer than the stall timeout.
    for _ in 0..4 {
        test.step(1_000);
        for poll in test.run_due_work().polls {
            let held = starts.iter().find(|start| start.worker == poll.worker);
            let held = held.filter(|start| start.task.index == 1);
            let listing = WorkerListing {
                running: held.into_iter().map(|start| running(start, 99)).collect(),
                ..WorkerListing::default()
            };
            test.answer_poll(&poll, listing);
        }
    }
    let effects = test.run_due_work();
    assert!(effects.stops.is_empty(), "{:?}", effects.stops);
    // The resources stay reserved until that worker lists the end.
    test.submit(2, PLAIN, job(2, 1_000));
    test.run_due_work();
    assert_eq!(test.record().starts.len(), 1);
}

/// Pattern "starts into a network partition": the workers of a data centre that is cut
/// off answer no start. The job was no longer counted as waiting, although no task had begun.
#[test]
fn a_job_whose_start_has_no_answer_still_counts_as_waiting() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    let starts = started(&mut test, 1, 1).starts;
    assert_eq!(test.cell.pending(PLAIN), 1);
    test.cell
        .start_answered(&starts[0], Err(OrderError::OutcomeUnknown));
    assert_eq!(test.cell.pending(PLAIN), 1);
    assert_eq!(test.cell.state(JobCode::new(1)), Some(JobStatus::Queued));
}

#[test]
fn a_job_with_an_acknowledged_start_does_not_count_as_waiting() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    let starts = started(&mut test, 1, 1).starts;
    test.answer_starts(&starts);
    assert_eq!(test.cell.pending(PLAIN), 0);
    assert_eq!(test.cell.state(JobCode::new(1)), Some(JobStatus::Running));
}

/// Pattern "entry that expires in a network partition": the worker leaves the platform's list
/// while it is unreachable and comes back afterwards. It has accepted the tokens of
/// the time before, so that an order with an earlier one made the owner take itself
/// for superseded and end its term.
#[test]
fn a_worker_that_returns_to_the_list_gets_a_higher_token_than_before() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    let starts = started(&mut test, 1, 1).starts;
    test.cell
        .start_answered(&starts[0], Err(OrderError::OutcomeUnknown));
    let poll = test.run_due_work().polls.remove(0);
    assert!(poll.token > starts[0].token);
    test.answer_poll(&poll, WorkerListing::default());
    test.cell.worker_unlisted(&starts[0].target.id);
    test.step(100);
    test.run_due_work();
    assert_eq!(test.cell.sizes().1, 0, "the worker is removed");
    test.cell.worker_reported(report(0, 4_000));
    let polls = test.run_due_work().polls;
    assert!(polls[0].token > poll.token, "the worker refuses the poll");
}

/// Pattern "starts into a network partition": a run whose start has no answer cannot be
/// given to another worker before its lease ends. Further runs went to the same worker
/// until the first of the starts had failed.
#[test]
fn a_worker_that_does_not_answer_a_start_gets_no_further_runs() {
    let mut test = TestCell::new(1);
    test.add_workers(2, 4_000);
    let silent = started(&mut test, 1, 1).starts;
    test.step(200);
    let next = started(&mut test, 2, 4).starts;
    assert_eq!(next.len(), 4);
    assert!(next.iter().all(|start| start.worker != silent[0].worker));
    test.answer_starts(&next);
    test.answer_starts(&silent);
    assert_eq!(
        started(&mut test, 3, 3).starts.len(),
        3,
        "the worker answers again"
    );
}

/// The owner reads all answers late: none of the workers is at fault.
#[test]
fn the_time_for_an_answer_follows_the_delay_of_all_answers() {
    let mut test = TestCell::new(1);
    test.add_workers(2, 64_000);
    for code in 0..66 {
        let starts = started(&mut test, code, 1).starts;
        if code < 40 {
            test.step(120);
            test.answer_starts(&starts);
        } else {
            assert_eq!(starts.len(), 1);
            test.step(10);
        }
    }
}

/// Reports that the worker of a run drains, and that its entry is gone after `age`
/// milliseconds in which it was not renewed. Returns the starts that follow at once.
fn starts_after_unlisting(written: Option<MilliTime>, age: u64) -> TestEffects {
    let mut test = TestCell::new(1);
    test.add_workers(2, 4_000);
    let starts = started(&mut test, 1, 1).starts;
    test.answer_starts(&starts);
    let index = usize::from(starts[0].target.id.ends_with('1'));
    let mut draining = report(index, 4_000);
    draining.is_draining = true;
    match written {
        Some(written) => test.cell.worker_reported_after(draining, written),
        None => test.cell.worker_reported(draining),
    }
    test.step(age);
    test.cell.worker_unlisted(&starts[0].target.id);
    test.run_due_work();
    test.record()
}

/// Guards against a task that runs twice, since the entry of its draining worker had
/// expired: the time at which an entry is read says nothing of when it was written.
#[test_case(None, 0; "written at an unknown time")]
#[test_case(Some(MilliTime::new(100_000)), 4_500; "not renewed for as long as it lasts")]
#[test_case(Some(MilliTime::new(95_500)), 0; "read late, together with its removal")]
fn the_runs_of_a_worker_whose_entry_may_have_expired_stay_placed(
    written: Option<MilliTime>,
    age: u64,
) {
    assert!(starts_after_unlisting(written, age).starts.is_empty());
}

#[test]
fn the_runs_of_a_draining_worker_that_leaves_start_elsewhere_at_once() {
    let written = Some(MilliTime::new(100_000));
    assert_eq!(starts_after_unlisting(written, 1_500).starts.len(), 1);
}

/// Guards against a second run of a task whose row its worker's list had, but which could
/// not be read.
#[test]
fn a_listing_with_an_unreadable_row_does_not_prove_that_a_run_is_absent() {
    let mut test = TestCell::new(1);
    test.add_workers(2, 4_000);
    let starts = started(&mut test, 1, 2).starts;
    test.answer_starts(&starts);
    test.step(200);
    for poll in test.run_due_work().polls {
        let ended = vec![ended(&starts[0], 1, RunEnd::Failed)];
        let listing = WorkerListing {
            ended,
            unreadable_rows: 1,
            ..WorkerListing::default()
        };
        test.answer_poll(&poll, listing);
    }
    test.run_due_work();
    let again = test.record().starts;
    assert_eq!(again.len(), 1, "only the run that is listed as failed");
    assert_eq!(again[0].task, starts[0].task);
    test.step(200);
    for poll in test.run_due_work().polls {
        assert_eq!(poll.last_recorded_end, 0, "the unreadable end is forgotten");
    }
}

/// Guards against a job that waits for the next event of a worker, since the round that
/// would have placed it fell into an outage of the log.
#[test]
fn a_round_that_falls_into_an_outage_of_the_log_is_made_up_for() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 4_000);
    test.now = test.now + MilliSpan::new(4_000);
    test.cell.advance(test.now, test.now);
    test.submit(1, PLAIN, job(1, 1_000));
    test.cell.run_due_work();
    test.now = test.now + MilliSpan::new(10);
    test.cell.advance(test.now, test.now);
    test.cell.run_due_work();
    assert!(test.record().starts.is_empty(), "the owner may be replaced");
    test.run_due_work();
    assert_eq!(test.record().starts.len(), 1);
}

//! The order in which waiting jobs get workers while resources are short.

mod work_support;

use pimentochute_work::{RunEnd, WorkerListing};
use work_support::{PLAIN, TestCell, ended, job};

#[test]
fn a_job_whose_run_failed_ranks_before_later_jobs() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 1_000);
    test.submit(1, PLAIN, job(1, 1_000));
    test.run_due_work();
    let start = test.record().starts.remove(0);
    test.answer_starts(std::slice::from_ref(&start));
    // The run fails after 2.5 s. The objective of the job is 3 s after its
    // arrival for one second of work; the failed run adds to that work.
    test.step(2_400);
    test.submit(2, PLAIN, job(1, 1_000));
    let poll = test.run_due_work().polls.remove(0);
    let failed_row = ended(&start, 1, RunEnd::Failed);
    let listing = WorkerListing {
        ended: vec![failed_row],
        ..WorkerListing::default()
    };
    test.answer_poll(&poll, listing);
    test.run_due_work();
    let next = test.record().starts;
    let jobs: Vec<_> = next.iter().map(|start| start.task.job).collect();
    assert_eq!(jobs, [start.task.job], "{next:?}");
}

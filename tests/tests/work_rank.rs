//! Who goes first while there is less room than work.

mod work_support;

use pimentochute_work::{RunEnd, WorkerListing};
use work_support::{PLAIN, TestCell, ended, job};

#[test]
fn a_job_whose_run_failed_ranks_before_later_jobs() {
    let mut test = TestCell::new(1);
    test.add_workers(1, 1_000);
    test.submit(1, PLAIN, job(1, 1_000));
    test.run_round();
    let start = test.record().starts.remove(0);
    test.answer_starts(std::slice::from_ref(&start));
    // The run fails at 2.5 s. Without it the job would have had 3 s for its
    // second of work, with it three times as much.
    test.step(2_400);
    test.submit(2, PLAIN, job(1, 1_000));
    let poll = test.run_round().polls.remove(0);
    let failed_row = ended(&start, 1, RunEnd::Failed);
    let listing = WorkerListing {
        ended: vec![failed_row],
        ..WorkerListing::default()
    };
    test.answer_poll(&poll, listing);
    test.run_round();
    let next = test.record().starts;
    let jobs: Vec<_> = next.iter().map(|start| start.task.job).collect();
    assert_eq!(jobs, [start.task.job], "{next:?}");
}

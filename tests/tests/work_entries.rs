//! Entries among those of the workers that claim the address of another worker: what a
//! worker runs is given up only on the word of whoever answers there.

mod work_support;

use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_work::{
    JobCode, JobProgress, JobStatus, OrderError, PollCommand, StartCommand, TaskPhase,
    TaskProgress, WorkerListing, WorkerReport,
};
use test_case::test_case;
use work_support::{
    PLAIN, POOL, TestCell, TestEffects, job, print_logs, report, running, submission, worker_id,
};

/// When the incarnation of [`report`] started.
const FIRST_START: MilliTime = MilliTime::new(1_000);

/// A pool that no configuration of these tests names.
const OTHER_POOL: &str = "inventory";

/// The time after which the lease of a worker that is not polled has certainly expired.
const LEASE_TIME: u64 = 12_000;

/// The time from a poll until its answer. Maintenance of the cell may come in between.
const ANSWER_DELAY: MilliSpan = MilliSpan::new(60);

/// A live worker with a run, among idle ones, and entries that others write.
struct Scene {
    test: TestCell,
    /// The starts of all owners.
    starts: Vec<StartCommand>,
    /// The address of the worker with the run answers for this worker.
    present: String,
    present_start: MilliTime,
    /// Nobody answers at the address for this long.
    silent_until: MilliTime,
    /// The polls without an answer, and when they get one.
    polls: Vec<(MilliTime, PollCommand)>,
}

impl Scene {
    fn new() -> Self {
        print_logs();
        let mut test = TestCell::new(1);
        test.add_workers(3, 4_000);
        test.submit(1, PLAIN, job(1, 4_000));
        test.run_due_work();
        let starts = test.record().starts;
        assert_eq!(starts.len(), 1);
        test.answer_starts(&starts);
        let present = starts[0].target.id.clone();
        let mut scene = Self {
            test,
            starts,
            present,
            present_start: FIRST_START,
            silent_until: MilliTime::ZERO,
            polls: Vec::new(),
        };
        scene.play(400);
        scene
    }

    /// Returns the index of the worker with the first run.
    fn busy_index(&self) -> usize {
        let id = &self.starts[0].target.id;
        let index = (0..3).find(|index| worker_id(*index) == *id);
        index.expect("one of the workers")
    }

    /// Returns an entry with the address of the worker with the run and the present time as
    /// its start.
    fn claim(&self, id: &str, pool: &str) -> WorkerReport {
        WorkerReport {
            id: id.to_owned(),
            pool: pool.to_owned(),
            started_at: self.test.now,
            ..report(self.busy_index(), 4_000)
        }
    }

    fn report(&mut self, entry: WorkerReport) {
        let written_after = self.test.now;
        self.test.cell.worker_reported_after(entry, written_after);
    }

    /// Lets `span` milliseconds pass. The workers answer starts at once.
    fn play(&mut self, span: u64) {
        let end = self.test.now + MilliSpan::new(span);
        while self.test.now < end {
            self.test.step(15);
            self.test.cell.run_due_work();
            self.answer();
        }
    }

    fn answer(&mut self) {
        for effects in [self.test.cell.take_effects().into(), self.test.record()] {
            let effects: TestEffects = effects;
            let due = self.test.now + ANSWER_DELAY;
            self.polls
                .extend(effects.polls.into_iter().map(|poll| (due, poll)));
            self.test.answer_starts(&effects.starts);
            self.starts.extend(effects.starts);
        }
        let now = self.test.now;
        let due: Vec<_> = self.polls.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, poll) in due {
            let result = self.result_of(&poll);
            self.test.cell.poll_answered(&poll, result);
        }
    }

    /// Returns what the worker at the address of a poll answers, if one does.
    fn result_of(&self, poll: &PollCommand) -> Result<WorkerListing, OrderError> {
        let mut indices = 0..3;
        let index = indices.find(|index| report(*index, 4_000).address == poll.target.address);
        let index = index.expect("the address of a worker");
        let is_busy = index == self.busy_index();
        if is_busy && self.test.now < self.silent_until {
            return Err(OrderError::OutcomeUnknown);
        }
        let present = if is_busy {
            self.present.clone()
        } else {
            worker_id(index)
        };
        if present != poll.target.id {
            return Err(OrderError::WrongIncarnation);
        }
        // The first run ends with the worker that was there first.
        let ended = usize::from(is_busy && present != worker_id(index));
        let mut here = self.starts[ended..].iter().rev();
        let here = here.find(|start| start.target.id == present);
        let percent = self.test.now.as_millis() / 400 % 100;
        let percent = u32::try_from(percent).expect("below 100");
        Ok(WorkerListing {
            started_at: Some(if is_busy {
                self.present_start
            } else {
                FIRST_START
            }),
            clock: self.test.now,
            running: here
                .map(|start| running(start, percent))
                .into_iter()
                .collect(),
            ..WorkerListing::default()
        })
    }

    /// Replaces the owner by one that has loaded `entries` and the record of the run.
    fn change_owner(&mut self, entries: &[WorkerReport]) {
        let mut next = TestCell::new(2);
        next.now = self.test.now;
        next.step(0);
        for entry in entries {
            next.cell.worker_reported(entry.clone());
        }
        let code = JobCode::new(1);
        let received = MilliTime::new(100_000);
        next.cell
            .restore_submission(code, submission(PLAIN, job(1, 4_000), received));
        let task = TaskProgress {
            run: 1,
            phase: TaskPhase::Placed {
                worker: self.starts[0].target.id.clone(),
                started_at: FIRST_START,
            },
            ..TaskProgress::default()
        };
        let progress = JobProgress {
            tasks: vec![task],
            ..JobProgress::default()
        };
        next.cell.restore_progress(code, progress);
        self.test = next;
        self.polls.clear();
    }
}

/// Review case 6, TWICE: an entry of another writer with the address of a live worker made its
/// tasks run twice, since an earlier answer of that worker counted as the proof of its end.
#[test_case(OTHER_POOL; "of a pool that no configuration names")]
#[test_case(POOL; "of a pool with workers")]
fn an_entry_that_claims_the_address_of_a_live_worker_ends_no_run(pool: &str) {
    let mut scene = Scene::new();
    for round in 0..8 {
        let claim = scene.claim(&format!("claimant-{round}"), pool);
        scene.report(claim);
        scene.play(300);
    }
    scene.play(LEASE_TIME);
    assert_eq!(scene.starts.len(), 1, "the task runs twice");
}

/// TWICE: the same entry, written again and again with later starts.
#[test_case(OTHER_POOL; "of a pool that no configuration names")]
#[test_case(POOL; "of a pool with workers")]
fn an_entry_that_is_written_again_and_again_ends_no_run(pool: &str) {
    let mut scene = Scene::new();
    for _ in 0..60 {
        let claim = scene.claim("claimant", pool);
        scene.report(claim);
        scene.play(200);
    }
    assert_eq!(scene.starts.len(), 1, "the task runs twice");
}

/// TWICE: nobody answers at the address for a while as the entry is read. Neither the entry
/// nor the silence shows that the worker has ended.
#[test]
fn an_entry_that_claims_the_address_of_a_silent_worker_ends_no_run() {
    let mut scene = Scene::new();
    scene.silent_until = scene.test.now + MilliSpan::new(3_000);
    let claim = scene.claim("claimant", POOL);
    scene.report(claim);
    scene.play(LEASE_TIME);
    assert_eq!(scene.starts.len(), 1, "the task runs twice");
}

/// TWICE: an entry that a new owner reads after it has loaded the list counted as the proof
/// that the worker at its address had ended.
#[test_case(OTHER_POOL, false; "of a pool that no configuration names and written later")]
#[test_case(OTHER_POOL, true; "of a pool that no configuration names")]
#[test_case(POOL, false; "written later")]
#[test_case(POOL, true; "written before")]
fn an_entry_that_claims_the_address_of_a_live_worker_ends_no_run_of_a_new_owner(
    pool: &str,
    is_loaded: bool,
) {
    let mut scene = Scene::new();
    let claim = scene.claim("claimant", pool);
    let mut entries: Vec<_> = (0..3).map(|index| report(index, 4_000)).collect();
    if is_loaded {
        entries.push(claim.clone());
    }
    scene.change_owner(&entries);
    scene.silent_until = scene.test.now + MilliSpan::new(1_000);
    scene.report(claim);
    scene.play(LEASE_TIME);
    assert_eq!(scene.starts.len(), 1, "the task runs twice");
}

/// TWICE: an entry under the key of a worker named the address of another one, which answers
/// that it is not this worker. The worker runs on where it is.
#[test]
fn an_entry_that_names_another_address_ends_no_run() {
    let mut scene = Scene::new();
    let busy = scene.busy_index();
    let mut moved = report(busy, 4_000);
    moved.address = report((busy + 1) % 3, 4_000).address;
    moved.started_at = scene.test.now;
    for _ in 0..3 {
        scene.report(moved.clone());
        // The worker renews its entry.
        scene.play(500);
        scene.report(report(busy, 4_000));
        scene.play(500);
    }
    scene.play(LEASE_TIME);
    assert_eq!(scene.starts.len(), 1, "the task runs twice");
    assert_eq!(
        scene.test.cell.state(JobCode::new(1)),
        Some(JobStatus::Running)
    );
}

/// Guards against a wait for the end of the lease although another worker has taken the place
/// of a crashed one and answers.
#[test_case(false; "in the term of the owner")]
#[test_case(true; "with a new owner")]
fn the_runs_of_a_worker_start_elsewhere_once_its_successor_answers(changes_owner: bool) {
    let mut scene = Scene::new();
    let successor = scene.claim("successor", POOL);
    "successor".clone_into(&mut scene.present);
    scene.present_start = successor.started_at;
    if changes_owner {
        let entries: Vec<_> = (0..3).map(|index| report(index, 4_000)).collect();
        scene.change_owner(&entries);
    }
    scene.report(successor);
    scene.play(250);
    assert_eq!(scene.starts.len(), 2, "the task starts elsewhere");
}

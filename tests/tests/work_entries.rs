//! Entries among those of the workers that claim the address of another worker: what a
//! worker runs is given up only on the word of whoever answers there.

mod work_support;

use std::collections::{BTreeMap, BTreeSet};

use pimentochute_base::{ConfigVersion, MilliSpan, MilliTime};
use pimentochute_work::{
    CellConfig, CellDecision, JobCode, JobProgress, JobStatus, OrderError, PollCommand,
    StartCommand, TaskPhase, TaskProgress, WorkerListing, WorkerReport,
};
use test_case::test_case;
use work_support::{
    PLAIN, POOL, TestCell, TestEffects, config, job, print_logs, report, running, submission,
    worker_id,
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
    /// The workers that were polled.
    polled: BTreeSet<String>,
    /// The end of the lease of the worker with the first run, on its clock.
    lease_until: MilliTime,
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
            polled: BTreeSet::new(),
            lease_until: MilliTime::ZERO,
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

    fn config_with(&self, pools: &[&str]) -> CellConfig {
        let mut config = config();
        let pool = config.pools.remove(POOL).expect("the pool");
        config.pools = pools
            .iter()
            .map(|name| ((*name).to_owned(), pool.clone()))
            .collect();
        config.version = ConfigVersion::new(self.test.now.as_millis());
        config
    }

    /// Applies a configuration that names `pools`.
    fn set_pools(&mut self, pools: &[&str]) {
        let config = self.config_with(pools);
        self.test.cell.set_config(config);
    }

    /// Returns how often the present owner has made a decision since this was last asked.
    fn count(&mut self, decision: CellDecision) -> u64 {
        let decisions = self.test.cell.take_decisions();
        let mut made = decisions.made();
        let made = made.find(|(other, _)| *other == decision);
        made.map_or(0, |(_, count)| count)
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
            if result.is_ok() && poll.target.id == self.starts[0].target.id {
                self.lease_until = self.lease_until.max(poll.until.unwrap_or_default());
            }
            self.polled.insert(poll.target.id.clone());
            self.test.cell.poll_answered(&poll, result);
        }
    }

    /// Returns what the worker at the address of a poll answers, if one does.
    fn result_of(&self, poll: &PollCommand) -> Result<WorkerListing, OrderError> {
        let mut indices = 0..4;
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
        // The last start of a task is the one that counts.
        let last: BTreeMap<_, _> = self.starts[ended..]
            .iter()
            .map(|start| (start.task.to_string(), start))
            .collect();
        let here = last.values().filter(|start| start.target.id == present);
        let percent = self.test.now.as_millis() / 400 % 100;
        let percent = u32::try_from(percent).expect("below 100");
        Ok(WorkerListing {
            started_at: Some(if is_busy {
                self.present_start
            } else {
                FIRST_START
            }),
            clock: self.test.now,
            running: here.map(|start| running(start, percent)).collect(),
            ..WorkerListing::default()
        })
    }

    /// Replaces the owner by one that has loaded `entries` and the record of the run.
    fn change_owner(&mut self, entries: &[WorkerReport]) {
        self.change_owner_with(entries, &[POOL]);
    }

    /// Replaces the owner by one whose configuration names `pools`.
    fn change_owner_with(&mut self, entries: &[WorkerReport], pools: &[&str]) {
        let mut next = TestCell::with_config(2, self.config_with(pools));
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

/// Guards against a worker that gets no work while an entry at its address is written again
/// and again, and against a log line for each of these entries.
#[test]
fn an_entry_that_is_refuted_again_and_again_does_not_pause_the_worker() {
    let mut scene = Scene::new();
    let claim = scene.claim("claimant", POOL);
    scene.report(claim);
    scene.play(200);
    scene.test.cell.take_decisions();
    for round in 0..20 {
        let claim = scene.claim("claimant", POOL);
        scene.report(claim);
        if round == 10 {
            scene.test.submit(2, PLAIN, job(3, 10));
        }
        scene.play(30);
    }
    assert_eq!(scene.count(CellDecision::IgnoreRefutedClaim), 20);
    assert_eq!(scene.starts.len(), 4, "all tasks start");
}

/// LOST: a worker that starts at an address where its entry was refuted before is found, and
/// the runs of the one before it are given up.
#[test]
fn a_refuted_claim_that_comes_true_is_found() {
    let mut scene = Scene::new();
    let claim = scene.claim("claimant", POOL);
    scene.report(claim);
    scene.play(300);
    let again = scene.claim("claimant", POOL);
    "claimant".clone_into(&mut scene.present);
    scene.present_start = again.started_at;
    scene.report(again);
    scene.play(250);
    assert_eq!(scene.starts.len(), 2, "the task starts elsewhere");
    scene.test.submit(2, PLAIN, job(2, 4_000));
    scene.play(300);
    let last = scene.starts.iter().map(|start| &start.target.id);
    assert!(last.rev().any(|id| id == "claimant"), "it gets work");
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

/// TWICE and wasted polls: an entry of a pool that no configuration names is not a worker of
/// the cell, and is not polled.
#[test]
fn an_entry_of_an_unknown_pool_is_counted_and_not_used() {
    let mut scene = Scene::new();
    scene.test.cell.take_decisions();
    let (_, workers) = scene.test.cell.sizes();
    for _ in 0..3 {
        let claim = scene.claim("claimant", OTHER_POOL);
        scene.report(claim);
        scene.play(200);
    }
    assert_eq!(scene.test.cell.sizes().1, workers);
    assert_eq!(scene.count(CellDecision::IgnoreUnknownPool), 3);
    assert!(!scene.polled.contains("claimant"));
}

/// An entry with a flaw says so in a counter, whichever it is.
#[test]
fn unused_entries_are_counted_by_their_flaw() {
    let mut scene = Scene::new();
    scene.test.cell.take_decisions();
    let claim = scene.claim("claimant", POOL);
    scene.report(claim.clone());
    scene.play(200);
    let mut future = scene.claim("future", POOL);
    future.started_at = future.started_at + MilliSpan::new(2 * 24 * 3_600_000);
    scene.report(future);
    scene.test.cell.entry_unreadable("odd", "no JSON");
    let decisions = scene.test.cell.take_decisions();
    let made: Vec<_> = decisions.made().collect();
    for decision in [
        CellDecision::IgnoreRefutedClaim,
        CellDecision::IgnoreFutureStart,
        CellDecision::IgnoreUnreadableEntry,
    ] {
        assert!(made.contains(&(decision, 1)), "{decision:?} in {made:?}");
    }
}

/// LOST: a worker whose pool is named by a later configuration gets work without another
/// entry.
#[test]
fn a_worker_is_used_once_a_configuration_names_its_pool() {
    let mut scene = Scene::new();
    let mut later = report(3, 4_000);
    later.pool = OTHER_POOL.to_owned();
    scene.report(later);
    scene.play(100);
    scene.set_pools(&[POOL, OTHER_POOL]);
    scene.play(200);
    assert!(scene.polled.contains(&worker_id(3)));
    let mut removed = report(2, 4_000);
    removed.id = "removed".to_owned();
    removed.pool = "removed-pool".to_owned();
    scene.report(removed);
    scene.test.cell.worker_unlisted("removed");
    scene.set_pools(&[POOL, OTHER_POOL, "removed-pool"]);
    scene.play(200);
    assert!(!scene.polled.contains("removed"), "its entry is gone");
}

/// A worker whose pool a configuration leaves out runs on, with one owner and the next.
#[test_case(false; "in the term of the owner")]
#[test_case(true; "with a new owner")]
fn a_worker_whose_pool_is_left_out_keeps_its_runs(changes_owner: bool) {
    let mut scene = Scene::new();
    scene.set_pools(&[OTHER_POOL]);
    if changes_owner {
        let entries: Vec<_> = (0..3).map(|index| report(index, 4_000)).collect();
        scene.change_owner_with(&entries, &[OTHER_POOL]);
    }
    for _ in 0..10 {
        scene.report(report(scene.busy_index(), 4_000));
        scene.play(1_500);
    }
    assert!(scene.lease_until > scene.test.now, "its lease is renewed");
    assert_eq!(scene.starts.len(), 1, "the task runs twice");
    // The pool is named again, and the worker has been there all the while.
    scene.set_pools(&[POOL]);
    scene.play(1_500);
    assert_eq!(scene.starts.len(), 1, "the task runs twice");
}

/// Guards against a wait for the end of the lease: a worker starts again at its address under
/// another identifier while its pool is left out.
#[test]
fn the_runs_of_a_replaced_worker_of_a_left_out_pool_are_given_up_at_once() {
    let mut scene = Scene::new();
    scene.set_pools(&[OTHER_POOL]);
    let successor = scene.claim("successor", POOL);
    "successor".clone_into(&mut scene.present);
    scene.present_start = successor.started_at;
    scene.report(successor);
    scene.play(700);
    scene.set_pools(&[POOL]);
    scene.play(250);
    assert_eq!(scene.starts.len(), 2, "the task starts elsewhere");
}

/// TWICE: an entry of another writer under the key of a worker, of a pool that no
/// configuration names, as a new owner loads the list. Its address is that of another worker.
#[test_case(true, 0; "in the list")]
#[test_case(true, 2; "in the list and written again")]
#[test_case(false, 2; "read after the list")]
fn an_entry_of_an_unknown_pool_under_the_key_of_a_worker_ends_no_run_of_a_new_owner(
    is_loaded: bool,
    times: u64,
) {
    let mut scene = Scene::new();
    let busy = scene.busy_index();
    let mut entries: Vec<_> = (0..3).map(|index| report(index, 4_000)).collect();
    let mut odd = entries.remove(busy);
    OTHER_POOL.clone_into(&mut odd.pool);
    odd.address = report((busy + 1) % 3, 4_000).address;
    odd.started_at = scene.test.now;
    if is_loaded {
        entries.push(odd.clone());
    }
    scene.change_owner(&entries);
    for _ in 0..times {
        scene.play(10);
        scene.report(odd.clone());
    }
    scene.play(1_400);
    scene.report(report(busy, 4_000));
    scene.play(LEASE_TIME);
    assert_eq!(scene.starts.len(), 1, "the task runs twice");
}

/// LOST: an entry under the key of a worker named later starts, which the worker did not
/// confirm. Each counted as a crash of its tasks, and their job was given up; and each took
/// the control that renews the lease.
#[test_case(600, 600; "the worker renews its entry in between")]
#[test_case(400, 0; "several times a second")]
#[test_case(45, 0; "all the time")]
fn a_restart_that_only_entries_name_is_none(span: u64, renewed_after: u64) {
    let mut scene = Scene::new();
    let end = scene.test.now + MilliSpan::new(2 * LEASE_TIME);
    while scene.test.now < end {
        let mut entry = report(scene.busy_index(), 4_000);
        entry.started_at = scene.test.now;
        scene.report(entry);
        scene.play(span);
        if renewed_after > 0 {
            scene.report(report(scene.busy_index(), 4_000));
            scene.play(renewed_after);
        }
    }
    assert_eq!(
        scene.test.cell.state(JobCode::new(1)),
        Some(JobStatus::Running)
    );
    assert_eq!(scene.starts.len(), 1, "the task runs twice");
    assert!(scene.lease_until > scene.test.now, "its lease is renewed");
}

//! Simulates tasks that crash each worker that starts them, beside sound ones. A crashed
//! worker is back after some seconds, under another identifier at its address.

mod work_support;

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_work::{
    CellEffect, EndedRow, JobCode, JobStatus, JobSubmission, OrderError, PollCommand, RecordKind,
    RunEnd, RunningRow, StartCommand, WorkerListing, decode_record,
};
use test_case::test_case;
use work_support::{ADVISED, PLAIN, TestCell, gang, job, print_logs, report, running, submission};

/// The step of the simulated time, in milliseconds.
const TICK: u64 = 10;
/// The number of workers.
const WORKERS: usize = 16;
/// The processor capacity of a worker, in thousandths of a core.
const WORKER_CPU: u64 = 8_000;
/// The time from the start of a run until its worker crashes, in milliseconds.
const CRASH_DELAY: u64 = 10;
/// The time from a crash until the platform's list omits the worker, in milliseconds.
const LIST_TIMEOUT: u64 = 4_000;
/// The time in which jobs arrive, in milliseconds.
const ARRIVAL_PHASE: u64 = 10_000;
/// The time after that in which every job has to end, in milliseconds.
const DRAIN_PHASE: u64 = 60_000;
/// The time in which owners change, in milliseconds.
const OWNER_PHASE: u64 = 30_000;
/// The number of crashes after which the platform counts further starts of a task.
const COUNTED_CRASHES: u32 = 3;
/// The number of starts after [`COUNTED_CRASHES`] that the platform allows.
const MAX_LATER_STARTS: u32 = 2;

/// A worker that may crash.
struct CrashWorker {
    id: String,
    started_at: MilliTime,
    /// When it crashes, if a deadly run has started.
    crashes_at: Option<MilliTime>,
    /// When it is back after a crash.
    back_at: Option<MilliTime>,
    /// The runs by the name of their task: the number of the run and when it is done.
    runs: BTreeMap<String, (u32, MilliTime)>,
    ended: Vec<EndedRow>,
    next_row_number: u64,
    /// The ends up to this number were listed in an answer to a poll.
    listed_end: u64,
}

/// The number of crashes of workers under a task from which on its job may be given up.
const ALLOWED_CRASHES: u32 = 2;

/// What happened to a task.
#[derive(Default)]
struct TaskHistory {
    /// The crashes of workers under it.
    crashes: u32,
    /// The starts after [`COUNTED_CRASHES`].
    later_starts: u32,
}

struct CrashSimulation {
    rng: Rng,
    test: TestCell,
    workers: Vec<CrashWorker>,
    /// The answers to polls, which arrive with the next tick.
    answers: Vec<(PollCommand, Result<WorkerListing, OrderError>)>,
    /// The crashed workers that the list still has, and until when.
    listed_until: Vec<(String, MilliTime)>,
    deadly: BTreeSet<JobCode>,
    gangs: BTreeSet<JobCode>,
    sound: BTreeMap<JobCode, MilliTime>,
    histories: BTreeMap<String, TaskHistory>,
    next_worker: usize,
    epoch: u64,
    /// The log: the newest record of each kind of a job.
    log: BTreeMap<(JobCode, RecordKind), Vec<u8>>,
    submissions: BTreeMap<JobCode, JobSubmission>,
    /// How long a crashed worker is away, in milliseconds.
    down_time: u64,
    crashes: u32,
    /// Workers crash before they answer the start of a deadly run.
    crashes_unanswered: bool,
    /// One worker in this many ticks crashes without a cause; 0 for none.
    stray_crash_ticks: u64,
}

impl CrashSimulation {
    fn new(seed: u64, down_time: u64) -> Self {
        let test = TestCell::new(1);
        let mut simulation = Self {
            rng: Rng::with_seed(seed),
            test,
            workers: Vec::new(),
            answers: Vec::new(),
            listed_until: Vec::new(),
            deadly: BTreeSet::new(),
            gangs: BTreeSet::new(),
            sound: BTreeMap::new(),
            histories: BTreeMap::new(),
            next_worker: 0,
            epoch: 1,
            log: BTreeMap::new(),
            submissions: BTreeMap::new(),
            down_time,
            crashes: 0,
            crashes_unanswered: false,
            stray_crash_ticks: 0,
        };
        for _ in 0..WORKERS {
            let worker = simulation.new_worker();
            simulation.workers.push(worker);
        }
        simulation.report_workers();
        simulation
    }

    fn new_worker(&mut self) -> CrashWorker {
        self.next_worker += 1;
        CrashWorker {
            id: format!("i-{:04}", self.next_worker),
            started_at: self.test.now,
            crashes_at: None,
            back_at: None,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_row_number: 1,
            listed_end: 0,
        }
    }

    fn report_workers(&mut self) {
        for (index, worker) in self.workers.iter().enumerate() {
            if worker.back_at.is_none() {
                let mut report = report(index, WORKER_CPU);
                report.id.clone_from(&worker.id);
                report.started_at = worker.started_at;
                report.clock = self.test.now;
                self.test.cell.worker_reported(report);
            }
        }
    }

    /// Starts a new owner, which knows only what the log has.
    fn change_owner(&mut self) {
        let now = self.test.now;
        self.epoch += 1;
        self.test = TestCell::new(self.epoch);
        self.test.step(now.since(self.test.now).as_millis());
        self.answers.clear();
        self.report_workers();
        for (code, submission) in &self.submissions {
            self.test.cell.accept_from_intake(*code, submission.clone());
        }
        let records = self.log.iter().filter(|(_, value)| !value.is_empty());
        let (crashes, others): (Vec<_>, Vec<_>) =
            records.partition(|((_, kind), _)| *kind == RecordKind::Crashes);
        for ((code, _), value) in crashes {
            let record = decode_record(value).expect("decodes");
            self.test.cell.restore_crashes(*code, record);
        }
        for ((code, kind), value) in others {
            if *kind == RecordKind::Progress {
                let record = decode_record(value).expect("decodes");
                self.test.cell.restore_progress(*code, record);
            }
        }
    }

    fn submit(&mut self, code: u64, is_deadly: bool) {
        let tasks = self.rng.u32(1..5);
        let demand = self.rng.u64(500..2_000);
        let is_gang = self.rng.u8(0..6) == 0;
        let spec = if is_gang {
            gang(tasks, demand)
        } else {
            job(tasks, demand)
        };
        let queue = if self.rng.bool() { PLAIN } else { ADVISED };
        let code = JobCode::new(code);
        let submission = submission(queue, spec, self.test.now);
        self.submissions.insert(code, submission.clone());
        self.test.cell.accept_from_intake(code, submission);
        if is_gang {
            self.gangs.insert(code);
        }
        if is_deadly {
            self.deadly.insert(code);
        } else {
            self.sound.insert(code, self.test.now);
        }
    }

    /// Returns whether a start crashes its worker: that of the first task of a deadly job.
    fn is_deadly(&self, start: &StartCommand) -> bool {
        self.deadly.contains(&start.task.job) && start.task.index == 0
    }

    fn tick(&mut self) {
        self.test.step(TICK);
        let now = self.test.now;
        for index in 0..self.workers.len() {
            self.advance_worker(index, now);
        }
        if now.as_millis().is_multiple_of(500) {
            self.report_workers();
        }
        let departed = self.listed_until.extract_if(.., |(_, until)| *until <= now);
        for (id, _) in departed {
            self.test.cell.worker_unlisted(&id);
        }
        for (poll, answer) in std::mem::take(&mut self.answers) {
            self.test.cell.poll_answered(&poll, answer);
        }
        self.test.cell.run_due_work();
        let mut effects = self.test.cell.take_effects();
        if let Some(batch) = self.test.cell.take_batch().expect("encodes") {
            for write in batch.writes {
                self.log.insert((write.job, write.kind), write.value);
            }
            self.test.cell.batch_recorded();
            effects.extend(self.test.cell.take_effects());
        }
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn advance_worker(&mut self, index: usize, now: MilliTime) {
        if self.workers[index].back_at.is_some_and(|at| at <= now) {
            self.workers[index] = self.new_worker();
            self.report_workers();
        }
        let crashes_at = self.workers[index].crashes_at;
        if crashes_at.is_some_and(|at| at <= now) {
            self.crash_worker(index);
        }
        let worker = &mut self.workers[index];
        let done = worker.runs.iter().filter(|(_, (_, ends))| *ends <= now);
        let done: Vec<_> = done.map(|(task, (run, _))| (task.clone(), *run)).collect();
        for (task, run) in done {
            worker.runs.remove(&task);
            worker.ended.push(EndedRow {
                number: worker.next_row_number,
                task,
                run,
                outcome: RunEnd::Done,
                checkpoint: String::new(),
            });
            worker.next_row_number += 1;
        }
    }

    fn crash_worker(&mut self, index: usize) {
        let now = self.test.now;
        let worker = &mut self.workers[index];
        // Nobody has seen the ends that were not listed, so that these runs are lost too.
        let listed_end = worker.listed_end;
        let unseen = worker.ended.drain(..);
        let unseen = unseen.filter(|row| row.number > listed_end);
        let lost = std::mem::take(&mut worker.runs).into_keys();
        for task in lost.chain(unseen.map(|row| row.task)) {
            self.histories.entry(task).or_default().crashes += 1;
        }
        worker.crashes_at = None;
        worker.back_at = Some(now + MilliSpan::new(self.down_time));
        self.listed_until
            .push((worker.id.clone(), now + MilliSpan::new(LIST_TIMEOUT)));
        self.crashes += 1;
    }

    /// Crashes a random worker that is up.
    fn crash_stray_worker(&mut self) {
        let index = self.rng.usize(0..WORKERS);
        if self.workers[index].back_at.is_none() {
            self.crash_worker(index);
        }
    }

    /// Returns the worker of an order, if it is up.
    fn reach(&mut self, id: &str) -> Option<&mut CrashWorker> {
        let mut workers = self.workers.iter_mut();
        workers.find(|worker| worker.id == id && worker.back_at.is_none())
    }

    fn carry_out(&mut self, effect: CellEffect) {
        let now = self.test.now;
        match effect {
            CellEffect::Start(start) => self.start(&start),
            CellEffect::Stop(stop) => {
                if let Some(worker) = self.reach(&stop.target.id) {
                    worker.runs.remove(&stop.task);
                }
                self.test.cell.stop_answered(&stop, Ok(now));
            }
            CellEffect::Poll(poll) => {
                let answer = self.reach(&poll.target.id).map(|worker| {
                    worker
                        .ended
                        .retain(|row| row.number > poll.last_recorded_end);
                    let running = worker.runs.iter().map(|(task, (run, _))| RunningRow {
                        task: task.clone(),
                        run: *run,
                        checkpoint: String::new(),
                        percent: u32::try_from(now.as_millis() / 10 % 100).unwrap_or(0),
                    });
                    worker.listed_end = worker.next_row_number - 1;
                    WorkerListing {
                        started_at: Some(worker.started_at),
                        clock: now,
                        running: running.collect(),
                        ended: worker.ended.clone(),
                        unreadable_rows: 0,
                    }
                });
                let answer = answer.ok_or(OrderError::OutcomeUnknown);
                self.answers.push((poll, answer));
            }
            CellEffect::RequestAdvice(request) => self.test.answer_request(&request),
            CellEffect::DropIntake(job) => {
                self.submissions.remove(&job);
            }
            CellEffect::Reply(..) => {}
        }
    }

    fn start(&mut self, start: &StartCommand) {
        let now = self.test.now;
        let is_deadly = self.is_deadly(start);
        let mut duration = self.rng.u64(300..2_500);
        if self.deadly.contains(&start.task.job) && self.gangs.contains(&start.task.job) {
            // A gang works only while all of its members do.
            duration = DRAIN_PHASE;
        }
        let is_refused = self.stray_crash_ticks > 0 && self.rng.bool();
        let Some(worker) = self.reach(&start.target.id) else {
            // A machine that has lost its power refuses no connection.
            let lost = if is_refused {
                OrderError::Undelivered
            } else {
                OrderError::OutcomeUnknown
            };
            self.test.cell.start_answered(start, Err(lost));
            return;
        };
        let ends = now + MilliSpan::new(duration);
        worker
            .runs
            .insert(start.task.to_string(), (start.run, ends));
        if is_deadly {
            let crash = now + MilliSpan::new(CRASH_DELAY);
            worker.crashes_at.get_or_insert(crash);
        }
        if is_deadly && self.crashes_unanswered {
            let mut workers = self.workers.iter();
            let index = workers.position(|worker| worker.id == start.target.id);
            self.crash_worker(index.expect("the worker is up"));
            let lost = Err(OrderError::OutcomeUnknown);
            self.test.cell.start_answered(start, lost);
        } else {
            self.test.cell.start_answered(start, Ok(now));
        }
        if is_deadly {
            let history = self.histories.entry(start.task.to_string()).or_default();
            if history.crashes >= COUNTED_CRASHES {
                history.later_starts += 1;
            }
            // Crashes without a cause cost tries of their own.
            assert!(
                self.stray_crash_ticks > 0 || history.later_starts <= MAX_LATER_STARTS,
                "{} is started again after {} crashes",
                start.task,
                history.crashes
            );
        }
    }

    fn state(&self, code: JobCode) -> Option<JobStatus> {
        self.test.cell.state(code)
    }

    /// Returns the most crashes of workers under a task of a job.
    fn most_crashes(&self, code: JobCode) -> u32 {
        let prefix = format!("{code}.");
        let histories = self.histories.iter();
        let crashes = histories
            .filter(|(task, _)| task.starts_with(&prefix))
            .map(|(_, history)| history.crashes);
        crashes.max().unwrap_or(0)
    }

    /// Lets jobs arrive, one in `deadly_in` of them deadly, until all have ended. The
    /// owner changes each `owner_ticks`.
    fn run(&mut self, deadly_in: u64, owner_ticks: u64) {
        let mut code: u64 = 0;
        for tick in 1..=(ARRIVAL_PHASE + DRAIN_PHASE) / TICK {
            if tick.is_multiple_of(owner_ticks) && tick * TICK <= OWNER_PHASE {
                self.change_owner();
            }
            if tick * TICK <= ARRIVAL_PHASE && self.rng.u8(0..10) == 0 {
                code += 1;
                let is_deadly = code.is_multiple_of(deadly_in);
                self.submit(code, is_deadly);
            }
            if self.stray_crash_ticks > 0
                && tick.is_multiple_of(self.stray_crash_ticks)
                && tick * TICK <= OWNER_PHASE
            {
                self.crash_stray_worker();
            }
            self.tick();
        }
        for code in self.sound.keys() {
            if self.state(*code) == Some(JobStatus::Failed) {
                assert!(
                    self.most_crashes(*code) >= ALLOWED_CRASHES,
                    "{code} is given up after {} crashes",
                    self.most_crashes(*code)
                );
                continue;
            }
            assert_eq!(
                self.state(*code),
                Some(JobStatus::Completed),
                "{code} is sound"
            );
        }
        for code in &self.deadly {
            assert_eq!(
                self.state(*code),
                Some(JobStatus::Failed),
                "{code} is deadly"
            );
        }
    }
}

/// Guards against tasks that crash worker after worker: runs that were lost with their
/// worker were placed again without limit, each time beside other runs.
#[test_case(0..8, 3_300 ; "workers that are back before their lease ends")]
#[test_case(8..16, 12_000 ; "workers that are back after their lease ends")]
fn a_task_that_crashes_its_workers_is_given_up_and_its_neighbours_are_not(
    seeds: std::ops::Range<u64>,
    down_time: u64,
) {
    print_logs();
    for seed in seeds {
        let mut simulation = CrashSimulation::new(seed, down_time);
        simulation.run(10, u64::MAX);
    }
}

/// Guards against an owner that forgets the crashes that its predecessor has seen.
#[test_case(20..28, 3_300, 210 ; "changes each two seconds")]
#[test_case(1_239..1_240, 3_300, 210 ; "a change between the answer of a worker and its record")]
#[test_case(28..36, 3_300, 870 ; "changes each nine seconds")]
#[test_case(36..44, 9_000, 1_130 ; "changes each eleven seconds and workers away for long")]
fn a_new_owner_knows_the_tasks_that_crashed_their_workers(
    seeds: std::ops::Range<u64>,
    down_time: u64,
    owner_ticks: u64,
) {
    print_logs();
    for seed in seeds {
        let mut simulation = CrashSimulation::new(seed, down_time);
        simulation.run(10, owner_ticks);
    }
}

/// Guards against a task that is never given up, since its workers crash before they have
/// answered its start.
#[test_case(44..52, u64::MAX ; "one owner")]
#[test_case(52..60, 870 ; "owners that change each nine seconds")]
fn a_task_that_crashes_its_workers_before_they_answer_is_given_up(
    seeds: std::ops::Range<u64>,
    owner_ticks: u64,
) {
    print_logs();
    for seed in seeds {
        let mut simulation = CrashSimulation::new(seed, 3_300);
        simulation.crashes_unanswered = true;
        simulation.run(10, owner_ticks);
    }
}

/// Guards against sound jobs that are given up since workers crash around them, idle ones
/// among them.
#[test_case(60..68, u64::MAX ; "one owner")]
#[test_case(68..76, 870 ; "owners that change each nine seconds")]
fn a_job_is_given_up_only_if_workers_have_crashed_under_one_of_its_tasks(
    seeds: std::ops::Range<u64>,
    owner_ticks: u64,
) {
    print_logs();
    for seed in seeds {
        let mut simulation = CrashSimulation::new(seed, 2_000);
        simulation.stray_crash_ticks = 15;
        simulation.run(20, owner_ticks);
    }
}

/// Replaces a worker by one that started later at its address.
fn replace_worker(test: &mut TestCell, index: usize, id: &str) {
    let mut successor = report(index, WORKER_CPU);
    id.clone_into(&mut successor.id);
    successor.started_at = test.now;
    successor.clock = test.now;
    test.cell.worker_reported(successor);
    test.step(100);
}

/// Answers the polls of workers that run nothing.
fn answer_idle_polls(test: &mut TestCell) {
    for poll in test.run_due_work().polls {
        test.answer_poll(&poll, WorkerListing::default());
    }
}

/// Guards against a wait for the end of the lease although another worker has taken the
/// place of a crashed one.
#[test]
fn the_runs_of_a_replaced_worker_wait_again_at_once() {
    let mut test = TestCell::new(1);
    test.add_workers(1, WORKER_CPU);
    test.submit(1, PLAIN, job(1, 1_000));
    test.run_due_work();
    let starts = test.record().starts;
    test.answer_starts(&starts);
    test.step(3_000);
    replace_worker(&mut test, 0, "successor");
    answer_idle_polls(&mut test);
    test.run_due_work();
    let starts = test.record().starts;
    assert_eq!(starts.len(), 1, "the task starts on the successor");
    assert_eq!(starts[0].target.id, "successor");
    assert_eq!(starts[0].run, 2);
}

/// Guards against an old report, read after that of the successor, that would make a
/// crashed worker look alive.
#[test]
fn an_old_report_does_not_bring_a_replaced_worker_back() {
    let mut test = TestCell::new(1);
    let old = report(0, WORKER_CPU);
    replace_worker(&mut test, 0, "successor");
    test.cell.worker_reported(old.clone());
    answer_idle_polls(&mut test);
    test.cell.worker_reported(old);
    answer_idle_polls(&mut test);
    test.submit(1, PLAIN, job(2, 4_500));
    test.run_due_work();
    let starts = test.record().starts;
    assert_eq!(starts.len(), 1, "only the successor takes runs");
    assert_eq!(starts[0].target.id, "successor");
}

/// Guards against a job that is shown as failed after one crash, since a start that its
/// worker never answered was taken for another.
#[test]
fn a_start_that_was_not_answered_is_no_crash_of_its_task() {
    let mut test = TestCell::new(1);
    test.add_workers(1, WORKER_CPU);
    test.submit(1, PLAIN, job(1, 1_000));
    let code = JobCode::new(1);
    for (round, is_answered) in [false, true, true].into_iter().enumerate() {
        assert_ne!(test.cell.state(code), Some(JobStatus::Failed));
        test.run_due_work();
        let starts = test.record().starts;
        assert_eq!(starts.len(), 1, "start {round}");
        if is_answered {
            test.answer_starts(&starts);
        } else {
            let lost = Err(OrderError::OutcomeUnknown);
            test.cell.start_answered(&starts[0], lost);
        }
        test.step(3_000);
        replace_worker(&mut test, 0, &format!("successor-{round}"));
        answer_idle_polls(&mut test);
    }
    test.run_due_work();
    test.record();
    assert_eq!(
        test.cell.state(code),
        Some(JobStatus::Failed),
        "two crashes"
    );
}

/// LOST: a sound job was shown as failed after two crashes of other causes: one long after the
/// start of its task, and one by chance just after the next start.
#[test]
fn a_crash_long_after_the_start_is_no_proof_against_the_next_start() {
    let mut test = TestCell::new(1);
    test.add_workers(1, WORKER_CPU);
    test.submit(1, PLAIN, job(1, 1_000));
    let code = JobCode::new(1);
    test.run_due_work();
    let starts = test.record().starts;
    test.answer_starts(&starts);
    for _ in 0..3 {
        test.step(200);
        for poll in test.run_due_work().polls {
            let listing = WorkerListing {
                running: vec![running(&starts[0], 10)],
                ..WorkerListing::default()
            };
            test.answer_poll(&poll, listing);
        }
    }
    replace_worker(&mut test, 0, "successor-1");
    for id in ["successor-2", "successor-3"] {
        let starts = next_starts(&mut test);
        assert_eq!(starts.len(), 1, "the task starts again");
        assert_ne!(test.cell.state(code), Some(JobStatus::Failed));
        test.answer_starts(&starts);
        replace_worker(&mut test, 0, id);
    }
    answer_idle_polls(&mut test);
    test.record();
    assert_eq!(
        test.cell.state(code),
        Some(JobStatus::Failed),
        "two crashes just after a start"
    );
}

/// Guards against sound tasks that are suspected, and then given up, because they were
/// out of reach behind a network partition.
#[test]
fn a_worker_that_answers_again_has_not_crashed() {
    let mut test = TestCell::new(1);
    test.add_workers(2, WORKER_CPU);
    test.submit(1, PLAIN, job(1, 1_000));
    let code = JobCode::new(1);
    for _ in 0..6 {
        test.run_due_work();
        let starts = test.record().starts;
        assert_eq!(starts.len(), 1);
        test.answer_starts(&starts);
        for _ in 0..90 {
            test.step(100);
            for poll in test.run_due_work().polls {
                if poll.target.id == starts[0].target.id {
                    let lost = Err(OrderError::OutcomeUnknown);
                    test.cell.poll_answered(&poll, lost);
                } else {
                    test.answer_poll(&poll, WorkerListing::default());
                }
            }
        }
        // The worker is back; its lease had ended the run.
        test.step(400);
        answer_idle_polls(&mut test);
        test.step(400);
    }
    assert_ne!(test.cell.state(code), Some(JobStatus::Failed));
}

/// Guards against a job that is given up for a crash that is proved only after its task
/// has succeeded on another worker.
#[test]
fn a_late_proof_does_not_fail_a_job_whose_task_has_succeeded() {
    let mut test = TestCell::new(1);
    test.add_workers(2, WORKER_CPU);
    let mut spec = job(1, 1_000);
    let mut second = work_support::step(1, 60_000);
    second.after = [0].into_iter().collect();
    spec.steps.push(second);
    test.submit(1, PLAIN, spec);
    let code = JobCode::new(1);
    // Two workers are lost without a proof, one after the other.
    test.run_due_work();
    let mut starts = test.record().starts;
    for index in 0..2 {
        assert_eq!(starts.len(), 1, "start {index}");
        test.answer_starts(&starts);
        let lost = starts[0].target.id.clone();
        let mut other = report(index + 10, WORKER_CPU);
        other.clock = test.now;
        test.cell.worker_reported(other);
        starts.clear();
        while starts.is_empty() {
            test.step(100);
            for poll in test.run_due_work().polls {
                if poll.target.id == lost {
                    let lost = Err(OrderError::OutcomeUnknown);
                    test.cell.poll_answered(&poll, lost);
                } else {
                    test.answer_poll(&poll, WorkerListing::default());
                }
            }
            starts = test.record().starts;
        }
        test.cell.worker_unlisted(&lost);
    }
    // The third run succeeds, and only then do the successors of the lost workers appear.
    test.answer_starts(&starts);
    test.step(1_000);
    for poll in test.run_due_work().polls {
        let mut listing = WorkerListing::default();
        if poll.target.id == starts[0].target.id {
            listing
                .ended
                .push(work_support::ended(&starts[0], 1, RunEnd::Done));
        }
        test.answer_poll(&poll, listing);
    }
    for index in 0..2 {
        replace_worker(&mut test, index, &format!("successor-{index}"));
    }
    test.run_due_work();
    test.record();
    assert_eq!(test.cell.state(code), Some(JobStatus::Running));
}

/// The number of losses in a row that the tests below give a sound task, more than a task
/// that crashes its workers gets.
const LOSSES: usize = 8;

/// Answers the polls of workers that run nothing until the next starts leave.
fn next_starts(test: &mut TestCell) -> Vec<StartCommand> {
    for _ in 0..20 {
        answer_idle_polls(test);
        let starts = test.record().starts;
        if !starts.is_empty() {
            return starts;
        }
        test.step(100);
    }
    Vec::new()
}

/// Guards against a job that is shown as failed although no run of it ever began: each
/// start went to a worker that had crashed while it was idle.
#[test]
fn a_job_whose_starts_met_crashed_workers_is_not_given_up() {
    let mut test = TestCell::new(1);
    test.add_workers(1, WORKER_CPU);
    test.submit(1, PLAIN, job(1, 1_000));
    let code = JobCode::new(1);
    for round in 0..LOSSES {
        test.run_due_work();
        let mut starts = test.record().starts;
        if starts.is_empty() {
            // The worker did not answer before the start, which therefore did not leave.
            for poll in test.run_due_work().polls {
                let lost = Err(OrderError::OutcomeUnknown);
                test.cell.poll_answered(&poll, lost);
            }
        }
        for start in starts.drain(..) {
            let lost = Err(OrderError::OutcomeUnknown);
            test.cell.start_answered(&start, lost);
        }
        test.step(2_000);
        replace_worker(&mut test, 0, &format!("successor-{round}"));
        answer_idle_polls(&mut test);
        // The successor is idle for a while, and then crashes.
        test.step(2_000);
    }
    assert_ne!(test.cell.state(code), Some(JobStatus::Failed));
}

/// Guards against the same after changes of the owner: the new one finds placements whose
/// starts may never have left.
#[test]
fn a_job_whose_starts_no_owner_knows_of_is_not_given_up() {
    let code = JobCode::new(1);
    let submission = submission(PLAIN, job(1, 1_000), MilliTime::new(100_000));
    let mut records = BTreeMap::new();
    for round in 0..LOSSES {
        let epoch = u64::try_from(round).expect("fits") + 1;
        let mut test = TestCell::new(epoch);
        test.step(epoch * 10_000);
        let mut old = report(0, WORKER_CPU);
        old.id = format!("worker-{round}");
        old.started_at = MilliTime::new(epoch * 10_000);
        old.clock = old.started_at;
        test.cell.worker_reported(old);
        test.cell.accept_from_intake(code, submission.clone());
        restore(&mut test, code, &records);
        // The worker that the record names has crashed before this owner reached it.
        replace_worker(&mut test, 0, &format!("worker-{}", round + 1));
        answer_idle_polls(&mut test);
        test.run_due_work();
        // The owner dies once the next placement is in the log.
        while let Some(batch) = test.cell.take_batch().expect("encodes") {
            records.extend(
                batch
                    .writes
                    .into_iter()
                    .map(|write| (write.kind, write.value)),
            );
            test.cell.batch_recorded();
            test.run_due_work();
        }
        assert_ne!(
            test.cell.state(code),
            Some(JobStatus::Failed),
            "after {round} owners"
        );
    }
}

fn restore(test: &mut TestCell, code: JobCode, records: &BTreeMap<RecordKind, Vec<u8>>) {
    if let Some(value) = records.get(&RecordKind::Crashes)
        && !value.is_empty()
    {
        let record = decode_record(value).expect("decodes");
        test.cell.restore_crashes(code, record);
    }
    if let Some(value) = records.get(&RecordKind::Progress) {
        let record = decode_record(value).expect("decodes");
        test.cell.restore_progress(code, record);
    }
}

/// Guards against a job that is given up because it lost its workers for good, each long
/// after the start, and none of them is known to have crashed.
#[test]
fn a_job_whose_workers_went_out_of_reach_is_not_given_up() {
    let mut test = TestCell::new(1);
    test.submit(1, PLAIN, job(1, 1_000));
    let code = JobCode::new(1);
    for index in 0..LOSSES {
        let mut worker = report(index, WORKER_CPU);
        worker.clock = test.now;
        test.cell.worker_reported(worker);
        let starts = next_starts(&mut test);
        assert_eq!(starts.len(), 1, "start {index}");
        test.answer_starts(&starts);
        for tick in 0..100 {
            test.step(100);
            for poll in test.run_due_work().polls {
                if tick < 10 {
                    let running = vec![work_support::running(&starts[0], 10 + tick)];
                    let listing = WorkerListing {
                        running,
                        ..WorkerListing::default()
                    };
                    test.answer_poll(&poll, listing);
                } else {
                    let lost = Err(OrderError::OutcomeUnknown);
                    test.cell.poll_answered(&poll, lost);
                }
            }
        }
        test.cell.worker_unlisted(&starts[0].target.id);
        test.step(100);
        test.run_due_work();
    }
    assert_ne!(test.cell.state(code), Some(JobStatus::Failed));
}

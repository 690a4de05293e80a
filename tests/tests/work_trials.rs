//! Review of issue 34: suspected tasks, and sound ones beside them, that wait although room
//! is free.

mod work_support;

use std::collections::BTreeMap;

use pimentochute_base::ResourceAmount;
use pimentochute_work::{
    CellEffect, JobCode, JobCrashes, JobSpec, JobStatus, RunningRow, StartCommand, TaskCrashes,
    TeamConfig, WorkerListing,
};
use work_support::{
    ADVISED, PLAIN, TEAM, TestCell, config, gang, job, print_logs, report, submission,
};

/// The time in which a job that could run has to start, as the platform counts it.
const MAX_WAIT: u64 = 14_000;
const TICK: u64 = 10;
const WORKER_CPU: u64 = 8_000;
const CAPPED: &str = "capped";

/// Workers that carry out every order, and whose runs never end by themselves.
struct Fleet {
    test: TestCell,
    runs: BTreeMap<String, BTreeMap<String, StartCommand>>,
    ended: BTreeMap<String, Vec<pimentochute_work::EndedRow>>,
    /// The workers that the advice service allows; all if empty.
    eligible: Vec<String>,
    started: Vec<StartCommand>,
}

impl Fleet {
    fn new(labels: &[&str]) -> Self {
        print_logs();
        let mut config = config();
        let team = TeamConfig {
            keys: vec!["other".to_owned()],
            weight: 1_000,
            cap: ResourceAmount::new(2_000, 1_000),
        };
        config.teams.insert(CAPPED.to_owned(), team);
        let mut test = TestCell::with_config(1, config);
        for (index, label) in labels.iter().enumerate() {
            let mut report = report(index, WORKER_CPU);
            report.labels[0] = (*label).to_owned();
            test.cell.worker_reported(report);
        }
        let mut fleet = Self {
            test,
            runs: BTreeMap::new(),
            ended: BTreeMap::new(),
            eligible: Vec::new(),
            started: Vec::new(),
        };
        fleet.run(500);
        fleet
    }

    fn submit(&mut self, code: u64, queue: &str, team: &str, spec: JobSpec) {
        let mut submission = submission(queue, spec, self.test.now);
        submission.team = Some(team.to_owned());
        self.test
            .cell
            .accept_from_intake(JobCode::new(code), submission);
    }

    /// Makes tasks of a job suspects, as a new owner reads it from the log.
    fn suspect(&mut self, code: u64, tasks: u32, losses: u32) {
        let rows = (0..tasks).map(|task| TaskCrashes {
            task,
            losses,
            crashes: 1,
            sole_losses: 0,
            is_suspect: true,
            reached_run: 0,
        });
        let record = JobCrashes {
            tasks: rows.collect(),
        };
        self.test.cell.restore_crashes(JobCode::new(code), record);
    }

    fn run(&mut self, span: u64) {
        for _ in 0..span / TICK {
            self.test.step(TICK);
            self.test.cell.run_due_work();
            let mut effects = self.test.cell.take_effects();
            if self.test.cell.take_batch().expect("encodes").is_some() {
                self.test.cell.batch_recorded();
                effects.extend(self.test.cell.take_effects());
            }
            for effect in effects {
                self.carry_out(effect);
            }
        }
    }

    fn carry_out(&mut self, effect: CellEffect) {
        let now = self.test.now;
        match effect {
            CellEffect::Start(start) => {
                let runs = self.runs.entry(start.target.id.clone()).or_default();
                runs.insert(start.task.to_string(), start.clone());
                self.started.push(start.clone());
                self.test.cell.start_answered(&start, Ok(now));
            }
            CellEffect::Stop(stop) => {
                let runs = self.runs.entry(stop.target.id.clone()).or_default();
                runs.remove(&stop.task);
                self.test.cell.stop_answered(&stop, Ok(now));
            }
            CellEffect::Poll(poll) => {
                let runs = self.runs.get(&poll.target.id).into_iter().flatten();
                let running = runs.map(|(task, start)| RunningRow {
                    task: task.clone(),
                    run: start.run,
                    checkpoint: String::new(),
                    percent: u32::try_from(now.as_millis() / 10 % 100).unwrap_or(0),
                });
                let ended = self.ended.get(&poll.target.id).cloned().unwrap_or_default();
                let listing = WorkerListing {
                    running: running.collect(),
                    ended,
                    ..WorkerListing::default()
                };
                self.test.answer_poll(&poll, listing);
            }
            CellEffect::RequestAdvice(request) => {
                let mut allowed = request.clone();
                if !self.eligible.is_empty() {
                    allowed.workers.retain(|id| self.eligible.contains(id));
                }
                let rows = allowed
                    .workers
                    .iter()
                    .map(|worker| pimentochute_work::AdviceRow {
                        worker: worker.clone(),
                        ticket: "t".to_owned(),
                    });
                let rows = rows.collect();
                self.test.cell.advice_answered(&request, Some(rows));
            }
            CellEffect::Reply(..) | CellEffect::DropIntake(_) => {}
        }
    }

    fn starts_of(&self, code: u64) -> usize {
        let starts = self.started.iter();
        starts
            .filter(|start| start.task.job == JobCode::new(code))
            .count()
    }
}

/// One long task on each worker with a label.
fn resident(workers: u32, cpu: u64, label: &str) -> JobSpec {
    let mut spec = job(workers, cpu);
    spec.steps[0].max_per_worker = 1;
    spec.steps[0].label = Some(label.to_owned());
    spec.steps[0].is_service = true;
    spec
}

fn labelled(tasks: u32, cpu: u64, label: &str) -> JobSpec {
    let mut spec = job(tasks, cpu);
    spec.steps[0].label = Some(label.to_owned());
    spec
}

/// A suspect may run only on workers with a label. Each of them has a long run and is nearly
/// free; a worker without the label is vacant, and is the one that is kept.
#[test]
fn a_suspect_starts_though_a_worker_that_it_may_not_use_is_vacant() {
    let mut fleet = Fleet::new(&["x", "x", "x", "y"]);
    fleet.submit(1, PLAIN, TEAM, resident(3, 1_000, "x"));
    fleet.run(2_000);
    assert_eq!(fleet.starts_of(1), 3);
    fleet.submit(2, PLAIN, TEAM, labelled(1, 1_000, "x"));
    fleet.suspect(2, 1, 1);
    fleet.run(MAX_WAIT * 4);
    assert_eq!(fleet.starts_of(2), 1, "the suspect has not started in 56 s");
}

/// The same where the advice service does not allow the vacant worker.
#[test]
fn a_suspect_starts_though_a_worker_that_the_advice_denies_is_vacant() {
    let mut fleet = Fleet::new(&["x", "x", "x", "y"]);
    fleet.submit(1, PLAIN, TEAM, resident(3, 1_000, "x"));
    fleet.run(2_000);
    fleet.eligible = (0..3).map(work_support::worker_id).collect();
    fleet.submit(2, ADVISED, TEAM, job(1, 1_000));
    fleet.suspect(2, 1, 1);
    fleet.run(MAX_WAIT * 4);
    assert_eq!(fleet.starts_of(2), 1, "the suspect has not started in 56 s");
}

/// The same where the vacant worker is too small: none is, but its capacity is.
#[test]
fn a_suspect_starts_though_a_worker_that_is_too_small_is_vacant() {
    let mut fleet = Fleet::new(&["x", "x", "x"]);
    let mut small = report(3, 500);
    small.labels[0] = "y".to_owned();
    fleet.test.cell.worker_reported(small);
    fleet.submit(1, PLAIN, TEAM, resident(3, 1_000, "x"));
    fleet.run(2_000);
    fleet.submit(2, PLAIN, TEAM, job(1, 1_000));
    fleet.suspect(2, 1, 1);
    fleet.run(MAX_WAIT * 4);
    assert_eq!(fleet.starts_of(2), 1, "the suspect has not started in 56 s");
}

/// The only worker is kept for a suspect that can run nowhere.
#[test]
fn a_sound_task_starts_on_the_only_worker_beside_a_suspect_that_fits_nowhere() {
    let mut fleet = Fleet::new(&["x"]);
    fleet.submit(1, PLAIN, TEAM, labelled(1, 1_000, "gone"));
    fleet.suspect(1, 1, 1);
    fleet.run(100);
    fleet.submit(2, PLAIN, TEAM, job(1, 1_000));
    fleet.run(MAX_WAIT * 4);
    assert_eq!(
        fleet.starts_of(2),
        1,
        "the sound task has not started in 56 s"
    );
}

/// Suspects of a team at its cap wait for one of its runs to end. As many workers are kept
/// idle for them meanwhile.
#[test]
fn a_sound_gang_starts_beside_suspects_of_a_team_at_its_cap() {
    let mut fleet = Fleet::new(&["x"; 16]);
    let mut long = job(1, 2_000);
    long.steps[0].is_service = true;
    fleet.submit(1, PLAIN, CAPPED, long);
    fleet.run(1_000);
    assert_eq!(fleet.starts_of(1), 1);
    for code in 2..22 {
        fleet.submit(code, PLAIN, CAPPED, job(1, 1_000));
        fleet.suspect(code, 1, 1);
    }
    fleet.run(100);
    // Three tenths of the capacity, on 15 vacant workers.
    fleet.submit(100, PLAIN, TEAM, gang(5, WORKER_CPU));
    fleet.run(MAX_WAIT * 4);
    assert_eq!(
        fleet.starts_of(100),
        5,
        "tasks of the sound gang that started in 56 s"
    );
}

/// Tasks that have lost three workers stay apart until they end. Those that last use up the
/// limit for good, while half of the workers are vacant.
#[test]
fn long_suspects_start_while_workers_are_vacant() {
    let mut fleet = Fleet::new(&["x"; 24]);
    for code in 1..19 {
        let mut spec = job(1, 4_000);
        spec.steps[0].is_service = true;
        fleet.submit(code, PLAIN, TEAM, spec);
        fleet.suspect(code, 1, 3);
        fleet.run(1_000);
    }
    fleet.run(MAX_WAIT * 4);
    let started = (1..19).filter(|code| fleet.starts_of(*code) > 0).count();
    let used = fleet.runs.values().filter(|runs| !runs.is_empty()).count();
    assert_eq!(
        started, 18,
        "suspects that started in 56 s; workers in use: {used} of 24"
    );
}

/// A gang with a member that stays apart until it ends is "in trial" for as long, so that no
/// other gang may use more workers than are spare.
#[test]
fn a_gang_with_suspects_starts_beside_a_gang_that_stays_apart() {
    let mut fleet = Fleet::new(&["x"; 16]);
    fleet.submit(1, PLAIN, TEAM, resident(16, 5_000, "x"));
    fleet.run(2_000);
    fleet.submit(2, PLAIN, TEAM, gang(2, 1_000));
    fleet.suspect(2, 1, 3);
    fleet.run(8_000);
    assert_eq!(fleet.starts_of(2), 2, "the first gang");
    let mut spec = gang(12, 2_000);
    spec.steps[0].max_per_worker = 1;
    fleet.submit(3, PLAIN, TEAM, spec);
    fleet.suspect(3, 8, 1);
    fleet.run(MAX_WAIT * 4);
    assert_eq!(
        fleet.starts_of(3),
        12,
        "the second gang has not started in 56 s"
    );
}

/// A task that crashes its worker some time after its start is calm again once it was
/// cleared, whatever it has crashed before. A sound suspect beside it is given up.
#[test]
fn a_sound_suspect_is_not_given_up_beside_a_task_that_crashed_workers_before() {
    let mut fleet = Fleet::new(&["x"]);
    // It has crashed two workers while it ran, and was cleared since.
    fleet.submit(1, PLAIN, TEAM, resident(1, 1_000, "x"));
    let record = JobCrashes {
        tasks: vec![TaskCrashes {
            task: 0,
            losses: 2,
            crashes: 2,
            sole_losses: 0,
            is_suspect: true,
            reached_run: 0,
        }],
    };
    fleet.test.cell.restore_crashes(JobCode::new(1), record);
    fleet.run(2_000);
    assert_eq!(fleet.starts_of(1), 1);
    // The neighbour of one crash.
    fleet.submit(2, PLAIN, TEAM, job(1, 1_000));
    fleet.suspect(2, 1, 1);
    while fleet.starts_of(2) == 0 {
        fleet.run(TICK);
        assert!(fleet.test.now.as_millis() < 200_000);
    }
    // The first task crashes the worker for the third time.
    fleet.test.step(20);
    let mut successor = report(0, WORKER_CPU);
    "i-next".clone_into(&mut successor.id);
    successor.labels[0] = "x".to_owned();
    successor.started_at = fleet.test.now;
    successor.clock = fleet.test.now;
    fleet.runs.clear();
    fleet.test.cell.worker_reported(successor);
    fleet.run(200);
    let state = fleet.test.cell.state(JobCode::new(2));
    assert_ne!(state, Some(JobStatus::Failed), "the sound job is given up");
}

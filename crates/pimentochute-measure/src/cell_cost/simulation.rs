//! A discrete-event simulation of a cell and its workers, in steps of one
//! millisecond. Workers execute every command and no call fails.

use std::collections::BTreeMap;

use pimentochute_base::{ConfigVersion, EpochNumber, MilliSpan, MilliTime, ResourceAmount};
use pimentochute_work::{
    AdviceCommand, AdviceCost, AdviceRow, CellConfig, CellEffect, CellPolicy, EndedRow, JobCode,
    JobSubmission, PollCommand, PoolConfig, QueueConfig, QueueTerms, RequestLimits, RunEnd,
    RunningRow, StartCommand, TeamConfig, WorkCell, WorkerListing, WorkerReport,
};

use crate::load::{JobLoad, WORKER_CPU_MILLIS};

/// The time from a command to its answer over the network, in milliseconds.
const COMMAND_ROUND_TRIP_MS: u64 = 3;

/// The time until a batch is in the log, in milliseconds.
const BATCH_RECORD_MS: u64 = 12;

/// The minimum time between two batches, in milliseconds.
const MIN_BATCH_INTERVAL_MS: u64 = 15;

/// The shortest run, in milliseconds.
const MIN_RUN_MS: u64 = 640;

/// The range of run durations above [`MIN_RUN_MS`], in milliseconds.
const RUN_SPREAD_MS: u64 = 3_500;

/// The hash seed for the duration of runs.
const RUN_SEED: u64 = 16;

/// Advice names about one in this many workers as suitable for a step. Which ones
/// depends on the step and the number of workers asked about.
const ADVISED_WORKER_DIVISOR: u64 = 2;

/// The memory of a worker, in MiB.
const WORKER_MIB: u64 = 65_536;

/// The numbers of events since the start.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EventCounts {
    pub(crate) jobs: u64,
    pub(crate) starts: u64,
    pub(crate) polls: u64,
    pub(crate) advice_requests: u64,
    /// Submissions, answers and confirmed batches that the cell received.
    pub(crate) events: u64,
}

/// A cell, its workers, and the messages in flight between them.
pub(crate) struct CellSimulation {
    cell: WorkCell,
    config: CellConfig,
    load: JobLoad,
    /// The simulated time, in milliseconds from the start.
    now: u64,
    workers: BTreeMap<String, SimulatedWorker>,
    /// Future events by their time and a sequence number, which keeps events of the
    /// same time apart.
    scheduled: BTreeMap<(u64, u64), SimulationEvent>,
    next_sequence: u64,
    last_batch_at: u64,
    pub(crate) counts: EventCounts,
}

/// An event at the cell or at a worker.
enum SimulationEvent {
    Started(StartCommand),
    Polled(PollCommand),
    Advised(AdviceCommand),
    Recorded,
    RunEnds { worker: String, task: String },
}

#[derive(Default)]
struct SimulatedWorker {
    runs: BTreeMap<String, u32>,
    ended: Vec<EndedRow>,
    next_end: u64,
    /// A poll that waits until a run ends, and the time of its answer if none does.
    pending_poll: Option<(PollCommand, u64)>,
}

impl EventCounts {
    /// Returns the numbers of events since `before`.
    pub(crate) const fn since(&self, before: &Self) -> Self {
        Self {
            jobs: self.jobs - before.jobs,
            starts: self.starts - before.starts,
            polls: self.polls - before.polls,
            advice_requests: self.advice_requests - before.advice_requests,
            events: self.events - before.events,
        }
    }
}

impl CellSimulation {
    /// Creates a cell with idle workers, all of which have reported.
    pub(crate) fn new(workers: usize, load: JobLoad) -> Self {
        let config = config();
        let start = MilliTime::new(1_000_000);
        let policy = CellPolicy::default();
        let epoch = EpochNumber::new(1);
        let mut cell = WorkCell::new(policy, epoch, config.clone(), start, start);
        cell.set_relays((0..39).map(|host| format!("10.0.0.{host}:1")).collect());
        let mut fleet = BTreeMap::new();
        for index in 0..workers {
            let report = report(index);
            fleet.insert(report.id.clone(), SimulatedWorker::default());
            cell.worker_reported(report);
        }
        Self {
            cell,
            config,
            load,
            now: 0,
            workers: fleet,
            scheduled: BTreeMap::new(),
            next_sequence: 0,
            last_batch_at: 0,
            counts: EventCounts::default(),
        }
    }

    /// Simulates `millis` milliseconds.
    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += 1;
            self.advance();
            for (queue, spec) in self.load.due(self.now) {
                self.counts.jobs += 1;
                self.counts.events += 1;
                let submission = JobSubmission {
                    queue: queue.to_owned(),
                    team: Some("team".to_owned()),
                    received: self.clock(),
                    terms: QueueTerms::from(&self.config.queues[queue]),
                    spec,
                };
                self.cell
                    .accept_from_intake(JobCode::new(self.counts.jobs), submission);
                self.run_owner();
            }
            while let Some(entry) = self.scheduled.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.handle_event(event);
                self.run_owner();
            }
            self.answer_polls();
        }
    }

    /// Returns the number of jobs that wait for workers.
    pub(crate) fn waiting_jobs(&self) -> usize {
        let queues = self.config.queues.keys();
        queues.map(|queue| self.cell.pending(queue)).sum()
    }

    const fn clock(&self) -> MilliTime {
        MilliTime::new(1_000_000 + self.now)
    }

    fn advance(&mut self) {
        let now = self.clock();
        self.cell.advance(now, now);
        self.cell.update_log_contact(now);
        self.cell.update_intake_read(now);
    }

    fn schedule(&mut self, due: u64, event: SimulationEvent) {
        self.scheduled.insert((due, self.next_sequence), event);
        self.next_sequence += 1;
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        let clock = self.clock();
        match event {
            SimulationEvent::RunEnds { worker, task } => {
                let worker = self
                    .workers
                    .get_mut(&worker)
                    .expect("worker should be known");
                if let Some(run) = worker.runs.remove(&task) {
                    worker.next_end += 1;
                    worker.ended.push(EndedRow {
                        number: worker.next_end,
                        task,
                        run,
                        outcome: RunEnd::Done,
                        checkpoint: String::new(),
                    });
                }
                return;
            }
            SimulationEvent::Started(command) => self.cell.start_answered(&command, Ok(clock)),
            SimulationEvent::Polled(command) => {
                let worker = &self.workers[&command.target.id];
                let running = worker.runs.iter().map(|(task, run)| RunningRow {
                    task: task.clone(),
                    run: *run,
                    checkpoint: String::new(),
                    percent: u32::try_from(self.now / 10 % 100).unwrap_or(0),
                });
                let listing = WorkerListing {
                    started_at: None,
                    clock,
                    running: running.collect(),
                    ended: worker.ended.clone(),
                    unreadable_rows: 0,
                };
                self.cell.poll_answered(&command, Ok(listing));
            }
            SimulationEvent::Advised(command) => {
                let advised = command
                    .workers
                    .iter()
                    .filter(|id| is_advised(&command, id))
                    .map(|id| AdviceRow {
                        worker: id.clone(),
                        ticket: "0123456789abcdef".to_owned(),
                    });
                let rows = advised.collect();
                self.cell.advice_answered(&command, Some(rows));
            }
            SimulationEvent::Recorded => self.cell.batch_recorded(),
        }
        self.counts.events += 1;
    }

    /// Runs a scheduling round and executes its effects, as the owner of the cell
    /// does after each event.
    fn run_owner(&mut self) {
        self.cell.run_due_work();
        for effect in self.cell.take_effects() {
            self.execute_effect(effect);
        }
        if self.now >= self.last_batch_at + MIN_BATCH_INTERVAL_MS
            && self.cell.take_batch().expect("encodes").is_some()
        {
            self.last_batch_at = self.now;
            self.schedule(self.now + BATCH_RECORD_MS, SimulationEvent::Recorded);
        }
        std::hint::black_box((self.cell.next_due(), self.cell.sizes()));
    }

    fn execute_effect(&mut self, effect: CellEffect) {
        match effect {
            CellEffect::Start(command) => {
                self.counts.starts += 1;
                let task = command.task.to_string();
                let ends = self.now + run_time(RUN_SEED, &task);
                let id = command.target.id.clone();
                let worker = self.workers.get_mut(&id).expect("worker should be known");
                worker.runs.insert(task.clone(), command.run);
                self.schedule(ends, SimulationEvent::RunEnds { worker: id, task });
                self.schedule(
                    self.now + COMMAND_ROUND_TRIP_MS,
                    SimulationEvent::Started(command),
                );
            }
            CellEffect::Poll(command) => {
                self.counts.polls += 1;
                let until = self.now + command.max_wait.as_millis();
                let id = &command.target.id;
                let worker = self.workers.get_mut(id).expect("worker should be known");
                worker
                    .ended
                    .retain(|row| row.number > command.last_recorded_end);
                worker.pending_poll = Some((command, until));
            }
            CellEffect::RequestAdvice(command) => {
                self.counts.advice_requests += 1;
                let wait = command.wait.as_millis();
                self.schedule(self.now + wait, SimulationEvent::Advised(command));
            }
            CellEffect::DropIntake(code) => self.cell.intake_record_dropped(code),
            CellEffect::Stop(_) | CellEffect::Reply(..) => {}
        }
    }

    /// Answers the polls whose worker has ended runs or whose wait is over.
    fn answer_polls(&mut self) {
        let mut answers = Vec::new();
        for worker in self.workers.values_mut() {
            let is_due = worker
                .pending_poll
                .as_ref()
                .is_some_and(|(_, until)| !worker.ended.is_empty() || *until <= self.now);
            if is_due && let Some((command, _)) = worker.pending_poll.take() {
                answers.push(command);
            }
        }
        for command in answers {
            self.schedule(
                self.now + COMMAND_ROUND_TRIP_MS,
                SimulationEvent::Polled(command),
            );
        }
    }
}

/// Returns the duration of a run in milliseconds, by a hash of the task.
fn run_time(seed: u64, task: &str) -> u64 {
    let mixed = task
        .bytes()
        .fold(seed, |mixed, byte| mixed.wrapping_mul(31) + u64::from(byte));
    MIN_RUN_MS + mixed % RUN_SPREAD_MS
}

fn is_advised(command: &AdviceCommand, worker: &str) -> bool {
    run_time(
        command.workers.len() as u64,
        &format!("{}{worker}", command.step),
    )
    .is_multiple_of(ADVISED_WORKER_DIVISOR)
}

fn report(index: usize) -> WorkerReport {
    WorkerReport {
        id: format!("worker-{index:04}"),
        address: format!("10.1.{}.{}:80", index / 250, index % 250),
        pool: "pool".to_owned(),
        data_centre: "dc".to_owned(),
        is_draining: false,
        capacity: ResourceAmount::new(WORKER_CPU_MILLIS, WORKER_MIB),
        labels: vec!["a".to_owned(), format!("r{}", index / 20)],
        started_at: MilliTime::new(1_000),
        clock: MilliTime::new(1_000_000),
    }
}

fn config() -> CellConfig {
    let queues = [
        ("large", 1, 410_000, 5_800),
        ("middle", 2, 66_000, 940),
        ("small", 0, 7_400, 110),
    ];
    let queues = queues.map(|(name, priority, call_micros, worker_micros)| {
        let queue = QueueConfig {
            host: "jobs.example".to_owned(),
            path_prefix: format!("/{name}/"),
            pool: "pool".to_owned(),
            priority,
            max_attempts: 2,
            timeout: MilliSpan::new(3_000),
            target_latency: MilliSpan::new(1_000),
            stretch_permille: 2_200,
            is_open: false,
            advice: Some(AdviceCost {
                call_micros,
                worker_micros,
                validity: MilliSpan::new(2_500),
            }),
        };
        (name.to_owned(), queue)
    });
    let pool = PoolConfig {
        workers_check_capacity: false,
        is_standby: false,
    };
    let team = TeamConfig {
        keys: Vec::new(),
        weight: 100_000,
        cap: ResourceAmount::ZERO,
    };
    CellConfig {
        version: ConfigVersion::new(1),
        queues: queues.into(),
        pools: [("pool".to_owned(), pool)].into(),
        teams: [("team".to_owned(), team)].into(),
        limits: RequestLimits {
            header_bytes: 16_384,
            body_bytes: 262_144,
            header_timeout: MilliSpan::new(3_000),
            idle_timeout: MilliSpan::new(15_000),
        },
    }
}

//! Measures the time per decision and the placements per second.

use std::collections::VecDeque;
use std::time::Instant;

use pimentochute_base::{
    AttemptRef, MilliSpan, MilliTime, PriorityClass, ResourceAmount, WorkKind, WorkerIncarnation,
};
use pimentochute_schedule::{
    JobPlacer, PlacementDecision, PlacerSettings, TeamSpec, WaitingJob, WorkerSpec,
};

use crate::report::{Direction, print, quantile};
use crate::sample::SampleRng;
use crate::workload::{FleetShape, team_name, waiting_job, worker_name};

/// The target for the 99th percentile of the time per decision.
const TARGET_MICROS: f64 = 1_000.0;

/// The target for the tasks that one core places per second.
const TARGET_RATE: f64 = 10_000.0;

const TEAMS: usize = 200;

/// The number of waiting jobs during the measurement.
const BACKLOG: usize = 2_000;

/// Running tasks per worker at the target size: 11,000 tasks on 2,700 workers.
const TASKS_PER_WORKER: f64 = 11_000.0 / 2_700.0;

const CALLS: usize = 20_000;

pub fn run() {
    for workers in [50, 225, 2_700] {
        let mut load = CostBench::new(workers);
        load.fill();
        let mut micros = load.measure_calls();
        let label = format!("{workers} workers");
        let median = quantile(&mut micros, 0.5);
        let tail = quantile(&mut micros, 0.99);
        let max = quantile(&mut micros, 1.0);
        eprintln!("{label}: median {median:.1}, 99th {tail:.1}, largest {max:.1} us");
        let figure = |name: &str| format!("{name}, full fleet, {label}");
        print(
            &figure("decision median"),
            median,
            "us",
            TARGET_MICROS,
            Direction::Lower,
        );
        print(
            &figure("decision 99th percentile"),
            tail,
            "us",
            TARGET_MICROS,
            Direction::Lower,
        );
        let rate = load.measure_turnover();
        print(
            &figure("placements"),
            rate,
            "tasks/s",
            TARGET_RATE,
            Direction::Higher,
        );
        let rate = measure_filling(workers);
        let figure = format!("placements, empty fleet filled, {label}");
        print(&figure, rate, "tasks/s", TARGET_RATE, Direction::Higher);
    }
}

/// A placer with a full fleet and a backlog: a job arrives whenever a task ends.
struct CostBench {
    placer: JobPlacer,
    rng: SampleRng,
    running: VecDeque<AttemptRef>,
    workers: usize,
    next_job: usize,
    now: MilliTime,
}

impl CostBench {
    fn new(workers: usize) -> Self {
        let mut placer = JobPlacer::new(PlacerSettings::new());
        for spec in fleet(workers) {
            placer.set_worker(spec);
        }
        for index in 0..TEAMS {
            placer.set_team(TeamSpec {
                name: team_name(index),
                share: 1 + index as u32 % 4,
                allotment: 500,
            });
        }
        Self {
            placer,
            rng: SampleRng::new(7),
            running: VecDeque::new(),
            workers,
            next_job: 0,
            now: MilliTime::new(1),
        }
    }

    /// Fills the fleet and leaves a backlog.
    fn fill(&mut self) {
        for _ in 0..BACKLOG {
            self.add_job();
        }
        loop {
            let decisions = self.placer.decide(self.now, 1_000);
            if decisions.is_empty() {
                break;
            }
            self.confirm(&decisions);
            while self.placer.stats().jobs < BACKLOG {
                self.add_job();
            }
        }
        eprintln!("cost: {:?}", self.placer.stats());
    }

    /// Measures calls that place one task or find that none fits, in microseconds.
    fn measure_calls(&mut self) -> Vec<f64> {
        let mut micros = Vec::with_capacity(CALLS);
        let mut placed = 0;
        for _ in 0..CALLS {
            self.end_task();
            self.add_job();
            self.now = self.now + MilliSpan::new(4);
            let start = Instant::now();
            let decisions = self.placer.decide(self.now, 1);
            micros.push(start.elapsed().as_secs_f64() * 1e6);
            placed += decisions.len();
            self.confirm(&decisions);
        }
        eprintln!(
            "cost: {placed} of {CALLS} calls placed, {:?}",
            self.placer.stats()
        );
        micros
    }

    /// Measures the placements per second while tasks end and jobs arrive,
    /// including the time for these updates.
    fn measure_turnover(&mut self) -> f64 {
        let start = Instant::now();
        let mut placed = 0;
        for _ in 0..CALLS / 16 {
            for _ in 0..16 {
                self.end_task();
            }
            self.now = self.now + MilliSpan::new(4);
            let decisions = self.placer.decide(self.now, 64);
            placed += decisions.iter().map(|d| d.tasks.len()).sum::<usize>();
            self.confirm(&decisions);
            for _ in 0..decisions.len() {
                self.add_job();
            }
        }
        f64::from(placed as u32) / start.elapsed().as_secs_f64()
    }

    fn confirm(&mut self, decisions: &[PlacementDecision]) {
        for decision in decisions {
            self.placer.confirm(decision);
            self.running.extend(decision.attempts());
        }
    }

    fn end_task(&mut self) {
        if !self.running.is_empty() {
            let index = self.rng.below(self.running.len());
            if let Some(attempt) = self.running.swap_remove_back(index) {
                self.placer.release(attempt);
            }
        }
    }

    fn add_job(&mut self) {
        let mut job = self.sample_job();
        job.submitted = self.now;
        self.placer.add_job(job);
    }

    /// Creates a random job. With these sizes, a full fleet runs about 4 tasks per
    /// worker.
    fn sample_job(&mut self) -> WaitingJob {
        let rng = &mut self.rng;
        let cores = rng.pick(&[4, 6, 8, 12, 16, 24, 32]);
        let memory = cores * rng.pick(&[512, 1_024, 2_048, 3_072]);
        let (kind, tasks) = match rng.below(20) {
            0 => (WorkKind::Gang, 2 + rng.below(15)),
            1..5 => (WorkKind::Service, 1 + rng.below(4)),
            _ => (WorkKind::Batch, 1 + rng.below(3)),
        };
        let mut demand = ResourceAmount::new(cores * 1_000, memory);
        if rng.below(10) == 0 {
            demand = demand.with_accelerators(1);
        }
        let team = rng.below(TEAMS);
        let mut job = waiting_job(self.next_job, team, kind, tasks, demand);
        self.next_job += 1;
        let classes = [
            PriorityClass::Urgent,
            PriorityClass::Normal,
            PriorityClass::Bulk,
        ];
        job.priority = rng.pick(&classes);
        job.expected_run = Some(MilliSpan::new(rng.log_uniform(1e4, 1e6) as u64));
        if rng.below(2) == 0 {
            job.finish_by = Some(self.now + MilliSpan::new(rng.next() % 3_600_000));
        }
        if rng.below(20) == 0 {
            let avoided = worker_name(rng.below(self.workers));
            job.tasks
                .iter_mut()
                .for_each(|task| task.avoid.push(avoided.clone()));
        }
        job
    }
}

/// Measures the placements per second while an empty fleet is filled.
fn measure_filling(workers: usize) -> f64 {
    let mut seconds = 0.0;
    let mut placed = 0;
    let wanted = (workers as f64 * TASKS_PER_WORKER * 0.8) as usize;
    for _ in 0..(2_700 / workers).clamp(3, 20) {
        let mut load = CostBench::new(workers);
        while load.placer.stats().waiting_tasks < wanted {
            for _ in 0..100 {
                load.add_job();
            }
        }
        let start = Instant::now();
        loop {
            let decisions = load.placer.decide(load.now, 64);
            if decisions.is_empty() {
                break;
            }
            placed += decisions.iter().map(|d| d.tasks.len()).sum::<usize>();
            load.confirm(&decisions);
        }
        seconds += start.elapsed().as_secs_f64();
    }
    placed as f64 / seconds
}

/// Creates workers, three in ten with four accelerators: 3,240 accelerators on
/// 2,700 workers.
fn fleet(workers: usize) -> impl Iterator<Item = WorkerSpec> {
    let shape = FleetShape {
        name: "cost",
        workers,
        cores: 64,
        memory_gib: 128,
        per_rack: 8,
    };
    let specs: Vec<_> = shape.workers().collect();
    specs.into_iter().enumerate().map(|(index, mut spec)| {
        if index % 10 < 3 {
            spec.capacity = spec.capacity.with_accelerators(4);
        }
        spec.incarnation = WorkerIncarnation::new(1);
        spec
    })
}

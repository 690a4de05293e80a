//! Tests of several hosts, each with a placer for its own team, that share
//! workers and read one log at different speeds.

use std::collections::{BTreeMap, BTreeSet};

use pimentochute_base::{
    AttemptRef, IdempotencyKey, JobId, MilliSpan, MilliTime, PriorityClass, RackName,
    ResourceAmount, TaskIndex, TeamName, WorkKind, WorkerIncarnation, WorkerName,
};
use pimentochute_schedule::{
    CommittedTask, JobPlacer, PlacementDecision, PlacerSettings, TeamSpec, WaitingJob, WaitingTask,
    WorkerReadiness, WorkerSpec,
};
use proptest::collection::vec;
use proptest::prelude::*;

const HOSTS: usize = 3;
const WORKERS: usize = 4;
const CORES: u64 = 8;

#[derive(Debug, Clone)]
enum Step {
    /// A host decides and appends records.
    Decide(usize, usize),
    /// A host reads the next records.
    Read(usize, usize),
    /// A running task ends.
    End(usize),
}

#[derive(Debug, Clone)]
struct JobShape {
    host: usize,
    gang: bool,
    /// At most the number of workers, so that every gang fits when they are empty.
    tasks: u32,
    cores: u64,
}

/// A record with its outcome in the cell state.
#[derive(Debug, Clone)]
enum Record {
    Placed {
        host: usize,
        decision: PlacementDecision,
        demand: ResourceAmount,
        valid: bool,
    },
    Ended(AttemptRef),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..HOSTS, 1..8usize).prop_map(|(host, max)| Step::Decide(host, max)),
        4 => (0..HOSTS, 1..6usize).prop_map(|(host, count)| Step::Read(host, count)),
        2 => any::<usize>().prop_map(Step::End),
    ]
}

fn any_job() -> impl Strategy<Value = JobShape> {
    let shape = (0..HOSTS, any::<bool>(), 1..5u32, 1..=CORES);
    shape.prop_map(|(host, gang, tasks, cores)| JobShape {
        host,
        gang,
        tasks,
        cores,
    })
}

fn team_of(host: usize) -> TeamName {
    TeamName::new(&format!("t{host}")).unwrap()
}

fn worker_name(index: usize) -> WorkerName {
    WorkerName::new(&format!("w{index}")).unwrap()
}

/// The log, the cell state at its end, and the hosts that read it.
struct Cell {
    log: Vec<Record>,
    demands: BTreeMap<JobId, ResourceAmount>,
    used: BTreeMap<WorkerName, ResourceAmount>,
    running: BTreeMap<AttemptRef, (WorkerName, ResourceAmount)>,
    started: BTreeSet<AttemptRef>,
    placers: Vec<JobPlacer>,
    read: [usize; HOSTS],
    now: MilliTime,
    invalid: usize,
}

impl Cell {
    fn new(jobs: &[JobShape]) -> Self {
        let mut cell = Self {
            log: Vec::new(),
            demands: BTreeMap::new(),
            used: BTreeMap::new(),
            running: BTreeMap::new(),
            started: BTreeSet::new(),
            placers: Vec::new(),
            read: [0; HOSTS],
            now: MilliTime::new(1),
            invalid: 0,
        };
        for host in 0..HOSTS {
            cell.placers.push(new_placer(host));
        }
        for (index, shape) in jobs.iter().enumerate() {
            let job = waiting_job(index, shape);
            cell.demands.insert(job.job, job.demand);
            cell.placers[shape.host].add_job(job);
        }
        cell
    }

    fn run(&mut self, step: &Step) {
        self.now = self.now + MilliSpan::new(10);
        match step {
            Step::Decide(host, max) => self.decide(*host, *max),
            Step::Read(host, count) => self.read(*host, *count),
            Step::End(index) => self.end(*index),
        }
    }

    fn decide(&mut self, host: usize, max: usize) {
        for decision in self.placers[host].decide(self.now, max) {
            self.append(host, decision);
        }
    }

    /// Appends a decision, which is valid or invalid as a whole.
    fn append(&mut self, host: usize, decision: PlacementDecision) {
        let demand = self.demands[&decision.job];
        let mut used = self.used.clone();
        for choice in &decision.tasks {
            *used.entry(choice.worker.clone()).or_default() += demand;
        }
        let capacity = ResourceAmount::new(CORES, CORES);
        let valid = used.values().all(|used| used.fits_within(&capacity));
        if valid {
            self.used = used;
            for (attempt, choice) in decision.attempts().zip(&decision.tasks) {
                assert!(self.started.insert(attempt), "{attempt} started twice");
                self.running
                    .insert(attempt, (choice.worker.clone(), demand));
            }
        } else {
            self.invalid += 1;
        }
        self.log.push(Record::Placed {
            host,
            decision,
            demand,
            valid,
        });
    }

    /// Applies the next records on a host, each of them twice.
    fn read(&mut self, host: usize, count: usize) {
        let end = self.log.len().min(self.read[host].saturating_add(count));
        for record in &self.log[self.read[host]..end] {
            apply(&mut self.placers[host], host, record);
            apply(&mut self.placers[host], host, record);
        }
        self.read[host] = end;
    }

    fn end(&mut self, at: usize) {
        let attempts: Vec<_> = self.running.keys().copied().collect();
        let Some(attempt) = attempts.get(at % attempts.len().max(1)) else {
            return;
        };
        if let Some((worker, demand)) = self.running.remove(attempt) {
            let used = self.used.entry(worker).or_default();
            *used = used.saturating_sub(&demand);
            self.log.push(Record::Ended(*attempt));
        }
    }

    /// Lets all hosts read the whole log and checks that they agree.
    fn settle(&mut self) {
        for host in 0..HOSTS {
            self.read(host, usize::MAX);
            for index in 0..WORKERS {
                let name = worker_name(index);
                let used = self.used.get(&name).copied().unwrap_or_default();
                let free = ResourceAmount::new(CORES, CORES).saturating_sub(&used);
                assert_eq!(self.placers[host].free_on(&name), Some(free), "host {host}");
            }
            assert_eq!(self.placers[host].stats().reserved_tasks, 0);
        }
    }

    /// Continues until no task waits or runs.
    fn finish(&mut self) {
        for _ in 0..1_000 {
            self.settle();
            let waiting = self.placers.iter().map(|p| p.stats().waiting_tasks);
            if waiting.sum::<usize>() == 0 && self.running.is_empty() {
                return;
            }
            for host in 0..HOSTS {
                self.now = self.now + MilliSpan::new(10);
                self.decide(host, 4);
            }
            self.end(0);
        }
        panic!("tasks still wait after 1000 rounds");
    }
}

fn apply(placer: &mut JobPlacer, host: usize, record: &Record) {
    match record {
        Record::Placed {
            host: writer,
            decision,
            demand,
            valid,
        } => {
            if *valid {
                for (attempt, choice) in decision.attempts().zip(&decision.tasks) {
                    placer.commit(CommittedTask {
                        attempt,
                        team: decision.team.clone(),
                        kind: WorkKind::Batch,
                        worker: choice.worker.clone(),
                        demand: *demand,
                        expected_end: None,
                    });
                }
            } else if *writer == host {
                placer.revoke(decision);
            }
        }
        Record::Ended(attempt) => placer.release(*attempt),
    }
}

fn new_placer(host: usize) -> JobPlacer {
    let mut placer = JobPlacer::new(PlacerSettings::new());
    for index in 0..WORKERS {
        placer.set_worker(WorkerSpec {
            name: worker_name(index),
            incarnation: WorkerIncarnation::new(1),
            rack: RackName::new("r").unwrap(),
            capacity: ResourceAmount::new(CORES, CORES),
            readiness: WorkerReadiness::Usable,
        });
    }
    placer.set_team(TeamSpec {
        name: team_of(host),
        share: 1,
        allotment: 100,
    });
    placer
}

fn job_id(index: usize) -> JobId {
    let key = IdempotencyKey::new(&format!("j{index}")).unwrap();
    JobId::new(&team_of(0), &key)
}

fn waiting_job(index: usize, shape: &JobShape) -> WaitingJob {
    WaitingJob {
        job: job_id(index),
        team: team_of(shape.host),
        kind: if shape.gang {
            WorkKind::Gang
        } else {
            WorkKind::Batch
        },
        priority: PriorityClass::Normal,
        demand: ResourceAmount::new(shape.cores, shape.cores),
        task_count: shape.tasks,
        submitted: MilliTime::ZERO,
        expected_run: None,
        finish_by: None,
        tasks: (0..shape.tasks)
            .map(|task| WaitingTask::new(TaskIndex::new(task)))
            .collect(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Guards against hosts that disagree after they have read the same records,
    /// tasks that are lost when another host takes the resources first, and
    /// records that have a different effect when they are applied twice.
    #[test]
    fn hosts_agree_and_every_task_runs_once(
        jobs in vec(any_job(), 1..20),
        steps in vec(any_step(), 0..80),
    ) {
        let mut cell = Cell::new(&jobs);
        for step in &steps {
            cell.run(step);
        }
        cell.finish();
        let tasks: u32 = jobs.iter().map(|shape| shape.tasks).sum();
        prop_assert_eq!(cell.started.len(), tasks as usize);
    }
}

/// Guards against losing tasks when all hosts choose the same workers. Also
/// shows that decisions of hosts collide in this model, on which the test above
/// depends.
#[test]
fn hosts_that_collide_settle() {
    let shape = |host| JobShape {
        host,
        gang: false,
        tasks: 4,
        cores: CORES,
    };
    let mut cell = Cell::new(&[shape(0), shape(1), shape(2)]);
    for host in 0..HOSTS {
        cell.decide(host, 4);
    }
    assert_eq!(cell.invalid, 2);
    cell.finish();
    assert_eq!(cell.started.len(), 12);
}

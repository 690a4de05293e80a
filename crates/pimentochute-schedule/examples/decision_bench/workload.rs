//! Fleets and lists of arrivals for the benchmarks.

use pimentochute_base::{
    IdempotencyKey, JobId, MilliSpan, MilliTime, PriorityClass, RackName, ResourceAmount,
    TaskIndex, TeamName, WorkKind, WorkerIncarnation, WorkerName,
};
use pimentochute_schedule::{TeamSpec, WaitingJob, WaitingTask, WorkerReadiness, WorkerSpec};

use crate::sample::SampleRng;

/// A fleet of equal workers in racks.
#[derive(Debug, Clone, Copy)]
pub struct FleetShape {
    pub name: &'static str,
    pub workers: usize,
    pub cores: u64,
    pub memory_gib: u64,
    pub per_rack: usize,
}

impl FleetShape {
    pub fn workers(&self) -> impl Iterator<Item = WorkerSpec> + '_ {
        (0..self.workers).map(|index| WorkerSpec {
            name: worker_name(index),
            incarnation: WorkerIncarnation::new(1),
            rack: rack_name(index / self.per_rack),
            capacity: self.capacity(),
            readiness: WorkerReadiness::Usable,
        })
    }

    pub fn capacity(&self) -> ResourceAmount {
        ResourceAmount::new(self.cores * 1_000, self.memory_gib * 1_024)
    }
}

/// A job that arrives, with the actual run times of its tasks in milliseconds.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub job: WaitingJob,
    pub team: usize,
    pub runs: Vec<u64>,
}

/// The weights of the teams in the replays.
pub const TEAM_SHARES: [u32; 6] = [1, 1, 2, 2, 4, 4];

pub fn team_specs() -> impl Iterator<Item = TeamSpec> {
    TEAM_SHARES
        .iter()
        .enumerate()
        .map(|(index, share)| TeamSpec {
            name: team_name(index),
            share: *share,
            allotment: 1_000_000,
        })
}

/// Creates arrivals until their work occupies the fraction `load` of the fleet
/// for `span` milliseconds, in cores or memory, whichever is scarcer.
pub fn arrivals(fleet: &FleetShape, load: f64, span: u64, seed: u64) -> Vec<Arrival> {
    let mut rng = SampleRng::new(seed);
    let wanted = load * fleet.workers as f64 * span as f64;
    let mut arrivals = Vec::new();
    let mut work = [0.0; 2];
    while work.iter().all(|part| *part < wanted) {
        let mut arrival = sample_arrival(arrivals.len(), fleet, &mut rng);
        arrival.job.submitted = MilliTime::new((rng.unit() * span as f64) as u64);
        add_deadline(&mut arrival, &mut rng);
        let run = arrival.runs.iter().sum::<u64>() as f64;
        let (demand, capacity) = (arrival.job.demand, fleet.capacity());
        work[0] += run * demand.cpu_millis as f64 / capacity.cpu_millis as f64;
        work[1] += run * demand.memory_mib as f64 / capacity.memory_mib as f64;
        arrivals.push(arrival);
    }
    arrivals.sort_by_key(|arrival| arrival.job.submitted);
    arrivals
}

/// Creates a random arrival. By expected work, 8 % is urgent, 26 % normal, 52 %
/// bulk and 15 % bulk gangs. Every other team has tasks of twice the size, with
/// more memory per core.
fn sample_arrival(index: usize, fleet: &FleetShape, rng: &mut SampleRng) -> Arrival {
    let large = fleet.cores / 16;
    let draw = rng.unit();
    let (priority, kind, tasks, cores, seconds) = if draw < 0.80 {
        let cores = rng.pick(&[1, 1, 2]) * large;
        let seconds = rng.log_uniform(5.0, 60.0);
        (
            PriorityClass::Urgent,
            WorkKind::Batch,
            1 + rng.below(3),
            cores,
            seconds,
        )
    } else if draw < 0.95 {
        let cores = rng.pick(&[1, 2, 3, 4]) * large;
        let seconds = rng.log_uniform(30.0, 300.0);
        (
            PriorityClass::Normal,
            WorkKind::Batch,
            1 + rng.below(6),
            cores,
            seconds,
        )
    } else if draw < 0.992 {
        let cores = rng.pick(&[1, 2, 3, 5]) * large;
        let seconds = rng.log_uniform(60.0, 600.0);
        (
            PriorityClass::Bulk,
            WorkKind::Batch,
            4 + rng.below(16),
            cores,
            seconds,
        )
    } else {
        let cores = rng.pick(&[2, 4, 8]) * large;
        let seconds = rng.log_uniform(60.0, 600.0);
        (
            PriorityClass::Bulk,
            WorkKind::Gang,
            4 + rng.below(13),
            cores,
            seconds,
        )
    };
    let team = rng.below(TEAM_SHARES.len());
    let (cores, memory) = if team.is_multiple_of(2) {
        (cores, cores * rng.pick(&[512, 1_024]))
    } else {
        (2 * cores, 2 * cores * rng.pick(&[1_024, 1_536, 3_072]))
    };
    let memory = memory.min(fleet.capacity().memory_mib);
    let demand = ResourceAmount::new(cores * 1_000, memory);
    let declared = seconds * rng.log_uniform(0.2, 5.0);
    let runs = (0..tasks).map(|_| (seconds * (0.5 + rng.unit()) * 1_000.0) as u64 + 1);
    let runs: Vec<u64> = runs.collect();
    let mut job = waiting_job(index, team, kind, tasks, demand);
    job.priority = priority;
    job.expected_run = Some(MilliSpan::new((declared * 1_000.0) as u64));
    Arrival { job, team, runs }
}

/// Gives half of the jobs a deadline of 2 to 20 times their run time.
fn add_deadline(arrival: &mut Arrival, rng: &mut SampleRng) {
    if rng.unit() < 0.5 {
        let run = arrival.runs.iter().max().copied().unwrap_or(0) as f64;
        let span = run * rng.log_uniform(2.0, 20.0);
        arrival.job.finish_by = Some(arrival.job.submitted + MilliSpan::new(span as u64));
    }
}

pub fn waiting_job(
    index: usize,
    team: usize,
    kind: WorkKind,
    tasks: usize,
    demand: ResourceAmount,
) -> WaitingJob {
    let tasks: Vec<_> = (0..tasks as u32)
        .map(|task| WaitingTask::new(TaskIndex::new(task)))
        .collect();
    WaitingJob {
        job: job_id(index),
        team: team_name(team),
        kind,
        priority: PriorityClass::Normal,
        demand,
        task_count: tasks.len() as u32,
        submitted: MilliTime::ZERO,
        expected_run: None,
        finish_by: None,
        tasks,
    }
}

pub fn job_id(index: usize) -> JobId {
    let key = IdempotencyKey::new(&format!("job-{index}")).expect("generated job keys are valid");
    JobId::new(&team_name(0), &key)
}

pub fn team_name(index: usize) -> TeamName {
    TeamName::new(&format!("team-{index}")).expect("generated names are valid")
}

pub fn worker_name(index: usize) -> WorkerName {
    WorkerName::new(&format!("worker-{index}")).expect("generated names are valid")
}

fn rack_name(index: usize) -> RackName {
    RackName::new(&format!("rack-{index}")).expect("generated names are valid")
}

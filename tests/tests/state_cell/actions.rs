//! Random actions and the records that they stand for, most of them valid.

use pimentochute_base::{
    AttemptNumber, AttemptRef, EpochNumber, JobId, SliceIndex, TaskIndex, WorkKind,
    WorkerIncarnation,
};
use pimentochute_state::{
    CellRecord, EndReason, JobState, RefuseReason, StampedRecord, TaskPhase, TaskPlacement,
    WorkerHealth, slice_of,
};
use proptest::prelude::*;
use proptest::sample::select;

use super::support::{
    CellDriver, SLICES, WORKER_CPU, allotted, claimed, job_spec, seen_under, team, worker,
};

const TEAMS: [&str; 2] = ["a", "b"];
const WORKERS: [&str; 3] = ["w1", "w2", "w3"];

/// One step of a random history.
#[derive(Debug, Clone)]
pub enum CellAction {
    Submit(usize, u32, WorkKind, u32),
    Cancel(usize),
    Refuse(usize),
    /// Job, worker of each task, and the fault of the record.
    Place(usize, [usize; 3], ActionFault),
    Start(usize),
    End(usize, EndReason, ActionFault),
    See(usize, u64, u64),
    Lose(usize, u64),
    Health(usize, WorkerHealth),
    Claim(u16, ActionFault),
    Release(u16),
    Allot(usize, u64, u32),
    /// Appends an earlier record again.
    Repeat(usize),
}

/// The fault that is put into a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ActionFault {
    None,
    Epoch,
    Attempt,
    Incarnation,
    Partial,
}

pub fn cell_action() -> impl Strategy<Value = CellAction> {
    use CellAction::{
        Allot, Cancel, Claim, End, Health, Lose, Place, Refuse, Release, Repeat, See, Start, Submit,
    };
    let any_job = 0..64_usize;
    let kind = select(vec![WorkKind::Batch, WorkKind::Gang, WorkKind::Service]);
    let health = select(vec![
        WorkerHealth::Healthy,
        WorkerHealth::Healthy,
        WorkerHealth::Quarantined,
        WorkerHealth::Leaving,
    ]);
    prop_oneof![
        4 => (0..2_usize, 0..6_u32, kind, 1..4_u32)
            .prop_map(|(team, key, kind, tasks)| Submit(team, key, kind, tasks)),
        1 => any_job.clone().prop_map(Cancel),
        1 => any_job.clone().prop_map(Refuse),
        12 => (any_job.clone(), [0..3_usize, 0..3, 0..3], action_fault())
            .prop_map(|(job, workers, fault)| Place(job, workers, fault)),
        3 => any_job.clone().prop_map(Start),
        8 => (any_job, select(END_REASONS.to_vec()), action_fault())
            .prop_map(|(task, reason, fault)| End(task, reason, fault)),
        2 => (0..3_usize, 1..4_u64, select(vec![WORKER_CPU, WORKER_CPU, 1_000, 3_000]))
            .prop_map(|(worker, run, cpu)| See(worker, run, cpu)),
        1 => (0..3_usize, 1..4_u64).prop_map(|(worker, run)| Lose(worker, run)),
        1 => (0..3_usize, health).prop_map(|(worker, health)| Health(worker, health)),
        3 => (0..SLICES, action_fault()).prop_map(|(slice, fault)| Claim(slice, fault)),
        1 => (0..SLICES).prop_map(Release),
        2 => (0..2_usize, 1..9_u64, 0..6_u32)
            .prop_map(|(team, version, tasks)| Allot(team, version, tasks)),
        2 => (0..64_usize).prop_map(Repeat),
    ]
}

const END_REASONS: [EndReason; 5] = [
    EndReason::Succeeded,
    EndReason::Failed,
    EndReason::Stopped,
    EndReason::Expired,
    EndReason::RefusedByWorker,
];

fn action_fault() -> impl Strategy<Value = ActionFault> {
    prop_oneof![
        12 => Just(ActionFault::None),
        1 => Just(ActionFault::Epoch),
        1 => Just(ActionFault::Attempt),
        1 => Just(ActionFault::Incarnation),
        1 => Just(ActionFault::Partial),
    ]
}

/// Returns the record of an action; `None` if there is nothing that it can apply
/// to.
pub fn record_of(
    driver: &mut CellDriver,
    step: &CellAction,
    earlier: &[StampedRecord],
) -> Option<StampedRecord> {
    driver.now += 700;
    let at = driver.at();
    let record = match step {
        CellAction::Submit(index, key, kind, tasks) => {
            let mut spec = job_spec(TEAMS[*index], &format!("k{key}"), *kind, *tasks);
            spec.max_attempts = 2;
            CellRecord::JobSubmitted { spec, at }
        }
        CellAction::Cancel(index) => driver.cancelled(job_at(driver, *index)?.spec.id),
        CellAction::Refuse(index) => refused(driver, *index)?,
        CellAction::Place(index, workers, fault) => placed(driver, *index, workers, *fault)?,
        CellAction::Start(index) => {
            let attempt = live_attempt(driver, *index)?;
            CellRecord::TaskStarted { attempt, at }
        }
        CellAction::End(index, reason, fault) => {
            let mut attempt = live_attempt(driver, *index)?;
            if *fault == ActionFault::Attempt {
                attempt.attempt = attempt.attempt.next();
            }
            let reason = *reason;
            CellRecord::TaskEnded {
                attempt,
                epoch: driver.control_of(attempt),
                reason,
                at,
            }
        }
        CellAction::See(index, run, cpu) => {
            let epoch = recorded_epoch(driver, *index) + 1;
            seen_under(WORKERS[*index], *run, epoch, *cpu)
        }
        CellAction::Lose(index, run) => CellRecord::WorkerLost {
            worker: worker(WORKERS[*index]),
            epoch: EpochNumber::new(recorded_epoch(driver, *index)),
            incarnation: WorkerIncarnation::new(*run),
            at,
        },
        CellAction::Health(index, health) => CellRecord::WorkerHealthSet {
            worker: worker(WORKERS[*index]),
            health: *health,
        },
        CellAction::Claim(slice, fault) => {
            let epoch = epoch_of(driver, SliceIndex::new(*slice)).get();
            let step = u64::from(*fault != ActionFault::Epoch);
            claimed(*slice, epoch + step)
        }
        CellAction::Release(slice) => {
            let slice = SliceIndex::new(*slice);
            let epoch = epoch_of(driver, slice);
            CellRecord::SliceReleased { slice, epoch }
        }
        CellAction::Allot(index, version, tasks) => allotted(TEAMS[*index], *version, *tasks),
        CellAction::Repeat(index) => return earlier.get(index % earlier.len().max(1)).cloned(),
    };
    Some(driver.stamp(record))
}

fn epoch_of(driver: &CellDriver, slice: SliceIndex) -> EpochNumber {
    driver.replica.slice(slice).expect("known slice").epoch
}

fn job_at(driver: &CellDriver, index: usize) -> Option<&JobState> {
    let jobs: Vec<&JobState> = driver.replica.jobs().collect();
    jobs.get(index % jobs.len().max(1)).copied()
}

fn live_attempt(driver: &CellDriver, index: usize) -> Option<AttemptRef> {
    let live: Vec<AttemptRef> = driver
        .replica
        .workers()
        .flat_map(|worker| worker.placements.iter().copied())
        .collect();
    live.get(index % live.len().max(1)).copied()
}

fn refused(driver: &CellDriver, index: usize) -> Option<CellRecord> {
    let job = job_at(driver, index)?;
    let slice = slice_of(&job.spec.team, SLICES);
    Some(CellRecord::JobRefused {
        job: job.spec.id,
        slice,
        epoch: epoch_of(driver, slice),
        reason: RefuseReason::TooLarge,
        at: driver.at(),
    })
}

fn placed(
    driver: &CellDriver,
    index: usize,
    workers: &[usize; 3],
    fault: ActionFault,
) -> Option<CellRecord> {
    let active: Vec<&JobState> = driver
        .replica
        .jobs()
        .filter(|job| !job.has_ended())
        .collect();
    let job = active.get(index % active.len().max(1))?;
    let waiting = job.indexed_tasks().filter_map(|(task, state)| {
        let TaskPhase::Waiting { next, .. } = state.phase else {
            return None;
        };
        let name = WORKERS[workers[task.get() as usize % workers.len()]];
        Some(task_placement(driver, task, next, name, fault))
    });
    let mut tasks: Vec<TaskPlacement> = waiting.collect();
    if fault == ActionFault::Partial {
        tasks.truncate(1);
    }
    Some(with_epoch(driver, job.spec.id, &tasks, fault))
}

fn task_placement(
    driver: &CellDriver,
    task: TaskIndex,
    next: AttemptNumber,
    name: &str,
    fault: ActionFault,
) -> TaskPlacement {
    let known = driver.replica.worker(&worker(name));
    let run = known.map_or(1, |worker| worker.incarnation.get());
    TaskPlacement {
        task,
        attempt: match fault {
            ActionFault::Attempt => next.next(),
            _ => next,
        },
        worker: worker(name),
        incarnation: WorkerIncarnation::new(run + u64::from(fault == ActionFault::Incarnation)),
    }
}

fn with_epoch(
    driver: &CellDriver,
    job: JobId,
    tasks: &[TaskPlacement],
    fault: ActionFault,
) -> CellRecord {
    let mut record = driver.placed(job, tasks);
    if let (CellRecord::TasksPlaced { epoch, .. }, ActionFault::Epoch) = (&mut record, fault) {
        // As in a record that arrives late.
        *epoch = EpochNumber::new(epoch.get().saturating_sub(1));
    }
    record
}

/// Returns the teams of the actions.
pub fn action_teams() -> [pimentochute_base::TeamName; 2] {
    TEAMS.map(team)
}

fn recorded_epoch(driver: &CellDriver, index: usize) -> u64 {
    let known = driver.replica.worker(&worker(WORKERS[index]));
    known.map_or(1, |worker| worker.epoch.get())
}

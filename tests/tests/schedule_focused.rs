//! Tests of the placement rules, one rule per test.

use pimentochute_base::{
    AttemptNumber, AttemptRef, IdempotencyKey, JobId, MilliSpan, MilliTime, PriorityClass,
    RackName, ResourceAmount, TaskIndex, TeamName, WorkKind, WorkerIncarnation, WorkerName,
};
use pimentochute_schedule::{
    AVOID_TIMEOUT, CLASS_COUNT, ClassOrder, CommittedTask, FitRule, GANG_HOLD_AFTER,
    HOLD_MAX_DURATION, JobPlacer, MAX_PASSED_TASKS, PlacementDecision, PlacerSettings, TeamSpec,
    TurnReason, UnplaceableReason, WaitingJob, WaitingTask, WorkerReadiness, WorkerSpec,
};
use test_case::test_case;

const CORE: u64 = 1_000;
const GIB: u64 = 1_024;

fn team(name: &str) -> TeamName {
    TeamName::new(name).unwrap()
}

fn worker(name: &str) -> WorkerName {
    WorkerName::new(name).unwrap()
}

fn at(millis: u64) -> MilliTime {
    MilliTime::new(millis)
}

fn job_id(name: &str) -> JobId {
    JobId::new(&team("any"), &IdempotencyKey::new(name).unwrap())
}

fn worker_spec(name: &str, rack: &str, cores: u64) -> WorkerSpec {
    WorkerSpec {
        name: worker(name),
        incarnation: WorkerIncarnation::new(1),
        rack: RackName::new(rack).unwrap(),
        capacity: ResourceAmount::new(cores * CORE, cores * 4 * GIB),
        readiness: WorkerReadiness::Usable,
    }
}

fn job(name: &str, owner: &str, kind: WorkKind, tasks: u32, cores: u64) -> WaitingJob {
    WaitingJob {
        job: job_id(name),
        team: team(owner),
        kind,
        priority: PriorityClass::Normal,
        demand: ResourceAmount::new(cores * CORE, cores * GIB),
        task_count: tasks,
        submitted: MilliTime::ZERO,
        expected_run: None,
        finish_by: None,
        tasks: (0..tasks)
            .map(|index| WaitingTask::new(TaskIndex::new(index)))
            .collect(),
    }
}

fn batch(name: &str, owner: &str, tasks: u32, cores: u64) -> WaitingJob {
    job(name, owner, WorkKind::Batch, tasks, cores)
}

/// Creates a placer with workers `w0`, `w1`, ... and teams `a` and `b`.
fn placer(workers: usize, cores: u64) -> JobPlacer {
    let mut placer = JobPlacer::new(PlacerSettings::new());
    for index in 0..workers {
        placer.set_worker(worker_spec(&format!("w{index}"), "r0", cores));
    }
    for name in ["a", "b"] {
        placer.set_team(team_spec(name, 1, 1_000));
    }
    placer
}

fn team_spec(name: &str, share: u32, allotment: u32) -> TeamSpec {
    TeamSpec {
        name: team(name),
        share,
        allotment,
    }
}

fn committed(name: &str, index: u32, attempt: u32, on: &str, cores: u64) -> CommittedTask {
    CommittedTask {
        attempt: attempt_of(name, index, attempt),
        team: team("a"),
        kind: WorkKind::Batch,
        worker: worker(on),
        demand: ResourceAmount::new(cores * CORE, cores * GIB),
        expected_end: None,
    }
}

fn attempt_of(name: &str, index: u32, attempt: u32) -> AttemptRef {
    AttemptRef {
        job: job_id(name),
        task: TaskIndex::new(index),
        attempt: AttemptNumber::new(attempt),
    }
}

fn task_count(decisions: &[PlacementDecision]) -> usize {
    decisions.iter().map(|decision| decision.tasks.len()).sum()
}

fn tasks_of_job(decisions: &[PlacementDecision], name: &str) -> usize {
    let named = decisions.iter().filter(|d| d.job == job_id(name));
    named.map(|decision| decision.tasks.len()).sum()
}

fn first_worker(decisions: &[PlacementDecision]) -> &str {
    decisions[0].tasks[0].worker.as_str()
}

/// Guards against placing more on a worker than its capacity.
#[test]
fn a_full_worker_is_given_nothing_more() {
    let mut placer = placer(1, 4);
    placer.add_job(batch("j", "a", 6, 1));
    assert_eq!(task_count(&placer.decide(at(0), 100)), 4);
    assert_eq!(task_count(&placer.decide(at(1), 100)), 0);
    assert_eq!(placer.stats().waiting_tasks, 2);
}

/// Guards against exceeding the allotment because reserved tasks do not count.
#[test]
fn reserved_tasks_count_towards_the_allotment() {
    let mut placer = placer(4, 16);
    placer.set_team(team_spec("a", 1, 3));
    placer.add_job(batch("j", "a", 10, 1));
    assert_eq!(task_count(&placer.decide(at(0), 2)), 2);
    assert_eq!(task_count(&placer.decide(at(1), 100)), 1);
    assert_eq!(placer.tasks_of(&team("a")), 3);
}

/// Guards against placing tasks of a team whose allotment was lowered below the
/// number of its running tasks.
#[test]
fn a_lowered_allotment_stops_new_starts() {
    let mut placer = placer(4, 16);
    placer.add_job(batch("j", "a", 10, 1));
    assert_eq!(task_count(&placer.decide(at(0), 5)), 5);
    placer.set_team(team_spec("a", 1, 4));
    assert!(placer.decide(at(1), 100).is_empty());
    placer.set_team(team_spec("a", 1, 6));
    assert_eq!(task_count(&placer.decide(at(2), 100)), 1);
}

/// Guards against a call that ignores its `max_tasks`.
#[test]
fn a_call_places_no_more_than_asked() {
    let mut placer = placer(4, 16);
    placer.add_job(batch("j", "a", 10, 1));
    assert_eq!(task_count(&placer.decide(at(0), 7)), 7);
    assert!(placer.decide(at(0), 0).is_empty());
}

/// Guards against losing the tasks of a revoked decision, or the resources that
/// they had reserved.
#[test]
fn a_revoked_decision_waits_again() {
    let mut placer = placer(1, 4);
    placer.add_job(batch("j", "a", 4, 1));
    let first = placer.decide(at(0), 100);
    placer.revoke(&first[0]);
    assert_eq!(placer.stats().used, ResourceAmount::ZERO);
    let second = placer.decide(at(1), 100);
    assert_eq!(first[0].tasks.len(), second[0].tasks.len());
    placer.revoke(&first[0]);
    placer.revoke(&first[0]);
    assert_eq!(placer.stats().waiting_tasks, 4);
}

/// Guards against placing a task twice when its job is added again before the
/// record of the decision is read back.
#[test]
fn a_reserved_task_is_not_added_again() {
    let mut placer = placer(2, 4);
    placer.add_job(batch("j", "a", 2, 1));
    let decisions = placer.decide(at(0), 100);
    placer.add_job(batch("j", "a", 2, 1));
    placer.update_job(batch("j", "a", 2, 1));
    assert!(placer.decide(at(1), 100).is_empty());
    placer.confirm(&decisions[0]);
    placer.add_job(batch("j", "a", 2, 1));
    assert!(placer.decide(at(2), 100).is_empty());
    assert_eq!(placer.stats().jobs, 0);
}

/// Guards against counting an attempt twice, as committed by another host and as
/// reserved by this one.
#[test]
fn a_commit_elsewhere_replaces_the_reservation() {
    let mut placer = placer(2, 4);
    placer.add_job(batch("j", "a", 1, 1));
    let decisions = placer.decide(at(0), 100);
    let other = if first_worker(&decisions) == "w0" {
        "w1"
    } else {
        "w0"
    };
    placer.commit(committed("j", 0, 1, other, 1));
    placer.revoke(&decisions[0]);
    placer.confirm(&decisions[0]);
    let free = ResourceAmount::new(3 * CORE, 15 * GIB);
    assert_eq!(placer.free_on(&worker(other)), Some(free));
    assert_eq!(placer.tasks_of(&team("a")), 1);
    assert_eq!(placer.stats().reserved_tasks, 0);
}

/// Guards against a late record of an earlier attempt that replaces the current
/// one.
#[test]
fn an_outdated_attempt_is_ignored() {
    let mut placer = placer(2, 4);
    placer.commit(committed("j", 0, 2, "w0", 1));
    placer.commit(committed("j", 0, 1, "w1", 1));
    placer.release(attempt_of("j", 0, 1));
    assert_eq!(placer.tasks_of(&team("a")), 1);
    placer.release(attempt_of("j", 0, 2));
    placer.release(attempt_of("j", 0, 2));
    assert_eq!(placer.stats().used, ResourceAmount::ZERO);
}

/// Guards against overcommitting a worker whose tasks were committed before it
/// was known, or that was removed and added again.
#[test]
fn a_task_counts_before_its_worker_is_known() {
    let mut placer = JobPlacer::new(PlacerSettings::new());
    placer.set_team(team_spec("b", 1, 10));
    placer.commit(committed("j", 0, 1, "w0", 3));
    placer.set_worker(worker_spec("w0", "r0", 4));
    placer.add_job(batch("k", "b", 2, 1));
    assert_eq!(task_count(&placer.decide(at(0), 10)), 1);
    placer.remove_worker(&worker("w0"));
    placer.set_worker(worker_spec("w0", "r0", 4));
    assert!(placer.decide(at(1), 10).is_empty());
}

/// Guards against decisions for a worker whose capacity was lowered below the
/// resources in use: every record of them would be invalid.
#[test]
fn an_overcommitted_worker_is_given_nothing() {
    let mut placer = placer(0, 0);
    let mut spec = worker_spec("w0", "r0", 4);
    spec.capacity = spec.capacity.with_accelerators(1);
    placer.set_worker(spec);
    let mut task = committed("j", 0, 1, "w0", 1);
    task.demand = task.demand.with_accelerators(1);
    placer.commit(task);
    placer.set_worker(worker_spec("w0", "r0", 4));
    placer.add_job(batch("k", "a", 1, 1));
    assert!(placer.decide(at(0), 10).is_empty());
    placer.release(attempt_of("j", 0, 1));
    assert_eq!(task_count(&placer.decide(at(1), 10)), 1);
}

/// Guards against a retry that drops or duplicates the other tasks of its job.
#[test]
fn one_task_is_added_to_a_known_job() {
    let mut placer = placer(1, 2);
    placer.add_job(batch("j", "a", 3, 1));
    let decisions = placer.decide(at(0), 10);
    placer.confirm(&decisions[0]);
    placer.release(attempt_of("j", 0, 1));
    let mut again = WaitingTask::new(TaskIndex::new(0));
    again.attempt = AttemptNumber::new(2);
    assert!(placer.add_task(job_id("j"), again.clone()));
    assert!(placer.add_task(job_id("j"), again.clone()));
    assert_eq!(placer.stats().waiting_tasks, 2);
    assert!(!placer.add_task(job_id("k"), again));
}

/// Guards against a placer that cannot be moved to another thread.
#[test]
fn a_placer_can_be_sent() {
    fn check_send<T: Send>(_: &T) {}
    check_send(&placer(0, 0));
}

/// Guards against a revoked task that waits again although its job was replaced
/// by one without it.
#[test]
fn a_revoked_task_that_the_job_lost_does_not_return() {
    let mut placer = placer(1, 4);
    placer.add_job(batch("j", "a", 2, 1));
    let decisions = placer.decide(at(0), 10);
    placer.update_job(batch("j", "a", 1, 1));
    placer.revoke(&decisions[0]);
    let decisions = placer.decide(at(1), 10);
    assert_eq!(task_count(&decisions), 1);
    assert_eq!(decisions[0].tasks[0].task, TaskIndex::new(0));
}

/// Guards against placing only a part of a gang.
#[test]
fn a_gang_is_placed_whole_or_not_at_all() {
    let mut placer = placer(2, 4);
    placer.add_job(job("g", "a", WorkKind::Gang, 3, 3));
    placer.add_job(batch("k", "b", 1, 4));
    let decisions = placer.decide(at(0), 100);
    assert_eq!(tasks_of_job(&decisions, "g"), 0);
    assert_eq!(tasks_of_job(&decisions, "k"), 1);
    placer.set_worker(worker_spec("w2", "r1", 4));
    placer.set_worker(worker_spec("w3", "r1", 4));
    let decisions = placer.decide(at(1), 100);
    assert_eq!(tasks_of_job(&decisions, "g"), 3);
    assert_eq!(decisions[0].reason.fit, FitRule::Gang);
}

/// Guards against placing a gang while one of its tasks is delayed.
#[test]
fn a_gang_waits_for_its_last_task() {
    let mut placer = placer(4, 4);
    let mut gang = job("g", "a", WorkKind::Gang, 3, 1);
    gang.tasks[2].not_before = at(50);
    placer.add_job(gang);
    assert!(placer.decide(at(49), 100).is_empty());
    assert_eq!(task_count(&placer.decide(at(50), 100)), 3);
}

/// Guards against a retry before its backoff has passed.
#[test]
fn a_task_is_not_placed_before_its_time() {
    let mut placer = placer(1, 4);
    let mut waiting = batch("j", "a", 2, 1);
    waiting.tasks[1].not_before = at(100);
    placer.add_job(waiting);
    assert_eq!(task_count(&placer.decide(at(99), 10)), 1);
    assert_eq!(task_count(&placer.decide(at(100), 10)), 1);
}

/// Guards against a retry on the worker that failed the task while another
/// worker, although busy, is large enough.
#[test]
fn a_task_waits_for_another_worker_than_the_one_that_failed_it() {
    let mut placer = placer(2, 4);
    placer.commit(committed("k", 0, 1, "w1", 4));
    let mut waiting = batch("j", "a", 1, 1);
    waiting.tasks[0].avoid.push(worker("w0"));
    placer.add_job(waiting);
    assert!(placer.decide(at(0), 10).is_empty(), "w1 could serve later");
    placer.release(attempt_of("k", 0, 1));
    let decisions = placer.decide(at(1), 10);
    assert_eq!(first_worker(&decisions), "w1");
}

/// Guards against a retry that waits forever for a worker that never becomes
/// free.
#[test]
fn an_avoided_worker_is_used_after_the_timeout() {
    let mut placer = placer(2, 4);
    placer.commit(committed("k", 0, 1, "w1", 4));
    let mut waiting = batch("j", "a", 1, 1);
    waiting.tasks[0].avoid.push(worker("w0"));
    placer.add_job(waiting);
    let timeout = AVOID_TIMEOUT.as_millis();
    assert!(placer.decide(at(timeout - 1), 10).is_empty());
    let decisions = placer.decide(at(timeout), 10);
    assert_eq!(first_worker(&decisions), "w0");
    assert_eq!(decisions[0].reason.fit, FitRule::Repeated);
}

/// Guards against a quarantined worker that is given more than one task at a
/// time.
#[test]
fn a_probe_worker_gets_one_task() {
    let mut placer = placer(1, 4);
    let mut spec = worker_spec("w0", "r0", 4);
    placer.commit(committed("old", 0, 1, "w0", 1));
    spec.readiness = WorkerReadiness::Probe;
    placer.set_worker(spec.clone());
    placer.add_job(batch("j", "a", 3, 1));
    let decisions = placer.decide(at(0), 10);
    assert_eq!(task_count(&decisions), 1);
    assert_eq!(decisions[0].reason.fit, FitRule::Probe);
    assert!(placer.decide(at(1), 10).is_empty());
    spec.readiness = WorkerReadiness::Unusable;
    placer.set_worker(spec.clone());
    spec.readiness = WorkerReadiness::Probe;
    placer.set_worker(spec.clone());
    assert!(placer.decide(at(2), 10).is_empty(), "the probe still runs");
    placer.revoke(&decisions[0]);
    assert_eq!(task_count(&placer.decide(at(3), 10)), 1);
    spec.readiness = WorkerReadiness::Usable;
    placer.set_worker(spec);
    assert_eq!(task_count(&placer.decide(at(4), 10)), 2);
}

/// Guards against a fleet of only quarantined workers on which one task is
/// placed and then every job is taken to fit nowhere.
#[test]
fn every_probe_worker_is_given_a_task() {
    let mut placer = placer(0, 0);
    for index in 0..3 {
        let mut spec = worker_spec(&format!("w{index}"), "r0", 4);
        spec.readiness = WorkerReadiness::Probe;
        placer.set_worker(spec);
    }
    for name in ["s", "t", "u", "v"] {
        placer.add_job(job(name, "a", WorkKind::Service, 1, 1));
    }
    assert_eq!(task_count(&placer.decide(at(0), 10)), 3);
}

/// Guards against placing a gang on a quarantined worker.
#[test]
fn a_gang_does_not_probe() {
    let mut placer = placer(1, 4);
    let mut spec = worker_spec("w1", "r0", 4);
    spec.readiness = WorkerReadiness::Probe;
    placer.set_worker(spec);
    placer.add_job(job("g", "a", WorkKind::Gang, 2, 3));
    assert!(placer.decide(at(0), 10).is_empty());
}

/// Guards against shares that ignore the weights of the teams.
#[test]
fn teams_are_served_by_weight_and_dominant_share() {
    let mut placer = placer(4, 16);
    placer.set_team(team_spec("a", 3, 1_000));
    placer.add_job(batch("j", "a", 100, 1));
    placer.add_job(batch("k", "b", 100, 1));
    let decisions = placer.decide(at(0), 1_000);
    assert_eq!(tasks_of_job(&decisions, "j"), 48);
    assert_eq!(tasks_of_job(&decisions, "k"), 16);
}

/// Guards against shares that count tasks instead of the resources they use.
#[test]
fn a_team_with_large_tasks_gets_fewer_of_them() {
    let mut placer = placer(4, 16);
    placer.add_job(batch("j", "a", 100, 4));
    placer.add_job(batch("k", "b", 100, 1));
    let decisions = placer.decide(at(0), 1_000);
    let (large, small) = (tasks_of_job(&decisions, "j"), tasks_of_job(&decisions, "k"));
    assert!((6..=10).contains(&large), "{large} large tasks");
    assert_eq!(large * 4 + small, 64);
}

/// Guards against urgent work that waits behind other classes.
#[test]
fn urgent_work_goes_first() {
    let mut placer = placer(1, 4);
    placer.add_job(batch("j", "a", 4, 1));
    let mut urgent = batch("u", "b", 4, 1);
    urgent.priority = PriorityClass::Urgent;
    placer.add_job(urgent);
    let decisions = placer.decide(at(0), 100);
    assert_eq!(tasks_of_job(&decisions, "u"), 4);
}

/// Guards against starvation of a lower class by a constant load of urgent work.
#[test_case(PriorityClass::Bulk)]
#[test_case(PriorityClass::Normal)]
fn a_lower_class_has_its_turn(class: PriorityClass) {
    let mut placer = placer(1, 1);
    let mut urgent = batch("u", "a", 1_000, 1);
    urgent.priority = PriorityClass::Urgent;
    placer.add_job(urgent);
    let mut lower = batch("low", "b", 1_000, 1);
    lower.priority = class;
    placer.add_job(lower);
    let mut since = 0;
    for now in 0..200 {
        let decisions = placer.decide(at(now), 10);
        assert_eq!(task_count(&decisions), 1);
        since += 1;
        if decisions[0].job == job_id("low") {
            assert_eq!(decisions[0].reason.turn, TurnReason::Passed);
            since = 0;
        }
        assert!(since <= MAX_PASSED_TASKS, "{since} urgent tasks in a row");
        placer.confirm(&decisions[0]);
        for attempt in decisions[0].attempts() {
            placer.release(attempt);
        }
    }
}

/// Guards against a call that panics or never ends because the class order
/// returns a class without work or out of range.
#[test_case(1; "a class without work")]
#[test_case(7; "no class at all")]
fn a_wrong_order_of_classes_places_nothing(class: usize) {
    #[derive(Debug)]
    struct WrongOrder(usize);

    impl ClassOrder for WrongOrder {
        fn next(&self, _open: [bool; CLASS_COUNT]) -> Option<(usize, TurnReason)> {
            Some((self.0, TurnReason::Priority))
        }

        fn record(&mut self, _class: usize, _tasks: u32, _due: [bool; CLASS_COUNT]) {}
    }

    let order = Box::new(WrongOrder(class));
    let mut placer = JobPlacer::new(PlacerSettings::new().with_class_order(order));
    placer.set_worker(worker_spec("w0", "r0", 4));
    placer.set_team(team_spec("a", 1, 10));
    let mut urgent = batch("u", "a", 1, 1);
    urgent.priority = PriorityClass::Urgent;
    placer.add_job(urgent);
    assert!(placer.decide(at(0), 10).is_empty());
}

/// Guards against a job that misses its deadline behind one with more slack.
#[test]
fn the_job_with_least_slack_goes_first() {
    let mut placer = placer(1, 1);
    let mut relaxed = batch("relaxed", "a", 1, 1);
    relaxed.finish_by = Some(at(100_000));
    let mut pressed = batch("pressed", "a", 1, 1);
    pressed.submitted = at(10);
    pressed.finish_by = Some(at(110_000));
    pressed.expected_run = Some(MilliSpan::new(90_000));
    placer.add_job(relaxed);
    placer.add_job(pressed);
    let decisions = placer.decide(at(20), 10);
    assert_eq!(decisions[0].job, job_id("pressed"));
}

/// Guards against fragmentation: a small task on the worker with the most free
/// resources.
#[test]
fn batch_goes_to_the_worker_with_the_least_free_resources() {
    let mut placer = placer(3, 16);
    placer.commit(committed("k", 0, 1, "w1", 14));
    placer.add_job(batch("j", "a", 1, 2));
    assert_eq!(first_worker(&placer.decide(at(0), 10)), "w1");
}

/// Guards against comparing only the buckets of the free index, in which similar
/// workers are equal.
#[test]
fn batch_goes_to_the_tighter_one_of_similar_workers() {
    let mut placer = placer(0, 0);
    for (name, cpu) in [("w0", 14_000), ("w1", 13_000), ("w2", 13_900)] {
        let mut spec = worker_spec(name, "r0", 16);
        // So little memory that processor time is the dominant resource.
        spec.capacity = ResourceAmount::new(cpu, 6 * GIB);
        placer.set_worker(spec);
    }
    placer.add_job(batch("j", "a", 1, 2));
    assert_eq!(first_worker(&placer.decide(at(0), 10)), "w1");
}

/// Guards against a service that depends on a single rack.
#[test]
fn a_service_is_spread_over_racks() {
    let mut placer = JobPlacer::new(PlacerSettings::new());
    placer.set_team(team_spec("a", 1, 100));
    for index in 0..12 {
        let rack = format!("r{}", index / 4);
        placer.set_worker(worker_spec(&format!("w{index}"), &rack, 16));
    }
    placer.add_job(job("s", "a", WorkKind::Service, 6, 1));
    let decisions = placer.decide(at(0), 100);
    let mut racks = [0; 3];
    for choice in decisions.iter().flat_map(|decision| &decision.tasks) {
        let index: usize = choice.worker.as_str()[1..].parse().unwrap();
        racks[index / 4] += 1;
    }
    assert_eq!(racks, [2, 2, 2]);
}

/// Guards against starvation of a large gang by small jobs.
#[test]
fn a_gang_that_waited_long_holds_workers_as_they_free_up() {
    let mut placer = placer(4, 4);
    for index in 0..16 {
        let mut task = committed("old", index, 1, &format!("w{}", index / 4), 1);
        task.expected_end = Some(at(100_000 + u64::from(index) * 1_000));
        placer.commit(task);
    }
    placer.add_job(job("g", "a", WorkKind::Gang, 4, 4));
    placer.add_job(batch("small", "b", 1_000, 1));
    let start = GANG_HOLD_AFTER.as_millis();
    assert!(placer.decide(at(start), 10).is_empty());
    assert_eq!(placer.stats().held_workers, 4);
    for index in 0..16 {
        placer.release(attempt_of("old", index, 1));
        let decisions = placer.decide(at(start + 1 + u64::from(index)), 10);
        let expected = if index < 15 { 0 } else { 4 };
        assert_eq!(tasks_of_job(&decisions, "g"), expected, "after {index}");
        assert_eq!(tasks_of_job(&decisions, "small"), 0);
    }
    assert_eq!(placer.stats().held_workers, 0);
}

/// Guards against held workers that stay idle although a short task could run,
/// and against tasks that would delay the holder.
#[test_case(40_000, 1; "a task that ends in time")]
#[test_case(90_000, 0; "a task that would delay the gang")]
fn a_short_task_backfills_held_workers(run: u64, expected: usize) {
    let mut placer = placer(2, 4);
    let start = GANG_HOLD_AFTER.as_millis();
    let mut long = committed("old", 0, 1, "w0", 4);
    long.expected_end = Some(at(start + 70_000));
    placer.commit(long);
    placer.add_job(job("g", "a", WorkKind::Gang, 2, 4));
    assert!(placer.decide(at(start), 10).is_empty());
    let mut short = batch("short", "b", 1, 1);
    short.expected_run = Some(MilliSpan::new(run));
    placer.add_job(short);
    let decisions = placer.decide(at(start + 1_000), 10);
    assert_eq!(tasks_of_job(&decisions, "short"), expected);
    if expected > 0 {
        assert_eq!(decisions[0].reason.fit, FitRule::Backfill);
    }
}

/// Guards against backfilling only one job per call: the failed search on unheld
/// workers must not exclude later jobs of the same demand.
#[test]
fn several_jobs_backfill_held_workers_in_one_call() {
    let start = GANG_HOLD_AFTER.as_millis();
    let mut placer = placer(2, 4);
    let mut long = committed("old", 0, 1, "w0", 4);
    long.expected_end = Some(at(start + 70_000));
    placer.commit(long);
    placer.add_job(job("g", "a", WorkKind::Gang, 2, 4));
    assert!(placer.decide(at(start), 10).is_empty());
    for name in ["s1", "s2", "s3"] {
        let mut short = batch(name, "b", 1, 1);
        short.expected_run = Some(MilliSpan::new(1_000));
        placer.add_job(short);
    }
    assert_eq!(task_count(&placer.decide(at(start + 1), 10)), 3);
}

/// Guards against urgent work that waits although held workers are idle, and
/// against other work that is placed there without a declared run time.
#[test_case(PriorityClass::Urgent, 1)]
#[test_case(PriorityClass::Normal, 0)]
fn only_urgent_work_passes_a_hold(priority: PriorityClass, expected: usize) {
    let mut placer = placer(2, 4);
    placer.commit(committed("old", 0, 1, "w0", 4));
    placer.add_job(job("g", "a", WorkKind::Gang, 2, 4));
    let start = GANG_HOLD_AFTER.as_millis();
    assert!(placer.decide(at(start), 10).is_empty());
    let mut passing = batch("passing", "b", 1, 1);
    passing.priority = priority;
    placer.add_job(passing);
    assert_eq!(task_count(&placer.decide(at(start + 1), 10)), expected);
}

/// Guards against starvation of a gang by small jobs of its own team, which use
/// up the allotment.
#[test]
fn a_gang_that_waited_long_keeps_its_part_of_the_allotment() {
    let mut placer = placer(4, 4);
    placer.set_team(team_spec("a", 1, 4));
    for index in 0..2 {
        placer.commit(committed("old", index, 1, "w0", 1));
    }
    placer.add_job(job("g", "a", WorkKind::Gang, 4, 1));
    let start = GANG_HOLD_AFTER.as_millis();
    assert!(placer.decide(at(start), 10).is_empty());
    placer.add_job(batch("small", "a", 10, 1));
    for index in 0..2 {
        placer.release(attempt_of("old", index, 1));
        let decisions = placer.decide(at(start + 1), 10);
        assert_eq!(tasks_of_job(&decisions, "small"), 0);
        assert_eq!(
            tasks_of_job(&decisions, "g"),
            if index == 0 { 0 } else { 4 }
        );
    }
}

/// Guards against consecutive holds without a rest period.
#[test]
fn a_hold_is_followed_by_an_equally_long_time_without_holds() {
    let mut placer = placer(2, 4);
    placer.commit(committed("old", 0, 1, "w0", 4));
    placer.add_job(job("g", "a", WorkKind::Gang, 2, 4));
    placer.add_job(job("h", "b", WorkKind::Gang, 2, 3));
    let start = GANG_HOLD_AFTER.as_millis();
    assert!(placer.decide(at(start), 10).is_empty());
    assert_eq!(placer.stats().held_workers, 2);
    let end = start + HOLD_MAX_DURATION.as_millis();
    assert!(placer.decide(at(end), 10).is_empty());
    assert_eq!(placer.stats().held_workers, 0);
    let rested = end + HOLD_MAX_DURATION.as_millis();
    assert!(placer.decide(at(rested - 1), 10).is_empty());
    assert_eq!(placer.stats().held_workers, 0);
    assert!(placer.decide(at(rested), 10).is_empty());
    assert_eq!(placer.stats().held_workers, 2);
}

/// Guards against workers that stay held for a job that never starts.
#[test]
fn a_hold_is_given_up_after_its_limit() {
    let mut placer = placer(2, 4);
    placer.commit(committed("old", 0, 1, "w0", 4));
    placer.add_job(job("g", "a", WorkKind::Gang, 2, 4));
    let start = GANG_HOLD_AFTER.as_millis();
    assert!(placer.decide(at(start), 10).is_empty());
    placer.add_job(batch("small", "b", 4, 1));
    let end = start + HOLD_MAX_DURATION.as_millis();
    assert!(placer.decide(at(end - 1), 10).is_empty());
    assert_eq!(task_count(&placer.decide(at(end), 10)), 4);
    assert_eq!(placer.stats().abandoned_holds, 1);
}

/// Guards against refusing jobs that could run, and against jobs that wait
/// although they can never run.
#[test]
fn jobs_that_can_never_run_are_refused() {
    let mut placer = JobPlacer::new(PlacerSettings::new());
    placer.add_job(batch("large", "a", 1, 5));
    placer.add_job(job("gang", "a", WorkKind::Gang, 3, 2));
    placer.add_job(job("wide", "a", WorkKind::Gang, 2, 3));
    placer.add_job(batch("fine", "a", 50, 4));
    assert!(placer.unplaceable_jobs().is_empty(), "nothing is known yet");
    placer.set_team(team_spec("a", 1, 2));
    let mut spec = worker_spec("w0", "r0", 4);
    spec.readiness = WorkerReadiness::Unusable;
    placer.set_worker(spec);
    let mut refused = placer.unplaceable_jobs();
    refused.sort_by_key(|refusal| refusal.job != job_id("large"));
    assert_eq!(refused.len(), 3);
    assert!(matches!(
        refused[0].reason,
        UnplaceableReason::TooLarge { .. }
    ));
    let reason_of = |name| {
        refused
            .iter()
            .find(|r| r.job == job_id(name))
            .map(|r| r.reason)
    };
    let over = UnplaceableReason::OverAllotment {
        tasks: 3,
        allotment: 2,
    };
    assert_eq!(reason_of("gang"), Some(over));
    let wide = UnplaceableReason::GangTooLarge { tasks: 2, room: 1 };
    assert_eq!(reason_of("wide"), Some(wide));
}

/// Guards against a placement reason that is unreadable in the log.
#[test]
fn a_reason_reads_as_a_sentence() {
    let mut placer = placer(1, 4);
    placer.add_job(batch("j", "a", 1, 1));
    let decisions = placer.decide(at(1_500), 10);
    assert_eq!(
        decisions[0].reason.to_string(),
        "highest class with work (normal), team at 0 ppm of the fleet, waited 1500 ms, best fit"
    );
}

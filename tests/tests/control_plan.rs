//! Tests of the plan of a reconciliation round, of slice ownership and of the
//! timer that delays refusals.

use std::collections::BTreeMap;

use pimentochute_base::{
    AttemptNumber, AttemptRef, EpochNumber, HostIncarnation, HostName, JobId, MilliSpan, MilliTime,
    ResourceAmount, SliceIndex, TaskIndex, WorkerIncarnation, rendezvous_choice,
};
use pimentochute_platform::{TaskReport, TaskStatus, WorkerReport};
use pimentochute_schedule::{UnplaceableJob, UnplaceableReason};
use pimentochute_server::{
    AbandonedTasks, PlacedTask, ReconcilePlan, RefusalTimer, SliceAction, SliceFacts,
};
use pimentochute_state::{EndReason, SliceOwner};
use test_case::test_case;

fn attempt() -> AttemptRef {
    let team = "print".parse().expect("valid name");
    let key = "k".parse().expect("valid name");
    AttemptRef {
        job: JobId::new(&team, &key),
        task: TaskIndex::new(0),
        attempt: AttemptNumber::new(1),
    }
}

fn placed(should_run: bool) -> BTreeMap<AttemptRef, PlacedTask> {
    let task = PlacedTask {
        demand: ResourceAmount::new(1, 1),
        command: "run 1".to_owned(),
        should_run,
        start_recorded: false,
    };
    BTreeMap::from([(attempt(), task)])
}

fn report(status: Option<TaskStatus>) -> WorkerReport {
    let task = status.map(|status| TaskReport {
        attempt: attempt(),
        status,
    });
    WorkerReport {
        incarnation: WorkerIncarnation::new(1),
        tasks: task.into_iter().collect(),
        usage: ResourceAmount::ZERO,
    }
}

#[test]
fn missing_task_is_started_and_running_one_is_recorded() {
    let mut abandoned = AbandonedTasks::default();
    let plan = ReconcilePlan::new(&placed(true), &report(None), &mut abandoned);
    assert_eq!(plan.starts, [attempt()]);
    let running = report(Some(TaskStatus::Running));
    let plan = ReconcilePlan::new(&placed(true), &running, &mut abandoned);
    assert_eq!(
        (plan.starts.len(), plan.starts_to_record),
        (0, vec![attempt()])
    );
}

/// Guards against a task that keeps running on a worker on which it is not
/// placed.
#[test]
fn task_that_is_not_placed_is_stopped_and_its_report_forgotten() {
    let mut abandoned = AbandonedTasks::default();
    let none = BTreeMap::new();
    let plan = ReconcilePlan::new(&none, &report(Some(TaskStatus::Running)), &mut abandoned);
    assert_eq!(plan.stops, [attempt()]);
    let plan = ReconcilePlan::new(&none, &report(Some(TaskStatus::Stopped)), &mut abandoned);
    assert_eq!(plan.forgets, [attempt()]);
}

/// Guards against an attempt being started after its end was reported. The
/// record of the end may be delayed, and would let the task be placed a second
/// time while it runs.
#[test_case(EndReason::Stopped ; "was not desired")]
#[test_case(EndReason::RefusedByWorker ; "was refused by the worker")]
fn abandoned_attempt_is_not_started_when_it_is_desired_again(reason: EndReason) {
    let mut abandoned = AbandonedTasks::default();
    if reason == EndReason::Stopped {
        let plan = ReconcilePlan::new(&placed(false), &report(None), &mut abandoned);
        assert_eq!(plan.ends_to_record, [(attempt(), reason)]);
    } else {
        abandoned.add(attempt(), reason);
    }
    let plan = ReconcilePlan::new(&placed(true), &report(None), &mut abandoned);
    assert_eq!(
        (plan.starts.len(), plan.ends_to_record),
        (0, vec![(attempt(), reason)])
    );
    abandoned.clear();
    let plan = ReconcilePlan::new(&placed(true), &report(None), &mut abandoned);
    assert_eq!(plan.starts, [attempt()], "a new epoch may start it");
}

fn owner(host: &str) -> SliceOwner {
    SliceOwner {
        host: host.parse().expect("valid name"),
        incarnation: HostIncarnation::new(1),
    }
}

fn decide(own: &str, owned_by: Option<&str>, owner_is_live: bool, staying: &[&str]) -> SliceAction {
    let staying: Vec<HostName> = staying
        .iter()
        .map(|host| host.parse().expect("valid name"))
        .collect();
    let (own, current) = (owner(own), owned_by.map(owner));
    let facts = SliceFacts {
        slice: SliceIndex::new(0),
        this_host: &own,
        owner: current.as_ref(),
        epoch: EpochNumber::new(4),
        owner_is_live,
        staying: &staying,
    };
    facts.decide()
}

/// Guards against a host that releases its slices right after its start, when
/// it does not know any live host yet.
#[test]
fn slice_is_kept_while_no_live_host_is_known() {
    assert_eq!(decide("h1", Some("h1"), true, &[]), SliceAction::Keep);
    assert_eq!(decide("h1", None, false, &[]), SliceAction::Keep);
}

#[test]
fn preferred_host_claims_only_from_an_owner_that_is_not_live() {
    let hosts = ["h1", "h2"];
    let preferred = rendezvous_choice("slice-owner", &hosts).expect("a host");
    let other = if preferred == "h1" { "h2" } else { "h1" };
    let claim = SliceAction::Claim(EpochNumber::new(5));
    assert_eq!(
        decide(preferred, Some(other), true, &hosts),
        SliceAction::Keep
    );
    assert_eq!(decide(preferred, Some(other), false, &hosts), claim);
    assert_eq!(decide(preferred, None, false, &hosts), claim);
    assert_eq!(decide(other, None, false, &hosts), SliceAction::Keep);
    let release = SliceAction::Release(EpochNumber::new(4));
    assert_eq!(decide(other, Some(other), true, &hosts), release);
}

/// Guards against a final refusal for a temporary reason, such as an allotment
/// or a worker that is not recorded yet.
#[test]
fn job_is_refused_only_after_it_could_not_run_for_the_whole_timeout() {
    let refusal = UnplaceableJob {
        job: attempt().job,
        team: "print".parse().expect("valid name"),
        reason: UnplaceableReason::OverAllotment {
            tasks: 4,
            allotment: 0,
        },
    };
    let at = MilliTime::new;
    let mut timer = RefusalTimer::new(MilliSpan::new(1_000));
    let refusals = || vec![refusal.clone()];
    assert_eq!(timer.update(at(0), refusals()), []);
    assert!(!timer.is_check_due(at(499)) && timer.is_check_due(at(500)));
    assert_eq!(timer.update(at(500), Vec::new()), [], "the job could run");
    assert_eq!(timer.update(at(1_000), refusals()), []);
    assert_eq!(timer.update(at(1_999), refusals()), []);
    assert_eq!(timer.update(at(2_000), refusals()), refusals());
}

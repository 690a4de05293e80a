//! Invariants that must hold while the log, the host list, workers and hosts
//! fail. The entry hosts run in one process on a fake platform.

use std::time::Duration;

use pimentochute_base::{JobId, LogOffset, ResourceAmount, StreamName, WorkKind, WorkerName};
use pimentochute_platform::{HostRole, HostStatus};
use pimentochute_server::SubmitError;
use pimentochute_server::api::JobStatus;
use pimentochute_tests::{TaskAudit, TestCell, TestHost, eventually, job_spec, team_operations};
use serde_json::json;

/// The capacity of each worker in these tests.
const CAPACITY: ResourceAmount = ResourceAmount::new(4_000, 4_000);

/// A data centre with entry hosts, workers and the team `print`.
struct SmallCell {
    cell: TestCell,
    workers: Vec<WorkerName>,
}

impl SmallCell {
    async fn start(hosts: usize, workers: usize) -> Self {
        let mut cell = TestCell::new(&[hosts]);
        let names = (0..workers).map(|index| cell.add_worker(0, &format!("w{index}"), CAPACITY));
        let workers = names.collect();
        cell.start_all().await;
        cell.host(0)
            .configure("setup", team_operations("print", 40))
            .await;
        Self { cell, workers }
    }

    fn host(&self, index: usize) -> &TestHost {
        self.cell.host(index)
    }

    fn audit(&self) -> TaskAudit {
        let mut audit = TaskAudit::default();
        for worker in &self.workers {
            audit.add(worker, &self.cell.fleet.ledger(worker));
        }
        audit
    }

    fn assert_no_violations(&self) {
        assert_eq!(self.audit().violations(&[]), []);
    }
}

/// Waits until every task of a job is running.
async fn all_running(host: &TestHost, job: JobId) {
    eventually("all tasks run", || {
        let view = host.control.job(job)?;
        view.tasks
            .iter()
            .all(|task| task.status == "running")
            .then_some(())
    })
    .await;
}

async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Guards against tasks that are stopped, or whose outcomes are lost, while the
/// log is down for longer than every lease. Also guards against a job that was
/// refused as not recorded and runs later.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_outlive_an_outage_of_the_log() {
    let small = SmallCell::start(2, 2).await;
    let host = small.host(0);
    let view = host
        .submit(job_spec("print", "k", WorkKind::Batch, 6, "run 3000"))
        .await;
    all_running(host, view.id).await;
    small.cell.log.set_down(true);
    let late = job_spec("print", "late", WorkKind::Batch, 1, "run 10");
    let refused = host.control.submit(late.clone()).await;
    assert_eq!(refused, Err(SubmitError::NotRecorded));
    pause(4_000).await;
    small.cell.log.set_down(false);
    let done = host.wait_for(view.id, JobStatus::Succeeded).await;
    assert!(done.tasks.iter().all(|task| task.attempt == 1), "{done:?}");
    assert!(
        host.control.job(late.id).is_none(),
        "a refused job was recorded"
    );
    small.assert_no_violations();
}

/// Guards against a job that is recorded twice or reported as lost when an
/// append takes effect but its answer is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_of_the_log_change_no_outcome() {
    let small = SmallCell::start(2, 2).await;
    for host in small.cell.running() {
        host.log.set_loses_answers(true);
    }
    let host = small.host(1);
    let view = host
        .submit(job_spec("print", "k", WorkKind::Batch, 8, "run 100"))
        .await;
    host.configure("more", team_operations("web", 3)).await;
    let done = host.wait_for(view.id, JobStatus::Succeeded).await;
    assert!(done.tasks.iter().all(|task| task.attempt == 1), "{done:?}");
    small.assert_no_violations();
}

/// Guards against a start command that is delayed and reaches the worker after
/// the task was placed elsewhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delayed_commands_start_no_task_twice() {
    let small = SmallCell::start(2, 2).await;
    let host = small.host(0);
    let first = host
        .submit(job_spec("print", "a", WorkKind::Batch, 2, "run 200"))
        .await;
    host.wait_for(first.id, JobStatus::Succeeded).await;
    for worker in &small.workers {
        small.cell.fleet.set_holds_commands(worker, true);
    }
    let view = host
        .submit(job_spec("print", "b", WorkKind::Batch, 8, "run 1500"))
        .await;
    pause(600).await;
    small
        .cell
        .fleet
        .set_holds_commands(&small.workers[0], false);
    pause(600).await;
    small
        .cell
        .fleet
        .set_holds_commands(&small.workers[1], false);
    for worker in &small.workers {
        small.cell.fleet.deliver_held(worker);
    }
    pause(300).await;
    for worker in &small.workers {
        small.cell.fleet.deliver_held(worker);
    }
    host.wait_for(view.id, JobStatus::Succeeded).await;
    small.assert_no_violations();
}

/// Guards against a host that cannot reach the log but still acts as owner, and
/// against the host that takes over running its tasks again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_run_once_when_their_owner_loses_the_log() {
    let small = SmallCell::start(3, 3).await;
    let host = small.host(2);
    let view = host
        .submit(job_spec("print", "k", WorkKind::Batch, 18, "run 700"))
        .await;
    host.wait_for(view.id, JobStatus::Running).await;
    small.host(0).log.set_cut(true);
    pause(3_000).await;
    small.host(0).log.set_cut(false);
    host.wait_for(view.id, JobStatus::Succeeded).await;
    small.assert_no_violations();
}

/// Guards against workers that stay without a manager, and tasks whose leases
/// expire, when one host cannot reach the workers and another one can.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn workers_move_to_a_host_that_reaches_them() {
    let settings = json!({"workers": {
        "renew_ms": 100, "control_lease_ms": 600, "task_lease_ms": 4_000, "margin_ms": 100,
        "isolation_ms": 500, "call_timeout_ms": 200, "stop_grace_ms": 50,
    }});
    let mut cell = TestCell::with_settings(&[2], settings);
    let workers: Vec<WorkerName> = (0..6)
        .map(|index| cell.add_worker(0, &format!("w{index}"), CAPACITY))
        .collect();
    cell.start_all().await;
    let (cut, host) = (cell.host(0), cell.host(1));
    host.configure("setup", team_operations("print", 40)).await;
    let view = host
        .submit(job_spec("print", "k", WorkKind::Batch, 24, "run 6000"))
        .await;
    all_running(host, view.id).await;
    for worker in &workers {
        cut.fleet.set_cut(worker, true);
    }
    let done = host.wait_for(view.id, JobStatus::Succeeded).await;
    assert!(done.tasks.iter().all(|task| task.attempt == 1), "{done:?}");
    let mut audit = TaskAudit::default();
    for worker in &workers {
        audit.add(worker, &cell.fleet.ledger(worker));
    }
    assert_eq!(audit.violations(&[]), []);
}

/// Guards against tasks that stay running forever in the state, or count as
/// failed, after the worker's process restarted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_worker_gets_its_tasks_placed_again() {
    let small = SmallCell::start(2, 1).await;
    let host = small.host(0);
    let view = host
        .submit(job_spec("print", "k", WorkKind::Batch, 3, "run 800"))
        .await;
    all_running(host, view.id).await;
    small.cell.fleet.restart(&small.workers[0]);
    let done = host.wait_for(view.id, JobStatus::Succeeded).await;
    assert!(done.tasks.iter().all(|task| task.attempt == 2), "{done:?}");
    small.assert_no_violations();
}

/// Guards against one worker that fails every task using up the attempts of
/// all jobs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn worker_that_fails_everything_is_quarantined_and_released() {
    let small = SmallCell::start(2, 3).await;
    let host = small.host(0);
    let bad = &small.workers[0];
    small.cell.fleet.set_fails_all(bad, true);
    let mut jobs = Vec::new();
    for index in 0..30 {
        let key = format!("k{index}");
        jobs.push(
            host.submit(job_spec("print", &key, WorkKind::Batch, 1, "run 50"))
                .await
                .id,
        );
    }
    for job in &jobs {
        host.wait_for(*job, JobStatus::Succeeded).await;
    }
    let status = |host: &TestHost| {
        let workers = host.control.workers();
        workers
            .iter()
            .find(|worker| worker.name == *bad)
            .map(|worker| worker.status.clone())
    };
    assert_eq!(status(host).as_deref(), Some("quarantined"));
    small.cell.fleet.set_fails_all(bad, false);
    let mut round = 0;
    while status(host).as_deref() != Some("healthy") {
        assert!(round < 100, "the worker is not released");
        let key = format!("probe{round}");
        let view = host
            .submit(job_spec("print", &key, WorkKind::Batch, 9, "run 50"))
            .await;
        host.wait_for(view.id, JobStatus::Succeeded).await;
        round += 1;
    }
    small.assert_no_violations();
}

/// Guards against retrying a job forever that always fails, and against
/// quarantining healthy workers because of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn job_that_always_fails_ends_after_its_attempts() {
    let small = SmallCell::start(1, 3).await;
    let host = small.host(0);
    let view = host
        .submit(job_spec("print", "k", WorkKind::Batch, 1, "fail 20"))
        .await;
    host.wait_for(view.id, JobStatus::Failed).await;
    assert_eq!(small.audit().starts(view.id, 0), 3);
    let mut workers = small.audit().workers_of(view.id);
    workers.sort();
    workers.dedup();
    assert_eq!(workers.len(), 3, "the attempts were on different workers");
    assert!(
        host.control
            .workers()
            .iter()
            .all(|worker| worker.status == "healthy")
    );
}

/// Guards against a job that waits forever because it fits on no worker.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn job_that_is_too_large_is_refused() {
    let small = SmallCell::start(1, 2).await;
    let host = small.host(0);
    let mut spec = job_spec("print", "k", WorkKind::Batch, 1, "run 10");
    spec.demand = ResourceAmount::new(5_000, 100);
    let view = host.submit(spec).await;
    let view = host.wait_for(view.id, JobStatus::Refused).await;
    assert_eq!(view.reason.as_deref(), Some("too_large"));
    assert_eq!(small.audit().starts(view.id, 0), 0);
}

/// Guards against a team that runs more tasks than its limit across data
/// centres, and against tasks above a lowered limit that keep running.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upper_limit_holds_across_data_centres_and_when_lowered() {
    let mut cell = TestCell::new(&[1, 1]);
    let workers = [
        cell.add_worker(0, "w0", CAPACITY),
        cell.add_worker(1, "w1", CAPACITY),
    ];
    cell.start_all().await;
    cell.host(0)
        .configure("setup", team_operations("print", 5))
        .await;
    for index in 0..2 {
        let key = format!("k{index}");
        let spec = job_spec("print", &key, WorkKind::Batch, 4, "run 60000");
        eventually("the data centre has the team", || {
            let config = cell.host(index).control.config();
            config.teams.contains_key(&spec.team).then_some(())
        })
        .await;
        cell.host(index).submit(spec).await;
    }
    let running = || -> usize {
        let reports = workers
            .iter()
            .filter_map(|worker| cell.fleet.report(worker));
        let tasks = reports.flat_map(|report| report.tasks);
        tasks
            .filter(|task| task.status == pimentochute_platform::TaskStatus::Running)
            .count()
    };
    eventually("the limit is reached", || (running() == 5).then_some(())).await;
    pause(500).await;
    assert_eq!(running(), 5);
    cell.host(1)
        .configure("lower", team_operations("print", 2))
        .await;
    eventually("the tasks above the lowered limit are stopped", || {
        (running() == 2).then_some(())
    })
    .await;
    pause(500).await;
    assert_eq!(running(), 2);
}

/// Guards against placing new tasks on a worker that is leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_worker_gets_no_new_task() {
    let small = SmallCell::start(1, 2).await;
    let host = small.host(0);
    small
        .cell
        .directory
        .set_status(HostRole::Worker, "w0", HostStatus::Leaving);
    eventually("the worker is recorded as leaving", || {
        let workers = host.control.workers();
        workers
            .iter()
            .any(|worker| worker.status == "leaving")
            .then_some(())
    })
    .await;
    let view = host
        .submit(job_spec("print", "k", WorkKind::Batch, 8, "run 50"))
        .await;
    host.wait_for(view.id, JobStatus::Succeeded).await;
    assert!(
        !small
            .audit()
            .workers_of(view.id)
            .contains(&small.workers[0])
    );
}

/// Guards against a host that cannot start after retention removed the first
/// records of its streams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_host_starts_from_a_snapshot() {
    let mut cell = TestCell::new(&[2]);
    let worker = cell.add_worker(0, "w0", CAPACITY);
    cell.start(0).await;
    cell.host(0)
        .configure("setup", team_operations("print", 40))
        .await;
    let view = cell
        .host(0)
        .submit(job_spec("print", "k", WorkKind::Batch, 2, "run 100"))
        .await;
    cell.host(0).wait_for(view.id, JobStatus::Succeeded).await;
    let streams = ["cell.dc0", "config"].map(|name| StreamName::new(name).expect("valid name"));
    let snapshots = StreamName::new("config.snapshot").expect("valid name");
    eventually("four snapshots of the configuration are published", || {
        (cell.log.records(&snapshots).len() >= 4).then_some(())
    })
    .await;
    pause(1_200).await;
    for stream in &streams {
        let end = cell
            .log
            .records(stream)
            .last()
            .expect("stream has records")
            .offset;
        cell.log.trim_before(stream, end.max(LogOffset::new(1)));
    }
    cell.start(1).await;
    let seen = cell.host(1).wait_for(view.id, JobStatus::Succeeded).await;
    assert_eq!(seen.tasks.len(), 2);
    let config = cell.host(0).control.config();
    eventually("the new host has the configuration", || {
        (cell.host(1).control.config() == config).then_some(())
    })
    .await;
    let next = cell
        .host(1)
        .submit(job_spec("print", "n", WorkKind::Batch, 2, "run 100"))
        .await;
    cell.host(1).wait_for(next.id, JobStatus::Succeeded).await;
    let mut audit = TaskAudit::default();
    audit.add(&worker, &cell.fleet.ledger(&worker));
    assert_eq!(audit.violations(&[]), []);
}

/// Guards against accepting work that needs a key on a host that cannot receive
/// a key's withdrawal, and against refusing it while no host can reach the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keyed_work_stops_only_without_evidence() {
    let mut cell = TestCell::new(&[2, 1]);
    cell.start_all().await;
    cell.host(0)
        .configure("setup", team_operations("print", 4))
        .await;
    let accepts = |cell: &TestCell, index: usize| cell.host(index).control.accepts_keyed_work();
    eventually("all hosts accept work that needs a key", || {
        (0..3).all(|index| accepts(&cell, index)).then_some(())
    })
    .await;
    // No host can reach the log, so no change can have been accepted.
    cell.log.set_down(true);
    pause(3_000).await;
    assert!((0..3).all(|index| accepts(&cell, index)));
    // The other data centre sends no heartbeats: it may have accepted a change.
    cell.kill(2);
    eventually("work that needs a key is refused", || {
        (0..2).all(|index| !accepts(&cell, index)).then_some(())
    })
    .await;
    cell.log.set_down(false);
    eventually("work that needs a key is accepted again", || {
        (0..2).all(|index| accepts(&cell, index)).then_some(())
    })
    .await;
}

/// Guards against a host that cannot reach the log and therefore keeps an old
/// version, although a peer has a newer one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_without_the_log_gets_versions_from_peers() {
    let mut cell = TestCell::new(&[2]);
    cell.start_all().await;
    cell.host(0)
        .configure("setup", team_operations("print", 4))
        .await;
    cell.host(1).log.set_cut(true);
    cell.host(0)
        .configure("next", team_operations("web", 4))
        .await;
    let version = cell.host(0).control.config().version;
    eventually("the host without the log has the version", || {
        (cell.host(1).control.config().version == version).then_some(())
    })
    .await;
    pause(2_500).await;
    assert!(cell.host(1).control.accepts_keyed_work());
}

/// Guards against workers that stay without a manager because a new host, which
/// knows them from the log but has no host list yet, treats them as
/// unreachable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_host_without_the_host_list_manages_workers_once_it_has_it() {
    let mut cell = TestCell::new(&[2]);
    for index in 0..6 {
        let _ = cell.add_worker(0, &format!("w{index}"), CAPACITY);
    }
    cell.start(0).await;
    cell.host(0)
        .configure("setup", team_operations("print", 40))
        .await;
    eventually("all workers are recorded", || {
        (cell.host(0).control.workers().len() == 6).then_some(())
    })
    .await;
    cell.directory.set_down(true);
    cell.start(1).await;
    pause(1_500).await;
    cell.directory.set_down(false);
    let view = cell
        .host(0)
        .submit(job_spec("print", "k", WorkKind::Batch, 24, "run 100"))
        .await;
    let done = cell.host(1).wait_for(view.id, JobStatus::Succeeded);
    let in_time = tokio::time::timeout(Duration::from_secs(15), done).await;
    assert!(in_time.is_ok(), "some workers have no manager");
}

/// Guards against the final refusal of a gang whose team's allotment is not
/// recorded yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gang_submitted_before_its_allotment_is_not_refused() {
    let mut cell = TestCell::new(&[1]);
    let _ = cell.add_worker(0, "w0", CAPACITY);
    cell.start_all().await;
    let host = cell.host(0);
    host.configure("other", team_operations("other", 8)).await;
    let warm = host
        .submit(job_spec("other", "w", WorkKind::Batch, 1, "run 10"))
        .await;
    host.wait_for(warm.id, JobStatus::Succeeded).await;
    let gang = host
        .submit(job_spec("print", "g", WorkKind::Gang, 4, "run 50"))
        .await;
    pause(1_000).await;
    host.configure("setup", team_operations("print", 8)).await;
    host.wait_for(gang.id, JobStatus::Succeeded).await;
}

/// Guards against recording a task as ended after a start command without an
/// answer. The command arrives while its manager still has control, after the
/// delay in which a refused task is placed again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn start_without_an_answer_is_fenced_before_it_is_given_up() {
    let small = SmallCell::start(1, 2).await;
    let (host, fleet) = (small.host(0), &small.cell.fleet);
    let warm = host
        .submit(job_spec("print", "w", WorkKind::Batch, 8, "run 50"))
        .await;
    host.wait_for(warm.id, JobStatus::Succeeded).await;
    for worker in &small.workers {
        fleet.set_holds_starts(worker, true);
    }
    let view = host
        .submit(job_spec("print", "k", WorkKind::Batch, 2, "run 2500"))
        .await;
    eventually("the tasks are placed", || {
        let view = host.control.job(view.id)?;
        view.tasks
            .iter()
            .all(|task| task.worker.is_some())
            .then_some(())
    })
    .await;
    pause(50).await;
    for worker in &small.workers {
        fleet.set_holds_starts(worker, false);
    }
    // A task that was refused waits 1 s before it is placed again.
    pause(1_300).await;
    for worker in &small.workers {
        fleet.deliver_held(worker);
    }
    host.wait_for(view.id, JobStatus::Succeeded).await;
    small.assert_no_violations();
}

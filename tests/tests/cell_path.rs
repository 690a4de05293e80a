//! Jobs and requests from submission to their end, on entry hosts in one
//! process with real connections between them and a fake platform.

use std::time::Duration;

use pimentochute_base::{MilliSpan, ResourceAmount, WorkKind, WorkerName};
use pimentochute_route::{RequestOrigin, RoutedRequest};
use pimentochute_server::DaemonEnd;
use pimentochute_server::api::{JobStatus, PatchView};
use pimentochute_state::{ConfigPatch, PatchOperation};
use pimentochute_tests::{TaskAudit, TestCell, eventually, job_spec, team_operations};
use serde_json::json;

/// The capacity of each worker in these tests.
const CAPACITY: ResourceAmount = ResourceAmount::new(4_000, 4_000);

/// Starts a data centre with `hosts` entry hosts and `workers` workers, and a
/// team `print` that may run 40 tasks.
async fn small_cell(hosts: usize, workers: usize) -> (TestCell, Vec<WorkerName>) {
    let mut cell = TestCell::new(&[hosts]);
    let workers = (0..workers).map(|index| cell.add_worker(0, &format!("w{index}"), CAPACITY));
    let workers = workers.collect();
    cell.start_all().await;
    cell.host(0)
        .configure("setup", team_operations("print", 40))
        .await;
    (cell, workers)
}

fn audit(cell: &TestCell, workers: &[WorkerName]) -> TaskAudit {
    let mut audit = TaskAudit::default();
    for worker in workers {
        audit.add(worker, &cell.fleet.ledger(worker));
    }
    audit
}

/// Guards against a job that only the host that accepted it runs or knows
/// about.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn batch_job_finishes_once_and_every_host_answers_for_it() {
    let (cell, workers) = small_cell(3, 2).await;
    let view = cell
        .host(1)
        .submit(job_spec("print", "k1", WorkKind::Batch, 6, "run 200"))
        .await;
    for host in cell.running() {
        host.wait_for(view.id, JobStatus::Succeeded).await;
    }
    let audit = audit(&cell, &workers);
    assert_eq!(audit.violations(&[]), []);
    assert!((0..6).all(|task| audit.starts(view.id, task) == 1));
}

/// Guards against a gang of which only some tasks start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gang_starts_whole_and_service_runs_until_cancelled() {
    let (cell, workers) = small_cell(2, 2).await;
    let host = cell.host(0);
    let gang = host
        .submit(job_spec("print", "g", WorkKind::Gang, 4, "run 300"))
        .await;
    let service = host
        .submit(job_spec("print", "s", WorkKind::Service, 2, "forever"))
        .await;
    host.wait_for(gang.id, JobStatus::Succeeded).await;
    host.wait_for(service.id, JobStatus::Running).await;
    let cancelled = cell.host(1).control.cancel(service.id).await;
    assert!(matches!(cancelled, Ok(Some(_))), "{cancelled:?}");
    host.wait_for(service.id, JobStatus::Cancelled).await;
    assert_eq!(audit(&cell, &workers).violations(&[gang.id]), []);
}

/// Guards against a repeated submission that creates a second job.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_submission_on_another_host_is_the_same_job() {
    let (cell, workers) = small_cell(2, 1).await;
    let spec = job_spec("print", "k", WorkKind::Batch, 1, "run 50");
    let first = cell.host(0).submit(spec.clone()).await;
    let second = cell.host(1).submit(spec).await;
    assert_eq!(first.id, second.id);
    cell.host(0).wait_for(first.id, JobStatus::Succeeded).await;
    assert_eq!(audit(&cell, &workers).starts(first.id, 0), 1);
}

/// Guards against two concurrent patches on the same version both being
/// accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn racing_patches_have_one_winner() {
    let (cell, _) = small_cell(2, 0).await;
    eventually("both hosts have the same version", || {
        let versions: Vec<_> = cell.running().map(|h| h.control.config().version).collect();
        versions
            .iter()
            .all(|version| *version == versions[0])
            .then_some(())
    })
    .await;
    let base_version = cell.host(0).control.config().version;
    let patch = |id: &str| ConfigPatch {
        id: id.parse().expect("valid name"),
        base_version,
        author: "test".to_owned(),
        operations: team_operations(id, 5),
    };
    let (first, second) = tokio::join!(
        cell.host(0).control.patch(patch("a")),
        cell.host(1).control.patch(patch("b")),
    );
    let answers = [
        first.expect("patch has an outcome"),
        second.expect("patch has an outcome"),
    ];
    let accepted = answers
        .iter()
        .filter(|a| matches!(a, PatchView::Accepted { .. }))
        .count();
    assert_eq!(accepted, 1, "{answers:?}");
}

/// Guards against jobs that hang or run twice when the owner of their slice,
/// which also is the writer, dies and then its successor too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_finish_once_although_owners_die() {
    let (mut cell, workers) = small_cell(3, 3).await;
    let spec = job_spec("print", "k", WorkKind::Batch, 36, "run 900");
    let view = cell.host(0).submit(spec).await;
    cell.host(0).wait_for(view.id, JobStatus::Running).await;
    for _ in 0..2 {
        let owner = eventually("a live host owns the slice", || slice_owner(&cell)).await;
        cell.kill(owner);
        let_tasks_progress().await;
    }
    let last = cell.running().next().expect("one host is left");
    last.wait_for(view.id, JobStatus::Succeeded).await;
    assert_eq!(audit(&cell, &workers).violations(&[]), []);
}

/// Returns the index of the running host that owns slice 0, according to the
/// first running host; `None` while there is none.
fn slice_owner(cell: &TestCell) -> Option<usize> {
    let status = cell.running().next()?.control.status();
    let owner = status.slices[0].owner.as_ref()?.as_str().to_owned();
    let index: usize = owner.strip_prefix("dc0-h")?.parse().ok()?;
    cell.hosts[index].is_some().then_some(index)
}

async fn let_tasks_progress() {
    tokio::time::sleep(Duration::from_millis(500)).await;
}

/// Guards against a planned stop that leaves slices or workers to be taken over
/// only after a timeout.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_host_hands_over_and_tasks_run_on() {
    let (mut cell, workers) = small_cell(2, 2).await;
    let view = cell
        .host(0)
        .submit(job_spec("print", "k", WorkKind::Batch, 4, "run 1500"))
        .await;
    cell.host(1).wait_for(view.id, JobStatus::Running).await;
    assert_eq!(cell.stop(0).await, DaemonEnd::Clean);
    let done = cell.host(1).wait_for(view.id, JobStatus::Succeeded).await;
    assert!(done.tasks.iter().all(|task| task.attempt == 1), "{done:?}");
    assert_eq!(audit(&cell, &workers).violations(&[]), []);
}

/// Guards against a task that is placed elsewhere while it still runs on a
/// worker that no host can reach. The task lease is far longer than the time
/// after which the worker counts as unreachable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_of_an_unreachable_worker_move_after_their_leases() {
    let settings = json!({"workers": {
        "renew_ms": 100, "control_lease_ms": 600, "task_lease_ms": 4_000, "margin_ms": 100,
        "isolation_ms": 500, "call_timeout_ms": 200, "stop_grace_ms": 50,
    }});
    let mut cell = TestCell::with_settings(&[2], settings);
    let workers = ["w0", "w1"].map(|name| cell.add_worker(0, name, CAPACITY));
    cell.start_all().await;
    let host = cell.host(0);
    host.configure("setup", team_operations("print", 40)).await;
    let view = host
        .submit(job_spec("print", "k", WorkKind::Batch, 8, "run 8000"))
        .await;
    eventually("all tasks run", || {
        let view = host.control.job(view.id)?;
        view.tasks
            .iter()
            .all(|task| task.status == "running")
            .then_some(())
    })
    .await;
    cell.fleet.set_unreachable(&workers[0], true);
    eventually("the worker is lost", || {
        let views = host.control.workers();
        views
            .iter()
            .any(|worker| worker.status == "lost")
            .then_some(())
    })
    .await;
    // Free resources for the tasks of the lost worker.
    let spare = cell.add_worker(0, "w2", CAPACITY);
    host.wait_for(view.id, JobStatus::Succeeded).await;
    assert_eq!(
        audit(&cell, &[workers[0].clone(), workers[1].clone(), spare]).violations(&[]),
        []
    );
}

/// Guards against answers that are lost when a request passes through a second
/// host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_answered_by_every_host() {
    let mut cell = TestCell::new(&[3]);
    let endpoint = cell.add_endpoint(0, "e0", 2);
    cell.start_all().await;
    cell.host(0)
        .configure("setup", team_operations("print", 4))
        .await;
    for (index, host) in cell.running().enumerate() {
        let request = RoutedRequest {
            id: format!("request-{index}"),
            team: "print".parse().expect("valid name"),
            service: "prices".parse().expect("valid name"),
            idempotent: false,
            deadline: MilliSpan::new(5_000),
            origin: RequestOrigin::Caller,
            body: format!("tea towel {index}").into_bytes().into(),
        };
        let answer = loop {
            // The host may not have the host list or the configuration yet.
            match host.route.route(request.clone()).await {
                Ok(answer) => break answer,
                Err(error) => assert!(error.is_not_run(), "{error}"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        assert_eq!(answer.body, request.body);
    }
    assert_eq!(endpoint.ledger().runs.len(), 3);
}

/// Guards against refusing a team with a small limit on the hosts that hold
/// none of its permits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn team_with_one_permit_is_served_by_every_host() {
    let mut cell = TestCell::new(&[3]);
    let endpoint = cell.add_endpoint(0, "e0", 3);
    cell.start_all().await;
    let mut operations = team_operations("print", 4);
    for operation in &mut operations {
        if let PatchOperation::SetTeam { config, .. } = operation {
            config.max_requests = 1;
        }
    }
    cell.host(0).configure("setup", operations).await;
    for round in 0..4 {
        for (index, host) in cell.running().enumerate() {
            let request = RoutedRequest {
                id: format!("request-{round}-{index}"),
                team: "print".parse().expect("valid name"),
                service: "prices".parse().expect("valid name"),
                idempotent: false,
                deadline: MilliSpan::new(5_000),
                origin: RequestOrigin::Caller,
                body: "stock check".into(),
            };
            let started = tokio::time::Instant::now();
            while let Err(error) = host.route.route(request.clone()).await {
                assert!(error.is_not_run(), "{error}");
                assert!(started.elapsed() < Duration::from_secs(10), "{error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    assert_eq!(endpoint.ledger().runs.len(), 12);
}

//! Process tests with workers and endpoints that fail.

use std::time::Duration;

use futures::future::join_all;
use pimentochute_server::api::{JobStatus, WorkerView};
use pimentochute_standins::FaultSet;
use pimentochute_tests::process::{
    CellShape, ProcessAudit, ProcessCell, RequestOutcome, RequestSpec, wait_until,
};

/// Guards against a worker that fails every task and so uses up the attempts of
/// all jobs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn worker_that_fails_everything_is_quarantined() {
    let cell = ProcessCell::start(CellShape::new(&[2], 3, 0)).await;
    cell.add_team("print", 40).await;
    let failing = FaultSet {
        fail_all: true,
        ..FaultSet::default()
    };
    cell.workers[0].set_faults(failing).await;
    let name = cell.workers[0].name().to_owned();
    let caller = cell.caller("print", 0);
    let operator = cell.operator(1, 0);
    let mut jobs = Vec::new();
    wait_until("the worker is quarantined", async || {
        for _ in 0..3 {
            let key = format!("k{}", jobs.len());
            jobs.push(caller.submit_recorded("batch", &key, 1, "run 200").await);
        }
        let workers: Vec<WorkerView> = operator.read(&["workers"]).await?;
        let view = workers.iter().find(|view| view.name.as_str() == name)?;
        (view.status == "quarantined").then_some(())
    })
    .await;
    for job in &jobs {
        caller.wait_for(*job, JobStatus::Succeeded).await;
    }
    let audit = ProcessAudit::of(&cell).await;
    assert_eq!(audit.violations(&[], &[]), []);
    for job in jobs {
        let workers = audit.tasks.workers_of(job);
        let last = workers.last().expect("job ran on a worker");
        assert_ne!(last.as_str(), name, "job {job} succeeded elsewhere");
    }
}

/// Guards against a second run of a request that is not idempotent after its
/// answer was lost or its connection went silent, and against "not run" for a
/// request that ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_run_at_most_once_on_faulty_endpoints() {
    let cell = ProcessCell::start(CellShape::new(&[2, 1], 0, 2)).await;
    cell.add_team("print", 40).await;
    let faults = [
        FaultSet {
            lose_answers: true,
            ..FaultSet::default()
        },
        FaultSet {
            silent: true,
            ..FaultSet::default()
        },
        FaultSet {
            truncate: true,
            ..FaultSet::default()
        },
        FaultSet {
            refuse: true,
            ..FaultSet::default()
        },
        FaultSet::default(),
    ];
    let mut ends: Vec<(RequestSpec, RequestOutcome)> = Vec::new();
    for (round, fault) in faults.into_iter().enumerate() {
        // The second endpoint of the first data centre stays healthy.
        cell.endpoints[0].set_faults(fault).await;
        let requests = (0..9).map(async |index| {
            let mut spec = RequestSpec::new(&format!("r{round}-{index}"), "sleep 50");
            spec.idempotent = index % 3 == 2;
            spec.deadline_ms = 1_500;
            let end = cell.caller("print", index % 3).request(&spec).await;
            (spec, end)
        });
        ends.extend(join_all(requests).await);
    }
    // A request may still arrive after its caller stopped waiting.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let audit = ProcessAudit::of(&cell).await;
    assert_eq!(audit.violations(&ends, &[]), []);
    let answered = ends.iter().filter(|(_, end)| end.is_answered()).count();
    assert!(answered >= 20, "{answered} answers: {ends:?}");
    let unknown = ends
        .iter()
        .filter(|(_, end)| matches!(end, RequestOutcome::Unknown(_)));
    assert!(unknown.count() > 0, "no request met a fault: {ends:?}");
    let healthy = ends.iter().filter(|(spec, _)| spec.id.starts_with("r4-"));
    for (spec, end) in healthy {
        assert!(
            end.is_answered(),
            "not answered after the faults: {spec:?} {end:?}"
        );
    }
}

//! Process tests with entry hosts that are killed, paused or stopped while work
//! runs.

use std::collections::BTreeSet;
use std::time::Duration;

use futures::future::join_all;
use nix::sys::signal::Signal;
use pimentochute_server::api::JobStatus;
use pimentochute_tests::process::{
    CellShape, ProcessAudit, ProcessCell, RequestOutcome, RequestSpec, TeamCaller,
};

/// How long hosts are paused: longer than the control and task leases of the
/// harness.
const PAUSE: Duration = Duration::from_secs(8);

/// The number of tasks that run during a pause.
const LONG_TASKS: u32 = 9;

/// Sends requests one after the other and returns how each ended.
async fn send_in_sequence(
    caller: TeamCaller,
    specs: Vec<RequestSpec>,
) -> Vec<(RequestSpec, RequestOutcome)> {
    let mut ends = Vec::new();
    for spec in specs {
        let end = caller.request(&spec).await;
        ends.push((spec, end));
    }
    ends
}

fn specs(prefix: &str, count: usize, body: &str) -> Vec<RequestSpec> {
    let ids = (0..count).map(|index| format!("{prefix}-{index}"));
    ids.map(|id| RequestSpec::new(&id, body)).collect()
}

/// Guards against jobs that hang or run twice, and against requests that run
/// twice or are wrongly reported as not run, when the host that owns the team's
/// slice is killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_finishes_once_although_the_slice_owner_is_killed() {
    let mut cell = ProcessCell::start(CellShape::new(&[3], 3, 2)).await;
    cell.add_team("print", 40).await;
    let owner = cell.owner_of("print", 0).await;
    let others: Vec<usize> = (0..3).filter(|host| *host != owner).collect();
    let caller = cell.caller("print", others[0]);
    let job = caller.submit_recorded("batch", "k", 18, "run 1500").await;
    let senders = (0..3).map(|host| {
        let specs = specs(&format!("r{host}"), 8, "sleep 200");
        tokio::spawn(send_in_sequence(cell.caller("print", host), specs))
    });
    let senders: Vec<_> = senders.collect();
    tokio::time::sleep(Duration::from_millis(700)).await;
    cell.hosts[owner].kill();
    let ends = join_all(senders).await;
    let ends: Vec<Vec<_>> = ends
        .into_iter()
        .map(|end| end.expect("task does not panic"))
        .collect();
    caller.wait_for(job, JobStatus::Succeeded).await;

    let audit = ProcessAudit::of(&cell).await;
    assert_eq!(audit.violations(&ends.concat(), &[]), []);
    assert!((0..18).all(|task| audit.tasks.starts(job, task) == 1));
    for host in others {
        let answered = ends[host].iter().filter(|(_, end)| end.is_answered());
        assert_eq!(answered.count(), 8, "{:?}", ends[host]);
    }
    let killed: Vec<bool> = ends[owner].iter().map(|(_, e)| e.is_answered()).collect();
    assert!(
        killed.contains(&false),
        "all requests of the killed host were answered before the kill"
    );
}

/// Guards against hosts that continue with stale ownership after a pause: they
/// must not place, start, stop or end anything under their old epochs. Pauses
/// the owner of the team's slice and the manager of a worker, which may be the
/// same host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_hosts_do_not_act_on_leases_that_lapsed() {
    let mut cell = ProcessCell::start(CellShape::new(&[3], 3, 1)).await;
    cell.add_team("print", 40).await;
    let owner = cell.owner_of("print", 0).await;
    let worker = cell.workers[0].name().to_owned();
    let manager = cell.manager_of(&worker).expect("worker is managed");
    let paused = BTreeSet::from([owner, manager]);
    let running = (0..3).find(|host| !paused.contains(host));
    let caller = cell.caller("print", running.expect("one host is not paused"));
    // More tasks than fit on two workers, so every worker runs some.
    let long = caller
        .submit_recorded("batch", "long", LONG_TASKS, "run 11000")
        .await;
    caller.wait_for(long, JobStatus::Running).await;
    signal_hosts(&mut cell, &paused, Signal::SIGSTOP);
    tokio::time::sleep(PAUSE / 2).await;
    // The job is placed by the host that took the slice over.
    let late = caller.submit_recorded("batch", "late", 2, "run 300").await;
    tokio::time::sleep(PAUSE / 2).await;
    signal_hosts(&mut cell, &paused, Signal::SIGCONT);
    for host in 0..3 {
        let caller = cell.caller("print", host);
        caller.wait_for(late, JobStatus::Succeeded).await;
        caller.wait_for(long, JobStatus::Succeeded).await;
    }
    let audit = ProcessAudit::of(&cell).await;
    assert_eq!(audit.violations(&[], &[]), []);
    for (job, tasks) in [(long, LONG_TASKS), (late, 2)] {
        assert!((0..tasks).all(|task| audit.tasks.starts(job, task) == 1));
    }
    let lines = cell.hosts[manager].log(cell.folder.path());
    let refused = "the epoch is no longer in force at the worker";
    assert!(
        lines.contains(refused),
        "no command under the old epoch was refused: {lines}"
    );
}

fn signal_hosts(cell: &mut ProcessCell, hosts: &BTreeSet<usize>, signal: Signal) {
    for host in hosts {
        cell.hosts[*host].signal(signal);
    }
}

/// Guards against a planned stop that cuts off requests in flight or loses
/// jobs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_answers_every_request_in_flight() {
    let mut cell = ProcessCell::start(CellShape::new(&[2], 2, 2)).await;
    cell.add_team("print", 40).await;
    let caller = cell.caller("print", 1);
    let job = caller.submit_recorded("batch", "k", 8, "run 2500").await;
    let requests = specs("r", 6, "sleep 2500").into_iter().map(|spec| {
        let caller = cell.caller("print", 0);
        tokio::spawn(async move {
            let end = caller.request(&spec).await;
            (spec, end)
        })
    });
    let requests: Vec<_> = requests.collect();
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    cell.hosts[0].signal(Signal::SIGTERM);
    let ends = join_all(requests).await;
    let ends: Vec<_> = ends
        .into_iter()
        .map(|end| end.expect("task does not panic"))
        .collect();
    assert_eq!(cell.hosts[0].wait().await, 0);
    caller.wait_for(job, JobStatus::Succeeded).await;

    let audit = ProcessAudit::of(&cell).await;
    assert_eq!(audit.violations(&ends, &[]), []);
    assert!(ends.iter().all(|(_, end)| end.is_answered()), "{ends:?}");
    assert!((0..8).all(|task| audit.tasks.starts(job, task) == 1));
    let codes = cell.stop_hosts().await;
    assert_eq!(codes, [("dc0-h1".to_owned(), 0)]);
}

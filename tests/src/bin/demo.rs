//! The demonstration: runs a whole cell as processes, submits work of every kind,
//! kills a host meanwhile, and checks the records of workers and endpoints.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use futures::future::join_all;
use pimentochute_base::JobId;
use pimentochute_server::api::{JobStatus, StatusView};
use pimentochute_tests::process::{
    CellShape, CommandLine, ProcessAudit, ProcessCell, RequestOutcome, RequestSpec, StepReport,
    TeamCaller, wait_until,
};
use serde_json::{Value, json};
use tokio::signal::unix::{SignalKind, signal};

/// How long all steps together may take.
const DEMO_TIMEOUT: Duration = Duration::from_mins(1);

/// The team whose work is run.
const TEAM: &str = "hemtex";

/// The exit code of the command line for a rejected patch.
const EXIT_REJECTED: i32 = 5;

/// The time after which every host must refuse a withdrawn key: the limit on the
/// time until a configuration is in force on every host.
const MAX_KEY_WITHDRAWAL: Duration = Duration::from_secs(12);

/// The jobs and requests of the demonstration.
struct DemoWork {
    batch: JobId,
    gang: JobId,
    service: JobId,
    requests: Vec<(RequestSpec, RequestOutcome)>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut interrupt =
        signal(SignalKind::interrupt()).expect("signal handler should be installed");
    let mut terminate =
        signal(SignalKind::terminate()).expect("signal handler should be installed");
    // Dropping the future of `run` kills every process that it started.
    tokio::select! {
        failures = tokio::time::timeout(DEMO_TIMEOUT, run()) => match failures {
            Ok(0) => ExitCode::SUCCESS,
            Ok(_) => ExitCode::FAILURE,
            Err(_) => {
                eprintln!("demo: not done within {DEMO_TIMEOUT:?}");
                ExitCode::FAILURE
            }
        },
        _ = interrupt.recv() => ExitCode::FAILURE,
        _ = terminate.recv() => ExitCode::FAILURE,
    }
}

/// Runs every step and returns the number of failed checks.
async fn run() -> u32 {
    let mut report = StepReport::new();
    let mut cell = ProcessCell::start(CellShape::new(&[3, 2], 2, 2)).await;
    report.note("started: platform; entry hosts dc0-h0..2 and dc1-h0..1; 4 workers; 4 endpoints");
    configure(&cell, &mut report).await;
    let key = grant_key(&cell, &mut report, "hemtex-1").await;
    race_patches(&cell, &mut report).await;
    let work = run_work(&mut cell, &mut report, &key).await;
    finish(&cell, &mut report, &key, &work).await;
    withdraw_key(&cell, &mut report, &key).await;
    audit(&cell, &mut report, &work).await;
    for (host, code) in cell.stop_hosts().await {
        report.check(
            code == 0,
            &format!("SIGTERM: {host} ends with exit code {code}"),
        );
    }
    let codes = cell.stop_standins().await;
    let count = codes.len();
    let clean = codes.iter().all(|(_, code)| *code == 0);
    let text = format!("SIGTERM: the {count} stand-ins end with exit code 0");
    report.check(clean, &text);
    report.finish()
}

/// Configures the team and its queues by operator commands.
async fn configure(cell: &ProcessCell, report: &mut StepReport) {
    let operator = cell.operator(0, 0);
    let limits = ["--share", "2", "--max-tasks", "40", "--max-requests", "64"];
    accept(
        &operator,
        report,
        &[&["team", "set", TEAM][..], &limits].concat(),
    )
    .await;
    for kind in ["batch", "gang", "service"] {
        let queue = format!("{TEAM}-{kind}");
        let values = ["--kind", kind, "--teams", TEAM, "--priority", "normal"];
        accept(
            &operator,
            report,
            &[&["queue", "set", &queue][..], &values].concat(),
        )
        .await;
    }
    let queue = format!("{TEAM}-prices");
    let kind = ["--kind", "request", "--service", "prices"];
    let values = ["--teams", TEAM, "--priority", "urgent"];
    let prices = [&["queue", "set", &queue][..], &kind, &values].concat();
    accept(&operator, report, &prices).await;
}

/// Runs a command that patches the configuration, checks that the patch was
/// accepted, and returns the command's data.
async fn accept(operator: &CommandLine, report: &mut StepReport, arguments: &[&str]) -> Value {
    let output = operator
        .run(&[arguments, &["--author", "desk-a"]].concat())
        .await;
    let version = &output.data["version"];
    let what = arguments[..3].join(" ");
    let text = format!("operator: {what}: version {version} {}", output.stderr);
    report.check(output.code == 0, text.trim_end());
    output.data
}

/// Grants the team a key, waits until every host has it, and returns its secret.
async fn grant_key(cell: &ProcessCell, report: &mut StepReport, id: &str) -> String {
    let operator = cell.operator(0, 0);
    let granted = accept(&operator, report, &["key", "grant", id, "--team", TEAM]).await;
    let version = granted["version"].as_u64().unwrap_or(0);
    cell.wait_for_version(version).await;
    report.check(
        true,
        &format!("version {version} is in force on all 5 hosts"),
    );
    granted["secret"].as_str().unwrap_or_default().to_owned()
}

/// Lets two operators patch the same version at hosts of different data centres,
/// and checks that exactly one patch is accepted.
async fn race_patches(cell: &ProcessCell, report: &mut StepReport) {
    let operators = [cell.operator(0, 0), cell.operator(3, 1)];
    let status: StatusView = operators[0].expect(&["status"]).await;
    let patches = [("desk-a", 3), ("desk-b", 4)].map(|(author, share)| {
        json!({
            "id": format!("share-of-{author}"),
            "base_version": status.config_version,
            "author": author,
            "operations": [{"op": "set_team", "team": TEAM,
                "config": {"share": share, "max_tasks": 40, "max_requests": 64}}],
        })
    });
    let (first, second) = tokio::join!(
        operators[0].submit_patch(&patches[0]),
        operators[1].submit_patch(&patches[1]),
    );
    let codes = [first.code, second.code];
    let exactly_one_accepted = codes == [0, EXIT_REJECTED] || codes == [EXIT_REJECTED, 0];
    let base = status.config_version;
    let text = format!("desk-a and desk-b patch version {base}: exit codes {codes:?}");
    report.check(exactly_one_accepted, &text);
    let loser = if first.code == 0 { second } else { first };
    report.check(
        loser.stderr.contains("version"),
        &format!("the other is told: {}", loser.stderr),
    );
}

/// Submits jobs and requests of every kind, and kills the host that owns the
/// team's slice while they run.
async fn run_work(cell: &mut ProcessCell, report: &mut StepReport, key: &str) -> DemoWork {
    let owner = cell.owner_of(TEAM, 0).await;
    let caller = TeamCaller::new(TEAM, key, cell.public((owner + 1) % 3));
    let batch = caller
        .submit_recorded("batch", "separations", 4, "run 5000")
        .await;
    let gang = caller
        .submit_recorded("gang", "press-run", 2, "run 2500")
        .await;
    let service = caller
        .submit_recorded("service", "preview", 1, "forever")
        .await;
    report.note("submitted: a batch job of 4 tasks, a gang of 2, a service of 1");
    for job in [batch, gang, service] {
        caller.wait_for(job, JobStatus::Running).await;
    }
    report.check(true, "all three run");
    let senders = (0..cell.hosts.len()).filter(|host| *host != owner);
    let senders = senders.map(|host| {
        let caller = TeamCaller::new(TEAM, key, cell.public(host));
        tokio::spawn(send(caller, format!("price-{host}")))
    });
    let senders: Vec<_> = senders.collect();
    tokio::time::sleep(Duration::from_millis(400)).await;
    cell.hosts[owner].kill();
    let name = &cell.hosts[owner].address.name;
    report.note(&format!("SIGKILL: {name}, which owned the slice of {TEAM}"));
    let outcomes = join_all(senders).await.into_iter();
    let requests: Vec<_> = outcomes
        .flat_map(|sent| sent.expect("sender should not panic"))
        .collect();
    let answered = requests
        .iter()
        .filter(|(_, outcome)| outcome.is_answered())
        .count();
    report.check(
        answered == requests.len(),
        &format!(
            "{answered} of {} requests through 4 hosts are answered",
            requests.len()
        ),
    );
    DemoWork {
        batch,
        gang,
        service,
        requests,
    }
}

/// Sends eight requests one after the other.
async fn send(caller: TeamCaller, prefix: String) -> Vec<(RequestSpec, RequestOutcome)> {
    let mut outcomes = Vec::new();
    for index in 0..8 {
        let spec = RequestSpec::new(&format!("{prefix}-{index}"), "sleep 150");
        let outcome = caller.request(&spec).await;
        outcomes.push((spec, outcome));
    }
    outcomes
}

/// Waits until the jobs succeed and another host owns the slice, runs a job there,
/// and cancels the service.
async fn finish(cell: &ProcessCell, report: &mut StepReport, key: &str, work: &DemoWork) {
    let running = (0..3).find(|host| cell.hosts[*host].is_running());
    let caller = TeamCaller::new(
        TEAM,
        key,
        cell.public(running.expect("a host of dc0 should be running")),
    );
    for (what, job) in [("batch job", work.batch), ("gang", work.gang)] {
        caller.wait_for(job, JobStatus::Succeeded).await;
        report.check(true, &format!("the {what} succeeded"));
    }
    let new_owner = wait_until("another host owns the slice", async || {
        let running = running.expect("a host of dc0 should be running");
        let owner = cell.owner_of(TEAM, running).await;
        cell.hosts[owner].is_running().then_some(owner)
    })
    .await;
    let name = &cell.hosts[new_owner].address.name;
    report.check(true, &format!("{name} owns the slice of {TEAM} now"));
    let late = caller.submit_recorded("batch", "late", 2, "run 300").await;
    caller.wait_for(late, JobStatus::Succeeded).await;
    report.check(true, "a job that was submitted after the kill succeeded");
    let id = work.service.to_string();
    let cancelled = caller.commands.run(&["job", "cancel", &id]).await;
    caller.wait_for(work.service, JobStatus::Cancelled).await;
    report.check(
        cancelled.code == 0,
        "the service ran until it was cancelled",
    );
}

/// Withdraws the key and checks how soon every running host refuses it.
async fn withdraw_key(cell: &ProcessCell, report: &mut StepReport, key: &str) {
    let hosts = (0..cell.hosts.len()).filter(|host| cell.hosts[*host].is_running());
    let hosts: Vec<usize> = hosts.collect();
    let operator = cell.operator(hosts[0], 1);
    accept(&operator, report, &["key", "withdraw", "hemtex-1"]).await;
    let withdrawn = Instant::now();
    for host in hosts {
        let caller = TeamCaller::new(TEAM, key, cell.public(host));
        let mut sent = 0;
        let refusal = wait_until("the key is refused", async || {
            sent += 1;
            let spec = RequestSpec::new(&format!("withdrawn-{host}-{sent}"), "");
            match caller.request(&spec).await {
                RequestOutcome::NotRun(refusal) if refusal.contains("unauthenticated") => {
                    Some(refusal)
                }
                _ => None,
            }
        })
        .await;
        let elapsed = withdrawn.elapsed();
        let name = &cell.hosts[host].address.name;
        let millis = elapsed.as_millis();
        let text = format!("{name} refuses the key after {millis} ms: {refusal}");
        report.check(elapsed < MAX_KEY_WITHDRAWAL, &text);
    }
}

/// Checks the records of all workers and endpoints and the logs of all hosts.
async fn audit(cell: &ProcessCell, report: &mut StepReport, work: &DemoWork) {
    let audit = ProcessAudit::of(cell).await;
    let starts =
        |job, tasks: u32| -> usize { (0..tasks).map(|t| audit.tasks.starts(job, t)).sum() };
    let counts = [
        starts(work.batch, 4),
        starts(work.gang, 2),
        starts(work.service, 1),
    ];
    report.check(
        counts == [4, 2, 1],
        &format!("records of workers: starts of batch, gang and service are {counts:?}"),
    );
    let once = work
        .requests
        .iter()
        .filter(|(spec, _)| audit.runs_of(&spec.id) == 1);
    let (once, all) = (once.count(), work.requests.len());
    report.check(
        once == all,
        &format!("records of endpoints: {once} of {all} requests ran exactly once"),
    );
    let violations = audit.violations(&work.requests, &[work.gang]);
    let text = "no task in two places, no worker or endpoint over capacity, every answer is true";
    report.check(violations.is_empty(), text);
    for violation in violations {
        report.note(&format!("{violation:?}"));
    }
}

//! Three entry hosts on a platform in memory, whose workers drain, leave, or only lose
//! their entries in the platform's list.

use std::time::{Duration, Instant};

use http::Method;
use pimentochute_base::{MilliClock, MilliSpan};
use pimentochute_server::log_dispatch;
use pimentochute_server::settings::LoggingSettings;
use pimentochute_tests::{EdgeCell, EdgePlatform, StoreFault};
use pimentochute_work::{JobSubmission, decode_record, encode_record};
use test_case::test_case;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r","host":"jobs.example","path-prefix":"/q/","service":"pool","max-attempts":2,"stretch":2.0,"target-latency-ms":1000}],"services":[{"name":"pool"}],"tenants":[{"name":"t","api-keys":["secret"],"weight":100}]}"#;
const JOB: &str =
    r#"{"spec":"t","steps":[{"count":2,"cpu":1000,"mem-mb":100,"estimate-ms":20000}]}"#;
const HOSTS: usize = 3;
const WORKERS: usize = 4;

/// The time that a run takes; no task of these tests ends by itself.
const RUN_TIME: MilliSpan = MilliSpan::new(20_000);

/// The time from the last report of a worker until its entry expires.
const ENTRY_LIFETIME: Duration = Duration::from_millis(4_600);

/// The time in which a task that is taken for lost would start again.
const RESTART_TIME: Duration = Duration::from_secs(2);

/// Starts the hosts and waits until one owns the cell.
async fn start_cell(platform: &EdgePlatform) -> EdgeCell {
    if std::env::var_os("TEST_LOG").is_some() {
        let dispatch = log_dispatch(LoggingSettings::default(), &MilliClock::system());
        drop(dispatch.chain(std::io::stdout()).apply());
    }
    platform.write_config(CONFIG);
    let cell = EdgeCell::start(platform, HOSTS);
    for index in 0..HOSTS {
        until("the hosts are ready", async || cell.is_ready(index).await).await;
    }
    until("a host owns the cell", async || cell.owner().is_some()).await;
    cell
}

async fn submit(cell: &EdgeCell, host: usize, job: u64) {
    let path = format!("/q/{job:016x}");
    let reply = cell.call(host, Method::POST, &path, "secret", JOB).await;
    assert_eq!(reply.status, 200, "{reply:?}");
}

/// Submits a job and waits until it is completed.
async fn complete_job(cell: &EdgeCell, host: usize, job: u64) {
    submit(cell, host, job).await;
    let path = format!("/q/{job:016x}");
    until("the job is completed", async || {
        let reply = cell.call(host, Method::GET, &path, "secret", "").await;
        reply.status == 200 && reply.body.contains("completed")
    })
    .await;
}

/// Starts the hosts and a job, and waits until its tasks run.
async fn running_job(platform: &EdgePlatform) -> EdgeCell {
    let cell = start_cell(platform).await;
    submit(&cell, 0, 1).await;
    until("the tasks run", async || platform.start_counts().len() == 2).await;
    // The owner has read the entries of all workers, and polls those that run tasks.
    tokio::time::sleep(Duration::from_millis(500)).await;
    cell
}

async fn until(what: &str, condition: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "timed out: {what}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the highest number of starts of a task.
fn most_starts(platform: &EdgePlatform) -> u32 {
    platform.start_counts().into_values().max().unwrap_or(0)
}

fn set_faults(platform: &EdgePlatform, fault: Option<StoreFault>) {
    for index in 0..HOSTS {
        platform.set_fault(&format!("host-{index}"), fault);
    }
}

/// Guards against an entry that expired during an outage of the store and is taken for
/// the departure of a draining worker: its tasks ran twice.
#[tokio::test]
async fn the_tasks_of_a_draining_worker_survive_an_entry_that_expires_in_an_outage() {
    let platform = EdgePlatform::new(WORKERS, RUN_TIME);
    let _cell = running_job(&platform).await;
    let draining = platform.busy_workers();
    set_faults(&platform, Some(StoreFault::Refuse));
    for index in &draining {
        platform.report_draining(*index);
    }
    tokio::time::sleep(ENTRY_LIFETIME).await;
    for index in &draining {
        platform.remove_entry(*index);
    }
    set_faults(&platform, None);
    let restart = Instant::now();
    while restart.elapsed() < RESTART_TIME {
        for index in (0..WORKERS).filter(|index| !draining.contains(index)) {
            platform.renew_entry(index);
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(most_starts(&platform), 1, "a task runs twice");
}

/// Guards against a new owner that takes the time at which it loads the list for the time
/// at which a draining worker has written its entry.
#[tokio::test]
async fn the_tasks_of_a_draining_worker_survive_a_new_owner_and_an_entry_that_expires() {
    let platform = EdgePlatform::new(WORKERS, RUN_TIME);
    let mut cell = running_job(&platform).await;
    let draining = platform.busy_workers();
    for index in &draining {
        platform.report_draining(*index);
    }
    let drained = Instant::now();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let owner = cell.owner().expect("the cell has an owner");
    cell.kill(owner);
    until("another host owns the cell", async || {
        cell.owner().is_some_and(|next| next != owner)
    })
    .await;
    tokio::time::sleep(ENTRY_LIFETIME.saturating_sub(drained.elapsed())).await;
    for index in &draining {
        platform.remove_entry(*index);
    }
    tokio::time::sleep(RESTART_TIME).await;
    assert_eq!(most_starts(&platform), 1, "a task runs twice");
}

/// Returns the text of a worker's entry.
fn entry(address: &str, cpu: &str, started_at: &str) -> String {
    format!(
        r#"{{"service":"pool","address":"{address}","zone":"dc","state":"ready","capacity":{{"cpu":{cpu},"mem-mb":{cpu}}},"born":{started_at}}}"#
    )
}

/// Guards against hosts that end, or stop following the list, because of an entry that
/// another writer left among those of the workers.
#[tokio::test]
async fn odd_entries_among_those_of_the_workers_cost_nothing_else() {
    let platform = EdgePlatform::new(WORKERS, MilliSpan::new(300));
    let largest = u64::MAX.to_string();
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    // The years 2096 and 31690; the platform's workers have ports from 1 on.
    let odd = [
        ("w0", entry("127.0.0.1:99999", "8000", "0")),
        ("w0 0&x=", entry("127.0.0.1:5", &largest, "0")),
        ("w00\u{e9}", entry("127.0.0.1:6", &largest, "0")),
        ("x1", entry("127.0.0.1:1", "8000", &largest)),
        ("x2", entry("127.0.0.1:2", "8000", "4000000000000")),
        ("x3", entry("127.0.0.1:3", "8000", "937915200000000")),
        ("x4", entry("127.0.0.1:4", "8000", "4000000000000")),
        ("x5", entry("127.0.0.1:4", "8000", "1e400")),
        ("x6", nested),
        ("x7", "{".to_owned()),
        ("w000", "{".to_owned()),
    ];
    let write_odd = || {
        for (key, value) in &odd {
            platform.write_record("keyed.servers", key, value.as_bytes());
        }
    };
    let mut cell = start_cell(&platform).await;
    write_odd();
    complete_job(&cell, 0, 1).await;
    let owner = cell.owner().expect("the cell has an owner");
    cell.kill(owner);
    until("another host owns the cell", async || {
        cell.owner().is_some_and(|next| next != owner)
    })
    .await;
    write_odd();
    complete_job(&cell, (owner + 1) % HOSTS, 2).await;
    assert_eq!(most_starts(&platform), 1, "a task runs twice");
}

/// Review case 6, TWICE: entries of another writer with the addresses of live workers made their
/// tasks run twice, with one owner and with the next.
#[test_case("inventory"; "of a pool that no configuration names")]
#[test_case("pool"; "of a pool with workers")]
#[tokio::test]
async fn the_tasks_of_a_worker_survive_an_entry_with_its_address(pool: &str) {
    let platform = EdgePlatform::new(WORKERS, RUN_TIME);
    let mut cell = running_job(&platform).await;
    // The other workers have room for the tasks.
    let claimed = platform.busy_workers();
    let claim_addresses = || {
        let started_at = MilliClock::system().unix_now().as_millis().to_string();
        for index in &claimed {
            let address = format!("127.0.0.1:{}", 1 + index);
            let claim = entry(&address, "8000", &started_at);
            let claim = claim.replace("\"pool\"", &format!("\"{pool}\""));
            platform.write_record("keyed.servers", &format!("x{index}"), claim.as_bytes());
        }
    };
    claim_addresses();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let owner = cell.owner().expect("the cell has an owner");
    cell.kill(owner);
    until("another host owns the cell", async || {
        cell.owner().is_some_and(|next| next != owner)
    })
    .await;
    let taken = Instant::now();
    while taken.elapsed() < RESTART_TIME {
        claim_addresses();
        (0..WORKERS).for_each(|index| platform.renew_entry(index));
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(most_starts(&platform), 1, "a task runs twice");
    // A configuration that names their pool makes workers of the entries, and no more.
    let named = CONFIG.replace(r#""version":1"#, r#""version":2"#);
    let named = named.replace(
        r#"[{"name":"pool"}]"#,
        r#"[{"name":"pool"},{"name":"inventory"}]"#,
    );
    platform.write_config(&named);
    tokio::time::sleep(RESTART_TIME).await;
    assert_eq!(most_starts(&platform), 1, "a task runs twice");
}

/// Guards against owners that end, one after the other, because of a job in the log that
/// no host would have accepted.
#[tokio::test]
async fn odd_records_among_those_of_the_jobs_cost_nothing_else() {
    let platform = EdgePlatform::new(WORKERS, MilliSpan::new(300));
    let cell = start_cell(&platform).await;
    let valid = cell.encoded_submission(JOB);
    let mut submission: JobSubmission = decode_record(&valid).expect("decodes");
    submission.spec.steps[0].after.push(7);
    let later_step = encode_record(&submission).expect("encodes");
    submission.spec.steps.clear();
    let no_step = encode_record(&submission).expect("encodes");
    for (job, odd) in [later_step, no_step, b"x".to_vec()].iter().enumerate() {
        platform.append_job(odd, 100 + job as u64);
    }
    platform.write_record("keyed.intake", "no job identifier", &valid);
    platform.write_record("keyed.progress", "0000000000000009", b"x");
    platform.write_record("keyed.progress", "0000000000000009.c", b"x");
    complete_job(&cell, 0, 1).await;
}

/// Guards against tasks that wait for the end of a lease although their worker has
/// reported that it drains, and has left.
#[tokio::test]
async fn the_tasks_of_a_worker_that_has_left_start_again_at_once() {
    let platform = EdgePlatform::new(WORKERS, RUN_TIME);
    let _cell = running_job(&platform).await;
    let leaving = platform.busy_workers();
    for index in &leaving {
        platform.report_draining(*index);
    }
    tokio::time::sleep(Duration::from_millis(1_400)).await;
    for index in &leaving {
        platform.end_worker(*index);
        platform.remove_entry(*index);
    }
    let left = Instant::now();
    until("the tasks start again", async || {
        platform.start_counts().values().all(|count| *count == 2)
    })
    .await;
    assert!(left.elapsed() < Duration::from_secs(2), "the lease is over");
}

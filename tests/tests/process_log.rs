//! Process tests with a log that is down or loses the answers to appends.

use std::time::Duration;

use futures::future::join_all;
use pimentochute_base::{IdempotencyKey, JobId};
use pimentochute_server::api::{HistoryView, JobStatus, StatusView};
use pimentochute_standins::FaultSet;
use pimentochute_tests::process::{
    CellShape, CommandLine, ProcessAudit, ProcessCell, RequestSpec, TeamCaller, wait_until,
};
use serde_json::{Value, json};

/// The exit code of a command that was refused and did not run.
const NOT_RUN: i32 = 3;

/// The exit code of a command whose outcome is unknown.
const UNKNOWN: i32 = 4;

fn job_id(team: &str, key: &str) -> JobId {
    let key: IdempotencyKey = key.parse().expect("valid name");
    JobId::new(&team.parse().expect("valid name"), &key)
}

/// Submits again with the same key until the job is recorded.
async fn submit_until_recorded(caller: &TeamCaller, key: &str, command: &str) -> JobId {
    wait_until(&format!("job {key} is recorded"), async || {
        let end = caller.submit("batch", key, 1, command).await;
        let expected = [0, NOT_RUN, UNKNOWN].contains(&end.code);
        assert!(expected, "job {key}: {}", end.stderr);
        (end.code == 0).then_some(())
    })
    .await;
    job_id("print", key)
}

/// Returns a patch that raises the task limit of a team, based on the version
/// in force.
async fn limit_patch(operator: &CommandLine) -> Value {
    let status: StatusView = operator.expect(&["status"]).await;
    json!({
        "id": "raise-limit",
        "base_version": status.config_version,
        "author": "desk-a",
        "operations": [{"op": "set_team", "team": "print",
            "config": {"share": 1, "max_tasks": 41, "max_requests": 64}}],
    })
}

/// Submits a patch again and checks that it created exactly one version.
async fn assert_applied_once(operator: &CommandLine, patch: &Value) {
    let version = wait_until("the patch is accepted", async || {
        let end = operator.submit_patch(patch).await;
        let expected = [0, NOT_RUN, UNKNOWN].contains(&end.code);
        assert!(expected, "exit code {}: {}", end.code, end.stderr);
        end.data["version"].as_u64()
    })
    .await;
    assert_eq!(Some(version - 1), patch["base_version"].as_u64());
    let history: Vec<HistoryView> = operator.expect(&["config", "history"]).await;
    let id = patch["id"].as_str();
    let recorded = history
        .iter()
        .filter(|view| Some(view.patch.as_str()) == id);
    assert_eq!(recorded.count(), 1, "{history:?}");
}

/// Guards against an outage of the log that stops running tasks or requests or
/// loses a job, and against a submission that is reported as not run but runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn running_work_goes_on_while_the_log_is_down() {
    let cell = ProcessCell::start(CellShape::new(&[2, 1], 2, 1)).await;
    cell.add_team("print", 40).await;
    let caller = cell.caller("print", 0);
    // Longer than the task lease, so it succeeds only if renewals continue.
    let long = caller.submit_recorded("batch", "long", 4, "run 9000").await;
    let view = caller.wait_for(long, JobStatus::Running).await;
    assert_eq!(view.tasks.len(), 4);
    let down = FaultSet {
        down: true,
        ..FaultSet::default()
    };
    cell.platform.set_faults(down).await;
    let (requests, refused) = tokio::join!(
        join_all((0..6).map(async |index| {
            let spec = RequestSpec::new(&format!("r-{index}"), "sleep 300");
            let end = cell.caller("print", index % 2).request(&spec).await;
            (spec, end)
        })),
        join_all((0..4).map(async |index| {
            let key = format!("new-{index}");
            let submitted = cell.caller("print", index % 2);
            submitted.submit("batch", &key, 1, "run 200").await
        })),
    );
    for end in &refused {
        let expected = end.code == NOT_RUN || end.code == UNKNOWN;
        assert!(expected, "exit code {}: {}", end.code, end.stderr);
    }
    // The long job ends during the outage and is recorded after it.
    tokio::time::sleep(Duration::from_secs(7)).await;
    cell.platform.set_faults(FaultSet::default()).await;
    caller.wait_for(long, JobStatus::Succeeded).await;
    let fresh = submit_until_recorded(&caller, "fresh", "run 200").await;
    caller.wait_for(fresh, JobStatus::Succeeded).await;

    let audit = ProcessAudit::of(&cell).await;
    assert_eq!(audit.violations(&requests, &[]), []);
    assert!(
        requests.iter().all(|(_, end)| end.is_answered()),
        "{requests:?}"
    );
    assert!((0..4).all(|task| audit.tasks.starts(long, task) == 1));
    for (index, end) in refused.iter().enumerate() {
        let key = format!("new-{index}");
        let job = job_id("print", &key);
        if end.code == NOT_RUN {
            assert_eq!(audit.tasks.starts(job, 0), 0, "{}", end.stderr);
            assert!(caller.job(job).await.is_none(), "{}", end.stderr);
        }
        submit_until_recorded(&caller, &key, "run 200").await;
        caller.wait_for(job, JobStatus::Succeeded).await;
        let audit = ProcessAudit::of(&cell).await;
        assert_eq!(audit.tasks.starts(job, 0), 1, "job {key}");
    }
}

/// Guards against jobs that run twice or are lost when appends take effect but
/// their answers are lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_append_answers_neither_lose_nor_repeat_work() {
    let cell = ProcessCell::start(CellShape::new(&[2], 2, 1)).await;
    cell.add_team("print", 40).await;
    let caller = cell.caller("print", 0);
    // Reads lose their answers too, so hosts see the appends only after the
    // fault.
    let losing_answers = FaultSet {
        lose_answers: true,
        ..FaultSet::default()
    };
    cell.platform.set_faults(losing_answers).await;
    let during = join_all((0..4).map(async |index| {
        let key = format!("job-{index}");
        let caller = cell.caller("print", index % 2);
        caller.submit("batch", &key, 1, "run 300").await
    }));
    let operator = cell.operator(1, 0);
    let patch = limit_patch(&operator).await;
    let switch = async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        cell.platform.set_faults(FaultSet::default()).await;
    };
    let (during, patched, ()) = tokio::join!(during, operator.submit_patch(&patch), switch);
    let expected = [0, NOT_RUN, UNKNOWN].contains(&patched.code);
    assert!(expected, "exit code {}: {}", patched.code, patched.stderr);
    assert_applied_once(&operator, &patch).await;
    for (index, end) in during.iter().enumerate() {
        let expected = [0, NOT_RUN, UNKNOWN].contains(&end.code);
        assert!(expected, "exit code {}: {}", end.code, end.stderr);
        if end.code == NOT_RUN {
            // Such a job must not exist until it is submitted again below.
            let job = job_id("print", &format!("job-{index}"));
            assert!(caller.job(job).await.is_none(), "{}", end.stderr);
        }
    }
    let other = cell.caller("print", 1);
    for index in 0..4 {
        let key = format!("job-{index}");
        let job = submit_until_recorded(&other, &key, "run 300").await;
        caller.wait_for(job, JobStatus::Succeeded).await;
        let audit = ProcessAudit::of(&cell).await;
        assert_eq!(audit.tasks.starts(job, 0), 1, "job {key}");
    }
    assert_eq!(ProcessAudit::of(&cell).await.violations(&[], &[]), []);
}

//! `job`: submits, shows, lists and cancels jobs.

use std::ffi::OsString;

use bytes::Bytes;
use http::Method;
use pimentochute_base::{MilliSpan, MilliTime, ResourceAmount};
use pimentochute_server::api::{JobSubmission, JobView, TaskView};

use super::{client_runtime, parse_flags};
use crate::api_client::ApiClient;
use crate::exit::{CliError, ExitStatus};
use crate::flags::common_flags;
use crate::flags::job::{Job, JobCmd, Submit};
use crate::output::{print_json, print_line, print_table};

pub fn run(arguments: Vec<OsString>) -> Result<ExitStatus, CliError> {
    let mut flags = parse_flags!(Job::from_vec(arguments));
    let common = common_flags!(flags);
    let client = ApiClient::new(&common)?;
    let runtime = client_runtime()?;
    let job: JobView = match flags.subcommand {
        JobCmd::Submit(submit) => {
            let submission = build_submission(submit);
            runtime.block_on(client.post("/v1/jobs", &submission))?
        }
        JobCmd::Status(status) => {
            let path = format!("/v1/jobs/{}", status.id);
            runtime.block_on(client.get(&path))?
        }
        JobCmd::Cancel(cancel) => {
            let path = format!("/v1/jobs/{}", cancel.id);
            let call = client.call_json(Method::DELETE, &path, Bytes::new());
            runtime.block_on(call)?
        }
        JobCmd::List(list) => {
            let query = list.team.map(|team| format!("?team={team}"));
            let path = format!("/v1/jobs{}", query.unwrap_or_default());
            let jobs: Vec<JobView> = runtime.block_on(client.get(&path))?;
            print_jobs(&jobs, common.json)?;
            return Ok(ExitStatus::Success);
        }
    };
    print_job(&job, common.json)?;
    Ok(ExitStatus::Success)
}

fn build_submission(submit: Submit) -> JobSubmission {
    let accelerators = submit.accelerators.unwrap_or(0);
    JobSubmission {
        team: submit.team,
        queue: submit.queue,
        idempotency_key: submit.idempotency_key,
        tasks: submit.tasks.unwrap_or(1),
        demand: ResourceAmount::new(submit.cpu_millis, submit.memory_mib)
            .with_accelerators(accelerators),
        command: submit.command,
        expected_run_ms: submit.expected_run_ms.map(MilliSpan::new),
        finish_by_ms: submit.finish_by_ms.map(MilliTime::new),
    }
}

fn print_job(job: &JobView, json: bool) -> Result<(), CliError> {
    if json {
        return print_json(job);
    }
    let reason = job.reason.as_ref();
    let reason = reason.map_or_else(String::new, |reason| format!(" ({reason})"));
    print_line(&format!("{}  {}{reason}", job.id, job.status))?;
    if job.tasks.is_empty() {
        return Ok(());
    }
    let row = |task: &TaskView| {
        let worker = task.worker.as_ref();
        let worker = worker.map_or_else(|| "-".to_owned(), ToString::to_string);
        vec![
            task.task.to_string(),
            task.status.clone(),
            task.attempt.to_string(),
            worker,
        ]
    };
    let rows: Vec<_> = job.tasks.iter().map(row).collect();
    print_table(&["TASK", "STATUS", "ATTEMPT", "WORKER"], &rows)
}

fn print_jobs(jobs: &[JobView], json: bool) -> Result<(), CliError> {
    if json {
        return print_json(&jobs);
    }
    let row = |job: &JobView| {
        vec![
            job.id.to_string(),
            job.team.to_string(),
            job.queue.to_string(),
            job.kind.to_string(),
            job.status.to_string(),
            job.tasks.len().to_string(),
        ]
    };
    let rows: Vec<_> = jobs.iter().map(row).collect();
    print_table(&["JOB", "TEAM", "QUEUE", "KIND", "STATUS", "TASKS"], &rows)
}

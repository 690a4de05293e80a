//! Hands in the configuration and the jobs.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use crate::BenchResult;

/// The key of the operator.
pub const OPERATOR_KEY: &str = "operator-secret-of-the-measurement";

/// The teams of the target size.
const TEAM_COUNT: u32 = 200;

/// The open queues of each kind, each of another team, so that the work is
/// spread over the slices.
const QUEUE_COUNT: u32 = 24;

/// The pause between two tries or looks.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The pause between two looks when a time is measured.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The time after which an urgent job counts as not started.
const URGENT_START_TIMEOUT: Duration = Duration::from_secs(10);

/// The tasks of one service job.
const TASKS_PER_SERVICE: u32 = 12;

/// Calls the daemons in turn.
pub struct JobCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    hosts: Vec<SocketAddr>,
}

impl JobCaller {
    /// Creates a caller of public addresses.
    pub fn new(hosts: &[SocketAddr]) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
            hosts: hosts.to_vec(),
        }
    }

    /// Hands in teams and open queues, as soon as a daemon takes them.
    pub async fn configure(&self, timeout: Duration) -> BenchResult<()> {
        let teams = (0..TEAM_COUNT).map(|index| {
            let config = json!({"share": 1, "max_tasks": 100_000, "max_requests": 100});
            json!({"op": "set_team", "team": team_name(index), "config": config})
        });
        let queues = (0..QUEUE_COUNT).flat_map(|index| {
            ["service", "batch"].map(|kind| {
                let teams = [team_name(index)];
                let config =
                    json!({"kind": kind, "open": true, "teams": teams, "priority": "normal"});
                json!({"op": "set_queue", "queue": format!("{kind}-{index}"), "config": config})
            })
        });
        let config = json!({
            "kind": "batch", "open": true, "teams": [team_name(0)], "priority": "urgent",
        });
        let urgent = json!({"op": "set_queue", "queue": "urgent", "config": config});
        let operations: Vec<Value> = teams.chain(queues).chain([urgent]).collect();
        let patch = json!({
            "id": "measurement", "base_version": 0, "author": "desk", "operations": operations,
        });
        let deadline = Instant::now() + timeout;
        loop {
            let answer = self.post(0, "/v1/config/patches", &patch).await;
            match answer {
                Ok((StatusCode::OK, _)) => return Ok(()),
                Ok((status, text)) if Instant::now() > deadline => {
                    return Err(format!("patch: {status} {text}").into());
                }
                Err(error) if Instant::now() > deadline => return Err(error),
                _ => sleep(RETRY_INTERVAL).await,
            }
        }
    }

    /// Submits services and waits until all their tasks are placed; returns the time
    /// that it took.
    pub async fn run_services(&self, tasks: u32, timeout: Duration) -> BenchResult<Duration> {
        let started = Instant::now();
        for job in 0..tasks / TASKS_PER_SERVICE {
            let body = json!({
                "queue": format!("service-{}", job % QUEUE_COUNT), "idempotency_key": format!("service-{job}"),
                "tasks": TASKS_PER_SERVICE, "command": "forever",
                "demand": {"cpu_millis": 1_500, "memory_mib": 1_024},
            });
            loop {
                let (status, text) = self.post(job as usize, "/v1/jobs", &body).await?;
                if status == StatusCode::OK {
                    break;
                }
                if started.elapsed() > timeout {
                    return Err(format!("job {job}: {status} {text}").into());
                }
                sleep(RETRY_INTERVAL).await;
            }
        }
        while self.status(0, "placed_tasks").await? < u64::from(tasks) {
            if started.elapsed() > timeout {
                return Err("not all tasks are placed in time".into());
            }
            sleep(RETRY_INTERVAL).await;
        }
        Ok(started.elapsed())
    }

    /// Hands in a patch and returns the time until every host has it in force.
    pub async fn change_config(&self, number: u32) -> BenchResult<Duration> {
        let base: u64 = self.status(0, "config_version").await?;
        let config = json!({"share": 2, "max_tasks": 100_000, "max_requests": 100 + number});
        let patch = json!({
            "id": format!("change-{number}"), "base_version": base, "author": "desk",
            "operations": [{"op": "set_team", "team": team_name(number), "config": config}],
        });
        let started = Instant::now();
        let host = number as usize;
        let (status, text) = self.post(host, "/v1/config/patches", &patch).await?;
        if status != StatusCode::OK {
            return Err(format!("patch {number}: {status} {text}").into());
        }
        for host in 0..self.hosts.len() {
            while self.status(host, "config_version").await? <= base {
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(started.elapsed())
    }

    /// Submits an urgent job and returns the time until its host knows that
    /// it runs.
    pub async fn start_urgent(&self, number: u32) -> BenchResult<Duration> {
        let body = json!({
            "queue": "urgent", "idempotency_key": format!("urgent-{number}"),
            "command": "run 2000", "demand": {"cpu_millis": 250, "memory_mib": 64},
        });
        let started = Instant::now();
        let host = number as usize;
        let (status, text) = self.post(host, "/v1/jobs", &body).await?;
        if status != StatusCode::OK {
            return Err(format!("urgent job {number}: {status} {text}").into());
        }
        let job: Value = serde_json::from_str(&text)?;
        let path = format!("/v1/jobs/{}", job["id"].as_str().unwrap_or_default());
        while started.elapsed() < URGENT_START_TIMEOUT {
            let (_, text) = self.call(host, Method::GET, &path, &Value::Null).await?;
            let job: Value = serde_json::from_str(&text)?;
            if job["tasks"][0]["status"] == "running" {
                return Ok(started.elapsed());
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(format!("urgent job {number} does not run").into())
    }

    /// Submits batch jobs of one task at a steady rate until `stop`; returns
    /// how many were not accepted.
    pub async fn submit_stream(&self, rate: u32, stop: Instant) -> usize {
        let mut ticks = interval(Duration::from_secs(1) / rate);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let mut calls = JoinSet::new();
        let mut count: usize = 0;
        while Instant::now() < stop {
            ticks.tick().await;
            count += 1;
            let body = json!({
                "queue": format!("batch-{}", count % QUEUE_COUNT as usize), "idempotency_key": format!("batch-{rate}-{count}"),
                "command": "run 1000", "demand": {"cpu_millis": 250, "memory_mib": 64},
            });
            let call = self.build_request(count, Method::POST, "/v1/jobs", &body);
            calls.spawn(is_accepted(self.client.clone(), call));
        }
        let results = calls.join_all().await;
        results
            .iter()
            .filter(|done| !matches!(done, Ok(true)))
            .count()
    }

    /// Returns a number of the status page of a host.
    async fn status(&self, host: usize, field: &str) -> BenchResult<u64> {
        let (_, text) = self
            .call(host, Method::GET, "/v1/status", &Value::Null)
            .await?;
        let status: Value = serde_json::from_str(&text)?;
        Ok(status[field].as_u64().unwrap_or(0))
    }

    async fn post(
        &self,
        host: usize,
        path: &str,
        body: &Value,
    ) -> BenchResult<(StatusCode, String)> {
        self.call(host, Method::POST, path, body).await
    }

    async fn call(
        &self,
        host: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> BenchResult<(StatusCode, String)> {
        let request = self.build_request(host, method, path, body)?;
        let answer = self.client.request(request).await?;
        let status = answer.status();
        let body = answer.into_body().collect().await?.to_bytes();
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Makes a call; work is handed in without a key, through open queues.
    fn build_request(
        &self,
        host: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> BenchResult<Request<Full<Bytes>>> {
        let address = self.hosts[host % self.hosts.len()];
        let mut request = Request::builder().uri(format!("http://{address}{path}"));
        if path != "/v1/jobs" {
            request = request.header("authorization", format!("Bearer {OPERATOR_KEY}"));
        }
        let body = Full::new(Bytes::from(body.to_string()));
        Ok(request.method(method).body(body)?)
    }
}

/// Sends a submission and tells whether the job was accepted.
async fn is_accepted(
    client: Client<HttpConnector, Full<Bytes>>,
    call: BenchResult<Request<Full<Bytes>>>,
) -> BenchResult<bool> {
    let answer = client.request(call?).await?;
    let accepted = answer.status().is_success();
    // The connection is used again only after the body was read.
    answer.into_body().collect().await?;
    Ok(accepted)
}

fn team_name(index: u32) -> String {
    format!("team-{index:03}")
}

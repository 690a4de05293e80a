//! Submits the configuration and the jobs of the measurement over HTTP.

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

/// The secret of the operator's key.
pub const OPERATOR_KEY: &str = "operator-secret-of-the-measurement";

/// The number of teams at the target size.
const TEAM_COUNT: u32 = 200;

/// The number of open queues of each kind. Each belongs to another team, so that
/// the work is spread over the slices.
const QUEUE_COUNT: u32 = 24;

/// The delay before a call is repeated while the cell starts and places tasks.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The poll interval while a time is measured, which limits its resolution.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The time after which an urgent job counts as failed to start.
const URGENT_START_TIMEOUT: Duration = Duration::from_secs(10);

/// The number of tasks of a service job.
const TASKS_PER_SERVICE: u32 = 12;

/// Calls the entry hosts in turn.
pub struct JobCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    hosts: Vec<SocketAddr>,
}

impl JobCaller {
    /// Creates a caller of the hosts with these public addresses.
    pub fn new(hosts: &[SocketAddr]) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
            hosts: hosts.to_vec(),
        }
    }

    /// Configures teams and open queues. Retries for up to `timeout`, since the
    /// hosts may still be starting.
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

    /// Submits services with `tasks` tasks in total, waits until all are placed, and
    /// returns how long that took.
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
                return Err("not all tasks were placed in time".into());
            }
            sleep(RETRY_INTERVAL).await;
        }
        Ok(started.elapsed())
    }

    /// Submits a patch and returns the time until it is in force on every host.
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

    /// Submits an urgent job and returns the time until the called host reports it
    /// as running.
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
        Err(format!("urgent job {number} did not start in time").into())
    }

    /// Submits batch jobs of one task at `rate` per second until `stop`. Returns how
    /// many were not accepted.
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

    /// Returns a numeric field of a host's `/v1/status`; zero if it is missing.
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

    /// Builds a request with the operator's key, except for the submission of jobs,
    /// which open queues accept without a key.
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

/// Sends a submission and returns whether the job was accepted.
async fn is_accepted(
    client: Client<HttpConnector, Full<Bytes>>,
    call: BenchResult<Request<Full<Bytes>>>,
) -> BenchResult<bool> {
    let answer = client.request(call?).await?;
    let accepted = answer.status().is_success();
    // The connection can be reused only after the body was read.
    answer.into_body().collect().await?;
    Ok(accepted)
}

fn team_name(index: u32) -> String {
    format!("team-{index:03}")
}

//! Work that a team hands in.

use std::net::SocketAddr;

use pimentochute_base::JobId;
use pimentochute_server::api::{JobStatus, JobView};

use super::command::{CommandLine, CommandOutput};
use super::wait_until;

/// A team that hands in work with its key at one host.
#[derive(Debug, Clone)]
pub struct TeamCaller {
    /// The team.
    pub team: String,
    /// Its commands.
    pub commands: CommandLine,
}

/// A request to be sent.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// The identifier, which no other request of the test has.
    pub id: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The body; `sleep MS` lets it run for a time.
    pub body: String,
    /// The time for the answer, in milliseconds.
    pub deadline_ms: u64,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The endpoint answered with success and this body.
    Answered(String),
    /// The endpoint answered with an error status.
    Failed,
    /// It was refused and ran nowhere.
    NotRun(String),
    /// It may have run.
    Unknown(String),
    /// The command line was wrong.
    Misused(String),
}

impl RequestSpec {
    /// Creates a request that is not idempotent and has ten seconds.
    #[must_use]
    pub fn new(id: &str, body: &str) -> Self {
        Self {
            id: id.to_owned(),
            idempotent: false,
            body: body.to_owned(),
            deadline_ms: 10_000,
        }
    }
}

impl RequestOutcome {
    /// Tells whether the endpoint answered with success.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        matches!(self, Self::Answered(_))
    }
}

impl TeamCaller {
    /// Creates a caller.
    #[must_use]
    pub fn new(team: &str, key: &str, server: SocketAddr) -> Self {
        Self {
            team: team.to_owned(),
            commands: CommandLine::new(server, key),
        }
    }

    /// Sends a request and waits for its end.
    pub async fn request(&self, spec: &RequestSpec) -> RequestOutcome {
        let queue = format!("{}-prices", self.team);
        let deadline = spec.deadline_ms.to_string();
        let mut arguments = vec!["request", "send", "--queue", &queue, "--id", &spec.id];
        arguments.extend(["--deadline-ms", &deadline, "--body-file", "-"]);
        if spec.idempotent {
            arguments.push("--idempotent");
        }
        let body = spec.body.as_bytes();
        let end = self.commands.run_with(&arguments, body).await;
        match end.code {
            0 => RequestOutcome::Answered(end.data["body"].as_str().unwrap_or_default().to_owned()),
            1 => RequestOutcome::Failed,
            3 => RequestOutcome::NotRun(end.stderr),
            4 => RequestOutcome::Unknown(end.stderr),
            _ => RequestOutcome::Misused(end.stderr),
        }
    }

    /// Submits a job of tasks with one core and 100 MiB to the team's queue of
    /// a kind.
    pub async fn submit(&self, kind: &str, key: &str, tasks: u32, command: &str) -> CommandOutput {
        let queue = format!("{}-{kind}", self.team);
        let tasks = tasks.to_string();
        let arguments = [
            "job",
            "submit",
            "--queue",
            &queue,
            "--idempotency-key",
            key,
            "--tasks",
            &tasks,
            "--command",
            command,
            "--cpu-millis",
            "1000",
            "--memory-mib",
            "100",
        ];
        self.commands.run(&arguments).await
    }

    /// Submits a job that has to be recorded.
    ///
    /// # Panics
    /// Panics if it is not.
    pub async fn submit_recorded(&self, kind: &str, key: &str, tasks: u32, command: &str) -> JobId {
        let end = self.submit(kind, key, tasks, command).await;
        assert_eq!(end.code, 0, "job {key}: {}", end.stderr);
        let view: JobView = serde_json::from_value(end.data).expect("job is shown");
        view.id
    }

    /// Returns a job as the host sees it now.
    pub async fn job(&self, job: JobId) -> Option<JobView> {
        let id = job.to_string();
        self.commands.read(&["job", "status", &id]).await
    }

    /// Waits until a job has a status.
    pub async fn wait_for(&self, job: JobId, status: JobStatus) -> JobView {
        let what = format!("job {job} becomes {status}");
        wait_until(&what, async || {
            self.job(job).await.filter(|view| view.status == status)
        })
        .await
    }
}

//! Submits the work of a team by the command line.

use std::net::SocketAddr;

use pimentochute_base::JobId;
use pimentochute_server::api::{JobStatus, JobView};

use super::command::{CommandLine, CommandOutput};
use super::wait_until;

/// A team that calls one host with its key.
#[derive(Debug, Clone)]
pub struct TeamCaller {
    /// The name of the team, which prefixes the names of its queues.
    pub team: String,
    /// The command line with the team's key.
    pub commands: CommandLine,
}

/// A request to send to the team's request queue.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// The ID, unique within the test.
    pub id: String,
    /// Whether it is idempotent, so that it may run more than once.
    pub idempotent: bool,
    /// The body; `sleep MS` makes the endpoint take that many milliseconds.
    pub body: String,
    /// How long the answer may take, in milliseconds.
    pub deadline_ms: u64,
}

/// The outcome of a request, as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The endpoint answered with a success status and this body.
    Answered(String),
    /// The endpoint answered with an error status.
    Failed,
    /// It was refused and did not run.
    NotRun(String),
    /// It may or may not have run.
    Unknown(String),
    /// The command line was invalid or failed in another way.
    Misused(String),
}

impl RequestSpec {
    /// Creates a non-idempotent request with a deadline of ten seconds.
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
    /// Returns whether the endpoint answered with a success status.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        matches!(self, Self::Answered(_))
    }
}

impl TeamCaller {
    /// Creates a caller that uses the host at `server`.
    #[must_use]
    pub fn new(team: &str, key: &str, server: SocketAddr) -> Self {
        Self {
            team: team.to_owned(),
            commands: CommandLine::new(server, key),
        }
    }

    /// Sends a request and waits for its outcome.
    pub async fn request(&self, spec: &RequestSpec) -> RequestOutcome {
        let queue = format!("{}-prices", self.team);
        let deadline = spec.deadline_ms.to_string();
        let mut arguments = vec!["request", "send", "--queue", &queue, "--id", &spec.id];
        arguments.extend(["--deadline-ms", &deadline, "--body-file", "-"]);
        if spec.idempotent {
            arguments.push("--idempotent");
        }
        let body = spec.body.as_bytes();
        let output = self.commands.run_with(&arguments, body).await;
        match output.code {
            0 => RequestOutcome::Answered(
                output.data["body"].as_str().unwrap_or_default().to_owned(),
            ),
            1 => RequestOutcome::Failed,
            3 => RequestOutcome::NotRun(output.stderr),
            4 => RequestOutcome::Unknown(output.stderr),
            _ => RequestOutcome::Misused(output.stderr),
        }
    }

    /// Submits a job to the team's queue of the given kind. Each task needs one
    /// core and 100 MiB.
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

    /// Submits a job, as [`TeamCaller::submit`] does, and returns its ID.
    ///
    /// # Panics
    /// Panics if the job is not accepted.
    pub async fn submit_recorded(&self, kind: &str, key: &str, tasks: u32, command: &str) -> JobId {
        let output = self.submit(kind, key, tasks, command).await;
        assert_eq!(output.code, 0, "job {key}: {}", output.stderr);
        let view: JobView =
            serde_json::from_value(output.data).expect("output of job submit should be a job");
        view.id
    }

    /// Returns the host's present view of a job; `None` if the host does not know
    /// the job or does not answer.
    pub async fn job(&self, job: JobId) -> Option<JobView> {
        let id = job.to_string();
        self.commands.read(&["job", "status", &id]).await
    }

    /// Waits until a job has the given status and returns its view.
    pub async fn wait_for(&self, job: JobId, status: JobStatus) -> JobView {
        let what = format!("job {job} becomes {status}");
        wait_until(&what, async || {
            self.job(job).await.filter(|view| view.status == status)
        })
        .await
    }
}

//! Checks the records of workers and endpoints and the logs of hosts against the
//! invariants of the system, and against the outcomes that callers saw.

use pimentochute_base::JobId;
use pimentochute_standins::EndpointRecords;

use super::caller::{RequestOutcome, RequestSpec};
use super::cell::ProcessCell;
use crate::{TaskAudit, TaskViolation, repeated_requests};

/// The records and logs of all processes of a cell.
#[derive(Debug, Default)]
pub struct ProcessAudit {
    /// The ledgers of the workers.
    pub tasks: TaskAudit,
    /// The records of the endpoints.
    pub endpoints: Vec<EndpointRecords>,
    /// The name and log lines of each host.
    logs: Vec<(String, String)>,
}

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProcessViolation {
    /// An invariant of task execution was violated.
    Task(TaskViolation),
    /// Non-idempotent requests ran more than once. Holds their IDs.
    Repeated(Vec<String>),
    /// An endpoint got more requests or connections at a time than it allows.
    Overrun {
        /// The name of the endpoint.
        endpoint: String,
        /// The requests that arrived while all slots were in use.
        slots: u64,
        /// The connections that were opened while all allowed ones were open.
        connections: u64,
    },
    /// The outcome that a caller saw contradicts the records of the endpoints.
    FalseAnswer {
        /// The caller's ID of the request.
        id: String,
        /// The outcome that its caller saw.
        end: RequestOutcome,
        /// How many times it ran on all endpoints.
        runs: usize,
    },
    /// A host went back to an older version of the configuration.
    Reverted {
        /// The name of the host.
        host: String,
    },
    /// A thread or an asynchronous task of a host panicked.
    Panicked {
        /// The name of the host.
        host: String,
        /// The log line of the panic.
        line: String,
    },
}

impl ProcessAudit {
    /// Reads the records and logs of a cell.
    pub async fn of(cell: &ProcessCell) -> Self {
        let mut audit = Self::default();
        for worker in &cell.workers {
            let records = worker.records().await;
            audit.tasks.add(&records.worker, &records.ledger);
        }
        for endpoint in &cell.endpoints {
            audit.endpoints.push(endpoint.records().await);
        }
        for host in &cell.hosts {
            audit.add_log(&host.address.name, host.log(cell.folder.path()));
        }
        audit
    }

    /// Adds the log of a host.
    pub fn add_log(&mut self, host: &str, log: String) {
        self.logs.push((host.to_owned(), log));
    }

    /// Returns all violations. `requests` are the test's requests with their
    /// outcomes; `gangs` are the jobs that are restarted as a whole.
    #[must_use]
    pub fn violations(
        &self,
        requests: &[(RequestSpec, RequestOutcome)],
        gangs: &[JobId],
    ) -> Vec<ProcessViolation> {
        let tasks = self.tasks.violations(gangs).into_iter();
        let mut violations: Vec<_> = tasks.map(ProcessViolation::Task).collect();
        let repeated = repeated_requests(&self.endpoints);
        if !repeated.is_empty() {
            violations.push(ProcessViolation::Repeated(repeated));
        }
        violations.extend(self.endpoints.iter().filter_map(overrun));
        let answers = requests.iter();
        violations.extend(answers.filter_map(|(spec, outcome)| self.false_answer(spec, outcome)));
        for (host, log) in &self.logs {
            violations.extend(log_violations(host, log));
        }
        violations
    }

    /// Returns how many times a request ran on all endpoints. `id` is the caller's
    /// ID of the request.
    #[must_use]
    pub fn runs_of(&self, id: &str) -> usize {
        let routed = self.logs.iter().flat_map(|(_, log)| routed_ids(log, id));
        let counts = routed.flat_map(|routed| {
            let endpoints = self.endpoints.iter();
            endpoints.map(move |records| records.ledger.run_count(routed))
        });
        counts.sum()
    }

    fn false_answer(
        &self,
        spec: &RequestSpec,
        outcome: &RequestOutcome,
    ) -> Option<ProcessViolation> {
        let runs = self.runs_of(&spec.id);
        let is_true = match outcome {
            // Endpoints echo the body of the request.
            RequestOutcome::Answered(body) => runs >= 1 && *body == spec.body,
            RequestOutcome::Failed => runs >= 1,
            RequestOutcome::NotRun(_) => runs == 0,
            RequestOutcome::Unknown(_) => true,
            RequestOutcome::Misused(_) => false,
        };
        let is_true = is_true && (spec.idempotent || runs <= 1);
        (!is_true).then(|| ProcessViolation::FalseAnswer {
            id: spec.id.clone(),
            end: outcome.clone(),
            runs,
        })
    }
}

fn overrun(records: &EndpointRecords) -> Option<ProcessViolation> {
    let ledger = &records.ledger;
    let is_overrun = ledger.slot_violations > 0 || ledger.connection_violations > 0;
    is_overrun.then(|| ProcessViolation::Overrun {
        endpoint: records.endpoint.to_string(),
        slots: ledger.slot_violations,
        connections: ledger.connection_violations,
    })
}

/// Returns the IDs under which a host sent a request to endpoints. Hosts assign
/// IDs of their own, since those of callers may collide.
fn routed_ids<'a>(log: &'a str, id: &'a str) -> impl Iterator<Item = &'a str> {
    log.lines().filter_map(move |line| {
        let (_, text) = line.split_once("http: request ")?;
        let (routed, rest) = text.split_once(" has the id ")?;
        let named = rest.strip_suffix(" at its caller")?;
        (named == id).then_some(routed)
    })
}

/// Returns the panics in a host's log, and the versions of the configuration that
/// came into force after a newer one. The check starts over at each start of the
/// host, which reads the platform's log from the beginning.
fn log_violations(host: &str, log: &str) -> Vec<ProcessViolation> {
    let host = host.to_owned();
    let mut violations = Vec::new();
    let mut newest = 0;
    for line in log.lines() {
        if line.contains("daemon: host ") {
            newest = 0;
        }
        let version = line.split_once("config: Version ").and_then(|(_, rest)| {
            let (number, _) = rest.split_once(" is in force")?;
            number.parse::<u64>().ok()
        });
        if let Some(version) = version {
            if version < newest {
                violations.push(ProcessViolation::Reverted { host: host.clone() });
            }
            newest = newest.max(version);
        }
        if line.contains("panicked at") {
            violations.push(ProcessViolation::Panicked {
                host: host.clone(),
                line: line.to_owned(),
            });
        }
    }
    violations
}

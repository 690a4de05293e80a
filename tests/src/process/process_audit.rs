//! Checks what workers, endpoints and hosts recorded against what must always
//! hold, and against what callers were told.

use pimentochute_base::JobId;
use pimentochute_standins::EndpointRecords;

use super::caller::{RequestOutcome, RequestSpec};
use super::cell::ProcessCell;
use crate::{TaskAudit, TaskViolation, repeated_requests};

/// The records of a cell and the ends of its requests.
#[derive(Debug, Default)]
pub struct ProcessAudit {
    /// What the workers recorded.
    pub tasks: TaskAudit,
    /// What the endpoints recorded.
    pub endpoints: Vec<EndpointRecords>,
    /// The name and log lines of each host.
    logs: Vec<(String, String)>,
}

/// Something that must never happen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProcessViolation {
    /// A rule of tasks was broken.
    Task(TaskViolation),
    /// Requests that are not idempotent ran more than once.
    Repeated(Vec<String>),
    /// An endpoint was sent more requests or connections than it has room for.
    Overrun {
        /// The endpoint.
        endpoint: String,
        /// The requests that arrived while all slots were in use.
        slots: u64,
        /// The connections that were opened while all allowed ones were open.
        connections: u64,
    },
    /// What a caller was told is not what the endpoints recorded.
    FalseAnswer {
        /// The request.
        id: String,
        /// What its caller was told.
        end: RequestOutcome,
        /// How many times it ran.
        runs: usize,
    },
    /// A host returned to an older version of the configuration.
    Reverted {
        /// The host.
        host: String,
    },
    /// A part of a host panicked.
    Panicked {
        /// The host.
        host: String,
        /// The log line.
        line: String,
    },
}

impl ProcessAudit {
    /// Reads all records of a cell.
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

    /// Takes in the log lines of a host.
    pub fn add_log(&mut self, host: &str, log: String) {
        self.logs.push((host.to_owned(), log));
    }

    /// Returns what went wrong. The requests are those of one test, with their
    /// ends; `gangs` are the jobs that start again as a whole.
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
        violations.extend(answers.filter_map(|(spec, end)| self.false_answer(spec, end)));
        for (host, log) in &self.logs {
            violations.extend(log_violations(host, log));
        }
        violations
    }

    /// Returns how many times a request ran on all endpoints. `id` is that of
    /// its caller.
    #[must_use]
    pub fn runs_of(&self, id: &str) -> usize {
        let routed = self.logs.iter().flat_map(|(_, log)| routed_ids(log, id));
        let counts = routed.flat_map(|routed| {
            let endpoints = self.endpoints.iter();
            endpoints.map(move |records| records.ledger.count_of(routed))
        });
        counts.sum()
    }

    fn false_answer(&self, spec: &RequestSpec, end: &RequestOutcome) -> Option<ProcessViolation> {
        let runs = self.runs_of(&spec.id);
        let is_true = match end {
            // An endpoint answers with the body that it was sent.
            RequestOutcome::Answered(body) => runs >= 1 && *body == spec.body,
            RequestOutcome::Failed => runs >= 1,
            RequestOutcome::NotRun(_) => runs == 0,
            RequestOutcome::Unknown(_) => true,
            RequestOutcome::Misused(_) => false,
        };
        let is_true = is_true && (spec.idempotent || runs <= 1);
        (!is_true).then(|| ProcessViolation::FalseAnswer {
            id: spec.id.clone(),
            end: end.clone(),
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

/// Returns the identifiers under which a host sent a request to endpoints.
/// Hosts make their own, since those of callers may collide.
fn routed_ids<'a>(log: &'a str, id: &'a str) -> impl Iterator<Item = &'a str> {
    log.lines().filter_map(move |line| {
        let (_, text) = line.split_once("http: request ")?;
        let (routed, rest) = text.split_once(" has the id ")?;
        let named = rest.strip_suffix(" at its caller")?;
        (named == id).then_some(routed)
    })
}

/// Reads the versions in the order in which they came into force. A run that
/// starts anew reads the log from its beginning.
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

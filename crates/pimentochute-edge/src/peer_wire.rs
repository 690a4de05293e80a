//! The messages between entry hosts, as `rmp-serde` bytes.

use bytes::Bytes;
use pimentochute_base::{ConfigVersion, MilliSpan};
use pimentochute_work::{
    AdviceCommand, AdviceCost, AdviceRow, JobCode, JobShown, JobSubmission, StepName,
};
use serde::{Deserialize, Serialize};

use crate::claim::OwnerClaim;

/// Names a job and the team that asks about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobQuery {
    pub(crate) job: JobCode,
    /// The team; none on a queue that needs no key.
    pub(crate) team: Option<String>,
}

/// Hands a job in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ForwardedJob {
    pub(crate) job: JobCode,
    pub(crate) submission: JobSubmission,
}

/// Asks the owner for the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigQuery {
    /// The version that the asking host has.
    pub(crate) version: Option<ConfigVersion>,
}

/// The configuration in force at the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigAnswer {
    /// For how long the log has not confirmed it.
    pub(crate) age: MilliSpan,
    /// The version as the operator wrote it; empty if the asking host has it.
    pub(crate) record: Bytes,
    /// The newest claim that the answering host knows.
    pub(crate) claim: Option<OwnerClaim>,
}

/// Asks a host whether it is the owner that the claim names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerPing {
    pub(crate) member: String,
}

/// Asks another host whether the owner that the claim names answers it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ObservationQuery {
    pub(crate) claim: OwnerClaim,
}

/// Asks how many jobs of a queue wait.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PendingQuery {
    pub(crate) queue: String,
}

/// What the owner of the cell answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OwnerAnswer {
    /// The job is in the log.
    Accepted,
    /// The host is the owner.
    Owner,
    /// The state of the job.
    State(JobStateWire),
    /// The job is cancelled, or had ended before.
    Cancelled,
    /// There is no such job.
    Unknown,
    /// The number of jobs that wait.
    Pending(u64),
    /// The host does not own the cell, or has not read its jobs yet.
    NotOwner,
    /// The host stopped being the owner before it had an answer. What it was
    /// asked for may be in the log.
    Unanswered,
}

/// The state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobStateWire {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
}

/// A question to the advice service that another host passes on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AdviceQuestion {
    job: JobCode,
    occurrence: u32,
    step: u16,
    workers: Vec<String>,
    call_micros: u64,
    worker_micros: u64,
    validity: MilliSpan,
    wait: MilliSpan,
}

/// The answer of the advice service: rows of worker and ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AdviceReply {
    rows: Option<Vec<(String, String)>>,
}

impl From<JobShown> for JobStateWire {
    fn from(shown: JobShown) -> Self {
        match shown {
            JobShown::Queued => Self::Queued,
            JobShown::Running => Self::Running,
            JobShown::Completed => Self::Completed,
            JobShown::Failed => Self::Failed,
            JobShown::Cancelled => Self::Cancelled,
        }
    }
}

impl From<JobStateWire> for JobShown {
    fn from(wire: JobStateWire) -> Self {
        match wire {
            JobStateWire::Queued => Self::Queued,
            JobStateWire::Running => Self::Running,
            JobStateWire::Completed => Self::Completed,
            JobStateWire::Failed => Self::Failed,
            JobStateWire::Cancelled => Self::Cancelled,
        }
    }
}

impl From<&AdviceCommand> for AdviceQuestion {
    fn from(command: &AdviceCommand) -> Self {
        Self {
            job: command.step.job,
            occurrence: command.step.occurrence,
            step: command.step.step,
            workers: command.workers.clone(),
            call_micros: command.cost.call_micros,
            worker_micros: command.cost.worker_micros,
            validity: command.cost.validity,
            wait: command.wait,
        }
    }
}

impl From<AdviceQuestion> for AdviceCommand {
    fn from(question: AdviceQuestion) -> Self {
        Self {
            step: StepName {
                job: question.job,
                occurrence: question.occurrence,
                step: question.step,
            },
            workers: question.workers,
            cost: AdviceCost {
                call_micros: question.call_micros,
                worker_micros: question.worker_micros,
                validity: question.validity,
            },
            adviser: String::new(),
            wait: question.wait,
        }
    }
}

impl From<Option<Vec<AdviceRow>>> for AdviceReply {
    fn from(rows: Option<Vec<AdviceRow>>) -> Self {
        let rows = rows.map(|rows| {
            rows.into_iter()
                .map(|row| (row.worker, row.ticket))
                .collect()
        });
        Self { rows }
    }
}

impl From<AdviceReply> for Option<Vec<AdviceRow>> {
    fn from(reply: AdviceReply) -> Self {
        let rows = reply.rows?.into_iter();
        Some(
            rows.map(|(worker, ticket)| AdviceRow { worker, ticket })
                .collect(),
        )
    }
}

//! The messages between entry hosts, encoded with `rmp-serde`: fields by
//! position, variants by name.

use bytes::Bytes;
use pimentochute_base::{ConfigVersion, MilliSpan, MilliTime};
use pimentochute_work::{
    AdviceCommand, AdviceCost, AdviceRow, ExtendedRecord, JobCode, JobScope, JobStatus,
    JobSubmission, StepName,
};
use serde::{Deserialize, Serialize};

use crate::claim::OwnerClaim;
use crate::evacuation_feed::EvacuationList;

/// A request about a job, by a team at a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobQuery {
    pub(crate) job: JobCode,
    /// The team that asks; `None` on a queue that needs no
    /// authentication.
    pub(crate) team: Option<String>,
    /// The queue at which it asks, in the addition to the message; `None` from a host of an
    /// earlier build.
    #[serde(skip)]
    pub(crate) queue: Option<String>,
}

/// A job that a host forwards to the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ForwardedJob {
    pub(crate) job: JobCode,
    pub(crate) submission: JobSubmission,
}

/// Asks a host for the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigQuery {
    /// The version that the asking host has; `None` if it has none.
    pub(crate) version: Option<ConfigVersion>,
}

/// The configuration in force on a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigAnswer {
    /// The time since the log last confirmed it as the newest.
    pub(crate) age: MilliSpan,
    /// The record of the version; empty if the asking host has that version.
    pub(crate) record: Bytes,
    /// The newest claim that the answering host knows.
    pub(crate) claim: Option<OwnerClaim>,
    /// The evacuated data centres; `None` if the answering host has known none since its
    /// start. It is left out then: hosts of earlier builds do not accept it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) evacuations: Option<EvacuationListWire>,
}

/// The evacuated data centres as of an offset in the operator's topic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EvacuationListWire {
    data_centres: Vec<String>,
    as_of: u64,
}

/// Asks a host whether it is the owner with this member name and can write to
/// the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerPing {
    pub(crate) member: String,
}

/// Asks another host whether it reaches the owner that the claim names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ObservationQuery {
    pub(crate) claim: OwnerClaim,
}

/// Asks for the number of waiting jobs of a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PendingQuery {
    pub(crate) queue: String,
}

/// An answer about the owner, or of the owner about its jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OwnerAnswer {
    /// The job is in the log.
    Accepted,
    /// The host is the owner, or reaches it.
    Owner,
    /// The state of the job.
    State(JobStateWire),
    /// The job is cancelled, or had already ended.
    Cancelled,
    /// There is no such job.
    Unknown,
    /// The number of waiting jobs.
    Pending(u64),
    /// The host cannot answer as owner at present: it does not own the cell, has
    /// not loaded or read all jobs, or cannot write to the log; retry. In answer
    /// to an [`ObservationQuery`]: the host does not reach the owner.
    NotOwner,
    /// The host ceased to be the owner before it had an answer. The request may
    /// have taken effect in the log.
    Unanswered,
    /// The host is the owner, but has no answers of the log at present. Its heartbeats
    /// tell whether the log receives what it sends.
    LogSilent,
    /// The owner has not accepted the job; or it has not cancelled a job, since it cannot
    /// remember further cancellations of unknown jobs.
    Refused {
        /// When the caller should return.
        retry_after: MilliSpan,
        /// In the addition to the message.
        #[serde(skip)]
        cause: RefusalCause,
    },
}

/// Why an owner refuses a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RefusalCause {
    /// It has no room for the job or the cancellation.
    #[default]
    NoRoom,
    /// The identifier of the job belongs to another one.
    IdentifierTaken,
}

/// The state of a job, as the owner sends it to other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobStateWire {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
}

/// An advice request that another host relays to the advice service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AdviceQuery {
    job: JobCode,
    occurrence: u32,
    step: u16,
    workers: Vec<String>,
    call_micros: u64,
    worker_micros: u64,
    validity: MilliSpan,
    wait: MilliSpan,
}

/// The answer of the advice service: pairs of worker and ticket, or `None` if it
/// did not answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AdviceReply {
    rows: Option<Vec<(String, String)>>,
}

impl JobQuery {
    pub(crate) fn scope(&self) -> JobScope<'_> {
        JobScope {
            team: self.team.as_deref(),
            queue: self.queue.as_deref(),
        }
    }
}

impl ExtendedRecord for JobQuery {
    type Addition = String;

    fn addition(&self) -> Option<String> {
        self.queue.clone()
    }

    fn set_addition(&mut self, queue: String) {
        self.queue = Some(queue);
    }
}

impl ExtendedRecord for OwnerAnswer {
    type Addition = RefusalCause;

    fn addition(&self) -> Option<RefusalCause> {
        match self {
            Self::Refused { cause, .. } if *cause != RefusalCause::default() => Some(*cause),
            _ => None,
        }
    }

    fn set_addition(&mut self, addition: RefusalCause) {
        if let Self::Refused { cause, .. } = self {
            *cause = addition;
        }
    }
}

impl ExtendedRecord for ForwardedJob {
    type Addition = ();
}

impl ExtendedRecord for OwnerPing {
    type Addition = ();
}

impl ExtendedRecord for PendingQuery {
    type Addition = ();
}

impl From<EvacuationListWire> for EvacuationList {
    fn from(wire: EvacuationListWire) -> Self {
        Self::new(wire.data_centres.into_iter().collect(), wire.as_of)
    }
}

impl From<&EvacuationList> for EvacuationListWire {
    fn from(list: &EvacuationList) -> Self {
        Self {
            data_centres: list.data_centres.iter().cloned().collect(),
            as_of: list.as_of.unwrap_or(0),
        }
    }
}

impl From<JobStatus> for JobStateWire {
    fn from(status: JobStatus) -> Self {
        match status {
            JobStatus::Queued => Self::Queued,
            JobStatus::Running => Self::Running,
            JobStatus::Completed => Self::Completed,
            JobStatus::Failed => Self::Failed,
            JobStatus::Cancelled => Self::Cancelled,
        }
    }
}

impl From<JobStateWire> for JobStatus {
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

impl From<&AdviceCommand> for AdviceQuery {
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

impl From<AdviceQuery> for AdviceCommand {
    fn from(query: AdviceQuery) -> Self {
        Self {
            step: StepName {
                job: query.job,
                occurrence: query.occurrence,
                step: query.step,
            },
            workers: query.workers,
            incarnations: Vec::new(),
            cost: AdviceCost {
                call_micros: query.call_micros,
                worker_micros: query.worker_micros,
                validity: query.validity,
            },
            relay: String::new(),
            wait: query.wait,
            sent: MilliTime::ZERO,
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

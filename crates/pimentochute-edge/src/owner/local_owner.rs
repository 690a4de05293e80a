//! Access to the owner of the cell for the other parts of the same process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pimentochute_base::MilliTime;
use pimentochute_work::{CallerAnswer, JobCode, JobSubmission, WorkerReport};
use tokio::sync::{mpsc, oneshot};

use crate::peer_wire::{
    ForwardedJob, JobQuery, JobStateWire, OwnerAnswer, PendingQuery, RefusalCause,
};

/// A handle to the owner if it runs on this host. Clones share their state.
#[derive(Clone, Default)]
pub(crate) struct LocalOwner {
    state: Arc<Mutex<LocalOwnerState>>,
}

#[derive(Default)]
struct LocalOwnerState {
    /// This host has claimed the cell.
    has_term: bool,
    log_contact: LogContact,
    /// The number of pings that have reached this host in its term.
    pings: u64,
    /// The owner's input channel; `None` until the jobs are loaded.
    inputs: Option<mpsc::Sender<CellInput>>,
}

/// What the owner knows of its way to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum LogContact {
    /// The log accepts its appends.
    #[default]
    Accepts,
    /// There are no answers: the log or the network may have failed, or the link of this
    /// host is full.
    Silent,
    /// The log refuses its appends.
    Refuses,
}

/// How an entry of the platform's list of workers has changed.
pub(crate) enum EntryChange {
    /// The worker has written it.
    Reported(WorkerReport),
    /// It was removed.
    Removed,
    /// It cannot be read, for this reason, and changes nothing.
    Unreadable(String),
}

/// An input of the owner: a request, or records that were read from the log.
pub(crate) enum CellInput {
    /// Jobs that hosts appended to the intake topic because no owner had accepted
    /// them.
    FromIntake {
        /// In the order of the log.
        jobs: Vec<(JobCode, JobSubmission)>,
        /// With these, the owner has read all jobs that the topic had at this time, on the
        /// host's clock; `None` if there are further ones.
        complete_at: Option<MilliTime>,
    },
    /// The entries of the platform's list of workers, in the order of the log.
    Workers {
        /// The changed entries, by the identifier of the worker.
        entries: Vec<(String, EntryChange)>,
        /// Workers without an entry no longer exist.
        is_complete: bool,
        /// The entries were written at this time or later, on the host's clock; `None`
        /// if that is not known.
        written_after: Option<MilliTime>,
    },
    /// A host forwards a job of a caller.
    ForwardedJob(ForwardedCall),
    /// A request for the state of a job.
    State(JobCall),
    /// A request to cancel a job.
    Cancel(JobCall),
    /// A request for the number of waiting jobs of a queue.
    Pending(PendingQuery, oneshot::Sender<OwnerAnswer>),
}

/// A request about one job, with the channel for its answer.
pub(crate) struct JobCall {
    pub(crate) query: JobQuery,
    pub(crate) reply: oneshot::Sender<OwnerAnswer>,
    /// After the call arrived, the owner was confirmed as such and had read the
    /// intake topic up to its end, so a job that is still unknown does not exist.
    pub(crate) was_checked: bool,
}

/// A forwarded job, with the channel for its answer.
pub(crate) struct ForwardedCall {
    pub(crate) job: ForwardedJob,
    pub(crate) reply: oneshot::Sender<OwnerAnswer>,
    pub(crate) check: RefusalCheck,
}

/// Whether the owner may refuse a job that it does not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RefusalCheck {
    /// That has to be checked first.
    Open,
    /// It may: after the job arrived, the owner was confirmed as such and had read the intake
    /// topic up to its end.
    Passed,
    /// It may not: the check has failed.
    Failed,
}

impl LocalOwner {
    /// Records that this host has claimed the cell.
    pub(crate) fn begin_term(&self) {
        *self.lock() = LocalOwnerState {
            has_term: true,
            ..LocalOwnerState::default()
        };
    }

    /// Sets the owner's input channel, once the jobs are loaded.
    pub(crate) fn open_inputs(&self, inputs: mpsc::Sender<CellInput>) {
        self.lock().inputs = Some(inputs);
    }

    /// Records how the log treats the owner's appends.
    pub(crate) fn set_log_contact(&self, log_contact: LogContact) {
        self.lock().log_contact = log_contact;
    }

    /// Records that this host does not own the cell any more.
    pub(crate) fn end_term(&self) {
        *self.lock() = LocalOwnerState::default();
    }

    /// Returns how the log treats the appends of the owner; `None` if this host does not
    /// own the cell.
    pub(crate) fn log_contact(&self) -> Option<LogContact> {
        let state = self.lock();
        state.has_term.then_some(state.log_contact)
    }

    /// Returns the number of pings that have reached this host in its term.
    pub(crate) fn pings(&self) -> u64 {
        self.lock().pings
    }

    /// Records a ping, and returns the answer.
    pub(crate) fn answer_ping(&self) -> OwnerAnswer {
        self.lock().pings += 1;
        match self.log_contact() {
            Some(LogContact::Accepts) => OwnerAnswer::Owner,
            Some(LogContact::Silent) => OwnerAnswer::LogSilent,
            Some(LogContact::Refuses) | None => OwnerAnswer::NotOwner,
        }
    }

    fn lock(&self) -> MutexGuard<'_, LocalOwnerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes a forwarded job to the owner; the answer follows once the job is
    /// in the log.
    pub(crate) async fn accept_forwarded(&self, job: ForwardedJob) -> OwnerAnswer {
        self.ask(|reply| {
            CellInput::ForwardedJob(ForwardedCall {
                job,
                reply,
                check: RefusalCheck::Open,
            })
        })
        .await
    }

    /// Returns the state of a job.
    pub(crate) async fn state(&self, query: JobQuery) -> OwnerAnswer {
        self.ask(|reply| CellInput::State(JobCall::new(query, reply)))
            .await
    }

    /// Cancels a job.
    pub(crate) async fn cancel(&self, query: JobQuery) -> OwnerAnswer {
        self.ask(|reply| CellInput::Cancel(JobCall::new(query, reply)))
            .await
    }

    /// Returns the number of waiting jobs of a queue.
    pub(crate) async fn pending(&self, query: PendingQuery) -> OwnerAnswer {
        self.ask(|reply| CellInput::Pending(query, reply)).await
    }

    async fn ask(
        &self,
        input: impl FnOnce(oneshot::Sender<OwnerAnswer>) -> CellInput,
    ) -> OwnerAnswer {
        let inputs = self.lock().inputs.clone();
        let Some(inputs) = inputs else {
            return OwnerAnswer::NotOwner;
        };
        let (reply, answer) = oneshot::channel();
        if inputs.send(input(reply)).await.is_err() {
            return OwnerAnswer::NotOwner;
        }
        answer.await.unwrap_or(OwnerAnswer::Unanswered)
    }
}

impl JobCall {
    const fn new(query: JobQuery, reply: oneshot::Sender<OwnerAnswer>) -> Self {
        Self {
            query,
            reply,
            was_checked: false,
        }
    }
}

impl From<CallerAnswer> for OwnerAnswer {
    fn from(answer: CallerAnswer) -> Self {
        match answer {
            CallerAnswer::Accepted => Self::Accepted,
            CallerAnswer::Cancelled => Self::Cancelled,
            CallerAnswer::Unknown => Self::Unknown,
            CallerAnswer::Busy(retry_after) => Self::Refused {
                retry_after,
                cause: RefusalCause::NoRoom,
            },
            CallerAnswer::IdentifierTaken(retry_after) => Self::Refused {
                retry_after,
                cause: RefusalCause::IdentifierTaken,
            },
        }
    }
}

impl From<pimentochute_work::JobStatus> for OwnerAnswer {
    fn from(status: pimentochute_work::JobStatus) -> Self {
        Self::State(JobStateWire::from(status))
    }
}

//! Questions about the cell's jobs, answered by the owner.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pimentochute_work::{CallerAnswer, JobCode, JobSubmission, WorkerReport};
use tokio::sync::{mpsc, oneshot};

use crate::peer_wire::{ForwardedJob, JobQuery, JobStateWire, OwnerAnswer, PendingQuery};

/// Something that the owner learns or is asked.
pub(crate) enum CellInput {
    /// Jobs that entry hosts recorded, in the order of the log.
    Submitted(Vec<(JobCode, JobSubmission)>),
    /// Reports of workers; none for a worker that left the list.
    Workers {
        reports: Vec<(String, Option<WorkerReport>)>,
        /// The reports are the whole list.
        is_complete: bool,
    },
    /// A caller hands a job in.
    ForwardedJob(ForwardedJob, oneshot::Sender<OwnerAnswer>),
    /// A caller asks for the state of a job.
    State(JobCall),
    /// A caller cancels a job.
    Cancel(JobCall),
    /// A caller asks how many jobs of a queue wait.
    Pending(PendingQuery, oneshot::Sender<OwnerAnswer>),
}

/// A question about a job, or its cancellation.
pub(crate) struct JobCall {
    pub(crate) query: JobQuery,
    pub(crate) reply: oneshot::Sender<OwnerAnswer>,
    /// The log held no further jobs after the call arrived, so a job that is
    /// unknown now does not exist.
    pub(crate) is_verified: bool,
}

/// Passes questions to the owner that runs on this host, if one does.
#[derive(Clone, Default)]
pub(crate) struct LocalOwner {
    state: Arc<Mutex<LocalOwnerState>>,
}

#[derive(Default)]
struct LocalOwnerState {
    /// This host has claimed the cell.
    has_term: bool,
    /// The owner cannot write to the log.
    has_lost_log: bool,
    /// Where questions go; none before the jobs are read.
    owner: Option<mpsc::Sender<CellInput>>,
}

impl LocalOwner {
    /// Notes that this host has claimed the cell.
    pub(crate) fn begin_term(&self) {
        *self.lock() = LocalOwnerState {
            has_term: true,
            ..LocalOwnerState::default()
        };
    }

    /// Sets where questions go.
    pub(crate) fn set_owner(&self, owner: mpsc::Sender<CellInput>) {
        self.lock().owner = Some(owner);
    }

    /// Notes whether the owner can write to the log.
    pub(crate) fn set_lost_log(&self, has_lost_log: bool) {
        self.lock().has_lost_log = has_lost_log;
    }

    /// Notes that this host does not own the cell any more.
    pub(crate) fn end_term(&self) {
        *self.lock() = LocalOwnerState::default();
    }

    /// Tells whether this host owns the cell and can work on it.
    pub(crate) fn is_healthy(&self) -> bool {
        let state = self.lock();
        state.has_term && !state.has_lost_log
    }

    fn lock(&self) -> MutexGuard<'_, LocalOwnerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a job in.
    pub(crate) async fn accept_forwarded(&self, job: ForwardedJob) -> OwnerAnswer {
        self.ask(|reply| CellInput::ForwardedJob(job, reply)).await
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

    /// Returns how many jobs of a queue wait.
    pub(crate) async fn pending(&self, query: PendingQuery) -> OwnerAnswer {
        self.ask(|reply| CellInput::Pending(query, reply)).await
    }

    async fn ask(
        &self,
        input: impl FnOnce(oneshot::Sender<OwnerAnswer>) -> CellInput,
    ) -> OwnerAnswer {
        let owner = self.lock().owner.clone();
        let Some(owner) = owner else {
            return OwnerAnswer::NotOwner;
        };
        let (reply, answer) = oneshot::channel();
        if owner.send(input(reply)).await.is_err() {
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
            is_verified: false,
        }
    }
}

impl From<CallerAnswer> for OwnerAnswer {
    fn from(answer: CallerAnswer) -> Self {
        match answer {
            CallerAnswer::Accepted => Self::Accepted,
            CallerAnswer::Cancelled => Self::Cancelled,
            CallerAnswer::Unknown => Self::Unknown,
        }
    }
}

impl From<pimentochute_work::JobShown> for OwnerAnswer {
    fn from(shown: pimentochute_work::JobShown) -> Self {
        Self::State(JobStateWire::from(shown))
    }
}

//! Converts the replicated state into the views of the HTTP API.

use pimentochute_base::TaskIndex;
use pimentochute_state::{
    JobOutcome, JobPhase, JobState, PatchAnswer, PatchEntry, PatchOutcome, TaskPhase, TaskState,
    WorkerState,
};

use crate::api::{HistoryView, JobStatus, JobView, PatchView, TaskView, WorkerView};

impl From<&JobState> for JobView {
    fn from(job: &JobState) -> Self {
        Self {
            id: job.spec.id,
            team: job.spec.team.clone(),
            queue: job.spec.queue.clone(),
            kind: job.spec.kind,
            status: job_status(job),
            reason: job.outcome().and_then(outcome_reason),
            submitted_ms: job.submitted_at,
            ended_ms: job.ended_at(),
            tasks: job
                .indexed_tasks()
                .map(|(index, task)| task_view(index, task))
                .collect(),
        }
    }
}

impl From<&WorkerState> for WorkerView {
    fn from(worker: &WorkerState) -> Self {
        let status = if worker.lost {
            "lost".to_owned()
        } else {
            worker.health.to_string()
        };
        Self {
            name: worker.name.clone(),
            rack: worker.rack.clone(),
            status,
            capacity: worker.capacity,
            committed: worker.committed,
            tasks: u32::try_from(worker.placements.len()).unwrap_or(u32::MAX),
        }
    }
}

impl From<&PatchOutcome> for PatchView {
    fn from(outcome: &PatchOutcome) -> Self {
        match outcome {
            PatchOutcome::Accepted { version } => Self::Accepted { version: *version },
            PatchOutcome::Rejected { current, reason } => Self::Rejected {
                current: *current,
                reason: reason.to_string(),
            },
        }
    }
}

impl From<&PatchAnswer> for PatchView {
    fn from(answer: &PatchAnswer) -> Self {
        match answer {
            PatchAnswer::First(outcome) | PatchAnswer::Repeated(outcome) => outcome.into(),
            PatchAnswer::Conflict { other } => Self::Rejected {
                current: match other {
                    PatchOutcome::Accepted { version } => *version,
                    PatchOutcome::Rejected { current, .. } => *current,
                },
                reason: "another patch has this id; hint: choose a new id".to_owned(),
            },
        }
    }
}

impl From<&PatchEntry> for HistoryView {
    fn from(entry: &PatchEntry) -> Self {
        Self {
            patch: entry.id.clone(),
            author: entry.author.clone(),
            result: (&entry.outcome).into(),
        }
    }
}

fn job_status(job: &JobState) -> JobStatus {
    match job.phase {
        JobPhase::Active if job.live > 0 => JobStatus::Running,
        JobPhase::Active => JobStatus::Waiting,
        JobPhase::Ending { .. } => JobStatus::Cancelling,
        JobPhase::Ended { outcome, .. } => match outcome {
            JobOutcome::Succeeded => JobStatus::Succeeded,
            JobOutcome::Failed { .. } => JobStatus::Failed,
            JobOutcome::Cancelled => JobStatus::Cancelled,
            JobOutcome::Refused { .. } => JobStatus::Refused,
        },
    }
}

fn outcome_reason(outcome: JobOutcome) -> Option<String> {
    match outcome {
        JobOutcome::Failed { task, failures } => {
            Some(format!("task {task} failed {failures} times"))
        }
        JobOutcome::Refused { reason } => Some(reason.to_string()),
        JobOutcome::Succeeded | JobOutcome::Cancelled => None,
    }
}

fn task_view(task: TaskIndex, state: &TaskState) -> TaskView {
    let (status, worker) = match &state.phase {
        TaskPhase::Waiting { .. } => ("waiting".to_owned(), None),
        TaskPhase::Placed { worker, .. } => ("placed".to_owned(), Some(worker.clone())),
        TaskPhase::Running { worker, .. } => ("running".to_owned(), Some(worker.clone())),
        TaskPhase::Done { reason, worker, .. } => (reason.to_string(), worker.clone()),
    };
    TaskView {
        task,
        status,
        attempt: state.phase.last_attempt().get(),
        worker,
    }
}

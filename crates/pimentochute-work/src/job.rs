//! The state of a job that has not been closed, in the memory of the owner.

use std::sync::Arc;

use pimentochute_base::{MilliSpan, MilliTime, ResourceAmount};
use smallvec::SmallVec;
use strum::IntoStaticStr;

use crate::crash::CrashHistory;
use crate::learning::StepEvidence;
use crate::{
    AdviceState, JobCode, JobCrashes, JobEnd, JobProgress, JobSubmission, QueueTerms, StepName,
    StepSpec, TaskName, TaskPhase, TaskProgress, WorkerKey,
};

/// A job, its tasks and its steps.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) code: JobCode,
    pub(crate) submission: JobSubmission,
    /// The text of the submission, shared with the start orders.
    pub(crate) text: Arc<str>,
    /// Ordered by occurrence, step and index.
    pub(crate) tasks: Vec<TaskState>,
    /// Ordered by occurrence and step.
    pub(crate) steps: Vec<StepState>,
    /// `None` before the job has ended.
    pub(crate) end: Option<JobEnd>,
    /// Since the Unix epoch; zero before the job has ended.
    pub(crate) ended_at: MilliTime,
    /// The end is in the log, so that callers may see it.
    pub(crate) is_end_recorded: bool,
    /// The submission is in the log.
    pub(crate) is_submission_recorded: bool,
    pub(crate) origin: JobOrigin,
    /// The number of runs that are placed on workers.
    pub(crate) runs: u32,
    /// A worker has answered that a task of the job started. A start order that
    /// was sent proves nothing: its worker may be unreachable.
    pub(crate) has_started: bool,
    pub(crate) crash_record: CrashRecord,
    /// The progress records of the parts of the job; empty while one record holds all tasks.
    pub(crate) parts: Vec<PartRecord>,
    /// The team's rate when this job arrived.
    pub(crate) rate: RateStatus,
    /// The offset of the first task of each step within an occurrence.
    offsets: SmallVec<[u32; 4]>,
    /// The number of tasks of one occurrence.
    per_occurrence: u32,
}

/// Who recorded the submission of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobOrigin {
    /// The owner of the cell, in the log with the progress.
    Owner,
    /// A host, in its intake; the owner may have recorded it as well.
    Host,
}

/// Whether the log has what is known of the losses of workers under the tasks of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CrashRecord {
    /// There is nothing to record, and no record.
    Absent,
    /// The record is up to date.
    Current,
    /// The record, if there is one, has to be written.
    Outdated,
}

/// The progress record of a part of a job, as it was written last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PartRecord {
    /// What the log has is not known.
    Outdated,
    /// The log has, or will have, the record with this hash.
    Written(u64),
}

/// Whether a team submits jobs within its rate. The order is that of the ranks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum RateStatus {
    /// No faster than its weight allows, in jobs per second.
    Within,
    /// Faster than that.
    Over,
}

/// The state of a task.
#[derive(Debug, Clone, Default)]
pub(crate) struct TaskState {
    /// The number of the last run; 0 before the first.
    pub(crate) run: u32,
    /// The number of failed runs. A gang counts its failures at its first member.
    pub(crate) failures: u32,
    /// The time that the failed runs took.
    pub(crate) failed_time: MilliSpan,
    pub(crate) placement: TaskPlacement,
    /// The checkpoint from which the next run starts; empty if there is none.
    pub(crate) checkpoint: String,
    /// The workers that were lost under the task.
    pub(crate) crashes: CrashHistory,
    /// When the last of them was lost, or restored from the log, on the cell's clock.
    pub(crate) lost_at: MilliTime,
    /// The worker of the last failed run, which is chosen last.
    pub(crate) failed_on: Option<WorkerKey>,
}

/// Whether a task waits, is placed on a worker or is done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum TaskPlacement {
    #[default]
    Waiting,
    Placed(WorkerKey),
    Done,
}

/// Why a gang waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum WaitReason {
    /// The workers that may run the gang are too few or too small, even if they were idle.
    Unplaceable,
    /// The team would exceed its cap.
    TeamCap,
    /// The advice service has not said enough about the workers.
    Advice,
    /// The eligible workers have enough free resources, but the tickets have expired.
    Tickets,
    /// The eligible workers have not enough free resources.
    Resources,
    /// Members are suspected of crashing their workers, and too few workers are calm.
    Suspects,
    /// The eligible workers would do, but are reserved for gangs with a higher rank.
    Reserved,
    /// Some members have not stopped since the last start.
    Members,
}

/// The furthest checkpoint of a gang.
#[derive(Debug, Clone, Default)]
pub(crate) struct GangCheckpoint {
    /// Empty if there is none.
    pub(crate) value: String,
    /// The progress of the member that reported it, in percent.
    pub(crate) percent: u32,
}

/// The state of a step in one occurrence.
#[derive(Debug, Clone, Default)]
pub(crate) struct StepState {
    /// The number of tasks that are not done.
    pub(crate) unfinished: u32,
    /// The number of tasks that wait for a worker.
    pub(crate) waiting: u32,
    pub(crate) advice: AdviceState,
    /// Why the step was not placed in the last round in which it was considered;
    /// `None` if it was placed.
    pub(crate) wait_reason: Option<WaitReason>,
    /// When a line was last logged about why the gang waits, on the cell's clock.
    pub(crate) wait_logged_at: MilliTime,
    /// The last run of the gang whose failure was counted; 0 if none was.
    pub(crate) last_failed_run: u32,
    /// The longest time that the failed runs of one task took.
    pub(crate) failed_time: MilliSpan,
    /// The furthest checkpoint of any member since the gang last started. It is
    /// valid for all members, and the next start of each one carries it.
    pub(crate) gang_checkpoint: GangCheckpoint,
    pub(crate) learning: StepLearning,
}

/// What the runs of a step have shown of its duration.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StepLearning {
    pub(crate) evidence: StepEvidence,
    /// The expected time of a task on a worker of usual speed, as of the last update;
    /// `None` before the first.
    pub(crate) expected: Option<MilliSpan>,
    /// The step has ended and counts in the durations of its kinds.
    pub(crate) is_counted: bool,
}

impl TaskState {
    /// Returns whether the task waits and has to start apart from other suspects.
    pub(crate) fn is_waiting_suspect(&self) -> bool {
        self.crashes.is_suspect && self.placement == TaskPlacement::Waiting
    }
}

impl JobState {
    /// Creates the state of a job whose tasks all wait.
    pub(crate) fn new(code: JobCode, submission: JobSubmission) -> Self {
        let spec = &submission.spec;
        let mut offsets = SmallVec::new();
        let mut per_occurrence = 0;
        for step in &spec.steps {
            offsets.push(per_occurrence);
            per_occurrence += step.tasks;
        }
        let occurrences = spec.occurrences();
        let total = usize::try_from(u64::from(per_occurrence) * u64::from(occurrences));
        let step_states = (0..occurrences)
            .flat_map(|_| &spec.steps)
            .map(|step| StepState {
                unfinished: step.tasks,
                waiting: step.tasks,
                ..StepState::default()
            });
        Self {
            code,
            text: Arc::from(spec.text.as_str()),
            tasks: vec![TaskState::default(); total.unwrap_or(0)],
            steps: step_states.collect(),
            end: None,
            ended_at: MilliTime::ZERO,
            is_end_recorded: false,
            is_submission_recorded: true,
            origin: JobOrigin::Owner,
            runs: 0,
            has_started: false,
            crash_record: CrashRecord::Absent,
            parts: Vec::new(),
            rate: RateStatus::Within,
            offsets,
            per_occurrence,
            submission,
        }
    }

    /// Returns the index of a task; `None` if the job has no such task.
    pub(crate) fn index_of(&self, name: TaskName) -> Option<usize> {
        let step = self.submission.spec.steps.get(usize::from(name.step))?;
        if name.index >= step.tasks || name.occurrence >= self.submission.spec.occurrences() {
            return None;
        }
        let offset = self.offsets.get(usize::from(name.step))?;
        let index = u64::from(name.occurrence) * u64::from(self.per_occurrence);
        usize::try_from(index + u64::from(offset + name.index)).ok()
    }

    /// Returns the name of a task by its index.
    pub(crate) fn name_of(&self, index: usize) -> TaskName {
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        let (occurrence, rest) = (index / self.per_occurrence, index % self.per_occurrence);
        let later = self.offsets.iter().position(|offset| *offset > rest);
        let step = later.unwrap_or(self.offsets.len()) - 1;
        TaskName {
            job: self.code,
            occurrence,
            step: u16::try_from(step).unwrap_or(u16::MAX),
            index: rest - self.offsets[step],
        }
    }

    /// Returns the indices of the tasks of a step.
    pub(crate) fn task_range(&self, step_index: usize) -> std::ops::Range<usize> {
        let steps = self.submission.spec.steps.len();
        let (occurrence, step) = (step_index / steps, step_index % steps);
        let first = occurrence * self.per_occurrence as usize + self.offsets[step] as usize;
        first..first + self.submission.spec.steps[step].tasks as usize
    }

    /// Returns the indices of the members of the gang that a task belongs to; its own
    /// index if it belongs to none.
    pub(crate) fn gang_of(&self, index: usize) -> std::ops::Range<usize> {
        let step_index = self.step_index(self.name_of(index));
        if self.step_spec(step_index).is_gang {
            self.task_range(step_index)
        } else {
            index..index + 1
        }
    }

    /// Returns the index of the step state of a task.
    pub(crate) fn step_index(&self, name: TaskName) -> usize {
        name.occurrence as usize * self.submission.spec.steps.len() + usize::from(name.step)
    }

    /// Returns the specification of a step.
    pub(crate) fn step_spec(&self, step_index: usize) -> &StepSpec {
        let steps = &self.submission.spec.steps;
        &steps[step_index % steps.len()]
    }

    /// Returns the name of a step.
    pub(crate) fn step_name(&self, step_index: usize) -> StepName {
        let steps = self.submission.spec.steps.len();
        StepName {
            job: self.code,
            occurrence: u32::try_from(step_index / steps).unwrap_or(u32::MAX),
            step: u16::try_from(step_index % steps).unwrap_or(u16::MAX),
        }
    }

    /// Returns whether a step may start: its dependencies are done and its
    /// occurrence is due.
    pub(crate) fn is_ready(&self, step_index: usize, unix_now: MilliTime) -> bool {
        let steps = self.submission.spec.steps.len();
        let occurrence = step_index / steps;
        let due = self
            .submission
            .spec
            .due(u32::try_from(occurrence).unwrap_or(u32::MAX));
        if due.is_some_and(|due| due > unix_now) {
            return false;
        }
        let before = &self.step_spec(step_index).after;
        before
            .iter()
            .all(|after| self.steps[occurrence * steps + usize::from(*after)].unfinished == 0)
    }

    /// Returns whether a task is suspected of crashing its workers.
    pub(crate) fn has_suspects(&self) -> bool {
        self.tasks.iter().any(|task| task.crashes.is_suspect)
    }

    /// Returns the time by which the job should end, since the Unix epoch. `work` is the time
    /// of its longest chain of steps; the time of failed runs is added to it.
    pub(crate) fn objective(&self, work: MilliSpan, terms: &QueueTerms) -> MilliTime {
        let failed = self.steps.iter().map(|step| step.failed_time.as_millis());
        let work = work.as_millis() + failed.sum::<u64>();
        let allowed = work.saturating_mul(terms.stretch_permille) / 1_000;
        self.submission.received + MilliSpan::new(allowed) + terms.target_latency
    }

    /// Sets the placement of a task and updates the counts of its step.
    pub(crate) fn set_placement(&mut self, index: usize, placement: TaskPlacement) {
        let step_index = self.step_index(self.name_of(index));
        let before = std::mem::replace(&mut self.tasks[index].placement, placement);
        let step = &mut self.steps[step_index];
        step.waiting -= u32::from(before == TaskPlacement::Waiting);
        step.waiting += u32::from(placement == TaskPlacement::Waiting);
        step.unfinished += u32::from(before == TaskPlacement::Done);
        step.unfinished -= u32::from(placement == TaskPlacement::Done);
    }

    /// Returns the demand of a task.
    pub(crate) fn demand_of(&self, index: usize) -> ResourceAmount {
        self.step_spec(self.step_index(self.name_of(index))).demand
    }

    /// Returns whether the job has not ended and a task waits for a worker.
    pub(crate) fn has_waiting(&self) -> bool {
        self.end.is_none() && self.steps.iter().any(|step| step.waiting > 0)
    }

    /// Returns the record of the losses of workers under the tasks.
    pub(crate) fn crashes(&self) -> JobCrashes {
        let tasks = self.tasks.iter().enumerate();
        let rows = tasks.filter_map(|(index, task)| task.crashes.to_record(index));
        JobCrashes {
            tasks: rows.collect(),
        }
    }

    /// Returns whether all tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.unfinished == 0)
    }

    /// Returns the progress record. `worker_of` returns the identifier of a worker
    /// and the start of its incarnation; if it returns `None`, the task is
    /// recorded as waiting.
    pub(crate) fn progress(
        &self,
        worker_of: impl Fn(WorkerKey, usize) -> Option<(String, MilliTime)>,
    ) -> JobProgress {
        let tasks = self
            .tasks
            .iter()
            .enumerate()
            .map(|(index, task)| TaskProgress {
                run: task.run,
                failures: match self.gang_recorded_at(index) {
                    Some(step_index) => self.steps[step_index].last_failed_run,
                    None => task.failures,
                },
                phase: match task.placement {
                    TaskPlacement::Waiting => TaskPhase::Waiting,
                    TaskPlacement::Done => TaskPhase::Done,
                    TaskPlacement::Placed(key) => match worker_of(key, index) {
                        Some((worker, started_at)) => TaskPhase::Placed { worker, started_at },
                        None => TaskPhase::Waiting,
                    },
                },
                checkpoint: task.checkpoint.clone(),
            });
        JobProgress {
            end: self.end,
            ended_at: self.ended_at,
            tasks: tasks.collect(),
            ..JobProgress::default()
        }
    }

    /// Returns the gang whose `last_failed_run` the record of a task holds instead of the
    /// failures of the task: that of the second member, whose failures are counted at the
    /// first one.
    pub(crate) fn gang_recorded_at(&self, index: usize) -> Option<usize> {
        let name = self.name_of(index);
        let step_index = self.step_index(name);
        let is_second_member = self.step_spec(step_index).is_gang && name.index == 1;
        is_second_member.then_some(step_index)
    }

    /// Returns the progress record of a closed job.
    pub(crate) fn closing_progress(&self) -> JobProgress {
        JobProgress {
            end: self.end,
            ended_at: self.ended_at,
            team: self.submission.team.clone(),
            queue: Some(self.submission.queue.clone()),
            ..JobProgress::default()
        }
    }
}

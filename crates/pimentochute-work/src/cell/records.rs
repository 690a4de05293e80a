//! Batches of records for the log, and the actions that wait for them.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::effect::CellEffect;
use crate::job::{CrashRecord, JobState, PartRecord};
use crate::policy::MAX_RECORD_OVERHEAD;
use crate::record::{encode_extended, encode_record};
use crate::{
    CallerAnswer, IncarnationNumber, JobCode, JobKey, ProgressPart, RecordError, ReplyKey,
    TaskProgress, WorkerKey,
};
use pimentochute_base::{MilliSpan, MilliTime};

use super::WorkCell;

/// The number of tasks in the record of a part. With the longest identifiers of workers,
/// which are keys of at most 255 bytes, it takes less than 150 KB without checkpoints.
const PART_TASKS: usize = 512;

/// Records that are appended to the log in one call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordBatch {
    /// The records, at least one: the log takes an append without records as the
    /// start of an epoch and resets its numbering. A later record replaces an
    /// earlier one of the same job and kind.
    pub writes: Vec<RecordWrite>,
}

/// One record of a job, written or deleted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordWrite {
    /// The job that the record belongs to.
    pub job: JobCode,
    /// The kind; there is one record of each kind for a job.
    pub kind: RecordKind,
    /// The encoded record; empty to delete it.
    pub value: Vec<u8>,
}

/// The kind of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKind {
    /// The job as it was submitted, see [`crate::JobSubmission`].
    Submission,
    /// The progress of the job, see [`crate::JobProgress`].
    Progress,
    /// The losses of workers under its tasks, see [`crate::JobCrashes`].
    Crashes,
    /// The progress of a part of its tasks, by the number of the part, see
    /// [`crate::ProgressPart`].
    ProgressPart(u32),
    /// Its cancellations by callers before it arrived, see [`crate::JobCancellations`].
    Cancellations,
}

/// A batch that is not known to be in the log.
#[derive(Debug)]
pub(super) struct BatchInFlight {
    taken: MilliTime,
    /// The actions that follow once the batch is in the log.
    actions: Vec<StagedAction>,
}

/// An action that has to wait until a batch is in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StagedAction {
    /// Send the start order of a placed run.
    Start {
        job: JobKey,
        task: usize,
        run: u32,
        worker: WorkerKey,
    },
    /// Allow the worker to forget its ends up to a number, if it has not restarted
    /// since.
    RunEndsRecorded {
        worker: WorkerKey,
        incarnation: IncarnationNumber,
        number: u64,
    },
    /// Mark the submission of a job as recorded.
    Submitted(JobKey),
    /// Answer a caller.
    Reply(ReplyKey, CallerAnswer),
    /// Show the end of a job to callers, and stop its runs.
    JobEndRecorded(JobKey),
    /// Close a job: keep only its end.
    Closed(JobKey),
}

impl WorkCell {
    /// Returns whether there are records to write or actions that wait for one.
    #[must_use]
    pub fn has_records(&self) -> bool {
        !(self.dirty.is_empty()
            && self.staged.is_empty()
            && self.unsent.is_empty()
            && self.expired.is_empty()
            && self.orphaned_parts.is_empty()
            && self.orphaned_crashes.is_empty()
            && !self.early_cancellations.has_unwritten()
            && self.submitted.is_empty())
    }

    /// Returns the next batch; `None` if there is nothing to record. The caller
    /// has to append batches in the order in which it took them.
    ///
    /// # Errors
    /// Fails if a record cannot be encoded.
    pub fn take_batch(&mut self) -> Result<Option<RecordBatch>, RecordError> {
        if !self.has_records() {
            return Ok(None);
        }
        if !self.unsent.is_empty() {
            return Ok(Some(self.next_batch()));
        }
        let mut batch = RecordBatch {
            writes: self.early_cancellations.take_writes()?,
        };
        for key in std::mem::take(&mut self.submitted) {
            let job = &self.jobs[key];
            batch.writes.push(RecordWrite {
                job: job.code,
                kind: RecordKind::Submission,
                value: encode_record(&job.submission)?,
            });
            self.staged.push(StagedAction::Submitted(key));
        }
        for job in std::mem::take(&mut self.orphaned_crashes) {
            batch.writes.push(RecordWrite {
                job,
                kind: RecordKind::Crashes,
                value: Vec::new(),
            });
        }
        for key in std::mem::take(&mut self.dirty) {
            batch.writes.extend(self.crash_write(key)?);
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            if self.is_closing(key) {
                batch.writes.extend(closing_writes(job)?);
                self.staged.push(StagedAction::Closed(key));
            } else {
                batch.writes.extend(self.progress_writes(key)?);
            }
        }
        for (job, part) in std::mem::take(&mut self.orphaned_parts) {
            batch.writes.push(RecordWrite {
                job,
                kind: RecordKind::ProgressPart(part),
                value: Vec::new(),
            });
        }
        for job in std::mem::take(&mut self.expired) {
            batch.writes.push(RecordWrite {
                job,
                kind: RecordKind::Progress,
                value: Vec::new(),
            });
        }
        let actions = std::mem::take(&mut self.staged);
        if batch.writes.is_empty() {
            // Actions without a record of their own wait for earlier batches.
            match self.in_flight.back_mut() {
                Some(last) => last.actions.extend(actions),
                None => self.release(actions),
            }
            return Ok(None);
        }
        self.unsent = batch.writes.into();
        self.unsent_actions = actions;
        Ok(Some(self.next_batch()))
    }

    /// Returns the next records that fit into one append. The actions wait for the last of
    /// these batches.
    fn next_batch(&mut self) -> RecordBatch {
        let limit = self.policy.record.append_bytes;
        let mut batch = RecordBatch::default();
        let mut bytes = 0;
        while let Some(write) = self.unsent.front() {
            // The records of a job are not separated, except those of parts, each of which
            // is valid by itself.
            let is_separable = batch.writes.last().is_none_or(|last: &RecordWrite| {
                last.job != write.job || matches!(write.kind, RecordKind::ProgressPart(_))
            });
            bytes += write.value.len() + MAX_RECORD_OVERHEAD;
            if bytes > limit && is_separable && !batch.writes.is_empty() {
                break;
            }
            batch.writes.extend(self.unsent.pop_front());
        }
        let actions = if self.unsent.is_empty() {
            std::mem::take(&mut self.unsent_actions)
        } else {
            Vec::new()
        };
        self.in_flight.push_back(BatchInFlight {
            taken: self.now,
            actions,
        });
        batch
    }

    /// Returns the writes that bring the progress records of an open job up to date. If one
    /// record is too small for it, the tasks get records of their own; these come first,
    /// since the other record refers to them.
    fn progress_writes(&mut self, key: JobKey) -> Result<Vec<RecordWrite>, RecordError> {
        let limit = self.policy.record.value_bytes();
        let job = &self.jobs[key];
        let code = job.code;
        let mut progress = job.progress(|worker, index| {
            let worker = self.workers.get(worker)?;
            Some((worker.report.id.clone(), worker.start_of(key, index)))
        });
        let write = |kind: RecordKind, value: Vec<u8>| RecordWrite {
            job: code,
            kind,
            value,
        };
        if job.parts.is_empty() {
            let value = encode_record(&progress)?;
            if value.len() <= limit {
                return Ok(vec![write(RecordKind::Progress, value)]);
            }
        }
        let mut writes = Vec::new();
        let tasks = std::mem::take(&mut progress.tasks);
        let parts = &mut self.jobs[key].parts;
        parts.resize(tasks.len().div_ceil(PART_TASKS), PartRecord::Outdated);
        for ((number, tasks), part) in (0_u32..).zip(tasks.chunks(PART_TASKS)).zip(parts) {
            let value = encode_part(code, tasks.to_vec(), limit)?;
            let written = PartRecord::Written(hash_of(&value));
            if *part != written {
                *part = written;
                writes.push(write(RecordKind::ProgressPart(number), value));
            }
            progress.parts = number + 1;
        }
        writes.push(write(RecordKind::Progress, encode_record(&progress)?));
        Ok(writes)
    }

    /// Returns the write that brings the record of the crashes of a job up to date;
    /// `None` if it is.
    fn crash_write(&mut self, key: JobKey) -> Result<Option<RecordWrite>, RecordError> {
        let is_closing = self.is_closing(key);
        let Some(job) = self.jobs.get_mut(key) else {
            return Ok(None);
        };
        let value = match job.crash_record {
            CrashRecord::Current | CrashRecord::Outdated if is_closing => {
                job.crash_record = CrashRecord::Absent;
                Vec::new()
            }
            CrashRecord::Absent | CrashRecord::Current => return Ok(None),
            CrashRecord::Outdated => {
                job.crash_record = CrashRecord::Current;
                encode_crashes(job, self.policy.record.value_bytes())?
            }
        };
        Ok(Some(RecordWrite {
            job: job.code,
            kind: RecordKind::Crashes,
            value,
        }))
    }

    /// Returns, as a triple, the number of batches that are not known to be in
    /// the log, the age of the newest one and the age of the oldest one. The ages are zero if
    /// there is no batch.
    #[must_use]
    pub fn batches(&self) -> (usize, MilliSpan, MilliSpan) {
        let age = |batch: Option<&BatchInFlight>| {
            batch.map_or(MilliSpan::ZERO, |batch| self.now.since(batch.taken))
        };
        let (newest, oldest) = (self.in_flight.back(), self.in_flight.front());
        (self.in_flight.len(), age(newest), age(oldest))
    }

    /// Removes the oldest batch, which is now in the log, and releases its actions.
    pub fn batch_recorded(&mut self) {
        if let Some(batch) = self.in_flight.pop_front() {
            self.release(batch.actions);
        }
    }

    fn release(&mut self, actions: Vec<StagedAction>) {
        for action in actions {
            match action {
                StagedAction::Start {
                    job,
                    task,
                    run,
                    worker,
                } => {
                    self.send_start(job, task, run, worker);
                }
                StagedAction::RunEndsRecorded {
                    worker,
                    incarnation,
                    number,
                } => {
                    if let Some(state) = self.workers.get_mut(worker)
                        && state.incarnation == incarnation
                    {
                        state.last_recorded_end = state.last_recorded_end.max(number);
                    }
                }
                StagedAction::Submitted(key) => {
                    if let Some(job) = self.jobs.get_mut(key) {
                        job.is_submission_recorded = true;
                    }
                }
                StagedAction::Reply(reply, answer) => {
                    self.effects.push(CellEffect::Reply(reply, answer));
                }
                StagedAction::JobEndRecorded(key) => {
                    if self.jobs.contains_key(key) {
                        self.jobs[key].is_end_recorded = true;
                        self.stop_runs_of(key);
                    }
                }
                StagedAction::Closed(key) => self.close_job(key),
            }
        }
    }
}

/// Returns the writes that replace the records of a job by the one of a closed job.
fn closing_writes(job: &JobState) -> Result<Vec<RecordWrite>, RecordError> {
    let deletion = |kind: RecordKind| RecordWrite {
        job: job.code,
        kind,
        value: Vec::new(),
    };
    let mut writes = vec![RecordWrite {
        job: job.code,
        kind: RecordKind::Progress,
        value: encode_extended(&job.closing_progress())?,
    }];
    writes.push(deletion(RecordKind::Submission));
    let parts = (0_u32..).zip(&job.parts);
    writes.extend(parts.map(|(number, _)| deletion(RecordKind::ProgressPart(number))));
    Ok(writes)
}

/// Encodes the record of a part. If it is too large, the checkpoints are left out: without
/// the record, the runs could not be started.
fn encode_part(
    job: JobCode,
    tasks: Vec<TaskProgress>,
    limit: usize,
) -> Result<Vec<u8>, RecordError> {
    let mut part = ProgressPart { tasks };
    let value = encode_record(&part)?;
    if value.len() <= limit {
        return Ok(value);
    }
    log::error!(job:% = job, bytes = value.len(); "cell: the checkpoints of a job do not fit into its record");
    for task in &mut part.tasks {
        task.checkpoint.clear();
    }
    encode_record(&part)
}

/// Encodes the record of the losses of workers. If it is too large, it has only the first
/// tasks: the others may be tried beside other jobs.
fn encode_crashes(job: &JobState, limit: usize) -> Result<Vec<u8>, RecordError> {
    let mut crashes = job.crashes();
    loop {
        let value = encode_record(&crashes)?;
        if value.len() <= limit || crashes.tasks.is_empty() {
            return Ok(value);
        }
        log::error!(job:% = job.code, bytes = value.len(); "cell: the crashes of a job do not fit into its record");
        crashes.tasks.truncate(crashes.tasks.len() / 2);
    }
}

fn hash_of(value: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

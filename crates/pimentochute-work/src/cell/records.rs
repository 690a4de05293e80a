//! Batches of records, and what waits for them.

use crate::effect::CellEffect;
use crate::record::encode_record;
use crate::{CallerAnswer, JobCode, JobKey, RecordError, ReplyKey, WorkerKey};
use pimentochute_base::{MilliSpan, MilliTime};

use super::WorkCell;

/// Records that go to the log in one call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordBatch {
    /// The records, at least one: the log takes an append without records for
    /// the beginning of an epoch and forgets its numbers. A later record
    /// replaces an earlier one of the same job and kind.
    pub writes: Vec<RecordWrite>,
}

/// A record of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordWrite {
    /// The job.
    pub job: JobCode,
    /// What the record holds of it.
    pub kind: RecordKind,
    /// The bytes; empty if the record is dropped.
    pub value: Vec<u8>,
}

/// What a record holds of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordKind {
    /// The job as it was handed in.
    Submission,
    /// How far it is.
    Progress,
}

/// A batch on its way to the log.
#[derive(Debug)]
pub(super) struct BatchInFlight {
    taken: MilliTime,
    /// What happens once the batch is in the log.
    actions: Vec<StagedAction>,
}

/// What happens once a batch is in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StagedAction {
    /// A placed run is started.
    Start {
        job: JobKey,
        task: usize,
        run: u32,
        worker: WorkerKey,
    },
    /// Ends of a worker's life may be noted up to a number.
    RecordedEnd {
        worker: WorkerKey,
        started_at: MilliTime,
        number: u64,
    },
    /// A job is in the log.
    Submitted(JobKey),
    /// A caller is answered.
    Reply(ReplyKey, CallerAnswer),
    /// Callers may learn of the end of a job, and its runs are stopped.
    Ended(JobKey),
    /// Only the end of a job is kept.
    Closed(JobKey),
}

impl WorkCell {
    /// Tells whether something is to be recorded.
    #[must_use]
    pub fn has_records(&self) -> bool {
        !(self.dirty.is_empty()
            && self.staged.is_empty()
            && self.expired.is_empty()
            && self.submitted.is_empty())
    }

    /// Returns the next batch; none if nothing is to be recorded. Batches have
    /// to reach the log in the order in which they were taken.
    ///
    /// # Errors
    /// Fails if a record cannot be written.
    pub fn take_batch(&mut self) -> Result<Option<RecordBatch>, RecordError> {
        if !self.has_records() {
            return Ok(None);
        }
        let mut batch = RecordBatch::default();
        for key in std::mem::take(&mut self.submitted) {
            let job = &self.jobs[key];
            batch.writes.push(RecordWrite {
                job: job.code,
                kind: RecordKind::Submission,
                value: encode_record(&job.submission)?,
            });
            self.staged.push(StagedAction::Submitted(key));
        }
        for key in std::mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            let progress = if self.is_closing(key) {
                batch.writes.push(RecordWrite {
                    job: job.code,
                    kind: RecordKind::Submission,
                    value: Vec::new(),
                });
                self.staged.push(StagedAction::Closed(key));
                job.closing_progress()
            } else {
                job.progress(|worker| {
                    let worker = self.workers.get(worker)?;
                    Some((worker.report.id.clone(), worker.report.started_at))
                })
            };
            batch.writes.push(RecordWrite {
                job: job.code,
                kind: RecordKind::Progress,
                value: encode_record(&progress)?,
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
            // What needs no record of its own waits for the batches before.
            match self.in_flight.back_mut() {
                Some(last) => last.actions.extend(actions),
                None => self.release(actions),
            }
            return Ok(None);
        }
        self.in_flight.push_back(BatchInFlight {
            taken: self.now,
            actions,
        });
        Ok(Some(batch))
    }

    /// Returns how many batches are on their way, and for how long the newest
    /// and the oldest one are.
    #[must_use]
    pub fn batches(&self) -> (usize, MilliSpan, MilliSpan) {
        let age = |batch: Option<&BatchInFlight>| {
            batch.map_or(MilliSpan::ZERO, |batch| self.now.since(batch.taken))
        };
        let (newest, oldest) = (self.in_flight.back(), self.in_flight.front());
        (self.in_flight.len(), age(newest), age(oldest))
    }

    /// Notes that the oldest batch is in the log.
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
                StagedAction::RecordedEnd {
                    worker,
                    started_at,
                    number,
                } => {
                    if let Some(state) = self.workers.get_mut(worker)
                        && state.report.started_at == started_at
                    {
                        state.recorded_end = state.recorded_end.max(number);
                    }
                }
                StagedAction::Submitted(key) => {
                    if let Some(job) = self.jobs.get_mut(key) {
                        job.is_recorded = true;
                    }
                }
                StagedAction::Reply(reply, answer) => {
                    self.effects.push(CellEffect::Reply(reply, answer));
                }
                StagedAction::Ended(key) => {
                    if self.jobs.contains_key(key) {
                        self.jobs[key].end_recorded = true;
                        self.stop_runs_of(key);
                    }
                }
                StagedAction::Closed(key) => self.close_job(key),
            }
        }
    }
}

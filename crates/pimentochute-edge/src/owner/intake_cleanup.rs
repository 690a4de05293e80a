//! Deletes the submissions of closed jobs from the intake topic.

use std::collections::BTreeSet;

use bytes::Bytes;
use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_work::JobCode;

use crate::intake::INTAKE_TOPIC;
use crate::{AppendCall, KeyedRecord};

/// The delay before a failed append is retried.
const RETRY_DELAY: MilliSpan = MilliSpan::new(300);

/// The largest number of submissions that one append deletes.
const MAX_BATCH_RECORDS: usize = 512;

/// The submissions that have to be deleted. At most one append is open at a time, so that
/// its answer tells which of them are.
#[derive(Debug, Default)]
pub(super) struct IntakeCleanup {
    /// A job is also here while an append for it is open if its submission was seen again:
    /// a host may have appended it after the deletion.
    waiting: BTreeSet<JobCode>,
    /// The jobs of the open append; empty if there is none.
    in_flight: Vec<JobCode>,
    /// The next append is sent at this time or later.
    next_at: MilliTime,
}

impl IntakeCleanup {
    /// Adds a job whose submission has to be deleted.
    pub(super) fn add(&mut self, job: JobCode) {
        self.waiting.insert(job);
    }

    /// Returns the next append; `None` if there is nothing to delete, an append is open, or
    /// one failed shortly before `now`.
    pub(super) fn next_call(&mut self, now: MilliTime) -> Option<AppendCall> {
        if self.waiting.is_empty() || !self.in_flight.is_empty() || now < self.next_at {
            return None;
        }
        while self.in_flight.len() < MAX_BATCH_RECORDS
            && let Some(job) = self.waiting.pop_first()
        {
            self.in_flight.push(job);
        }
        let records = self.in_flight.iter().map(|job| KeyedRecord {
            key: job.to_string(),
            value: Bytes::new(),
        });
        Some(AppendCall {
            topic: INTAKE_TOPIC.to_owned(),
            records: records.collect(),
            stamp: None,
            expected_end: None,
        })
    }

    /// Notes that the log confirmed the open append, and returns the jobs whose submission
    /// is deleted.
    pub(super) fn record_success(&mut self) -> Vec<JobCode> {
        let mut deleted = std::mem::take(&mut self.in_flight);
        deleted.retain(|job| !self.waiting.contains(job));
        deleted
    }

    /// Notes that the open append failed at `now`; its jobs wait for another one.
    pub(super) fn record_failure(&mut self, now: MilliTime) {
        self.waiting.extend(self.in_flight.drain(..));
        self.next_at = now + RETRY_DELAY;
    }
}

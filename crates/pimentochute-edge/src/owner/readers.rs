//! The tasks that read jobs and workers from the log during a term.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use pimentochute_base::MilliSpan;
use tokio::sync::mpsc;

use super::load::{self, LoadedOffsets};
use super::{CellInput, CellOwner, EntryChange};
use crate::intake::INTAKE_TOPIC;
use crate::outage_log::OutageLog;
use crate::{KeyedRecord, StoreError, TopicPage};

/// How long a read blocks until there are jobs.
const INTAKE_WAIT: MilliSpan = MilliSpan::new(3_000);

/// The interval between two reads of jobs, so that one read returns several.
const INTAKE_INTERVAL: MilliSpan = MilliSpan::new(5);

/// How long a read blocks until there are reports of workers.
const WORKER_WAIT: MilliSpan = MilliSpan::new(1_000);

/// The interval between two reads of reports, so that one read returns several.
const WORKER_INTERVAL: MilliSpan = MilliSpan::new(200);

/// The delay before a failed read is retried.
const RETRY_DELAY: MilliSpan = MilliSpan::new(100);

impl CellOwner {
    /// Passes the jobs that hosts appended themselves to the term. Stores in
    /// `next_offset` the offset up to which they were passed.
    pub(super) async fn read_intake(
        &self,
        next_offset: Arc<AtomicU64>,
        inputs: mpsc::Sender<CellInput>,
    ) {
        let store = &self.context.ports.store;
        let mut outage = OutageLog::new(
            "owner: reading the intake topic",
            self.context.clock.clone(),
        );
        let mut from = next_offset.load(Ordering::SeqCst);
        loop {
            let sent_at = self.context.clock.now();
            let page = match store.read(INTAKE_TOPIC, from, INTAKE_WAIT).await {
                Ok(page) => {
                    let complete_at = page.is_last().then_some(sent_at);
                    Ok((page.records, page.next, complete_at))
                }
                Err(StoreError::RecordsExpired { .. }) => {
                    let newest = load::read_newest(&self.context, INTAKE_TOPIC).await;
                    newest.map(|(records, next)| (records, next, Some(sent_at)))
                }
                Err(error) => Err(error),
            };
            match page {
                Ok((records, next, complete_at)) => {
                    from = next;
                    outage.record_success();
                    let jobs = records.iter().filter_map(load::submission_of).collect();
                    let input = CellInput::FromIntake { jobs, complete_at };
                    if inputs.send(input).await.is_err() {
                        return;
                    }
                    next_offset.store(from, Ordering::SeqCst);
                    tokio::time::sleep(INTAKE_INTERVAL.as_duration()).await;
                }
                Err(error) => {
                    outage.record_failure(&error);
                    tokio::time::sleep(RETRY_DELAY.as_duration()).await;
                }
            }
        }
    }

    /// Passes the reports of workers to the term, starting after those that were loaded.
    pub(super) async fn read_workers(
        &self,
        loaded: LoadedOffsets,
        inputs: mpsc::Sender<CellInput>,
    ) {
        let topic = self.context.ports.codec.worker_topic();
        let store = &self.context.ports.store;
        let mut outage = OutageLog::new(
            "owner: reading the list of workers",
            self.context.clock.clone(),
        );
        let mut from = loaded.workers;
        // What follows a read that reached the end of the topic was written after that
        // read was sent. The time of the answer proves less: it may be late.
        let mut written_after = loaded.workers_read_at;
        loop {
            let sent_at = self.context.clock.now();
            let page = match store.read(topic, from, WORKER_WAIT).await {
                Ok(page) => Ok((page, false)),
                Err(StoreError::RecordsExpired { .. }) => {
                    let newest = load::read_newest(&self.context, topic).await;
                    newest.map(|(records, next)| {
                        let page = TopicPage {
                            records,
                            next,
                            end: next,
                        };
                        (page, true)
                    })
                }
                Err(error) => Err(error),
            };
            match page {
                Ok((page, is_complete)) => {
                    from = page.next;
                    let is_last = page.is_last();
                    outage.record_success();
                    let entries = page.records.iter().map(|record| {
                        let change = self.entry_change(record);
                        (record.key.clone(), change)
                    });
                    let input = CellInput::Workers {
                        entries: entries.collect(),
                        is_complete,
                        // A list of the newest entries also has those from before.
                        written_after: (!is_complete).then_some(written_after),
                    };
                    if inputs.send(input).await.is_err() {
                        return;
                    }
                    if is_last {
                        written_after = sent_at;
                    }
                    tokio::time::sleep(WORKER_INTERVAL.as_duration()).await;
                }
                Err(error) => {
                    outage.record_failure(&error);
                    tokio::time::sleep(RETRY_DELAY.as_duration()).await;
                }
            }
        }
    }
    fn entry_change(&self, record: &KeyedRecord) -> EntryChange {
        if record.value.is_empty() {
            return EntryChange::Removed;
        }
        match load::worker_of(&self.context, record) {
            Ok(report) => EntryChange::Reported(report),
            Err(error) => EntryChange::Unreadable(error.to_string()),
        }
    }
}

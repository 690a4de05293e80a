//! A copy of the cell's records on hosts that may become the owner, so that a
//! new owner has to read only the latest records.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_work::{JobSubmission, decode_record};

use super::load::OWNER_TOPIC;
use crate::context::EdgeContext;
use crate::intake::INTAKE_TOPIC;
use crate::{KeyedRecord, StoreError};

/// Copies of the topics that hold the jobs.
pub(crate) struct JobMirror {
    /// The submissions and the progress of jobs, written only by the owner.
    pub(super) owner_records: TopicMirror,
    /// The jobs that hosts appended themselves.
    pub(super) intake: TopicMirror,
}

/// A copy of the newest record of each key of a topic.
pub(super) struct TopicMirror {
    topic: &'static str,
    position: MirrorPosition,
    /// The records of pages, in which those that were replaced are missing. None has a key of
    /// which a record was read in the order of the log.
    unordered: BTreeMap<String, Bytes>,
    /// The records that were read in the order of the log.
    records: BTreeMap<String, Bytes>,
    /// Of the keys whose newest record is the submission of another client, the first record.
    /// It had arrived before, so that its job has the identifier.
    replaced: BTreeMap<String, Bytes>,
    keeps_replaced: bool,
    /// The first record that the log had left when the topic could not be read from the start.
    first_left: Option<u64>,
    /// When the last read that reached the end of the topic was sent.
    complete_at: MilliTime,
}

/// What a copy has read. It stays after a failed read, so that the next one continues
/// there: a host with a narrow link may never read all pages in a row.
enum MirrorPosition {
    /// Nothing.
    Start,
    /// The newest records of the keys up to `last_key`.
    Keys {
        last_key: String,
        /// The end of the topic as of the first page, or the first record that the log has
        /// left. The pages are not a snapshot, so the records from there on are read as well.
        resume: u64,
    },
    /// All records before this offset.
    Offset(u64),
}

/// The number of pages that a new owner has read.
#[derive(Debug, Default)]
pub(super) struct LoadProgress {
    pages: AtomicU64,
}

impl LoadProgress {
    pub(super) fn pages(&self) -> u64 {
        self.pages.load(Ordering::Relaxed)
    }

    fn record_page(&self) {
        self.pages.fetch_add(1, Ordering::Relaxed);
    }
}

impl JobMirror {
    pub(crate) fn new() -> Self {
        Self {
            owner_records: TopicMirror::new(OWNER_TOPIC),
            intake: TopicMirror::new(INTAKE_TOPIC).with_replaced(),
        }
    }

    /// Reads both topics up to their ends.
    ///
    /// # Errors
    /// Fails if a read fails. The next call continues after the pages that were read.
    pub(super) async fn catch_up(
        &mut self,
        context: &EdgeContext,
        progress: &LoadProgress,
    ) -> Result<(), StoreError> {
        let both = futures::future::join(
            self.owner_records.catch_up(context, progress),
            self.intake.catch_up(context, progress),
        );
        let (owner_records, intake) = both.await;
        owner_records.and(intake)
    }
}

impl TopicMirror {
    pub(super) const fn new(topic: &'static str) -> Self {
        Self {
            topic,
            position: MirrorPosition::Start,
            unordered: BTreeMap::new(),
            records: BTreeMap::new(),
            replaced: BTreeMap::new(),
            keeps_replaced: false,
            first_left: None,
            complete_at: MilliTime::ZERO,
        }
    }

    /// Reads the topic in the order of the log as far as that has the records, and keeps the
    /// submissions that those of other clients replace.
    fn with_replaced(mut self) -> Self {
        self.position = MirrorPosition::Offset(0);
        self.keeps_replaced = true;
        self
    }

    /// Returns the newest record of each key as of the last read, after the submissions that
    /// those of other clients have replaced.
    pub(super) fn records(&self) -> impl Iterator<Item = KeyedRecord> {
        let records = self.replaced.iter().chain(&self.records);
        let records = records.chain(&self.unordered);
        records.map(|(key, value)| KeyedRecord {
            key: key.clone(),
            value: value.clone(),
        })
    }

    /// Returns the offset up to which the topic was read; 0 before it was read once.
    pub(super) const fn next_offset(&self) -> u64 {
        match self.position {
            MirrorPosition::Offset(next) => next,
            MirrorPosition::Start | MirrorPosition::Keys { .. } => 0,
        }
    }

    /// Returns when the read that returned the end of the topic was sent, on the host's
    /// clock.
    pub(super) const fn complete_at(&self) -> MilliTime {
        self.complete_at
    }

    /// Reads up to the end of the topic. Reads it anew if the records at the
    /// last offset have expired.
    pub(super) async fn catch_up(
        &mut self,
        context: &EdgeContext,
        progress: &LoadProgress,
    ) -> Result<(), StoreError> {
        loop {
            let is_complete = match &self.position {
                MirrorPosition::Offset(from) => self.read_from(context, *from).await?,
                MirrorPosition::Start => self.read_page(context, None).await?,
                MirrorPosition::Keys { last_key, resume } => {
                    let place = (last_key.clone(), *resume);
                    self.read_page(context, Some(place)).await?
                }
            };
            progress.record_page();
            if is_complete {
                return Ok(());
            }
        }
    }

    /// Reads the records from an offset on; returns whether they reach the end of the topic.
    async fn read_from(&mut self, context: &EdgeContext, from: u64) -> Result<bool, StoreError> {
        let sent_at = context.clock.now();
        let store = &context.ports.store;
        match store.read(self.topic, from, MilliSpan::ZERO).await {
            Ok(page) => {
                let is_complete = page.is_last() || page.records.is_empty();
                self.position = MirrorPosition::Offset(page.next);
                self.apply(page.records);
                if is_complete {
                    self.complete_at = sent_at;
                }
                Ok(is_complete)
            }
            Err(StoreError::RecordsExpired { first }) => {
                self.position = MirrorPosition::Start;
                self.first_left = first.filter(|_| self.keeps_replaced);
                self.unordered.clear();
                self.records.clear();
                self.replaced.clear();
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }

    /// Reads the page of the newest records after a key, given with the offset at which
    /// reading resumes after the pages; `None` for the first page.
    async fn read_page(
        &mut self,
        context: &EdgeContext,
        after: Option<(String, u64)>,
    ) -> Result<bool, StoreError> {
        let key = after.as_ref().map(|(key, _)| key.as_str());
        let page = context.ports.store.newest(self.topic, key).await?;
        let resume = after.map_or(self.first_left.unwrap_or(page.end), |(_, resume)| resume);
        self.position = match page.last_key {
            Some(last_key) if page.has_more => MirrorPosition::Keys { last_key, resume },
            _ => MirrorPosition::Offset(resume),
        };
        let kept = page.records.into_iter();
        let kept = kept.filter(|record| !record.value.is_empty());
        self.unordered
            .extend(kept.map(|record| (record.key, record.value)));
        Ok(false)
    }

    fn apply(&mut self, records: Vec<KeyedRecord>) {
        for record in records {
            self.unordered.remove(&record.key);
            if record.value.is_empty() {
                self.records.remove(&record.key);
                self.replaced.remove(&record.key);
                continue;
            }
            let KeyedRecord { key, value } = record;
            let former = self.records.insert(key.clone(), value.clone());
            if let Some(former) = former.filter(|former| self.is_of_another_client(former, &value))
            {
                self.replaced.entry(key).or_insert(former);
            }
        }
    }

    fn is_of_another_client(&self, former: &Bytes, newest: &Bytes) -> bool {
        let submission = |value: &Bytes| decode_record::<JobSubmission>(value).ok();
        let may_differ = self.keeps_replaced && former != newest;
        let both = may_differ.then(|| submission(former).zip(submission(newest)));
        both.flatten()
            .is_some_and(|(former, newest)| former.scope() != newest.scope())
    }
}

//! A copy of the cell's records on hosts that may become the owner, so that a
//! new owner has to read only the latest records.

use std::collections::BTreeMap;

use bytes::Bytes;
use pimentochute_base::MilliSpan;

use super::load::read_newest;
use crate::context::EdgeContext;
use crate::intake::INTAKE_TOPIC;
use crate::{KeyedRecord, StoreError};

use super::load::OWNER_TOPIC;

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
    /// The offset at which to read on; `None` before the first read.
    next_offset: Option<u64>,
    records: BTreeMap<String, Bytes>,
}

impl JobMirror {
    pub(crate) const fn new() -> Self {
        Self {
            owner_records: TopicMirror::new(OWNER_TOPIC),
            intake: TopicMirror::new(INTAKE_TOPIC),
        }
    }

    /// Reads both topics up to their ends.
    pub(crate) async fn catch_up(&mut self, context: &EdgeContext) -> Result<(), StoreError> {
        let both = futures::future::join(
            self.owner_records.catch_up(context),
            self.intake.catch_up(context),
        );
        let (owner_records, intake) = both.await;
        owner_records.and(intake)
    }
}

impl TopicMirror {
    const fn new(topic: &'static str) -> Self {
        Self {
            topic,
            next_offset: None,
            records: BTreeMap::new(),
        }
    }

    /// Returns the newest record of each key as of the last read.
    pub(super) fn records(&self) -> impl Iterator<Item = KeyedRecord> {
        self.records.iter().map(|(key, value)| KeyedRecord {
            key: key.clone(),
            value: value.clone(),
        })
    }

    /// Returns the offset up to which the topic was read; 0 before that.
    pub(super) fn next_offset(&self) -> u64 {
        self.next_offset.unwrap_or(0)
    }

    /// Reads up to the end of the topic. Reads it anew if the records at the
    /// last offset have expired.
    async fn catch_up(&mut self, context: &EdgeContext) -> Result<(), StoreError> {
        while let Some(from) = self.next_offset {
            let page = context
                .ports
                .store
                .read(self.topic, from, MilliSpan::ZERO)
                .await;
            match page {
                Ok(page) if page.records.is_empty() => return Ok(()),
                Ok(page) => {
                    self.next_offset = Some(page.next);
                    self.apply(page.records);
                }
                Err(StoreError::RecordsExpired) => break,
                Err(error) => return Err(error),
            }
        }
        let (records, end) = read_newest(context, self.topic).await?;
        self.records.clear();
        self.apply(records);
        self.next_offset = Some(end);
        Ok(())
    }

    fn apply(&mut self, records: Vec<KeyedRecord>) {
        for record in records {
            if record.value.is_empty() {
                self.records.remove(&record.key);
            } else {
                self.records.insert(record.key, record.value);
            }
        }
    }
}

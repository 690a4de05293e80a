//! The streams of the log, kept in memory; does no I/O.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use pimentochute_base::{LogOffset, MilliSpan, MilliTime, StreamName};
use pimentochute_platform::{LogRecord, ReadBatch, ReadError};

/// The streams of a log with limited retention.
#[derive(Debug, Default)]
pub struct LogStore {
    streams: BTreeMap<StreamName, StreamRecords>,
    limit: RetentionLimit,
}

/// The limits on the records that a log keeps. Each limit removes records on
/// its own.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetentionLimit {
    /// The maximum number of records per stream; `None` for no limit.
    pub records: Option<usize>,
    /// The age at which a record is removed; `None` for no limit.
    pub age: Option<MilliSpan>,
}

/// The retained records of one stream.
#[derive(Debug, Default)]
struct StreamRecords {
    /// The offset of the first record in `records`, or the tail if it is empty.
    first: u64,
    records: VecDeque<(MilliTime, Bytes)>,
}

impl LogStore {
    /// Creates a log without streams; the first append creates a stream.
    #[must_use]
    pub fn new(limit: RetentionLimit) -> Self {
        Self {
            streams: BTreeMap::new(),
            limit,
        }
    }

    /// Appends a record and returns its offset.
    pub fn append(&mut self, stream: &StreamName, payload: Bytes, now: MilliTime) -> LogOffset {
        let limit = self.limit;
        let records = self.streams.entry(stream.clone()).or_default();
        let offset = records.tail();
        records.records.push_back((now, payload));
        records.apply_retention(limit, now);
        LogOffset::new(offset)
    }

    /// Reads at most `max_records`, starting at `from`. If `from` is beyond the
    /// tail, the batch has no records and a tail smaller than `from`.
    ///
    /// # Errors
    /// [`ReadError::BehindRetention`] if the record at `from` was removed.
    pub fn read(
        &mut self,
        stream: &StreamName,
        from: LogOffset,
        max_records: usize,
        now: MilliTime,
    ) -> Result<ReadBatch, ReadError> {
        let limit = self.limit;
        let Some(records) = self.streams.get_mut(stream) else {
            return Ok(empty_batch());
        };
        records.apply_retention(limit, now);
        records.read(from.get(), max_records)
    }

    /// Removes the records of a stream before `first`.
    pub fn trim_before(&mut self, stream: &StreamName, first: LogOffset) {
        if let Some(records) = self.streams.get_mut(stream) {
            while records.first < first.get() && records.remove_first() {}
        }
    }
}

impl StreamRecords {
    fn tail(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn remove_first(&mut self) -> bool {
        let dropped = self.records.pop_front().is_some();
        self.first += u64::from(dropped);
        dropped
    }

    fn apply_retention(&mut self, limit: RetentionLimit, now: MilliTime) {
        while limit.records.is_some_and(|max| self.records.len() > max) {
            self.remove_first();
        }
        while let (Some(age), Some((appended_at, _))) = (limit.age, self.records.front()) {
            if now.since(*appended_at) < age {
                break;
            }
            self.remove_first();
        }
    }

    fn read(&self, from: u64, max_records: usize) -> Result<ReadBatch, ReadError> {
        let first_retained = LogOffset::new(self.first);
        let Some(skipped) = from.checked_sub(self.first) else {
            return Err(ReadError::BehindRetention { first_retained });
        };
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let kept = self.records.iter().skip(skipped).take(max_records);
        let records = (from..).zip(kept).map(|(offset, (_, payload))| LogRecord {
            offset: LogOffset::new(offset),
            payload: payload.clone(),
        });
        Ok(ReadBatch {
            records: records.collect(),
            first_retained,
            tail: LogOffset::new(self.tail()),
        })
    }
}

fn empty_batch() -> ReadBatch {
    ReadBatch {
        records: Vec::new(),
        first_retained: LogOffset::new(0),
        tail: LogOffset::new(0),
    }
}

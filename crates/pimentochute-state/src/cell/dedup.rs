//! Deduplication of records by the tags of their writers.

use std::collections::{BTreeMap, BTreeSet};

use pimentochute_base::{HostIncarnation, HostName, LogOffset};
use serde::{Deserialize, Serialize};

use super::limits::{MAX_DEDUP_WINDOW, MAX_WRITERS};
use crate::RecordTag;

/// The record tags read from the stream.
///
/// An append whose answer is lost is repeated, and the second copy could be
/// valid on its own: for example the loss of a worker that has come back, or a
/// submission that was rejected while the data centre's state was full. Since the
/// writer acts on the outcome of the first copy, later copies must have no effect.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct SeenTags {
    /// The writers with the most recent records; at most [`MAX_WRITERS`].
    writers: BTreeMap<(HostName, HostIncarnation), SeenSequences>,
}

/// The sequence numbers read from one incarnation of a host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct SeenSequences {
    /// All smaller numbers count as read.
    floor: u64,
    /// The numbers above `floor` that were read; never contains `floor`
    /// itself.
    above: BTreeSet<u64>,
    /// The offset of the writer's last record.
    last: LogOffset,
}

impl SeenTags {
    /// Records a tag and returns whether it is new.
    pub(super) fn admit(&mut self, tag: &RecordTag, offset: LogOffset) -> bool {
        let key = (tag.host.clone(), tag.incarnation);
        let writer = self.writers.entry(key).or_default();
        writer.last = offset;
        let fresh = tag.sequence >= writer.floor && writer.above.insert(tag.sequence);
        writer.compact();
        self.evict_oldest();
        fresh
    }

    fn evict_oldest(&mut self) {
        if self.writers.len() <= MAX_WRITERS {
            return;
        }
        let oldest = self.writers.iter().min_by_key(|(_, writer)| writer.last);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.writers.remove(&key);
        }
    }
}

impl SeenSequences {
    /// Raises the floor over contiguous numbers, and past the lowest gap if more
    /// than [`MAX_DEDUP_WINDOW`] numbers are above it.
    fn compact(&mut self) {
        if self.above.len() > MAX_DEDUP_WINDOW
            && let Some(lowest) = self.above.pop_first()
        {
            self.floor = lowest.saturating_add(1);
        }
        while self.above.remove(&self.floor) {
            self.floor = self.floor.saturating_add(1);
        }
    }
}

/// A writer in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WriterWire {
    /// The host.
    pub host: HostName,
    /// The incarnation of its process.
    pub incarnation: HostIncarnation,
    /// All smaller sequence numbers count as read.
    pub floor: u64,
    /// The sequence numbers above `floor` that were read, ascending.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub above: Vec<u64>,
    /// The offset of its last record.
    pub last: LogOffset,
}

impl From<&SeenTags> for Vec<WriterWire> {
    fn from(set: &SeenTags) -> Self {
        let writers = set.writers.iter();
        let wires = writers.map(|((host, incarnation), writer)| WriterWire {
            host: host.clone(),
            incarnation: *incarnation,
            floor: writer.floor,
            above: writer.above.iter().copied().collect(),
            last: writer.last,
        });
        wires.collect()
    }
}

impl TryFrom<Vec<WriterWire>> for SeenTags {
    type Error = super::SnapshotError;

    fn try_from(wires: Vec<WriterWire>) -> Result<Self, Self::Error> {
        let mut set = Self::default();
        for wire in wires {
            let fits = wire.above.len() <= MAX_DEDUP_WINDOW
                && wire.above.iter().all(|number| *number > wire.floor);
            let state = SeenSequences {
                floor: wire.floor,
                above: wire.above.into_iter().collect(),
                last: wire.last,
            };
            let known = set.writers.insert((wire.host, wire.incarnation), state);
            if !fits || known.is_some() || set.writers.len() > MAX_WRITERS {
                return Err(super::SnapshotError::TooLong { what: "writers" });
            }
        }
        Ok(set)
    }
}

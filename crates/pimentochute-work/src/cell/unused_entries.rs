//! Entries in the platform's list that are not used: another writer may have left them, or
//! the configuration does not name their pool.

use std::collections::{BTreeMap, BTreeSet};

use pimentochute_base::MilliTime;

use crate::decision::CellDecision;
use crate::worker::EntryStatus;
use crate::{WorkerKey, WorkerReport};

use super::WorkCell;

/// The largest number of entries that are kept for a pool which a later configuration may
/// name. Workers renew their entries, so that one that is not kept is read again.
const MAX_KEPT: usize = 4_096;

/// The longest text of an entry that is kept, in bytes.
const MAX_KEPT_TEXT: usize = 1_024;

/// The longest detail of an entry in a log line, in characters. Another writer chooses it.
const MAX_DETAIL: usize = 160;

/// Why an entry is not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum EntryFlaw {
    /// It cannot be decoded.
    Unreadable,
    /// Its start lies in the future.
    FutureStart,
    /// The configuration does not have its pool.
    UnknownPool,
    /// The worker at its address has answered that it is not the one of this entry.
    RefutedClaim,
}

/// The entries that are not used.
#[derive(Debug, Default)]
pub(super) struct UnusedEntries {
    /// The newest entry of each worker whose pool the configuration does not have.
    of_unknown_pools: BTreeMap<String, KeptEntry>,
    /// How many entries were not used since the last log line.
    unlogged: usize,
    last: Option<UnusedEntry>,
}

/// An entry that was not used, for the log.
#[derive(Debug)]
struct UnusedEntry {
    id: String,
    flaw: EntryFlaw,
    detail: String,
}

#[derive(Debug)]
struct KeptEntry {
    report: WorkerReport,
    /// The entry was written at this time or later, on the cell's clock; `None` if that is
    /// not known.
    written_after: Option<MilliTime>,
}

impl From<EntryFlaw> for CellDecision {
    fn from(flaw: EntryFlaw) -> Self {
        match flaw {
            EntryFlaw::Unreadable => Self::IgnoreUnreadableEntry,
            EntryFlaw::FutureStart => Self::IgnoreFutureStart,
            EntryFlaw::UnknownPool => Self::IgnoreUnknownPool,
            EntryFlaw::RefutedClaim => Self::IgnoreRefutedClaim,
        }
    }
}

impl WorkCell {
    /// Notes that an entry in the platform's list cannot be decoded because of `error`. What
    /// is known of its worker stays.
    pub fn entry_unreadable(&mut self, id: &str, error: &str) {
        self.note_unused_entry(id, EntryFlaw::Unreadable, error);
    }

    /// Counts an entry that is not used. The log names the last one each second.
    pub(super) fn note_unused_entry(&mut self, id: &str, flaw: EntryFlaw, detail: &str) {
        self.decisions.add(flaw.into());
        self.unused_entries.unlogged += 1;
        let shorten = |text: &str| text.chars().take(MAX_DETAIL).collect();
        self.unused_entries.last = Some(UnusedEntry {
            id: shorten(id),
            flaw,
            detail: shorten(detail),
        });
    }

    /// Returns whether an entry names a pool of the configuration, or the one that its worker
    /// had before: what runs in a pool that a configuration leaves out runs on.
    pub(super) fn has_usable_pool(&self, report: &WorkerReport) -> bool {
        let key = self.worker_keys.get(&report.id);
        let is_known = key.is_some_and(|key| {
            let known = &self.workers[*key].report;
            // Only a record has named a worker without an address.
            known.pool == report.pool || known.address.is_empty()
        });
        is_known || self.config.pools.contains_key(&report.pool)
    }

    /// Keeps an entry of an unknown pool until a configuration names the pool. What the entry
    /// says is not applied, but if it claims the address of another worker, that one is
    /// asked whether it is still there.
    pub(super) fn set_entry_aside(
        &mut self,
        report: WorkerReport,
        written_after: Option<MilliTime>,
    ) {
        let detail = format!("pool {}, address {}", report.pool, report.address);
        self.note_unused_entry(&report.id, EntryFlaw::UnknownPool, &detail);
        if let Some(holder) = self.address_holders.get(&report.address).copied()
            && self.workers.contains_key(holder)
        {
            self.poll_soon(holder);
        }
        let kept = &mut self.unused_entries.of_unknown_pools;
        let has_room = kept.len() < MAX_KEPT || kept.contains_key(&report.id);
        if has_room && text_size(&report) <= MAX_KEPT_TEXT {
            let id = report.id.clone();
            kept.insert(
                id,
                KeptEntry {
                    report,
                    written_after,
                },
            );
        }
    }

    /// Forgets the entry of a worker that was kept: it has been removed or replaced.
    pub(super) fn drop_kept_entry(&mut self, id: &str) {
        self.unused_entries.of_unknown_pools.remove(id);
    }

    /// Forgets the kept entries of workers that are not in the complete list `ids`.
    pub(super) fn drop_kept_entries_except(&mut self, ids: &BTreeSet<String>) {
        let kept = &mut self.unused_entries.of_unknown_pools;
        kept.retain(|id, _| ids.contains(id));
    }

    /// Applies the kept entries whose pools the configuration has now.
    pub(super) fn apply_kept_entries(&mut self) {
        let pools = &self.config.pools;
        let kept = &mut self.unused_entries.of_unknown_pools;
        let named = kept.extract_if(.., |_, entry| pools.contains_key(&entry.report.pool));
        let named: Vec<_> = named.map(|(_, entry)| entry).collect();
        for entry in named {
            self.apply_report(entry.report, entry.written_after);
        }
    }

    /// Adds the worker of a recorded run by its kept entry, if there is one: it has to be
    /// polled, although nothing starts there. The entry may be that of another writer, and
    /// wrong about the address, until the worker has answered there.
    pub(super) fn adopt_kept_entry(&mut self, id: &str) -> Option<WorkerKey> {
        let entry = self.unused_entries.of_unknown_pools.remove(id)?;
        let worker_key = self.add_worker(entry.report, true);
        let worker = &mut self.workers[worker_key];
        worker.entry = EntryStatus::Doubtful;
        worker.entry_written_after = entry.written_after;
        self.claim_address(worker_key);
        Some(worker_key)
    }

    /// Logs how many entries were not used since the last line.
    pub(super) fn log_unused_entries(&mut self) {
        let unused = &mut self.unused_entries;
        let Some(UnusedEntry { id, flaw, detail }) = unused.last.take() else {
            return;
        };
        let flaw_text: &str = flaw.into();
        log::warn!(
            worker:% = id,
            flaw = flaw_text,
            detail,
            entries = unused.unlogged,
            kept = unused.of_unknown_pools.len();
            "cell: an entry in the platform's list is not used"
        );
        unused.unlogged = 0;
    }
}

/// Returns the size of the texts of an entry, in bytes.
fn text_size(report: &WorkerReport) -> usize {
    let texts = [
        &report.id,
        &report.address,
        &report.pool,
        &report.data_centre,
    ];
    let texts = texts.into_iter().chain(&report.labels);
    texts.map(String::len).sum()
}

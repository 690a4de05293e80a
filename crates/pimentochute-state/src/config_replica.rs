//! The replicated configuration, built from the patches of the `config` stream.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use derive_more::{Display, Error};
use pimentochute_base::{ConfigVersion, KeyId, LogOffset, PatchId, stable_hash};
use serde::{Deserialize, Serialize};

use crate::config_check::{check_config, patched_config};
use crate::decode::next_record;
use crate::{
    ConfigPatch, ConfigRecord, FleetConfig, PatchAnswer, PatchEntry, PatchOperation, PatchOutcome,
    RecordError, RejectReason,
};

/// Maximum number of retained versions, the current one included. A configuration
/// of the target size takes about 100 KB, so all of them take about 3 MB.
pub const MAX_VERSIONS: usize = 32;

/// Maximum number of retained patches. At the target size there are 3,400 a day.
pub const MAX_HISTORY: usize = 4_096;

/// Maximum number of retained withdrawn keys; the oldest is evicted first.
pub const MAX_RETIRED_KEYS: usize = 16_384;

/// The configuration that results from applying the patches of the `config`
/// stream in order, with the latest versions and patches.
#[derive(Debug, Clone, Default)]
pub struct ConfigReplica {
    /// The offset of the next record to apply.
    next_offset: LogOffset,
    /// The configuration in force; its version only increases.
    current: Arc<FleetConfig>,
    /// The retained versions in ascending order; the last one is `current`.
    versions: VecDeque<Arc<FleetConfig>>,
    /// The retained patches, oldest first.
    history: VecDeque<PatchEntry>,
    /// The sequence number of each patch in `history`. The index in `history` is
    /// the number minus `evicted`.
    numbers: BTreeMap<PatchId, u64>,
    /// The number of patches that were evicted from `history`.
    evicted: u64,
    /// The retained withdrawn keys, oldest first; their identifiers cannot be used
    /// again.
    retired: VecDeque<KeyId>,
    /// The keys of `retired`, for lookup.
    retired_set: BTreeSet<KeyId>,
}

impl ConfigReplica {
    /// Creates the replica of an empty stream: version zero, which is empty.
    #[must_use]
    pub fn new() -> Self {
        let mut replica = Self::default();
        replica.versions.push_back(Arc::clone(&replica.current));
        replica
    }

    /// Applies the record at `offset`.
    ///
    /// # Errors
    /// Fails and changes nothing if `offset` is not the next one. If the payload
    /// cannot be decoded, fails and only advances the offset.
    pub fn apply(&mut self, offset: LogOffset, payload: &[u8]) -> Result<PatchAnswer, RecordError> {
        let record: ConfigRecord = next_record(&mut self.next_offset, offset, payload)?;
        let ConfigRecord::Patch(patch) = record;
        Ok(self.apply_patch(&patch))
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn current(&self) -> &Arc<FleetConfig> {
        &self.current
    }

    /// Returns a retained version; `None` if it was evicted or does not exist.
    #[must_use]
    pub fn version(&self, version: ConfigVersion) -> Option<&Arc<FleetConfig>> {
        let found = self
            .versions
            .binary_search_by_key(&version, |config| config.version);
        found.ok().and_then(|index| self.versions.get(index))
    }

    /// Returns the retained patches, oldest first.
    #[must_use]
    pub fn history(&self) -> impl ExactSizeIterator<Item = &PatchEntry> {
        self.history.iter()
    }

    /// Returns the outcome of the first patch with this identifier; `None` if no
    /// such patch is retained.
    #[must_use]
    pub fn outcome(&self, id: &PatchId) -> Option<&PatchOutcome> {
        self.entry(id).map(|entry| &entry.outcome)
    }

    /// Returns the answer for the author of a patch that was read from the log;
    /// `None` if no patch with its identifier is retained.
    #[must_use]
    pub fn answer(&self, patch: &ConfigPatch) -> Option<PatchAnswer> {
        let entry = self.entry(&patch.id)?;
        let outcome = entry.outcome.clone();
        Some(if entry.fingerprint == fingerprint(patch) {
            PatchAnswer::Repeated(outcome)
        } else {
            PatchAnswer::Conflict { other: outcome }
        })
    }

    /// Returns the offset of the next record to apply.
    #[must_use]
    pub const fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Copies the state into a snapshot, without the earlier versions.
    #[must_use]
    pub fn snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot {
            next_offset: self.next_offset,
            config: FleetConfig::clone(&self.current),
            history: self.history.iter().cloned().collect(),
            retired_keys: self.retired.iter().cloned().collect(),
        }
    }

    /// Restores a replica from a snapshot.
    ///
    /// # Errors
    /// Fails if the snapshot is inconsistent or breaks a rule of patches.
    pub fn from_snapshot(snapshot: ConfigSnapshot) -> Result<Self, ConfigSnapshotError> {
        Self::try_from(snapshot)
    }

    fn entry(&self, id: &PatchId) -> Option<&PatchEntry> {
        let number = self.numbers.get(id)?.checked_sub(self.evicted)?;
        self.history.get(usize::try_from(number).ok()?)
    }

    fn apply_patch(&mut self, patch: &ConfigPatch) -> PatchAnswer {
        if let Some(answer) = self.answer(patch) {
            return answer;
        }
        let outcome = match patched_config(&self.current, &self.retired_set, patch) {
            Ok(config) => self.accept(config, patch),
            Err(reason) => PatchOutcome::Rejected {
                current: self.current.version,
                reason,
            },
        };
        self.add_entry(PatchEntry {
            id: patch.id.clone(),
            author: history_author(patch, &outcome),
            fingerprint: fingerprint(patch),
            outcome: outcome.clone(),
        });
        PatchAnswer::First(outcome)
    }

    fn accept(&mut self, mut config: FleetConfig, patch: &ConfigPatch) -> PatchOutcome {
        config.version = self.current.version.next();
        self.current = Arc::new(config);
        self.versions.push_back(Arc::clone(&self.current));
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
        for operation in &patch.operations {
            if let PatchOperation::WithdrawKey { key } = operation {
                self.retire(key.clone());
            }
        }
        PatchOutcome::Accepted {
            version: self.current.version,
        }
    }

    fn retire(&mut self, key: KeyId) {
        self.retired_set.insert(key.clone());
        self.retired.push_back(key);
        if self.retired.len() > MAX_RETIRED_KEYS
            && let Some(oldest) = self.retired.pop_front()
        {
            self.retired_set.remove(&oldest);
        }
    }

    fn add_entry(&mut self, entry: PatchEntry) {
        let number = self.evicted.saturating_add(self.history.len() as u64);
        self.numbers.insert(entry.id.clone(), number);
        self.history.push_back(entry);
        if self.history.len() > MAX_HISTORY
            && let Some(oldest) = self.history.pop_front()
        {
            self.numbers.remove(&oldest.id);
            self.evicted = self.evicted.saturating_add(1);
        }
    }
}

/// A snapshot of a [`ConfigReplica`], as hosts publish it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigSnapshot {
    /// The offset of the next record to apply.
    pub next_offset: LogOffset,
    /// The configuration in force.
    pub config: FleetConfig,
    /// The retained patches, oldest first.
    pub history: Vec<PatchEntry>,
    /// The retained withdrawn keys, oldest first.
    pub retired_keys: Vec<KeyId>,
}

/// Why a snapshot of the configuration was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ConfigSnapshotError {
    /// The configuration breaks a rule.
    #[display("the configuration of the snapshot is not valid: {reason}")]
    Config {
        /// The broken rule.
        reason: RejectReason,
    },
    /// A patch is listed twice.
    #[display("patch {id} is listed twice; hint: load another snapshot")]
    RepeatedPatch {
        /// The patch.
        id: PatchId,
    },
    /// A withdrawn key is listed twice or is in force.
    #[display("withdrawn key {key} is listed twice or in force; hint: load another snapshot")]
    RepeatedKey {
        /// The key.
        key: KeyId,
    },
    /// A list is longer than a replica's limit.
    #[display("the snapshot has too many entries; hint: load another snapshot")]
    TooLong,
}

impl From<&ConfigReplica> for ConfigSnapshot {
    fn from(replica: &ConfigReplica) -> Self {
        replica.snapshot()
    }
}

impl TryFrom<ConfigSnapshot> for ConfigReplica {
    type Error = ConfigSnapshotError;

    fn try_from(snapshot: ConfigSnapshot) -> Result<Self, ConfigSnapshotError> {
        check_config(&snapshot.config).map_err(|reason| ConfigSnapshotError::Config { reason })?;
        if snapshot.history.len() > MAX_HISTORY || snapshot.retired_keys.len() > MAX_RETIRED_KEYS {
            return Err(ConfigSnapshotError::TooLong);
        }
        let current = Arc::new(snapshot.config);
        let mut replica = Self {
            next_offset: snapshot.next_offset,
            versions: VecDeque::from([Arc::clone(&current)]),
            current,
            ..Self::default()
        };
        for entry in snapshot.history {
            if replica.numbers.contains_key(&entry.id) {
                return Err(ConfigSnapshotError::RepeatedPatch { id: entry.id });
            }
            replica.add_entry(entry);
        }
        for key in snapshot.retired_keys {
            if replica.retired_set.contains(&key) || replica.current.keys.contains_key(&key) {
                return Err(ConfigSnapshotError::RepeatedKey { key });
            }
            replica.retire(key);
        }
        Ok(replica)
    }
}

/// Returns the author for the history; empty if it was rejected as invalid, so
/// that no text of unbounded length is retained.
fn history_author(patch: &ConfigPatch, outcome: &PatchOutcome) -> String {
    match outcome {
        PatchOutcome::Rejected {
            reason: RejectReason::BadAuthor,
            ..
        } => String::new(),
        _ => patch.author.clone(),
    }
}

/// Returns a hash of the whole patch, to tell a repeated patch from another one
/// with the same identifier.
fn fingerprint(patch: &ConfigPatch) -> u64 {
    let text = serde_json::to_string(patch).unwrap_or_default();
    stable_hash(&text)
}

//! The JSON message of the host list.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::value::RawValue;

use super::{WireError, decode_json};
use crate::HostEntry;

/// The decoded entries of a host list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostListing {
    /// The entries that could be decoded.
    pub hosts: Vec<HostEntry>,
    /// The others.
    pub unreadable: Vec<UnreadableEntry>,
}

/// An entry of a host list that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableEntry {
    /// The name of the host; `None` if not even that can be decoded.
    pub name: Option<String>,
    /// What the decoder reported.
    pub detail: String,
}

/// The last valid entries of the hosts of a list.
#[derive(Debug, Default)]
pub struct HostMemory {
    /// By name, which is unique in each role.
    entries: BTreeMap<String, Vec<HostEntry>>,
    /// The unreadable entries of the last list.
    unreadable: Vec<UnreadableEntry>,
}

#[derive(Deserialize)]
struct EntryName {
    name: String,
}

/// Decodes the answer to `GET /v1/hosts`. An entry that cannot be decoded does not make
/// the others invalid.
///
/// # Errors
/// [`WireError::Malformed`] if the bytes are not a list, or none of its entries can be
/// decoded.
pub fn decode_hosts(bytes: &[u8]) -> Result<HostListing, WireError> {
    let rows: Vec<Box<RawValue>> = decode_json(bytes)?;
    let mut listing = HostListing::default();
    let mut first_error = None;
    for row in rows {
        match serde_json::from_str(row.get()) {
            Ok(entry) => listing.hosts.push(entry),
            Err(error) => {
                let name = serde_json::from_str::<EntryName>(row.get());
                listing.unreadable.push(UnreadableEntry {
                    name: name.ok().map(|entry| entry.name),
                    detail: error.to_string(),
                });
                first_error.get_or_insert(error);
            }
        }
    }
    match first_error {
        Some(source) if listing.hosts.is_empty() => Err(WireError::Malformed { source }),
        _ => Ok(listing),
    }
}

impl HostMemory {
    /// Returns the hosts of a list. A host whose entry cannot be decoded keeps its last
    /// valid one; if it were left out, it would seem to have left.
    pub fn complete(&mut self, listing: HostListing) -> Vec<HostEntry> {
        if listing.unreadable != self.unreadable {
            for entry in &listing.unreadable {
                log::warn!(
                    "directory: An entry of the host list is invalid, host {}: {}",
                    entry.name.as_deref().unwrap_or("unknown"),
                    entry.detail
                );
            }
        }
        let mut hosts = listing.hosts;
        for name in listing
            .unreadable
            .iter()
            .filter_map(|entry| entry.name.as_ref())
        {
            let known = self.entries.get(name).map_or(&[][..], Vec::as_slice);
            let missing = known.iter().filter(|known| {
                let is_listed = |host: &HostEntry| host.name == *name && host.role == known.role;
                !hosts.iter().any(is_listed)
            });
            let missing: Vec<_> = missing.cloned().collect();
            hosts.extend(missing);
        }
        self.unreadable = listing.unreadable;
        self.entries.clear();
        for host in &hosts {
            let entries = self.entries.entry(host.name.clone()).or_default();
            entries.push(host.clone());
        }
        hosts
    }
}

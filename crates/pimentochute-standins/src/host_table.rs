//! The table of hosts that registered with the platform; does no I/O.

use std::collections::BTreeMap;

use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_platform::{HostEntry, HostRole, HostStatus};

/// The registered hosts, from which the platform answers its host list.
#[derive(Debug)]
pub struct HostTable {
    /// The hosts by role and name.
    hosts: BTreeMap<(&'static str, String), RegisteredHost>,
    /// The time after its last registration at which a host is removed.
    expiry: MilliSpan,
    /// The list to return while the table is frozen.
    frozen: Option<Vec<HostEntry>>,
}

#[derive(Debug)]
struct RegisteredHost {
    entry: HostEntry,
    registered_at: MilliTime,
    /// Set by an operator of the platform; registering again does not reset it.
    leaving: bool,
}

impl HostTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(expiry: MilliSpan) -> Self {
        Self {
            hosts: BTreeMap::new(),
            expiry,
            frozen: None,
        }
    }

    /// Adds a host, or renews its registration.
    pub fn register(&mut self, entry: HostEntry, now: MilliTime) {
        let key = (entry.role.into(), entry.name.clone());
        let leaving = self.hosts.get(&key).is_some_and(|host| host.leaving);
        let host = RegisteredHost {
            entry,
            registered_at: now,
            leaving,
        };
        self.hosts.insert(key, host);
    }

    /// Sets whether a host is leaving; returns `false` for an unknown host.
    pub fn set_leaving(&mut self, role: HostRole, name: &str, leaving: bool) -> bool {
        match self.hosts.get_mut(&(role.into(), name.to_owned())) {
            Some(host) => {
                host.leaving = leaving;
                true
            }
            None => false,
        }
    }

    /// Freezes the host list in its current state, or unfreezes it.
    pub fn set_frozen(&mut self, frozen: bool, now: MilliTime) {
        match (frozen, &self.frozen) {
            (true, None) => self.frozen = Some(self.live_entries(now)),
            (false, _) => self.frozen = None,
            (true, Some(_)) => {}
        }
    }

    /// Returns the host list, which does not change while it is frozen.
    pub fn list(&mut self, now: MilliTime) -> Vec<HostEntry> {
        match &self.frozen {
            Some(hosts) => hosts.clone(),
            None => self.live_entries(now),
        }
    }

    fn live_entries(&mut self, now: MilliTime) -> Vec<HostEntry> {
        let expiry = self.expiry;
        self.hosts
            .retain(|_, host| now.since(host.registered_at) < expiry);
        self.hosts
            .values()
            .map(RegisteredHost::listed_entry)
            .collect()
    }
}

impl RegisteredHost {
    fn listed_entry(&self) -> HostEntry {
        let mut entry = self.entry.clone();
        if self.leaving {
            entry.status = HostStatus::Leaving;
        }
        entry
    }
}

//! A host list in memory.

use std::sync::Arc;

use futures::future::BoxFuture;
use pimentochute_platform::{DirectoryError, HostDirectory, HostEntry, HostRole, HostStatus};

use crate::shared::SharedState;

/// A host list that a test sets; clones share it.
#[derive(Debug, Clone, Default)]
pub struct FakeDirectory {
    state: Arc<SharedState<DirectoryState>>,
}

#[derive(Debug, Default)]
struct DirectoryState {
    hosts: Vec<HostEntry>,
    frozen: Option<Vec<HostEntry>>,
    down: bool,
}

impl FakeDirectory {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a host, or replaces the one of the same role and name.
    pub fn put(&self, entry: HostEntry) {
        let mut state = self.state.lock();
        let same = |other: &HostEntry| other.role == entry.role && other.name == entry.name;
        state.hosts.retain(|other| !same(other));
        state.hosts.push(entry);
    }

    /// Removes a host.
    pub fn remove(&self, role: HostRole, name: &str) {
        let mut state = self.state.lock();
        let same = |other: &HostEntry| other.role == role && other.name == name;
        state.hosts.retain(|other| !same(other));
    }

    /// Sets whether a host is listed as live or leaving.
    pub fn set_status(&self, role: HostRole, name: &str, status: HostStatus) {
        let mut state = self.state.lock();
        let same = |other: &&mut HostEntry| other.role == role && other.name == name;
        if let Some(entry) = state.hosts.iter_mut().find(same) {
            entry.status = status;
        }
    }

    /// Makes every read fail.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Makes the list show its present content whatever changes, until it is
    /// set to false again.
    pub fn set_frozen(&self, frozen: bool) {
        let mut state = self.state.lock();
        state.frozen = frozen.then(|| state.hosts.clone());
    }
}

impl HostDirectory for FakeDirectory {
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<HostEntry>, DirectoryError>> {
        Box::pin(async move {
            let state = self.state.lock();
            if state.down {
                let detail = "the fake host list is down".to_owned();
                return Err(DirectoryError { detail });
            }
            Ok(state.frozen.as_ref().unwrap_or(&state.hosts).clone())
        })
    }
}

//! In-memory fake of the host directory.

use std::sync::Arc;

use futures::future::BoxFuture;
use pimentochute_platform::{DirectoryError, HostDirectory, HostEntry, HostRole, HostStatus};

use crate::shared::SharedState;

/// A host list that the test edits. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct FakeDirectory {
    state: Arc<SharedState<DirectoryState>>,
}

#[derive(Debug, Default)]
struct DirectoryState {
    hosts: Vec<HostEntry>,
    /// What reads return instead of `hosts`, while the list is frozen.
    frozen: Option<Vec<HostEntry>>,
    down: bool,
}

impl FakeDirectory {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a host, or replaces the entry with the same role and name.
    pub fn put(&self, entry: HostEntry) {
        let mut state = self.state.lock();
        let same = |other: &HostEntry| other.role == entry.role && other.name == entry.name;
        state.hosts.retain(|other| !same(other));
        state.hosts.push(entry);
    }

    /// Removes the entry with this role and name, if there is one.
    pub fn remove(&self, role: HostRole, name: &str) {
        let mut state = self.state.lock();
        let same = |other: &HostEntry| other.role == role && other.name == name;
        state.hosts.retain(|other| !same(other));
    }

    /// Sets the listed status of a host. Does nothing if it is not listed.
    pub fn set_status(&self, role: HostRole, name: &str, status: HostStatus) {
        let mut state = self.state.lock();
        let same = |other: &&mut HostEntry| other.role == role && other.name == name;
        if let Some(entry) = state.hosts.iter_mut().find(same) {
            entry.status = status;
        }
    }

    /// Sets whether every read fails.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// With `true`, makes reads return the present list and ignore later
    /// changes; with `false`, makes them return the current list again.
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

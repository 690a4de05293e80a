//! State shared by all handles of a fake.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// A mutex that ignores poisoning, so that a panic in one test thread does not
/// cause further panics that hide the first failure.
#[derive(Debug, Default)]
pub(crate) struct SharedState<T>(Mutex<T>);

impl<T> SharedState<T> {
    pub(crate) fn new(state: T) -> Self {
        Self(Mutex::new(state))
    }

    /// Locks the state. The guard must not be held across an await point.
    pub(crate) fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

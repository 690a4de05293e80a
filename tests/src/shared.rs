//! State that the handles of a fake share.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// A mutex that a panic of one test thread does not make unusable, so that
/// the first failure is the one reported.
#[derive(Debug, Default)]
pub(crate) struct SharedState<T>(Mutex<T>);

impl<T> SharedState<T> {
    /// Creates the state.
    pub(crate) fn new(state: T) -> Self {
        Self(Mutex::new(state))
    }

    /// Locks the state; the guard is never held across an await point.
    pub(crate) fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Settings of the placer.

/// Settings of a [`crate::JobPlacer`].
#[derive(Debug, Default)]
pub struct PlacerSettings {}

impl PlacerSettings {
    /// Creates the default settings.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

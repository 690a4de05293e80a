//! The configuration that the cell uses, and the terms of queues.

use crate::job::JobState;
use crate::{CellConfig, QueueTerms};

use super::WorkCell;

impl WorkCell {
    /// Applies a version of the configuration. One that is not newer than the
    /// present version is ignored.
    pub fn set_config(&mut self, config: CellConfig) {
        if config.version <= self.config.version {
            return;
        }
        log::info!(
            version:% = config.version, before:% = self.config.version;
            "cell: a configuration was applied"
        );
        self.config = config;
        self.apply_kept_entries();
        self.needs_placement = true;
    }

    /// Returns the present terms of a job's queue, or those under which the job
    /// was accepted if the queue was removed.
    pub(super) fn terms_of(&self, job: &JobState) -> QueueTerms {
        let queue = self.config.queues.get(&job.submission.queue);
        queue.map_or_else(|| job.submission.terms.clone(), QueueTerms::from)
    }
}

//! Which workers may run a step, as far as the advice service told.

use std::collections::BTreeSet;

use pimentochute_base::MilliTime;

use crate::WorkerKey;

/// The ratio of suitable workers that is assumed before the first answer, in
/// percent.
const INITIAL_ELIGIBLE_PERCENT: u64 = 40;

/// The weight of the initial assumption, in workers.
const INITIAL_WEIGHT: u64 = 20;

/// What is known about the workers of a step.
#[derive(Debug, Clone, Default)]
pub(crate) struct AdviceState {
    /// The workers that may run the step. The set does not change during a
    /// worker's life; only the tickets expire.
    pub(crate) eligible: Vec<EligibleWorker>,
    /// The workers that were asked about.
    pub(crate) requested: BTreeSet<WorkerKey>,
    /// A question is on its way.
    pub(crate) is_pending: bool,
    /// No question before this time, on the cell's clock.
    pub(crate) retry_at: MilliTime,
}

/// A worker that may run a step.
#[derive(Debug, Clone)]
pub(crate) struct EligibleWorker {
    pub(crate) worker: WorkerKey,
    pub(crate) ticket: String,
    /// The ticket is accepted before this time, on the cell's clock.
    pub(crate) valid_until: MilliTime,
}

/// How many of the workers that a queue asks about may run its steps.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EligibilityRate {
    requested: u64,
    eligible: u64,
}

impl AdviceState {
    /// Returns the ticket for a worker, if it is still accepted.
    pub(crate) fn ticket(&self, worker: WorkerKey, now: MilliTime) -> Option<&str> {
        let row = self.eligible.iter().find(|row| row.worker == worker)?;
        (row.valid_until > now).then_some(row.ticket.as_str())
    }

    /// Notes that a worker does not accept its ticket any more.
    pub(crate) fn expire_ticket(&mut self, worker: WorkerKey) {
        if let Some(row) = self.eligible.iter_mut().find(|row| row.worker == worker) {
            row.valid_until = MilliTime::ZERO;
        }
    }

    /// Forgets a worker, so that it may be asked about again.
    pub(crate) fn forget(&mut self, worker: WorkerKey) {
        self.requested.remove(&worker);
        self.eligible.retain(|row| row.worker != worker);
    }

    /// Notes an answer about `asked`.
    pub(crate) fn answer(&mut self, requested: &[WorkerKey], rows: Vec<EligibleWorker>) {
        self.is_pending = false;
        self.requested.extend(requested);
        self.eligible
            .retain(|known| !requested.contains(&known.worker));
        self.eligible.extend(rows);
    }
}

impl Default for EligibilityRate {
    fn default() -> Self {
        Self {
            requested: INITIAL_WEIGHT,
            eligible: INITIAL_WEIGHT * INITIAL_ELIGIBLE_PERCENT / 100,
        }
    }
}

impl EligibilityRate {
    /// Counts an answer.
    pub(crate) fn record(&mut self, requested: usize, eligible: usize) {
        self.requested += requested as u64;
        self.eligible += eligible as u64;
    }

    /// Returns how many workers to ask about so that about `wanted` of them
    /// may run the step, with half as many to spare.
    pub(crate) fn request_size(&self, wanted: usize) -> usize {
        let wanted = wanted as u64 * 3 / 2 + 2;
        let size = (wanted * self.requested).div_ceil(self.eligible.max(1));
        usize::try_from(size).unwrap_or(usize::MAX)
    }
}

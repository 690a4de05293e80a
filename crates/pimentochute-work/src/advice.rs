//! The answers of the advice service: which workers may run a step.

use std::collections::BTreeSet;

use pimentochute_base::MilliTime;

use crate::WorkerKey;

/// The share of eligible workers that is assumed before the first answer, in
/// percent.
const INITIAL_ELIGIBLE_PERCENT: u64 = 40;

/// The number of workers that the initial assumption counts for.
const INITIAL_WEIGHT: u64 = 20;

/// The advice about the workers for a step.
#[derive(Debug, Clone, Default)]
pub(crate) struct AdviceState {
    /// The workers that may run the step. A worker stays eligible as long as it
    /// does not restart; only its ticket expires.
    pub(crate) eligible: Vec<EligibleWorker>,
    /// The workers for which advice was received.
    pub(crate) answered: BTreeSet<WorkerKey>,
    /// The number of requests in flight.
    pub(crate) pending: u32,
    /// The earliest time of the next request, on the cell's clock.
    pub(crate) retry_at: MilliTime,
    /// When a gang last made a request, or was first able to, on the cell's clock.
    pub(crate) requested_at: Option<MilliTime>,
    /// What a late gang that fits keeps free while it requests tickets. It is dropped when
    /// the gang is considered next after the answer.
    pub(crate) claim: Option<RoomClaim>,
}

/// Workers that are kept free for a gang while tickets for them are requested.
#[derive(Debug, Clone)]
pub(crate) struct RoomClaim {
    pub(crate) workers: Vec<WorkerKey>,
    /// The claim ends at this time at the latest, on the cell's clock.
    pub(crate) until: MilliTime,
}

/// A worker that may run a step.
#[derive(Debug, Clone)]
pub(crate) struct EligibleWorker {
    pub(crate) worker: WorkerKey,
    pub(crate) ticket: String,
    /// The ticket is accepted before this time, on the cell's clock.
    pub(crate) valid_until: MilliTime,
}

/// The share of workers that may run the steps of a queue, over all first answers
/// for a step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EligibilityRate {
    requested: u64,
    eligible: u64,
}

impl AdviceState {
    /// Returns whether a request is in flight.
    pub(crate) const fn is_pending(&self) -> bool {
        self.pending > 0
    }

    /// Returns the ticket for a worker; `None` if there is none or it has expired.
    pub(crate) fn ticket(&self, worker: WorkerKey, now: MilliTime) -> Option<&str> {
        let row = self.eligible.iter().find(|row| row.worker == worker)?;
        (row.valid_until > now).then_some(row.ticket.as_str())
    }

    /// Marks the ticket for a worker as expired.
    pub(crate) fn expire_ticket(&mut self, worker: WorkerKey) {
        if let Some(row) = self.eligible.iter_mut().find(|row| row.worker == worker) {
            row.valid_until = MilliTime::ZERO;
        }
    }

    /// Removes the advice about a worker, so that it can be requested again.
    pub(crate) fn forget(&mut self, worker: WorkerKey) {
        self.answered.remove(&worker);
        self.eligible.retain(|row| row.worker != worker);
    }

    /// Replaces the advice about the `requested` workers by an answer.
    pub(crate) fn answer(&mut self, requested: &[WorkerKey], rows: Vec<EligibleWorker>) {
        self.pending = self.pending.saturating_sub(1);
        self.answered.extend(requested);
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
    /// Adds an answer about `requested` workers, of which `eligible` may run the
    /// step.
    pub(crate) fn add_answer(&mut self, requested: usize, eligible: usize) {
        self.requested += requested as u64;
        self.eligible += eligible as u64;
    }

    /// Returns how many of something have to be requested so that `wanted` of them
    /// are eligible.
    pub(crate) fn requested_for(&self, wanted: u64) -> u64 {
        (wanted * self.requested).div_ceil(self.eligible.max(1))
    }

    /// Returns how many of something that is `requested` are expected to be eligible.
    pub(crate) fn eligible_of(&self, requested: u64) -> u64 {
        requested * self.eligible / self.requested
    }

    /// Returns how many slots to request so that about one and a half times the
    /// `wanted` number of tasks, plus two, find one that is eligible.
    pub(crate) fn requested_for_tasks(&self, wanted: u64) -> u64 {
        self.requested_for(wanted * 3 / 2 + 2)
    }
}

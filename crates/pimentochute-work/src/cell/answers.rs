//! Decides which answers of workers count.
//!
//! A worker that restarts keeps its identifier and its address, and answers on different
//! connections overtake each other. So each order carries the incarnation that it is meant
//! for, and an answer says something about a worker only while that incarnation is the
//! present one. What is not admitted changes nothing but the log.

use pimentochute_base::MilliTime;

use crate::worker::EntryStatus;
use crate::{IncarnationNumber, PollCommand, StartCommand, StopCommand, WorkerKey, WorkerListing};

use super::WorkCell;

/// The order that an answer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AnswerSource {
    worker: WorkerKey,
    /// The incarnation that was the present one when the order was sent.
    incarnation: IncarnationNumber,
    token: u64,
    kind: &'static str,
}

impl From<&StartCommand> for AnswerSource {
    fn from(command: &StartCommand) -> Self {
        Self {
            worker: command.worker,
            incarnation: command.incarnation,
            token: command.token,
            kind: "start",
        }
    }
}

impl From<&StopCommand> for AnswerSource {
    fn from(command: &StopCommand) -> Self {
        Self {
            worker: command.worker,
            incarnation: command.incarnation,
            token: command.token,
            kind: "stop",
        }
    }
}

impl From<&PollCommand> for AnswerSource {
    fn from(command: &PollCommand) -> Self {
        Self {
            worker: command.worker,
            incarnation: command.incarnation,
            token: command.token,
            kind: "poll",
        }
    }
}

impl WorkCell {
    /// Returns whether the answer to an order says something about its worker as it is
    /// now: the worker is known, and has not restarted since the order was sent.
    pub(super) fn admits(&self, source: AnswerSource) -> bool {
        let Some(worker) = self.workers.get(source.worker) else {
            return false;
        };
        let is_present = source.incarnation == worker.incarnation;
        if !is_present {
            log::info!(
                worker:% = worker.report.id,
                order = source.kind,
                token = source.token,
                incarnation:% = source.incarnation,
                present:% = worker.incarnation;
                "cell: an answer of an earlier incarnation is ignored"
            );
        }
        is_present
    }

    /// Like [`WorkCell::admits`], for an answer that names no start of the worker, only the
    /// reading of its clock. The order left at `sent`, when that clock read `earliest` or
    /// more. The clock of each incarnation starts anew, so that an earlier reading is from
    /// one that is not known yet. A poll then shows it.
    pub(super) fn admits_reading(
        &mut self,
        source: AnswerSource,
        (sent, earliest): (MilliTime, MilliTime),
        reading: MilliTime,
    ) -> bool {
        if !self.admits(source) {
            return false;
        }
        // A young worker's clock may read no more than that of one which has started since.
        let took = self.now.since(sent).as_millis();
        if reading < earliest || earliest.as_millis() <= took {
            log::info!(
                worker:% = self.workers[source.worker].report.id,
                order = source.kind,
                token = source.token,
                reading:%,
                earliest:%;
                "cell: an answer is ignored: it may be from an incarnation that is not known"
            );
            self.poll_soon(source.worker);
            return false;
        }
        true
    }

    /// Updates the incarnation of a worker from a listing that is admitted. The poll was
    /// sent after the worker's last known start, so that a listing of another start is
    /// from a later one, whatever the worker's time of day says.
    pub(super) fn update_incarnation(&mut self, worker_key: WorkerKey, listing: &WorkerListing) {
        let worker = &mut self.workers[worker_key];
        let known = worker.report.started_at;
        let Some(started_at) = listing.started_at.filter(|at| *at != known) else {
            return;
        };
        worker.former_start = known;
        worker.report.started_at = started_at;
        worker.entry = EntryStatus::Outdated;
        worker.refuted_start = (started_at < known).then_some(known);
        let address = worker.report.address.clone();
        let doubted = worker.doubted.take().filter(|doubted| {
            // The answer confirms what the entry says.
            doubted.report.started_at == started_at && doubted.report.address == address
        });
        if let Some(doubted) = doubted {
            worker.is_evacuated = self.evacuation.contains(&doubted.report.data_centre);
            worker.report = doubted.report;
            worker.in_platform_list = true;
            worker.entry = EntryStatus::Current;
        }
        // An earlier time may be that of the incarnation before, if the entry in the
        // platform's list was wrong: this is no proof of a crash.
        let is_later = started_at > known;
        self.begin_incarnation(worker_key, is_later);
        if is_later {
            self.confirm_crashes(worker_key);
        }
    }
}

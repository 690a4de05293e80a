//! Which workers take no runs for long, and what their runs wait for, for the log.

use pimentochute_base::MilliSpan;

use crate::WorkerKey;

use super::WorkCell;

/// A worker that takes no runs for less than this is not logged. A takeover or a poll that
/// fails once is over by then.
const MIN_PAUSE: MilliSpan = MilliSpan::new(2_000);

/// The largest number of workers that are logged at a time, those with the longest pause
/// first.
const MAX_LOGGED: usize = 4;

impl WorkCell {
    /// Logs the workers that are in the platform's list and take no runs, and how long their
    /// runs have been without evidence.
    pub(super) fn log_paused_workers(&mut self) {
        let limit = self.start_delay.limit();
        let mut paused = Vec::new();
        for (worker_key, worker) in &mut self.workers {
            let is_expected = worker.in_platform_list && !worker.report.is_draining;
            let reason = worker.pause_reason(self.now, limit);
            if !is_expected || reason.is_none() {
                worker.paused_since = None;
                continue;
            }
            let since = *worker.paused_since.get_or_insert(self.now);
            if self.now.since(since) >= MIN_PAUSE {
                paused.push((since, worker_key));
            }
        }
        paused.sort_unstable();
        for (_, worker_key) in paused.iter().take(MAX_LOGGED) {
            self.log_paused_worker(*worker_key, paused.len());
        }
    }

    fn log_paused_worker(&self, worker_key: WorkerKey, paused: usize) {
        let worker = &self.workers[worker_key];
        let Some(reason) = worker.pause_reason(self.now, self.start_delay.limit()) else {
            return;
        };
        let reason_text: &str = reason.into();
        let (unconfirmed, first) = worker.unconfirmed_runs();
        let since = worker.paused_since.unwrap_or(self.now);
        log::warn!(
            worker:% = worker.report.id,
            reason = reason_text,
            paused_for:% = self.now.since(since),
            paused,
            runs = worker.runs.len(),
            unwanted = worker.unwanted_runs.len(),
            unconfirmed,
            oldest_ms = first.map(|first| self.now.since(first).as_millis()),
            failed_polls = worker.lease.failed_polls,
            last_answer:% = self.now.since(worker.last_answer_at);
            "cell: a worker takes no runs"
        );
    }
}

//! Applies the platform's list of workers: new, restarted and absent ones.

use std::collections::{BTreeMap, BTreeSet};

use pimentochute_base::{MilliSpan, MilliTime};

use crate::worker::{DoubtedReport, EndEvidence, EntryStatus, WorkerState};
use crate::{WorkerKey, WorkerReport};

use super::WorkCell;
use super::unused_entries::EntryFlaw;

/// An entry whose start lies further in the future than this is invalid. Otherwise it
/// would replace the worker at its address for good. The span covers clocks that jump.
const MAX_START_AHEAD: MilliSpan = MilliSpan::new(24 * 3_600_000);

impl WorkCell {
    /// Applies a worker's entry in the platform's list, of which it is not known when it
    /// was written.
    pub fn worker_reported(&mut self, report: WorkerReport) {
        self.apply_report(report, None);
    }

    /// Applies a worker's entry in the platform's list that was written at
    /// `written_after` or later, on the cell's clock.
    pub fn worker_reported_after(&mut self, report: WorkerReport, written_after: MilliTime) {
        self.apply_report(report, Some(written_after));
    }

    pub(super) fn apply_report(&mut self, report: WorkerReport, written_after: Option<MilliTime>) {
        if report.started_at > self.unix_now + MAX_START_AHEAD {
            let detail = format!("start {}", report.started_at);
            self.note_unused_entry(&report.id, EntryFlaw::FutureStart, &detail);
            return;
        }
        if !self.has_usable_pool(&report) {
            self.set_entry_aside(report, written_after);
            return;
        }
        self.drop_kept_entry(&report.id);
        let Some(key) = self.worker_keys.get(&report.id).copied() else {
            log::info!(
                worker:% = report.id, pool:% = report.pool, address:% = report.address;
                "cell: a new worker appeared in the platform's list"
            );
            let key = self.add_worker(report, true);
            self.workers[key].entry_written_after = written_after;
            self.claim_address(key);
            self.needs_placement = true;
            return;
        };
        let worker = &mut self.workers[key];
        if worker.refuted_start == Some(report.started_at) {
            self.note_unconfirmed_start(&report);
            return;
        }
        if report.started_at < worker.report.started_at {
            self.check_earlier_start(key, report);
            return;
        }
        let has_restarted = report.started_at > worker.report.started_at;
        let is_doubted = worker.refuted_start.is_some() && worker.has_answered_here()
            || (worker.has_open_restart() || worker.is_refuted())
                && report.address == worker.report.address;
        if has_restarted && is_doubted {
            self.check_start(key, &report);
            return;
        }
        if has_restarted {
            self.note_announced_restart(key);
        }
        let worker = &mut self.workers[key];
        let has_moved = report.address != worker.report.address;
        let claims_address = worker.is_replaced() || has_restarted || has_moved;
        if report.is_draining && !worker.report.is_draining {
            log::info!(worker:% = report.id, runs = worker.runs.len(); "cell: a worker is draining");
        }
        if report.capacity != worker.report.capacity {
            log::info!(
                worker:% = report.id,
                before_millis = worker.report.capacity.cpu_millis,
                capacity_millis = report.capacity.cpu_millis,
                before_mib = worker.report.capacity.memory_mib,
                capacity_mib = report.capacity.memory_mib,
                committed_millis = worker.committed.cpu_millis,
                committed_mib = worker.committed.memory_mib;
                "cell: the capacity of a worker changed"
            );
        }
        worker.in_platform_list = true;
        // Nothing but the entry names the address of a worker that has not answered.
        let is_doubtful =
            worker.answered_address.is_none() && !self.config.pools.contains_key(&report.pool);
        worker.entry = if is_doubtful {
            EntryStatus::Doubtful
        } else {
            EntryStatus::Current
        };
        // An entry is never older than one that was read before.
        worker.entry_written_after = worker.entry_written_after.max(written_after);
        if has_restarted {
            worker.former_start = worker.report.started_at;
        }
        worker.is_evacuated = self.evacuation.contains(&report.data_centre);
        worker.report = report;
        worker.has_left_address &= !has_restarted && !has_moved;
        if has_restarted {
            self.begin_incarnation(key, false);
        } else if has_moved {
            let worker = &mut self.workers[key];
            worker.lease.raise_token();
            worker.lease.next_poll_at = self.now;
        }
        if claims_address {
            self.claim_address(key);
        }
        self.needs_placement = true;
    }

    /// Asks a worker about an entry with an earlier start than the known one.
    fn check_earlier_start(&mut self, key: WorkerKey, report: WorkerReport) {
        let worker = &mut self.workers[key];
        if worker.entry == EntryStatus::Current {
            log::info!(
                worker:% = report.id,
                started_at:% = report.started_at,
                known:% = worker.report.started_at;
                "cell: an entry names an earlier start of its worker"
            );
            worker.entry = EntryStatus::Doubtful;
            self.poll_soon(key);
        }
        // An entry that names a place where the worker has not answered may have been
        // wrong about that, too, and one that only a record names has no address yet.
        let worker = &mut self.workers[key];
        if report.address != worker.report.address && !worker.has_answered_here() {
            worker.report.address = report.address;
            worker.has_left_address = false;
            worker.lease.raise_token();
            self.poll_soon(key);
            self.claim_address(key);
        }
        if self.workers[key].is_replaced() {
            // The worker that replaced it may have left the list.
            self.claim_address(key);
        }
    }

    /// Asks a worker about a later start that its entry names. It has not confirmed another
    /// one, or not yet, so that the entry alone changes nothing any more.
    fn check_start(&mut self, key: WorkerKey, report: &WorkerReport) {
        self.note_unconfirmed_start(report);
        let worker = &mut self.workers[key];
        worker.doubted = Some(DoubtedReport {
            report: report.clone(),
            read_at: self.now,
        });
        if !worker.needs_polling() {
            worker.entry = EntryStatus::Doubtful;
        }
        self.poll_soon(key);
    }

    /// Notes that the worker of an entry has not confirmed the start that the entry names.
    fn note_unconfirmed_start(&mut self, report: &WorkerReport) {
        let detail = format!("start {}", report.started_at);
        self.note_unused_entry(&report.id, EntryFlaw::RefutedClaim, &detail);
    }

    /// Marks a worker as absent from the platform's list. Its state is removed once
    /// it has no runs. The runs of a draining worker whose entry cannot have expired are
    /// requeued at once; those of other workers may still be running.
    pub fn worker_unlisted(&mut self, id: &str) {
        self.drop_kept_entry(id);
        let Some(key) = self.worker_keys.get(id).copied() else {
            return;
        };
        let worker = &mut self.workers[key];
        if !worker.in_platform_list {
            return;
        }
        worker.in_platform_list = false;
        let entry_age = worker.entry_age(self.now);
        let has_left = worker.report.is_draining
            && entry_age.is_some_and(|age| age < self.policy.clean_leave_timeout);
        log::info!(
            worker:% = id,
            runs = worker.runs.len(),
            draining = worker.report.is_draining,
            has_left,
            entry_age_ms = entry_age.map(MilliSpan::as_millis),
            last_answer:% = self.now.since(worker.last_answer_at);
            "cell: a worker left the platform's list"
        );
        if has_left {
            self.requeue_runs(key, "its worker has left");
        }
        self.needs_placement = true;
    }

    /// Marks all workers that are not in the complete list `ids` as absent from the
    /// platform's list.
    pub fn unlist_workers_except(&mut self, ids: &BTreeSet<String>) {
        self.drop_kept_entries_except(ids);
        let gone: Vec<_> = self
            .worker_keys
            .keys()
            .filter(|id| !ids.contains(*id))
            .cloned()
            .collect();
        for id in gone {
            self.worker_unlisted(&id);
        }
    }

    /// Gives a worker's address to the one of its holders that started last, unless that one
    /// has been seen to have left it. The other one has probably ended; an answer tells.
    pub(super) fn claim_address(&mut self, key: WorkerKey) {
        let report = &self.workers[key].report;
        let (address, started_at) = (report.address.clone(), report.started_at);
        let holder = self.address_holders.get(&address).copied();
        let holder = holder.filter(|holder| {
            let held = self.workers.get(*holder);
            *holder != key && held.is_some_and(|held| held.report.address == address)
        });
        if let Some(holder) = holder {
            let held = &self.workers[holder];
            let is_earlier =
                self.workers[key].has_left_address || held.report.started_at > started_at;
            if is_earlier && held.in_platform_list {
                self.replace_worker(key, holder);
                return;
            }
            if held.report.started_at < started_at {
                self.replace_worker(holder, key);
            }
        }
        let worker = &mut self.workers[key];
        worker.replaced_since = None;
        worker.has_left_address = false;
        let has_answered = worker.has_answered_here();
        self.address_holders.insert(address, key);
        if has_answered {
            self.confirm_crashes(key);
        }
    }

    fn replace_worker(&mut self, key: WorkerKey, successor: WorkerKey) {
        let worker = &self.workers[key];
        if worker.is_replaced() {
            return;
        }
        log::warn!(
            worker:% = worker.report.id,
            replaced_by:% = self.workers[successor].report.id,
            address:% = worker.report.address,
            draining = worker.report.is_draining,
            runs = worker.runs.len(),
            silence:% = self.now.since(worker.last_answer_at);
            "cell: a worker was replaced at its address"
        );
        self.workers[key].replaced_since = Some(self.now);
    }

    /// Returns whether new runs may be placed on a worker.
    pub(super) fn takes_runs(&self, worker: &WorkerState) -> bool {
        worker.takes_runs(self.now, self.start_delay.limit())
    }

    pub(super) fn add_worker(&mut self, report: WorkerReport, in_platform_list: bool) -> WorkerKey {
        let id = report.id.clone();
        let mut worker = WorkerState::new(report, self.first_token, self.inherited_until, self.now);
        worker.in_platform_list = in_platform_list;
        worker.is_evacuated = self.evacuation.contains(&worker.report.data_centre);
        let key = self.workers.insert(worker);
        self.worker_keys.insert(id, key);
        key
    }

    /// Begins a new incarnation of a worker that has restarted. It runs nothing from
    /// before, and the next poll shows which orders reached it. Answers to earlier orders
    /// are not admitted any more. The loss counts as a crash only if an answer has shown it.
    pub(super) fn begin_incarnation(&mut self, key: WorkerKey, is_crash: bool) {
        if is_crash && !self.workers[key].runs.is_empty() {
            self.count_loss(key, true);
        }
        let worker = &mut self.workers[key];
        worker.incarnation = worker.incarnation.next();
        log::info!(
            worker:% = worker.report.id,
            runs = worker.runs.len(),
            incarnation:% = worker.incarnation,
            started_at:% = worker.report.started_at;
            "cell: a worker has restarted"
        );
        worker.lease.is_polling = false;
        worker.acknowledged_end = 0;
        worker.withheld_since = None;
        worker.answered_token = 0;
        worker.applied_end = 0;
        worker.last_recorded_end = 0;
        worker.failures = 0;
        worker.speed.restart();
        worker.avoid_until = self.now;
        worker.set_unwanted_runs(BTreeMap::new());
        worker.lease.raise_token();
        worker.lease.clock = None;
        worker.lease.until = MilliTime::ZERO;
        // An earlier start may have reached the new incarnation. Its clock
        // starts anew, so it may have accepted a lease of the maximum length.
        let longest = self.policy.lease.stretched(self.policy.lease.max_lease);
        worker.lease.untracked_lease_until = self.now + longest;
        worker.lease.next_poll_at = self.now;
        for job in self.jobs.values_mut() {
            for step in &mut job.steps {
                step.advice.forget(key);
            }
        }
    }

    /// Takes its address from a worker that another one answers for, and gives it to the
    /// known worker there that started last. The time of day of a machine may have stepped
    /// back between two lives, so that the later one has the earlier start.
    pub(super) fn refute_address_holder(&mut self, key: WorkerKey) {
        let address = &self.workers[key].report.address;
        if self.address_holders.get(address) != Some(&key) {
            return;
        }
        let others = self.workers.iter().filter(|(other_key, other)| {
            *other_key != key
                && other.in_platform_list
                && other.report.address == *address
                && !other.has_left_address
        });
        let latest = others.max_by_key(|(_, other)| other.report.started_at);
        let Some((successor, _)) = latest else {
            return;
        };
        self.note_refuted_claim(key);
        self.workers[key].has_left_address = true;
        self.replace_worker(key, successor);
        self.address_holders
            .remove(&self.workers[successor].report.address);
        self.claim_address(successor);
        self.poll_soon(successor);
    }

    /// Applies the answer of another worker to a poll of this one: it does not run at its
    /// address.
    pub(super) fn note_other_answer(&mut self, key: WorkerKey) {
        self.workers[key].doubted = None;
        self.refute_address_holder(key);
        let worker = &mut self.workers[key];
        worker.has_left_address |= worker.is_replaced() || worker.has_answered_here();
        self.requeue_replaced();
    }

    /// Applies that a worker has answered a poll, sent at `sent`, at its address. One whose
    /// address was claimed before is alive, so that the claim is wrong. The first answer of
    /// an incarnation shows that the workers which it replaces have ended.
    pub(super) fn note_own_answer(&mut self, key: WorkerKey, sent: MilliTime, is_first: bool) {
        let worker = &self.workers[key];
        if worker.replaced_since.is_some_and(|since| sent >= since) {
            self.reclaim_address(key);
        }
        let worker = &mut self.workers[key];
        worker.has_left_address = false;
        if worker
            .doubted
            .as_ref()
            .is_some_and(|doubted| sent >= doubted.read_at)
        {
            worker.doubted = None;
        }
        let address = &self.workers[key].report.address;
        if is_first && self.address_holders.get(address) == Some(&key) {
            self.confirm_crashes(key);
            self.requeue_replaced();
        }
    }

    /// Gives its address back to a worker that has answered there.
    fn reclaim_address(&mut self, key: WorkerKey) {
        let address = self.workers[key].report.address.clone();
        let holder = self.address_holders.insert(address.clone(), key);
        let worker = &mut self.workers[key];
        worker.replaced_since = None;
        worker.has_left_address = false;
        let Some(holder) = holder.filter(|holder| *holder != key) else {
            return;
        };
        let held = self.workers.get(holder);
        if held.is_some_and(|held| held.report.address == address) {
            self.note_refuted_claim(holder);
            self.workers[holder].has_left_address = true;
            self.replace_worker(holder, key);
        }
    }

    /// Notes that a worker does not have the address that its entry names, unless it has
    /// answered there before.
    fn note_refuted_claim(&mut self, key: WorkerKey) {
        let worker = &self.workers[key];
        if !worker.has_answered_here() {
            let id = worker.report.id.clone();
            let detail = format!("address {}", worker.report.address);
            self.note_unused_entry(&id, EntryFlaw::RefutedClaim, &detail);
        }
    }

    /// Returns what shows that a worker which seems to be replaced has ended, if anything.
    fn end_evidence(&self, worker: &WorkerState) -> Option<EndEvidence> {
        if !worker.has_runs_here() {
            return None;
        }
        if worker.has_left_address {
            return Some(EndEvidence::OtherAnswer);
        }
        let holder = self.address_holders.get(&worker.report.address);
        let holder = holder.and_then(|holder| self.workers.get(*holder))?;
        let has_answered = holder.has_answered_here();
        has_answered.then_some(EndEvidence::SuccessorAnswer)
    }

    /// Returns the addresses that are claimed from workers with runs, and whether the claimant
    /// has not answered. Its answer tells what has become of the runs; without one, the
    /// worker that it seems to replace is polled as well.
    pub(super) fn contested_addresses(&self) -> BTreeMap<String, bool> {
        let replaced = self.workers.values();
        replaced
            .filter(|worker| worker.is_replaced() && !worker.runs.is_empty())
            .map(|worker| {
                let address = &worker.report.address;
                let holder = self.address_holders.get(address);
                let holder = holder.and_then(|holder| self.workers.get(*holder));
                let is_silent = holder.is_none_or(|holder| holder.lease.failed_polls > 0);
                (address.clone(), is_silent)
            })
            .collect()
    }

    /// Requeues the runs of workers that were replaced, whether or not the successor is known.
    pub(super) fn requeue_replaced(&mut self) {
        let replaced: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_replaced() || worker.has_left_address)
            .filter(|(_, worker)| !worker.runs.is_empty())
            .filter_map(|(worker_key, worker)| Some((worker_key, self.end_evidence(worker)?)))
            .collect();
        for (worker_key, evidence) in replaced {
            let worker = &self.workers[worker_key];
            let evidence_text: &str = evidence.into();
            log::warn!(
                worker:% = worker.report.id,
                address:% = worker.report.address,
                evidence = evidence_text,
                runs = worker.runs.len();
                "cell: the runs of a replaced worker are given up"
            );
            // A worker that drains ends its runs without a crash.
            if !worker.report.is_draining {
                self.count_loss(worker_key, true);
            }
            self.requeue_runs(worker_key, "its worker was replaced");
        }
    }

    /// Removes the workers that are absent from the platform's list and have no
    /// runs.
    pub(super) fn remove_departed(&mut self) {
        let gone: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                !worker.in_platform_list && worker.runs.is_empty() && !worker.lease.is_polling
            })
            .map(|(key, worker)| (key, worker.report.id.clone()))
            .collect();
        for (key, id) in gone {
            if let Some(worker) = self.workers.remove(key) {
                self.first_token = self.first_token.max(worker.lease.token + 1);
                if self.address_holders.get(&worker.report.address) == Some(&key) {
                    self.address_holders.remove(&worker.report.address);
                }
            }
            self.worker_keys.remove(&id);
        }
    }
}

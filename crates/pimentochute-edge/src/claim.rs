//! Leader election: which host owns the cell.
//!
//! The newest claim in the log names the owner. A host appends its claim only
//! if the topic still ends where the host has read it, so that only one of two
//! competing hosts wins. The epoch of the claim is the fencing token against
//! the records and orders of earlier owners.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pimentochute_base::{EpochNumber, MilliSpan, MilliTime};
use pimentochute_work::{decode_record, encode_record};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::claim_pacing::ClaimPacing;
use crate::context::EdgeContext;
use crate::failure_detector::{FailureDetector, OwnerFailure};
use crate::members::HostGroup;
use crate::{AppendCall, KeyedRecord, StoreError};

/// The topic that holds the claims.
pub(crate) const CLAIM_TOPIC: &str = "keyed.cells";

/// The key of the claims; the platform has a single cell.
const CELL_KEY: &str = "cell-0";

/// How long a read of the topic blocks until there is a new claim.
const READ_WAIT: MilliSpan = MilliSpan::new(5_000);

/// The delay before a failed read is retried.
const RETRY_DELAY: MilliSpan = MilliSpan::new(150);

/// The shortest time between two reads because the known owner does not answer.
const REFRESH_INTERVAL: MilliSpan = MilliSpan::new(1_000);

/// The interval at which a host checks whether it should claim the cell.
const CHECK_INTERVAL: MilliSpan = MilliSpan::new(100);

/// After a release, the other hosts wait this long for the claim of the
/// designated successor.
const DESIGNATION_DELAY: MilliSpan = MilliSpan::new(300);

/// The delay of a claim for each rank, so that rank 0 claims first. Concurrent claims do no harm: one of them wins.
const RANK_DELAY: MilliSpan = MilliSpan::new(60);

/// The delay of a claim while there is a larger host. The owner does most of
/// the work of a cell, and a small host may be too slow for it.
const LARGER_HOST_DELAY: MilliSpan = MilliSpan::new(600);

/// The largest rank that counts for the delay. After a power failure, the lowest
/// ranks may belong for a while to hosts that are gone; the limit bounds the wait
/// of the first live host.
const MAX_RANK_STEPS: u32 = 8;

/// A host replaces a suspected owner only if the log has answered it within this
/// time.
const MAX_JOIN_ANSWER_AGE: MilliSpan = MilliSpan::new(700);

/// A host's claim to own the cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerClaim {
    /// The number of the owner's term; each new owner increments it.
    pub(crate) epoch: EpochNumber,
    /// The group member that owns the cell; empty if the owner released it.
    pub(crate) member: String,
    /// The address at which other hosts call the owner.
    pub(crate) address: String,
    /// The group member that a releasing owner designates as the next owner;
    /// empty if it designates none.
    #[serde(rename = "heir")]
    pub(crate) designated_successor: String,
}

/// Why a host claims the cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum ClaimReason {
    /// There is no claim yet.
    Unclaimed,
    /// The newest claim is that of this host, which runs no term.
    Unconfirmed,
    /// The owner released the cell.
    Released,
    /// The host of the owner refuses calls.
    Refused,
    /// The owner answers nobody, and its heartbeats have stopped.
    Silent,
    /// The owner answers nobody.
    Unreachable,
    /// The owner has left the group of hosts.
    LeftGroup,
}

impl From<OwnerFailure> for ClaimReason {
    fn from(failure: OwnerFailure) -> Self {
        match failure {
            OwnerFailure::Refused => Self::Refused,
            OwnerFailure::Silent => Self::Silent,
            OwnerFailure::Unreachable => Self::Unreachable,
        }
    }
}

/// The newest claim that this host knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct ClaimView {
    pub(crate) claim: Option<OwnerClaim>,
    /// The offset up to which the topic was read; `None` before the first read.
    pub(crate) end: Option<u64>,
    /// When the claim was received; before the first claim, when the topic was
    /// read first.
    pub(crate) received_at: MilliTime,
    /// The claims of the last seconds.
    pub(crate) pacing: ClaimPacing,
}

/// Reads the claims from the log, and claims the cell when it has no owner, or
/// its owner has failed or left the group.
#[derive(Clone)]
pub(crate) struct ClaimFeed {
    context: EdgeContext,
    group: HostGroup,
    view: watch::Sender<ClaimView>,
    detector: Arc<Mutex<FailureDetector>>,
    /// When the last read by [`ClaimFeed::refresh`] began; locked during the read.
    refreshed_at: Arc<tokio::sync::Mutex<Option<MilliTime>>>,
}

impl ClaimFeed {
    pub(crate) fn new(context: EdgeContext, group: HostGroup) -> Self {
        Self {
            context,
            group,
            view: watch::Sender::new(ClaimView::default()),
            detector: Arc::default(),
            refreshed_at: Arc::default(),
        }
    }

    /// Returns a receiver that is notified of each new claim.
    pub(crate) fn subscribe(&self) -> watch::Receiver<ClaimView> {
        self.view.subscribe()
    }

    /// Returns the newest claim that this host knows.
    pub(crate) fn newest(&self) -> Option<OwnerClaim> {
        self.view.borrow().claim.clone()
    }

    /// Adopts a newer claim that another host knows; used while the log does not
    /// answer this one.
    pub(crate) fn update_from_peer(&self, claim: OwnerClaim) {
        let now = self.context.clock.now();
        self.view.send_if_modified(|view| {
            let known = view.claim.as_ref().map(|known| known.epoch);
            if known.is_some_and(|known| known >= claim.epoch) {
                return false;
            }
            log::info!(epoch:% = claim.epoch, owner:% = claim.member; "claim: another host knows a newer claim");
            view.claim = Some(claim);
            view.received_at = now;
            view.pacing.record_claim(now);
            true
        });
    }

    /// Records that the owner of `epoch` has loaded the cell.
    pub(crate) fn record_load(&self, epoch: EpochNumber) {
        self.view.send_if_modified(|view| {
            if view
                .claim
                .as_ref()
                .is_some_and(|claim| claim.epoch == epoch)
            {
                view.pacing.record_load();
            }
            // Nobody waits for it.
            false
        });
    }

    /// Returns the address of the owner; `None` if the cell has no owner.
    pub(crate) fn owner_address(&self) -> Option<String> {
        let view = self.view.borrow();
        let claim = view.claim.as_ref().filter(|claim| !claim.member.is_empty());
        claim.map(|claim| claim.address.clone())
    }

    /// Returns whether the newest known claim names this host.
    pub(crate) fn is_owner(&self) -> bool {
        let view = self.view.borrow();
        let claim = view.claim.as_ref();
        claim.is_some_and(|claim| *claim.member == *self.context.member)
    }

    /// Reads the claims from the log until `stop`.
    pub(crate) async fn run(&self, stop: CancellationToken) {
        let mut offset = None;
        while !stop.is_cancelled() {
            let result = tokio::select! {
                () = stop.cancelled() => return,
                result = self.read_next(offset) => result,
            };
            match result {
                Ok(next) => offset = Some(next),
                Err(error) => {
                    if matches!(error, StoreError::RecordsExpired { .. }) {
                        offset = None;
                    }
                    tokio::time::sleep(RETRY_DELAY.as_duration()).await;
                }
            }
        }
    }

    async fn read_next(&self, offset: Option<u64>) -> Result<u64, StoreError> {
        let store = &self.context.ports.store;
        let (records, next) = match offset {
            None => {
                let page = store.newest(CLAIM_TOPIC, None).await?;
                (page.records, page.end)
            }
            Some(from) => {
                let page = store.read(CLAIM_TOPIC, from, READ_WAIT).await?;
                (page.records, page.next)
            }
        };
        let newest = records.iter().rfind(|record| record.key == CELL_KEY);
        let claim = newest.and_then(|record| {
            let claim = decode_record::<OwnerClaim>(&record.value);
            claim
                .inspect_err(|error| log::error!("claim: cannot decode a claim: {error}"))
                .ok()
        });
        self.update(claim, next);
        Ok(next)
    }

    /// Reads the newest claim from the log beside the blocking read, whose connection
    /// may have gone silent. Does nothing if such a read is open or began within
    /// [`REFRESH_INTERVAL`].
    pub(crate) async fn refresh(&self) {
        let Ok(mut refreshed_at) = self.refreshed_at.try_lock() else {
            return;
        };
        let now = self.context.clock.now();
        if refreshed_at.is_some_and(|at| now.since(at) < REFRESH_INTERVAL) {
            return;
        }
        *refreshed_at = Some(now);
        if let Err(error) = self.read_next(None).await {
            log::debug!(error:%; "claim: reading the newest claim failed");
        }
    }

    /// Reads the newest claim from the log, and returns whether it is that of this
    /// host with `epoch`. If so, no other host was the owner before this call.
    pub(crate) async fn confirm(&self, epoch: EpochNumber) -> Result<bool, StoreError> {
        self.read_next(None).await?;
        let is_newest = self.newest().is_some_and(|claim| claim.epoch == epoch);
        Ok(is_newest && self.is_owner())
    }

    /// Records the claim and the end of the topic. An older end or epoch is
    /// ignored.
    fn update(&self, claim: Option<OwnerClaim>, end: u64) {
        let now = self.context.clock.now();
        self.view.send_if_modified(|view| {
            if view.end.is_some_and(|known| known > end) {
                return false;
            }
            let is_first = view.end.is_none();
            view.end = Some(end);
            if is_first {
                view.received_at = now;
            }
            let Some(claim) = claim else { return is_first };
            let known = view.claim.as_ref().map(|known| known.epoch);
            if known.is_some_and(|known| known > claim.epoch) || view.claim.as_ref() == Some(&claim)
            {
                return is_first;
            }
            log::info!(
                epoch:% = claim.epoch, owner:% = claim.member, heir:% = claim.designated_successor;
                "claim: the cell has a new claim"
            );
            if known.is_none_or(|known| known < claim.epoch) {
                view.pacing.record_claim(now);
            }
            view.claim = Some(claim);
            view.received_at = now;
            true
        });
    }

    /// Waits until this host has claimed the cell and returns the epoch of the
    /// claim; `None` at `stop`. It does not claim before `not_before`.
    pub(crate) async fn acquire(
        &self,
        not_before: MilliTime,
        stop: &CancellationToken,
    ) -> Option<EpochNumber> {
        let mut view = self.subscribe();
        loop {
            tokio::select! {
                () = stop.cancelled() => return None,
                _ = view.changed() => {}
                () = tokio::time::sleep(CHECK_INTERVAL.as_duration()) => {}
            }
            if self.context.clock.now() >= not_before
                && let Some(epoch) = self.try_claim().await
            {
                return Some(epoch);
            }
        }
    }

    async fn try_claim(&self) -> Option<EpochNumber> {
        let view = self.view.borrow().clone();
        let end = view.end?;
        let reason = self.claim_reason(&view)?;
        self.log_attempt(&view, reason);
        let previous = view
            .claim
            .as_ref()
            .map_or(EpochNumber::default(), |claim| claim.epoch);
        let claim = OwnerClaim {
            epoch: previous.next(),
            member: self.context.member.to_string(),
            address: self.context.settings.peer_address().to_string(),
            designated_successor: String::new(),
        };
        match self.append(&claim, end).await {
            Ok(end) => {
                let epoch = claim.epoch;
                self.update(Some(claim), end);
                Some(epoch)
            }
            Err(error) => {
                // The next read shows whether the claim took effect after all
                // or another host won.
                log::info!(epoch:% = claim.epoch, error:%; "claim: the log did not confirm the claim of this host");
                None
            }
        }
    }

    /// Logs why this host claims the cell, with the state of the owner as this host sees it.
    fn log_attempt(&self, view: &ClaimView, reason: ClaimReason) {
        let now = self.context.clock.now();
        let previous = view.claim.as_ref();
        let epoch = previous.map_or(EpochNumber::default(), |claim| claim.epoch);
        let detector = *self.detector();
        let text = |age: Option<MilliSpan>| age.map_or("-".to_owned(), |age| age.to_string());
        let reason_name: &str = reason.into();
        log::info!(
            reason = reason_name,
            epoch:% = epoch.next(),
            owner:% = previous.map_or("-", |claim| claim.member.as_str()),
            claim_age:% = now.since(view.received_at),
            heartbeat_age:% = text(detector.heartbeat_age(now)),
            suspected_for:% = text(detector.suspected_since(epoch).map(|since| now.since(since))),
            missed_calls = detector.missed_calls(),
            recent_takeovers = view.pacing.recent(now);
            "claim: this host claims the cell"
        );
    }

    /// Returns why this host should claim the cell now; `None` if it should not.
    fn claim_reason(&self, view: &ClaimView) -> Option<ClaimReason> {
        let now = self.context.clock.now();
        let Some(claim) = &view.claim else {
            // When all hosts start together, the list of members may still be
            // missing and not show a larger host.
            let may_claim = self.group.is_standby()
                && (!self.group.has_larger_host()
                    || now.since(view.received_at) > LARGER_HOST_DELAY);
            return may_claim.then_some(ClaimReason::Unclaimed);
        };
        let is_log_healthy = self.group.join_answer_age() < MAX_JOIN_ANSWER_AGE;
        if *claim.member == *self.context.member {
            // This process has claimed the cell but no term is running, so the
            // append took effect and its answer was lost.
            return is_log_healthy.then_some(ClaimReason::Unconfirmed);
        }
        let is_designated =
            claim.member.is_empty() && *claim.designated_successor == *self.context.member;
        let Some(rank) = self.group.claim_rank() else {
            return is_designated.then_some(ClaimReason::Released);
        };
        let delay = u64::from(rank.min(MAX_RANK_STEPS)) * RANK_DELAY.as_millis();
        let mut delay = MilliSpan::new(delay);
        // After an outage the group may not list the larger hosts yet, but the
        // last owner and its successor were chosen among all hosts.
        let was_larger = self.group.is_larger(&claim.member)
            || self.group.is_larger(&claim.designated_successor);
        if was_larger || self.group.has_larger_host() {
            delay = delay + LARGER_HOST_DELAY;
        }
        if claim.member.is_empty() {
            let wait = if claim.designated_successor.is_empty() {
                delay
            } else {
                DESIGNATION_DELAY + delay
            };
            let may_claim = is_designated || now.since(view.received_at) >= wait;
            return may_claim.then_some(ClaimReason::Released);
        }
        let detector = *self.detector();
        // A takeover costs time and traffic: an owner that may only be slow gets
        // longer the more takeovers there were.
        let may_replace = detector.is_refused() || view.pacing.may_replace(view.received_at, now);
        let failure = detector.failure(claim.epoch, delay, now);
        if let Some(failure) = failure.filter(|_| may_replace && is_log_healthy) {
            return Some(failure.into());
        }
        // The list may omit a working owner, or its renewals may be late, so missed pings
        // and heartbeats are required as well.
        let has_left = rank == 0 && self.group.has_left(&claim.member, view.received_at);
        let is_dead = detector.has_missed_calls() && detector.is_silent(claim.epoch, now);
        (has_left && is_dead).then_some(ClaimReason::LeftGroup)
    }

    /// Locks the failure detector. Poisoning is ignored: each method updates
    /// the detector as a whole, so a panic of another holder leaves it valid.
    pub(crate) fn detector(&self) -> MutexGuard<'_, FailureDetector> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Releases the cell, so that the next owner need not wait for a timeout.
    /// `successor` is the group member that is designated as the next owner.
    pub(crate) async fn release(&self, epoch: EpochNumber, successor: Option<String>) {
        let view = self.view.borrow().clone();
        let Some(end) = view.end else { return };
        if view.claim.is_none_or(|claim| claim.epoch != epoch) {
            return;
        }
        let claim = OwnerClaim {
            epoch,
            member: String::new(),
            address: String::new(),
            designated_successor: successor.unwrap_or_default(),
        };
        match self.append(&claim, end).await {
            Ok(end) => self.update(Some(claim), end),
            Err(error) => log::warn!(epoch:%, error:%; "claim: releasing the cell failed"),
        }
    }

    async fn append(&self, claim: &OwnerClaim, end: u64) -> Result<u64, StoreError> {
        let value = encode_record(claim).map_err(|error| StoreError::NotDone {
            detail: error.to_string(),
        })?;
        let record = KeyedRecord {
            key: CELL_KEY.to_owned(),
            value: value.into(),
        };
        let call = AppendCall {
            topic: CLAIM_TOPIC.to_owned(),
            records: vec![record],
            stamp: None,
            expected_end: Some(end),
        };
        self.context.ports.store.append(call).await
    }
}

/// Waits until the cell has an owner and returns its address; `None` if the
/// feed has ended.
pub(crate) async fn wait_for_owner_address(
    view: &mut watch::Receiver<ClaimView>,
) -> Option<Arc<str>> {
    let found = view.wait_for(|view| {
        view.claim
            .as_ref()
            .is_some_and(|claim| !claim.member.is_empty())
    });
    let found = found.await.ok()?;
    found
        .claim
        .as_ref()
        .map(|claim| Arc::from(claim.address.as_str()))
}

//! Which host owns the cell.
//!
//! The owner is named by the newest claim in the log. A claim is appended only
//! at the end that its host has read, so that of two hosts one wins. The epoch
//! of the claim fences the records and orders of earlier owners.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pimentochute_base::{EpochNumber, MilliSpan, MilliTime};
use pimentochute_work::{decode_record, encode_record};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::context::EdgeContext;
use crate::failure_detector::FailureDetector;
use crate::members::HostGroup;
use crate::{AppendCall, KeyedRecord, StoreError};

/// The topic of the claims.
const CLAIM_TOPIC: &str = "keyed.cells";

/// The key of the only cell.
const CELL_KEY: &str = "cell-0";

/// How long a read waits for a new claim.
const READ_WAIT: MilliSpan = MilliSpan::new(5_000);

/// The pause after a failed read.
const RETRY_DELAY: MilliSpan = MilliSpan::new(150);

/// The time between two looks whether the cell has an owner.
const CHECK_INTERVAL: MilliSpan = MilliSpan::new(100);

/// The time in which the chosen heir claims a cell that was given up, before
/// the successor does.
const DESIGNATION_DELAY: MilliSpan = MilliSpan::new(300);

/// The time that each host gives the one before it for its claim. Claims that
/// meet do no harm: one of them wins.
const RANK_DELAY: MilliSpan = MilliSpan::new(60);

/// The time that a host gives larger ones for their claim. The owner does most
/// of the work of a cell, and a small host may be too slow for it.
const LARGER_HOST_DELAY: MilliSpan = MilliSpan::new(600);

/// The most turns that a host waits: after a loss of power the first
/// partitions belong for a while to hosts that are gone.
const MAX_RANK_STEPS: u32 = 8;

/// A host whose last answer from the log is older than this replaces nobody.
const MAX_LOG_ANSWER_AGE: MilliSpan = MilliSpan::new(700);

/// A host's claim to own the cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerClaim {
    /// The epoch; larger with each owner.
    pub(crate) epoch: EpochNumber,
    /// The run of the host in the group; empty if the owner gave the cell up.
    pub(crate) member: String,
    /// The address for calls of other hosts.
    pub(crate) address: String,
    /// The run of the host that the owner who gave the cell up chose as the
    /// next one; empty if it chose none.
    #[serde(rename = "heir")]
    pub(crate) designated_successor: String,
}

/// The newest claim as this host knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct ClaimView {
    pub(crate) claim: Option<OwnerClaim>,
    /// The end of the topic up to which it was read; none before the first
    /// read.
    pub(crate) end: Option<u64>,
    /// When the claim was received.
    pub(crate) received_at: MilliTime,
}

/// Follows the claims and makes one when the cell has no owner.
#[derive(Clone)]
pub(crate) struct ClaimFeed {
    context: EdgeContext,
    group: HostGroup,
    view: watch::Sender<ClaimView>,
    detector: Arc<Mutex<FailureDetector>>,
}

impl ClaimFeed {
    pub(crate) fn new(context: EdgeContext, group: HostGroup) -> Self {
        Self {
            context,
            group,
            view: watch::Sender::new(ClaimView::default()),
            detector: Arc::default(),
        }
    }

    /// Returns a receiver of claims.
    pub(crate) fn subscribe(&self) -> watch::Receiver<ClaimView> {
        self.view.subscribe()
    }

    /// Returns the newest claim that this host knows.
    pub(crate) fn newest(&self) -> Option<OwnerClaim> {
        self.view.borrow().claim.clone()
    }

    /// Learns a claim from another host, while the log does not answer this
    /// one.
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
            true
        });
    }

    /// Returns the address of the owner, if there is one.
    pub(crate) fn owner_address(&self) -> Option<String> {
        let view = self.view.borrow();
        let claim = view.claim.as_ref().filter(|claim| !claim.member.is_empty());
        claim.map(|claim| claim.address.clone())
    }

    /// Tells whether this host owns the cell, as far as it knows.
    pub(crate) fn is_owner(&self) -> bool {
        let view = self.view.borrow();
        let claim = view.claim.as_ref();
        claim.is_some_and(|claim| *claim.member == *self.context.member)
    }

    /// Follows the claims until `stop`.
    pub(crate) async fn run(&self, stop: CancellationToken) {
        let mut offset = None;
        while !stop.is_cancelled() {
            let result = tokio::select! {
                () = stop.cancelled() => return,
                result = self.step(offset) => result,
            };
            match result {
                Ok(next) => offset = Some(next),
                Err(error) => {
                    if error == StoreError::RecordsExpired {
                        offset = None;
                    }
                    tokio::time::sleep(RETRY_DELAY.as_duration()).await;
                }
            }
        }
    }

    async fn step(&self, offset: Option<u64>) -> Result<u64, StoreError> {
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
                .inspect_err(|error| log::error!("claim: a claim cannot be read: {error}"))
                .ok()
        });
        self.update(claim, next);
        Ok(next)
    }

    /// Notes what was read; an older end or epoch changes nothing.
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
            view.claim = Some(claim);
            view.received_at = now;
            true
        });
    }

    /// Waits until the cell has no owner and this host has claimed it; returns
    /// the epoch. Returns none at `stop`.
    pub(crate) async fn acquire(&self, stop: &CancellationToken) -> Option<EpochNumber> {
        let mut view = self.subscribe();
        loop {
            tokio::select! {
                () = stop.cancelled() => return None,
                _ = view.changed() => {}
                () = tokio::time::sleep(CHECK_INTERVAL.as_duration()) => {}
            }
            if let Some(epoch) = self.try_claim().await {
                return Some(epoch);
            }
        }
    }

    async fn try_claim(&self) -> Option<EpochNumber> {
        let view = self.view.borrow().clone();
        let end = view.end?;
        if !self.should_claim(&view) {
            return None;
        }
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
                // The follower reads who won, or that the claim took effect.
                log::info!(epoch:% = claim.epoch, error:%; "claim: the cell was not gained");
                None
            }
        }
    }

    /// Tells whether this host is to claim the cell now.
    fn should_claim(&self, view: &ClaimView) -> bool {
        let now = self.context.clock.now();
        let Some(claim) = &view.claim else {
            // The members are not read yet when all hosts start together.
            return self.group.is_early_successor()
                && (!self.group.has_larger_host()
                    || now.since(view.received_at) > LARGER_HOST_DELAY);
        };
        let is_log_healthy = self.group.log_answer_age() < MAX_LOG_ANSWER_AGE;
        if *claim.member == *self.context.member {
            // A claim of this run that nobody works on had no answer.
            return is_log_healthy;
        }
        let Some(rank) = self.group.successor_rank() else {
            return claim.member.is_empty() && *claim.designated_successor == *self.context.member;
        };
        let delay = u64::from(rank.min(MAX_RANK_STEPS)) * RANK_DELAY.as_millis();
        let mut delay = MilliSpan::new(delay);
        // After an outage the group may not list the larger hosts yet, but the
        // last owner was chosen among all.
        let was_larger = self.group.is_larger(&claim.member)
            || self.group.is_larger(&claim.designated_successor);
        if was_larger || self.group.has_larger_host() {
            delay = delay + LARGER_HOST_DELAY;
        }
        if claim.member.is_empty() {
            let is_designated = *claim.designated_successor == *self.context.member;
            let wait = if claim.designated_successor.is_empty() {
                delay
            } else {
                DESIGNATION_DELAY + delay
            };
            return is_designated || now.since(view.received_at) >= wait;
        }
        let detector = *self.detector();
        let suspected = detector.suspected_since(claim.epoch);
        let is_suspect = suspected.is_some_and(|since| now.since(since) >= delay);
        // The group may name an owner late that still works and answers.
        let is_gone = rank == 0 && self.group.is_gone(&claim.member, view.received_at);
        is_log_healthy && is_suspect || is_gone && detector.has_missed_calls()
    }

    /// What this host believes of the owner. Each change of it is a single
    /// step, so a panic elsewhere leaves it whole.
    pub(crate) fn detector(&self) -> MutexGuard<'_, FailureDetector> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives the cell up, so that a successor need not wait.
    /// `successor` is the run of the host that should be the next owner.
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
            Err(error) => log::warn!(epoch:%, error:%; "claim: the cell could not be given up"),
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

/// Waits until the claim is one whose owner can be called; returns its address.
pub(crate) async fn owner_address(view: &mut watch::Receiver<ClaimView>) -> Option<Arc<str>> {
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

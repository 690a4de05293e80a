//! Claims and releases slices. A slice is a part of the teams; its owner
//! schedules their jobs.

use std::sync::Arc;
use std::time::Duration;

use pimentochute_base::{
    EpochNumber, HostName, MilliClock, MilliSpan, MilliTime, SliceIndex, rendezvous_choice,
};
use pimentochute_state::{CellRecord, SliceOwner};

use super::cell::ReplicatedCell;
use super::client::RecordClient;
use super::writer::{WriterLocation, WriterSelector};
use crate::{DrainState, PeerTable};

/// The time between two checks of the slices.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The slice whose owner appends the records of all hosts of the data
/// centre. Slice 0 always exists.
const WRITER_SLICE: SliceIndex = SliceIndex::new(0);

/// The key of the rendezvous hash that selects the owner of all slices.
const OWNER_CHOICE_KEY: &str = "slice-owner";

/// Claims the slices that this host should own, and releases the others.
pub(crate) struct SliceManager {
    cell: Arc<ReplicatedCell>,
    client: RecordClient,
    peers: Arc<PeerTable>,
    clock: MilliClock,
    /// How long an owner must be silent before its slices are claimed.
    takeover_timeout: MilliSpan,
    drain_state: Arc<DrainState>,
    started_at: MilliTime,
}

/// What a host does about a slice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SliceAction {
    /// The slice keeps its owner.
    Keep,
    /// This host claims the slice under this epoch.
    Claim(EpochNumber),
    /// This host releases the slice that it owns under this epoch.
    Release(EpochNumber),
}

/// The inputs of the decision about a slice's owner.
#[derive(Debug)]
pub struct SliceFacts<'a> {
    /// The slice that the decision is about.
    pub slice: SliceIndex,
    /// This host with its current incarnation.
    pub this_host: &'a SliceOwner,
    /// The owner according to the log; `None` after a release.
    pub owner: Option<&'a SliceOwner>,
    /// The epoch according to the log.
    pub epoch: EpochNumber,
    /// Whether the owner sent a recent heartbeat and has not restarted since
    /// its claim.
    pub owner_is_live: bool,
    /// The live hosts of the data centre that are not stopping.
    pub staying: &'a [HostName],
}

impl SliceFacts<'_> {
    /// Decides what this host does.
    ///
    /// If two hosts claim at once, both name the same epoch, so the claim that
    /// is first in the log wins.
    #[must_use]
    pub fn decide(&self) -> SliceAction {
        let Some(preferred) = self.preferred() else {
            // No live hosts are known yet.
            return SliceAction::Keep;
        };
        let is_preferred = preferred == self.this_host.host.as_str();
        if self.owner == Some(self.this_host) {
            return if is_preferred {
                SliceAction::Keep
            } else {
                SliceAction::Release(self.epoch)
            };
        }
        if is_preferred && !self.owner_is_live {
            return SliceAction::Claim(self.epoch.next());
        }
        SliceAction::Keep
    }

    /// Returns the host that should own every slice.
    ///
    /// One host owns all of them because several placers over the same workers
    /// conflict: with six placers at load 1.2, 31 to 34 % of their records had
    /// no effect and the 99th percentile wait of urgent work rose from 5.5 s to
    /// 24 s and more (docs/scheduling.md). One placer can decide far more than
    /// a data centre needs.
    fn preferred(&self) -> Option<&str> {
        let hosts: Vec<&str> = self.staying.iter().map(HostName::as_str).collect();
        rendezvous_choice(OWNER_CHOICE_KEY, &hosts)
    }
}

impl SliceManager {
    /// Creates the component; it takes slices from owners silent for
    /// `takeover_timeout`.
    pub(crate) fn new(
        cell: Arc<ReplicatedCell>,
        client: RecordClient,
        peers: Arc<PeerTable>,
        clock: MilliClock,
        takeover_timeout: MilliSpan,
        drain_state: Arc<DrainState>,
    ) -> Self {
        let started_at = clock.now();
        Self {
            cell,
            client,
            peers,
            clock,
            takeover_timeout,
            drain_state,
            started_at,
        }
    }

    /// Claims and releases until its future is dropped.
    pub(crate) async fn run(&self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if self.drain_state.is_draining() {
                continue;
            }
            let records = self.due_records();
            futures::future::join_all(records.into_iter().map(|record| self.write(record))).await;
        }
    }

    /// Releases every slice of this host, for a planned stop.
    pub(crate) async fn release_all(&self) {
        let records = self
            .own_slices()
            .into_iter()
            .map(|(slice, epoch)| self.write(CellRecord::SliceReleased { slice, epoch }));
        futures::future::join_all(records).await;
    }

    fn own_slices(&self) -> Vec<(SliceIndex, EpochNumber)> {
        let replica = self.cell.read();
        let slices = (0..replica.slice_count()).map(SliceIndex::new);
        slices
            .filter_map(|slice| Some((slice, replica.slice(slice)?)))
            .filter(|(_, state)| state.owner.as_ref() == Some(self.cell.this_host()))
            .map(|(slice, state)| (slice, state.epoch))
            .collect()
    }

    fn due_records(&self) -> Vec<CellRecord> {
        let now = self.clock.now();
        let staying = self.candidate_owners(now);
        let replica = self.cell.read();
        let slices = (0..replica.slice_count()).map(SliceIndex::new);
        slices
            .filter_map(|slice| {
                let state = replica.slice(slice)?;
                let facts = SliceFacts {
                    slice,
                    this_host: self.cell.this_host(),
                    owner: state.owner.as_ref(),
                    epoch: state.epoch,
                    owner_is_live: state
                        .owner
                        .as_ref()
                        .is_some_and(|o| self.is_live_owner(o, now)),
                    staying: &staying,
                };
                self.action_record(slice, facts.decide())
            })
            .collect()
    }

    fn action_record(&self, slice: SliceIndex, action: SliceAction) -> Option<CellRecord> {
        match action {
            SliceAction::Keep => None,
            SliceAction::Claim(epoch) => Some(CellRecord::SliceClaimed {
                slice,
                host: self.cell.this_host().host.clone(),
                incarnation: self.cell.this_host().incarnation,
                epoch,
            }),
            SliceAction::Release(epoch) => Some(CellRecord::SliceReleased { slice, epoch }),
        }
    }

    /// Returns the hosts that may own slices.
    ///
    /// The list is empty shortly after the start, until every peer had time to
    /// send a heartbeat: a slice claimed from a live host would only move back
    /// and forth.
    fn candidate_owners(&self, now: MilliTime) -> Vec<HostName> {
        let all = self.peers.hosts_of(self.peers.own_centre()).len();
        let staying = self.peers.staying_hosts(now);
        if staying.len() < all && now.since(self.started_at) < self.takeover_timeout {
            return Vec::new();
        }
        staying
    }

    /// Returns whether an owner sent a recent heartbeat and has not restarted
    /// since its claim.
    fn is_live_owner(&self, owner: &SliceOwner, now: MilliTime) -> bool {
        if owner.host == self.cell.this_host().host {
            return owner.incarnation == self.cell.this_host().incarnation;
        }
        let silent = self.peers.silence(&owner.host, now) >= self.takeover_timeout;
        let replaced = self.peers.status(&owner.host).is_some_and(|status| {
            status.beat.incarnation != owner.incarnation
                && now.since(status.received) < self.takeover_timeout
        });
        !silent && !replaced
    }

    async fn write(&self, record: CellRecord) {
        let text = describe(&record);
        match self.client.record(record).await {
            Ok(outcome) => match outcome.effect {
                Ok(_) => log::info!("slices: The {text} took effect."),
                Err(reason) => log::debug!("slices: The {text} had no effect: {reason}"),
            },
            Err(error) => log::debug!("slices: Cannot record the {text}: {error}"),
        }
    }
}

/// Selects the owner of the writer slice while it is live.
pub(crate) struct SliceOwnerSelector {
    pub(crate) cell: Arc<ReplicatedCell>,
    pub(crate) peers: Arc<PeerTable>,
    pub(crate) clock: MilliClock,
}

impl WriterSelector for SliceOwnerSelector {
    fn writer(&self) -> WriterLocation {
        let replica = self.cell.read();
        let slice = replica.slice(WRITER_SLICE);
        match slice.and_then(|state| state.owner.as_ref()) {
            Some(owner) if owner == self.cell.this_host() => WriterLocation::ThisHost,
            Some(owner) if self.is_live(&owner.host) => {
                WriterLocation::OtherHost(owner.host.clone())
            }
            _ => WriterLocation::Nobody,
        }
    }
}

impl SliceOwnerSelector {
    fn is_live(&self, host: &HostName) -> bool {
        *host != self.cell.this_host().host && self.peers.is_live(host, self.clock.now())
    }
}

fn describe(record: &CellRecord) -> String {
    match record {
        CellRecord::SliceClaimed { slice, epoch, .. } => {
            format!("claim of slice {slice} under epoch {epoch}")
        }
        CellRecord::SliceReleased { slice, epoch } => {
            format!("release of slice {slice} under epoch {epoch}")
        }
        other => <&str>::from(other).to_owned(),
    }
}

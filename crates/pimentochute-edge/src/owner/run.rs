//! The life cycle of the owner: claiming the cell, running terms, and keeping
//! a copy of the records on standby hosts.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use pimentochute_base::{EpochNumber, MilliSpan, MilliTime};
use pimentochute_work::WorkCell;
use tokio::sync::{Mutex, mpsc};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use super::load::{self, LoadedOffsets};
use super::term::{OwnerTerm, TermEvent};
use super::{CellInput, JobMirror, LocalOwner};
use crate::StoreError;
use crate::claim::ClaimFeed;
use crate::config_feed::ConfigFeed;
use crate::context::EdgeContext;
use crate::heartbeat::OwnerHeartbeat;
use crate::members::HostGroup;
use crate::peer::PeerClient;

/// The capacity of the owner's channels; senders wait while one is full.
const MAX_QUEUED_INPUTS: usize = 1_024;

/// The interval at which standby hosts update their copy of the records.
const MIRROR_INTERVAL: MilliSpan = MilliSpan::new(1_000);

/// The largest number of events that a term handles between two calls
/// of `run_due_work`.
const MAX_EVENTS_PER_TICK: usize = 256;

/// How long a host owns the cell before it hands it over to a larger one. A
/// larger host that has just started must first show that it stays up.
const MIN_TERM_BEFORE_HANDOVER: MilliSpan = MilliSpan::new(2_000);

/// The interval at which the owner checks for a much larger host.
const LARGER_HOST_CHECK_INTERVAL: MilliSpan = MilliSpan::new(500);

/// The shortest time between two handovers by one host.
const HANDOVER_INTERVAL: MilliSpan = MilliSpan::new(20_000);

/// Why a term ended without an error.
#[derive(Debug, Clone, PartialEq, Eq)]
enum TermEnd {
    /// The host stops.
    Stopped,
    /// The cell goes to a larger host, named by its member name.
    HandedOver(String),
}

/// Runs a term as owner whenever this host has claimed the cell.
#[derive(Clone)]
pub(crate) struct CellOwner {
    pub(crate) context: EdgeContext,
    pub(crate) config: ConfigFeed,
    pub(crate) group: HostGroup,
    pub(crate) claims: ClaimFeed,
    pub(crate) local_owner: LocalOwner,
    pub(crate) peer_client: Arc<PeerClient>,
    /// The copy of the records, updated while this host is a standby.
    pub(crate) mirror: Arc<Mutex<JobMirror>>,
}

impl CellOwner {
    /// Claims the cell when it has no owner, or its owner has failed or left the
    /// group, and runs a term; repeats this until `stop`.
    pub(crate) async fn run(&self, stop: CancellationToken) {
        let mut handed_over_at: Option<MilliTime> = None;
        while let Some(epoch) = self.claims.acquire(&stop).await {
            let now = self.context.clock.now();
            let may_hand_over = handed_over_at.is_none_or(|at| now.since(at) > HANDOVER_INTERVAL);
            log::info!(epoch:%; "owner: a term begins");
            self.local_owner.begin_term();
            self.context.counters.count_term();
            let result = self.run_term(epoch, may_hand_over, &stop).await;
            self.local_owner.end_term();
            self.context.counters.record_cell(0, 0, 0);
            self.context.counters.record_suspects(0);
            match result {
                Ok(TermEnd::Stopped) => {
                    log::info!(epoch:%; "owner: a term ends: this host stops");
                    self.claims
                        .release(epoch, self.group.preferred_owner())
                        .await;
                }
                Ok(TermEnd::HandedOver(successor)) => {
                    log::info!(epoch:%, heir:% = successor; "owner: a term ends: handover to a larger host");
                    handed_over_at = Some(self.context.clock.now());
                    self.claims.release(epoch, Some(successor)).await;
                }
                Err(error) => log::warn!(epoch:%, error:%; "owner: a term ends"),
            }
        }
    }

    /// Updates the copy of the records while this host is a standby, until
    /// `stop`.
    pub(crate) async fn run_standby(&self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            if self.group.is_standby() && !self.claims.is_owner() {
                let caught_up = self.mirror.lock().await.catch_up(&self.context).await;
                if let Err(error) = caught_up {
                    log::debug!("owner: updating the copy of the records failed: {error}");
                }
            }
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(MIRROR_INTERVAL.as_duration()) => {}
            }
        }
    }

    async fn run_term(
        &self,
        epoch: EpochNumber,
        may_hand_over: bool,
        stop: &CancellationToken,
    ) -> Result<TermEnd, StoreError> {
        let mut config = self.config.subscribe();
        let first = tokio::select! {
            () = stop.cancelled() => return Ok(TermEnd::Stopped),
            first = config.wait_for(Option::is_some) => first.map(|first| first.clone()),
        };
        let Ok(Some(first)) = first else {
            return Ok(TermEnd::Stopped);
        };
        let heartbeat = OwnerHeartbeat::new(self.context.clone(), self.local_owner.clone(), epoch);
        let _heartbeats = AbortOnDropHandle::new(tokio::spawn(heartbeat.clone().run()));
        load::fence_log(&self.context, epoch.get()).await?;
        let clock = &self.context.clock;
        let mut cell = WorkCell::new(
            self.context.times().cell_policy(),
            epoch,
            (*first).clone(),
            clock.now(),
            clock.unix_now(),
        );
        let mut mirror = self.mirror.lock().await;
        let offsets = load::load_cell(&self.context, &mut cell, &mut mirror).await?;
        drop(mirror);
        let (events, mut event_inbox) = mpsc::channel(MAX_QUEUED_INPUTS);
        let (inputs, mut input_inbox) = mpsc::channel(MAX_QUEUED_INPUTS);
        let intake_offset = Arc::new(AtomicU64::new(offsets.intake));
        let _readers = self.spawn_readers(offsets, &intake_offset, &inputs);
        self.local_owner.open_inputs(inputs.clone());
        let mut claims = self.claims.subscribe();
        let mut term = OwnerTerm::new(self.clone(), cell, epoch, events, heartbeat.clone());
        term.inputs = Some(inputs);
        term.intake_offset = intake_offset;
        let mut next_check = clock.now() + MIN_TERM_BEFORE_HANDOVER;
        loop {
            let due = term.next_due().since(clock.now());
            let event = tokio::select! {
                () = stop.cancelled() => return Ok(TermEnd::Stopped),
                event = event_inbox.recv() => event,
                input = input_inbox.recv() => input.map(TermEvent::Input),
                changed = claims.changed() => {
                    let view = claims.borrow_and_update();
                    let is_superseded = view.claim.as_ref().is_some_and(|claim| claim.epoch > epoch);
                    if changed.is_ok() && is_superseded {
                        return Err(StoreError::Fenced);
                    }
                    None
                }
                changed = config.changed() => {
                    if changed.is_ok() && let Some(config) = &*config.borrow_and_update() {
                        term.cell.set_config((**config).clone());
                    }
                    None
                }
                () = tokio::time::sleep(due.as_duration()) => None,
            };
            term.advance();
            if let Some(event) = event {
                term.handle_event(event)?;
            }
            for _ in 0..MAX_EVENTS_PER_TICK {
                let event = event_inbox.try_recv().ok();
                let event = event.or_else(|| input_inbox.try_recv().ok().map(TermEvent::Input));
                let Some(event) = event else { break };
                term.handle_event(event)?;
            }
            term.run_due_work()?;
            heartbeat.record_progress();
            if term.cell.is_superseded() {
                return Err(StoreError::Fenced);
            }
            if may_hand_over && clock.now() >= next_check {
                next_check = clock.now() + LARGER_HOST_CHECK_INTERVAL;
                if let Some(successor) = self.group.much_larger_host() {
                    return Ok(TermEnd::HandedOver(successor));
                }
            }
        }
    }

    fn spawn_readers(
        &self,
        offsets: LoadedOffsets,
        intake_offset: &Arc<AtomicU64>,
        inputs: &mpsc::Sender<CellInput>,
    ) -> [AbortOnDropHandle<()>; 2] {
        let (owner, sender) = (self.clone(), inputs.clone());
        let next = Arc::clone(intake_offset);
        let intake = tokio::spawn(async move { owner.read_intake(next, sender).await });
        let (owner, sender) = (self.clone(), inputs.clone());
        let workers = tokio::spawn(async move { owner.read_workers(offsets, sender).await });
        [
            AbortOnDropHandle::new(intake),
            AbortOnDropHandle::new(workers),
        ]
    }
}

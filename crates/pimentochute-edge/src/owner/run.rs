//! The life cycle of the owner: claiming the cell, running terms, and keeping
//! a copy of the records on standby hosts.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use pimentochute_base::{EpochNumber, MilliSpan, MilliTime};
use pimentochute_work::{CellConfig, WorkCell};
use tokio::sync::{Mutex, mpsc};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use super::load::{self, CellRecords, LoadedOffsets};
use super::load_watch::{LoadBackoff, LoadWatch};
use super::mirror::{LoadProgress, TopicMirror};
use super::term::{OwnerTerm, TermEvent};
use super::{CellInput, JobMirror, LocalOwner, LogContact, RelayedAnswers};
use crate::StoreError;
use crate::claim::{ClaimFeed, ClaimView};
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

/// The interval at which the progress of a load is checked.
const LOAD_CHECK_INTERVAL: MilliSpan = MilliSpan::new(200);

/// While the log has not answered a host for this long, the host is no healthy owner: two
/// renewals of its membership and the time that a slow log takes.
const SILENT_LOG_AFTER: MilliSpan = MilliSpan::new(1_000);

/// The shortest time between two handovers by one host.
const HANDOVER_INTERVAL: MilliSpan = MilliSpan::new(20_000);

/// Why a term ended without an error.
#[derive(Debug, Clone, PartialEq, Eq)]
enum TermEnd {
    /// The host stops.
    Stopped,
    /// The cell goes to a larger host, named by its member name.
    HandedOver(String),
    /// The cell could not be loaded.
    NotLoaded,
}

/// The state that a term begins with.
struct LoadedCell {
    cell: WorkCell,
    offsets: LoadedOffsets,
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
    pub(crate) relayed_answers: RelayedAnswers,
    /// The copy of the records, updated while this host is a standby.
    pub(crate) mirror: Arc<Mutex<JobMirror>>,
}

impl CellOwner {
    /// Claims the cell when it has no owner, or its owner has failed or left the
    /// group, and runs a term; repeats this until `stop`.
    pub(crate) async fn run(&self, stop: CancellationToken) {
        let mut handed_over_at: Option<MilliTime> = None;
        let mut backoff = LoadBackoff::default();
        while let Some(epoch) = self.claims.acquire(backoff.ends_at(), &stop).await {
            let now = self.context.clock.now();
            let may_hand_over = handed_over_at.is_none_or(|at| now.since(at) > HANDOVER_INTERVAL);
            log::info!(epoch:%; "owner: a term begins");
            self.local_owner.begin_term();
            self.context.counters.count_term();
            let heartbeat =
                OwnerHeartbeat::new(self.context.clone(), self.local_owner.clone(), epoch);
            let result = self.run_term(epoch, &heartbeat, may_hand_over, &stop).await;
            if result == Err(StoreError::Fenced) {
                heartbeat.log_superseded();
            }
            self.local_owner.end_term();
            self.context.counters.record_cell(0, 0, 0);
            self.context.counters.record_suspects(0);
            self.context.counters.record_early_cancellations(0);
            if result == Ok(TermEnd::NotLoaded) {
                backoff.record_failure(self.context.clock.now());
            } else {
                backoff.record_success();
            }
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
                Ok(TermEnd::NotLoaded) => {
                    let successor = self.group.preferred_owner();
                    log::warn!(
                        epoch:%, heir:% = successor.as_deref().unwrap_or("-");
                        "owner: a term ends: the cell could not be loaded"
                    );
                    self.claims.release(epoch, successor).await;
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
                let mut mirror = self.mirror.lock().await;
                let progress = LoadProgress::default();
                let caught_up = mirror.catch_up(&self.context, &progress).await;
                drop(mirror);
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
        heartbeat: &OwnerHeartbeat,
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
        let mut evacuations = self.config.evacuations().subscribe();
        heartbeat.record_load_progress();
        let _heartbeats = AbortOnDropHandle::new(tokio::spawn(heartbeat.clone().run()));
        let clock = &self.context.clock;
        let progress = LoadProgress::default();
        let loaded = tokio::select! {
            () = stop.cancelled() => return Ok(TermEnd::Stopped),
            () = self.wait_until_superseded(epoch) => return Err(StoreError::Fenced),
            end = self.watch_load(&progress, heartbeat, may_hand_over) => return Ok(end),
            loaded = self.load(epoch, &first, &progress) => loaded?,
        };
        self.local_owner.set_log_contact(LogContact::Accepts);
        let LoadedCell { cell, offsets } = loaded;
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
                changed = evacuations.changed() => {
                    // The term reads the list before anything else.
                    drop(changed);
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
            heartbeat.record_progress(term.oldest_batch());
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

    /// Fences the previous owner and loads the cell. Failed calls are retried.
    ///
    /// # Errors
    /// Fails if a newer epoch has fenced this one.
    async fn load(
        &self,
        epoch: EpochNumber,
        config: &CellConfig,
        progress: &LoadProgress,
    ) -> Result<LoadedCell, StoreError> {
        load::fence_log(&self.context, epoch.get()).await?;
        let clock = &self.context.clock;
        let mut policy = self.context.times().cell_policy();
        policy.record = self.context.settings.log_limits.into();
        policy.learning = self.context.settings.learning.into();
        let mut cell = WorkCell::new(policy, epoch, config.clone(), clock.now(), clock.unix_now());
        let mut records = CellRecords {
            jobs: &mut *self.mirror.lock().await,
            workers: TopicMirror::new(self.context.ports.codec.worker_topic()),
        };
        let began_at = clock.now();
        records.read(&self.context, progress).await;
        self.wait_for_evacuations().await;
        log::info!(
            epoch:%, pages = progress.pages(), took:% = clock.now().since(began_at);
            "owner: read the records of the cell"
        );
        cell.advance(clock.now(), clock.unix_now());
        let offsets = load::load_cell(&self.context, &mut cell, &records);
        Ok(LoadedCell { cell, offsets })
    }

    /// Waits until this host knows which data centres are evacuated: the first starts of a new
    /// owner depend on it.
    async fn wait_for_evacuations(&self) {
        let mut evacuations = self.config.evacuations().subscribe();
        let known = evacuations.wait_for(|list| list.as_of.is_some());
        if known.await.is_err() {
            // The feed lives as long as this owner.
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the load should be left to another host, and returns how the term ends.
    /// While the log does not answer this host, the others are told that it is no healthy
    /// owner.
    async fn watch_load(
        &self,
        progress: &LoadProgress,
        heartbeat: &OwnerHeartbeat,
        may_hand_over: bool,
    ) -> TermEnd {
        let clock = &self.context.clock;
        let began_at = clock.now();
        let mut watch = LoadWatch::new(began_at);
        loop {
            tokio::time::sleep(LOAD_CHECK_INTERVAL.as_duration()).await;
            let now = clock.now();
            if watch.record_pages(progress.pages(), now) {
                heartbeat.record_load_progress();
            }
            let is_silent = self.group.join_answer_age() > SILENT_LOG_AFTER;
            self.local_owner.set_log_contact(if is_silent {
                LogContact::Silent
            } else {
                LogContact::Accepts
            });
            if watch.has_stalled(self.group.has_larger_host(), now) {
                return TermEnd::NotLoaded;
            }
            if may_hand_over
                && now.since(began_at) >= MIN_TERM_BEFORE_HANDOVER
                && let Some(successor) = self.group.much_larger_host()
            {
                return TermEnd::HandedOver(successor);
            }
        }
    }

    /// Waits until the log has a claim with a later epoch.
    async fn wait_until_superseded(&self, epoch: EpochNumber) {
        let mut claims = self.claims.subscribe();
        let is_later = |view: &ClaimView| {
            let claim = view.claim.as_ref();
            claim.is_some_and(|claim| claim.epoch > epoch)
        };
        if claims.wait_for(is_later).await.is_err() {
            // The feed lives as long as this owner.
            std::future::pending::<()>().await;
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

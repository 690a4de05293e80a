//! Reads the configuration and the evacuated data centres from the platform's log, and from
//! other hosts while the log does not answer.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_work::CellConfig;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::StoreError;
use crate::claim::ClaimFeed;
use crate::context::EdgeContext;
use crate::evacuation_feed::EvacuationFeed;
use crate::members::HostGroup;
use crate::outage_log::OutageLog;
use crate::owner::read_newest;
use crate::peer::PeerClient;
use crate::peer_wire::{ConfigAnswer, ConfigQuery};

/// How long a read blocks until there is a new version. Each answer confirms
/// that the version in force is the newest one.
const READ_WAIT: MilliSpan = MilliSpan::new(1_500);

/// A read blocks until this long before the grace for evacuations has passed, so that its answer
/// confirms the list in time.
const ANSWER_MARGIN: MilliSpan = MilliSpan::new(500);

/// A host asks other hosts when its last confirmation is older than this: the
/// log has not answered a read in time.
const FALLBACK_AGE: MilliSpan = MilliSpan::new(2_000);

/// A host counts as isolated when its last confirmation is older than this:
/// neither the log nor other hosts, asked several times, have answered.
const ISOLATED_AGE: MilliSpan = MilliSpan::new(2_800);

/// The interval at which other hosts are asked.
const FALLBACK_INTERVAL: MilliSpan = MilliSpan::new(300);

/// The delay before a failed read is retried.
const RETRY_DELAY: MilliSpan = MilliSpan::new(150);

/// The configuration in force on this host. Clones share their state.
#[derive(Clone)]
pub(crate) struct ConfigFeed {
    context: EdgeContext,
    group: HostGroup,
    claims: ClaimFeed,
    peer_client: Arc<PeerClient>,
    config: watch::Sender<Option<Arc<CellConfig>>>,
    evacuations: EvacuationFeed,
    /// The record of the version in force, as the operator wrote it.
    record: Arc<Mutex<Bytes>>,
    /// When the version in force and the list of evacuated data centres were last confirmed
    /// as the newest, in milliseconds of the clock; 0 before the first confirmation.
    confirmed_at: Arc<AtomicU64>,
}

impl ConfigFeed {
    pub(crate) fn new(
        context: EdgeContext,
        group: HostGroup,
        claims: ClaimFeed,
        peer_client: Arc<PeerClient>,
    ) -> Self {
        Self {
            evacuations: EvacuationFeed::new(context.clone()),
            context,
            group,
            claims,
            peer_client,
            record: Arc::default(),
            config: watch::Sender::new(None),
            confirmed_at: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Returns the configuration in force; `None` before the first one is read.
    pub(crate) fn current(&self) -> Option<Arc<CellConfig>> {
        self.config.borrow().clone()
    }

    /// Returns a receiver that is notified of each new version.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<Arc<CellConfig>>> {
        self.config.subscribe()
    }

    /// Returns the evacuated data centres, which are confirmed together with the
    /// configuration.
    pub(crate) const fn evacuations(&self) -> &EvacuationFeed {
        &self.evacuations
    }

    /// Returns the time since the configuration was last confirmed.
    pub(crate) fn age(&self) -> MilliSpan {
        let confirmed = MilliTime::new(self.confirmed_at.load(Ordering::SeqCst));
        self.context.clock.now().since(confirmed)
    }

    /// Returns whether neither the log nor another host has answered for so long
    /// that this host cannot serve callers.
    pub(crate) fn is_isolated(&self) -> bool {
        self.age() > ISOLATED_AGE
    }

    /// Reads the configuration from the log until `stop`.
    pub(crate) async fn run(&self, stop: CancellationToken) {
        let mut offset = None;
        let mut outage = OutageLog::new(
            "config: reading the configuration",
            self.context.clock.clone(),
        );
        while !stop.is_cancelled() {
            let sent_at = self.context.clock.now();
            let wait = self.read_wait();
            let result = tokio::select! {
                () = stop.cancelled() => return,
                result = self.read_next(offset, wait) => result,
            };
            match result {
                Ok((next, is_last)) => {
                    let is_idle = offset == Some(next);
                    offset = Some(next);
                    outage.record_success();
                    // An empty answer comes at the end of the wait, so it
                    // confirms the version as of then, not as of the call.
                    let waited = self.context.clock.now().since(sent_at) >= wait;
                    let confirmed = if is_idle && waited {
                        sent_at + wait
                    } else {
                        sent_at
                    };
                    if is_last {
                        self.record_confirmation(confirmed);
                    }
                }
                Err(error) => {
                    if matches!(error, StoreError::RecordsExpired { .. }) {
                        offset = None;
                    }
                    outage.record_failure(&error);
                    tokio::time::sleep(RETRY_DELAY.as_duration()).await;
                }
            }
        }
    }

    /// Asks the other hosts for the configuration and the age of their
    /// confirmation while the log does not answer this one, until `stop`.
    pub(crate) async fn run_fallback(&self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(FALLBACK_INTERVAL.as_duration()) => {}
            }
            if self.age() > FALLBACK_AGE && !self.claims.is_owner() {
                self.query_hosts().await;
            }
        }
    }

    /// Asks the owner, and then the other hosts until one has a recent
    /// confirmation. They may also know a newer owner.
    async fn query_hosts(&self) {
        let owner = self.claims.owner_address();
        let others = self.group.peers().into_iter().map(|member| member.address);
        for address in owner.into_iter().chain(others) {
            if self.query(&address).await && self.age() <= FALLBACK_AGE {
                return;
            }
        }
    }

    /// Asks a host; returns whether it answered.
    async fn query(&self, address: &str) -> bool {
        let sent_at = self.context.clock.now();
        let query = ConfigQuery {
            version: self.current().map(|config| config.version),
        };
        let answer = match self.peer_client.query_config(address, &query).await {
            Ok(answer) => answer,
            Err(error) => {
                log::debug!(host:% = address, error:%; "config: a host did not answer");
                return false;
            }
        };
        if let Some(claim) = answer.claim {
            self.claims.update_from_peer(claim);
        }
        if answer.record.is_empty() || self.apply(&answer.record) {
            if let Some(evacuations) = answer.evacuations {
                self.evacuations.adopt(evacuations);
            }
            self.record_confirmation(sent_at - answer.age);
        }
        true
    }

    /// Answers another host with the age of the confirmation, and with the
    /// version in force if the other host has a different one.
    pub(crate) fn answer(&self, query: &ConfigQuery) -> ConfigAnswer {
        // What is read after the age is at least as new as it says.
        let age = self.age();
        let evacuations = self.evacuations.answer();
        let own = self.current().map(|config| config.version);
        let record = if own == query.version {
            Bytes::new()
        } else {
            self.record
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone()
        };
        ConfigAnswer {
            age,
            record,
            claim: self.claims.newest(),
            evacuations,
        }
    }

    /// Returns how long a read blocks. It is shorter after an answer that has confirmed little:
    /// one with records says nothing about the time after the read was sent.
    fn read_wait(&self) -> MilliSpan {
        let grace = self.context.times().evacuation_grace();
        grace.map_or(READ_WAIT, |grace| {
            let left = grace.saturating_sub(self.age());
            READ_WAIT.min(left.saturating_sub(ANSWER_MARGIN))
        })
    }

    /// Reads the newest records, or waits up to `wait` for records from `offset` on. Returns
    /// the offset at which to read on, and whether that was the end of the topic.
    async fn read_next(
        &self,
        offset: Option<u64>,
        wait: MilliSpan,
    ) -> Result<(u64, bool), StoreError> {
        let (topic, key) = self.context.ports.codec.config_location();
        let store = &self.context.ports.store;
        let (records, next, is_last) = match offset {
            None => {
                let (records, end) = read_newest(&self.context, topic).await?;
                (records, end, true)
            }
            Some(from) => {
                let page = store.read(topic, from, wait).await?;
                let is_last = page.is_last();
                (page.records, page.next, is_last)
            }
        };
        let newest = records.iter().rev().filter(|record| record.key == key);
        for record in newest {
            if self.apply(&record.value) {
                break;
            }
        }
        if offset.is_none() {
            self.evacuations.replace(&records, next);
        } else {
            self.evacuations.apply(&records, next);
        }
        Ok((next, is_last))
    }

    /// Puts a version into force unless the current one is as new; returns
    /// whether it could be decoded.
    fn apply(&self, record: &Bytes) -> bool {
        let config = match self.context.ports.codec.config(record) {
            Ok(config) => config,
            Err(error) => {
                log::error!("config: cannot decode a version: {error}");
                return false;
            }
        };
        self.config.send_if_modified(|current| {
            let before = current.as_ref().map(|config| config.version);
            if before.is_some_and(|before| before >= config.version) {
                return false;
            }
            log::info!(
                version:% = config.version,
                queues = config.queues.len(),
                teams = config.teams.len();
                "config: a version is in force"
            );
            *current = Some(Arc::new(config));
            *self.record.lock().unwrap_or_else(PoisonError::into_inner) = record.clone();
            true
        });
        true
    }

    fn record_confirmation(&self, sent_at: MilliTime) {
        let before = self
            .confirmed_at
            .fetch_max(sent_at.as_millis(), Ordering::SeqCst);
        let gap = sent_at.since(MilliTime::new(before));
        if gap > self.context.times().key_grace() {
            log::info!("config: the configuration is confirmed again after {gap}");
        }
    }
}

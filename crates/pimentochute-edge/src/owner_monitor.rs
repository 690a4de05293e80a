//! Pings the owner and asks other hosts about it, to detect its failure. The
//! owner itself is not asked as a witness. Log lines of this module have the
//! prefix `claim:`; [`OwnerVerdict`] says what each verdict means.

use std::sync::Arc;

use futures::future::join_all;
use pimentochute_base::MilliSpan;
use tokio_util::sync::CancellationToken;

use crate::claim::{ClaimFeed, OwnerClaim};
use crate::context::EdgeContext;
use crate::failure_detector::{OwnerVerdict, PeerObservation};
use crate::members::HostGroup;
use crate::peer::{PING_PATH, PeerClient};
use crate::peer_wire::{ObservationQuery, OwnerAnswer, OwnerPing};

/// The interval of pings by hosts that are no standby hosts. They are needed
/// only if the standby hosts have failed as well.
const LONG_PING_INTERVAL: MilliSpan = MilliSpan::new(600);

/// The interval of pings by standby hosts, and after an unanswered ping.
const SHORT_PING_INTERVAL: MilliSpan = MilliSpan::new(150);

/// The timeout of a ping. It allows for a slow owner, which takes up to five
/// times as long as usual.
const PING_TIMEOUT: MilliSpan = MilliSpan::new(250);

/// The timeout of a query to another host, which pings the owner first.
const OBSERVATION_TIMEOUT: MilliSpan = MilliSpan::new(350);

/// The number of hosts that are asked. They are spread over the data centres,
/// so that a network failure rarely affects all of them and this host.
const QUERIED_PEERS: usize = 3;

/// Monitors the owner with periodic pings.
#[derive(Clone)]
pub(crate) struct OwnerMonitor {
    pub(crate) context: EdgeContext,
    pub(crate) group: HostGroup,
    pub(crate) claims: ClaimFeed,
    pub(crate) peer_client: Arc<PeerClient>,
}

impl OwnerMonitor {
    /// Pings the owner until `stop`, while this host has a rank. This
    /// detects a killed process, a frozen host and an owner that the log does not
    /// answer sooner than the owner's membership expires.
    pub(crate) async fn run(&self, stop: CancellationToken) {
        let mut logged = OwnerVerdict::Answers;
        while !stop.is_cancelled() {
            let has_missed_calls = self.claims.detector().has_missed_calls();
            let interval = if has_missed_calls || self.group.is_standby() {
                SHORT_PING_INTERVAL
            } else {
                LONG_PING_INTERVAL
            };
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(interval.as_duration()) => {}
            }
            let watched = self.claims.newest().filter(|claim| {
                !claim.member.is_empty()
                    && *claim.member != *self.context.member
                    && self.group.candidate_rank().is_some()
            });
            let Some(claim) = watched else {
                self.claims.detector().clear();
                continue;
            };
            let (is_answered, observations) = if has_missed_calls {
                futures::join!(self.ping(&claim), self.query_peers(&claim))
            } else {
                (self.ping(&claim).await, Vec::new())
            };
            let now = self.context.clock.now();
            let verdict =
                self.claims
                    .detector()
                    .record_call(claim.epoch, is_answered, &observations, now);
            if verdict != logged && verdict != OwnerVerdict::Unclear {
                log_verdict(&claim, verdict, &observations);
                logged = verdict;
            }
        }
    }

    /// Answers another host whether this one reaches the owner. A claim that
    /// this host knows to be superseded counts as reached.
    pub(crate) async fn observe_owner(&self, query: &ObservationQuery) -> OwnerAnswer {
        let known = self.claims.newest();
        let is_superseded = known.is_some_and(|known| known.epoch > query.claim.epoch);
        let is_own = *query.claim.member == *self.context.member;
        if is_superseded || !is_own && self.ping(&query.claim).await {
            OwnerAnswer::Owner
        } else {
            OwnerAnswer::NotOwner
        }
    }

    async fn ping(&self, claim: &OwnerClaim) -> bool {
        let ping = OwnerPing {
            member: claim.member.clone(),
        };
        let answer = self
            .peer_client
            .ask_owner(&claim.address, PING_PATH, &ping, MilliSpan::ZERO);
        let answer = tokio::time::timeout(PING_TIMEOUT.as_duration(), answer).await;
        matches!(answer, Ok(Ok(OwnerAnswer::Owner)))
    }

    async fn query_peers(&self, claim: &OwnerClaim) -> Vec<PeerObservation> {
        let mut addresses: Vec<_> = self
            .group
            .peers()
            .into_iter()
            .map(|member| member.address)
            .filter(|address| *address != claim.address)
            .collect();
        // Sorted by address, hosts of one data centre are adjacent.
        addresses.sort_unstable();
        let own = self.context.settings.peer_address().to_string();
        let first = addresses.partition_point(|address| *address < own);
        let count = addresses.len().min(QUERIED_PEERS);
        let queries = (1..=count).map(|place| {
            let index = first + place * addresses.len() / (QUERIED_PEERS + 1);
            self.query_peer(&addresses[index % addresses.len()], claim)
        });
        join_all(queries).await
    }

    async fn query_peer(&self, address: &str, claim: &OwnerClaim) -> PeerObservation {
        let query = ObservationQuery {
            claim: claim.clone(),
        };
        let answer = self.peer_client.query_observation(address, &query);
        let answer = tokio::time::timeout(OBSERVATION_TIMEOUT.as_duration(), answer).await;
        match answer {
            Ok(Ok(OwnerAnswer::Owner)) => PeerObservation::Reachable,
            Ok(Ok(_)) => PeerObservation::Unreachable,
            Ok(Err(_)) | Err(_) => PeerObservation::NoAnswer,
        }
    }
}

fn log_verdict(claim: &OwnerClaim, verdict: OwnerVerdict, observations: &[PeerObservation]) {
    let verdict_text: &str = verdict.into();
    let answered = observations
        .iter()
        .filter(|observation| **observation != PeerObservation::NoAnswer);
    let answered = answered.count();
    if verdict == OwnerVerdict::Answers {
        log::info!(epoch:% = claim.epoch, owner:% = claim.member; "claim: the owner answers");
    } else {
        log::warn!(
            epoch:% = claim.epoch, owner:% = claim.member,
            verdict = verdict_text, asked = observations.len(), heard = answered;
            "claim: the owner does not answer"
        );
    }
}

//! Pings the owner, asks other hosts about it and reads its heartbeats, to detect
//! its failure. The owner itself is not asked as a witness. Log lines of this
//! module have the prefix `claim:`; [`OwnerVerdict`] says what each verdict means.

use std::sync::Arc;

use futures::future::join_all;
use pimentochute_base::{MilliSpan, MilliTime};
use tokio_util::sync::CancellationToken;

use crate::claim::{ClaimFeed, OwnerClaim};
use crate::context::EdgeContext;
use crate::failure_detector::{OwnerVerdict, PeerObservation};
use crate::heartbeat::read_heartbeat;
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

/// The timeout of pings doubles with each unanswered one after the second, up to
/// this, so that an owner whose answers are late is heard.
const MAX_PING_TIMEOUT: MilliSpan = MilliSpan::new(1_000);

/// While the owner answers, standby hosts read its heartbeats this often.
const HEARTBEAT_READ_INTERVAL: MilliSpan = MilliSpan::new(300);

/// The timeout of a query to another host, which pings the owner first.
const OBSERVATION_TIMEOUT: MilliSpan = MilliSpan::new(350);

/// The number of hosts that are asked. They are spread over the data centres,
/// so that a network failure rarely affects all of them and this host.
const QUERIED_PEERS: usize = 3;

/// The result of a ping.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PingResult {
    /// The owner answers.
    Answered,
    /// The host answers that it does not own the cell or that the log refuses its appends,
    /// or it refuses the connection.
    Refused,
    /// There is no answer in time, or the owner has none of the log.
    NoAnswer,
}

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
        let mut heartbeat_read_at = MilliTime::ZERO;
        while !stop.is_cancelled() {
            let (has_missed_calls, missed_calls) = {
                let detector = self.claims.detector();
                (detector.has_missed_calls(), detector.missed_calls())
            };
            let is_standby = self.group.is_standby();
            let interval = if has_missed_calls || is_standby {
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
            let now = self.context.clock.now();
            let reads_heartbeat = has_missed_calls
                || is_standby && now.since(heartbeat_read_at) >= HEARTBEAT_READ_INTERVAL;
            if reads_heartbeat {
                heartbeat_read_at = now;
            }
            let peers = async {
                if has_missed_calls {
                    self.query_peers(&claim).await
                } else {
                    Vec::new()
                }
            };
            let heartbeat = async {
                if reads_heartbeat {
                    self.update_heartbeat(&claim).await;
                }
            };
            let ping = self.ping(&claim, ping_timeout(missed_calls));
            let (result, observations, ()) = futures::join!(ping, peers, heartbeat);
            let verdict = {
                let mut detector = self.claims.detector();
                let is_answered = result == PingResult::Answered;
                let now = self.context.clock.now();
                let verdict = detector.record_call(claim.epoch, is_answered, &observations, now);
                if result == PingResult::Refused {
                    detector.record_refusal();
                }
                verdict
            };
            if verdict != logged && verdict != OwnerVerdict::Unclear {
                log_verdict(&claim, verdict, result, &observations);
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
        let reaches_owner = async {
            !is_own && self.ping(&query.claim, PING_TIMEOUT).await == PingResult::Answered
        };
        if is_superseded || reaches_owner.await {
            OwnerAnswer::Owner
        } else {
            OwnerAnswer::NotOwner
        }
    }

    async fn ping(&self, claim: &OwnerClaim, timeout: MilliSpan) -> PingResult {
        let ping = OwnerPing {
            member: claim.member.clone(),
        };
        let sent_at = self.context.clock.now();
        let answer = self
            .peer_client
            .ask_owner(&claim.address, PING_PATH, &ping, timeout);
        let answer = tokio::time::timeout(timeout.as_duration(), answer).await;
        let took = self.context.clock.now().since(sent_at);
        match answer {
            Ok(Ok(OwnerAnswer::Owner)) => PingResult::Answered,
            Ok(Ok(OwnerAnswer::LogSilent)) => PingResult::NoAnswer,
            Ok(Ok(_)) => PingResult::Refused,
            // An attempt to connect that fails sooner than by its timeout was
            // refused.
            Ok(Err(error)) if error.has_no_effect() && took < PING_TIMEOUT => PingResult::Refused,
            Ok(Err(_)) | Err(_) => PingResult::NoAnswer,
        }
    }

    async fn update_heartbeat(&self, claim: &OwnerClaim) {
        match read_heartbeat(&self.context, claim.epoch).await {
            Ok((number, condition)) => {
                let now = self.context.clock.now();
                if condition.is_some_and(|condition| condition.has_loaded) {
                    self.claims.record_load(claim.epoch);
                }
                let mut detector = self.claims.detector();
                detector.record_heartbeat(claim.epoch, number, now);
                if let Some(condition) = condition {
                    detector.record_condition(claim.epoch, condition, now);
                }
            }
            Err(error) => log::debug!(error:%; "claim: reading the owner's heartbeat failed"),
        }
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

/// Returns the timeout of the next ping after a number of unanswered ones.
fn ping_timeout(missed_calls: u32) -> MilliSpan {
    let doublings = missed_calls.saturating_sub(1).min(4);
    let timeout = MilliSpan::new(PING_TIMEOUT.as_millis() << doublings);
    timeout.min(MAX_PING_TIMEOUT)
}

fn log_verdict(
    claim: &OwnerClaim,
    verdict: OwnerVerdict,
    result: PingResult,
    observations: &[PeerObservation],
) {
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
            verdict = verdict_text, refused = result == PingResult::Refused,
            asked = observations.len(), heard = answered;
            "claim: the owner does not answer"
        );
    }
}

//! Calls by which a host notices that the owner does not work.

use futures::future::join_all;
use pimentochute_base::MilliSpan;
use tokio_util::sync::CancellationToken;

use crate::claim::{ClaimFeed, OwnerClaim};
use crate::context::EdgeContext;
use crate::failure_detector::{OwnerOpinion, OwnerVerdict};
use crate::members::HostGroup;
use crate::peer::{PING_PATH, SharedCalls};
use crate::peer_wire::{OpinionQuestion, OwnerAnswer, OwnerPing};

/// The time between two calls to the owner by hosts that are not among the
/// first to take over; they matter only when the first ones are gone as well.
const FAR_PAUSE: MilliSpan = MilliSpan::new(600);

/// The time between two calls to the owner.
const NEAR_PAUSE: MilliSpan = MilliSpan::new(150);

/// The time in which the owner answers; a slow one takes up to five times as
/// long as usual.
const PING_TIMEOUT: MilliSpan = MilliSpan::new(250);

/// The time in which another host has called the owner and answers.
const OPINION_TIMEOUT: MilliSpan = MilliSpan::new(350);

/// The other hosts that are asked. They are spread over the data centres, so
/// that they are seldom cut off together with this one.
const ASKED_HOSTS: usize = 3;

/// Calls the owner again and again.
#[derive(Clone)]
pub(crate) struct OwnerWatcher {
    pub(crate) context: EdgeContext,
    pub(crate) group: HostGroup,
    pub(crate) claims: ClaimFeed,
    pub(crate) calls: SharedCalls,
}

impl OwnerWatcher {
    /// Asks the owner again and again whether it works, as long as this host
    /// is one of those that would take over. A process that was killed, a host
    /// that is frozen and an owner that lost the log are noticed sooner than
    /// by the owner's absence from the group.
    pub(crate) async fn run(&self, stop: CancellationToken) {
        let mut shown = OwnerVerdict::Answers;
        while !stop.is_cancelled() {
            let is_doubtful = self.claims.watch().is_doubtful();
            let pause = if is_doubtful || self.group.is_near_successor() {
                NEAR_PAUSE
            } else {
                FAR_PAUSE
            };
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(pause.as_duration()) => {}
            }
            let watched = self.claims.newest().filter(|claim| {
                !claim.member.is_empty()
                    && *claim.member != *self.context.member
                    && self.group.successor_rank().is_some()
            });
            let Some(claim) = watched else {
                self.claims.watch().clear();
                continue;
            };
            let (is_answered, opinions) = if is_doubtful {
                futures::join!(self.ping(&claim), self.ask_others(&claim))
            } else {
                (self.ping(&claim).await, Vec::new())
            };
            let now = self.context.clock.now();
            let verdict = self
                .claims
                .watch()
                .note(claim.epoch, is_answered, &opinions, now);
            if verdict != shown && verdict != OwnerVerdict::Unclear {
                show(&claim, verdict, &opinions);
                shown = verdict;
            }
        }
    }

    /// Answers another host what this one sees of the owner.
    pub(crate) async fn opinion(&self, question: &OpinionQuestion) -> OwnerAnswer {
        let known = self.claims.newest();
        let is_replaced = known.is_some_and(|known| known.epoch > question.claim.epoch);
        let is_own = *question.claim.member == *self.context.member;
        if is_replaced || !is_own && self.ping(&question.claim).await {
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
            .calls
            .ask_owner(&claim.address, PING_PATH, &ping, MilliSpan::ZERO);
        let answer = tokio::time::timeout(PING_TIMEOUT.as_duration(), answer).await;
        matches!(answer, Ok(Ok(OwnerAnswer::Owner)))
    }

    async fn ask_others(&self, claim: &OwnerClaim) -> Vec<OwnerOpinion> {
        let mut addresses: Vec<_> = self
            .group
            .others()
            .into_iter()
            .map(|member| member.address)
            .filter(|address| *address != claim.address)
            .collect();
        // By address, hosts of one data centre are next to each other.
        addresses.sort_unstable();
        let own = self.context.settings.peer_address().to_string();
        let first = addresses.partition_point(|address| *address < own);
        let asked = addresses.len().min(ASKED_HOSTS);
        let questions = (1..=asked).map(|place| {
            let index = first + place * addresses.len() / (ASKED_HOSTS + 1);
            self.ask_other(&addresses[index % addresses.len()], claim)
        });
        join_all(questions).await
    }

    async fn ask_other(&self, address: &str, claim: &OwnerClaim) -> OwnerOpinion {
        let question = OpinionQuestion {
            claim: claim.clone(),
        };
        let answer = self.calls.ask_opinion(address, &question);
        let answer = tokio::time::timeout(OPINION_TIMEOUT.as_duration(), answer).await;
        match answer {
            Ok(Ok(OwnerAnswer::Owner)) => OwnerOpinion::Works,
            Ok(Ok(_)) => OwnerOpinion::Silent,
            Ok(Err(_)) | Err(_) => OwnerOpinion::Unheard,
        }
    }
}

fn show(claim: &OwnerClaim, verdict: OwnerVerdict, opinions: &[OwnerOpinion]) {
    let verdict_text: &str = verdict.into();
    let heard = opinions
        .iter()
        .filter(|opinion| **opinion != OwnerOpinion::Unheard);
    let heard = heard.count();
    if verdict == OwnerVerdict::Answers {
        log::info!(epoch:% = claim.epoch, owner:% = claim.member; "claim: the owner answers");
    } else {
        log::warn!(
            epoch:% = claim.epoch, owner:% = claim.member,
            verdict = verdict_text, asked = opinions.len(), heard;
            "claim: the owner does not answer"
        );
    }
}

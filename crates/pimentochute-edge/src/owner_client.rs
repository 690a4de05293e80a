//! Sends the calls of this host's callers to the owner of the cell, here or on
//! another host. Log lines of this module have the prefix `desk:`.

use std::sync::Arc;

use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_work::ExtendedRecord;
use tokio::sync::watch;

use crate::claim::{ClaimFeed, ClaimView, wait_for_owner_address};
use crate::context::EdgeContext;
use crate::owner::LocalOwner;
use crate::peer::{CANCEL_PATH, FORWARD_PATH, PENDING_PATH, PeerClient, STATE_PATH};
use crate::peer_wire::{ForwardedJob, JobQuery, OwnerAnswer, PendingQuery, RefusalCause};

/// The delay before a request to the owner is retried.
const RETRY_DELAY: MilliSpan = MilliSpan::new(80);

/// How long a request waits for a new claim while the cell has no owner, before
/// the newest claim is read again.
const CLAIM_WAIT: MilliSpan = MilliSpan::new(500);

/// The outcome of forwarding a job to the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ForwardOutcome {
    /// The job is in the log.
    Accepted,
    /// The owner has certainly not taken the job.
    NotTaken,
    /// The owner may have taken the job.
    Unknown,
    /// The owner has not taken the job; its caller should return after this time.
    Refused(MilliSpan, RefusalCause),
}

/// Sends the requests of this host's callers to the owner of the cell.
#[derive(Clone)]
pub(crate) struct OwnerClient {
    context: EdgeContext,
    claims: ClaimFeed,
    local_owner: LocalOwner,
    peer_client: Arc<PeerClient>,
}

impl OwnerClient {
    pub(crate) const fn new(
        context: EdgeContext,
        claims: ClaimFeed,
        local_owner: LocalOwner,
        peer_client: Arc<PeerClient>,
    ) -> Self {
        Self {
            context,
            claims,
            local_owner,
            peer_client,
        }
    }

    /// Forwards a job to the owner and waits up to `timeout` until it is in the
    /// log. A job with an unknown outcome may get there later.
    pub(crate) async fn forward_job(
        &self,
        job: &ForwardedJob,
        timeout: MilliSpan,
    ) -> ForwardOutcome {
        let forwarding = async {
            if self.claims.is_owner() {
                return Ok(self.local_owner.accept_forwarded(job.clone()).await);
            }
            let Some(address) = self.claims.owner_address() else {
                return Ok(OwnerAnswer::NotOwner);
            };
            let asking = self
                .peer_client
                .ask_owner(&address, FORWARD_PATH, job, timeout);
            asking.await
        };
        let outcome = match tokio::time::timeout(timeout.as_duration(), forwarding).await {
            Ok(Ok(OwnerAnswer::Accepted)) => return ForwardOutcome::Accepted,
            Ok(Ok(OwnerAnswer::Refused { retry_after, cause })) => {
                return ForwardOutcome::Refused(retry_after, cause);
            }
            Ok(Ok(OwnerAnswer::NotOwner)) => ForwardOutcome::NotTaken,
            Ok(Err(error)) if error.has_no_effect() => ForwardOutcome::NotTaken,
            Ok(Ok(_) | Err(_)) | Err(_) => ForwardOutcome::Unknown,
        };
        self.refresh_claim();
        outcome
    }

    /// Returns the state of a job; `None` if no owner answered before
    /// `deadline`.
    pub(crate) async fn state(&self, query: JobQuery, deadline: MilliTime) -> Option<OwnerAnswer> {
        let ask_local = || self.local_owner.state(query.clone());
        self.ask(STATE_PATH, &query, deadline, ask_local).await
    }

    /// Cancels a job; `None` if no owner answered before `deadline`.
    pub(crate) async fn cancel(&self, query: JobQuery, deadline: MilliTime) -> Option<OwnerAnswer> {
        let ask_local = || self.local_owner.cancel(query.clone());
        self.ask(CANCEL_PATH, &query, deadline, ask_local).await
    }

    /// Returns the number of waiting jobs of a queue; `None` if no owner
    /// answered before `deadline`.
    pub(crate) async fn pending(
        &self,
        query: PendingQuery,
        deadline: MilliTime,
    ) -> Option<OwnerAnswer> {
        let ask_local = || self.local_owner.pending(query.clone());
        self.ask(PENDING_PATH, &query, deadline, ask_local).await
    }

    /// Reads the newest claim in the background: the cell may have another owner.
    fn refresh_claim(&self) {
        let claims = self.claims.clone();
        tokio::spawn(async move { claims.refresh().await });
    }

    /// Retries a request until an owner answers; all of them are idempotent.
    async fn ask<Q: ExtendedRecord, L: Future<Output = OwnerAnswer>>(
        &self,
        path: &str,
        query: &Q,
        deadline: MilliTime,
        ask_local: impl Fn() -> L,
    ) -> Option<OwnerAnswer> {
        let left = deadline.since(self.context.clock.now());
        let asking = async {
            let mut view = self.claims.subscribe();
            loop {
                let answer = self.ask_once(path, query, &mut view, &ask_local).await;
                match answer {
                    Some(OwnerAnswer::NotOwner | OwnerAnswer::Unanswered) | None => {}
                    Some(answer) => return answer,
                }
                self.refresh_claim();
                tokio::time::sleep(RETRY_DELAY.as_duration()).await;
            }
        };
        tokio::time::timeout(left.as_duration(), asking).await.ok()
    }

    async fn ask_once<Q: ExtendedRecord, L: Future<Output = OwnerAnswer>>(
        &self,
        path: &str,
        query: &Q,
        view: &mut watch::Receiver<ClaimView>,
        ask_local: &impl Fn() -> L,
    ) -> Option<OwnerAnswer> {
        if self.claims.is_owner() {
            return Some(ask_local().await);
        }
        let address = wait_for_owner_address(view);
        let address = tokio::time::timeout(CLAIM_WAIT.as_duration(), address);
        let address = address.await.ok()??;
        let answer = self
            .peer_client
            .ask_owner(&address, path, query, MilliSpan::ZERO);
        let answer = answer.await;
        answer
            .inspect_err(|error| log::warn!(path, owner:% = address, error:%; "desk: the owner did not answer"))
            .ok()
    }
}

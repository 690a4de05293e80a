//! Drives one accepted request to its result: waits for grants, makes attempts
//! and retries.

use std::sync::Arc;

use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_platform::EndpointRequest;
use smallvec::SmallVec;
use tokio::time::{sleep, timeout};

use crate::attempt::AttemptOutcome;
use crate::endpoint::EndpointKey;
use crate::grant::{GrantTarget, RequestGrant};
use crate::guard::{ConnectionGuard, PeerGuard, PermitGuard, SlotGuard};
use crate::hold::margin_after_deadline;
use crate::shared::{GrantResult, RouterShared};
use crate::waiter::{GrantCriteria, WaitResult};
use crate::{RequestOrigin, RouteError, RoutedAnswer, RoutedRequest};

/// How much earlier than the local deadline a peer's deadline is set, so that
/// the peer's refusal arrives before the local wait times out. Round trips
/// within a data centre take less than 2 ms.
const PEER_ANSWER_MARGIN: MilliSpan = MilliSpan::new(20);

/// An accepted request and the state of its attempts.
pub(crate) struct RequestFlow {
    pub(crate) shared: Arc<RouterShared>,
    pub(crate) request: RoutedRequest,
    /// The caller's deadline on this host's clock.
    pub(crate) deadline_at: MilliTime,
    /// The team's permit. `None` before the first grant, and if the request
    /// was forwarded by a peer that holds the permit.
    pub(crate) permit: Option<PermitGuard>,
    /// The conditions that the next grant has to meet.
    pub(crate) criteria: GrantCriteria,
    /// The time by which all attempts with an unknown outcome have ended.
    /// While it is set, no error may state that the request was not run.
    pub(crate) unknown_until: Option<MilliTime>,
    /// Whether an endpoint received the request and refused to run it.
    pub(crate) refused: bool,
    /// The number of attempts that were sent.
    pub(crate) attempts: u32,
    /// The number of consecutive attempts that could not be sent.
    pub(crate) send_failures: u32,
}

/// The next step after an attempt.
pub(crate) enum FlowStep {
    /// The request has its result.
    Done(Result<RoutedAnswer, RouteError>),
    /// Another attempt may be made after this delay.
    RetryAfter(MilliSpan),
}

impl RequestFlow {
    /// Creates the flow of an accepted request.
    pub(crate) fn new(shared: Arc<RouterShared>, request: RoutedRequest) -> Self {
        let needs_permit = request.origin.needs_permit();
        let criteria = GrantCriteria {
            service: request.service.clone(),
            team: request.team.clone(),
            needs_permit,
            forwardable: needs_permit,
            evictable: true,
            failed: SmallVec::new(),
            tried: SmallVec::new(),
            tried_peers: SmallVec::new(),
            body_bytes: request.body.len(),
        };
        Self {
            deadline_at: shared.clock.now() + request.deadline,
            shared,
            request,
            permit: None,
            criteria,
            unknown_until: None,
            refused: false,
            attempts: 0,
            send_failures: 0,
        }
    }

    /// Makes attempts until the request has a result.
    pub(crate) async fn run(mut self) -> Result<RoutedAnswer, RouteError> {
        loop {
            let target = match self.wait_for_grant().await {
                Ok(target) => target,
                Err(error) => {
                    return Err(self.final_error(
                        error,
                        "no slot or permit before the deadline, or evicted from the full queue",
                    ));
                }
            };
            let step = match target {
                GrantTarget::Endpoint(slot) => self.try_endpoint(slot).await,
                GrantTarget::Peer(peer) => self.try_peer(peer).await,
            };
            match step {
                FlowStep::Done(result) => return result,
                FlowStep::RetryAfter(delay) => {
                    let delay = delay.min(self.shared.time_left(self.deadline_at));
                    if delay > MilliSpan::ZERO {
                        sleep(delay.as_duration()).await;
                    }
                }
            }
        }
    }

    /// Waits for permission to make an attempt, until the deadline at most.
    async fn wait_for_grant(&mut self) -> Result<GrantTarget, RouteError> {
        let left = self.shared.time_left(self.deadline_at);
        if left == MilliSpan::ZERO {
            return Err(RouteError::DeadlineBeforeSend);
        }
        let grant = match self.shared.grant_or_enqueue(self.criteria.clone()) {
            GrantResult::Granted(grant) => grant,
            GrantResult::Queued(receiver, _guard) => {
                match timeout(left.as_duration(), receiver).await {
                    Ok(Ok(WaitResult::Granted(grant))) => grant,
                    Ok(Ok(WaitResult::Evicted { retry_after })) => {
                        return Err(RouteError::Overloaded { retry_after });
                    }
                    Ok(Err(_)) | Err(_) => return Err(RouteError::DeadlineBeforeSend),
                }
            }
        };
        let RequestGrant { target, permit } = grant;
        if permit.is_some() {
            self.permit = permit;
            self.criteria.needs_permit = false;
        }
        Ok(target)
    }

    /// Sends the request to an endpoint and handles the outcome.
    ///
    /// If the outcome is unknown, or the caller goes away while the request is
    /// sent, `slot` stays held until the attempt has ended.
    async fn try_endpoint(&mut self, mut slot: SlotGuard) -> FlowStep {
        let key = slot.slot.endpoint;
        let Some(name) = self.shared.endpoint_name(key) else {
            return FlowStep::RetryAfter(MilliSpan::ZERO);
        };
        let outcome = match self.obtain_live_connection(key).await {
            Err(why) => AttemptOutcome::NotSent(why),
            Ok(guard) => {
                let (span, hold_until) = self.start_attempt();
                slot.hold_until = Some(hold_until);
                self.attempts += 1;
                self.log_attempt(
                    "endpoint",
                    name.as_str(),
                    "it has the lowest share of slots in use",
                );
                let outcome = self.shared.send(guard, self.endpoint_request(span)).await;
                self.attempts -= u32::from(matches!(outcome, AttemptOutcome::NotSent(_)));
                outcome
            }
        };
        let unknown = slot
            .hold_until
            .filter(|_| matches!(outcome, AttemptOutcome::Unknown(_)));
        slot.hold_until = unknown;
        drop(slot);
        match outcome {
            AttemptOutcome::NotSent(_) => self.criteria.failed.push(key),
            _ => self.criteria.tried.push(key),
        }
        match outcome {
            AttemptOutcome::Answered(answer) => self.finish(RoutedAnswer {
                status: answer.status,
                endpoint: name.as_str().to_owned(),
                attempts: self.attempts,
                body: answer.body,
            }),
            AttemptOutcome::Refused => self.handle_refusal(name.as_str()),
            AttemptOutcome::NotSent(why) => self.handle_not_sent(name.as_str(), why),
            AttemptOutcome::Unknown(why) => self.handle_unknown(name.as_str(), why),
        }
    }

    /// Returns a connection to an endpoint that still accepts requests, or the
    /// reason why there is none.
    async fn obtain_live_connection(
        &self,
        key: EndpointKey,
    ) -> Result<ConnectionGuard, &'static str> {
        let guard = self.shared.obtain_connection(key, self.deadline_at).await?;
        // The endpoint list may have changed while the connection was opened.
        if !self.shared.is_live(key) {
            return Err("endpoint accepts no new requests or is no longer listed");
        }
        if self.shared.time_left(self.deadline_at) == MilliSpan::ZERO {
            return Err("deadline passed");
        }
        Ok(guard)
    }

    fn endpoint_request(&self, span: MilliSpan) -> EndpointRequest {
        EndpointRequest {
            id: self.request.id.clone(),
            idempotent: self.request.idempotent,
            // The attempt's own time limit, not the caller's deadline: the
            // endpoint then stops the attempt when this host does, and the
            // slot becomes free.
            deadline: span,
            body: self.request.body.clone(),
        }
    }

    /// Forwards the request to a peer and handles the outcome.
    async fn try_peer(&mut self, peer: PeerGuard) -> FlowStep {
        let host = peer.host.clone();
        self.criteria.tried_peers.push(host.clone());
        let (span, _) = self.start_attempt();
        self.log_attempt("peer", host.as_str(), "this host has no free slot");
        self.shared.lock().stats.forwarded += 1;
        let mut request = self.request.clone();
        request.origin = RequestOrigin::Peer;
        request.deadline = peer_deadline(span);
        let shared = Arc::clone(&self.shared);
        let forward = shared.peers.forward(&host, request);
        let result = timeout(span.as_duration(), forward).await;
        drop(peer);
        self.criteria.forwardable = matches!(result, Ok(Err(RouteError::PeerUnreachable)));
        self.handle_peer_result(
            host.as_str(),
            result.unwrap_or(Err(RouteError::OutcomeUnknown)),
        )
    }

    /// Prepares for sending the request; returns the time limit of the attempt
    /// and the time by which it has ended. The permit is held until then,
    /// unless the outcome becomes known.
    fn start_attempt(&mut self) -> (MilliSpan, MilliTime) {
        let left = self.shared.time_left(self.deadline_at);
        let span = if self.request.idempotent {
            left.min(self.shared.settings.attempt_timeout)
        } else {
            left
        };
        let margin = margin_after_deadline(&self.shared.settings, span);
        let hold_until = self.shared.clock.now() + span + margin;
        self.set_permit_hold(self.unknown_until.max(Some(hold_until)));
        (span, hold_until)
    }

    pub(crate) fn set_permit_hold(&mut self, hold_until: Option<MilliTime>) {
        if let Some(permit) = &mut self.permit {
            permit.hold_until = hold_until;
        }
    }
}

/// Returns the deadline for a peer. A `span` of at most twice the margin is
/// passed on unchanged.
fn peer_deadline(span: MilliSpan) -> MilliSpan {
    if span > PEER_ANSWER_MARGIN + PEER_ANSWER_MARGIN {
        span.saturating_sub(PEER_ANSWER_MARGIN)
    } else {
        span
    }
}

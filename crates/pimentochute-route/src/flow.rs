//! Processing of one request from its admission to its result.

use std::sync::Arc;

use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_platform::EndpointRequest;
use smallvec::SmallVec;
use tokio::time::{sleep, timeout};

use crate::attempt::AttemptOutcome;
use crate::endpoint::EndpointKey;
use crate::grant::{GrantTarget, RequestGrant};
use crate::guard::{ConnectionGuard, PeerGuard, PermitGuard, SlotGuard};
use crate::hold::hold_margin;
use crate::shared::{GrantState, RouterShared};
use crate::waiter::{GrantCriteria, WaitResult};
use crate::{RequestOrigin, RouteError, RoutedAnswer, RoutedRequest};

/// The time by which a peer's deadline is earlier than the own one, so that
/// its refusal arrives before the wait for it ends. Round trips within a data
/// centre are below 2 ms.
const PEER_ANSWER_MARGIN: MilliSpan = MilliSpan::new(20);

/// A request and what has happened to it.
pub(crate) struct RequestFlow {
    pub(crate) shared: Arc<RouterShared>,
    pub(crate) request: RoutedRequest,
    pub(crate) deadline: MilliTime,
    /// Present from the first grant on, unless a peer holds it.
    pub(crate) permit: Option<PermitGuard>,
    /// What the next grant needs.
    pub(crate) criteria: GrantCriteria,
    /// When the attempts with an unknown outcome have surely ended. While it
    /// is set, no error may say that the request was not run.
    pub(crate) unknown_until: Option<MilliTime>,
    /// Whether an endpoint was sent the request and refused to run it.
    pub(crate) refused: bool,
    /// The attempts that were sent.
    pub(crate) attempts: u32,
    /// The attempts in a row that could not be sent.
    pub(crate) send_failures: u32,
}

/// What follows an attempt.
pub(crate) enum FlowStep {
    /// The request has its result.
    Done(Result<RoutedAnswer, RouteError>),
    /// Another attempt may be made after a pause.
    RetryAfter(MilliSpan),
}

impl RequestFlow {
    /// Creates the flow of an admitted request.
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
            deadline: shared.clock.now() + request.deadline,
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
                Err(error) => return Err(self.final_error(error, "no place in time")),
            };
            let step = match target {
                GrantTarget::Endpoint(slot) => self.try_endpoint(slot).await,
                GrantTarget::Peer(peer) => self.try_peer(peer).await,
            };
            match step {
                FlowStep::Done(result) => return result,
                FlowStep::RetryAfter(delay) => {
                    let delay = delay.min(self.shared.time_left(self.deadline));
                    if delay > MilliSpan::ZERO {
                        sleep(delay.as_duration()).await;
                    }
                }
            }
        }
    }

    /// Waits for a place to make an attempt, at most until the deadline.
    async fn wait_for_grant(&mut self) -> Result<GrantTarget, RouteError> {
        let left = self.shared.time_left(self.deadline);
        if left == MilliSpan::ZERO {
            return Err(RouteError::DeadlineBeforeSend);
        }
        let grant = match self.shared.grant_or_enqueue(self.criteria.clone()) {
            GrantState::Granted(grant) => grant,
            GrantState::Queued(receiver, _guard) => {
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

    /// Makes an attempt at an endpoint.
    async fn try_endpoint(&mut self, mut slot: SlotGuard) -> FlowStep {
        let key = slot.slot.endpoint;
        let Some(name) = self.shared.endpoint_name(key) else {
            return FlowStep::RetryAfter(MilliSpan::ZERO);
        };
        let outcome = match self.ready_connection(key).await {
            Err(why) => AttemptOutcome::NotSent(why),
            Ok(guard) => {
                let (span, hold_until) = self.start_attempt();
                slot.hold_until = Some(hold_until);
                self.attempts += 1;
                self.log_attempt("endpoint", name.as_str(), "its slots are the least used");
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

    /// Returns a connection over which the request may be sent now.
    async fn ready_connection(&self, key: EndpointKey) -> Result<ConnectionGuard, &'static str> {
        let guard = self.shared.connection(key, self.deadline).await?;
        // The list may have changed while the connection was opened.
        if !self.shared.is_live(key) {
            return Err("endpoint is leaving");
        }
        if self.shared.time_left(self.deadline) == MilliSpan::ZERO {
            return Err("deadline passed");
        }
        Ok(guard)
    }

    fn endpoint_request(&self, span: MilliSpan) -> EndpointRequest {
        EndpointRequest {
            id: self.request.id.clone(),
            idempotent: self.request.idempotent,
            // An attempt that is given up earlier than the caller's deadline
            // also ends earlier at the endpoint, which frees its slot.
            deadline: span,
            body: self.request.body.clone(),
        }
    }

    /// Forwards the request to a peer.
    async fn try_peer(&mut self, peer: PeerGuard) -> FlowStep {
        let host = peer.host.clone();
        self.criteria.tried_peers.push(host.clone());
        let (span, _) = self.start_attempt();
        self.log_attempt("peer", host.as_str(), "no slot of this host is free");
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

    /// Notes that the request is about to be sent; returns the time for the
    /// attempt and when it has surely ended.
    fn start_attempt(&mut self) -> (MilliSpan, MilliTime) {
        let left = self.shared.time_left(self.deadline);
        let span = if self.request.idempotent {
            left.min(self.shared.settings.attempt_timeout)
        } else {
            left
        };
        let margin = hold_margin(&self.shared.settings, span);
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

fn peer_deadline(span: MilliSpan) -> MilliSpan {
    if span > PEER_ANSWER_MARGIN + PEER_ANSWER_MARGIN {
        span.saturating_sub(PEER_ANSWER_MARGIN)
    } else {
        span
    }
}

//! Processing of one request from its admission to its result.

use std::sync::Arc;

use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_platform::EndpointRequest;
use smallvec::SmallVec;
use tokio::time::{sleep, timeout};

use crate::attempt::AttemptEnd;
use crate::endpoint::EndpointKey;
use crate::grant::{GrantTarget, RequestGrant};
use crate::guard::{ConnectionGuard, PeerGuard, PermitGuard, SlotGuard};
use crate::hold::lapse_margin;
use crate::shared::{GrantState, RouterShared};
use crate::waiter::{GrantCriteria, WaitResult};
use crate::{RequestOrigin, RouteError, RoutedAnswer, RoutedRequest};

/// The time by which a peer's deadline is earlier than the own one, so that
/// its refusal arrives before the wait for it ends. Round trips within a data
/// centre are below 2 ms.
const PEER_ANSWER_TIME: MilliSpan = MilliSpan::new(20);

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
    pub(crate) unsent: u32,
}

/// What follows an attempt.
pub(crate) enum FlowStep {
    /// The request has its result.
    Done(Result<RoutedAnswer, RouteError>),
    /// Another attempt may be made after a pause.
    Again(MilliSpan),
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
            unsent: 0,
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
                FlowStep::Again(pause) => {
                    let pause = pause.min(self.shared.time_left(self.deadline));
                    if pause > MilliSpan::ZERO {
                        sleep(pause.as_duration()).await;
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
            return FlowStep::Again(MilliSpan::ZERO);
        };
        let end = match self.ready_connection(key).await {
            Err(why) => AttemptEnd::NotSent(why),
            Ok(guard) => {
                let (span, lapse) = self.begin_attempt();
                slot.lapse = Some(lapse);
                self.attempts += 1;
                self.log_attempt("endpoint", name.as_str(), "its slots are the least used");
                let end = self.shared.send(guard, self.endpoint_request(span)).await;
                self.attempts -= u32::from(matches!(end, AttemptEnd::NotSent(_)));
                end
            }
        };
        let unknown = slot.lapse.filter(|_| matches!(end, AttemptEnd::Unknown(_)));
        slot.lapse = unknown;
        drop(slot);
        match end {
            AttemptEnd::NotSent(_) => self.criteria.failed.push(key),
            _ => self.criteria.tried.push(key),
        }
        match end {
            AttemptEnd::Answered(answer) => self.answer(RoutedAnswer {
                status: answer.status,
                endpoint: name.as_str().to_owned(),
                attempts: self.attempts,
                body: answer.body,
            }),
            AttemptEnd::Refused => self.after_refusal(name.as_str()),
            AttemptEnd::NotSent(why) => self.after_unsent(name.as_str(), why),
            AttemptEnd::Unknown(why) => self.after_unknown(name.as_str(), why),
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
        let (span, _) = self.begin_attempt();
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
        self.judge_peer(
            host.as_str(),
            result.unwrap_or(Err(RouteError::OutcomeUnknown)),
        )
    }

    /// Notes that the request is about to be sent; returns the time for the
    /// attempt and when it has surely ended.
    fn begin_attempt(&mut self) -> (MilliSpan, MilliTime) {
        let left = self.shared.time_left(self.deadline);
        let span = if self.request.idempotent {
            left.min(self.shared.settings.attempt_timeout)
        } else {
            left
        };
        let margin = lapse_margin(&self.shared.settings, span);
        let lapse = self.shared.clock.now() + span + margin;
        self.set_permit_lapse(self.unknown_until.max(Some(lapse)));
        (span, lapse)
    }

    pub(crate) fn set_permit_lapse(&mut self, lapse: Option<MilliTime>) {
        if let Some(permit) = &mut self.permit {
            permit.lapse = lapse;
        }
    }
}

fn peer_deadline(span: MilliSpan) -> MilliSpan {
    if span > PEER_ANSWER_TIME + PEER_ANSWER_TIME {
        span.saturating_sub(PEER_ANSWER_TIME)
    } else {
        span
    }
}

//! The handler for routed requests.

use std::sync::atomic::Ordering;

use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use pimentochute_base::{MilliSpan, MilliTime, QueueName, ServiceName, TeamName, WorkKind};
use pimentochute_route::{RequestOrigin, RoutedAnswer, RoutedRequest};
use tokio::time::timeout;
use viz::Body;

use super::PublicRoutes;
use crate::admission::AdmittedWork;
use crate::http_server::OUTCOME;
use crate::refusal::{Refusal, RefusalCode};

const QUEUE: HeaderName = HeaderName::from_static("x-queue");
const TEAM: HeaderName = HeaderName::from_static("x-team");
const IDEMPOTENT: HeaderName = HeaderName::from_static("x-idempotent");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const ENDPOINT: HeaderName = HeaderName::from_static("x-endpoint");
const ATTEMPTS: HeaderName = HeaderName::from_static("x-attempts");

/// The maximum length of a caller's request identifier, in bytes.
const MAX_ID_BYTES: usize = 128;

/// How long after the deadline of a request the router's answer is still
/// awaited.
const ROUTER_GRACE: MilliSpan = MilliSpan::new(1_000);

/// The parsed headers of a request.
struct RequestHead {
    queue: QueueName,
    team: Option<TeamName>,
    idempotent: bool,
    deadline: MilliSpan,
}

impl PublicRoutes {
    /// `POST /v1/requests`
    pub(super) async fn submit_request(
        &self,
        request: &mut Request<Body>,
    ) -> Result<Response<Body>, Refusal> {
        let arrived_at = self.context.clock.now();
        let own_id = self.new_request_id();
        let caller_id = caller_id(request)?.unwrap_or_else(|| own_id.clone());
        let echoed = HeaderValue::from_str(&caller_id).ok();
        let result = self
            .route_request(request, own_id, &caller_id, arrived_at)
            .await;
        let mut response = match result {
            Ok(response) => response,
            Err(refusal) => {
                self.bodies.discard(request).await;
                self.refuse(&refusal)
            }
        };
        if let Some(id) = echoed {
            response.headers_mut().insert(REQUEST_ID, id);
        }
        Ok(response)
    }

    async fn route_request(
        &self,
        request: &mut Request<Body>,
        id: String,
        caller_id: &str,
        arrived_at: MilliTime,
    ) -> Result<Response<Body>, Refusal> {
        let head = self.request_head(request)?;
        let (work, service) = self.admit_request(request, &head)?;
        let body = self.bodies.read(request).await?;
        let deadline = self.time_left(&head, arrived_at)?;
        if caller_id != id {
            log::debug!("http: request {id} has the id {caller_id} at its caller");
        }
        let routed = RoutedRequest {
            id,
            team: work.team,
            service,
            idempotent: head.idempotent,
            deadline,
            origin: RequestOrigin::Caller,
            body: body.content.clone(),
        };
        let limit = (deadline + ROUTER_GRACE).as_duration();
        match timeout(limit, self.dependencies.route.route(routed)).await {
            Ok(Ok(answer)) => endpoint_response(answer),
            Ok(Err(error)) => {
                let retry_after = self.settings.http.retry_after_ms;
                Err(Refusal::from_route_error(&error, retry_after))
            }
            Err(_) => Err(outcome_unknown(
                "the router gave no answer within the deadline",
            )),
        }
    }

    fn request_head(&self, request: &Request<Body>) -> Result<RequestHead, Refusal> {
        let queue = header_text(request, &QUEUE)?.ok_or_else(|| {
            Refusal::invalid(
                "the header x-queue is missing",
                "name the queue of the request",
            )
        })?;
        let team = header_text(request, &TEAM)?;
        let idempotent = match header_text(request, &IDEMPOTENT)? {
            None | Some("false") => false,
            Some("true") => true,
            Some(_) => return Err(bad_header(&IDEMPOTENT, "true or false")),
        };
        Ok(RequestHead {
            queue: queue.parse().map_err(|e| bad_name(&QUEUE, &e))?,
            team: team
                .map(str::parse)
                .transpose()
                .map_err(|e| bad_name(&TEAM, &e))?,
            idempotent,
            deadline: self.deadline(request)?,
        })
    }

    fn deadline(&self, request: &Request<Body>) -> Result<MilliSpan, Refusal> {
        let limits = &self.settings.requests;
        let Some(text) = header_text(request, &DEADLINE)? else {
            return Ok(limits.default_deadline_ms);
        };
        let max = limits.max_deadline_ms.as_millis();
        match text.parse() {
            Ok(millis) if (1..=max).contains(&millis) => Ok(MilliSpan::new(millis)),
            _ => Err(bad_header(&DEADLINE, &format!("1 to {max} milliseconds"))),
        }
    }

    fn admit_request(
        &self,
        request: &Request<Body>,
        head: &RequestHead,
    ) -> Result<(AdmittedWork, ServiceName), Refusal> {
        let config = self.config();
        let check = self.admission_check(&config);
        let caller = check.identify(request.headers())?;
        let work = check.admit(&caller, &head.queue, head.team.as_ref())?;
        match (&work.queue.kind, work.queue.service.clone()) {
            (WorkKind::Request, Some(service)) => Ok((work, service)),
            (kind, _) => {
                let error = format!("queue {} takes work of kind {kind}", head.queue);
                Err(Refusal::invalid(error, "submit a job with POST /v1/jobs"))
            }
        }
    }

    fn time_left(&self, head: &RequestHead, arrived_at: MilliTime) -> Result<MilliSpan, Refusal> {
        let spent = self.context.clock.now().since(arrived_at);
        if spent >= head.deadline {
            let error = "the deadline passed while the body was read";
            let hint = "allow more time or send the body faster";
            return Err(Refusal::new(RefusalCode::DeadlineExceeded, error, hint));
        }
        Ok(head.deadline.saturating_sub(spent))
    }

    /// Returns a unique identifier for a request. Identifiers chosen by callers
    /// may collide, so that answers could reach the wrong caller.
    fn new_request_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.id_prefix)
    }
}

fn caller_id(request: &Request<Body>) -> Result<Option<String>, Refusal> {
    let Some(text) = header_text(request, &REQUEST_ID)? else {
        return Ok(None);
    };
    let plain = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
    if !plain || text.len() > MAX_ID_BYTES {
        let expected = format!("1 to {MAX_ID_BYTES} visible ASCII characters");
        return Err(bad_header(&REQUEST_ID, &expected));
    }
    Ok(Some(text.to_owned()))
}

fn endpoint_response(answer: RoutedAnswer) -> Result<Response<Body>, Refusal> {
    let status = StatusCode::from_u16(answer.status).ok();
    let status = status.filter(|status| !status.is_informational());
    let status =
        status.ok_or_else(|| outcome_unknown("the endpoint answered with a wrong status"))?;
    let mut response = Response::new(Body::from(Full::new(answer.body)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    let kind = HeaderValue::from_static("application/octet-stream");
    headers.insert(CONTENT_TYPE, kind);
    headers.insert(OUTCOME, HeaderValue::from_static("answered"));
    headers.insert(ATTEMPTS, answer.attempts.into());
    if let Ok(endpoint) = HeaderValue::from_str(&answer.endpoint) {
        headers.insert(ENDPOINT, endpoint);
    }
    Ok(response)
}

fn header_text<'a>(
    request: &'a Request<Body>,
    name: &HeaderName,
) -> Result<Option<&'a str>, Refusal> {
    let mut values = request.headers().get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    match (value.to_str(), values.next()) {
        (Ok(text), None) => Ok(Some(text)),
        _ => Err(bad_header(name, "one value of visible ASCII characters")),
    }
}

fn bad_header(name: &HeaderName, expected: &str) -> Refusal {
    let error = format!("the header {name} is wrong");
    Refusal::invalid(error, format!("give {expected}"))
}

fn bad_name(name: &HeaderName, error: &pimentochute_base::NameError) -> Refusal {
    let error = format!("the header {name} is wrong: {error}");
    Refusal::invalid(error, "see docs/api.md")
}

fn outcome_unknown(error: &str) -> Refusal {
    let hint = "find out whether it ran before sending it again";
    Refusal::new(RefusalCode::OutcomeUnknown, error, hint)
}

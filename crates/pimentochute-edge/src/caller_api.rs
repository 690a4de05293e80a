//! The HTTP interface for callers: submits, shows and cancels jobs. Log lines of
//! this module have the prefix `front:`.

use std::sync::Arc;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER};
use http::{Method, Response, StatusCode};
use http_body_util::Full;
use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_server::{BodyError, BufferedBody};
use pimentochute_work::{
    CellConfig, JobCode, JobSubmission, QueueConfig, QueueTerms, RecordLimits, encode_record,
    retry_without_owner,
};
use strum::IntoStaticStr;
use viz::{Body, Request, RequestExt as _, Router};

use crate::config_feed::ConfigFeed;
use crate::context::EdgeContext;
use crate::intake::{IntakeOutcome, JobIntake};
use crate::owner_client::OwnerClient;
use crate::peer_wire::{ForwardedJob, JobQuery, OwnerAnswer, PendingQuery};

/// The timeout of a call whose caller does not send one.
const DEFAULT_CALL_TIMEOUT: MilliSpan = MilliSpan::new(3_000);

/// The part of a caller's timeout that is reserved for sending the answer.
const ANSWER_RESERVE: MilliSpan = MilliSpan::new(250);

/// Handles the requests of callers.
#[derive(Clone)]
pub(crate) struct CallerApi {
    pub(crate) context: EdgeContext,
    pub(crate) config: ConfigFeed,
    pub(crate) intake: JobIntake,
    pub(crate) owner_client: OwnerClient,
}

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum CallRefusal {
    /// The host has not read a configuration yet.
    NoConfig,
    /// The configuration is too old to check keys against it.
    StaleConfig,
    /// Neither the log nor another host answers this host.
    Isolated,
    /// No queue matches the host name and the path.
    NoQueue,
    /// The caller's key belongs to no team.
    BadKey,
    /// The path does not end with a job identifier.
    BadCode,
    /// The body cannot be decoded as a job, or the job breaks a rule.
    BadJob,
    /// The body exceeds the limit of the configuration.
    TooLarge,
    /// The connection ended or failed before the whole body arrived.
    #[strum(to_string = "cut")]
    BodyIncomplete,
    /// The host holds too many bodies.
    NoBodyRoom,
    /// The body did not arrive in time.
    BodyLate,
    /// The job is not and will not be in the log, or cannot be encoded.
    NotAccepted,
    /// The job may be in the log, or get there later.
    OutcomeUnknown,
    /// The owner cannot serve the job in time; its caller should return after this time.
    NoRoom(MilliSpan),
    /// The identifier belongs to another job; the caller should return after this time, or
    /// choose another one.
    IdentifierTaken(MilliSpan),
    /// The owner knows no such job and remembers too many cancellations to take another one;
    /// the caller should return after this time.
    NotCancelled(MilliSpan),
    /// No owner answered in time.
    NoOwner,
    /// The owner knows no such job of the team.
    NoJob,
    /// The method is none of POST, GET and DELETE.
    BadMethod,
}

/// A request that was matched to a queue and, by its key, to a team.
struct RoutedCall {
    queue: String,
    config: QueueConfig,
    team: Option<String>,
    /// The path after the prefix of the queue: a job identifier, or empty.
    rest: String,
    body_bytes: usize,
    arrived_at: MilliTime,
    deadline: MilliTime,
}

impl CallerApi {
    /// Returns the router for callers.
    pub(crate) fn router(self) -> Router {
        let api = Arc::new(self);
        Router::new().any("/*", move |request: Request| {
            let api = Arc::clone(&api);
            async move { Ok::<_, viz::Error>(api.handle(request).await) }
        })
    }

    async fn handle(&self, request: Request) -> Response<Body> {
        let method = request.method().clone();
        let path = request.path().to_owned();
        let result = tokio::select! {
            biased;
            result = self.dispatch(request) => result,
            () = self.context.answers_due.cancelled() => Err(CallRefusal::unanswered(&method)),
        };
        match result {
            Ok(response) => response,
            Err(refusal) => {
                let (status, reason) = refusal.status_and_reason();
                let retry_after = refusal.retry_after(&path);
                self.context.counters.count_refused_call(refusal.into());
                log::info!(
                    method:%,
                    path:%,
                    status = status.as_u16(),
                    config_age:% = self.config.age(),
                    retry_after:% = retry_after,
                    reason;
                    "front: a call is refused"
                );
                self.refusal_response(status, reason, retry_after)
            }
        }
    }

    async fn dispatch(&self, request: Request) -> Result<Response<Body>, CallRefusal> {
        let call = self.route(&request)?;
        if call.rest.is_empty() && request.method() == Method::GET {
            return self.pending(call).await;
        }
        let code: JobCode = call.rest.parse().map_err(|_| CallRefusal::BadCode)?;
        match *request.method() {
            Method::POST => self.submit(call, code, request).await,
            Method::GET => self.state(call, code).await,
            Method::DELETE => self.cancel(call, code).await,
            _ => Err(CallRefusal::BadMethod),
        }
    }

    fn route(&self, request: &Request) -> Result<RoutedCall, CallRefusal> {
        let arrived_at = self.context.clock.now();
        let config = self.config.current().ok_or(CallRefusal::NoConfig)?;
        let host = request
            .headers()
            .get(HOST)
            .and_then(|host| host.to_str().ok());
        let host = host.unwrap_or_default();
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let path = request.path().to_owned();
        let (name, queue, rest) = config.queue_of(host, &path).ok_or(CallRefusal::NoQueue)?;
        let team = self.team(&config, queue, request)?;
        if self.config.is_isolated() {
            return Err(CallRefusal::Isolated);
        }
        let timeout = self.context.ports.codec.call_timeout(request.headers());
        let timeout = timeout
            .unwrap_or(DEFAULT_CALL_TIMEOUT)
            .saturating_sub(ANSWER_RESERVE);
        Ok(RoutedCall {
            queue: name.to_owned(),
            config: queue.clone(),
            team,
            rest: rest.to_owned(),
            body_bytes: config.limits.body_bytes,
            arrived_at,
            deadline: arrived_at + timeout,
        })
    }

    /// Returns the team that a call's key belongs to; `None` on an open queue.
    fn team(
        &self,
        config: &CellConfig,
        queue: &QueueConfig,
        request: &Request,
    ) -> Result<Option<String>, CallRefusal> {
        if queue.is_open {
            return Ok(None);
        }
        if self.config.age() > self.context.times().key_grace() {
            return Err(CallRefusal::StaleConfig);
        }
        let header = request.headers().get(AUTHORIZATION);
        let secret = header.and_then(|header| header.to_str().ok()?.strip_prefix("Bearer "));
        let team = secret.and_then(|secret| config.team_of(secret.trim()));
        Ok(Some(team.ok_or(CallRefusal::BadKey)?.to_owned()))
    }

    async fn submit(
        &self,
        call: RoutedCall,
        code: JobCode,
        request: Request,
    ) -> Result<Response<Body>, CallRefusal> {
        let body = self.read_body(request, call.body_bytes).await?;
        let spec = self
            .context
            .ports
            .codec
            .job(&body.content)
            .map_err(|error| {
                log::warn!(job:% = code, error:%; "front: a submitted job is invalid");
                CallRefusal::BadJob
            })?;
        let queue = call.queue.clone();
        let submission = JobSubmission {
            terms: QueueTerms::from(&call.config),
            queue: call.queue,
            team: call.team,
            received: self.context.clock.unix_now(),
            spec,
        };
        self.check_size(&submission)?;
        let job = ForwardedJob {
            job: code,
            submission,
        };
        let outcome = self.intake.submit(job, call.arrived_at, call.deadline);
        let outcome = outcome.await.map_err(|error| {
            log::error!(job:% = code, error:%; "front: a job cannot be encoded");
            CallRefusal::NotAccepted
        })?;
        match outcome {
            IntakeOutcome::Accepted => {
                self.context.counters.count_accepted_job();
                log::info!(
                    job:% = code,
                    queue:% = queue,
                    took:% = self.context.clock.now().since(call.arrived_at);
                    "front: a job is accepted"
                );
                Ok(json_answer(StatusCode::OK, Bytes::from_static(b"{}")))
            }
            IntakeOutcome::Refused => Err(CallRefusal::NotAccepted),
            IntakeOutcome::Unknown => Err(CallRefusal::OutcomeUnknown),
            IntakeOutcome::NoRoom(retry_after) => Err(CallRefusal::NoRoom(retry_after)),
            IntakeOutcome::IdentifierTaken(retry_after) => {
                Err(CallRefusal::IdentifierTaken(retry_after))
            }
        }
    }

    async fn read_body(
        &self,
        mut request: Request,
        limit: usize,
    ) -> Result<BufferedBody, CallRefusal> {
        let body = self.context.bodies.read_up_to(&mut request, limit).await;
        body.map_err(|error| match error {
            BodyError::TooLarge => CallRefusal::TooLarge,
            BodyError::NoRoom => CallRefusal::NoBodyRoom,
            BodyError::Late => CallRefusal::BodyLate,
            BodyError::Incomplete => {
                log::warn!("front: a body is incomplete");
                CallRefusal::BodyIncomplete
            }
        })
    }

    /// Refuses a job that the log would refuse for good.
    fn check_size(&self, submission: &JobSubmission) -> Result<(), CallRefusal> {
        let limits = RecordLimits::from(self.context.settings.log_limits);
        let encoded = encode_record(submission).map_err(|error| {
            log::error!(error:%; "front: a job cannot be encoded");
            CallRefusal::NotAccepted
        })?;
        if encoded.len() > limits.value_bytes() {
            return Err(CallRefusal::TooLarge);
        }
        Ok(())
    }

    async fn state(&self, call: RoutedCall, code: JobCode) -> Result<Response<Body>, CallRefusal> {
        let query = JobQuery {
            job: code,
            team: call.team,
            queue: Some(call.queue),
        };
        match self.owner_client.state(query, call.deadline).await {
            Some(OwnerAnswer::State(status)) => {
                let body = self.context.ports.codec.job_state(status.into());
                Ok(json_answer(StatusCode::OK, body))
            }
            Some(OwnerAnswer::Unknown) => Err(CallRefusal::NoJob),
            _ => Err(CallRefusal::NoOwner),
        }
    }

    async fn cancel(&self, call: RoutedCall, code: JobCode) -> Result<Response<Body>, CallRefusal> {
        let query = JobQuery {
            job: code,
            team: call.team,
            queue: Some(call.queue),
        };
        match self.owner_client.cancel(query, call.deadline).await {
            Some(OwnerAnswer::Cancelled) => {
                Ok(json_answer(StatusCode::OK, Bytes::from_static(b"{}")))
            }
            Some(OwnerAnswer::Unknown) => Err(CallRefusal::NoJob),
            Some(OwnerAnswer::Refused { retry_after, .. }) => {
                Err(CallRefusal::NotCancelled(retry_after))
            }
            _ => Err(CallRefusal::NoOwner),
        }
    }

    async fn pending(&self, call: RoutedCall) -> Result<Response<Body>, CallRefusal> {
        let query = PendingQuery { queue: call.queue };
        match self.owner_client.pending(query, call.deadline).await {
            Some(OwnerAnswer::Pending(jobs)) => {
                let jobs = usize::try_from(jobs).unwrap_or(usize::MAX);
                let body = self.context.ports.codec.pending(jobs);
                Ok(json_answer(StatusCode::OK, body))
            }
            _ => Err(CallRefusal::NoOwner),
        }
    }

    fn refusal_response(
        &self,
        status: StatusCode,
        reason: &str,
        retry_after: MilliSpan,
    ) -> Response<Body> {
        let mut response = json_answer(status, self.context.ports.codec.refusal(reason));
        if status == StatusCode::SERVICE_UNAVAILABLE {
            let headers = response.headers_mut();
            let seconds = retry_after.as_millis().div_ceil(1_000);
            headers.insert(RETRY_AFTER, seconds.into());
        }
        response
    }
}

impl CallRefusal {
    /// Returns the refusal of a call that is given up before its outcome is known.
    fn unanswered(method: &Method) -> Self {
        if *method == Method::POST {
            Self::OutcomeUnknown
        } else {
            Self::NoOwner
        }
    }

    /// Returns when the caller should return, if that helps. `path` ends with the job, so that
    /// callers who are refused together do not return together.
    fn retry_after(self, path: &str) -> MilliSpan {
        if let Self::NoRoom(retry_after)
        | Self::IdentifierTaken(retry_after)
        | Self::NotCancelled(retry_after) = self
        {
            return retry_after;
        }
        let code = path.rsplit('/').next().and_then(|code| code.parse().ok());
        retry_without_owner(code.unwrap_or(JobCode::new(0)))
    }

    // These texts are part of the answers to callers; do not reword them.
    const fn status_and_reason(self) -> (StatusCode, &'static str) {
        match self {
            Self::NoConfig => (
                StatusCode::SERVICE_UNAVAILABLE,
                "this host has no configuration yet",
            ),
            Self::StaleConfig => (
                StatusCode::SERVICE_UNAVAILABLE,
                "this host cannot check keys at present",
            ),
            Self::Isolated => (
                StatusCode::SERVICE_UNAVAILABLE,
                "this host reaches neither the log nor another host",
            ),
            Self::NoQueue => (StatusCode::NOT_FOUND, "there is no such queue"),
            Self::BadKey => (StatusCode::UNAUTHORIZED, "the key is unknown or withdrawn"),
            Self::BadCode => (
                StatusCode::BAD_REQUEST,
                "a job identifier has 16 lowercase hexadecimal digits",
            ),
            Self::BadJob => (StatusCode::BAD_REQUEST, "the body is not a usable job"),
            Self::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
            Self::BodyIncomplete => (StatusCode::BAD_REQUEST, "the body was cut"),
            Self::NoBodyRoom => (
                StatusCode::SERVICE_UNAVAILABLE,
                "this host holds too many bodies; the job was not accepted and will not run",
            ),
            Self::BodyLate => (
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive in time",
            ),
            Self::NotAccepted => (
                StatusCode::SERVICE_UNAVAILABLE,
                "the job was not accepted and will not run",
            ),
            Self::OutcomeUnknown => (
                StatusCode::GATEWAY_TIMEOUT,
                "the job may have been accepted; send it again",
            ),
            Self::NoRoom(_) => (
                StatusCode::SERVICE_UNAVAILABLE,
                "the job cannot be served in time, was not accepted and will not run",
            ),
            Self::IdentifierTaken(_) => (
                StatusCode::SERVICE_UNAVAILABLE,
                "the identifier belongs to another job; this job was not accepted and will not run",
            ),
            Self::NotCancelled(_) => (
                StatusCode::SERVICE_UNAVAILABLE,
                "too many unknown jobs are cancelled; the job is not cancelled",
            ),
            Self::NoOwner => (
                StatusCode::SERVICE_UNAVAILABLE,
                "the jobs cannot be read at present",
            ),
            Self::NoJob => (StatusCode::GONE, "there is no such job"),
            Self::BadMethod => (StatusCode::METHOD_NOT_ALLOWED, "use POST, GET or DELETE"),
        }
    }
}

fn json_answer(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::from(Full::new(body)));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

//! Refusals that callers and operators receive.

use derive_more::{Display, Error};
use http::StatusCode;
use pimentochute_base::MilliSpan;
use pimentochute_route::RouteError;
use pimentochute_state::InvalidReason;
use serde::{Deserialize, Serialize};
use strum::{Display as StrumDisplay, EnumString, IntoStaticStr};

use crate::SubmitError;

/// The kind of a refusal; determines its HTTP status.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    StrumDisplay,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalCode {
    /// The key is missing, malformed, unknown or withdrawn.
    Unauthenticated,
    /// The key does not permit the call.
    Forbidden,
    /// The queue does not exist.
    UnknownQueue,
    /// The path, job or version does not exist, or the caller may not see it.
    NotFound,
    /// The call is malformed.
    Invalid,
    /// The body is too large.
    TooLarge,
    /// A limit is reached.
    Overloaded,
    /// The configuration may be out of date.
    StaleConfiguration,
    /// The log does not accept records, or has not been read yet.
    LogUnavailable,
    /// No endpoint is available for the request.
    NoEndpoint,
    /// The host is draining.
    Draining,
    /// The deadline passed before the request was sent.
    DeadlineExceeded,
    /// The work may have run, or may still run.
    OutcomeUnknown,
    /// The call contradicts an earlier one.
    Conflict,
}

impl RefusalCode {
    /// Returns the HTTP status of the code.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Unauthenticated => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::UnknownQueue | Self::NotFound => StatusCode::NOT_FOUND,
            Self::Invalid => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Self::StaleConfiguration | Self::LogUnavailable | Self::NoEndpoint | Self::Draining => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::Conflict => StatusCode::CONFLICT,
        }
    }

    /// Returns the code as it appears in responses and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        self.into()
    }
}

/// The body of a response that refuses a call.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("{error}; hint: {hint}")]
pub struct Refusal {
    /// What is wrong.
    pub error: String,
    /// The kind of refusal.
    pub code: RefusalCode,
    /// Whether this call is guaranteed not to have run any work. False for
    /// [`RefusalCode::OutcomeUnknown`], and for a repeated call whose work may
    /// already be recorded.
    pub not_run: bool,
    /// What the caller can do about it.
    pub hint: String,
    /// The delay before a retry, in milliseconds; `None` if a retry would not
    /// help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<MilliSpan>,
}

impl Refusal {
    /// Creates a refusal; `not_run` is true unless the outcome is unknown.
    #[must_use]
    pub fn new(code: RefusalCode, error: impl Into<String>, hint: impl Into<String>) -> Self {
        Self {
            error: error.into(),
            code,
            not_run: code != RefusalCode::OutcomeUnknown,
            hint: hint.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the delay before a retry.
    #[must_use]
    pub const fn with_retry_after(mut self, span: MilliSpan) -> Self {
        self.retry_after_ms = Some(span);
        self
    }

    /// Sets `not_run` to false, for work that may have run by another call.
    #[must_use]
    pub const fn with_possible_run(mut self) -> Self {
        self.not_run = false;
        self
    }

    /// Creates the refusal of a malformed call.
    #[must_use]
    pub fn invalid(error: impl Into<String>, hint: impl Into<String>) -> Self {
        Self::new(RefusalCode::Invalid, error, hint)
    }

    /// Creates the refusal of a path, job or version that does not exist.
    #[must_use]
    pub fn not_found(error: impl Into<String>, hint: impl Into<String>) -> Self {
        Self::new(RefusalCode::NotFound, error, hint)
    }

    /// Creates the refusal for an error of the router.
    #[must_use]
    pub fn from_route_error(error: &RouteError, retry_after: MilliSpan) -> Self {
        let code = match error {
            RouteError::NoEndpoint { .. }
            | RouteError::RefusedByEndpoint
            | RouteError::PeerUnreachable => RefusalCode::NoEndpoint,
            RouteError::Overloaded { .. } => RefusalCode::Overloaded,
            RouteError::DeadlineBeforeSend => RefusalCode::DeadlineExceeded,
            RouteError::Draining => RefusalCode::Draining,
            RouteError::OutcomeUnknown => RefusalCode::OutcomeUnknown,
        };
        let mut refusal = Self::from_text(code, &error.to_string(), route_hint(error));
        refusal.not_run = error.is_not_run();
        refusal.retry_after_ms = match error {
            RouteError::Overloaded { retry_after } => Some(*retry_after),
            RouteError::DeadlineBeforeSend | RouteError::OutcomeUnknown => None,
            _ => Some(retry_after),
        };
        refusal
    }

    /// Creates the refusal for a change that was not made, or whose outcome is
    /// unknown.
    #[must_use]
    pub fn from_submit_error(error: &SubmitError, retry_after: MilliSpan) -> Self {
        let code = match error {
            SubmitError::NotRecorded => RefusalCode::LogUnavailable,
            SubmitError::Unknown => RefusalCode::OutcomeUnknown,
            SubmitError::Conflict => RefusalCode::Conflict,
            SubmitError::Refused {
                reason: InvalidReason::Full { .. },
            } => RefusalCode::Overloaded,
            SubmitError::Refused { .. } => RefusalCode::Invalid,
            SubmitError::Draining => RefusalCode::Draining,
        };
        let refusal = Self::from_text(code, &error.to_string(), "try again later");
        match error {
            SubmitError::Conflict => refusal,
            SubmitError::Refused { reason } if !matches!(reason, InvalidReason::Full { .. }) => {
                refusal
            }
            _ => refusal.with_retry_after(retry_after),
        }
    }

    /// Creates a refusal from a message of the form `error; hint: hint`; `hint`
    /// is used if the message has none.
    fn from_text(code: RefusalCode, text: &str, hint: &str) -> Self {
        match text.split_once("; hint: ") {
            Some((error, hint)) => Self::new(code, error, hint),
            None => Self::new(code, text, hint),
        }
    }
}

const fn route_hint(error: &RouteError) -> &'static str {
    match error {
        RouteError::OutcomeUnknown => "find out whether it ran before sending it again",
        RouteError::DeadlineBeforeSend => "allow more time or try again later",
        _ => "try again later",
    }
}

//! Refusals that callers, operators and peers receive.

use derive_more::{Display, Error};
use http::StatusCode;
use pimentochute_base::MilliSpan;
use pimentochute_route::RouteError;
use pimentochute_state::InvalidReason;
use serde::{Deserialize, Serialize};
use strum::{Display as StrumDisplay, EnumString, IntoStaticStr};

use crate::SubmitError;

/// The kind of a refusal.
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
    /// No valid key was presented.
    Unauthenticated,
    /// The key does not allow this.
    Forbidden,
    /// The queue does not exist.
    UnknownQueue,
    /// The job, version or page does not exist, or is not for this caller.
    NotFound,
    /// The call is malformed.
    Invalid,
    /// The body is too large.
    TooLarge,
    /// A limit is reached.
    Overloaded,
    /// The configuration may be out of date.
    StaleConfiguration,
    /// The log does not take records.
    LogUnavailable,
    /// No endpoint takes the request.
    NoEndpoint,
    /// The host is stopping.
    Draining,
    /// The deadline passed before the request was sent.
    DeadlineExceeded,
    /// The work may have run or may still run.
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

    /// Returns the code as it is written.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        self.into()
    }
}

/// A refusal as it is written.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("{error}; hint: {hint}")]
pub struct Refusal {
    /// What is wrong.
    pub error: String,
    /// The kind.
    pub code: RefusalCode,
    /// Whether the work surely did not run by this call. False for
    /// [`RefusalCode::OutcomeUnknown`], and for a repeated call whose work is
    /// already known.
    pub not_run: bool,
    /// What to do.
    pub hint: String,
    /// When to try again, in milliseconds; none if that would not help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<MilliSpan>,
}

impl Refusal {
    /// Creates a refusal; it states "not run" unless the outcome is unknown.
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

    /// Sets when to try again.
    #[must_use]
    pub const fn with_retry_after(mut self, span: MilliSpan) -> Self {
        self.retry_after_ms = Some(span);
        self
    }

    /// Withdraws the statement "not run".
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

    /// Creates the refusal of a page, job or version that does not exist.
    #[must_use]
    pub fn not_found(error: impl Into<String>, hint: impl Into<String>) -> Self {
        Self::new(RefusalCode::NotFound, error, hint)
    }

    /// Creates the refusal of a router's error.
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

    /// Creates the refusal of a change without a known outcome.
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

    /// Splits a message of the form `error; hint: hint`.
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

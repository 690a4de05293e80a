//! Builds JSON and text responses.

use http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{Response, StatusCode};
use http_body_util::Full;
use serde::Serialize;
use viz::Body;

use crate::refusal::{Refusal, RefusalCode};

/// States whether the work was answered, did not run, or may have run.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("x-outcome");

/// Returns a response with a JSON body; status 500 if encoding fails.
pub(crate) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(text) => with_type(status, text, "application/json"),
        Err(error) => {
            log::error!("http: cannot encode a response as JSON: {error}");
            let empty = Response::new(Body::empty());
            with_status(empty, StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Returns a response in the text format of Prometheus, also used by probes.
pub(crate) fn text_response(status: StatusCode, text: String) -> Response<Body> {
    with_type(status, text.into_bytes(), "text/plain; version=0.0.4")
}

/// Returns a refusal as JSON, with the headers `x-outcome`, `retry-after` and
/// `www-authenticate` where they apply.
pub(crate) fn refusal_response(refusal: &Refusal) -> Response<Body> {
    let mut response = json_response(refusal.code.status(), refusal);
    let headers = response.headers_mut();
    let outcome = HeaderValue::from_static(if refusal.not_run {
        "not_run"
    } else {
        "unknown"
    });
    headers.insert(OUTCOME, outcome);
    if let Some(span) = refusal.retry_after_ms {
        headers.insert(RETRY_AFTER, span.as_millis().div_ceil(1_000).into());
    }
    if refusal.code == RefusalCode::Unauthenticated {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    response
}

fn with_type(status: StatusCode, content: Vec<u8>, kind: &'static str) -> Response<Body> {
    let mut response = with_status(Response::new(Body::from(Full::from(content))), status);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

fn with_status(mut response: Response<Body>, status: StatusCode) -> Response<Body> {
    *response.status_mut() = status;
    response
}

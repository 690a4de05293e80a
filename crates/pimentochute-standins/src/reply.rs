//! Reads request bodies and builds responses.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use pimentochute_platform::NOT_RUN_HEADER;
use pimentochute_platform::wire::{decode_json, encode_json};
use serde::Serialize;
use serde::de::DeserializeOwned;
use viz::header::{CONTENT_TYPE, HeaderValue};
use viz::{Body, Request, Response, StatusCode};

/// The maximum size of a request body. Snapshots of the configuration are the
/// largest bodies.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The body of a response that reports an error.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Reads the body of a request; the error is the response to send.
pub(crate) async fn read_body(request: Request) -> Result<Bytes, Response> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
    match body.collect().await {
        Ok(content) => Ok(content.to_bytes()),
        Err(error) => Err(error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            &error.to_string(),
        )),
    }
}

/// Reads a JSON body; the error is the response to send.
pub(crate) async fn read_json<T: DeserializeOwned>(request: Request) -> Result<T, Response> {
    let content = read_body(request).await?;
    decode_json(&content)
        .map_err(|error| error_response(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Builds a response with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match encode_json(value) {
        Ok(text) => {
            let mut response = plain(status, text);
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        Err(error) => plain(
            StatusCode::INTERNAL_SERVER_ERROR,
            Bytes::from(error.to_string()),
        ),
    }
}

/// Builds a response that reports an error.
pub(crate) fn error_response(status: StatusCode, error: &str) -> Response {
    json(status, &ErrorBody { error })
}

/// Builds a response with status 503 and the header that states that the call
/// did not run.
pub(crate) fn not_run(error: &str) -> Response {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, error);
    let stated = HeaderValue::from_static("true");
    response.headers_mut().insert(NOT_RUN_HEADER, stated);
    response
}

/// Builds a response with the given body and no content type.
pub(crate) fn plain(status: StatusCode, content: Bytes) -> Response {
    let mut response = Response::new(Body::Full(Full::new(content)));
    *response.status_mut() = status;
    response
}

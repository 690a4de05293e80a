//! HTTP calls to stand-ins and entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Gets JSON from a path; `None` if the call fails, the status is not a success,
/// or the body cannot be decoded as `T`.
pub async fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let request = http::Request::get(format!("http://{address}{path}"));
    let content = call(request.body(Full::default()).ok()?).await?;
    serde_json::from_slice(&content).ok()
}

/// Returns whether a GET request of a path is answered with a success status.
pub async fn is_ok(address: SocketAddr, path: &str) -> bool {
    let request = http::Request::get(format!("http://{address}{path}"));
    let request = request
        .body(Full::default())
        .expect("request should be valid");
    call(request).await.is_some()
}

/// Posts JSON to a path.
///
/// # Panics
/// Panics if the call fails or the status is not a success.
pub async fn post_json<T: Serialize>(address: SocketAddr, path: &str, value: &T) {
    let content = serde_json::to_vec(value).expect("value should encode as JSON");
    let request = http::Request::post(format!("http://{address}{path}"));
    let request = request
        .body(Full::from(content))
        .expect("request should be valid");
    assert!(call(request).await.is_some(), "POST {path} failed");
}

async fn call(request: http::Request<Full<Bytes>>) -> Option<Bytes> {
    let exchange = async {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let answer = client.request(request).await.ok()?;
        let is_success = answer.status().is_success();
        let content = answer.into_body().collect().await.ok()?;
        is_success.then(|| content.to_bytes())
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange).await.ok()?
}

//! Reads and switches stand-ins over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Gets a JSON page; none if it is not answered with success.
pub async fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let request = http::Request::get(format!("http://{address}{path}"));
    let content = call(request.body(Full::default()).ok()?).await?;
    serde_json::from_slice(&content).ok()
}

/// Tells whether a page is answered with success.
pub async fn is_ok(address: SocketAddr, path: &str) -> bool {
    let request = http::Request::get(format!("http://{address}{path}"));
    let request = request.body(Full::default()).expect("valid request");
    call(request).await.is_some()
}

/// Sends JSON to a page.
///
/// # Panics
/// Panics if the page does not answer with success.
pub async fn post_json<T: Serialize>(address: SocketAddr, path: &str, value: &T) {
    let content = serde_json::to_vec(value).expect("value has a JSON form");
    let request = http::Request::post(format!("http://{address}{path}"));
    let request = request.body(Full::from(content)).expect("valid request");
    assert!(call(request).await.is_some(), "{path} is not taken");
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

//! A daemon with fakes and an HTTP client for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use pimentochute_base::{KeyDigest, MilliClock};
use pimentochute_server::{
    ChildSpec, Daemon, DaemonContext, DaemonDependencies, DaemonEnd, DaemonError, Refusal,
    StopSignal,
};
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::fakes::{DESK_KEY, FakeControl, FakeHeartbeats, FakeHooks, FakeRoute};
use super::{settings_json, settings_of};

/// The time after which a test counts as hung.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A running daemon whose control plane and router are fakes.
pub struct TestDaemon {
    pub public: SocketAddr,
    pub peer: SocketAddr,
    pub context: DaemonContext,
    pub control: Arc<FakeControl>,
    pub route: Arc<FakeRoute>,
    pub hooks: Arc<FakeHooks>,
    pub signals: mpsc::Sender<StopSignal>,
    pub run: JoinHandle<Result<DaemonEnd, DaemonError>>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A complete HTTP response.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("JSON body")
    }

    /// Decodes the body as a refusal and checks that its code and the status
    /// agree.
    pub fn refusal(&self) -> Refusal {
        let refusal: Refusal = serde_json::from_slice(&self.body).expect("refusal");
        assert_eq!(refusal.code.status(), self.status);
        assert!(!refusal.hint.is_empty());
        refusal
    }

    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).map(|v| v.to_str().expect("text"));
        value.unwrap_or("")
    }
}

/// Returns the settings of a daemon on free ports, with changes applied.
pub fn daemon_settings(changes: &Value) -> Value {
    let mut value = settings_json();
    value["operator_keys"] =
        json!([{"name": "desk", "digest": String::from(KeyDigest::of(DESK_KEY))}]);
    value["drain"] = json!({"drain_delay_ms": 100, "drain_limit_ms": 5_000});
    if let Some(changes) = changes.as_object() {
        for (name, change) in changes {
            value[name] = change.clone();
        }
    }
    value
}

impl TestDaemon {
    pub async fn start(changes: Value) -> Self {
        Self::start_with(changes, Vec::new()).await
    }

    /// Starts a daemon with additional children under its supervisor.
    pub async fn start_with(changes: Value, children: Vec<ChildSpec>) -> Self {
        let settings = settings_of(&daemon_settings(&changes));
        let daemon = Daemon::bind(settings, MilliClock::system())
            .await
            .expect("binds");
        let (control, route, hooks) =
            <(Arc<FakeControl>, Arc<FakeRoute>, Arc<FakeHooks>)>::default();
        let parts = DaemonDependencies {
            control: control.clone(),
            route: route.clone(),
            endpoints: route.clone(),
            heartbeats: Arc::new(FakeHeartbeats("a1", "north")),
            hooks: hooks.clone(),
            children,
        };
        let (signals, receiver) = mpsc::channel(4);
        Self {
            public: daemon.public().address(),
            peer: daemon.peer().address(),
            context: daemon.context().clone(),
            control,
            route,
            hooks,
            signals,
            run: tokio::spawn(daemon.run(parts, receiver)),
            client: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
        }
    }

    /// Sends a request to the public listener.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Answer {
        let uri = format!("http://{}{path}", self.public);
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(Bytes::copy_from_slice(body)))
            .expect("request");
        let answer = self.client.request(request).await.expect("answer");
        let (status, headers) = (answer.status(), answer.headers().clone());
        let body = answer.into_body().collect().await.expect("body").to_bytes();
        Answer {
            status,
            headers,
            body,
        }
    }

    pub async fn get(&self, path: &str, key: Option<&str>) -> Answer {
        let bearer = format!("Bearer {}", key.unwrap_or_default());
        let headers = [("authorization", bearer.as_str())];
        let headers = if key.is_some() { &headers[..] } else { &[] };
        self.send(Method::GET, path, headers, b"").await
    }

    pub async fn post(&self, path: &str, key: Option<&str>, body: &Value) -> Answer {
        let bearer = format!("Bearer {}", key.unwrap_or_default());
        let headers = [("authorization", bearer.as_str())];
        let headers = if key.is_some() { &headers[..] } else { &[] };
        let body = serde_json::to_vec(body).expect("JSON");
        self.send(Method::POST, path, headers, &body).await
    }

    /// Sends a request to be routed.
    pub async fn route(&self, headers: &[(&str, &str)], body: &[u8]) -> Answer {
        self.send(Method::POST, "/v1/requests", headers, body).await
    }

    pub async fn stop(&self) {
        self.signals.send(StopSignal).await.expect("daemon runs");
    }

    /// Waits until the router has received `count` requests.
    pub async fn wait_until_routed(&self, count: usize) {
        while self.route.seen.lock().expect("lock").len() < count {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

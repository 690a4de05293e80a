//! Registers a worker or endpoint with the platform stand-in at regular
//! intervals.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use pimentochute_platform::wire::encode_json;
use pimentochute_platform::{Authority, HostEntry, HostStatus};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The time between two registrations. Several fit into the 5 s after which the
/// platform removes a host, so one may be lost.
const REGISTER_INTERVAL: Duration = Duration::from_secs(1);

/// The time limit of one registration.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether a stand-in registers as leaving; clones share the switch.
#[derive(Debug, Clone)]
pub struct LeavingSwitch {
    leaving: Arc<watch::Sender<bool>>,
}

impl LeavingSwitch {
    /// Creates a switch that is off.
    #[must_use]
    pub fn new() -> Self {
        Self {
            leaving: Arc::new(watch::Sender::new(false)),
        }
    }

    /// Sets whether the stand-in registers as leaving. A change triggers a
    /// registration immediately.
    pub fn set(&self, leaving: bool) {
        self.leaving.send_replace(leaving);
    }
}

impl Default for LeavingSwitch {
    fn default() -> Self {
        Self::new()
    }
}

/// The body of `POST /leaving`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct LeavingBody {
    pub(crate) leaving: bool,
}

/// Registers a host periodically until it is dropped.
#[derive(Debug)]
pub struct HostRegistration {
    task: JoinHandle<()>,
}

impl HostRegistration {
    /// Starts a task that registers `entry` with the platform at `platform`.
    #[must_use]
    pub fn new(platform: Authority, entry: HostEntry, switch: &LeavingSwitch) -> Self {
        let leaving = switch.leaving.subscribe();
        Self {
            task: tokio::spawn(register_periodically(platform, entry, leaving)),
        }
    }
}

impl Drop for HostRegistration {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn register_periodically(
    platform: Authority,
    mut entry: HostEntry,
    mut leaving: watch::Receiver<bool>,
) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    loop {
        entry.status = if *leaving.borrow_and_update() {
            HostStatus::Leaving
        } else {
            HostStatus::Live
        };
        let register = register_once(&client, &platform, &entry);
        if tokio::time::timeout(REGISTER_TIMEOUT, register)
            .await
            .is_err()
        {
            log::warn!("standin: registration of {} timed out", entry.name);
        }
        let changed = tokio::time::timeout(REGISTER_INTERVAL, leaving.changed()).await;
        if matches!(changed, Ok(Err(_))) {
            return;
        }
    }
}

async fn register_once(
    client: &Client<HttpConnector, Full<Bytes>>,
    platform: &Authority,
    entry: &HostEntry,
) {
    let Ok(text) = encode_json(entry) else {
        return;
    };
    let request = http::Request::post(format!("http://{platform}/v1/hosts")).body(Full::new(text));
    let Ok(request) = request else {
        return;
    };
    match client.request(request).await {
        Ok(response) if response.status().is_success() => {}
        Ok(response) => {
            let status = response.status();
            log::warn!(
                "standin: registration of {} was answered with status {status}",
                entry.name
            );
        }
        Err(error) => log::warn!("standin: registration of {} failed: {error}", entry.name),
    }
}

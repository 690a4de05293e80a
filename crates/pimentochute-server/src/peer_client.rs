//! The HTTP client for calls to other entry hosts.

use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use pimentochute_base::{HostName, MilliClock, MilliSpan, ServiceName};
use pimentochute_route::{PeerForward, PeerLoad, RouteError, RoutedAnswer, RoutedRequest};
use pimentochute_state::{FleetConfig, StampedRecord};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Duration, timeout};

use crate::metrics::Metrics;
use crate::peer_wire::{
    AppendMessage, EmptyMessage, ForwardResult, PEER_MEDIA_TYPE, PeerRefusal, PeerRefusalCode,
    decode_peer, encode_peer,
};
use crate::settings::{SecretText, Settings};
use crate::{Heartbeat, PeerError, PeerLink, PeerTable};

/// The idle time after which a pooled connection is closed. A call on a
/// connection that broke while idle would wait for its whole timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long after the deadline of a forwarded request its answer is still
/// awaited.
const FORWARD_GRACE: MilliSpan = MilliSpan::new(500);

/// Calls other entry hosts over HTTP.
pub struct PeerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    settings: Arc<Settings>,
    key: SecretText,
    table: Arc<PeerTable>,
    clock: MilliClock,
    metrics: Arc<Metrics>,
}

impl PeerClient {
    /// Creates a client; connections are opened on demand.
    #[must_use]
    pub fn new(
        settings: Arc<Settings>,
        table: Arc<PeerTable>,
        clock: MilliClock,
        metrics: Arc<Metrics>,
    ) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.peers.call_timeout_ms.as_duration()));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self {
            client,
            key: settings.peer_key.clone(),
            settings,
            table,
            clock,
            metrics,
        }
    }

    /// Sends a message to `/peer/{path}` of another host and counts the call in
    /// the metrics.
    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        host: &HostName,
        path: &'static str,
        message: &Q,
        limit: MilliSpan,
    ) -> Result<A, PeerError> {
        let exchange = self.exchange(host, path, message);
        let result = match timeout(limit.as_duration(), exchange).await {
            Ok(result) => result,
            Err(_) => Err(unknown(host, &format!("no answer within {limit}"))),
        };
        self.metrics.count_peer_call(path, result.is_ok());
        result
    }

    async fn exchange<Q: Serialize, A: DeserializeOwned>(
        &self,
        host: &HostName,
        path: &'static str,
        message: &Q,
    ) -> Result<A, PeerError> {
        let request = self.request(host, path, message)?;
        let response = self.client.request(request).await;
        let response = response.map_err(|error| {
            if error.is_connect() {
                unreachable_host(host, &error)
            } else {
                unknown(host, &error)
            }
        })?;
        let status = response.status();
        let limit = usize::try_from(self.settings.http.for_peers().max_body_bytes);
        let body = Limited::new(response.into_body(), limit.unwrap_or(usize::MAX));
        let body = body.collect().await.map_err(|e| unknown(host, &e))?;
        let body = body.to_bytes();
        if status == StatusCode::OK {
            return decode_peer(&body).map_err(|error| unknown(host, &error));
        }
        let refusal: PeerRefusal = decode_peer(&body)
            .map_err(|error| unknown(host, &format!("status {status}: {error}")))?;
        Err(refused(host, &refusal))
    }

    fn request<Q: Serialize>(
        &self,
        host: &HostName,
        path: &'static str,
        message: &Q,
    ) -> Result<Request<Full<Bytes>>, PeerError> {
        let entry = self.settings.entry_host(host);
        let entry = entry.ok_or_else(|| unreachable_host(host, &"it is not in the settings"))?;
        let body = encode_peer(message).map_err(|error| unreachable_host(host, &error))?;
        let bearer = format!("Bearer {}", self.key.reveal());
        let mut bearer =
            HeaderValue::from_str(&bearer).map_err(|error| unreachable_host(host, &error))?;
        bearer.set_sensitive(true);
        Request::post(format!("http://{}/peer/{path}", entry.peer))
            .header(AUTHORIZATION, bearer)
            .header(CONTENT_TYPE, PEER_MEDIA_TYPE)
            .body(Full::new(body))
            .map_err(|error| unreachable_host(host, &error))
    }

    fn call_timeout(&self) -> MilliSpan {
        self.settings.peers.call_timeout_ms
    }
}

impl PeerLink for PeerClient {
    fn heartbeat<'a>(
        &'a self,
        host: &'a HostName,
        beat: Heartbeat,
    ) -> BoxFuture<'a, Result<Heartbeat, PeerError>> {
        Box::pin(async move {
            self.call(host, "heartbeat", &beat, self.call_timeout())
                .await
        })
    }

    fn append<'a>(
        &'a self,
        host: &'a HostName,
        records: Vec<StampedRecord>,
    ) -> BoxFuture<'a, Result<(), PeerError>> {
        Box::pin(async move {
            let message = AppendMessage { records };
            // The other host waits for the log before it answers.
            let limit = self.call_timeout() + self.settings.log.call_timeout_ms;
            let answer: Result<EmptyMessage, _> = self.call(host, "append", &message, limit).await;
            answer.map(|_| ())
        })
    }

    fn config<'a>(&'a self, host: &'a HostName) -> BoxFuture<'a, Result<FleetConfig, PeerError>> {
        Box::pin(async move {
            let message = EmptyMessage {};
            self.call(host, "config", &message, self.call_timeout())
                .await
        })
    }
}

impl PeerForward for PeerClient {
    fn loads(&self, service: &ServiceName) -> Vec<PeerLoad> {
        self.table.free_capacity(service, self.clock.now())
    }

    fn forward<'a>(
        &'a self,
        host: &'a HostName,
        request: RoutedRequest,
    ) -> BoxFuture<'a, Result<RoutedAnswer, RouteError>> {
        Box::pin(async move {
            let limit = request.deadline + FORWARD_GRACE;
            match self.call(host, "forward", &request, limit).await {
                Ok(ForwardResult::Answered(answer)) => Ok(answer),
                Ok(ForwardResult::Failed(error)) => Err(error),
                Err(PeerError::OutcomeUnknown { .. }) => Err(RouteError::OutcomeUnknown),
                Err(PeerError::Unreachable { .. } | PeerError::Refused { .. }) => {
                    Err(RouteError::PeerUnreachable)
                }
            }
        })
    }
}

/// Converts a refusal. A refusal with an unknown outcome becomes
/// [`PeerError::OutcomeUnknown`], since the call may have taken effect.
fn refused(host: &HostName, refusal: &PeerRefusal) -> PeerError {
    if refusal.code == PeerRefusalCode::OutcomeUnknown {
        return unknown(host, refusal);
    }
    PeerError::Refused {
        host: host.clone(),
        detail: refusal.to_string(),
    }
}

fn unknown(host: &HostName, detail: &dyn ToString) -> PeerError {
    PeerError::OutcomeUnknown {
        host: host.clone(),
        detail: detail.to_string(),
    }
}

fn unreachable_host(host: &HostName, detail: &dyn ToString) -> PeerError {
    PeerError::Unreachable {
        host: host.clone(),
        detail: detail.to_string(),
    }
}

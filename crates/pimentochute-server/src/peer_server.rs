//! The HTTP handlers for other entry hosts.

use std::sync::Arc;

use bytes::Bytes;
use futures::future::{BoxFuture, ready};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use pimentochute_base::KeyDigest;
use pimentochute_platform::AppendError;
use pimentochute_route::{RequestOrigin, RequestRoute, RoutedRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;
use viz::{Body, Router};

use crate::admission::bearer_secret;
use crate::http_server::{BodyReader, ServerContext};
use crate::peer_wire::{
    AppendMessage, EmptyMessage, ForwardResult, PEER_MEDIA_TYPE, PeerRefusal, PeerRefusalCode,
    decode_peer, encode_peer,
};
use crate::settings::Settings;
use crate::{ControlPlane, Heartbeat, PeerTable};

/// Provides the heartbeats of this host.
pub trait HeartbeatSource: Send + Sync {
    /// Returns a heartbeat with the current state of this host.
    fn beat(&self) -> Heartbeat;
}

/// What the peer handlers depend on.
#[derive(Clone)]
pub struct PeerDependencies {
    /// Appends records and provides the configuration for peers.
    pub control: Arc<dyn ControlPlane>,
    /// Routes forwarded requests.
    pub route: Arc<dyn RequestRoute>,
    /// The source of this host's heartbeats.
    pub heartbeats: Arc<dyn HeartbeatSource>,
    /// The last heartbeats of the other hosts.
    pub table: Arc<PeerTable>,
}

struct PeerRoutes {
    key: KeyDigest,
    dependencies: PeerDependencies,
    context: ServerContext,
    bodies: BodyReader,
}

type PeerFuture<'a> = BoxFuture<'a, Result<Bytes, PeerRefusal>>;

/// A handler: takes the request body and returns the response body.
type PeerHandler = for<'a> fn(&'a PeerRoutes, Bytes) -> PeerFuture<'a>;

/// Returns the router of the peer listener.
#[must_use]
pub fn peer_routes(
    settings: &Settings,
    dependencies: PeerDependencies,
    context: ServerContext,
) -> Router {
    let routes = Arc::new(PeerRoutes {
        key: KeyDigest::of(settings.peer_key.reveal()),
        dependencies,
        bodies: BodyReader::new(settings.http.for_peers(), context.clients.clone()),
        context,
    });
    let handle = |handler: PeerHandler| {
        let routes = Arc::clone(&routes);
        move |request: Request<Body>| respond(Arc::clone(&routes), handler, request)
    };
    Router::new()
        .post(
            "/peer/heartbeat",
            handle(|routes, body| Box::pin(ready(routes.heartbeat(&body)))),
        )
        .post(
            "/peer/append",
            handle(|routes, body| Box::pin(routes.append(body))),
        )
        .post(
            "/peer/config",
            handle(|routes, body| Box::pin(ready(routes.config(&body)))),
        )
        .post(
            "/peer/forward",
            handle(|routes, body| Box::pin(routes.forward(body))),
        )
}

async fn respond(
    routes: Arc<PeerRoutes>,
    handler: PeerHandler,
    mut request: Request<Body>,
) -> viz::Result<Response<Body>> {
    let (status, bytes) = match routes.call(handler, &mut request).await {
        Ok(bytes) => (StatusCode::OK, bytes),
        Err(refusal) => {
            log::debug!("peer: call refused: {refusal}");
            let bytes = encode_peer(&refusal).unwrap_or_default();
            (status_of(refusal.code), bytes)
        }
    };
    let mut response = Response::new(Body::from(Full::new(bytes)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static(PEER_MEDIA_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, kind);
    Ok(response)
}

const fn status_of(code: PeerRefusalCode) -> StatusCode {
    match code {
        PeerRefusalCode::Unauthenticated => StatusCode::UNAUTHORIZED,
        PeerRefusalCode::Malformed => StatusCode::BAD_REQUEST,
        PeerRefusalCode::UnknownHost => StatusCode::FORBIDDEN,
        PeerRefusalCode::NotAppended => StatusCode::SERVICE_UNAVAILABLE,
        PeerRefusalCode::OutcomeUnknown => StatusCode::BAD_GATEWAY,
    }
}

impl PeerRoutes {
    async fn call(
        &self,
        handler: PeerHandler,
        request: &mut Request<Body>,
    ) -> Result<Bytes, PeerRefusal> {
        if !self.has_key(request) {
            let detail = "the peer key is missing or wrong; hint: give every host the same one";
            return Err(refusal(PeerRefusalCode::Unauthenticated, &detail));
        }
        let body = self.bodies.read(request).await;
        let body = body.map_err(|error| refusal(PeerRefusalCode::Malformed, &error))?;
        handler(self, body.content.clone()).await
    }

    fn has_key(&self, request: &Request<Body>) -> bool {
        let secret = bearer_secret(request.headers()).ok().flatten();
        secret.is_some_and(|secret| KeyDigest::of(secret).matches(&self.key))
    }

    fn heartbeat(&self, body: &Bytes) -> Result<Bytes, PeerRefusal> {
        let beat: Heartbeat = decode(body)?;
        let recorded = self
            .dependencies
            .table
            .record(beat, self.context.clock.now());
        recorded.map_err(|error| refusal(PeerRefusalCode::UnknownHost, &error))?;
        encode(&self.dependencies.heartbeats.beat())
    }

    async fn append(&self, body: Bytes) -> Result<Bytes, PeerRefusal> {
        let message: AppendMessage = decode(&body)?;
        match self
            .dependencies
            .control
            .append_for_peer(message.records)
            .await
        {
            Ok(()) => encode(&EmptyMessage {}),
            Err(error @ AppendError::NotAppended { .. }) => {
                Err(refusal(PeerRefusalCode::NotAppended, &error))
            }
            Err(error @ AppendError::OutcomeUnknown { .. }) => {
                Err(refusal(PeerRefusalCode::OutcomeUnknown, &error))
            }
        }
    }

    fn config(&self, body: &Bytes) -> Result<Bytes, PeerRefusal> {
        let _: EmptyMessage = decode(body)?;
        encode(&*self.dependencies.control.config())
    }

    async fn forward(&self, body: Bytes) -> Result<Bytes, PeerRefusal> {
        let mut request: RoutedRequest = decode(&body)?;
        if request.origin == RequestOrigin::Caller {
            request.origin = RequestOrigin::Peer;
        }
        let result = match self.dependencies.route.route(request).await {
            Ok(answer) => ForwardResult::Answered(answer),
            Err(error) => ForwardResult::Failed(error),
        };
        encode(&result)
    }
}

fn refusal(code: PeerRefusalCode, detail: &dyn ToString) -> PeerRefusal {
    let detail = detail.to_string();
    PeerRefusal { code, detail }
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerRefusal> {
    decode_peer(bytes).map_err(|error| refusal(PeerRefusalCode::Malformed, &error))
}

/// Encodes an answer. If that fails, the caller cannot learn the outcome of its
/// call, so the refusal says that it is unknown.
fn encode<T: Serialize>(message: &T) -> Result<Bytes, PeerRefusal> {
    encode_peer(message).map_err(|error| refusal(PeerRefusalCode::OutcomeUnknown, &error))
}

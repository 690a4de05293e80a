//! The HTTP handlers for callers and operators.

mod config_handlers;
mod host_handlers;
mod job_handlers;
mod request_handlers;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use futures::future::BoxFuture;
use http::{Request, Response};
use pimentochute_route::RequestRoute;
use pimentochute_state::FleetConfig;
use serde::de::DeserializeOwned;
use viz::{Body, Router};

use crate::admission::{AdmissionCheck, CallerIdentity};
use crate::api::EndpointView;
use crate::http_server::{BodyReader, ServerContext, refusal_response};
use crate::refusal::{Refusal, RefusalCode};
use crate::settings::Settings;
use crate::{ControlPlane, ServiceCapacity};

/// The endpoints that the router uses, for operators and heartbeats.
pub trait EndpointList: Send + Sync {
    /// Returns the endpoints that this host knows.
    fn endpoints(&self) -> Vec<EndpointView>;

    /// Returns the free capacity of this host per service.
    fn free_capacity(&self) -> Vec<ServiceCapacity>;
}

/// What the public handlers depend on.
#[derive(Clone)]
pub struct PublicDependencies {
    /// Serves the replicated state and records changes to it.
    pub control: Arc<dyn ControlPlane>,
    /// Routes requests.
    pub route: Arc<dyn RequestRoute>,
    /// Lists the endpoints.
    pub endpoints: Arc<dyn EndpointList>,
}

/// The state that the public handlers share.
pub(crate) struct PublicRoutes {
    settings: Arc<Settings>,
    dependencies: PublicDependencies,
    context: ServerContext,
    bodies: BodyReader,
    /// The prefix of request identifiers: the host name and the wall-clock time
    /// at which the routes were built, so that a restarted host does not reuse
    /// identifiers.
    id_prefix: String,
    next_id: AtomicU64,
}

type HandlerFuture<'a> = BoxFuture<'a, Result<Response<Body>, Refusal>>;

/// A handler that only reads state.
type ReadHandler = fn(&PublicRoutes, &Request<Body>) -> Result<Response<Body>, Refusal>;

/// A handler that waits for the request body or for an outcome.
type Handler = for<'a> fn(&'a PublicRoutes, &'a mut Request<Body>) -> HandlerFuture<'a>;

/// Returns the router of the public listener.
#[must_use]
pub fn public_routes(
    settings: Arc<Settings>,
    dependencies: PublicDependencies,
    context: ServerContext,
) -> Router {
    let built_at = context.clock.unix_now().as_millis();
    let routes = Arc::new(PublicRoutes {
        id_prefix: format!("{}-{built_at:x}", settings.host),
        bodies: BodyReader::new(settings.http, context.clients.clone()),
        settings,
        dependencies,
        context,
        next_id: AtomicU64::new(0),
    });
    let handle = |handler: Handler| {
        let routes = Arc::clone(&routes);
        move |request: Request<Body>| respond(Arc::clone(&routes), handler, request)
    };
    let read = |handler: ReadHandler| {
        let routes = Arc::clone(&routes);
        move |request: Request<Body>| {
            let result = handler(&routes, &request);
            let response = result.unwrap_or_else(|refusal| routes.refuse(&refusal));
            async move { viz::Result::Ok(response) }
        }
    };
    let probe = |handler: fn(&PublicRoutes) -> Response<Body>| {
        let routes = Arc::clone(&routes);
        move |_: Request<Body>| {
            let response = handler(&routes);
            async move { viz::Result::Ok(response) }
        }
    };
    Router::new()
        .post(
            "/v1/requests",
            handle(|routes, request| Box::pin(routes.submit_request(request))),
        )
        .post(
            "/v1/jobs",
            handle(|routes, request| Box::pin(routes.submit_job(request))),
        )
        .get("/v1/jobs", read(PublicRoutes::list_jobs))
        .get("/v1/jobs/:id", read(PublicRoutes::show_job))
        .delete(
            "/v1/jobs/:id",
            handle(|routes, request| Box::pin(routes.cancel_job(request))),
        )
        .get("/v1/config", read(PublicRoutes::show_config))
        .get("/v1/config/history", read(PublicRoutes::show_history))
        .post(
            "/v1/config/patches",
            handle(|routes, request| Box::pin(routes.submit_patch(request))),
        )
        .get("/v1/status", read(PublicRoutes::show_status))
        .get("/v1/workers", read(PublicRoutes::show_workers))
        .get("/v1/endpoints", read(PublicRoutes::show_endpoints))
        .get("/healthz", probe(|_| host_handlers::show_health()))
        .get("/readyz", probe(PublicRoutes::show_readiness))
        .get("/metrics", probe(PublicRoutes::show_metrics))
}

async fn respond(
    routes: Arc<PublicRoutes>,
    handler: Handler,
    mut request: Request<Body>,
) -> viz::Result<Response<Body>> {
    let response = match handler(&routes, &mut request).await {
        Ok(response) => response,
        Err(refusal) => {
            // A caller that is still sending its body may not read the response.
            routes.bodies.discard(&mut request).await;
            routes.refuse(&refusal)
        }
    };
    Ok(response)
}

impl PublicRoutes {
    fn refuse(&self, refusal: &Refusal) -> Response<Body> {
        self.context.metrics.count_refusal(refusal.code.as_str());
        refusal_response(refusal)
    }

    fn config(&self) -> Arc<FleetConfig> {
        self.dependencies.control.config()
    }

    fn admission_check<'a>(&'a self, config: &'a FleetConfig) -> AdmissionCheck<'a> {
        AdmissionCheck {
            config,
            accepts_keyed_work: self.dependencies.control.accepts_keyed_work(),
            operators: &self.settings.operator_keys,
            retry_after: self.settings.http.retry_after_ms,
        }
    }

    /// Refuses callers without an operator key; returns the name of the key.
    fn require_operator(&self, request: &Request<Body>) -> Result<String, Refusal> {
        let config = self.config();
        match self.admission_check(&config).identify(request.headers()) {
            Ok(CallerIdentity::Operator { name }) => Ok(name),
            Ok(CallerIdentity::Team { .. }) => {
                let error = "the key is not one of an operator";
                let hint = "present a key of an operator";
                Err(Refusal::new(RefusalCode::Forbidden, error, hint))
            }
            Ok(CallerIdentity::Anonymous) => Err(needs_key("a key of an operator")),
            Err(refusal) => Err(refusal),
        }
    }
}

fn needs_key(what: &str) -> Refusal {
    let error = format!("the page needs {what}");
    let hint = "send it as `authorization: Bearer SECRET`";
    Refusal::new(RefusalCode::Unauthenticated, error, hint)
}

/// Decodes a JSON body; the refusal names the path of the wrong value.
fn decode_json<T: DeserializeOwned>(text: &[u8]) -> Result<T, Refusal> {
    let mut decoder = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut decoder).map_err(|error| {
        let error = format!("the body is wrong at {}: {}", error.path(), error.inner());
        Refusal::invalid(error, "compare it with docs/api.md")
    })?;
    let rest = decoder.end();
    rest.map_err(|error| {
        let error = format!("the body goes on after its end: {error}");
        Refusal::invalid(error, "send one JSON object")
    })?;
    Ok(value)
}

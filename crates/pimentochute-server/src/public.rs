//! The pages for callers and operators.

mod config_handlers;
mod host_handlers;
mod job_handlers;
mod request_handlers;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use futures::future::BoxFuture;
use http::{Request, Response};
use pimentochute_route::RequestRoute;
use pimentochute_state::CellConfig;
use serde::de::DeserializeOwned;
use viz::{Body, Router};

use crate::admission::{AdmissionCheck, CallerIdentity};
use crate::api::EndpointView;
use crate::http_server::{BodyReader, ServerContext, refusal_answer};
use crate::refusal::{Refusal, RefusalCode};
use crate::settings::Settings;
use crate::{ControlPlane, ServiceLoad};

/// The router's view of the endpoints, for operators and heartbeats.
pub trait EndpointList: Send + Sync {
    /// Returns the endpoints that this host knows.
    fn endpoints(&self) -> Vec<EndpointView>;

    /// Returns the free capacity of this host per service.
    fn loads(&self) -> Vec<ServiceLoad>;
}

/// What the public pages need.
#[derive(Clone)]
pub struct PublicParts {
    /// The log-ordered state.
    pub control: Arc<dyn ControlPlane>,
    /// The router.
    pub route: Arc<dyn RequestRoute>,
    /// The endpoints.
    pub endpoints: Arc<dyn EndpointList>,
}

/// The pages of one daemon.
pub(crate) struct PublicPages {
    settings: Arc<Settings>,
    parts: PublicParts,
    context: ServerContext,
    bodies: BodyReader,
    /// Starts every request identifier of this run.
    id_prefix: String,
    next_id: AtomicU64,
}

type PageFuture<'a> = BoxFuture<'a, Result<Response<Body>, Refusal>>;

/// A page that only reads state.
type ReadPage = fn(&PublicPages, &Request<Body>) -> Result<Response<Body>, Refusal>;

/// A page that waits, for the body or for an outcome.
type Page = for<'a> fn(&'a PublicPages, &'a mut Request<Body>) -> PageFuture<'a>;

/// Returns the router of the public listener.
#[must_use]
pub fn public_router(
    settings: Arc<Settings>,
    parts: PublicParts,
    context: ServerContext,
) -> Router {
    let run = context.clock.unix_now().as_millis();
    let pages = Arc::new(PublicPages {
        id_prefix: format!("{}-{run:x}", settings.host),
        bodies: BodyReader::new(settings.http),
        settings,
        parts,
        context,
        next_id: AtomicU64::new(0),
    });
    let page = |page: Page| {
        let pages = Arc::clone(&pages);
        move |request: Request<Body>| answer(Arc::clone(&pages), page, request)
    };
    let read = |page: ReadPage| {
        let pages = Arc::clone(&pages);
        move |request: Request<Body>| {
            let result = page(&pages, &request);
            let answer = result.unwrap_or_else(|refusal| pages.refuse(&refusal));
            async move { viz::Result::Ok(answer) }
        }
    };
    let probe = |page: fn(&PublicPages) -> Response<Body>| {
        let pages = Arc::clone(&pages);
        move |_: Request<Body>| {
            let answer = page(&pages);
            async move { viz::Result::Ok(answer) }
        }
    };
    Router::new()
        .post("/v1/requests", page(|p, r| Box::pin(p.request(r))))
        .post("/v1/jobs", page(|p, r| Box::pin(p.submit_job(r))))
        .get("/v1/jobs", read(PublicPages::list_jobs))
        .get("/v1/jobs/:id", read(PublicPages::show_job))
        .delete("/v1/jobs/:id", page(|p, r| Box::pin(p.cancel_job(r))))
        .get("/v1/config", read(PublicPages::show_config))
        .get("/v1/config/history", read(PublicPages::show_history))
        .post("/v1/config/patches", page(|p, r| Box::pin(p.take_patch(r))))
        .get("/v1/status", read(PublicPages::show_status))
        .get("/v1/workers", read(PublicPages::show_workers))
        .get("/v1/endpoints", read(PublicPages::show_endpoints))
        .get("/healthz", probe(|_| host_handlers::health()))
        .get("/readyz", probe(PublicPages::readiness))
        .get("/metrics", probe(PublicPages::metrics))
}

async fn answer(
    pages: Arc<PublicPages>,
    page: Page,
    mut request: Request<Body>,
) -> viz::Result<Response<Body>> {
    let answer = match page(&pages, &mut request).await {
        Ok(answer) => answer,
        Err(refusal) => {
            // A caller that is still sending may never see the refusal.
            pages.bodies.discard(&mut request).await;
            pages.refuse(&refusal)
        }
    };
    Ok(answer)
}

impl PublicPages {
    fn refuse(&self, refusal: &Refusal) -> Response<Body> {
        self.context.metrics.refused(refusal.code.as_str());
        refusal_answer(refusal)
    }

    fn config(&self) -> Arc<CellConfig> {
        self.parts.control.config()
    }

    fn check<'a>(&'a self, config: &'a CellConfig) -> AdmissionCheck<'a> {
        AdmissionCheck {
            config,
            takes_keyed_work: self.parts.control.takes_keyed_work(),
            operators: &self.settings.operator_keys,
            retry_after: self.settings.http.retry_after_ms,
        }
    }

    /// Returns the name of the operator's key.
    fn operator(&self, request: &Request<Body>) -> Result<String, Refusal> {
        let config = self.config();
        match self.check(&config).identify(request.headers()) {
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

/// Decodes a JSON body and names the place of a fault.
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

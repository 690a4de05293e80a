//! Handlers for the state of this host: status, probes and metrics.

use http::{Request, Response, StatusCode};
use pimentochute_base::ConfigVersion;
use viz::Body;

use super::PublicRoutes;
use crate::http_server::{json_response, text_response};
use crate::refusal::Refusal;

impl PublicRoutes {
    /// `GET /v1/status`
    pub(super) fn show_status(&self, request: &Request<Body>) -> Result<Response<Body>, Refusal> {
        self.require_operator(request)?;
        let mut status = self.dependencies.control.status();
        status.draining |= self.context.drain_state.is_draining();
        Ok(json_response(StatusCode::OK, &status))
    }

    /// `GET /v1/workers`
    pub(super) fn show_workers(&self, request: &Request<Body>) -> Result<Response<Body>, Refusal> {
        self.require_operator(request)?;
        Ok(json_response(
            StatusCode::OK,
            &self.dependencies.control.workers(),
        ))
    }

    /// `GET /v1/endpoints`
    pub(super) fn show_endpoints(
        &self,
        request: &Request<Body>,
    ) -> Result<Response<Body>, Refusal> {
        self.require_operator(request)?;
        let endpoints = self.dependencies.endpoints.endpoints();
        Ok(json_response(StatusCode::OK, &endpoints))
    }

    /// `GET /readyz`
    ///
    /// A host without a configuration would refuse every queue, so it is not
    /// ready until it has read one or has established that there is none.
    pub(super) fn show_readiness(&self) -> Response<Body> {
        let control = &self.dependencies.control;
        // `accepts_keyed_work` implies that the configuration, even if empty, is
        // known to be current.
        let knows_config =
            control.config().version > ConfigVersion::new(0) || control.accepts_keyed_work();
        let (status, text) = if self.context.drain_state.is_draining() {
            (StatusCode::SERVICE_UNAVAILABLE, "draining\n")
        } else if knows_config {
            (StatusCode::OK, "ready\n")
        } else {
            (
                StatusCode::SERVICE_UNAVAILABLE,
                "no configuration read yet\n",
            )
        };
        text_response(status, text.to_owned())
    }

    /// `GET /metrics`
    pub(super) fn show_metrics(&self) -> Response<Body> {
        match self.context.metrics.text() {
            Ok(text) => text_response(StatusCode::OK, text),
            Err(error) => {
                log::error!("http: {error}");
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                text_response(status, format!("{error}\n"))
            }
        }
    }
}

/// `GET /healthz`
pub(super) fn show_health() -> Response<Body> {
    text_response(StatusCode::OK, "ok\n".to_owned())
}

//! The readiness check for the load balancer, and the metrics page.

use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::Full;
use pimentochute_base::MilliSpan;
use viz::{Body, Request, Router};

use crate::config_feed::ConfigFeed;
use crate::context::EdgeContext;
use crate::members::HostGroup;

/// A host is not ready if the log has not answered it for this long: it cannot
/// append jobs.
const MAX_JOIN_ANSWER_AGE: MilliSpan = MilliSpan::new(1_000);

/// Decides whether this host should get new connections.
#[derive(Clone)]
pub(crate) struct ReadyCheck {
    pub(crate) context: EdgeContext,
    pub(crate) config: ConfigFeed,
    pub(crate) group: HostGroup,
}

impl ReadyCheck {
    /// Returns whether this host should get new connections: it is not draining,
    /// has a configuration, and the log answers it.
    pub(crate) fn is_ready(&self) -> bool {
        !self.context.gate.is_draining()
            && self.config.current().is_some()
            && self.group.join_answer_age() < MAX_JOIN_ANSWER_AGE
    }

    /// Returns the router for the load balancer and for operators.
    pub(crate) fn router(self) -> Router {
        let metrics = self.context.metrics.clone();
        let check = self.clone();
        Router::new()
            .get("/readiness", move |_: Request| {
                let is_ready = self.is_ready();
                async move { Ok::<_, viz::Error>(check_answer(is_ready)) }
            })
            .get("/metrics", move |_: Request| {
                let counters = &check.context.counters;
                counters.record_ages(check.config.age(), check.group.join_answer_age());
                let text = metrics.text();
                async move {
                    Ok::<_, viz::Error>(match text {
                        Ok(text) => text_answer(text),
                        Err(error) => {
                            log::error!("ready: cannot encode the metrics: {error}");
                            check_answer(false)
                        }
                    })
                }
            })
    }
}

fn check_answer(is_ready: bool) -> Response<Body> {
    let mut response = text_answer(String::new());
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn text_answer(text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(Full::from(text)));
    let plain = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}

//! Handlers for the configuration: versions, history and patches.

use http::{Request, Response, StatusCode};
use pimentochute_base::{ConfigVersion, PatchId};
use pimentochute_state::ConfigPatch;
use serde::Serialize;
use viz::Body;

use super::job_handlers::query_value;
use super::{PublicRoutes, decode_json};
use crate::api::PatchView;
use crate::http_server::json_response;
use crate::refusal::{Refusal, RefusalCode};

/// The maximum length of a patch's author, in bytes.
const MAX_AUTHOR_BYTES: usize = 128;

/// The maximum number of operations in a patch.
const MAX_OPERATIONS: usize = 1_000;

/// The response to a rejected patch: a refusal with the version in force.
#[derive(Serialize)]
struct RejectedPatch<'a> {
    #[serde(flatten)]
    refusal: &'a Refusal,
    #[serde(flatten)]
    result: &'a PatchView,
}

impl PublicRoutes {
    /// `GET /v1/config[?version=]`
    pub(super) fn show_config(&self, request: &Request<Body>) -> Result<Response<Body>, Refusal> {
        self.require_operator(request)?;
        let Some(text) = query_value(request, "version")? else {
            return Ok(json_response(StatusCode::OK, &*self.config()));
        };
        let version = text.parse().map(ConfigVersion::new).map_err(|_| {
            let error = format!("{text:?} is not a version");
            Refusal::invalid(error, "give a number")
        })?;
        match self.dependencies.control.config_version(version) {
            Some(config) => Ok(json_response(StatusCode::OK, &*config)),
            None => Err(Refusal::not_found(
                format!("version {version} is not remembered here"),
                "see GET /v1/config/history for the remembered patches",
            )),
        }
    }

    /// `GET /v1/config/history`
    pub(super) fn show_history(&self, request: &Request<Body>) -> Result<Response<Body>, Refusal> {
        self.require_operator(request)?;
        let history = self.dependencies.control.config_history();
        Ok(json_response(StatusCode::OK, &history))
    }

    /// `POST /v1/config/patches`
    pub(super) async fn submit_patch(
        &self,
        request: &mut Request<Body>,
    ) -> Result<Response<Body>, Refusal> {
        let operator = self.require_operator(request)?;
        let body = self.bodies.read(request).await?;
        let patch: ConfigPatch = decode_json(&body.content)?;
        check_patch(&patch)?;
        let id = patch.id.clone();
        let author = patch.author.clone();
        let result = self.dependencies.control.patch(patch).await;
        log::info!("http: patch {id} of {author}, sent with operator key {operator}: {result:?}");
        match result {
            Ok(view @ PatchView::Accepted { .. }) => Ok(json_response(StatusCode::OK, &view)),
            Ok(view) => Ok(self.rejected_response(&id, &view)),
            Err(error) => {
                let retry_after = self.settings.http.retry_after_ms;
                Err(Refusal::from_submit_error(&error, retry_after))
            }
        }
    }

    fn rejected_response(&self, id: &PatchId, view: &PatchView) -> Response<Body> {
        let refusal = rejection(id, view);
        self.context.metrics.count_refusal(refusal.code.as_str());
        let rejected = RejectedPatch {
            refusal: &refusal,
            result: view,
        };
        json_response(refusal.code.status(), &rejected)
    }
}

/// Returns the refusal for a rejected patch. A hint in the reason becomes the
/// hint of the refusal.
fn rejection(id: &PatchId, view: &PatchView) -> Refusal {
    let (current, reason) = match view {
        PatchView::Rejected { current, reason } => (*current, reason.as_str()),
        PatchView::Accepted { version } => (*version, ""),
    };
    let usual = "read the version in force and make the patch again with a new id";
    let (reason, hint) = reason.split_once("; hint: ").unwrap_or((reason, usual));
    let error = format!("patch {id} is rejected, version {current} is in force: {reason}");
    Refusal::new(RefusalCode::Conflict, error, hint)
}

fn check_patch(patch: &ConfigPatch) -> Result<(), Refusal> {
    let author = &patch.author;
    if author.trim().is_empty() || author.len() > MAX_AUTHOR_BYTES {
        let hint = format!("name the author in 1 to {MAX_AUTHOR_BYTES} bytes");
        return Err(Refusal::invalid("the patch has no usable author", hint));
    }
    let count = patch.operations.len();
    if count == 0 || count > MAX_OPERATIONS {
        let error = format!("the patch has {count} operations");
        let hint = format!("give 1 to {MAX_OPERATIONS}");
        return Err(Refusal::invalid(error, hint));
    }
    Ok(())
}

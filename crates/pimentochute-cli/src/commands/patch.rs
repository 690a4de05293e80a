//! Builds configuration patches and sends them to a host.

use std::time::Duration;

use pimentochute_base::{MilliSpan, PatchId};
use pimentochute_server::api::PatchView;
use pimentochute_server::{Refusal, RefusalCode};
use pimentochute_state::{ConfigPatch, FleetConfig, PatchOperation};

use super::random_hex;
use crate::api_client::{ApiCall, ApiClient, CALL_TIMEOUT, json_bytes};
use crate::exit::CliError;

/// How often a patch is sent at most while its outcome is unknown. The host
/// deduplicates by patch id, so repeating it is safe.
const MAX_SENDS: u32 = 3;

/// The delay before a patch is sent again if the host gives no retry delay.
const RESEND_DELAY: Duration = Duration::from_secs(1);

/// The API path that accepts patches.
const PATCHES_PATH: &str = "/v1/config/patches";

/// Builds a patch that applies to the given version of the configuration. The
/// author defaults to the `USER` environment variable.
pub fn build_patch(
    config: &FleetConfig,
    author: Option<String>,
    operations: Vec<PatchOperation>,
) -> Result<ConfigPatch, CliError> {
    let id = format!("cli-{}", random_hex::<16>()?);
    let id = PatchId::new(&id).map_err(|error| CliError::System {
        what: "creating a patch id",
        detail: error.to_string(),
    })?;
    let author = author.or_else(|| std::env::var("USER").ok());
    let author = author.filter(|author| !author.trim().is_empty());
    let author = author
        .ok_or_else(|| CliError::usage("the author is not known", "give --author or set USER"))?;
    Ok(ConfigPatch {
        id,
        base_version: config.version,
        author,
        operations,
    })
}

/// Sends a patch until its outcome is known, at most [`MAX_SENDS`] times, and
/// returns the version that it created.
pub async fn send_patch(client: &ApiClient, patch: &ConfigPatch) -> Result<u64, CliError> {
    let mut sent = 1;
    loop {
        let error = match send_once(client, patch).await {
            Ok(version) => return Ok(version),
            Err(error) => error,
        };
        let (unknown, delay) = unknown_outcome(&error);
        if !unknown {
            return Err(error);
        }
        if sent == MAX_SENDS {
            let id = patch.id.clone();
            return Err(CliError::PatchOutcomeUnknown { id });
        }
        sent += 1;
        tokio::time::sleep(delay).await;
    }
}

/// Returns whether the outcome of the patch is unknown, and the delay before
/// the patch is sent again.
fn unknown_outcome(error: &CliError) -> (bool, Duration) {
    match error {
        CliError::Refused { source } => {
            let delay = source.retry_after_ms.map(MilliSpan::as_duration);
            let unknown = source.code == RefusalCode::OutcomeUnknown;
            (unknown, delay.unwrap_or(RESEND_DELAY))
        }
        CliError::UnusableResponse { mutating, .. } => (*mutating, RESEND_DELAY),
        _ => (false, RESEND_DELAY),
    }
}

async fn send_once(client: &ApiClient, patch: &ConfigPatch) -> Result<u64, CliError> {
    let call = ApiCall {
        method: http::Method::POST,
        path: PATCHES_PATH,
        headers: http::HeaderMap::new(),
        body: json_bytes(patch)?,
        timeout: CALL_TIMEOUT,
    };
    let response = client.call(call).await?;
    if let Ok(PatchView::Accepted { version }) = serde_json::from_slice(&response.body) {
        return Ok(version.get());
    }
    match serde_json::from_slice::<Refusal>(&response.body) {
        Ok(source) if source.code == RefusalCode::Conflict => Err(CliError::Rejected { source }),
        _ => Err(client.refusal_error(&response, true)),
    }
}

/// Fetches the configuration in force.
pub async fn fetch_config(client: &ApiClient) -> Result<FleetConfig, CliError> {
    client.get("/v1/config").await
}

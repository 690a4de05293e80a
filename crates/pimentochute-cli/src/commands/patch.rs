//! Patches that commands build and send.

use std::time::Duration;

use pimentochute_base::{MilliSpan, PatchId};
use pimentochute_server::api::PatchView;
use pimentochute_server::{Refusal, RefusalCode};
use pimentochute_state::{CellConfig, ConfigPatch, PatchOperation};

use super::random_hex;
use crate::api_client::{ApiCall, ApiClient, CALL_LIMIT, json_bytes};
use crate::exit::CliError;

/// The most times that a patch is sent while its outcome is unknown; its id
/// makes the repetition harmless.
const MAX_SENDS: u32 = 3;

/// The wait before a patch is sent again when the host names none.
const RESEND_WAIT: Duration = Duration::from_secs(1);

/// The page for patches.
const PATCHES: &str = "/v1/config/patches";

/// Builds a patch against a version of the configuration.
pub fn build_patch(
    config: &CellConfig,
    author: Option<String>,
    operations: Vec<PatchOperation>,
) -> Result<ConfigPatch, CliError> {
    let id = format!("cli-{}", random_hex::<16>()?);
    let id = PatchId::new(&id).map_err(|error| CliError::System {
        what: "making a patch id",
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

/// Sends a patch and returns the version that it made.
pub async fn send_patch(client: &ApiClient, patch: &ConfigPatch) -> Result<u64, CliError> {
    let mut sent = 1;
    loop {
        let error = match send_once(client, patch).await {
            Ok(version) => return Ok(version),
            Err(error) => error,
        };
        let (open, wait) = open_outcome(&error);
        if !open {
            return Err(error);
        }
        if sent == MAX_SENDS {
            let id = patch.id.clone();
            return Err(CliError::PatchUnknown { id });
        }
        sent += 1;
        tokio::time::sleep(wait).await;
    }
}

/// Tells whether the outcome is unknown, and how long to wait.
fn open_outcome(error: &CliError) -> (bool, Duration) {
    match error {
        CliError::Refused { source } => {
            let wait = source.retry_after_ms.map(MilliSpan::as_duration);
            let open = source.code == RefusalCode::OutcomeUnknown;
            (open, wait.unwrap_or(RESEND_WAIT))
        }
        CliError::Broken { changes, .. } => (*changes, RESEND_WAIT),
        _ => (false, RESEND_WAIT),
    }
}

async fn send_once(client: &ApiClient, patch: &ConfigPatch) -> Result<u64, CliError> {
    let call = ApiCall {
        method: http::Method::POST,
        path: PATCHES,
        headers: http::HeaderMap::new(),
        body: json_bytes(patch)?,
        limit: CALL_LIMIT,
    };
    let answer = client.call(call).await?;
    if let Ok(PatchView::Accepted { version }) = serde_json::from_slice(&answer.body) {
        return Ok(version.get());
    }
    match serde_json::from_slice::<Refusal>(&answer.body) {
        Ok(source) if source.code == RefusalCode::Conflict => Err(CliError::Rejected { source }),
        _ => Err(client.refusal_of(&answer, true)),
    }
}

/// Fetches the configuration in force.
pub async fn fetch_config(client: &ApiClient) -> Result<CellConfig, CliError> {
    client.get("/v1/config").await
}

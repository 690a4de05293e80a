//! Runs the programs as processes of their own, for the process tests and the
//! demonstration.

mod caller;
mod cell;
mod child;
mod command;
mod entry_host;
mod folder;
mod http;
mod process_audit;
mod settings;
mod shape;
mod standin;
mod step_report;

pub use caller::{RequestOutcome, RequestSpec, TeamCaller};
pub use cell::ProcessCell;
pub use child::ChildProcess;
pub use command::{CommandLine, CommandOutput};
pub use entry_host::EntryHost;
pub use folder::TempFolder;
pub use http::{get_json, post_json};
pub use process_audit::{ProcessAudit, ProcessViolation};
pub use settings::{CellSettings, HostAddress};
pub use shape::CellShape;
pub use standin::{EndpointProcess, PlatformProcess, WorkerProcess};
pub use step_report::StepReport;

use std::time::Duration;

/// The longest wait for an expected state. Far above the times of the
/// settings, so that a busy machine does not change the verdict.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// The time between two looks at a state of another process.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until `look` finds something.
///
/// # Panics
/// Panics if it takes longer than [`WAIT_TIMEOUT`].
pub async fn wait_until<T>(what: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(found) = poll().await {
            return found;
        }
        let in_time = tokio::time::Instant::now() < deadline;
        assert!(in_time, "not in time: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

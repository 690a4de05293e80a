//! Records quarantine, release from quarantine and leaving.

use pimentochute_base::WorkerName;
use pimentochute_state::{CellRecord, WorkerHealth};

use super::workers::WorkerContext;

impl WorkerContext {
    /// Records the health of a managed worker if it has changed.
    pub(crate) async fn record_health(&self, name: &WorkerName, leaving: bool) {
        let Some(health) = self.changed_health(name, leaving) else {
            return;
        };
        log::warn!("workers: Worker {name} becomes {health}.");
        let worker = name.clone();
        let record = CellRecord::WorkerHealthSet { worker, health };
        if let Err(error) = self.client.record(record).await {
            log::debug!("workers: The health of {name} is not recorded. {error}");
        }
    }

    /// Returns the health that a worker should have, if it is another one.
    fn changed_health(&self, name: &WorkerName, leaving: bool) -> Option<WorkerHealth> {
        let replica = self.cell.read();
        let worker = replica.worker(name)?;
        let failures = u32::try_from(worker.failed_jobs.len()).unwrap_or(u32::MAX);
        let limit = self.settings.quarantine_failures;
        let health = desired_health(leaving, worker.health, failures, limit);
        (health != worker.health).then_some(health)
    }
}

/// Returns the health that a worker should have after a number of different
/// jobs failed on it in a row.
fn desired_health(leaving: bool, health: WorkerHealth, failures: u32, limit: u32) -> WorkerHealth {
    match health {
        _ if leaving => WorkerHealth::Leaving,
        _ if failures >= limit => WorkerHealth::Quarantined,
        WorkerHealth::Quarantined if failures > 0 => WorkerHealth::Quarantined,
        _ => WorkerHealth::Healthy,
    }
}

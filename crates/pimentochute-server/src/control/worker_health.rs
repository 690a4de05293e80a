//! Decides and records the health of workers: quarantined, leaving or healthy.

use pimentochute_base::WorkerName;
use pimentochute_state::{CellRecord, WorkerHealth};

use super::workers::WorkerContext;

impl WorkerContext {
    /// Records the health of a worker if it changed. Only its manager calls
    /// this.
    pub(crate) async fn record_health(&self, name: &WorkerName, leaving: bool) {
        let Some(health) = self.changed_health(name, leaving) else {
            return;
        };
        log::warn!("workers: Setting worker {name} to {health}.");
        let worker = name.clone();
        let record = CellRecord::WorkerHealthSet { worker, health };
        if let Err(error) = self.client.record(record).await {
            log::debug!("workers: Cannot record the health of worker {name}: {error}");
        }
    }

    /// Returns the health that a worker should have, if it differs from the
    /// recorded one.
    fn changed_health(&self, name: &WorkerName, leaving: bool) -> Option<WorkerHealth> {
        let replica = self.cell.read();
        let worker = replica.worker(name)?;
        let failures = u32::try_from(worker.failed_jobs.len()).unwrap_or(u32::MAX);
        let limit = self.settings.quarantine_failures;
        let health = desired_health(leaving, worker.health, failures, limit);
        (health != worker.health).then_some(health)
    }
}

/// Returns the health of a worker on which `failures` different jobs failed in
/// a row. Quarantine starts at `limit` failures and ends after a success.
fn desired_health(leaving: bool, health: WorkerHealth, failures: u32, limit: u32) -> WorkerHealth {
    match health {
        _ if leaving => WorkerHealth::Leaving,
        _ if failures >= limit => WorkerHealth::Quarantined,
        WorkerHealth::Quarantined if failures > 0 => WorkerHealth::Quarantined,
        _ => WorkerHealth::Healthy,
    }
}

//! Reconciles the tasks on one worker with the replicated state.

use std::collections::BTreeMap;

use futures::future::join_all;
use pimentochute_base::AttemptRef;
use pimentochute_platform::{StartOrder, WorkerError, WorkerReport, WorkerTarget};
use pimentochute_state::{CellRecord, CellReplica, EndReason, TaskPhase};

use super::plan::{AbandonedTasks, PlacedTask, ReconcilePlan};
use super::session::HeldControl;
use super::workers::WorkerContext;

/// One reconciliation round with one worker.
pub(crate) struct Reconciler<'a> {
    context: &'a WorkerContext,
    target: &'a WorkerTarget,
    held: HeldControl,
    abandoned: &'a mut AbandonedTasks,
}

impl<'a> Reconciler<'a> {
    /// Creates a round under the epoch of `held`.
    pub(crate) fn new(
        context: &'a WorkerContext,
        target: &'a WorkerTarget,
        held: HeldControl,
        abandoned: &'a mut AbandonedTasks,
    ) -> Self {
        Self {
            context,
            target,
            held,
            abandoned,
        }
    }

    /// Returns the control with an updated `extended_at`.
    pub(crate) const fn held(&self) -> HeldControl {
        self.held
    }

    /// Renews the leases, starts and stops tasks, lets the worker forget
    /// reports that are recorded, and records new ones.
    ///
    /// # Errors
    /// Fails if control has to be taken again or the worker cannot be reached.
    pub(crate) async fn reconcile(&mut self) -> Result<WorkerReport, ReconcileError> {
        let report = self.renew().await?;
        if report.incarnation != self.held.incarnation || !self.is_recorded() {
            return Ok(report);
        }
        let placed = self.placed();
        let mut plan = ReconcilePlan::new(&placed, &report, self.abandoned);
        let started = self.start_all(&mut plan, &placed).await;
        self.stop_all(&plan).await?;
        self.forget(&plan).await?;
        self.record_all(&plan).await;
        started.map(|()| report)
    }

    async fn renew(&mut self) -> Result<WorkerReport, ReconcileError> {
        let placed = self.placed();
        let keep = placed.keys().copied().collect();
        let settings = &self.context.settings;
        self.held.extended_at = self.context.clock.now();
        let renewed = self
            .context
            .worker_client
            .renew(
                self.target,
                self.held.epoch,
                keep,
                settings.control_lease_ms,
                settings.task_lease_ms,
            )
            .await;
        renewed.map_err(|error| {
            log::debug!(
                "workers: Cannot renew the leases of worker {}: {error}",
                self.target.name
            );
            match error {
                WorkerError::NoEffect { .. } => ReconcileError::Unreachable,
                // A renewal without an answer may arrive late and extend
                // leases. Taking control again fences it, so at most one such
                // renewal has to be waited out.
                _ => ReconcileError::Fenced,
            }
        })
    }

    /// Returns whether the state has recorded this epoch as the worker's
    /// current one.
    fn is_recorded(&self) -> bool {
        let replica = self.context.cell.read();
        replica.worker(&self.target.name).is_some_and(|worker| {
            !worker.lost
                && worker.incarnation == self.held.incarnation
                && worker.epoch == self.held.epoch
        })
    }

    /// Returns the live attempts on this incarnation of the worker.
    fn placed(&self) -> BTreeMap<AttemptRef, PlacedTask> {
        let replica = self.context.cell.read();
        replica
            .placements(&self.target.name)
            .filter_map(|attempt| Some((attempt, self.placed_task(&replica, attempt)?)))
            .collect()
    }

    fn placed_task(&self, replica: &CellReplica, attempt: AttemptRef) -> Option<PlacedTask> {
        let job = replica.job(attempt.job)?;
        let task = replica.live_task(attempt)?;
        let (_, _, incarnation) = task.phase.placement()?;
        (incarnation == self.held.incarnation).then(|| PlacedTask {
            demand: job.spec.demand,
            command: job.spec.command.clone(),
            should_run: should_run(replica, attempt),
            start_recorded: matches!(task.phase, TaskPhase::Running { .. }),
        })
    }

    /// Starts missing tasks one after the other. After a command without an
    /// answer no further command is sent under the same epoch.
    async fn start_all(
        &mut self,
        plan: &mut ReconcilePlan,
        placed: &BTreeMap<AttemptRef, PlacedTask>,
    ) -> Result<(), ReconcileError> {
        for attempt in std::mem::take(&mut plan.starts) {
            let Some(task) = placed.get(&attempt) else {
                continue;
            };
            match self.start(attempt, task).await {
                Ok(()) => {
                    log::info!(
                        "workers: Started task {attempt} on worker {}.",
                        self.target.name
                    );
                    plan.starts_to_record.push(attempt);
                }
                Err(WorkerError::InsufficientResources) => {
                    log::warn!(
                        "workers: Worker {} refused task {attempt}: not enough free resources.",
                        self.target.name
                    );
                    self.abandoned.add(attempt, EndReason::RefusedByWorker);
                    plan.ends_to_record
                        .push((attempt, EndReason::RefusedByWorker));
                }
                Err(error) => {
                    log::info!(
                        "workers: The start of task {attempt} has no known outcome: {error}"
                    );
                    return Err(ReconcileError::Fenced);
                }
            }
        }
        Ok(())
    }

    async fn start(&mut self, attempt: AttemptRef, task: &PlacedTask) -> Result<(), WorkerError> {
        let order = StartOrder {
            attempt,
            incarnation: self.held.incarnation,
            demand: task.demand,
            command: task.command.clone(),
            lease: self.context.settings.task_lease_ms,
        };
        self.held.extended_at = self.context.clock.now();
        self.context
            .worker_client
            .start(self.target, self.held.epoch, order)
            .await
    }

    async fn stop_all(&self, plan: &ReconcilePlan) -> Result<(), ReconcileError> {
        let grace = self.context.settings.stop_grace_ms;
        for attempt in &plan.stops {
            log::info!(
                "workers: Stopping task {attempt} on worker {}.",
                self.target.name
            );
            let worker_client = &self.context.worker_client;
            let stopped = worker_client
                .stop(self.target, self.held.epoch, *attempt, grace)
                .await;
            stopped.map_err(|_| ReconcileError::Fenced)?;
        }
        Ok(())
    }

    async fn forget(&self, plan: &ReconcilePlan) -> Result<(), ReconcileError> {
        if plan.forgets.is_empty() {
            return Ok(());
        }
        let worker_client = &self.context.worker_client;
        let forgets = plan.forgets.clone();
        let forgotten = worker_client
            .forget(self.target, self.held.epoch, forgets)
            .await;
        forgotten.map_err(|_| ReconcileError::Fenced)
    }

    /// Records what the worker reported. A record that the log does not take is
    /// written again in the next round, since the worker keeps its report.
    async fn record_all(&self, plan: &ReconcilePlan) {
        let at = self.context.clock.unix_now();
        let epoch = self.held.epoch;
        let started = plan
            .starts_to_record
            .iter()
            .map(|attempt| CellRecord::TaskStarted {
                attempt: *attempt,
                at,
            });
        let ended = plan.ends_to_record.iter().map(|(attempt, reason)| {
            log::info!(
                "workers: Task {attempt} on worker {} ended: {reason}.",
                self.target.name
            );
            CellRecord::TaskEnded {
                attempt: *attempt,
                epoch,
                reason: *reason,
                at,
            }
        });
        let writes = started
            .chain(ended)
            .map(|record| self.context.client.record(record));
        for result in join_all(writes).await {
            if let Err(error) = result {
                log::debug!(
                    "workers: Cannot record a report of worker {}, retrying in the next round: {error}",
                    self.target.name
                );
            }
        }
    }
}

/// The reason why a worker could not be reconciled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReconcileError {
    /// Control has to be taken again: the epoch is no longer valid, a command
    /// that got no answer may still arrive under it, or a command to stop or
    /// forget tasks failed.
    Fenced,
    /// The renewal did not arrive at the worker.
    Unreachable,
}

/// Returns whether an attempt should keep running: its job still needs it, and
/// it is not above its team's allotment, which may have been lowered.
pub(crate) fn should_run(replica: &CellReplica, attempt: AttemptRef) -> bool {
    let Some(job) = replica.job(attempt.job) else {
        return false;
    };
    let team = &job.spec.team;
    let exceeds = replica
        .team(team)
        .is_some_and(|state| state.live > state.allotment);
    replica.is_needed_by_job(attempt)
        && !(exceeds && replica.excess_attempts(team).contains(&attempt))
}

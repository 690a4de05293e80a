//! The session of this host with one worker: takes and renews control of it,
//! keeps its tasks in line with the replicated state, and declares it lost after
//! its leases have expired.
//!
//! Every host has a session for each known worker. All but that of the manager,
//! the host that has control of the worker, are mostly idle.

use std::sync::Arc;

use pimentochute_base::{
    EpochNumber, HostName, MilliSpan, MilliTime, WorkerIncarnation, WorkerName,
};
use pimentochute_platform::{
    ControlGrant, ControlRequest, WorkerError, WorkerReport, WorkerTarget,
};
use pimentochute_state::{CellRecord, RecordOutcome, TaskPhase};
use tokio::sync::watch;

use super::directory::ListedWorker;
use super::plan::AbandonedTasks;
use super::reconcile::{ReconcileError, Reconciler, should_run};
use super::workers::WorkerContext;

/// The delay between attempts to take control of a worker.
const ACQUIRE_DELAY: MilliSpan = MilliSpan::new(1000);

/// The delay after the first failed call to a worker before this host counts it
/// as reachable again, so that it may try to manage it.
const UNREACHABLE_RETRY_DELAY: MilliSpan = MilliSpan::new(30_000);

/// This host's session with one worker; manages the worker while this host is the
/// preferred manager.
pub(crate) struct WorkerSession {
    context: Arc<WorkerContext>,
    worker: WorkerName,
    held_count: Arc<watch::Sender<usize>>,
    control: ControlState,
    /// The record that announces the worker under the epoch of the last grant.
    worker_record: Option<CellRecord>,
    /// The attempts that must not be started under the epoch of the last grant.
    abandoned: AbandonedTasks,
    /// When a call to the worker first failed after the last successful one.
    unreachable_since: Option<MilliTime>,
    /// Since when this host should manage the worker but gets no answer or has
    /// no address.
    takeover_blocked_since: Option<MilliTime>,
}

/// Whether this host has control of the worker.
#[derive(Debug)]
enum ControlState {
    /// This host does not have control of the worker.
    NotHeld,
    /// This host has control of the worker and renews its leases.
    Held(HeldControl),
    /// This host lost the worker's address, its answers or the epoch, and no
    /// longer renews leases until control is taken again or every lease has
    /// expired.
    Expiring(HeldControl),
}

/// Control of a worker under one epoch.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldControl {
    /// The epoch that every command carries as its fencing token.
    pub(crate) epoch: EpochNumber,
    /// The incarnation of the worker that granted control.
    pub(crate) incarnation: WorkerIncarnation,
    /// When the last command that may extend a task's lease was sent.
    pub(crate) extended_at: MilliTime,
}

impl WorkerSession {
    /// Creates a session without control.
    pub(crate) fn new(
        context: Arc<WorkerContext>,
        worker: WorkerName,
        held_count: Arc<watch::Sender<usize>>,
    ) -> Self {
        Self {
            context,
            worker,
            held_count,
            control: ControlState::NotHeld,
            worker_record: None,
            abandoned: AbandonedTasks::default(),
            unreachable_since: None,
            takeover_blocked_since: None,
        }
    }

    /// Runs until the worker is lost and gone from the host list; returns its
    /// name.
    pub(crate) async fn run(mut self) -> WorkerName {
        let mut changes = self.context.cell.subscribe();
        while !self.is_obsolete() {
            let delay = self.step().await;
            let deadline = tokio::time::sleep(delay.as_duration());
            tokio::pin!(deadline);
            loop {
                tokio::select! {
                    () = &mut deadline => break,
                    // Only the host that has control sends commands; the
                    // sessions of the others ignore changes.
                    _ = changes.changed(), if self.has_control() => {
                        if self.has_due_command() {
                            break;
                        }
                    }
                }
            }
        }
        self.worker
    }

    /// Returns whether the session is no longer needed.
    fn is_obsolete(&self) -> bool {
        let without = matches!(self.control, ControlState::NotHeld);
        without && self.listed().is_none() && {
            let replica = self.context.cell.read();
            replica
                .worker(&self.worker)
                .is_none_or(|worker| worker.lost)
        }
    }

    fn has_control(&self) -> bool {
        matches!(self.control, ControlState::Held(_))
    }

    /// Returns whether a task has to be started or stopped before the next
    /// renewal.
    fn has_due_command(&self) -> bool {
        let replica = self.context.cell.read();
        replica.placements(&self.worker).any(|attempt| {
            let is_new = replica
                .live_task(attempt)
                .is_some_and(|task| matches!(task.phase, TaskPhase::Placed { .. }));
            is_new || !should_run(&replica, attempt)
        })
    }

    /// Performs one step and returns the delay until the next one.
    async fn step(&mut self) -> MilliSpan {
        let listed = self.listed();
        let should_manage = !self.context.is_releasing()
            && self
                .context
                .is_preferred_manager(&self.worker, self.seems_reachable());
        match (&self.control, listed) {
            (ControlState::Held(_), _) if !should_manage => self.release(listed).await,
            (ControlState::Held(control), Some(listed)) => {
                let control = *control;
                self.manage(control, listed).await
            }
            (ControlState::Held(control), None) => {
                // A worker that still runs may be missing from the host list.
                // Without its address its leases cannot be renewed.
                self.set_control(ControlState::Expiring(*control));
                ACQUIRE_DELAY
            }
            (ControlState::Expiring(control), listed) => {
                let control = *control;
                self.await_expiry(control, listed).await
            }
            (ControlState::NotHeld, Some(listed)) if should_manage => self.acquire(listed).await,
            (ControlState::NotHeld, None) if should_manage => {
                self.declare_lost_if_unmanaged().await
            }
            (ControlState::NotHeld, _) => ACQUIRE_DELAY,
        }
    }

    /// Asks the worker for control.
    async fn acquire(&mut self, listed: ListedWorker) -> MilliSpan {
        let target = self.target(listed);
        let started_at = self.context.clock.now();
        match self
            .context
            .worker_client
            .acquire(&target, self.request())
            .await
        {
            Ok(grant) => self.accept_grant(&grant),
            Err(WorkerError::Held { holder }) => {
                log::debug!(
                    "workers: Host {holder} has control of worker {}.",
                    self.worker
                );
                self.mark_reachable();
                ACQUIRE_DELAY
            }
            Err(error) => {
                log::debug!(
                    "workers: Cannot take control of worker {}: {error}",
                    self.worker
                );
                self.mark_unreachable(started_at);
                self.declare_lost_if_unmanaged().await
            }
        }
    }

    /// Applies a grant of control.
    fn accept_grant(&mut self, grant: &ControlGrant) -> MilliSpan {
        self.mark_reachable();
        let control = HeldControl {
            epoch: grant.epoch,
            incarnation: grant.report.incarnation,
            // Delayed commands of earlier epochs may have extended leases until
            // now.
            extended_at: self.context.clock.now(),
        };
        let record = CellRecord::WorkerSeen {
            worker: self.worker.clone(),
            incarnation: grant.report.incarnation,
            epoch: grant.epoch,
            rack: grant.rack.clone(),
            capacity: grant.capacity,
        };
        self.worker_record = Some(record);
        self.abandoned.clear();
        self.set_control(ControlState::Held(control));
        log::info!(
            "workers: Worker {} is managed under epoch {}.",
            self.worker,
            grant.epoch
        );
        MilliSpan::ZERO
    }

    /// Records the worker under the current epoch unless that is already
    /// recorded.
    ///
    /// Until then leases are renewed, but no task is started and no report is
    /// recorded.
    async fn record_worker(&self, control: HeldControl) {
        let Some(record) = &self.worker_record else {
            return;
        };
        let is_recorded = {
            let replica = self.context.cell.read();
            replica.worker(&self.worker).is_some_and(|worker| {
                worker.epoch == control.epoch
                    && worker.incarnation == control.incarnation
                    && !worker.lost
            })
        };
        if is_recorded {
            return;
        }
        match self.context.client.record(record.clone()).await {
            Ok(RecordOutcome {
                effect: Err(reason),
                ..
            }) => {
                log::info!(
                    "workers: The takeover of worker {} had no effect: {reason}",
                    self.worker
                );
            }
            Ok(_) => {}
            Err(error) => log::debug!("workers: Cannot record worker {}: {error}", self.worker),
        }
    }

    /// Renews the worker's leases and reconciles its tasks with the state.
    async fn manage(&mut self, control: HeldControl, listed: ListedWorker) -> MilliSpan {
        if self.context.is_isolated() {
            // Peers may count this host as gone and wait for the worker's
            // leases to expire.
            log::warn!(
                "workers: Not renewing the leases of worker {}: this host is isolated from the log \
                 and all other hosts.",
                self.worker
            );
            return ACQUIRE_DELAY;
        }
        let target = self.target(listed);
        let mut reconciler = Reconciler::new(&self.context, &target, control, &mut self.abandoned);
        let result = reconciler.reconcile().await;
        let control = reconciler.held();
        if let ControlState::Held(held) = &mut self.control {
            held.extended_at = control.extended_at;
        }
        match result {
            Ok(report) => {
                self.mark_reachable();
                self.record_worker(control).await;
                self.context
                    .record_health(&self.worker, listed.leaving)
                    .await;
                self.after_report(&report, control)
            }
            Err(ReconcileError::Fenced) => {
                log::info!("workers: Taking control of worker {} again.", self.worker);
                self.set_control(ControlState::Expiring(control));
                MilliSpan::ZERO
            }
            Err(ReconcileError::Unreachable) => {
                let since = self.mark_unreachable(self.context.clock.now());
                let silence = self.context.clock.now().since(since);
                if silence >= self.context.settings.control_lease_ms {
                    log::warn!("workers: Worker {} does not answer.", self.worker);
                    self.set_control(ControlState::Expiring(control));
                }
                ACQUIRE_DELAY
            }
        }
    }

    fn after_report(&mut self, report: &WorkerReport, control: HeldControl) -> MilliSpan {
        if report.incarnation == control.incarnation {
            return self.context.settings.renew_ms;
        }
        self.set_control(ControlState::NotHeld);
        MilliSpan::ZERO
    }

    /// Tries to take control again without extending leases. Declares the
    /// worker lost once the leases of its tasks have expired.
    async fn await_expiry(
        &mut self,
        control: HeldControl,
        listed: Option<ListedWorker>,
    ) -> MilliSpan {
        if let Some(listed) = listed {
            let target = self.target(listed);
            match self
                .context
                .worker_client
                .acquire(&target, self.request())
                .await
            {
                Ok(grant) => return self.accept_grant(&grant),
                Err(WorkerError::Held { .. }) => {
                    self.mark_reachable();
                    self.set_control(ControlState::NotHeld);
                    return ACQUIRE_DELAY;
                }
                Err(error) => {
                    log::debug!(
                        "workers: Cannot take control of worker {}: {error}",
                        self.worker
                    );
                }
            }
        }
        let elapsed = self.context.clock.now().since(control.extended_at);
        if elapsed < self.context.lease_expiry_delay() {
            return ACQUIRE_DELAY;
        }
        self.declare_lost(control.incarnation, control.epoch).await
    }

    /// Declares the worker lost if this host has had no answer from it, and its
    /// recorded manager, unless that is this host, has sent no heartbeat, for so
    /// long that the manager's control lease and the task leases have expired.
    async fn declare_lost_if_unmanaged(&mut self) -> MilliSpan {
        let now = self.context.clock.now();
        let Some((manager, incarnation, epoch)) = self.recorded_manager() else {
            return ACQUIRE_DELAY;
        };
        let wait = self.context.settings.control_lease_ms + self.context.lease_expiry_delay();
        let since = *self.takeover_blocked_since.get_or_insert(now);
        let silence = self.context.peers.silence(&manager, now);
        if now.since(since) < wait || silence < wait && manager != self.own_host() {
            return ACQUIRE_DELAY;
        }
        self.declare_lost(incarnation, epoch).await
    }

    async fn declare_lost(
        &mut self,
        incarnation: WorkerIncarnation,
        epoch: EpochNumber,
    ) -> MilliSpan {
        let worker = self.worker.clone();
        let at = self.context.clock.unix_now();
        let record = CellRecord::WorkerLost {
            worker,
            incarnation,
            epoch,
            at,
        };
        match self.context.client.record(record).await {
            Ok(_) => {
                log::warn!(
                    "workers: Worker {} is lost: its leases have expired.",
                    self.worker
                );
                self.set_control(ControlState::NotHeld);
            }
            Err(error) => {
                log::debug!(
                    "workers: Cannot record the loss of worker {}: {error}",
                    self.worker
                );
            }
        }
        ACQUIRE_DELAY
    }

    /// Releases control of the worker for another host to take.
    async fn release(&mut self, listed: Option<ListedWorker>) -> MilliSpan {
        let ControlState::Held(control) = &self.control else {
            return ACQUIRE_DELAY;
        };
        let epoch = control.epoch;
        if let Some(listed) = listed {
            let target = self.target(listed);
            match self.context.worker_client.release(&target, epoch).await {
                Ok(()) => log::info!("workers: Released control of worker {}.", self.worker),
                Err(error) => {
                    log::debug!(
                        "workers: Cannot release control of worker {}: {error}",
                        self.worker
                    );
                }
            }
        }
        self.set_control(ControlState::NotHeld);
        ACQUIRE_DELAY
    }

    /// Returns whether calls to the worker succeed, or failed long enough ago
    /// to try again.
    fn seems_reachable(&self) -> bool {
        let now = self.context.clock.now();
        let failed = self.unreachable_since;
        failed.is_none_or(|since| now.since(since) >= UNREACHABLE_RETRY_DELAY)
    }

    fn recorded_manager(&self) -> Option<(HostName, WorkerIncarnation, EpochNumber)> {
        let replica = self.context.cell.read();
        let worker = replica.worker(&self.worker).filter(|worker| !worker.lost)?;
        Some((worker.manager.clone(), worker.incarnation, worker.epoch))
    }

    fn mark_reachable(&mut self) {
        self.unreachable_since = None;
        self.takeover_blocked_since = None;
        self.context.unreachable.set(&self.worker, false);
    }

    fn mark_unreachable(&mut self, now: MilliTime) -> MilliTime {
        self.context.unreachable.set(&self.worker, true);
        *self.unreachable_since.get_or_insert(now)
    }

    fn set_control(&mut self, control: ControlState) {
        let before = matches!(self.control, ControlState::Held(_));
        let after = matches!(control, ControlState::Held(_));
        self.control = control;
        if before != after {
            self.held_count.send_modify(|count| {
                *count = if after {
                    *count + 1
                } else {
                    count.saturating_sub(1)
                };
            });
        }
    }

    fn listed(&self) -> Option<ListedWorker> {
        self.context.listed_worker(&self.worker)
    }

    fn target(&self, listed: ListedWorker) -> WorkerTarget {
        WorkerTarget {
            name: self.worker.clone(),
            address: listed.address,
        }
    }

    fn request(&self) -> ControlRequest {
        ControlRequest {
            holder: self.own_host(),
            incarnation: self.context.cell.this_host().incarnation,
            lease: self.context.settings.control_lease_ms,
        }
    }

    fn own_host(&self) -> HostName {
        self.context.cell.this_host().host.clone()
    }
}

impl WorkerContext {
    /// Returns whether this host has reached neither the log nor a peer for so
    /// long that peers may count it as gone.
    fn is_isolated(&self) -> bool {
        let limit = self.settings.isolation_ms;
        let has_peers = self.peers.hosts_of(self.peers.own_centre()).len() > 1;
        let silence = self.peers.shortest_silence(self.clock.now());
        has_peers && self.log_health.age() > limit && silence > limit
    }

    /// Returns the time after which every task lease on the worker has expired,
    /// counted from the last command that may have extended one.
    ///
    /// A delayed command is accepted until the control lease expires, and then
    /// still extends the task leases. The percentage allows for clocks that run
    /// at different rates; a fixed margin is added.
    pub(crate) fn lease_expiry_delay(&self) -> MilliSpan {
        let lease = self.settings.control_lease_ms + self.settings.task_lease_ms;
        let percent = u64::from(self.settings.margin_percent);
        let drift = MilliSpan::new(lease.as_millis().saturating_mul(percent) / 100);
        lease + drift + self.settings.margin_ms
    }
}

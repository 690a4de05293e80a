//! One worker: control of it, its tasks and its loss.

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

/// The time between two tries to take control.
const ACQUIRE_DELAY: MilliSpan = MilliSpan::new(1000);

/// The time after which a worker that could not be reached is tried again by
/// a host that gave it up.
const UNREACHABLE_RETRY_DELAY: MilliSpan = MilliSpan::new(30_000);

/// The session of a host with one worker.
pub(crate) struct WorkerSession {
    context: Arc<WorkerContext>,
    worker: WorkerName,
    held_count: Arc<watch::Sender<usize>>,
    control: ControlState,
    /// The record of the worker under the epoch of the last grant.
    worker_record: Option<CellRecord>,
    /// The attempts that are not started under the epoch of the last grant.
    abandoned: AbandonedTasks,
    /// When a call to the worker first failed, since one last succeeded.
    unreachable_since: Option<MilliTime>,
    /// Since when this host would manage the worker and has neither an answer
    /// of it nor its address.
    unmanaged_since: Option<MilliTime>,
}

/// What a host knows about its control of a worker.
#[derive(Debug)]
enum ControlState {
    /// This host has no control.
    NotHeld,
    /// This host has control.
    Held(HeldControl),
    /// This host had control and cannot reach the worker; it no longer renews.
    Expiring(HeldControl),
}

/// Control of a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldControl {
    /// The epoch to name in commands.
    pub(crate) epoch: EpochNumber,
    /// The run of the worker's process.
    pub(crate) incarnation: WorkerIncarnation,
    /// When the last command that may have extended a task's lease was begun.
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
            unmanaged_since: None,
        }
    }

    /// Runs until the worker is lost and no longer listed; returns its name.
    pub(crate) async fn run(mut self) -> WorkerName {
        let mut changes = self.context.cell.subscribe();
        while !self.is_obsolete() {
            let delay = self.step().await;
            let deadline = tokio::time::sleep(delay.as_duration());
            tokio::pin!(deadline);
            loop {
                tokio::select! {
                    () = &mut deadline => break,
                    // Without control no change asks for a command; every host
                    // has a session for every worker of the data centre.
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

    /// Tells whether a session is no longer needed.
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

    /// Tells whether the state asks for a command before the next renewal.
    fn has_due_command(&self) -> bool {
        let replica = self.context.cell.read();
        replica.placements(&self.worker).any(|attempt| {
            let is_new = replica
                .live_task(attempt)
                .is_some_and(|task| matches!(task.phase, TaskPhase::Placed { .. }));
            is_new || !should_run(&replica, attempt)
        })
    }

    /// Does what is due and returns the pause until the next step.
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
                // The host list lags and may have dropped a worker that is
                // still there; without its address it cannot be renewed.
                self.set_control(ControlState::Expiring(*control));
                ACQUIRE_DELAY
            }
            (ControlState::Expiring(control), listed) => {
                let control = *control;
                self.await_expiry(control, listed).await
            }
            (ControlState::NotHeld, Some(listed)) if should_manage => self.acquire(listed).await,
            (ControlState::NotHeld, None) if should_manage => self.declare_lost_if_silent().await,
            (ControlState::NotHeld, _) => ACQUIRE_DELAY,
        }
    }

    /// Takes control of the worker.
    async fn acquire(&mut self, listed: ListedWorker) -> MilliSpan {
        let target = self.target(listed);
        let started_at = self.context.clock.now();
        match self.context.control.acquire(&target, self.request()).await {
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
                log::debug!("workers: Worker {} is not acquired. {error}", self.worker);
                self.mark_unreachable(started_at);
                self.declare_lost_if_silent().await
            }
        }
    }

    /// Notes the control that a grant gives.
    fn accept_grant(&mut self, grant: &ControlGrant) -> MilliSpan {
        self.mark_reachable();
        let control = HeldControl {
            epoch: grant.epoch,
            incarnation: grant.report.incarnation,
            // Until the grant, delayed commands may have extended leases.
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

    /// Records the worker under the epoch in force unless that is done.
    ///
    /// Without it renewals go on, but nothing is started and reports wait.
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
                    "workers: Worker {} is not taken over. {reason}",
                    self.worker
                );
            }
            Ok(_) => {}
            Err(error) => log::debug!("workers: Worker {} is not recorded. {error}", self.worker),
        }
    }

    /// Renews the worker and brings its tasks in line with the state.
    async fn manage(&mut self, control: HeldControl, listed: ListedWorker) -> MilliSpan {
        if self.context.is_isolated() {
            // Others may be waiting for the leases of this worker to lapse.
            log::warn!(
                "workers: Worker {} is not renewed, this host is isolated.",
                self.worker
            );
            return ACQUIRE_DELAY;
        }
        let target = self.target(listed);
        let mut reconciler = Reconciler::new(&self.context, &target, control, &mut self.abandoned);
        let result = reconciler.reconcile().await;
        let control = reconciler.control();
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
                log::info!("workers: Control of worker {} is taken anew.", self.worker);
                self.set_control(ControlState::Expiring(control));
                MilliSpan::ZERO
            }
            Err(ReconcileError::Unresponsive) => {
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

    /// Tries to take control again without extending leases, and declares the
    /// worker lost once the leases of its tasks have lapsed.
    async fn await_expiry(
        &mut self,
        control: HeldControl,
        listed: Option<ListedWorker>,
    ) -> MilliSpan {
        if let Some(listed) = listed {
            let target = self.target(listed);
            match self.context.control.acquire(&target, self.request()).await {
                Ok(grant) => return self.accept_grant(&grant),
                Err(WorkerError::Held { .. }) => {
                    self.mark_reachable();
                    self.set_control(ControlState::NotHeld);
                    return ACQUIRE_DELAY;
                }
                Err(error) => {
                    log::debug!("workers: Worker {} is not acquired. {error}", self.worker);
                }
            }
        }
        let elapsed = self.context.clock.now().since(control.extended_at);
        if elapsed < self.context.lease_expiry_delay() {
            return ACQUIRE_DELAY;
        }
        self.declare_lost(control.incarnation, control.epoch).await
    }

    /// Declares a worker lost that neither this host nor its manager reaches.
    ///
    /// The manager must have been silent for so long that its control and the
    /// leases that it extended have lapsed.
    async fn declare_lost_if_silent(&mut self) -> MilliSpan {
        let now = self.context.clock.now();
        let Some((manager, incarnation, epoch)) = self.recorded_manager() else {
            return ACQUIRE_DELAY;
        };
        let wait = self.context.settings.control_lease_ms + self.context.lease_expiry_delay();
        let since = *self.unmanaged_since.get_or_insert(now);
        let silence = self.context.table.silence(&manager, now);
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
                    "workers: Worker {} is lost, its leases have lapsed.",
                    self.worker
                );
                self.set_control(ControlState::NotHeld);
            }
            Err(error) => {
                log::debug!(
                    "workers: The loss of {} is not recorded. {error}",
                    self.worker
                );
            }
        }
        ACQUIRE_DELAY
    }

    /// Gives up control, since another host manages the worker from now on.
    async fn release(&mut self, listed: Option<ListedWorker>) -> MilliSpan {
        let ControlState::Held(control) = &self.control else {
            return ACQUIRE_DELAY;
        };
        let epoch = control.epoch;
        if let Some(listed) = listed {
            let target = self.target(listed);
            match self.context.control.release(&target, epoch).await {
                Ok(()) => log::info!("workers: Worker {} is released.", self.worker),
                Err(error) => log::debug!("workers: Worker {} {error}", self.worker),
            }
        }
        self.set_control(ControlState::NotHeld);
        ACQUIRE_DELAY
    }

    /// Tells whether no call to the worker failed lately.
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
        self.unmanaged_since = None;
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
            incarnation: self.context.cell.owner().incarnation,
            lease: self.context.settings.control_lease_ms,
        }
    }

    fn own_host(&self) -> HostName {
        self.context.cell.owner().host.clone()
    }
}

impl WorkerContext {
    /// Tells whether this host has heard neither the log nor a peer for so
    /// long that peers may count it as gone.
    fn is_isolated(&self) -> bool {
        let limit = self.settings.isolation_ms;
        let has_peers = self.table.hosts_of(self.table.own_centre()).len() > 1;
        let silence = self.table.shortest_silence(self.clock.now());
        has_peers && self.log_health.age() > limit && silence > limit
    }

    /// Returns the time after the last extension was begun after which every
    /// task's lease has lapsed at the worker.
    ///
    /// A command may be delayed until the control lease has lapsed, and then
    /// extends tasks by their lease; the margin is for clock rates.
    pub(crate) fn lease_expiry_delay(&self) -> MilliSpan {
        let lease = self.settings.control_lease_ms + self.settings.task_lease_ms;
        let percent = u64::from(self.settings.margin_percent);
        let drift = MilliSpan::new(lease.as_millis().saturating_mul(percent) / 100);
        lease + drift + self.settings.margin_ms
    }
}

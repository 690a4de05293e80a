//! The state machine of a worker: control lease, task leases and capacity. Does
//! no I/O.

use std::collections::BTreeMap;

use pimentochute_base::{
    AttemptRef, EpochNumber, HostName, MilliSpan, MilliTime, RackName, ResourceAmount,
    WorkerIncarnation,
};
use pimentochute_platform::{
    ControlGrant, ControlRequest, StartOrder, TaskReport, TaskStatus, WorkerError, WorkerReport,
};

use crate::task_run::TaskRun;
use crate::worker_ledger::{LedgerEntry, WorkerLedger};

/// How long a started task is missing from the reported usage. The lag is long
/// enough that a scheduler which places by usage alone overcommits the worker.
const USAGE_LAG: MilliSpan = MilliSpan::new(5000);

/// The state of one worker.
///
/// Every command takes the current time and first applies everything that was
/// due before it, so that the state depends only on the given times.
#[derive(Debug)]
pub struct WorkerModel {
    rack: RackName,
    capacity: ResourceAmount,
    incarnation: WorkerIncarnation,
    /// The last epoch that this incarnation granted; zero if it granted none.
    epoch: EpochNumber,
    control: Option<ControlLease>,
    /// The running tasks, and the ended ones that no `forget` has removed.
    tasks: BTreeMap<AttemptRef, TaskRun>,
    fails_all: bool,
    ledger: WorkerLedger,
}

#[derive(Debug)]
struct ControlLease {
    holder: HostName,
    expires_at: MilliTime,
}

impl WorkerModel {
    /// Creates an idle worker.
    #[must_use]
    pub fn new(rack: RackName, capacity: ResourceAmount, incarnation: WorkerIncarnation) -> Self {
        Self {
            rack,
            capacity,
            incarnation,
            epoch: EpochNumber::new(0),
            control: None,
            tasks: BTreeMap::new(),
            fails_all: false,
            ledger: WorkerLedger::default(),
        }
    }

    /// Sets whether every task that is started from now on fails immediately.
    pub fn set_fails_all(&mut self, fails_all: bool) {
        self.fails_all = fails_all;
    }

    /// Drops all tasks and the control lease, and continues as the next
    /// incarnation.
    ///
    /// Epochs restart from zero: an epoch is unique only within an incarnation,
    /// so a manager must compare incarnations as well.
    pub fn restart(&mut self, now: MilliTime) {
        self.advance(now);
        for attempt in self.running_attempts() {
            self.end_task(attempt, TaskStatus::Expired, now);
        }
        self.tasks.clear();
        self.control = None;
        self.epoch = EpochNumber::new(0);
        self.incarnation = self.incarnation.next();
    }

    /// Ends every task that is due by `now`, in chronological order.
    pub fn advance(&mut self, now: MilliTime) {
        let next_due = |model: &Self| {
            let ends = model.tasks.iter().filter_map(|(attempt, task)| {
                let (at, status) = task.next_end()?;
                (at <= now).then_some((at, *attempt, status))
            });
            ends.min_by_key(|(at, attempt, _)| (*at, *attempt))
        };
        while let Some((at, attempt, status)) = next_due(self) {
            self.end_task(attempt, status, at);
        }
    }

    /// Grants the control lease to a host under the next epoch.
    ///
    /// # Errors
    /// [`WorkerError::Held`] while another host holds the control lease.
    pub fn acquire(
        &mut self,
        request: &ControlRequest,
        now: MilliTime,
    ) -> Result<ControlGrant, WorkerError> {
        self.advance(now);
        if let Some(control) = &self.control
            && control.expires_at > now
            && control.holder != request.holder
        {
            let holder = control.holder.clone();
            return Err(WorkerError::Held { holder });
        }
        self.epoch = self.epoch.next();
        self.control = Some(ControlLease {
            holder: request.holder.clone(),
            expires_at: now + request.lease,
        });
        Ok(ControlGrant {
            epoch: self.epoch,
            rack: self.rack.clone(),
            capacity: self.capacity,
            report: self.report(now),
        })
    }

    /// Extends the control lease and the leases of the running tasks in `keep`.
    ///
    /// # Errors
    /// [`WorkerError::StaleEpoch`] if the epoch is not in force.
    pub fn renew(
        &mut self,
        epoch: EpochNumber,
        keep: &[AttemptRef],
        control_lease: MilliSpan,
        task_lease: MilliSpan,
        now: MilliTime,
    ) -> Result<WorkerReport, WorkerError> {
        let control = self.check_control(epoch, now)?;
        control.expires_at = control.expires_at.max(now + control_lease);
        for attempt in keep {
            if let Some(task) = self.tasks.get_mut(attempt) {
                task.extend(now + task_lease);
            }
        }
        Ok(self.report(now))
    }

    /// Starts a task; does nothing if the attempt has been started already.
    ///
    /// # Errors
    /// Fails if the incarnation or the epoch is not in force, or if the free
    /// resources do not suffice.
    pub fn start(
        &mut self,
        epoch: EpochNumber,
        order: &StartOrder,
        now: MilliTime,
    ) -> Result<(), WorkerError> {
        if order.incarnation != self.incarnation {
            return Err(WorkerError::OtherIncarnation);
        }
        self.check_control(epoch, now)?;
        if self.tasks.contains_key(&order.attempt) {
            return Ok(());
        }
        if !self.has_capacity_for(&order.demand) {
            self.ledger.refused_orders += 1;
            return Err(WorkerError::InsufficientResources);
        }
        let task = TaskRun::new(order, now, self.fails_all);
        self.tasks.insert(order.attempt, task);
        self.record(order.attempt, TaskStatus::Running, now);
        self.advance(now);
        Ok(())
    }

    /// Stops a task after `grace`; does nothing if it is unknown or has ended.
    ///
    /// # Errors
    /// [`WorkerError::StaleEpoch`] if the epoch is not in force.
    pub fn stop(
        &mut self,
        epoch: EpochNumber,
        attempt: AttemptRef,
        grace: MilliSpan,
        now: MilliTime,
    ) -> Result<(), WorkerError> {
        self.check_control(epoch, now)?;
        if let Some(task) = self.tasks.get_mut(&attempt) {
            task.stop_by(now + grace);
        }
        self.advance(now);
        Ok(())
    }

    /// Removes ended tasks from the report; running ones are kept.
    ///
    /// # Errors
    /// [`WorkerError::StaleEpoch`] if the epoch is not in force.
    pub fn forget(
        &mut self,
        epoch: EpochNumber,
        attempts: &[AttemptRef],
        now: MilliTime,
    ) -> Result<(), WorkerError> {
        self.check_control(epoch, now)?;
        self.tasks
            .retain(|attempt, task| task.is_running() || !attempts.contains(attempt));
        Ok(())
    }

    /// Ends the control lease; this incarnation does not use the epoch again.
    ///
    /// # Errors
    /// [`WorkerError::StaleEpoch`] if the epoch is not in force.
    pub fn release(&mut self, epoch: EpochNumber, now: MilliTime) -> Result<(), WorkerError> {
        self.check_control(epoch, now)?;
        self.control = None;
        Ok(())
    }

    /// Returns the status of the tasks and the usage, which lags behind.
    #[must_use]
    pub fn report(&mut self, now: MilliTime) -> WorkerReport {
        self.advance(now);
        let tasks = self.tasks.iter().map(|(attempt, task)| TaskReport {
            attempt: *attempt,
            status: task.status(),
        });
        let reported = |task: &&TaskRun| task.is_running() && task.started_at() + USAGE_LAG <= now;
        let used = self.tasks.values().filter(reported);
        WorkerReport {
            incarnation: self.incarnation,
            tasks: tasks.collect(),
            usage: used.map(TaskRun::demand).sum(),
        }
    }

    /// Returns the recorded starts and ends up to `now`.
    #[must_use]
    pub fn ledger(&mut self, now: MilliTime) -> &WorkerLedger {
        self.advance(now);
        &self.ledger
    }

    /// Returns the incarnation, which changes with each restart.
    #[must_use]
    pub fn incarnation(&self) -> WorkerIncarnation {
        self.incarnation
    }

    fn check_control(
        &mut self,
        epoch: EpochNumber,
        now: MilliTime,
    ) -> Result<&mut ControlLease, WorkerError> {
        self.advance(now);
        let in_force = self.epoch == epoch;
        match &mut self.control {
            Some(control) if in_force && control.expires_at > now => Ok(control),
            _ => Err(WorkerError::StaleEpoch),
        }
    }

    fn running_attempts(&self) -> Vec<AttemptRef> {
        let running = self.tasks.iter().filter(|(_, task)| task.is_running());
        running.map(|(attempt, _)| *attempt).collect()
    }

    fn committed(&self) -> ResourceAmount {
        let running = self.tasks.values().filter(|task| task.is_running());
        running.map(TaskRun::demand).sum()
    }

    fn has_capacity_for(&self, demand: &ResourceAmount) -> bool {
        let total = self.committed().checked_add(demand);
        total.is_some_and(|total| total.fits_within(&self.capacity))
    }

    fn end_task(&mut self, attempt: AttemptRef, status: TaskStatus, at: MilliTime) {
        if let Some(task) = self.tasks.get_mut(&attempt) {
            task.end(status);
            self.record(attempt, status, at);
        }
    }

    fn record(&mut self, attempt: AttemptRef, status: TaskStatus, at: MilliTime) {
        let Some(task) = self.tasks.get(&attempt) else {
            return;
        };
        let demand = task.demand();
        let committed = self.committed();
        self.ledger.capacity_violations += u64::from(!committed.fits_within(&self.capacity));
        self.ledger.entries.push(LedgerEntry {
            attempt,
            incarnation: self.incarnation,
            status,
            at,
            demand,
            committed,
        });
    }
}

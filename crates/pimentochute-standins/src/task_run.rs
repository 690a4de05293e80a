//! One run of a task on a worker.

use pimentochute_base::{MilliTime, ResourceAmount};
use pimentochute_platform::{StartOrder, TaskStatus};

use crate::task_command::TaskCommand;

/// A task that is running or has ended.
#[derive(Debug)]
pub(crate) struct TaskRun {
    demand: ResourceAmount,
    started_at: MilliTime,
    lease_expires_at: MilliTime,
    stop_at: Option<MilliTime>,
    /// When and how the task ends unless it is stopped or its lease expires;
    /// `None` if it runs forever.
    natural_end: Option<(MilliTime, TaskStatus)>,
    status: TaskStatus,
}

impl TaskRun {
    /// Starts a task; if `fails` is set, it fails immediately.
    pub(crate) fn new(order: &StartOrder, now: MilliTime, fails: bool) -> Self {
        let natural_end = match TaskCommand::new(&order.command) {
            _ if fails => Some((now, TaskStatus::Failed)),
            TaskCommand::Run(span) => Some((now + span, TaskStatus::Succeeded)),
            TaskCommand::Fail(span) => Some((now + span, TaskStatus::Failed)),
            TaskCommand::Forever => None,
            TaskCommand::Malformed => Some((now, TaskStatus::Failed)),
        };
        Self {
            demand: order.demand,
            started_at: now,
            lease_expires_at: now + order.lease,
            stop_at: None,
            natural_end,
            status: TaskStatus::Running,
        }
    }

    /// Extends the lease to `until`; never shortens it.
    pub(crate) fn extend(&mut self, until: MilliTime) {
        self.lease_expires_at = self.lease_expires_at.max(until);
    }

    /// Schedules a stop at `by`, unless an earlier one is scheduled already.
    pub(crate) fn stop_by(&mut self, by: MilliTime) {
        self.stop_at = Some(self.stop_at.map_or(by, |earlier| earlier.min(by)));
    }

    /// Returns when and how a running task ends, or `None` if it has ended. If
    /// several causes fall on the same time, the task's own end comes first,
    /// then a stop, then the expiry of the lease.
    pub(crate) fn next_end(&self) -> Option<(MilliTime, TaskStatus)> {
        if !self.is_running() {
            return None;
        }
        let stop = self.stop_at.map(|by| (by, TaskStatus::Stopped));
        let expiry = Some((self.lease_expires_at, TaskStatus::Expired));
        let ends = [self.natural_end, stop, expiry];
        ends.into_iter().flatten().min_by_key(|(at, _)| *at)
    }

    /// Sets the status with which the task ended.
    pub(crate) fn end(&mut self, status: TaskStatus) {
        self.status = status;
    }

    /// Returns whether the task is running.
    pub(crate) fn is_running(&self) -> bool {
        self.status == TaskStatus::Running
    }

    /// Returns the resources that the task occupies.
    pub(crate) fn demand(&self) -> ResourceAmount {
        self.demand
    }

    /// Returns when the task started.
    pub(crate) fn started_at(&self) -> MilliTime {
        self.started_at
    }

    /// Returns whether the task is running, or how it ended.
    pub(crate) fn status(&self) -> TaskStatus {
        self.status
    }
}

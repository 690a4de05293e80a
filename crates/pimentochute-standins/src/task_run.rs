//! One task on a worker.

use pimentochute_base::{MilliTime, ResourceAmount};
use pimentochute_platform::{StartOrder, TaskStatus};

use crate::task_command::TaskCommand;

/// A task that runs or ended.
#[derive(Debug)]
pub(crate) struct TaskRun {
    demand: ResourceAmount,
    started_at: MilliTime,
    lease_expires_at: MilliTime,
    stop_at: Option<MilliTime>,
    /// When and how the task ends by itself.
    natural_end: Option<(MilliTime, TaskStatus)>,
    status: TaskStatus,
}

impl TaskRun {
    /// Starts a task.
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

    /// Extends the lease; it never becomes shorter.
    pub(crate) fn extend(&mut self, until: MilliTime) {
        self.lease_expires_at = self.lease_expires_at.max(until);
    }

    /// Orders the task to stop by a time; an earlier order stays.
    pub(crate) fn stop_by(&mut self, by: MilliTime) {
        self.stop_at = Some(self.stop_at.map_or(by, |earlier| earlier.min(by)));
    }

    /// Returns when and how a running task ends next. At equal times, the
    /// task's own end comes before a stop, and a stop before the lapse.
    pub(crate) fn next_end(&self) -> Option<(MilliTime, TaskStatus)> {
        if !self.is_running() {
            return None;
        }
        let stop = self.stop_at.map(|by| (by, TaskStatus::Stopped));
        let expiry = Some((self.lease_expires_at, TaskStatus::Lapsed));
        let ends = [self.natural_end, stop, expiry];
        ends.into_iter().flatten().min_by_key(|(at, _)| *at)
    }

    /// Ends the task.
    pub(crate) fn end(&mut self, status: TaskStatus) {
        self.status = status;
    }

    /// Tells whether the task runs.
    pub(crate) fn is_running(&self) -> bool {
        self.status == TaskStatus::Running
    }

    /// Returns what the task is given.
    pub(crate) fn demand(&self) -> ResourceAmount {
        self.demand
    }

    /// Returns when the task started.
    pub(crate) fn started_at(&self) -> MilliTime {
        self.started_at
    }

    /// Returns what became of the task.
    pub(crate) fn status(&self) -> TaskStatus {
        self.status
    }
}

//! One task on a worker.

use pimentochute_base::{MilliTime, ResourceAmount};
use pimentochute_platform::{StartOrder, TaskStatus};

use crate::task_command::TaskCommand;

/// A task that runs or ended.
#[derive(Debug)]
pub(crate) struct TaskRun {
    demand: ResourceAmount,
    started: MilliTime,
    lease_until: MilliTime,
    stop_by: Option<MilliTime>,
    /// When and how the task ends by itself.
    own_end: Option<(MilliTime, TaskStatus)>,
    status: TaskStatus,
}

impl TaskRun {
    /// Starts a task.
    pub(crate) fn new(order: &StartOrder, now: MilliTime, fails: bool) -> Self {
        let own_end = match TaskCommand::new(&order.command) {
            _ if fails => Some((now, TaskStatus::Failed)),
            TaskCommand::Run(span) => Some((now + span, TaskStatus::Succeeded)),
            TaskCommand::Fail(span) => Some((now + span, TaskStatus::Failed)),
            TaskCommand::Forever => None,
            TaskCommand::Malformed => Some((now, TaskStatus::Failed)),
        };
        Self {
            demand: order.demand,
            started: now,
            lease_until: now + order.lease,
            stop_by: None,
            own_end,
            status: TaskStatus::Running,
        }
    }

    /// Extends the lease; it never becomes shorter.
    pub(crate) fn extend(&mut self, until: MilliTime) {
        self.lease_until = self.lease_until.max(until);
    }

    /// Orders the task to stop by a time; an earlier order stays.
    pub(crate) fn stop_by(&mut self, by: MilliTime) {
        self.stop_by = Some(self.stop_by.map_or(by, |earlier| earlier.min(by)));
    }

    /// Returns when and how a running task ends next. At equal times, the
    /// task's own end comes before a stop, and a stop before the lapse.
    pub(crate) fn next_end(&self) -> Option<(MilliTime, TaskStatus)> {
        if !self.is_running() {
            return None;
        }
        let stop = self.stop_by.map(|by| (by, TaskStatus::Stopped));
        let lapse = Some((self.lease_until, TaskStatus::Expired));
        let ends = [self.own_end, stop, lapse];
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
    pub(crate) fn started(&self) -> MilliTime {
        self.started
    }

    /// Returns what became of the task.
    pub(crate) fn status(&self) -> TaskStatus {
        self.status
    }
}

//! What is known of the workers that were lost under a task.

use pimentochute_base::MilliSpan;

use crate::TaskCrashes;

/// A run whose worker answered for this long after the start did not crash it by
/// starting.
pub(crate) const START_CRASH_WINDOW: MilliSpan = MilliSpan::new(100);

/// With this many crashes, a task is given up if it was alone with its job on the last
/// worker and had just started there.
const MAX_START_CRASHES: u32 = 2;

/// With this many crashes, a task is given up if it was alone with its job on the last
/// worker.
const MAX_CRASHES: u32 = 3;

/// A task is given up after this many losses, whether or not they are known to be
/// crashes, of which [`MAX_LONE_LOSSES`] hit a worker on which its job was alone.
const MAX_LOSSES: u32 = 4;

/// See [`MAX_LOSSES`].
const MAX_LONE_LOSSES: u32 = 2;

/// From this number of crashes on, a task is suspected even if it had been running for
/// a while when its workers crashed.
const SUSPECT_CRASHES: u32 = 2;

/// From this number of losses on, a task is suspected, and stays apart until it ends.
const SUSPECT_LOSSES: u32 = 3;

/// The workers that were lost under a task, and what follows from it.
///
/// A crash ends all runs of a worker, and nothing tells which of them caused it. So a
/// suspect runs apart from other jobs until it has shown that it does no harm, and only
/// a crash in that time counts against it alone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct CrashHistory {
    /// The workers that were lost: they crashed or could not be reached until their
    /// lease had expired.
    pub(crate) losses: u32,
    /// The losses that are known to be crashes; at most `losses`.
    pub(crate) crashes: u32,
    /// The losses of a worker on which no other job had a run; at most `losses`.
    pub(crate) lone_losses: u32,
    /// The task has to run apart from other jobs.
    pub(crate) is_suspect: bool,
}

/// The loss of a worker as it concerns one of its runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunLoss {
    /// The worker is known to have crashed.
    pub(crate) is_crash: bool,
    /// No other job had a run on the worker.
    pub(crate) is_lone: bool,
    /// The run had started within [`START_CRASH_WINDOW`] before the last answer of the
    /// worker, or later.
    pub(crate) is_recent: bool,
}

impl CrashHistory {
    /// Adds a loss. Returns whether the task has to be given up.
    pub(crate) fn add_loss(&mut self, loss: RunLoss) -> bool {
        self.losses += 1;
        self.lone_losses += u32::from(loss.is_lone);
        self.add_evidence(loss)
    }

    /// Adds the proof that an earlier loss was a crash. Returns whether the task has to
    /// be given up.
    pub(crate) fn confirm_crash(&mut self, loss: RunLoss) -> bool {
        self.add_evidence(loss)
    }

    /// Removes a loss, since the worker had only been out of reach.
    pub(crate) fn remove_loss(&mut self, loss: RunLoss) {
        self.losses = self.losses.saturating_sub(1);
        self.lone_losses = self.lone_losses.saturating_sub(u32::from(loss.is_lone));
        self.is_suspect &= self.losses > 0;
    }

    fn add_evidence(&mut self, loss: RunLoss) -> bool {
        self.crashes += u32::from(loss.is_crash);
        self.is_suspect |= loss.is_crash && loss.is_recent
            || self.crashes >= SUSPECT_CRASHES
            || self.losses >= SUSPECT_LOSSES;
        let limit = if loss.is_recent {
            MAX_START_CRASHES
        } else {
            MAX_CRASHES
        };
        loss.is_crash && loss.is_lone && self.crashes >= limit
            || self.losses >= MAX_LOSSES && self.lone_losses >= MAX_LONE_LOSSES
    }

    /// Returns whether a suspect may run beside other jobs after `answered` since its
    /// start, for which its worker has answered.
    pub(crate) fn is_cleared_after(&self, answered: MilliSpan) -> bool {
        self.losses < SUSPECT_LOSSES && answered >= START_CRASH_WINDOW
    }

    /// Returns the record of the task with this index; `None` if there is nothing to
    /// record.
    pub(crate) fn to_record(self, index: usize) -> Option<TaskCrashes> {
        (self != Self::default()).then(|| TaskCrashes {
            task: u32::try_from(index).unwrap_or(u32::MAX),
            losses: self.losses,
            crashes: self.crashes,
            lone_losses: self.lone_losses,
            is_suspect: self.is_suspect,
        })
    }
}

impl From<TaskCrashes> for CrashHistory {
    fn from(record: TaskCrashes) -> Self {
        Self {
            losses: record.losses,
            crashes: record.crashes,
            lone_losses: record.lone_losses,
            is_suspect: record.is_suspect,
        }
    }
}

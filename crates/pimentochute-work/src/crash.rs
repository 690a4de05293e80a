//! What is known of the workers that were lost under a task.

use pimentochute_base::MilliSpan;
use strum::IntoStaticStr;

use crate::TaskCrashes;

/// A run whose worker answered for this long after the start did not crash it by
/// starting.
pub(crate) const START_CRASH_WINDOW: MilliSpan = MilliSpan::new(100);

/// With this many crashes, a task that was suspected before the last one is given up if its
/// job was the only suspect on the last worker, which had just answered its start.
const MAX_START_CRASHES: u32 = 2;

/// With this many crashes, a task is given up if its job was the only suspect on the
/// last worker.
const MAX_CRASHES: u32 = 3;

/// A task is given up after this many losses, whether or not they are known to be
/// crashes, of which [`MAX_SOLE_LOSSES`] followed the start of the task on a worker on
/// which its job was the only suspect.
const MAX_LOSSES: u32 = 4;

/// See [`MAX_LOSSES`].
const MAX_SOLE_LOSSES: u32 = 2;

/// From this number of crashes on, a task is suspected even if it had been running for
/// a while when its workers crashed.
const SUSPECT_CRASHES: u32 = 2;

/// From this number of losses on, a task is suspected, and stays apart until it ends.
const SUSPECT_LOSSES: u32 = 3;

/// The workers that were lost under a task, and what follows from it.
///
/// A crash ends all runs of a worker, and nothing tells which of them caused it. So a
/// suspect starts where all other runs have shown that they do no harm, and nothing else
/// starts beside it until it has shown the same. A crash in that time is its own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct CrashHistory {
    /// The workers that were lost: they crashed or could not be reached until their
    /// lease had expired. The task may not have started there.
    pub(crate) losses: u32,
    /// The losses that are known to be crashes after the start; at most `losses`.
    pub(crate) crashes: u32,
    /// The losses that followed the start of the task on a worker on which no other job
    /// was suspect; at most `losses`.
    pub(crate) sole_losses: u32,
    /// The task has to start apart from other suspects.
    pub(crate) is_suspect: bool,
    /// The last run that was started apart on a worker that was alive then; 0 if there is
    /// none.
    pub(crate) reached_run: u32,
}

/// The loss of a worker as it concerns one of its runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunLoss {
    /// The worker is known to have crashed.
    pub(crate) is_crash: bool,
    /// No run of another job on the worker was recent, or suspect, or had lost more than
    /// one worker.
    pub(crate) is_sole: bool,
    pub(crate) start: StartStatus,
}

/// How far the start of a run had come when its worker was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum StartStatus {
    /// An earlier owner has placed the run, and its worker has not answered since.
    Inherited,
    /// The worker has not answered the start, and may have crashed before it.
    Unanswered,
    /// The worker has not answered the start, but it had answered a poll shortly before
    /// the start left. An earlier owner may have sent it.
    Checked,
    /// The run had started within [`START_CRASH_WINDOW`] before the last answer of the
    /// worker, or later.
    Recent,
    /// The worker has answered for longer than that after the start.
    Settled,
}

impl RunLoss {
    /// Returns whether the run has started on the worker, or its start has at least
    /// reached a live one.
    const fn has_started(self) -> bool {
        match self.start {
            StartStatus::Inherited | StartStatus::Unanswered => false,
            StartStatus::Checked | StartStatus::Recent | StartStatus::Settled => true,
        }
    }

    /// Returns whether the worker is not known to have been lost by the start.
    const fn is_settled(self) -> bool {
        matches!(self.start, StartStatus::Inherited | StartStatus::Settled)
    }

    /// Returns whether the start of the run alone may have caused the loss.
    const fn is_sole_start(self) -> bool {
        self.is_sole && self.has_started() && !self.is_settled()
    }
}

impl CrashHistory {
    /// Adds a loss. Returns whether the task has to be given up.
    pub(crate) fn add_loss(&mut self, loss: RunLoss) -> bool {
        self.losses += 1;
        self.sole_losses += u32::from(loss.is_sole_start());
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
        let sole_starts = u32::from(loss.is_sole_start());
        self.sole_losses = self.sole_losses.saturating_sub(sole_starts);
        self.is_suspect &= self.losses > 0;
    }

    fn add_evidence(&mut self, loss: RunLoss) -> bool {
        let (has_started, is_settled) = (loss.has_started(), loss.is_settled());
        let was_suspect = self.is_suspect;
        self.crashes += u32::from(loss.is_crash && has_started);
        self.is_suspect |= loss.is_crash && !is_settled
            || self.crashes >= SUSPECT_CRASHES
            || self.losses >= SUSPECT_LOSSES;
        let limit = match loss.start {
            // An earlier crash long after the start says little about the task.
            StartStatus::Recent if was_suspect => MAX_START_CRASHES,
            _ => MAX_CRASHES,
        };
        loss.is_crash && has_started && loss.is_sole && self.crashes >= limit
            || self.losses >= MAX_LOSSES && self.sole_losses >= MAX_SOLE_LOSSES
    }

    /// Returns whether a crash of its worker, later than at the start of the task, is rather
    /// due to another run.
    pub(crate) const fn is_presumed_sound(&self) -> bool {
        !self.is_suspect && self.losses <= 1
    }

    /// Returns whether the task has to stay apart until it ends.
    pub(crate) const fn is_long_suspect(&self) -> bool {
        self.losses >= SUSPECT_LOSSES
    }

    /// Returns whether a suspect may run beside other jobs after `answered` since its
    /// start, for which its worker has answered.
    pub(crate) fn is_cleared_after(&self, answered: MilliSpan) -> bool {
        !self.is_long_suspect() && answered >= START_CRASH_WINDOW
    }

    /// Returns the record of the task with this index; `None` if there is nothing to
    /// record.
    pub(crate) fn to_record(self, index: usize) -> Option<TaskCrashes> {
        (self != Self::default()).then(|| TaskCrashes {
            task: u32::try_from(index).unwrap_or(u32::MAX),
            losses: self.losses,
            crashes: self.crashes,
            sole_losses: self.sole_losses,
            is_suspect: self.is_suspect,
            reached_run: self.reached_run,
        })
    }
}

impl From<TaskCrashes> for CrashHistory {
    fn from(record: TaskCrashes) -> Self {
        Self {
            losses: record.losses,
            crashes: record.crashes,
            sole_losses: record.sole_losses,
            is_suspect: record.is_suspect,
            reached_run: record.reached_run,
        }
    }
}

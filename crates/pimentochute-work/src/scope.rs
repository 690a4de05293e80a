//! Which job a call is about.

use crate::CellConfig;

/// The team and the queue of a call or of a job, which together with its identifier name a
/// job. Workers know a task by the identifier alone, so no two jobs of a cell share one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobScope<'a> {
    /// `None` if the queue needed no key.
    pub team: Option<&'a str>,
    /// `None` if an earlier build has sent or recorded the scope.
    pub queue: Option<&'a str>,
}

impl JobScope<'_> {
    /// Returns whether a call with this scope may be about a job with the scope `job`.
    ///
    /// A team has one scope for all of its queues. A job or a call without a team belongs to
    /// everyone at its own queue: a queue may begin or cease to need a key while it has jobs.
    #[must_use]
    pub fn covers(self, job: JobScope<'_>, config: &CellConfig) -> bool {
        if let (Some(asking), Some(owning)) = (self.team, job.team) {
            return asking == owning;
        }
        match (self.queue, job.queue) {
            (Some(asking), Some(owning)) => asking == owning,
            // The call may have come to the queue of the job if calls to it are of this kind.
            (None, Some(owning)) if self.team != job.team => config
                .queues
                .get(owning)
                .is_some_and(|queue| queue.is_open == self.team.is_none()),
            _ => self.team == job.team,
        }
    }
}

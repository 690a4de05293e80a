//! The placer.

use pimentochute_base::{AttemptRef, JobId, MilliTime, ResourceAmount, TeamName, WorkerName};

use crate::{
    CommittedTask, JobRefusal, PlacementDecision, PlacerSettings, PlacerStats, TeamSpec,
    WaitingJob, WorkerSpec,
};

/// Chooses workers for waiting tasks.
///
/// Every update replaces what is known about its object, so that repeating
/// it changes nothing. Updates may come in any order: what a task uses is
/// counted even if its worker or team is not known yet.
///
/// A scheduler loop feeds it from the fold of the cell records: workers and
/// committed tasks of all teams, teams and jobs of its own slices. A decision
/// is reserved at once. When its record is read back, the loop calls
/// [`JobPlacer::commit`] (or [`JobPlacer::confirm`]) if it was valid and
/// [`JobPlacer::revoke`] if not.
#[derive(Debug)]
pub struct JobPlacer {
    settings: PlacerSettings,
}

impl JobPlacer {
    /// Creates a placer that knows nothing.
    #[must_use]
    pub fn new(settings: PlacerSettings) -> Self {
        Self { settings }
    }

    /// Adds or replaces a worker.
    pub fn set_worker(&mut self, _worker: WorkerSpec) {}

    /// Removes a worker; tasks on it stay counted until they are released.
    pub fn remove_worker(&mut self, _worker: &WorkerName) {}

    /// Adds or replaces a team.
    pub fn set_team(&mut self, _team: TeamSpec) {}

    /// Removes a team; its jobs are not placed until it is set again.
    pub fn remove_team(&mut self, _team: &TeamName) {}

    /// Counts a placement that the cell records hold.
    ///
    /// Turns a reservation of the same attempt into a committed placement,
    /// replaces an earlier attempt of the task and is ignored if a later one
    /// is known. The task no longer waits.
    pub fn commit(&mut self, _task: CommittedTask) {}

    /// Frees what an attempt uses; ignored unless that attempt is placed.
    ///
    /// The task waits again only when [`JobPlacer::update_job`] says so.
    pub fn release(&mut self, _attempt: AttemptRef) {}

    /// Adds a job, or replaces it if it is known.
    ///
    /// A task whose attempt is reserved or committed does not wait again.
    pub fn add_job(&mut self, _job: WaitingJob) {}

    /// Replaces a job, or adds it if it is unknown.
    pub fn update_job(&mut self, job: WaitingJob) {
        self.add_job(job);
    }

    /// Removes a job; its reserved and committed tasks stay counted.
    pub fn remove_job(&mut self, _job: JobId) {}

    /// Decides where waiting tasks go, at most `max_tasks` of them in all; a
    /// gang with more tasks is placed alone.
    ///
    /// The chosen workers are reserved at once.
    #[must_use]
    pub fn decide(&mut self, _now: MilliTime, _max_tasks: usize) -> Vec<PlacementDecision> {
        Vec::new()
    }

    /// Keeps the tasks of a decision whose record turned out valid.
    pub fn confirm(&mut self, _decision: &PlacementDecision) {}

    /// Frees the tasks of a decision whose record turned out invalid; they
    /// wait again if their job is still known. Committed tasks stay.
    pub fn revoke(&mut self, _decision: &PlacementDecision) {}

    /// Returns the jobs that can never run as things stand.
    ///
    /// Nothing is refused while no worker or not the job's team is known.
    #[must_use]
    pub fn refusals(&self) -> Vec<JobRefusal> {
        Vec::new()
    }

    /// Returns the tasks that are decided and neither confirmed nor revoked.
    #[must_use]
    pub fn reservations(&self) -> Vec<AttemptRef> {
        Vec::new()
    }

    /// Returns what is left on a worker, if it is known.
    #[must_use]
    pub fn free_on(&self, _worker: &WorkerName) -> Option<ResourceAmount> {
        None
    }

    /// Returns the tasks that count towards the team's allotment.
    #[must_use]
    pub fn tasks_of(&self, _team: &TeamName) -> usize {
        0
    }

    /// Returns counts for metrics.
    #[must_use]
    pub fn stats(&self) -> PlacerStats {
        let _ = &self.settings;
        PlacerStats::default()
    }
}

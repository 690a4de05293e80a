//! Gangs: their tasks start together, end together and fail together.

use crate::decision::StopReason;
use crate::job::TaskPlacement;
use crate::{JobKey, WorkerKey};

use super::WorkCell;

impl WorkCell {
    /// Marks all members of a gang as done after the first one ended. The runs
    /// of the others keep their resources until their workers list the ends.
    pub(super) fn complete_gang(&mut self, job_key: JobKey, step_index: usize) {
        for index in self.jobs[job_key].task_range(step_index) {
            self.jobs[job_key].set_placement(index, TaskPlacement::Done);
        }
    }

    /// Returns whether a run that its worker lists as running has ended with its
    /// gang: the end of another member was received first, and this worker
    /// lists its own later.
    pub(super) fn has_ended_with_gang(
        &self,
        job_key: JobKey,
        index: usize,
        worker_key: WorkerKey,
        run: u32,
    ) -> bool {
        let job = &self.jobs[job_key];
        let is_gang = job.step_spec(job.step_index(job.name_of(index))).is_gang;
        let held = self.workers[worker_key].runs.get(&(job_key, index));
        is_gang
            && job.tasks[index].placement == TaskPlacement::Done
            && held.is_some_and(|held| held.number == run && held.stop_sent.is_none())
    }

    /// Updates the checkpoint of a task from a run whose progress is `percent`; an empty
    /// checkpoint is ignored. The members of a gang share the furthest one.
    pub(super) fn update_checkpoint(
        &mut self,
        job_key: JobKey,
        index: usize,
        checkpoint: &str,
        percent: u32,
    ) {
        if checkpoint.is_empty() {
            return;
        }
        let job = &mut self.jobs[job_key];
        let step_index = job.step_index(job.name_of(index));
        if !job.step_spec(step_index).is_gang {
            checkpoint.clone_into(&mut job.tasks[index].checkpoint);
            return;
        }
        let known = &mut job.steps[step_index].gang_checkpoint;
        if known.value.is_empty() || percent >= known.percent {
            checkpoint.clone_into(&mut known.value);
            known.percent = percent;
        }
    }

    /// Sets the checkpoint from which all members of a gang start: the furthest
    /// one of the last run, or the one from which that run started.
    pub(super) fn share_checkpoint(&mut self, job_key: JobKey, step_index: usize) {
        let job = &mut self.jobs[job_key];
        let members = job.task_range(step_index);
        let known = std::mem::take(&mut job.steps[step_index].gang_checkpoint);
        let shared = if known.value.is_empty() {
            job.tasks[members.start].checkpoint.clone()
        } else {
            known.value
        };
        for task in &mut job.tasks[members] {
            task.checkpoint.clone_from(&shared);
        }
    }

    /// Stops the other members of a gang after one of them did not succeed.
    pub(super) fn break_gang(&mut self, job_key: JobKey, index: usize) {
        let job = &self.jobs[job_key];
        let step_index = job.step_index(job.name_of(index));
        if !job.step_spec(step_index).is_gang {
            return;
        }
        for member in self.jobs[job_key].task_range(step_index) {
            if let TaskPlacement::Placed(worker) = self.jobs[job_key].tasks[member].placement {
                self.stop_or_requeue(job_key, member, worker, StopReason::GangBroken);
            }
        }
    }
}

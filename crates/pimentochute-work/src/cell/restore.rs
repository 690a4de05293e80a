//! Restores the jobs of a previous owner from the log.

use pimentochute_base::MilliTime;

use crate::job::{PartRecord, TaskPlacement};
use crate::worker::PlacedRun;
use crate::{
    IncarnationNumber, JobCode, JobProgress, ProgressPart, TaskPhase, WorkerKey, WorkerReport,
};

use super::WorkCell;

impl WorkCell {
    /// Restores a part of the progress of a job from its record, before the progress.
    pub fn restore_part(&mut self, code: JobCode, number: u32, part: ProgressPart) {
        let parts = self.restored_parts.entry(code).or_default();
        parts.insert(number, part);
    }

    /// Restores the progress of a job from its record, after the submission. A run
    /// that may still be running stays placed until its worker has been polled. If the
    /// submission is not known yet, the progress is kept until it arrives.
    pub fn restore_progress(&mut self, code: JobCode, mut progress: JobProgress) {
        if progress.parts == 0 && self.restore_closed(code, &progress) {
            let parts = self.restored_parts.remove(&code).unwrap_or_default();
            let numbers = parts.into_keys();
            self.orphaned_parts
                .extend(numbers.map(|number| (code, number)));
            return;
        }
        let Some(key) = self.job_keys.get(&code).copied() else {
            log::warn!(job:% = code; "cell: the log has progress of a job without its submission");
            self.early_progress.insert(code, progress);
            return;
        };
        let parts = self.restored_parts.remove(&code).unwrap_or_default();
        let part_count = parts.len();
        if progress.parts > 0 {
            progress.tasks = parts.into_values().flat_map(|part| part.tasks).collect();
        }
        if self.jobs[key].tasks.len() != progress.tasks.len() {
            log::error!(job:% = code; "cell: the progress of a job has another number of tasks than its submission");
            return;
        }
        self.jobs[key].parts = vec![PartRecord::Outdated; part_count];
        for (index, record) in progress.tasks.into_iter().enumerate() {
            let gang = self.jobs[key].gang_recorded_at(index);
            let task = &mut self.jobs[key].tasks[index];
            task.run = record.run;
            task.checkpoint = record.checkpoint;
            match gang {
                Some(step_index) => {
                    self.jobs[key].steps[step_index].last_failed_run = record.failures;
                }
                None => task.failures = record.failures,
            }
            self.jobs[key].has_started |= record.failures > 0 || record.phase == TaskPhase::Done;
            match record.phase {
                TaskPhase::Waiting => {}
                TaskPhase::Done => self.jobs[key].set_placement(index, TaskPlacement::Done),
                TaskPhase::Placed { worker, started_at } => {
                    let worker = self.worker_for(&worker, started_at);
                    let state = &self.workers[worker];
                    let incarnation = if state.report.started_at == started_at {
                        state.incarnation
                    } else {
                        IncarnationNumber::EARLIER
                    };
                    let job = &self.jobs[key];
                    let (crashes, demand) = (job.tasks[index].crashes, job.demand_of(index));
                    let mut run = PlacedRun::restored(record.run, incarnation, demand, self.now)
                        .with_apart(crashes.is_suspect);
                    run.has_reached_worker = crashes.reached_run == record.run;
                    run.is_calm_start = run.has_reached_worker;
                    self.place_run(key, index, worker, run);
                }
            }
        }
        let job = &mut self.jobs[key];
        if job.end.is_none() && progress.end.is_some() {
            self.open_jobs -= 1;
        }
        job.end = progress.end;
        job.ended_at = progress.ended_at;
        job.is_end_recorded = progress.end.is_some();
        if !job.has_waiting() {
            self.backlog.remove(&key);
        }
    }

    /// Returns the worker of a recorded run. One that is not in the platform's
    /// list is added, so that its runs stay placed until its lease has expired.
    fn worker_for(&mut self, id: &str, started_at: MilliTime) -> WorkerKey {
        if let Some(key) = self.worker_keys.get(id) {
            return *key;
        }
        if let Some(key) = self.adopt_kept_entry(id) {
            return key;
        }
        let report = WorkerReport {
            id: id.to_owned(),
            started_at,
            ..WorkerReport::default()
        };
        self.add_worker(report, false)
    }
}

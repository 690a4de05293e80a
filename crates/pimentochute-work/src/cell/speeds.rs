//! Which of the workers with room a step takes, by their speed.

use pimentochute_base::{MilliSpan, MilliTime};

use crate::decision::CellDecision;
use crate::job::JobState;
use crate::learning::{ClassSlots, SpeedClass, SpeedNeed, gang_classes, log_of, slowest_excess};
use crate::{JobKey, QueueTerms, WorkerKey};

use super::WorkCell;
use super::place::StepWorker;
use super::rank::LATE_FACTOR;

impl WorkCell {
    /// Returns the logarithm of the speed of a worker that placement goes by.
    pub(super) fn log_speed(&self, worker_key: WorkerKey) -> f64 {
        self.workers[worker_key].speed.applied
    }

    /// Returns the speed that a step needs if it starts after `delay`.
    pub(super) fn speed_need(
        &self,
        job_key: JobKey,
        step_index: usize,
        terms: &QueueTerms,
        delay: MilliSpan,
    ) -> SpeedNeed {
        let job = &self.jobs[job_key];
        let spec = job.step_spec(step_index);
        if !self.policy.learning.is_enabled
            || spec.is_service
            || job.submission.spec.schedule.is_some()
        {
            return SpeedNeed::NONE;
        }
        let received = job.submission.received;
        let objective = self.objective_of(job, terms);
        let allowed = objective.since(received).as_millis();
        let latest = received + MilliSpan::new(allowed.saturating_mul(LATE_FACTOR));
        // The end is seen by a poll.
        let now = self.unix_now + delay + self.policy.poll.interval + self.order_delay;
        let left = |until: MilliTime| log_of(until.since(now));
        let work = log_of(self.rest_of_chain(job, step_index)) + slowest_excess(spec.tasks);
        SpeedNeed::new(work, left(objective), left(latest), self.speeds.fastest)
    }

    /// Returns the longest chain of expected times from a step to the end of its occurrence.
    pub(super) fn rest_of_chain(&self, job: &JobState, step_index: usize) -> MilliSpan {
        let steps = &job.submission.spec.steps;
        let first = step_index - step_index % steps.len();
        let mut rests = vec![MilliSpan::ZERO; steps.len()];
        // A step depends only on earlier ones.
        for step in (0..steps.len()).rev() {
            rests[step] = rests[step] + self.expected_span(job, first + step);
            for after in &steps[step].after {
                let after = usize::from(*after);
                rests[after] = rests[after].max(rests[step]);
            }
        }
        rests[step_index % steps.len()]
    }

    /// Drops the workers that are too slow for a step that can still end in time on others.
    pub(super) fn drop_slow_workers(&mut self, rows: &mut Vec<StepWorker>, need: &SpeedNeed) {
        let before = rows.len();
        rows.retain(|row| !need.rejects(self.log_speed(row.worker_key)));
        if rows.is_empty() && before > 0 {
            self.decisions.add(CellDecision::WaitForSpeed);
        }
    }

    /// Drops the workers that are too slow for a gang that can still end in time, if it
    /// fits on the others without their other runs.
    pub(super) fn drop_slow_gang_workers(
        &self,
        rows: &mut Vec<StepWorker>,
        tasks: u32,
        need: &SpeedNeed,
    ) {
        let is_fast = |row: &StepWorker| !need.rejects(self.log_speed(row.worker_key));
        let fast = rows.iter().filter(|row| is_fast(row));
        let room = fast.fold(0_u32, |room, row| room.saturating_add(row.max_slots));
        if room >= tasks {
            rows.retain(is_fast);
        }
    }

    /// Keeps the workers of like speed that suit a gang.
    pub(super) fn keep_gang_speed(&self, rows: &mut Vec<StepWorker>, tasks: u32, need: &SpeedNeed) {
        let mut slots = ClassSlots::new();
        for row in rows.iter() {
            let class = SpeedClass::of(self.log_speed(row.worker_key));
            match slots.iter_mut().find(|(known, _)| *known == class) {
                Some((_, slots)) => *slots = slots.saturating_add(row.slots),
                None => slots.push((class, row.slots)),
            }
        }
        if let Some((slowest, fastest)) = gang_classes(&slots, tasks, need) {
            rows.retain(|row| {
                let class = SpeedClass::of(self.log_speed(row.worker_key));
                (slowest..=fastest).contains(&class)
            });
        }
    }
}

//! What the cell expects of runs, learnt from those that have ended and from the progress
//! of those that have not.
//!
//! A run tells how long its task takes once: by its progress, or else by its end. Runs that
//! were stopped, cancelled, broken or lost tell so only by the progress that they had made,
//! and failed runs in the same way: how long they lasted says nothing. A run from a
//! checkpoint counts from its first reading. Durations of kinds of steps are learnt from
//! steps that are done.

use pimentochute_base::{MilliSpan, MilliTime};

use crate::job::{JobState, TaskPlacement};
use crate::learning::{
    DurationKeys, DurationModel, FleetSpeeds, LogEstimate, TASK_VARIANCE, log_of, slowest_excess,
    span_of,
};
use crate::worker::PlacedRun;
use crate::{JobCode, JobKey, StepSpec, WorkerKey};

use super::WorkCell;
use super::gang_progress::FULL_PERCENT;

/// The time between two updates of speeds and expectations.
const UPDATE_INTERVAL: MilliSpan = MilliSpan::new(250);

/// A reading counts if the run has made this much progress since the base, in percent.
/// Percentages are whole numbers.
const MIN_PROGRESS: u32 = 25;

/// A reading counts this long after the base at the earliest, since messages take time.
const MIN_READING_TIME: MilliSpan = MilliSpan::new(100);

/// The usual error of the time of a reading, in milliseconds.
const READING_ERROR_MS: f64 = 30.0;

/// What a run has shown: the logarithm of the time that its task takes in all, and the
/// variance that comes from the reading of the clock.
type ShownTime = LogEstimate;

impl WorkCell {
    /// Returns how long a task of a step is expected to run on a usual worker.
    pub(super) fn expected_span(&self, job: &JobState, step_index: usize) -> MilliSpan {
        let spec = job.step_spec(step_index);
        if !self.policy.learning.is_enabled || spec.is_service {
            return spec.estimate;
        }
        let known = job.steps[step_index].learning.expected;
        known.unwrap_or_else(|| span_of(self.expected_log(job, step_index).mean))
    }

    /// Returns how long a task of a step of a job is expected to run on a usual worker;
    /// `None` if the job is not open or has no such step.
    #[must_use]
    pub fn expected_time(&self, code: JobCode, step_index: usize) -> Option<MilliSpan> {
        let job = &self.jobs[*self.job_keys.get(&code)?];
        let is_known = step_index < job.steps.len();
        is_known.then(|| self.expected_span(job, step_index))
    }

    /// Returns the speed of a worker that placement goes by, where 1 is the usual one;
    /// `None` if the worker is not known.
    #[must_use]
    pub fn worker_speed(&self, id: &str) -> Option<f64> {
        let worker_key = self.worker_keys.get(id)?;
        Some(self.log_speed(*worker_key).exp())
    }

    /// Returns the number of kinds of steps whose durations are kept.
    #[must_use]
    pub fn learnt_kinds(&self) -> usize {
        self.durations.summary().0
    }

    /// Returns the logarithm of the expected time of a task of a step on a usual worker.
    fn expected_log(&self, job: &JobState, step_index: usize) -> LogEstimate {
        let estimate = job.step_spec(step_index).estimate;
        let prediction = self.durations.predict(&keys_of(job, step_index), estimate);
        job.steps[step_index].learning.evidence.refine(prediction)
    }

    /// Updates the speeds of workers and the expectations of waiting jobs.
    pub(super) fn update_expectations(&mut self) {
        let now = self.now;
        if !self.policy.learning.is_enabled || now.since(self.expected_at) < UPDATE_INTERVAL {
            return;
        }
        self.expected_at = now;
        let speeds = self.workers.values_mut().map(|worker| &mut worker.speed);
        self.speeds = FleetSpeeds::from_workers(speeds, now);
        let waiting: Vec<_> = self.backlog.iter().copied().collect();
        for job_key in waiting {
            for step_index in 0..self.jobs[job_key].steps.len() {
                let job = &self.jobs[job_key];
                if job.steps[step_index].unfinished > 0 {
                    let expected = span_of(self.expected_log(job, step_index).mean);
                    let learning = &mut self.jobs[job_key].steps[step_index].learning;
                    learning.expected = Some(expected);
                }
            }
        }
    }

    /// Learns from the progress of a run in a listing.
    pub(super) fn learn_from_progress(
        &mut self,
        job_key: JobKey,
        index: usize,
        worker_key: WorkerKey,
    ) {
        let run = self.workers[worker_key].runs.get(&(job_key, index));
        let Some(run) = run.copied().filter(|run| !run.reading.is_used) else {
            return;
        };
        if !self.learns_from(job_key, index, worker_key) {
            return;
        }
        let Some((percent, since)) = run.reading.base else {
            let base = self.reading_base(job_key, index, &run);
            let worker = &mut self.workers[worker_key];
            let speed = worker.speed.estimate(&self.speeds, self.now);
            if let Some(run) = worker.runs.get_mut(&(job_key, index)) {
                run.reading.base = base;
                run.reading.speed = base.map(|_| speed);
            }
            return;
        };
        let progress = run.percent.saturating_sub(percent);
        let elapsed = self.now.since(since);
        let is_full = run.percent >= FULL_PERCENT;
        if is_full || progress < MIN_PROGRESS || elapsed < MIN_READING_TIME {
            return;
        }
        let share = f64::from(progress) / f64::from(FULL_PERCENT);
        let shown = shown_time(elapsed, READING_ERROR_MS);
        let shown = ShownTime {
            mean: shown.mean - share.ln(),
            ..shown
        };
        self.learn_time(job_key, index, worker_key, shown);
    }

    /// Learns from the success of a run that has not told by its progress.
    pub(super) fn learn_from_end(&mut self, job_key: JobKey, index: usize, worker_key: WorkerKey) {
        let run = self.workers[worker_key].runs.get(&(job_key, index));
        let Some(run) = run.copied().filter(|run| !run.reading.is_used) else {
            return;
        };
        let job = &self.jobs[job_key];
        let step_index = job.step_index(job.name_of(index));
        let spec = job.step_spec(step_index);
        let has_checkpoint = !job.tasks[index].checkpoint.is_empty() && spec.has_checkpoints;
        let is_repeated = spec.is_gang && !job.steps[step_index].learning.evidence.is_empty();
        if has_checkpoint || is_repeated || !self.learns_from(job_key, index, worker_key) {
            return;
        }
        let since = run
            .acknowledged_at
            .and_then(|_| self.work_since(job_key, index));
        let Some(since) = since else {
            return;
        };
        // The end came between two polls, so half the pause is taken off.
        let pause = self.policy.poll.interval + self.order_delay;
        let elapsed = self.now.since(since);
        let half = MilliSpan::new(pause.as_millis().min(elapsed.as_millis()) / 2);
        let error = u32::try_from(half.as_millis()).unwrap_or(u32::MAX);
        let elapsed = elapsed.saturating_sub(half);
        let shown = shown_time(elapsed, READING_ERROR_MS + f64::from(error));
        if !spec.is_gang {
            self.learn_time(job_key, index, worker_key, shown);
            return;
        }
        // The time of a gang is that of its slowest member.
        let slowest = self.slowest_member(job_key, index);
        let shown = LogEstimate {
            mean: shown.mean + slowest.mean - slowest_excess(spec.tasks),
            variance: shown.variance + slowest.variance + TASK_VARIANCE,
        };
        let step = &mut self.jobs[job_key].steps[step_index];
        step.learning.evidence.add(shown);
    }

    /// Counts a step that is done in the durations of its kinds.
    pub(super) fn learn_from_step(&mut self, job_key: JobKey, step_index: usize) {
        let job = &self.jobs[job_key];
        let step = &job.steps[step_index];
        let learning = step.learning;
        if step.unfinished > 0 || learning.is_counted || learning.evidence.is_empty() {
            return;
        }
        let estimate = job.step_spec(step_index).estimate;
        let keys = keys_of(job, step_index);
        self.durations
            .learn(&keys, estimate, learning.evidence.mean());
        let step = &mut self.jobs[job_key].steps[step_index];
        step.learning.is_counted = true;
    }

    /// Learns the speed of a worker and the work of a step from the time that a task takes.
    fn learn_time(
        &mut self,
        job_key: JobKey,
        index: usize,
        worker_key: WorkerKey,
        shown: ShownTime,
    ) {
        let (now, fleet) = (self.now, self.speeds);
        let job = &self.jobs[job_key];
        let step_index = job.step_index(job.name_of(index));
        let work = self.expected_log(job, step_index);
        let worker = &self.workers[worker_key];
        let run = worker.runs.get(&(job_key, index));
        let speed = run.and_then(|run| run.reading.speed);
        let speed = speed.unwrap_or_else(|| worker.speed.estimate(&fleet, now));
        // The tasks of a step on one worker share the errors of work and speed, so that
        // together they count as one.
        let tasks = job.task_range(step_index);
        let shared = worker
            .runs
            .range((job_key, tasks.start)..(job_key, tasks.end));
        let shared = f64::from(u32::try_from(shared.count()).unwrap_or(u32::MAX).max(1));
        let shown_speed = LogEstimate {
            mean: work.mean - shown.mean,
            variance: shared * work.variance + TASK_VARIANCE + shown.variance,
        };
        let shown_work = LogEstimate {
            mean: shown.mean + speed.mean,
            variance: shared * speed.variance + TASK_VARIANCE + shown.variance,
        };
        let worker = &mut self.workers[worker_key];
        worker.speed.learn(shown_speed, &fleet, now);
        if let Some(run) = worker.runs.get_mut(&(job_key, index)) {
            run.reading.is_used = true;
        }
        let step = &mut self.jobs[job_key].steps[step_index];
        step.learning.evidence.add(shown_work);
    }

    /// Returns whether the time of a run tells anything: the task has an end and processor
    /// time of its own, and runs near its data.
    fn learns_from(&self, job_key: JobKey, index: usize, worker_key: WorkerKey) -> bool {
        let job = &self.jobs[job_key];
        let spec = job.step_spec(job.step_index(job.name_of(index)));
        let rack = self.workers[worker_key].rack();
        self.policy.learning.is_enabled && is_measurable(spec, rack)
    }

    /// Returns from where the progress of a run is measured: from its start if that is known
    /// and the run has begun with nothing, otherwise from the present reading.
    fn reading_base(
        &self,
        job_key: JobKey,
        index: usize,
        run: &PlacedRun,
    ) -> Option<(u32, MilliTime)> {
        let job = &self.jobs[job_key];
        let since = self.work_since(job_key, index)?;
        let starts_now = run.acknowledged_at.is_none_or(|at| at >= self.now);
        if starts_now || !job.tasks[index].checkpoint.is_empty() {
            return Some((run.percent, self.now));
        }
        Some((0, since))
    }

    /// Returns since when a task works: since its start, or that of the last member of its
    /// gang; `None` before.
    fn work_since(&self, job_key: JobKey, index: usize) -> Option<MilliTime> {
        let job = &self.jobs[job_key];
        let mut since = MilliTime::ZERO;
        for member in job.gang_of(index) {
            let TaskPlacement::Placed(worker_key) = job.tasks[member].placement else {
                return None;
            };
            let run = self.workers[worker_key].runs.get(&(job_key, member))?;
            since = since.max(run.acknowledged_at?);
        }
        Some(since)
    }

    /// Returns the speed of the slowest worker of a gang.
    fn slowest_member(&self, job_key: JobKey, index: usize) -> LogEstimate {
        let job = &self.jobs[job_key];
        let speeds = job.gang_of(index).filter_map(|member| {
            let TaskPlacement::Placed(worker_key) = job.tasks[member].placement else {
                return None;
            };
            let worker = &self.workers[worker_key];
            Some(worker.speed.estimate(&self.speeds, self.now))
        });
        let slowest = speeds.min_by(|a, b| a.mean.total_cmp(&b.mean));
        slowest.unwrap_or(LogEstimate {
            mean: 0.0,
            variance: 0.0,
        })
    }

    /// Logs what is learnt, once a second with the usage.
    pub(super) fn log_learning(&self) {
        if !self.policy.learning.is_enabled {
            return;
        }
        let (keys, steps, estimate_error, learnt_error) = self.durations.summary();
        log::info!(
            keys,
            steps,
            estimate_factor:% = format_args!("{estimate_error:.2}"),
            learnt_factor:% = format_args!("{learnt_error:.2}"),
            known_speeds = self.speeds.known,
            slowed = self.speeds.slowed,
            fastest:% = format_args!("{:.2}", self.speeds.fastest.exp());
            "cell: learnt durations and speeds"
        );
    }
}

/// Returns the kinds that a step belongs to.
fn keys_of(job: &JobState, step_index: usize) -> DurationKeys {
    let steps = job.submission.spec.steps.len();
    let submission = &job.submission;
    DurationModel::keys(
        &submission.queue,
        step_index % steps,
        &job.step_spec(step_index).image,
        submission.team.as_deref(),
    )
}

/// Returns whether the time of a task on a worker in a rack depends only on its work and on
/// the speed of the worker.
fn is_measurable(spec: &StepSpec, rack: &str) -> bool {
    let is_near = spec.rack.as_deref().is_none_or(|wanted| wanted == rack);
    is_near && !spec.is_service && !spec.uses_leftover_cpu
}

/// Returns the time that a run has shown, read with an error.
fn shown_time(elapsed: MilliSpan, error_ms: f64) -> ShownTime {
    let mean = log_of(elapsed);
    LogEstimate {
        mean,
        variance: (error_ms / mean.exp()).powi(2),
    }
}

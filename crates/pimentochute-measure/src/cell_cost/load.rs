//! A mixed load of jobs, similar to the load of the users' sites.

use pimentochute_base::{MilliSpan, ResourceAmount};
use pimentochute_work::{JobSpec, StepSpec};

/// The processor capacity of a worker, in thousandths of a core.
pub(crate) const WORKER_CPU_MILLIS: u64 = 16_000;

/// The fleet size to which the rates in [`JobLoad::new`] apply.
const REFERENCE_WORKERS: u64 = 350;

/// The kinds of jobs and the times of their next submissions.
#[derive(Debug)]
pub(crate) struct JobLoad {
    kinds: [JobKind; 3],
}

/// A kind of job, submitted at a constant rate.
#[derive(Debug, Clone, Copy)]
struct JobKind {
    queue: &'static str,
    /// The time between two submissions, in microseconds.
    interval_micros: u64,
    /// The time of the next submission, in microseconds from the start.
    next_at_micros: u64,
    steps: u32,
    tasks: u32,
    cpu_millis: u64,
    run_ms: u64,
    is_gang: bool,
}

impl JobLoad {
    /// Creates the load of a fleet. The rates grow with the number of workers.
    pub(crate) fn new(workers: usize) -> Self {
        let kind = |queue, jobs_per_1000_s: u64, steps, tasks, cpu_millis, run_ms, is_gang| {
            let interval_micros =
                1_000_000_000 * REFERENCE_WORKERS / (jobs_per_1000_s * workers as u64);
            JobKind {
                queue,
                interval_micros,
                next_at_micros: interval_micros,
                steps,
                tasks,
                cpu_millis,
                run_ms,
                is_gang,
            }
        };
        Self {
            kinds: [
                kind("large", 5_370, 1, 24, 4_500, 4_000, true),
                kind("middle", 8_960, 2, 19, 1_700, 2_700, false),
                kind("small", 125_000, 1, 3, 2_500, 640, false),
            ],
        }
    }

    /// Returns the queue and the job of each submission that is due by `now`, in
    /// milliseconds from the start.
    pub(crate) fn due(&mut self, now: u64) -> Vec<(&'static str, JobSpec)> {
        let mut jobs = Vec::new();
        for kind in &mut self.kinds {
            while kind.next_at_micros <= now * 1_000 {
                kind.next_at_micros += kind.interval_micros;
                jobs.push((kind.queue, kind.spec()));
            }
        }
        jobs
    }
}

impl JobKind {
    fn spec(&self) -> JobSpec {
        let steps = (0..self.steps).map(|index| StepSpec {
            tasks: self.tasks,
            demand: ResourceAmount::new(self.cpu_millis, 1_000),
            estimate: MilliSpan::new(self.run_ms),
            after: (0..index)
                .filter_map(|before| before.try_into().ok())
                .collect(),
            is_gang: self.is_gang,
            ..StepSpec::default()
        });
        JobSpec {
            text: "x".repeat(400),
            steps: steps.collect(),
            schedule: None,
        }
    }
}

//! Jobs like those of the users' sites.

use pimentochute_base::{MilliSpan, ResourceAmount};
use pimentochute_work::{JobSpec, StepSpec};

/// The processor time of a worker, in thousandths of a core.
pub(crate) const WORKER_CPU_MILLIS: u64 = 16_000;

/// The workers for which the rates of the kinds are given.
const REFERENCE_WORKERS: u64 = 350;

/// The kinds of jobs and how often they come.
#[derive(Debug)]
pub(crate) struct JobLoad {
    kinds: [JobKind; 3],
}

/// A kind of job.
#[derive(Debug, Clone, Copy)]
struct JobKind {
    queue: &'static str,
    /// The time between two jobs, in microseconds.
    interval_micros: u64,
    next_at_micros: u64,
    steps: u32,
    tasks: u32,
    cpu_millis: u64,
    run_ms: u64,
    is_gang: bool,
}

impl JobLoad {
    /// Creates the load of a fleet; the shares of the kinds stay the same.
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

    /// Returns the jobs that come up to `now`, in milliseconds from the start.
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

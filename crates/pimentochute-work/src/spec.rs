//! The specification of a job as a caller submits it: steps, each with a number of
//! equal tasks.

use derive_more::{Display, Error};
use pimentochute_base::{MilliSpan, MilliTime, ResourceAmount};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// The largest number of tasks of a job, over all steps and occurrences. It bounds
/// the memory that a single submission takes.
pub const MAX_TASKS: u64 = 20_000;

/// A job as it was submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The text that workers receive with each start.
    pub text: String,
    /// The steps. A step depends only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// When the occurrences are due; `None` if the job runs once, at once.
    pub schedule: Option<JobSchedule>,
}

/// The times at which the occurrences of a job are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSchedule {
    /// The number of occurrences; 0 counts as 1.
    pub occurrences: u32,
    /// When the first occurrence is due, since the Unix epoch.
    pub first: MilliTime,
    /// The time between two occurrences.
    pub interval: MilliSpan,
}

/// A step: a number of tasks with the same demand and constraints.
#[expect(
    clippy::struct_excessive_bools,
    reason = "callers state these properties independently"
)]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// The number of tasks; at least one.
    pub tasks: u32,
    /// The resources that each task uses.
    #[serde(rename = "need")]
    pub demand: ResourceAmount,
    /// A rough estimate of the run time of a task.
    pub estimate: MilliSpan,
    /// The indices of the earlier steps that have to be done first.
    pub after: SmallVec<[u16; 4]>,
    /// The tasks start together and end together.
    pub is_gang: bool,
    /// The tasks are slower if they run on more than one rack.
    pub prefers_one_rack: bool,
    /// A label that the worker has to have; `None` for any worker.
    pub label: Option<String>,
    /// The rack that has the data and is preferred; `None` for no preference.
    pub rack: Option<String>,
    /// The largest number of tasks of the step on one worker; 0 for no limit.
    pub max_per_worker: u32,
    /// Copies of a task may run at the same time. Accepted and stored, not used for
    /// scheduling yet.
    pub is_speculative: bool,
    /// The tasks run until the job is cancelled.
    pub is_service: bool,
    /// The tasks save checkpoints.
    pub has_checkpoints: bool,
    /// The image that the tasks run. Tasks of the same image behave alike. Accepted
    /// and stored, not used for scheduling yet.
    pub image: String,
    /// The response time that a service task has to stay below; 0 for no limit.
    /// Accepted and stored, not used for scheduling yet.
    pub tail_target: MilliSpan,
    /// The tasks use only processor time that others leave unused.
    pub uses_leftover_cpu: bool,
    /// How many tasks of a service may be unavailable due to planned actions.
    /// Accepted and stored, not used for scheduling yet.
    pub max_unavailable: u32,
}

/// The reason why a job is refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SpecError {
    /// The job has no steps.
    #[display("the job has no steps")]
    NoSteps,
    /// A step has no tasks.
    #[display("step {step} has no tasks")]
    NoTasks {
        /// The index of the step.
        step: usize,
    },
    /// A step depends on itself or a later one.
    #[display("step {step} depends on step {after}, which is not an earlier one")]
    NotEarlier {
        /// The index of the step.
        step: usize,
        /// The index of the dependency.
        after: u16,
    },
    /// The job has more than [`MAX_TASKS`] tasks.
    #[display("the job has {tasks} tasks, more than {MAX_TASKS}")]
    TooManyTasks {
        /// The number of tasks over all occurrences.
        tasks: u64,
    },
}

impl JobSpec {
    /// Checks that the steps are valid.
    ///
    /// # Errors
    /// Fails if there is no step or task, if a dependency is not an earlier
    /// step, or if there are too many tasks.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return Err(SpecError::NoTasks { step: index });
            }
            let later = step
                .after
                .iter()
                .find(|after| usize::from(**after) >= index);
            if let Some(after) = later {
                let after = *after;
                return Err(SpecError::NotEarlier { step: index, after });
            }
        }
        let once: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        let tasks = once.saturating_mul(u64::from(self.occurrences()));
        if tasks > MAX_TASKS {
            return Err(SpecError::TooManyTasks { tasks });
        }
        Ok(())
    }

    /// Returns how often the steps run, at least once.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule
            .map_or(1, |schedule| schedule.occurrences.max(1))
    }

    /// Returns when an occurrence is due, since the Unix epoch; `None` if it is due
    /// at once.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> Option<MilliTime> {
        let schedule = self.schedule?;
        let wait = schedule
            .interval
            .as_millis()
            .saturating_mul(u64::from(occurrence));
        Some(schedule.first + MilliSpan::new(wait))
    }

    /// Returns the longest sum of estimates along the dependencies of the steps.
    #[must_use]
    pub fn critical_path(&self) -> MilliSpan {
        self.longest_chain(|index| self.steps[index].estimate)
    }

    /// Returns the longest sum of spans along the dependencies of the steps. `span_of` gets the
    /// index of a step.
    pub(crate) fn longest_chain(&self, span_of: impl Fn(usize) -> MilliSpan) -> MilliSpan {
        let mut ends: SmallVec<[MilliSpan; 4]> = SmallVec::new();
        for (index, step) in self.steps.iter().enumerate() {
            let before = step
                .after
                .iter()
                .filter_map(|after| ends.get(usize::from(*after)));
            let before = before.copied().max().unwrap_or_default();
            ends.push(before + span_of(index));
        }
        ends.into_iter().max().unwrap_or_default()
    }
}

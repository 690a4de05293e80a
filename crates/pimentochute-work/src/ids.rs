//! Identifiers of jobs, steps and tasks, and keys of the slot maps of a cell.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

new_key_type! {
    /// The key of a job that is not closed, valid within one owner.
    pub struct JobKey;
    /// The key of a worker, valid within one owner.
    pub struct WorkerKey;
}

/// Which start of a worker an owner means: it counts those that it knows of, from 1. A
/// later start has a higher number, also if the worker's time of day has stepped back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationNumber(u32);

/// The identifier of a job, which its caller chose: 16 hexadecimal digits as text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobCode(u64);

/// A text is not the identifier of a job or of one of its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a job identifier has 16 lowercase hexadecimal digits")]
pub struct JobCodeError;

/// The name of a task, written as `job.occurrence.step.index`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// The job.
    pub job: JobCode,
    /// The occurrence, counted from 0.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u16,
    /// The task within the step, counted from 0.
    pub index: u32,
}

/// The name of a step in one occurrence, written as `job.occurrence.step`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepName {
    /// The job.
    pub job: JobCode,
    /// The occurrence, counted from 0.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u16,
}

impl IncarnationNumber {
    /// A start before the first one that an owner knows of.
    pub(crate) const EARLIER: Self = Self(0);
    /// The first start that an owner knows of.
    pub const FIRST: Self = Self(1);

    /// Returns the number of the next start.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for IncarnationNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl JobCode {
    /// The length of the text form.
    const DIGITS: usize = 16;

    /// Creates an identifier from its number.
    #[must_use]
    pub const fn new(code: u64) -> Self {
        Self(code)
    }

    /// Returns the identifier as a number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for JobCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobCode {
    type Err = JobCodeError;

    fn from_str(text: &str) -> Result<Self, JobCodeError> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != Self::DIGITS || !text.bytes().all(is_digit) {
            return Err(JobCodeError);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| JobCodeError)
    }
}

impl TaskName {
    /// Returns the name of the step that the task belongs to.
    #[must_use]
    pub const fn step_name(&self) -> StepName {
        StepName {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}",
            self.job, self.occurrence, self.step, self.index
        )
    }
}

impl FromStr for TaskName {
    /// An invalid task name gets the error of an invalid job identifier, whose
    /// text names only the digits of the job.
    type Err = JobCodeError;

    fn from_str(text: &str) -> Result<Self, JobCodeError> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(JobCodeError);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| JobCodeError)?;
        let step = next()?.parse().map_err(|_| JobCodeError)?;
        let index = next()?.parse().map_err(|_| JobCodeError)?;
        if parts.next().is_some() {
            return Err(JobCodeError);
        }
        Ok(Self {
            job,
            occurrence,
            step,
            index,
        })
    }
}

impl fmt::Display for StepName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

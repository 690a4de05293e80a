//! Identifiers other than names: numbers and hashes.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{IdempotencyKey, TeamName};

macro_rules! number_type {
    ($(#[$meta:meta])* $name:ident, $inner:ty) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Creates the identifier from a number.
            #[must_use]
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// Returns the number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Returns the next identifier, or the same one if it is the largest.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }
    };
}

number_type!(
    /// A version of the configuration; zero is the empty configuration.
    ConfigVersion, u64
);
number_type!(
    /// The position of a record in a stream of the log.
    LogOffset, u64
);
number_type!(
    /// The epoch of a holder of control, used as a fencing token: a command with
    /// another epoch than the current one is refused.
    EpochNumber, u64
);
number_type!(
    /// The incarnation of an entry host. It changes when the process restarts.
    HostIncarnation, u64
);
number_type!(
    /// The incarnation of a worker. It changes when the process restarts.
    WorkerIncarnation, u64
);
number_type!(
    /// The index of a slice of the teams of a data centre.
    SliceIndex, u16
);
number_type!(
    /// The index of a task in its job, from zero.
    TaskIndex, u32
);
number_type!(
    /// The number of an attempt of a task, from one.
    AttemptNumber, u32
);

const JOB_ID_BYTES: usize = 16;

/// The identifier of a job.
///
/// It is derived from the team and the idempotency key, so a repeated submission
/// gets the same identifier on every host.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobId([u8; JOB_ID_BYTES]);

impl JobId {
    /// Derives the identifier from the team and the idempotency key.
    #[must_use]
    pub fn new(team: &TeamName, key: &IdempotencyKey) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(team.as_str());
        hasher.update([0]);
        hasher.update(key.as_str());
        let digest = hasher.finalize();
        let mut id = [0; JOB_ID_BYTES];
        id.copy_from_slice(&digest[..JOB_ID_BYTES]);
        Self(id)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "JobId({self})")
    }
}

impl FromStr for JobId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let malformed = || IdError::Job {
            text: text.to_owned(),
        };
        if text.len() != 2 * JOB_ID_BYTES || !text.is_ascii() {
            return Err(malformed());
        }
        let mut id = [0; JOB_ID_BYTES];
        for (index, byte) in id.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| malformed())?;
        }
        Ok(Self(id))
    }
}

impl TryFrom<String> for JobId {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<JobId> for String {
    fn from(id: JobId) -> Self {
        id.to_string()
    }
}

/// The identifier of an attempt to run a task of a job.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{job}/{task}#{attempt}")]
pub struct AttemptRef {
    /// The job.
    pub job: JobId,
    /// The index of the task in the job.
    pub task: TaskIndex,
    /// The number of the attempt, from one.
    pub attempt: AttemptNumber,
}

/// Why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum IdError {
    /// The text is not 32 hexadecimal digits.
    #[display("{text:?} is not a job id; hint: a job id has 32 hexadecimal digits")]
    Job {
        /// The rejected text.
        text: String,
    },
}

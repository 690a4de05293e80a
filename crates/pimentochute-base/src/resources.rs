//! Amounts of resources, as workers have them and tasks demand them.

use std::iter::Sum;
use std::ops::{Add, AddAssign};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// An amount of processor time, memory and accelerators. Sums saturate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[display("{cpu_millis} mCPU, {memory_mib} MiB, {accelerators} accelerators")]
#[serde(deny_unknown_fields)]
pub struct ResourceAmount {
    /// Processor time in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// The number of whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl ResourceAmount {
    /// The empty amount.
    pub const ZERO: Self = Self {
        cpu_millis: 0,
        memory_mib: 0,
        accelerators: 0,
    };

    /// Creates an amount without accelerators.
    #[must_use]
    pub const fn new(cpu_millis: u64, memory_mib: u64) -> Self {
        Self {
            cpu_millis,
            memory_mib,
            accelerators: 0,
        }
    }

    /// Sets the number of accelerators.
    #[must_use]
    pub const fn with_accelerators(mut self, accelerators: u64) -> Self {
        self.accelerators = accelerators;
        self
    }

    /// Returns whether no part exceeds that of `available`.
    #[must_use]
    pub const fn fits_within(&self, available: &Self) -> bool {
        self.cpu_millis <= available.cpu_millis
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }

    /// Adds each part. Returns `None` if a part overflows.
    #[must_use]
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu_millis: self.cpu_millis.checked_add(other.cpu_millis)?,
            memory_mib: self.memory_mib.checked_add(other.memory_mib)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// Subtracts each part, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the dominant share, which is the largest ratio of a part to that of
    /// `total`, in parts per million. Parts that are zero in `total` are ignored.
    #[must_use]
    pub fn dominant_share_ppm(&self, total: &Self) -> u64 {
        [
            (self.cpu_millis, total.cpu_millis),
            (self.memory_mib, total.memory_mib),
            (self.accelerators, total.accelerators),
        ]
        .into_iter()
        .filter(|(_, whole)| *whole > 0)
        .map(|(part, whole)| part.saturating_mul(1_000_000) / whole)
        .max()
        .unwrap_or(0)
    }
}

impl Add for ResourceAmount {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

impl AddAssign for ResourceAmount {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sum for ResourceAmount {
    fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
        amounts.fold(Self::ZERO, Add::add)
    }
}

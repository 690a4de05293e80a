//! Computes dominant shares with multiplications instead of divisions.

use pimentochute_base::ResourceAmount;

/// The share of the full capacity. One thousandth of a core still has 2^16 steps
/// in a fleet of 268,000 cores.
const FULL_SHARE: u64 = 1 << 44;

/// The largest amount of one resource. Larger ones are reduced to it, so that sums
/// over a fleet do not overflow.
const MAX_AMOUNT: u64 = 1 << 44;

/// Converts resource amounts to shares of a fixed total.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShareScale {
    cpu: u64,
    memory: u64,
    accelerators: u64,
}

impl ShareScale {
    /// Creates the scale for a total. Resources that the total lacks do not count.
    #[must_use]
    pub fn new(total: &ResourceAmount) -> Self {
        let factor = |part: u64| FULL_SHARE.checked_div(part).unwrap_or(0);
        Self {
            cpu: factor(total.cpu_millis),
            memory: factor(total.memory_mib),
            accelerators: factor(total.accelerators),
        }
    }

    /// Returns the dominant share: the largest share of any resource, where 2^44
    /// is the total.
    #[must_use]
    pub fn dominant(&self, amount: &ResourceAmount) -> u64 {
        let cpu = amount.cpu_millis.saturating_mul(self.cpu);
        let memory = amount.memory_mib.saturating_mul(self.memory);
        let accelerators = amount.accelerators.saturating_mul(self.accelerators);
        cpu.max(memory).max(accelerators)
    }

    /// Returns the sum of the shares of all resources, where 2^44 is the total.
    #[must_use]
    pub fn sum(&self, amount: &ResourceAmount) -> u64 {
        let cpu = amount.cpu_millis.saturating_mul(self.cpu);
        let memory = amount.memory_mib.saturating_mul(self.memory);
        let accelerators = amount.accelerators.saturating_mul(self.accelerators);
        cpu.saturating_add(memory).saturating_add(accelerators)
    }

    /// Returns the dominant share in parts per million.
    #[must_use]
    pub fn dominant_ppm(&self, amount: &ResourceAmount) -> u64 {
        let share = u128::from(self.dominant(amount)) * 1_000_000 / u128::from(FULL_SHARE);
        u64::try_from(share).unwrap_or(u64::MAX)
    }
}

/// Limits each resource to [`MAX_AMOUNT`], so that sums do not overflow.
pub(crate) fn bounded(amount: ResourceAmount) -> ResourceAmount {
    ResourceAmount {
        cpu_millis: amount.cpu_millis.min(MAX_AMOUNT),
        memory_mib: amount.memory_mib.min(MAX_AMOUNT),
        accelerators: amount.accelerators.min(MAX_AMOUNT),
    }
}

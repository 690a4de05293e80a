//! The order of teams within a priority class.

use std::fmt::Debug;

use pimentochute_base::ResourceAmount;

use crate::ShareScale;

/// What a team has, as the order of teams sees it.
#[derive(Debug, Clone, Copy)]
pub struct TeamUsage<'a> {
    /// What the team's tasks use.
    pub used: &'a ResourceAmount,
    /// The number of those tasks.
    pub tasks: u32,
    /// The weight of the team; at least one.
    pub share: u32,
    /// The scale of the usable capacity.
    pub scale: &'a ShareScale,
}

/// Ranks teams; the team with the smallest rank goes first.
pub trait TeamOrder: Debug + Send {
    /// Returns the rank, which depends on nothing but the usage.
    fn rank(&self, usage: &TeamUsage<'_>) -> u64;
}

/// Weighted dominant-resource fairness: the largest share of any resource,
/// divided by the weight.
#[derive(Debug, Clone, Copy, Default)]
pub struct DominantShare;

impl TeamOrder for DominantShare {
    fn rank(&self, usage: &TeamUsage<'_>) -> u64 {
        usage.scale.dominant(usage.used) / u64::from(usage.share.max(1))
    }
}

/// Plain weighted shares: the number of tasks divided by the weight.
#[derive(Debug, Clone, Copy, Default)]
pub struct TaskShare;

impl TeamOrder for TaskShare {
    fn rank(&self, usage: &TeamUsage<'_>) -> u64 {
        (u64::from(usage.tasks) << 20) / u64::from(usage.share.max(1))
    }
}

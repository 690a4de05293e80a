//! Ranks the teams within a priority class.

use std::fmt::Debug;

use pimentochute_base::ResourceAmount;

use crate::ShareScale;

/// The resource usage of a team, by which it is ranked.
#[derive(Debug, Clone, Copy)]
pub struct TeamUsage<'a> {
    /// The resources that the placed tasks of the team use.
    pub used: &'a ResourceAmount,
    /// The number of those tasks.
    pub tasks: u32,
    /// The weight of the team; at least one.
    pub share: u32,
    /// The scale of the usable capacity.
    pub scale: &'a ShareScale,
}

/// Ranks teams. The team with the lowest rank goes first.
pub trait TeamOrder: Debug + Send {
    /// Returns the rank of a team. It may depend on the usage only, since it is
    /// computed again only when the usage changes.
    fn rank(&self, usage: &TeamUsage<'_>) -> u64;
}

/// Weighted dominant resource fairness: ranks by the largest share of any
/// resource, divided by the weight.
#[derive(Debug, Clone, Copy, Default)]
pub struct DominantShare;

impl TeamOrder for DominantShare {
    fn rank(&self, usage: &TeamUsage<'_>) -> u64 {
        usage.scale.dominant(usage.used) / u64::from(usage.share.max(1))
    }
}

/// Weighted task counts: ranks by the number of tasks, divided by the weight.
#[derive(Debug, Clone, Copy, Default)]
pub struct TaskShare;

impl TeamOrder for TaskShare {
    fn rank(&self, usage: &TeamUsage<'_>) -> u64 {
        (u64::from(usage.tasks) << 20) / u64::from(usage.share.max(1))
    }
}

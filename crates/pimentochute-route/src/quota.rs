//! Team quotas, and the split of a team's limit over hosts.

use pimentochute_base::{TeamName, stable_hash};

use crate::HostPosition;

/// The share of a team, and its limit of requests in flight on this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamQuota {
    /// The team.
    pub team: TeamName,
    /// The weight of the team relative to other teams; zero is taken as one.
    pub share: u32,
    /// The number of the team's requests that may be in flight on this host.
    pub permits: u32,
}

/// Returns the permits of one host out of a team's limit of requests in flight.
///
/// `limit` is split evenly over `data_centres`, then the part of the data
/// centre with index `data_centre` over its `host.count` hosts. Remainders go
/// to data centres and hosts in an order that is rotated by the team's hash, so
/// that small limits of many teams do not accumulate on the first host. Each
/// part is monotonic in the limit: while hosts apply a new limit at different
/// times, the sum stays within the larger of the old and the new limit.
#[must_use]
pub fn host_permits(
    limit: u32,
    team: &TeamName,
    data_centre: u32,
    data_centres: u32,
    host: HostPosition,
) -> u32 {
    let hash = stable_hash(team.as_str());
    let centres = data_centres.max(1);
    let part = even_part(limit, data_centre, centres, hash);
    // A rotation that is independent of the first one. If both used the same
    // one, remainders would accumulate on some hosts.
    let rotation = hash / u64::from(centres);
    even_part(part, host.index, host.count.max(1), rotation)
}

/// Returns part `index` of `total`, split into `count` parts. The first
/// `total % count` parts in the rotated order are larger by one.
fn even_part(total: u32, index: u32, count: u32, rotation: u64) -> u32 {
    let parts = u64::from(count);
    let rank = (u64::from(index) + parts - rotation % parts) % parts;
    let extra = rank < u64::from(total % count);
    total / count + u32::from(extra)
}

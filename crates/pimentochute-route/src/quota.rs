//! Limits and shares of teams.

use pimentochute_base::{TeamName, stable_hash};

use crate::HostPosition;

/// What a team may use on this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamQuota {
    /// The team.
    pub team: TeamName,
    /// The team's share relative to other teams; zero is taken as one.
    pub share: u32,
    /// The team's requests that this host may have in flight.
    pub permits: u32,
}

/// Returns a host's part of a team's limit of requests in flight.
///
/// `limit` is split evenly over `data_centres`, then each part over the
/// `host.count` hosts of the data centre with index `data_centre`. Remainders
/// go to data centres and hosts in an order rotated by the team's hash, so
/// that small limits of many teams do not gather on the first host. Each part
/// is monotone in the limit: while hosts adopt a change at different times,
/// the sum stays within the larger of the old and the new limit.
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
    // A second rotation independent of the first one.
    let rotation = hash / u64::from(centres);
    even_part(part, host.index, host.count.max(1), rotation)
}

/// Returns part `index` of `count` parts of `total`.
fn even_part(total: u32, index: u32, count: u32, rotation: u64) -> u32 {
    let parts = u64::from(count);
    let rank = (u64::from(index) + parts - rotation % parts) % parts;
    let extra = rank < u64::from(total % count);
    total / count + u32::from(extra)
}

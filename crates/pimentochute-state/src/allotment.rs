//! The split of teams over slices and of limits over data centres.

use pimentochute_base::{DataCentreName, SliceIndex, TeamName, stable_hash};

/// Returns the slice of a team; zero slices count as one.
#[must_use]
pub fn slice_of(team: &TeamName, slices: u16) -> SliceIndex {
    let slot = stable_hash(team.as_str()) % u64::from(slices.max(1));
    SliceIndex::new(u16::try_from(slot).unwrap_or(0))
}

/// Returns the part of a team's upper limit that belongs to a data centre.
///
/// The limit is split evenly; the remainder goes to data centres in an order
/// that is rotated by the team's hash. The order of `data_centres` and
/// repeated names do not matter. A data centre that is not listed has none.
///
/// Each part grows with the limit, so that the sum never exceeds the larger
/// of two limits while data centres adopt a change at different times.
#[must_use]
pub fn allotment(
    limit: u32,
    team: &TeamName,
    data_centres: &[DataCentreName],
    this: &DataCentreName,
) -> u32 {
    let mut names: Vec<&DataCentreName> = data_centres.iter().collect();
    names.sort_unstable();
    names.dedup();
    let Ok(index) = names.binary_search(&this) else {
        return 0;
    };
    let count = names.len() as u64;
    let rank = (index as u64 + stable_hash(team.as_str()) % count) % count;
    let limit = u64::from(limit);
    let part = limit / count + u64::from(rank < limit % count);
    u32::try_from(part).unwrap_or(u32::MAX)
}

//! Assigns teams to slices and splits their limits over data centres.

use pimentochute_base::{DataCentreName, SliceIndex, TeamName, stable_hash};

/// Returns the slice of a team, by the hash of its name; zero slices count as one.
#[must_use]
pub fn slice_of(team: &TeamName, slices: u16) -> SliceIndex {
    let slot = stable_hash(team.as_str()) % u64::from(slices.max(1));
    SliceIndex::new(u16::try_from(slot).unwrap_or(0))
}

/// Returns the part of a team's limit that a data centre may use.
///
/// The limit is split evenly. The remainder goes to the first data centres by
/// name, rotated by the team's hash so that it is spread over the data centres.
/// The order of `data_centres` and duplicates do not matter. A data centre that
/// is not listed gets zero.
///
/// No part shrinks when the limit grows. While data centres adopt a change at
/// different times, the sum of the parts is therefore at most the larger of
/// the two limits.
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

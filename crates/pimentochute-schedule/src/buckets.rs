//! Maps resource amounts to the buckets, bins and planes of the resource index.

use pimentochute_base::ResourceAmount;

/// The number of buckets of processor time and of memory; one bit of a `u64`
/// each.
pub(crate) const BUCKETS: usize = 64;

/// Workers with this many free accelerators or more share a plane.
const MAX_PLANE: usize = 8;

/// The number of low bits that buckets ignore: their unit is 64 thousandths of
/// a core or 64 MiB.
const UNIT_SHIFT: u32 = 6;

/// Returns how many tasks of `demand` fit into `free`.
pub(crate) fn tasks_that_fit(free: &ResourceAmount, demand: &ResourceAmount) -> u64 {
    [
        (free.cpu_millis, demand.cpu_millis),
        (free.memory_mib, demand.memory_mib),
        (free.accelerators, demand.accelerators),
    ]
    .into_iter()
    .filter_map(|(available, required)| available.checked_div(required))
    .min()
    .unwrap_or(u64::MAX)
}

/// Returns an upper bound of the number of tasks of `demand` that fit on a worker
/// of the bin.
pub(crate) fn max_tasks_per_worker(bin: (u8, u8), demand: &ResourceAmount) -> u64 {
    let cpu = bucket_max(bin.0).checked_div(demand.cpu_millis);
    let memory = bucket_max(bin.1).checked_div(demand.memory_mib);
    cpu.unwrap_or(u64::MAX).min(memory.unwrap_or(u64::MAX))
}

/// Returns the plane of an amount: the number of accelerators, up to
/// [`MAX_PLANE`].
pub(crate) fn plane_of(free: &ResourceAmount) -> usize {
    usize::try_from(free.accelerators).map_or(MAX_PLANE, |count| count.min(MAX_PLANE))
}

/// Returns the bin of an amount. A bin is one bucket of processor time and one of
/// memory.
pub(crate) fn bin_of(free: &ResourceAmount) -> (u8, u8) {
    (bucket_of(free.cpu_millis), bucket_of(free.memory_mib))
}

/// Returns the bucket of an amount. There are four buckets per power of two. A
/// larger amount never has a lower bucket.
fn bucket_of(amount: u64) -> u8 {
    let units = amount >> UNIT_SHIFT;
    let bucket = if units < 4 {
        units
    } else {
        let exponent = u64::from(units.ilog2());
        4 * (exponent - 1) + ((units >> (exponent - 2)) & 3)
    };
    u8::try_from(bucket.min(63)).unwrap_or(63)
}

/// Returns the largest amount in a bucket; unbounded for the last one.
fn bucket_max(bucket: u8) -> u64 {
    let next = u64::from(bucket) + 1;
    if next >= 64 {
        return u64::MAX;
    }
    let units = if next < 4 {
        next
    } else {
        (4 + next % 4) << (next / 4 - 1)
    };
    (units << UNIT_SHIFT) - 1
}

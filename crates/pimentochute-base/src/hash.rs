//! Hashes that are the same on all hosts and in all versions.

/// The offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// The prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Hashes a text with 64-bit FNV-1a and a final avalanche step.
///
/// FNV-1a alone gives short texts similar high bits, which makes rendezvous hashing
/// uneven. The avalanche step mixes them.
#[must_use]
pub fn stable_hash(text: &str) -> u64 {
    let hash = text.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}

/// Returns the candidate that rendezvous hashing selects for an item, or `None` if
/// there are no candidates.
///
/// When a candidate is added or removed, only the items of that candidate move.
#[must_use]
pub fn rendezvous_choice<'a>(item: &str, candidates: &[&'a str]) -> Option<&'a str> {
    candidates
        .iter()
        .copied()
        .max_by_key(|candidate| (stable_hash(&format!("{item}\0{candidate}")), *candidate))
}

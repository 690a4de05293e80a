//! The split of an endpoint's slots and connections over the entry hosts of a
//! data centre.

use pimentochute_base::{EndpointName, stable_hash};

use crate::HostPosition;

/// Returns the number of an endpoint's slots that belong to a host.
///
/// Slot `i` of endpoint `e` belongs to host `(hash(e) + i) mod host.count`, so
/// that no two hosts of a data centre use the same slot, without any
/// coordination between them.
#[must_use]
pub fn owned_slots(endpoint: &EndpointName, slots: u32, host: HostPosition) -> u32 {
    let hosts = u64::from(host.count.max(1));
    let first = (u64::from(host.index) + hosts - stable_hash(endpoint.as_str()) % hosts) % hosts;
    let slots = u64::from(slots);
    let owned = if host.index >= host.count || first >= slots {
        0
    } else {
        (slots - first).div_ceil(hosts)
    };
    u32::try_from(owned).unwrap_or(u32::MAX)
}

/// Returns the number of connections that a host may open to an endpoint: an
/// equal part for each host, rounded down.
#[must_use]
pub fn owned_connections(connections: u32, host: HostPosition) -> u32 {
    connections / host.count.max(1)
}

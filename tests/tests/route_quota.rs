//! Tests of how limits, slots and connections are split over hosts.

use pimentochute_base::{EndpointName, TeamName};
use pimentochute_route::{HostPosition, host_permits, owned_connections, owned_slots};
use proptest::prelude::*;

fn parts(limit: u32, team: &TeamName, centres: u32, hosts: u32) -> Vec<u32> {
    (0..centres)
        .flat_map(|centre| (0..hosts).map(move |host| (centre, HostPosition::new(host, hosts))))
        .map(|(centre, host)| host_permits(limit, team, centre, centres, host))
        .collect()
}

proptest! {
    /// Guards against permits of all hosts that add up to more or less than the
    /// limit.
    #[test]
    fn permits_sum_to_the_limit(
        limit in 0_u32..5000, name in "[a-z]{1,8}", centres in 1_u32..13, hosts in 1_u32..10,
    ) {
        let team = TeamName::new(&name).expect("valid name");
        let parts = parts(limit, &team, centres, hosts);
        prop_assert_eq!(parts.iter().sum::<u32>(), limit);
    }

    /// Guards against the sum exceeding both the old and the new limit while
    /// hosts apply a change at different times: each part must be monotonic in
    /// the limit.
    #[test]
    fn permits_are_monotone(
        limit in 0_u32..5000, name in "[a-z]{1,8}", centres in 1_u32..13, hosts in 1_u32..10,
    ) {
        let team = TeamName::new(&name).expect("valid name");
        let smaller = parts(limit, &team, centres, hosts);
        let larger = parts(limit + 1, &team, centres, hosts);
        prop_assert!(smaller.iter().zip(&larger).all(|(a, b)| a <= b));
    }

    /// Guards against slots that two hosts use or that no host uses, and
    /// against more connections than the endpoint accepts.
    #[test]
    fn slots_and_connections_are_partitioned(
        name in "[a-z]{1,8}", slots in 0_u32..200, connections in 0_u32..200, hosts in 1_u32..10,
    ) {
        let name = EndpointName::new(&name).expect("valid name");
        let positions = (0..hosts).map(|index| HostPosition::new(index, hosts));
        let owned: u32 = positions.clone().map(|host| owned_slots(&name, slots, host)).sum();
        prop_assert_eq!(owned, slots);
        let opened: u32 = positions.map(|host| owned_connections(connections, host)).sum();
        prop_assert!(opened <= connections);
    }
}

/// Guards against the remainders of many small limits accumulating on some
/// hosts, which happens if the rotations over data centres and hosts depend on
/// each other.
#[test]
fn remainders_are_spread_over_hosts() {
    let mut sums = vec![0_u32; 27];
    for index in 0..2700 {
        let team = TeamName::new(&format!("team-{index}")).expect("valid name");
        for (sum, part) in sums.iter_mut().zip(parts(1, &team, 3, 9)) {
            *sum += part;
        }
    }
    // 100 expected per host, with a standard deviation of about 10.
    assert!(sums.iter().all(|sum| (50..=150).contains(sum)), "{sums:?}");
}

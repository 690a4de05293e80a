//! What a cell of processes consists of.

use pimentochute_base::ResourceAmount;
use serde_json::{Value, json};

use super::folder::idle_address;
use super::settings::HostAddress;

/// What a cell consists of.
#[derive(Debug, Clone)]
pub struct CellShape {
    /// The number of entry hosts of each data centre.
    pub hosts: Vec<usize>,
    /// The number of workers of each data centre.
    pub workers: usize,
    /// What each worker has.
    pub capacity: ResourceAmount,
    /// The number of endpoints of each data centre.
    pub endpoints: usize,
    /// Groups of settings that replace those of the harness.
    pub overrides: Value,
}

impl CellShape {
    /// Creates the shape of a cell with workers of four cores.
    #[must_use]
    pub fn new(hosts: &[usize], workers: usize, endpoints: usize) -> Self {
        Self {
            hosts: hosts.to_vec(),
            workers,
            capacity: ResourceAmount::new(4_000, 4_000),
            endpoints,
            overrides: json!({}),
        }
    }

    /// Returns the hosts on idle ports.
    pub(super) fn addresses(&self) -> Vec<HostAddress> {
        let mut hosts = Vec::new();
        for (centre, count) in self.hosts.iter().enumerate() {
            for host in 0..*count {
                hosts.push(HostAddress {
                    name: format!("dc{centre}-h{host}"),
                    data_centre: format!("dc{centre}"),
                    public: idle_address(),
                    peer: idle_address(),
                });
            }
        }
        hosts
    }
}

//! The size of a cell of processes.

use pimentochute_base::ResourceAmount;
use serde_json::{Value, json};

use super::folder::idle_address;
use super::settings::HostAddress;

/// The hosts, workers and endpoints of a cell, and changes to its settings.
#[derive(Debug, Clone)]
pub struct CellShape {
    /// The number of entry hosts in each data centre; one item per data centre.
    pub hosts: Vec<usize>,
    /// The number of workers in each data centre.
    pub workers: usize,
    /// The capacity of each worker.
    pub capacity: ResourceAmount,
    /// The number of endpoints in each data centre.
    pub endpoints: usize,
    /// An object of settings groups, each of which replaces the harness's whole
    /// group of that name.
    pub overrides: Value,
}

impl CellShape {
    /// Creates the shape of a cell whose workers have 4 cores and 4000 MiB each.
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

    /// Returns the names of the hosts, with addresses on free ports.
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

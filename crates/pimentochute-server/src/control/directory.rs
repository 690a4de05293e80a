//! Polls the platform's host list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use pimentochute_base::{DataCentreName, MilliSpan, WorkerName};
use pimentochute_platform::{HostDirectory, HostEntry, HostRole, HostStatus};
use tokio::sync::watch;

/// The hosts of the data centre, shared by all who need them.
pub(crate) type HostList = Arc<LocalHosts>;

/// The hosts of one data centre in the last list that was read.
///
/// It is made once per change of the list: every worker's session looks its
/// worker up at each step, and a search of the whole list there took most of
/// the processor time of a host (docs/measurements.md).
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct LocalHosts {
    /// The workers by name.
    pub(crate) workers: BTreeMap<WorkerName, ListedWorker>,
    /// The endpoints; none before the first list was read.
    pub(crate) endpoints: Option<Vec<HostEntry>>,
}

/// A worker in the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ListedWorker {
    /// The address that the worker serves.
    pub(crate) address: SocketAddr,
    /// Whether the worker finishes what it has and takes nothing new.
    pub(crate) leaving: bool,
}

/// Reads the host list again and again.
pub(crate) struct DirectoryPoller {
    directory: Arc<dyn HostDirectory>,
    data_centre: DataCentreName,
    interval: MilliSpan,
    hosts: watch::Sender<HostList>,
}

impl LocalHosts {
    /// Picks the hosts of a data centre out of the list.
    fn new(hosts: Vec<HostEntry>, data_centre: &DataCentreName) -> Self {
        let local = hosts
            .into_iter()
            .filter(|host| host.data_centre == *data_centre);
        let (workers, others): (Vec<_>, Vec<_>) =
            local.partition(|host| host.role == HostRole::Worker);
        let endpoints = others
            .into_iter()
            .filter(|host| host.role == HostRole::Endpoint);
        Self {
            workers: workers.iter().filter_map(listed_worker).collect(),
            endpoints: Some(endpoints.collect()),
        }
    }
}

impl DirectoryPoller {
    /// Creates a poller that reads once per `interval` and keeps the hosts of
    /// a data centre.
    pub(crate) fn new(
        directory: Arc<dyn HostDirectory>,
        data_centre: DataCentreName,
        interval: MilliSpan,
    ) -> Self {
        let hosts = watch::Sender::new(HostList::default());
        Self {
            directory,
            data_centre,
            interval,
            hosts,
        }
    }

    /// Returns a receiver of the hosts; it wakes when they change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<HostList> {
        self.hosts.subscribe()
    }

    /// Polls until its future is dropped. While the list cannot be read, the
    /// last one stays in use.
    pub(crate) async fn run(&self) {
        loop {
            match self.directory.hosts().await {
                Ok(hosts) => self.publish(LocalHosts::new(hosts, &self.data_centre)),
                Err(error) => log::debug!("directory: The last host list stays in use. {error}"),
            }
            tokio::time::sleep(self.interval.as_duration()).await;
        }
    }

    fn publish(&self, hosts: LocalHosts) {
        self.hosts.send_if_modified(|current| {
            if **current == hosts {
                return false;
            }
            log::info!(
                "directory: The data centre has {} workers and {} endpoints.",
                hosts.workers.len(),
                hosts.endpoints.as_ref().map_or(0, Vec::len),
            );
            *current = Arc::new(hosts);
            true
        });
    }
}

fn listed_worker(host: &HostEntry) -> Option<(WorkerName, ListedWorker)> {
    let name = WorkerName::new(&host.name).ok()?;
    let leaving = host.status == HostStatus::Leaving;
    Some((
        name,
        ListedWorker {
            address: host.address,
            leaving,
        },
    ))
}

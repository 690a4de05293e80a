//! Polls the platform's host list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use pimentochute_base::{DataCentreName, MilliSpan, WorkerName};
use pimentochute_platform::{HostDirectory, HostEntry, HostRole, HostStatus};
use tokio::sync::watch;

/// Reads the host list at a regular interval and publishes changes.
pub(crate) struct DirectoryPoller {
    directory: Arc<dyn HostDirectory>,
    data_centre: DataCentreName,
    interval: MilliSpan,
    hosts: watch::Sender<Arc<DataCentreListing>>,
}

impl DirectoryPoller {
    /// Creates a poller that publishes the hosts of `data_centre`.
    pub(crate) fn new(
        directory: Arc<dyn HostDirectory>,
        data_centre: DataCentreName,
        interval: MilliSpan,
    ) -> Self {
        let hosts = watch::Sender::new(Arc::<DataCentreListing>::default());
        Self {
            directory,
            data_centre,
            interval,
            hosts,
        }
    }

    /// Returns a receiver that is notified when the hosts change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<DataCentreListing>> {
        self.hosts.subscribe()
    }

    /// Polls until its future is dropped. While the list cannot be read, the
    /// last one that was read stays in use.
    pub(crate) async fn run(&self) {
        loop {
            match self.directory.hosts().await {
                Ok(hosts) => self.publish(DataCentreListing::new(hosts, &self.data_centre)),
                Err(error) => log::debug!(
                    "directory: Cannot read the host list, keeping the last one: {error}"
                ),
            }
            tokio::time::sleep(self.interval.as_duration()).await;
        }
    }

    fn publish(&self, hosts: DataCentreListing) {
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

/// The workers and endpoints of one data centre in the last host list that was
/// read.
///
/// It is built once per change of the list. Every worker session looks up its
/// worker at each step, and a search of the whole list there took most of a
/// host's processor time (docs/measurements.md).
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct DataCentreListing {
    /// The workers by name.
    pub(crate) workers: BTreeMap<WorkerName, ListedWorker>,
    /// The endpoints; `None` before the first list was read.
    pub(crate) endpoints: Option<Vec<HostEntry>>,
}

/// A worker in the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ListedWorker {
    /// The address on which the worker takes commands.
    pub(crate) address: SocketAddr,
    /// Whether the worker finishes its tasks and gets no new ones.
    pub(crate) leaving: bool,
}

impl DataCentreListing {
    /// Selects the workers and endpoints of a data centre from the list.
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

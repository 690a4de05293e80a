//! Polls the platform's host list.

use std::sync::Arc;

use pimentochute_base::MilliSpan;
use pimentochute_platform::{HostDirectory, HostEntry};
use tokio::sync::watch;

/// The last host list that was read; none before the first one.
pub(crate) type HostList = Option<Arc<Vec<HostEntry>>>;

/// Reads the host list again and again.
pub(crate) struct DirectoryPoller {
    directory: Arc<dyn HostDirectory>,
    interval: MilliSpan,
    hosts: watch::Sender<HostList>,
}

impl DirectoryPoller {
    /// Creates a poller that reads once per `interval`.
    pub(crate) fn new(directory: Arc<dyn HostDirectory>, interval: MilliSpan) -> Self {
        Self {
            directory,
            interval,
            hosts: watch::Sender::new(None),
        }
    }

    /// Returns a receiver of the list; it wakes when the list changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<HostList> {
        self.hosts.subscribe()
    }

    /// Polls until its future is dropped. While the list cannot be read, the
    /// last one stays in use.
    pub(crate) async fn run(&self) {
        loop {
            match self.directory.hosts().await {
                Ok(hosts) => self.publish(hosts),
                Err(error) => log::debug!("directory: The last host list stays in use. {error}"),
            }
            tokio::time::sleep(self.interval.as_duration()).await;
        }
    }

    fn publish(&self, hosts: Vec<HostEntry>) {
        self.hosts.send_if_modified(|current| {
            if current.as_ref().is_some_and(|known| **known == hosts) {
                return false;
            }
            log::info!("directory: The host list has {} hosts.", hosts.len());
            *current = Some(Arc::new(hosts));
            true
        });
    }
}

//! Runs one session for each known worker of the data centre.
//!
//! Every host runs them all; most are idle, since only the host that has control
//! of a worker, its manager, sends it commands.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pimentochute_base::{MilliClock, WorkerName};
use pimentochute_platform::WorkerControl;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::cell::ReplicatedCell;
use super::client::RecordClient;
use super::directory::{DataCentreListing, ListedWorker};
use super::health::LogHealth;
use super::session::WorkerSession;
use crate::PeerTable;
use crate::settings::WorkerSettings;

/// The time between two checks for new workers.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Starts a session for each known worker and releases control for a planned
/// stop.
pub(crate) struct WorkerSessions {
    context: Arc<WorkerContext>,
    /// The number of sessions that have control of their worker.
    held_count: Arc<watch::Sender<usize>>,
}

impl WorkerSessions {
    /// Creates the component without sessions.
    pub(crate) fn new(context: WorkerContext) -> Self {
        Self {
            context: Arc::new(context),
            held_count: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Runs until its future is dropped, which ends every session.
    pub(crate) async fn run(&self) {
        // The supervisor may have restarted this loop; earlier sessions are
        // gone.
        self.held_count.send_replace(0);
        let mut sessions = JoinSet::new();
        let mut running = BTreeSet::new();
        loop {
            for worker in self.known_workers() {
                if running.insert(worker.clone()) {
                    let session = WorkerSession::new(
                        Arc::clone(&self.context),
                        worker,
                        Arc::clone(&self.held_count),
                    );
                    sessions.spawn(session.run());
                }
            }
            tokio::select! {
                Some(ended) = sessions.join_next() => {
                    if let Ok(worker) = ended {
                        running.remove(&worker);
                    }
                }
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
        }
    }

    /// Releases control of every worker for a planned stop, and waits until
    /// that is done.
    pub(crate) async fn release_all(&self) {
        self.context.releasing.store(true, Ordering::SeqCst);
        let mut held_count = self.held_count.subscribe();
        // The sender lives as long as `self`.
        let _ = held_count.wait_for(|count| *count == 0).await;
    }

    /// Returns the workers of the host list, and those of the replicated state
    /// that are not lost.
    fn known_workers(&self) -> BTreeSet<WorkerName> {
        let listed = self.context.hosts.borrow().clone();
        let mut names: BTreeSet<WorkerName> = listed.workers.keys().cloned().collect();
        let replica = self.context.cell.read();
        names.extend(
            replica
                .workers()
                .filter(|w| !w.lost)
                .map(|w| w.name.clone()),
        );
        names
    }
}

/// The state that all worker sessions share.
pub(crate) struct WorkerContext {
    pub(crate) cell: Arc<ReplicatedCell>,
    pub(crate) client: RecordClient,
    pub(crate) worker_client: Arc<dyn WorkerControl>,
    pub(crate) peers: Arc<PeerTable>,
    pub(crate) clock: MilliClock,
    pub(crate) settings: WorkerSettings,
    pub(crate) hosts: watch::Receiver<Arc<DataCentreListing>>,
    /// Whether control of every worker is being released for a planned stop.
    pub(crate) releasing: AtomicBool,
    pub(crate) unreachable: Arc<UnreachableWorkers>,
    pub(crate) log_health: Arc<LogHealth>,
}

impl WorkerContext {
    /// Returns a worker's entry in the host list.
    pub(crate) fn listed_worker(&self, name: &WorkerName) -> Option<ListedWorker> {
        self.hosts.borrow().workers.get(name).copied()
    }

    /// Returns whether control of every worker is being released.
    pub(crate) fn is_releasing(&self) -> bool {
        self.releasing.load(Ordering::SeqCst)
    }
}

/// The workers that this host cannot reach; its heartbeats list them.
#[derive(Debug, Default)]
pub(crate) struct UnreachableWorkers {
    names: Mutex<BTreeSet<WorkerName>>,
}

impl UnreachableWorkers {
    /// Records whether a worker cannot be reached.
    pub(crate) fn set(&self, worker: &WorkerName, unreachable: bool) {
        if unreachable {
            self.names().insert(worker.clone());
        } else {
            self.names().remove(worker);
        }
    }

    /// Returns the names in ascending order.
    pub(crate) fn list(&self) -> Vec<WorkerName> {
        self.names().iter().cloned().collect()
    }

    fn names(&self) -> MutexGuard<'_, BTreeSet<WorkerName>> {
        self.names.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Selects the manager of a worker: the host that should have control of it.

use pimentochute_base::{HostName, WorkerName, rendezvous_choice};

use super::workers::WorkerContext;

impl WorkerContext {
    /// Returns whether this host should manage a worker. The manager is
    /// selected by rendezvous hashing over the hosts that can reach the worker,
    /// or over all hosts if none can. `is_reachable` says whether this host
    /// can.
    pub(crate) fn is_preferred_manager(&self, worker: &WorkerName, is_reachable: bool) -> bool {
        let staying = self.peers.staying_hosts(self.clock.now());
        let own = &self.cell.this_host().host;
        let can_reach = |host: &&HostName| {
            if *host == own {
                is_reachable
            } else {
                !self.peer_cannot_reach(host, worker)
            }
        };
        let mut candidates: Vec<&str> = staying
            .iter()
            .filter(can_reach)
            .map(HostName::as_str)
            .collect();
        if candidates.is_empty() {
            candidates = staying.iter().map(HostName::as_str).collect();
        }
        rendezvous_choice(worker.as_str(), &candidates) == Some(own.as_str())
    }

    /// Returns whether a peer's last heartbeat says that it cannot reach the
    /// worker.
    fn peer_cannot_reach(&self, host: &HostName, worker: &WorkerName) -> bool {
        let status = self.peers.status(host);
        status.is_some_and(|status| status.beat.unreachable_workers.contains(worker))
    }
}

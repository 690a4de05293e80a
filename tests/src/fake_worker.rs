//! In-memory fake of the worker control interface.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;
use pimentochute_base::{
    AttemptRef, EpochNumber, MilliClock, MilliSpan, MilliTime, RackName, ResourceAmount,
    WorkerIncarnation, WorkerName,
};
use pimentochute_platform::{
    ControlGrant, ControlRequest, StartOrder, WorkerControl, WorkerError, WorkerReport,
    WorkerTarget,
};
use pimentochute_standins::{WorkerLedger, WorkerModel};

use crate::shared::SharedState;

/// The port of the first worker's address; nothing listens on these ports.
const FIRST_PORT: u16 = 20000;

/// Workers with the same control rules as the worker stand-in, and faults that
/// a test sets for each worker.
///
/// Leases expire by the given clock only. Clones share all state.
/// [`FakeWorkerFleet::new_link`] creates a handle for another host, which has
/// its own set of workers that it cannot reach ([`FakeWorkerFleet::set_cut`]).
#[derive(Debug, Clone)]
pub struct FakeWorkerFleet {
    clock: MilliClock,
    workers: Arc<SharedState<HashMap<WorkerName, FakeWorker>>>,
    cut: Arc<SharedState<HashSet<WorkerName>>>,
}

#[allow(clippy::struct_excessive_bools, reason = "independent faults")]
struct FakeWorker {
    machine: WorkerModel,
    unreachable: bool,
    loses_answers: bool,
    holds_commands: bool,
    holds_starts: bool,
    held: Vec<HeldCommand>,
}

/// A command that reaches the worker only when the test delivers it.
type HeldCommand = Box<dyn FnOnce(&mut WorkerModel, MilliTime) + Send>;

impl std::fmt::Debug for FakeWorker {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut fields = f.debug_struct("FakeWorker");
        fields.field("machine", &self.machine);
        fields
            .field("held", &self.held.len())
            .finish_non_exhaustive()
    }
}

impl FakeWorkerFleet {
    /// Creates a fleet without workers.
    #[must_use]
    pub fn new(clock: MilliClock) -> Self {
        Self {
            clock,
            workers: Arc::default(),
            cut: Arc::default(),
        }
    }

    /// Returns a handle to the same workers, none of which is cut off from it.
    #[must_use]
    pub fn new_link(&self) -> Self {
        Self {
            cut: Arc::default(),
            ..self.clone()
        }
    }

    /// Adds an idle worker and returns its name and address.
    #[must_use]
    pub fn add(&self, name: WorkerName, rack: RackName, capacity: ResourceAmount) -> WorkerTarget {
        let mut workers = self.workers.lock();
        let port = FIRST_PORT.saturating_add(u16::try_from(workers.len()).unwrap_or(u16::MAX));
        let worker = FakeWorker {
            machine: WorkerModel::new(rack, capacity, WorkerIncarnation::new(1)),
            unreachable: false,
            loses_answers: false,
            holds_commands: false,
            holds_starts: false,
            held: Vec::new(),
        };
        workers.insert(name.clone(), worker);
        WorkerTarget {
            name,
            address: SocketAddr::from(([127, 0, 0, 1], port)),
        }
    }

    /// Sets whether a worker is unreachable over this link.
    pub fn set_cut(&self, name: &WorkerName, cut: bool) {
        let mut names = self.cut.lock();
        if cut {
            names.insert(name.clone());
        } else {
            names.remove(name);
        }
    }

    /// Sets whether a worker is unreachable for every host. Its tasks keep
    /// running.
    pub fn set_unreachable(&self, name: &WorkerName, unreachable: bool) {
        self.with_worker(name, |worker| worker.unreachable = unreachable);
    }

    /// Sets whether the worker's answers are lost after each command has taken
    /// effect.
    pub fn set_loses_answers(&self, name: &WorkerName, loses: bool) {
        self.with_worker(name, |worker| worker.loses_answers = loses);
    }

    /// Sets whether commands are held back: the caller gets an unknown outcome,
    /// and [`FakeWorkerFleet::deliver_held`] executes them later.
    pub fn set_holds_commands(&self, name: &WorkerName, holds: bool) {
        self.with_worker(name, |worker| worker.holds_commands = holds);
    }

    /// Sets whether start commands are held back, as by
    /// [`FakeWorkerFleet::set_holds_commands`]; other commands run at once.
    pub fn set_holds_starts(&self, name: &WorkerName, holds: bool) {
        self.with_worker(name, |worker| worker.holds_starts = holds);
    }

    /// Executes the commands that were held back, in the order of their calls.
    pub fn deliver_held(&self, name: &WorkerName) {
        let now = self.clock.now();
        self.with_worker(name, |worker| {
            for command in std::mem::take(&mut worker.held) {
                command(&mut worker.machine, now);
            }
        });
    }

    /// Sets whether every task that the worker starts fails immediately.
    pub fn set_fails_all(&self, name: &WorkerName, fails: bool) {
        self.with_worker(name, |worker| worker.machine.set_fails_all(fails));
    }

    /// Restarts a worker: its tasks and its control state are lost, its
    /// incarnation goes up by one, and its control epochs start over.
    pub fn restart(&self, name: &WorkerName) {
        let now = self.clock.now();
        self.with_worker(name, |worker| worker.machine.restart(now));
    }

    /// Returns what a worker recorded; an empty ledger for an unknown worker.
    #[must_use]
    pub fn ledger(&self, name: &WorkerName) -> WorkerLedger {
        let now = self.clock.now();
        let ledger = self.with_worker(name, |worker| worker.machine.ledger(now).clone());
        ledger.unwrap_or_default()
    }

    /// Returns the state of a worker, regardless of faults; `None` for an unknown
    /// worker.
    #[must_use]
    pub fn report(&self, name: &WorkerName) -> Option<WorkerReport> {
        let now = self.clock.now();
        self.with_worker(name, |worker| worker.machine.report(now))
    }

    fn with_worker<T>(
        &self,
        name: &WorkerName,
        action: impl FnOnce(&mut FakeWorker) -> T,
    ) -> Option<T> {
        self.workers.lock().get_mut(name).map(action)
    }

    fn run<T>(
        &self,
        target: &WorkerTarget,
        command: impl FnOnce(&mut WorkerModel, MilliTime) -> Result<T, WorkerError> + Send + 'static,
    ) -> BoxFuture<'static, Result<T, WorkerError>>
    where
        T: Send + 'static,
    {
        self.run_or_hold(target, false, command)
    }

    fn run_or_hold<T>(
        &self,
        target: &WorkerTarget,
        holds: bool,
        command: impl FnOnce(&mut WorkerModel, MilliTime) -> Result<T, WorkerError> + Send + 'static,
    ) -> BoxFuture<'static, Result<T, WorkerError>>
    where
        T: Send + 'static,
    {
        let fleet = self.clone();
        let name = target.name.clone();
        Box::pin(async move {
            let cut = fleet.cut.lock().contains(&name);
            let now = fleet.clock.now();
            let answer = fleet.with_worker(&name, |worker| worker.run(cut, holds, now, command));
            answer.unwrap_or_else(|| Err(unreachable("the fleet has no such worker")))
        })
    }
}

impl FakeWorker {
    fn run<T>(
        &mut self,
        cut: bool,
        holds: bool,
        now: MilliTime,
        command: impl FnOnce(&mut WorkerModel, MilliTime) -> Result<T, WorkerError> + Send + 'static,
    ) -> Result<T, WorkerError> {
        if cut || self.unreachable {
            return Err(unreachable("the fake worker is cut off"));
        }
        if holds || self.holds_commands {
            self.held.push(Box::new(move |machine, now| {
                let _ = command(machine, now);
            }));
            return Err(unknown("the fake worker holds the command back"));
        }
        let answer = command(&mut self.machine, now);
        if self.loses_answers {
            return Err(unknown("the fake worker lost the answer"));
        }
        answer
    }
}

impl WorkerControl for FakeWorkerFleet {
    fn acquire<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        request: ControlRequest,
    ) -> BoxFuture<'a, Result<ControlGrant, WorkerError>> {
        self.run(worker, move |machine, now| machine.acquire(&request, now))
    }

    fn renew<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        epoch: EpochNumber,
        keep: Vec<AttemptRef>,
        control_lease: MilliSpan,
        task_lease: MilliSpan,
    ) -> BoxFuture<'a, Result<WorkerReport, WorkerError>> {
        self.run(worker, move |machine, now| {
            machine.renew(epoch, &keep, control_lease, task_lease, now)
        })
    }

    fn start<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        epoch: EpochNumber,
        order: StartOrder,
    ) -> BoxFuture<'a, Result<(), WorkerError>> {
        let holds = self.with_worker(&worker.name, |worker| worker.holds_starts);
        self.run_or_hold(worker, holds.unwrap_or(false), move |machine, now| {
            machine.start(epoch, &order, now)
        })
    }

    fn stop<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        epoch: EpochNumber,
        attempt: AttemptRef,
        grace: MilliSpan,
    ) -> BoxFuture<'a, Result<(), WorkerError>> {
        self.run(worker, move |machine, now| {
            machine.stop(epoch, attempt, grace, now)
        })
    }

    fn forget<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        epoch: EpochNumber,
        attempts: Vec<AttemptRef>,
    ) -> BoxFuture<'a, Result<(), WorkerError>> {
        self.run(worker, move |machine, now| {
            machine.forget(epoch, &attempts, now)
        })
    }

    fn release<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        epoch: EpochNumber,
    ) -> BoxFuture<'a, Result<(), WorkerError>> {
        self.run(worker, move |machine, now| machine.release(epoch, now))
    }
}

fn unreachable(detail: &str) -> WorkerError {
    WorkerError::NoEffect {
        detail: detail.to_owned(),
    }
}

fn unknown(detail: &str) -> WorkerError {
    WorkerError::OutcomeUnknown {
        detail: detail.to_owned(),
    }
}

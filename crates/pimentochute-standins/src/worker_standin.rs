//! A worker over HTTP.

use std::sync::{Arc, Mutex, PoisonError};

use futures::future::BoxFuture;
use pimentochute_base::{
    MilliClock, MilliSpan, MilliTime, RackName, ResourceAmount, WorkerIncarnation, WorkerName,
};
use pimentochute_platform::wire::{
    AcquireRequest, ForgetRequest, ReleaseRequest, RenewRequest, StartRequest, StopRequest,
    WorkerRefusal,
};
use pimentochute_platform::{ControlGrant, WorkerError, WorkerReport};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use viz::{IntoResponse, Request, Response, Result, Router, StatusCode};

use crate::fault_set::{FaultSet, FaultSwitches};
use crate::registration::{LeavingSwitch, LeavingText};
use crate::reply::{json, json_of, refusal};
use crate::server::Standin;
use crate::worker_ledger::WorkerLedger;
use crate::worker_machine::WorkerMachine;

/// A worker; clones share it.
#[derive(Debug, Clone)]
pub struct WorkerStandin {
    state: Arc<WorkerState>,
}

#[derive(Debug)]
struct WorkerState {
    name: WorkerName,
    capacity: ResourceAmount,
    clock: MilliClock,
    /// The wall-clock time of the clock's start.
    origin: MilliSpan,
    faults: FaultSwitches,
    leaving: LeavingSwitch,
    machine: Mutex<WorkerMachine>,
}

/// The answer to `GET /records`; times are wall-clock.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkerRecords {
    /// The worker.
    pub worker: WorkerName,
    /// The run of its process.
    pub incarnation: WorkerIncarnation,
    /// What the worker has in all.
    pub capacity: ResourceAmount,
    /// The starts, ends and violations.
    pub ledger: WorkerLedger,
}

impl WorkerStandin {
    /// Creates an idle worker; leases are by `clock`. The incarnation is the
    /// wall-clock time, so that a restarted process has a larger one.
    #[must_use]
    pub fn new(
        name: WorkerName,
        rack: RackName,
        capacity: ResourceAmount,
        clock: MilliClock,
    ) -> Self {
        let origin = origin_of(&clock);
        let incarnation = WorkerIncarnation::new(clock.unix_now().as_millis());
        let state = WorkerState {
            name,
            capacity,
            origin,
            faults: FaultSwitches::new(),
            leaving: LeavingSwitch::new(),
            machine: Mutex::new(WorkerMachine::new(rack, capacity, incarnation)),
            clock,
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: FaultSet) {
        self.with(|machine, _| machine.set_fails_all(faults.fail_all));
        self.state.faults.set(faults);
    }

    /// Returns what an invariant checker needs.
    #[must_use]
    pub fn records(&self) -> WorkerRecords {
        self.with(|machine, now| WorkerRecords {
            worker: self.state.name.clone(),
            incarnation: machine.incarnation(),
            capacity: self.state.capacity,
            ledger: machine.ledger(now).clone().with_origin(self.state.origin),
        })
    }

    /// Returns the switch by which the worker registers as leaving.
    #[must_use]
    pub fn leaving(&self) -> &LeavingSwitch {
        &self.state.leaving
    }

    fn with<T>(&self, action: impl FnOnce(&mut WorkerMachine, MilliTime) -> T) -> T {
        let machine = self.state.machine.lock();
        let mut machine = machine.unwrap_or_else(PoisonError::into_inner);
        action(&mut machine, self.state.clock.now())
    }

    /// Returns the handler of a command, which has to name this worker.
    fn on<C, T>(&self, action: CommandAction<C, T>) -> impl CommandHandler
    where
        C: DeserializeOwned + NamedCommand + 'static,
        T: Serialize + 'static,
    {
        let worker = self.clone();
        move |request: Request| -> BoxFuture<'static, Result<Response>> {
            let worker = worker.clone();
            Box::pin(async move {
                Ok(match json_of::<C>(request).await {
                    Ok(command) => worker.carry_out(&command, action),
                    Err(answer) => answer,
                })
            })
        }
    }

    fn carry_out<C: NamedCommand, T: Serialize>(
        &self,
        command: &C,
        action: CommandAction<C, T>,
    ) -> Response {
        if *command.worker() != self.state.name {
            let worker = self.state.name.clone();
            return json(StatusCode::CONFLICT, &WorkerRefusal::OtherWorker { worker });
        }
        match self.with(|machine, now| action(machine, command, now)) {
            Ok(value) => json(StatusCode::OK, &value),
            Err(error) => answer_of(error),
        }
    }

    async fn change_faults(self, request: Request) -> Result<Response> {
        match json_of(request).await {
            Ok(faults) => {
                self.set_faults(faults);
                Ok(StatusCode::NO_CONTENT.into_response())
            }
            Err(answer) => Ok(answer),
        }
    }

    async fn leave(self, request: Request) -> Result<Response> {
        match json_of::<LeavingText>(request).await {
            Ok(text) => {
                self.state.leaving.set(text.leaving);
                Ok(StatusCode::NO_CONTENT.into_response())
            }
            Err(answer) => Ok(answer),
        }
    }
}

impl Standin for WorkerStandin {
    fn router(&self) -> Router {
        let [faults, leaving, records] = std::array::from_fn(|_| self.clone());
        Router::new()
            .post("/v1/control/acquire", self.on(acquire))
            .post("/v1/control/renew", self.on(renew))
            .post("/v1/control/release", self.on(release))
            .post("/v1/tasks/start", self.on(start))
            .post("/v1/tasks/stop", self.on(stop))
            .post("/v1/tasks/forget", self.on(forget))
            .post("/faults", move |request| {
                faults.clone().change_faults(request)
            })
            .post("/leaving", move |request| leaving.clone().leave(request))
            .get("/records", move |_: Request| {
                let answer = json(StatusCode::OK, &records.records());
                async move { Ok::<_, viz::Error>(answer) }
            })
    }

    fn faults(&self) -> FaultSwitches {
        self.state.faults.clone()
    }
}

/// Returns the wall-clock time of a clock's start.
pub(crate) fn origin_of(clock: &MilliClock) -> MilliSpan {
    let now = clock.now().as_millis();
    MilliSpan::new(clock.unix_now().as_millis().saturating_sub(now))
}

/// A handler of worker commands.
trait CommandHandler:
    Fn(Request) -> BoxFuture<'static, Result<Response>> + Clone + Send + Sync + 'static
{
}

impl<F> CommandHandler for F where
    F: Fn(Request) -> BoxFuture<'static, Result<Response>> + Clone + Send + Sync + 'static
{
}

type CommandAction<C, T> =
    fn(&mut WorkerMachine, &C, MilliTime) -> std::result::Result<T, WorkerError>;

type CommandResult<T> = std::result::Result<T, WorkerError>;

fn acquire(
    machine: &mut WorkerMachine,
    text: &AcquireRequest,
    now: MilliTime,
) -> CommandResult<ControlGrant> {
    machine.acquire(&text.request, now)
}

fn renew(
    machine: &mut WorkerMachine,
    text: &RenewRequest,
    now: MilliTime,
) -> CommandResult<WorkerReport> {
    let (control, task) = (text.control_lease, text.task_lease);
    machine.renew(text.epoch, &text.keep, control, task, now)
}

fn release(
    machine: &mut WorkerMachine,
    text: &ReleaseRequest,
    now: MilliTime,
) -> CommandResult<()> {
    machine.release(text.epoch, now)
}

fn start(machine: &mut WorkerMachine, text: &StartRequest, now: MilliTime) -> CommandResult<()> {
    machine.start(text.epoch, &text.order, now)
}

fn stop(machine: &mut WorkerMachine, text: &StopRequest, now: MilliTime) -> CommandResult<()> {
    machine.stop(text.epoch, text.attempt, text.grace, now)
}

fn forget(machine: &mut WorkerMachine, text: &ForgetRequest, now: MilliTime) -> CommandResult<()> {
    machine.forget(text.epoch, &text.attempts, now)
}

/// A command that names the worker it is for.
trait NamedCommand: Send {
    fn worker(&self) -> &WorkerName;
}

macro_rules! named_command {
    ($($text:ty),*) => {$(
        impl NamedCommand for $text {
            fn worker(&self) -> &WorkerName {
                &self.worker
            }
        }
    )*};
}

named_command!(
    AcquireRequest,
    RenewRequest,
    ReleaseRequest,
    StartRequest,
    StopRequest,
    ForgetRequest
);

fn answer_of(error: WorkerError) -> Response {
    let refusal = match error {
        WorkerError::StaleEpoch => WorkerRefusal::StaleEpoch,
        WorkerError::Held { holder } => WorkerRefusal::Held { holder },
        WorkerError::OtherIncarnation => WorkerRefusal::OtherIncarnation,
        WorkerError::InsufficientResources => WorkerRefusal::InsufficientResources,
        other => return refusal(StatusCode::INTERNAL_SERVER_ERROR, &other.to_string()),
    };
    json(StatusCode::CONFLICT, &refusal)
}

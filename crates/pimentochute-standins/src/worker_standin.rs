//! The worker stand-in, served over HTTP.

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
use crate::registration::{LeavingBody, LeavingSwitch};
use crate::reply::{error_response, json, read_json};
use crate::server::Standin;
use crate::worker_ledger::WorkerLedger;
use crate::worker_model::WorkerModel;

/// A worker that simulates its tasks; clones share the state.
#[derive(Debug, Clone)]
pub struct WorkerStandin {
    state: Arc<WorkerState>,
}

#[derive(Debug)]
struct WorkerState {
    name: WorkerName,
    capacity: ResourceAmount,
    clock: MilliClock,
    /// The wall-clock time at the zero of `clock`.
    origin: MilliSpan,
    faults: FaultSwitches,
    leaving: LeavingSwitch,
    model: Mutex<WorkerModel>,
}

/// The answer to `GET /records`, with wall-clock times.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkerRecords {
    /// The name of the worker.
    pub worker: WorkerName,
    /// The current incarnation of the worker.
    pub incarnation: WorkerIncarnation,
    /// The total resources of the worker.
    pub capacity: ResourceAmount,
    /// The starts and ends of tasks, and the violations of the capacity.
    pub ledger: WorkerLedger,
}

impl WorkerStandin {
    /// Creates an idle worker whose leases expire by `clock`. The incarnation
    /// is the wall-clock time, so that it is larger after a restart of the
    /// process.
    #[must_use]
    pub fn new(
        name: WorkerName,
        rack: RackName,
        capacity: ResourceAmount,
        clock: MilliClock,
    ) -> Self {
        let origin = clock_origin(&clock);
        let incarnation = WorkerIncarnation::new(clock.unix_now().as_millis());
        let state = WorkerState {
            name,
            capacity,
            origin,
            faults: FaultSwitches::new(),
            leaving: LeavingSwitch::new(),
            model: Mutex::new(WorkerModel::new(rack, capacity, incarnation)),
            clock,
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: FaultSet) {
        self.with_model(|model, _| model.set_fails_all(faults.fail_all));
        self.state.faults.set(faults);
    }

    /// Returns the records for an invariant checker.
    #[must_use]
    pub fn records(&self) -> WorkerRecords {
        self.with_model(|model, now| WorkerRecords {
            worker: self.state.name.clone(),
            incarnation: model.incarnation(),
            capacity: self.state.capacity,
            ledger: model.ledger(now).clone().with_origin(self.state.origin),
        })
    }

    /// Returns the switch that makes the worker register as leaving.
    #[must_use]
    pub fn leaving(&self) -> &LeavingSwitch {
        &self.state.leaving
    }

    fn with_model<T>(&self, action: impl FnOnce(&mut WorkerModel, MilliTime) -> T) -> T {
        let model = self.state.model.lock();
        let mut model = model.unwrap_or_else(PoisonError::into_inner);
        action(&mut model, self.state.clock.now())
    }

    /// Returns the HTTP handler of a command, which must name this worker.
    fn handler<C, T>(&self, action: CommandFn<C, T>) -> impl CommandHandler
    where
        C: DeserializeOwned + NamedCommand + 'static,
        T: Serialize + 'static,
    {
        let worker = self.clone();
        move |request: Request| -> BoxFuture<'static, Result<Response>> {
            let worker = worker.clone();
            Box::pin(async move {
                Ok(match read_json::<C>(request).await {
                    Ok(command) => worker.execute(&command, action),
                    Err(response) => response,
                })
            })
        }
    }

    fn execute<C: NamedCommand, T: Serialize>(
        &self,
        command: &C,
        action: CommandFn<C, T>,
    ) -> Response {
        if *command.worker() != self.state.name {
            let worker = self.state.name.clone();
            return json(StatusCode::CONFLICT, &WorkerRefusal::OtherWorker { worker });
        }
        match self.with_model(|model, now| action(model, command, now)) {
            Ok(value) => json(StatusCode::OK, &value),
            Err(error) => worker_error_response(error),
        }
    }

    async fn handle_faults(self, request: Request) -> Result<Response> {
        match read_json(request).await {
            Ok(faults) => {
                self.set_faults(faults);
                Ok(StatusCode::NO_CONTENT.into_response())
            }
            Err(response) => Ok(response),
        }
    }

    async fn handle_leaving(self, request: Request) -> Result<Response> {
        match read_json::<LeavingBody>(request).await {
            Ok(body) => {
                self.state.leaving.set(body.leaving);
                Ok(StatusCode::NO_CONTENT.into_response())
            }
            Err(response) => Ok(response),
        }
    }
}

impl Standin for WorkerStandin {
    fn router(&self) -> Router {
        let [faults, leaving, records] = std::array::from_fn(|_| self.clone());
        Router::new()
            .post("/v1/control/acquire", self.handler(acquire))
            .post("/v1/control/renew", self.handler(renew))
            .post("/v1/control/release", self.handler(release))
            .post("/v1/tasks/start", self.handler(start))
            .post("/v1/tasks/stop", self.handler(stop))
            .post("/v1/tasks/forget", self.handler(forget))
            .post("/faults", move |request| {
                faults.clone().handle_faults(request)
            })
            .post("/leaving", move |request| {
                leaving.clone().handle_leaving(request)
            })
            .get("/records", move |_: Request| {
                let response = json(StatusCode::OK, &records.records());
                async move { Ok::<_, viz::Error>(response) }
            })
    }

    fn faults(&self) -> FaultSwitches {
        self.state.faults.clone()
    }
}

/// Returns the wall-clock time at the zero of a clock.
pub(crate) fn clock_origin(clock: &MilliClock) -> MilliSpan {
    let now = clock.now().as_millis();
    MilliSpan::new(clock.unix_now().as_millis().saturating_sub(now))
}

/// An HTTP handler of a worker command.
trait CommandHandler:
    Fn(Request) -> BoxFuture<'static, Result<Response>> + Clone + Send + Sync + 'static
{
}

impl<F> CommandHandler for F where
    F: Fn(Request) -> BoxFuture<'static, Result<Response>> + Clone + Send + Sync + 'static
{
}

type CommandFn<C, T> = fn(&mut WorkerModel, &C, MilliTime) -> std::result::Result<T, WorkerError>;

type CommandResult<T> = std::result::Result<T, WorkerError>;

fn acquire(
    model: &mut WorkerModel,
    command: &AcquireRequest,
    now: MilliTime,
) -> CommandResult<ControlGrant> {
    model.acquire(&command.request, now)
}

fn renew(
    model: &mut WorkerModel,
    command: &RenewRequest,
    now: MilliTime,
) -> CommandResult<WorkerReport> {
    let (control, task) = (command.control_lease, command.task_lease);
    model.renew(command.epoch, &command.keep, control, task, now)
}

fn release(model: &mut WorkerModel, command: &ReleaseRequest, now: MilliTime) -> CommandResult<()> {
    model.release(command.epoch, now)
}

fn start(model: &mut WorkerModel, command: &StartRequest, now: MilliTime) -> CommandResult<()> {
    model.start(command.epoch, &command.order, now)
}

fn stop(model: &mut WorkerModel, command: &StopRequest, now: MilliTime) -> CommandResult<()> {
    model.stop(command.epoch, command.attempt, command.grace, now)
}

fn forget(model: &mut WorkerModel, command: &ForgetRequest, now: MilliTime) -> CommandResult<()> {
    model.forget(command.epoch, &command.attempts, now)
}

/// A command that names the worker to which it is addressed.
trait NamedCommand: Send {
    fn worker(&self) -> &WorkerName;
}

macro_rules! named_command {
    ($($command:ty),*) => {$(
        impl NamedCommand for $command {
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

fn worker_error_response(error: WorkerError) -> Response {
    let refusal = match error {
        WorkerError::StaleEpoch => WorkerRefusal::StaleEpoch,
        WorkerError::Held { holder } => WorkerRefusal::Held { holder },
        WorkerError::OtherIncarnation => WorkerRefusal::OtherIncarnation,
        WorkerError::InsufficientResources => WorkerRefusal::InsufficientResources,
        other => return error_response(StatusCode::INTERNAL_SERVER_ERROR, &other.to_string()),
    };
    json(StatusCode::CONFLICT, &refusal)
}

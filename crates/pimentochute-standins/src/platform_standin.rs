//! The platform stand-in, served over HTTP: the log and the host list.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use pimentochute_base::{LogOffset, MilliClock, MilliSpan, StreamName};
use pimentochute_platform::wire::{AppendReply, AppendRequest, GoneReply, ReadReply};
use pimentochute_platform::{HostEntry, HostRole, ReadBatch, ReadError};
use serde::Deserialize;
use tokio::sync::watch;
use viz::{IntoResponse, Request, RequestExt, Response, Result, Router, StatusCode};

use crate::fault_set::{FaultSet, FaultSwitches};
use crate::host_table::HostTable;
use crate::log_store::{LogStore, RetentionLimit};
use crate::reply::{error_response, json, not_run, read_json};
use crate::server::Standin;

/// The time after its last registration at which a host is removed.
const HOST_EXPIRY: MilliSpan = MilliSpan::new(5_000);

/// The maximum wait of a read; longer waits in a request are shortened to it.
const MAX_WAIT: MilliSpan = MilliSpan::new(60_000);

/// The maximum sum of payloads in the answer to a read, except that a record
/// larger than this is sent alone.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// The log and the host list; clones share them.
#[derive(Debug, Clone)]
pub struct PlatformStandin {
    state: Arc<PlatformState>,
}

#[derive(Debug)]
struct PlatformState {
    clock: MilliClock,
    faults: FaultSwitches,
    tables: Mutex<PlatformTables>,
    /// Wakes waiting reads after an append.
    appends: watch::Sender<u64>,
}

#[derive(Debug)]
struct PlatformTables {
    log: LogStore,
    hosts: HostTable,
}

/// The query parameters of a read.
#[derive(Debug, Clone, Copy, Deserialize)]
struct ReadQuery {
    from: LogOffset,
    max: usize,
    #[serde(default)]
    wait_ms: MilliSpan,
}

/// The body of `POST /v1/hosts/leaving`.
#[derive(Debug, Deserialize)]
struct LeavingBody {
    role: HostRole,
    name: String,
    leaving: bool,
}

impl PlatformStandin {
    /// Creates an empty log and host list, whose entries age by `clock`.
    #[must_use]
    pub fn new(clock: MilliClock, limit: RetentionLimit) -> Self {
        let tables = PlatformTables {
            log: LogStore::new(limit),
            hosts: HostTable::new(HOST_EXPIRY),
        };
        let state = PlatformState {
            clock,
            faults: FaultSwitches::new(),
            tables: Mutex::new(tables),
            appends: watch::Sender::new(0),
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: FaultSet) {
        let now = self.state.clock.now();
        self.with_tables(|tables| tables.hosts.set_frozen(faults.frozen_list, now));
        self.state.faults.set(faults);
    }

    fn with_tables<T>(&self, action: impl FnOnce(&mut PlatformTables) -> T) -> T {
        let tables = self.state.tables.lock();
        action(&mut tables.unwrap_or_else(PoisonError::into_inner))
    }

    async fn handle_append(self, request: Request) -> Result<Response> {
        let stream = request.param::<String>("stream")?;
        let Ok(stream) = StreamName::new(&stream) else {
            return Ok(error_response(
                StatusCode::BAD_REQUEST,
                "malformed stream name",
            ));
        };
        let append: AppendRequest<'static> = match read_json(request).await {
            Ok(append) => append,
            Err(response) => return Ok(response),
        };
        let payload = Bytes::from(append.payload.into_owned());
        let now = self.state.clock.now();
        let offset = self.with_tables(|tables| tables.log.append(&stream, payload, now));
        self.state.appends.send_modify(|count| *count += 1);
        Ok(json(StatusCode::OK, &AppendReply { offset }))
    }

    async fn handle_read(self, request: Request) -> Result<Response> {
        let stream = request.param::<String>("stream")?;
        let query: ReadQuery = request.query()?;
        let Ok(stream) = StreamName::new(&stream) else {
            return Ok(error_response(
                StatusCode::BAD_REQUEST,
                "malformed stream name",
            ));
        };
        let response = match self.wait_for_records(&stream, query).await {
            None => not_run("down by a fault switch"),
            Some(Ok(batch)) => read_response(batch),
            Some(Err(ReadError::BehindRetention { first_retained })) => {
                json(StatusCode::GONE, &GoneReply { first_retained })
            }
            Some(Err(error)) => {
                error_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string())
            }
        };
        Ok(response)
    }

    /// Reads records, waiting for the first one if there are none. Returns
    /// `None` if a fault switch takes the log down while the read waits.
    async fn wait_for_records(
        &self,
        stream: &StreamName,
        query: ReadQuery,
    ) -> Option<std::result::Result<ReadBatch, ReadError>> {
        let mut appends = self.state.appends.subscribe();
        let mut faults = self.state.faults.subscribe();
        let wait = query.wait_ms.min(MAX_WAIT).as_duration();
        let mut timeout = std::pin::pin!(tokio::time::sleep(wait));
        let mut waited = wait.is_zero();
        loop {
            appends.mark_unchanged();
            if faults.borrow_and_update().down {
                return None;
            }
            let now = self.state.clock.now();
            let read =
                self.with_tables(|tables| tables.log.read(stream, query.from, query.max, now));
            if waited
                || read
                    .as_ref()
                    .map_or(true, |batch| !batch.records.is_empty())
            {
                return Some(read);
            }
            tokio::select! {
                _ = appends.changed() => {}
                _ = faults.changed() => {}
                () = &mut timeout => waited = true,
            }
        }
    }

    async fn handle_register(self, request: Request) -> Result<Response> {
        let entry: HostEntry = match read_json(request).await {
            Ok(entry) => entry,
            Err(response) => return Ok(response),
        };
        let now = self.state.clock.now();
        self.with_tables(|tables| tables.hosts.register(entry, now));
        Ok(StatusCode::NO_CONTENT.into_response())
    }

    async fn handle_leaving(self, request: Request) -> Result<Response> {
        let body: LeavingBody = match read_json(request).await {
            Ok(body) => body,
            Err(response) => return Ok(response),
        };
        let known = self.with_tables(|tables| {
            let hosts = &mut tables.hosts;
            hosts.set_leaving(body.role, &body.name, body.leaving)
        });
        if !known {
            return Ok(error_response(StatusCode::NOT_FOUND, "unknown host"));
        }
        Ok(StatusCode::NO_CONTENT.into_response())
    }

    fn host_list(&self) -> Response {
        let now = self.state.clock.now();
        let hosts = self.with_tables(|tables| tables.hosts.list(now));
        json(StatusCode::OK, &hosts)
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
}

impl Standin for PlatformStandin {
    fn router(&self) -> Router {
        let [append, read, hosts, register, leaving, faults] =
            std::array::from_fn(|_| self.clone());
        let records = "/v1/streams/:stream/records";
        Router::new()
            .post(records, move |request| {
                append.clone().handle_append(request)
            })
            .get(records, move |request| read.clone().handle_read(request))
            .get("/v1/hosts", move |_: Request| {
                let response = hosts.host_list();
                async move { Ok::<_, viz::Error>(response) }
            })
            .post("/v1/hosts", move |request| {
                register.clone().handle_register(request)
            })
            .post("/v1/hosts/leaving", move |request| {
                leaving.clone().handle_leaving(request)
            })
            .post("/faults", move |request| {
                faults.clone().handle_faults(request)
            })
    }

    fn faults(&self) -> FaultSwitches {
        self.state.faults.clone()
    }
}

fn read_response(mut batch: ReadBatch) -> Response {
    let mut bytes = 0;
    let fitting = batch.records.iter().take_while(|record| {
        bytes += record.payload.len();
        bytes <= MAX_RESPONSE_BYTES
    });
    let fitting = fitting.count().max(1);
    batch.records.truncate(fitting);
    match ReadReply::try_from(batch) {
        Ok(reply) => json(StatusCode::OK, &reply),
        Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

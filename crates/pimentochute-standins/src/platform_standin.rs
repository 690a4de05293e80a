//! The platform: the log and the host list.

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
use crate::reply::{json, json_of, not_run, refusal};
use crate::server::Standin;

/// The default time after which a host that does not register is gone.
const HOST_EXPIRY: MilliSpan = MilliSpan::new(5_000);

/// The longest wait of a read, whatever the reader asks for.
const MAX_WAIT: MilliSpan = MilliSpan::new(60_000);

/// The most payload bytes of an answer; it has at least one record.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

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

/// The query of a read.
#[derive(Debug, Clone, Copy, Deserialize)]
struct ReadQuery {
    from: LogOffset,
    max: usize,
    #[serde(default)]
    wait_ms: MilliSpan,
}

/// The content of `POST /v1/hosts/leaving`.
#[derive(Debug, Deserialize)]
struct LeavingText {
    role: HostRole,
    name: String,
    leaving: bool,
}

impl PlatformStandin {
    /// Creates an empty log and host list; ages are by `clock`.
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
        self.with(|tables| tables.hosts.set_frozen(faults.frozen_list, now));
        self.state.faults.set(faults);
    }

    fn with<T>(&self, action: impl FnOnce(&mut PlatformTables) -> T) -> T {
        let tables = self.state.tables.lock();
        action(&mut tables.unwrap_or_else(PoisonError::into_inner))
    }

    async fn append(self, request: Request) -> Result<Response> {
        let stream = request.param::<String>("stream")?;
        let Ok(stream) = StreamName::new(&stream) else {
            return Ok(refusal(StatusCode::BAD_REQUEST, "malformed stream name"));
        };
        let text: AppendRequest<'static> = match json_of(request).await {
            Ok(text) => text,
            Err(answer) => return Ok(answer),
        };
        let payload = Bytes::from(text.payload.into_owned());
        let now = self.state.clock.now();
        let offset = self.with(|tables| tables.log.append(&stream, payload, now));
        self.state.appends.send_modify(|count| *count += 1);
        Ok(json(StatusCode::OK, &AppendReply { offset }))
    }

    async fn read(self, request: Request) -> Result<Response> {
        let stream = request.param::<String>("stream")?;
        let query: ReadQuery = request.query()?;
        let Ok(stream) = StreamName::new(&stream) else {
            return Ok(refusal(StatusCode::BAD_REQUEST, "malformed stream name"));
        };
        let answer = match self.wait_for_records(&stream, query).await {
            None => not_run("down by a fault switch"),
            Some(Ok(batch)) => read_answer(batch),
            Some(Err(ReadError::BehindRetention { first_retained })) => {
                json(StatusCode::GONE, &GoneReply { first_retained })
            }
            Some(Err(error)) => refusal(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        };
        Ok(answer)
    }

    /// Returns none if the log goes down while the read waits.
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
            let read = self.with(|tables| tables.log.read(stream, query.from, query.max, now));
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

    async fn register(self, request: Request) -> Result<Response> {
        let entry: HostEntry = match json_of(request).await {
            Ok(entry) => entry,
            Err(answer) => return Ok(answer),
        };
        let now = self.state.clock.now();
        self.with(|tables| tables.hosts.register(entry, now));
        Ok(StatusCode::NO_CONTENT.into_response())
    }

    async fn leave(self, request: Request) -> Result<Response> {
        let text: LeavingText = match json_of(request).await {
            Ok(text) => text,
            Err(answer) => return Ok(answer),
        };
        let known = self.with(|tables| {
            let hosts = &mut tables.hosts;
            hosts.set_leaving(text.role, &text.name, text.leaving)
        });
        if !known {
            return Ok(refusal(StatusCode::NOT_FOUND, "unknown host"));
        }
        Ok(StatusCode::NO_CONTENT.into_response())
    }

    fn hosts(&self) -> Response {
        let now = self.state.clock.now();
        let hosts = self.with(|tables| tables.hosts.list(now));
        json(StatusCode::OK, &hosts)
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
}

impl Standin for PlatformStandin {
    fn router(&self) -> Router {
        let [append, read, hosts, register, leave, faults] = std::array::from_fn(|_| self.clone());
        let records = "/v1/streams/:stream/records";
        Router::new()
            .post(records, move |request| append.clone().append(request))
            .get(records, move |request| read.clone().read(request))
            .get("/v1/hosts", move |_: Request| {
                let answer = hosts.hosts();
                async move { Ok::<_, viz::Error>(answer) }
            })
            .post("/v1/hosts", move |request| {
                register.clone().register(request)
            })
            .post("/v1/hosts/leaving", move |request| {
                leave.clone().leave(request)
            })
            .post("/faults", move |request| {
                faults.clone().change_faults(request)
            })
    }

    fn faults(&self) -> FaultSwitches {
        self.state.faults.clone()
    }
}

fn read_answer(mut batch: ReadBatch) -> Response {
    let mut bytes = 0;
    let fits = batch.records.iter().take_while(|record| {
        bytes += record.payload.len();
        bytes <= MAX_ANSWER_BYTES
    });
    let fits = fits.count().max(1);
    batch.records.truncate(fits);
    match ReadReply::try_from(batch) {
        Ok(reply) => json(StatusCode::OK, &reply),
        Err(error) => refusal(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

//! The worker client over HTTP.

use futures::future::BoxFuture;
use http::uri::Authority;
use http::{HeaderMap, Method, StatusCode};
use pimentochute_base::{AttemptRef, EpochNumber, MilliSpan};
use serde::Serialize;

use crate::http_client::{CallError, HttpCall, HttpClient, HttpReply, error_chain};
use crate::wire::{
    AcquireRequest, ForgetRequest, ReleaseRequest, RenewRequest, StartRequest, StopRequest,
    decode_json, decode_refusal, encode_json,
};
use crate::{
    ControlGrant, ControlRequest, StartOrder, WorkerControl, WorkerError, WorkerReport,
    WorkerTarget,
};

/// The default timeout of a command. It equals the interval between two renewals,
/// so that a worker that does not answer does not delay the next renewal.
const WORKER_TIMEOUT: MilliSpan = MilliSpan::new(2_000);

/// The default limit for answers; the report of a task has about 150 bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// A client of the workers' HTTP interface.
#[derive(Debug, Clone)]
pub struct HttpWorkerControl {
    client: HttpClient,
}

impl HttpWorkerControl {
    /// Creates a client for any number of workers.
    #[must_use]
    pub fn new() -> Self {
        Self {
            client: HttpClient::new(WORKER_TIMEOUT, MAX_ANSWER_BYTES),
        }
    }

    /// Sets the timeout of a command.
    #[must_use]
    pub fn with_timeout(mut self, timeout: MilliSpan) -> Self {
        self.client = self.client.with_timeout(timeout);
        self
    }

    /// Sets the limit for answers.
    #[must_use]
    pub fn with_max_answer_bytes(mut self, max_answer_bytes: usize) -> Self {
        self.client = self.client.with_max_answer_bytes(max_answer_bytes);
        self
    }

    async fn command<T: Serialize>(
        &self,
        worker: &WorkerTarget,
        path: &str,
        request: T,
    ) -> Result<HttpReply, WorkerError> {
        let authority: Authority = worker.address.to_string().parse().map_err(|error| {
            let detail = error_chain(&error);
            CallError::NoEffect { detail }
        })?;
        let body = encode_json(&request).map_err(|error| CallError::NoEffect {
            detail: error.to_string(),
        })?;
        let call = HttpCall {
            method: Method::POST,
            path: path.to_owned(),
            body,
            wait: MilliSpan::ZERO,
            headers: HeaderMap::new(),
        };
        let reply = self.client.call(&authority, call).await?;
        check_reply(reply)
    }
}

impl Default for HttpWorkerControl {
    fn default() -> Self {
        Self::new()
    }
}

impl WorkerControl for HttpWorkerControl {
    fn acquire<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        request: ControlRequest,
    ) -> BoxFuture<'a, Result<ControlGrant, WorkerError>> {
        let request = AcquireRequest {
            worker: worker.name.clone(),
            request,
        };
        Box::pin(async move {
            let reply = self.command(worker, "/v1/control/acquire", request).await?;
            decode_json(&reply.body).map_err(|error| outcome_unknown(&error))
        })
    }

    fn renew<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        epoch: EpochNumber,
        keep: Vec<AttemptRef>,
        control_lease: MilliSpan,
        task_lease: MilliSpan,
    ) -> BoxFuture<'a, Result<WorkerReport, WorkerError>> {
        let request = RenewRequest {
            worker: worker.name.clone(),
            epoch,
            keep,
            control_lease,
            task_lease,
        };
        Box::pin(async move {
            let reply = self.command(worker, "/v1/control/renew", request).await?;
            decode_json(&reply.body).map_err(|error| outcome_unknown(&error))
        })
    }

    fn start<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        epoch: EpochNumber,
        order: StartOrder,
    ) -> BoxFuture<'a, Result<(), WorkerError>> {
        let request = StartRequest {
            worker: worker.name.clone(),
            epoch,
            order,
        };
        Box::pin(async move {
            self.command(worker, "/v1/tasks/start", request).await?;
            Ok(())
        })
    }

    fn stop<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        epoch: EpochNumber,
        attempt: AttemptRef,
        grace: MilliSpan,
    ) -> BoxFuture<'a, Result<(), WorkerError>> {
        let request = StopRequest {
            worker: worker.name.clone(),
            epoch,
            attempt,
            grace,
        };
        Box::pin(async move {
            self.command(worker, "/v1/tasks/stop", request).await?;
            Ok(())
        })
    }

    fn forget<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        epoch: EpochNumber,
        attempts: Vec<AttemptRef>,
    ) -> BoxFuture<'a, Result<(), WorkerError>> {
        let request = ForgetRequest {
            worker: worker.name.clone(),
            epoch,
            attempts,
        };
        Box::pin(async move {
            self.command(worker, "/v1/tasks/forget", request).await?;
            Ok(())
        })
    }

    fn release<'a>(
        &'a self,
        worker: &'a WorkerTarget,
        epoch: EpochNumber,
    ) -> BoxFuture<'a, Result<(), WorkerError>> {
        let request = ReleaseRequest {
            worker: worker.name.clone(),
            epoch,
        };
        Box::pin(async move {
            self.command(worker, "/v1/control/release", request).await?;
            Ok(())
        })
    }
}

impl From<CallError> for WorkerError {
    fn from(error: CallError) -> Self {
        let detail = error.to_string();
        match error {
            CallError::NoEffect { .. } => Self::NoEffect { detail },
            CallError::OutcomeUnknown { .. } | CallError::TooLarge { .. } => {
                Self::OutcomeUnknown { detail }
            }
        }
    }
}

fn check_reply(reply: HttpReply) -> Result<HttpReply, WorkerError> {
    if reply.status == StatusCode::CONFLICT {
        let refusal = decode_refusal(&reply.body).map_err(|error| outcome_unknown(&error))?;
        return Err(refusal.into());
    }
    if !reply.status.is_success() {
        return Err(reply.into_error().into());
    }
    Ok(reply)
}

fn outcome_unknown(error: &dyn std::error::Error) -> WorkerError {
    WorkerError::OutcomeUnknown {
        detail: error.to_string(),
    }
}

//! The log client over HTTP.

use bytes::Bytes;
use futures::future::BoxFuture;
use http::uri::Authority;
use http::{HeaderMap, Method, StatusCode};
use pimentochute_base::{LogOffset, MilliSpan, StreamName};

use crate::http_client::{CallError, HttpCall, HttpClient};
use crate::wire::{AppendRequest, WireError, decode_append, decode_gone, decode_read, encode_json};
use crate::{AppendError, LogService, ReadBatch, ReadError};

/// The default timeout of a call, in addition to the wait of a read.
const LOG_TIMEOUT: MilliSpan = MilliSpan::new(3_000);

/// The default limit for answers.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A client of the log's HTTP interface.
#[derive(Debug, Clone)]
pub struct HttpLog {
    client: HttpClient,
    authority: Authority,
}

impl HttpLog {
    /// Creates a client of the log at `authority` (host and port).
    #[must_use]
    pub fn new(authority: Authority) -> Self {
        Self {
            client: HttpClient::new(LOG_TIMEOUT, MAX_ANSWER_BYTES),
            authority,
        }
    }

    /// Sets the timeout of a call, in addition to the wait of a read.
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

    async fn append_record(
        &self,
        stream: &StreamName,
        payload: Bytes,
    ) -> Result<LogOffset, AppendError> {
        let body = AppendRequest::new(&payload).and_then(|request| encode_json(&request));
        let call = HttpCall {
            method: Method::POST,
            path: format!("/v1/streams/{stream}/records"),
            body: body.map_err(|error| not_appended(&error))?,
            wait: MilliSpan::ZERO,
            headers: HeaderMap::new(),
        };
        let reply = self.client.call(&self.authority, call).await?;
        if !reply.status.is_success() {
            return Err(reply.into_error().into());
        }
        let reply = decode_append(&reply.body).map_err(|error| AppendError::OutcomeUnknown {
            detail: error.to_string(),
        })?;
        Ok(reply.offset)
    }

    /// Halves the number of requested records while the answer is too large. A
    /// reader would otherwise never get past a sequence of large records.
    async fn read_records(
        &self,
        stream: &StreamName,
        from: LogOffset,
        max_records: usize,
        wait: MilliSpan,
    ) -> Result<ReadBatch, ReadError> {
        let mut max_records = max_records.max(1);
        loop {
            match self.read_once(stream, from, max_records, wait).await {
                Err(ReadAttemptError::TooLarge) if max_records > 1 => max_records /= 2,
                Err(ReadAttemptError::TooLarge) => {
                    let detail = "one record exceeds the answer limit".to_owned();
                    return Err(ReadError::Unavailable { detail });
                }
                Err(ReadAttemptError::Other(error)) => return Err(error),
                Ok(batch) => return Ok(batch),
            }
        }
    }

    async fn read_once(
        &self,
        stream: &StreamName,
        from: LogOffset,
        max_records: usize,
        wait: MilliSpan,
    ) -> Result<ReadBatch, ReadAttemptError> {
        let wait_ms = wait.as_millis();
        let call = HttpCall {
            method: Method::GET,
            path: format!(
                "/v1/streams/{stream}/records?from={from}&max={max_records}&wait_ms={wait_ms}"
            ),
            body: Bytes::new(),
            wait,
            headers: HeaderMap::new(),
        };
        let reply = self.client.call(&self.authority, call).await?;
        match reply.status {
            StatusCode::OK => Ok(decode_read(&reply.body, from)?),
            StatusCode::GONE => {
                let first_retained = decode_gone(&reply.body)?.first_retained;
                Err(ReadAttemptError::Other(ReadError::BehindRetention {
                    first_retained,
                }))
            }
            _ => Err(reply.into_error().into()),
        }
    }
}

impl LogService for HttpLog {
    fn append<'a>(
        &'a self,
        stream: &'a StreamName,
        payload: Bytes,
    ) -> BoxFuture<'a, Result<LogOffset, AppendError>> {
        Box::pin(self.append_record(stream, payload))
    }

    fn read<'a>(
        &'a self,
        stream: &'a StreamName,
        from: LogOffset,
        max_records: usize,
        wait: MilliSpan,
    ) -> BoxFuture<'a, Result<ReadBatch, ReadError>> {
        Box::pin(self.read_records(stream, from, max_records, wait))
    }
}

impl From<CallError> for AppendError {
    fn from(error: CallError) -> Self {
        let detail = error.to_string();
        match error {
            CallError::NoEffect { .. } => Self::NotAppended { detail },
            CallError::OutcomeUnknown { .. } | CallError::TooLarge { .. } => {
                Self::OutcomeUnknown { detail }
            }
        }
    }
}

/// Why one attempt to read failed.
#[derive(Debug)]
enum ReadAttemptError {
    TooLarge,
    Other(ReadError),
}

impl From<CallError> for ReadAttemptError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::TooLarge { .. } => Self::TooLarge,
            other => Self::Other(ReadError::Unavailable {
                detail: other.to_string(),
            }),
        }
    }
}

impl From<WireError> for ReadAttemptError {
    fn from(error: WireError) -> Self {
        Self::Other(ReadError::Unavailable {
            detail: error.to_string(),
        })
    }
}

fn not_appended(error: &WireError) -> AppendError {
    AppendError::NotAppended {
        detail: error.to_string(),
    }
}

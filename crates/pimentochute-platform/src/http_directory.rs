//! The host list client over HTTP.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::uri::Authority;
use http::{HeaderMap, Method, StatusCode};
use pimentochute_base::MilliSpan;

use crate::http_client::{HttpCall, HttpClient};
use crate::wire::{HostMemory, decode_hosts};
use crate::{DirectoryError, HostDirectory, HostEntry};

/// The default timeout of a call; the list is polled every second.
const DIRECTORY_TIMEOUT: MilliSpan = MilliSpan::new(2_000);

/// The default limit for answers. The entries of 2,700 workers, about 250 bytes
/// each, take less than 1 MiB.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// A client of the platform's host list.
#[derive(Debug, Clone)]
pub struct HttpDirectory {
    client: HttpClient,
    authority: Authority,
    memory: Arc<Mutex<HostMemory>>,
}

impl HttpDirectory {
    /// Creates a client of the host list at `authority` (host and port).
    #[must_use]
    pub fn new(authority: Authority) -> Self {
        Self {
            client: HttpClient::new(DIRECTORY_TIMEOUT, MAX_ANSWER_BYTES),
            authority,
            memory: Arc::default(),
        }
    }

    /// Sets the timeout of a call.
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

    async fn fetch_hosts(&self) -> Result<Vec<HostEntry>, DirectoryError> {
        let call = HttpCall {
            method: Method::GET,
            path: "/v1/hosts".to_owned(),
            body: Bytes::new(),
            wait: MilliSpan::ZERO,
            headers: HeaderMap::new(),
        };
        let reply = self.client.call(&self.authority, call).await;
        let reply = reply.map_err(|error| directory_error(&error))?;
        if reply.status != StatusCode::OK {
            return Err(directory_error(&reply.into_error()));
        }
        let listing = decode_hosts(&reply.body).map_err(|error| directory_error(&error))?;
        // Poisoning is ignored: after a panic the memory lacks entries at most.
        let mut memory = self.memory.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(memory.complete(listing))
    }
}

impl HostDirectory for HttpDirectory {
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<HostEntry>, DirectoryError>> {
        Box::pin(self.fetch_hosts())
    }
}

fn directory_error(error: &dyn std::error::Error) -> DirectoryError {
    DirectoryError {
        detail: error.to_string(),
    }
}

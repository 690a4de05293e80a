//! Buffers the bodies of calls within limits of size, time and memory.

use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::header::{CONTENT_LENGTH, EXPECT};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Duration, timeout};
use viz::{Body, RequestExt as _};

use crate::refusal::{Refusal, RefusalCode};
use crate::settings::HttpSettings;

/// How long the rest of a refused body is read. If the connection closed while
/// the caller is still sending, the caller might not receive the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the bodies of calls; all clones share one memory limit.
#[derive(Clone)]
pub(crate) struct BodyReader {
    limits: HttpSettings,
    memory: Arc<Semaphore>,
}

/// A complete body. It counts against the memory limit until it is dropped.
pub(crate) struct BufferedBody {
    /// The bytes of the body.
    pub(crate) content: Bytes,
    _memory: OwnedSemaphorePermit,
}

impl BodyReader {
    /// Creates a reader with its own memory limit.
    pub(crate) fn new(limits: HttpSettings) -> Self {
        let memory = usize::try_from(limits.max_buffered_bytes).unwrap_or(usize::MAX);
        Self {
            limits,
            memory: Arc::new(Semaphore::new(memory.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Reads a complete body.
    ///
    /// # Errors
    /// Refuses a body that is too large, too slow or incomplete, and any body
    /// while too much memory is in use.
    pub(crate) async fn read(&self, request: &mut Request<Body>) -> Result<BufferedBody, Refusal> {
        let result = self.read_within_limits(request).await;
        if result.is_err() {
            self.discard(request).await;
        }
        result
    }

    async fn read_within_limits(
        &self,
        request: &mut Request<Body>,
    ) -> Result<BufferedBody, Refusal> {
        let max = self.limits.max_body_bytes;
        let announced = content_length(request);
        if announced.is_some_and(|bytes| bytes > u64::from(max)) {
            return Err(self.too_large());
        }
        let bytes = announced.and_then(|bytes| u32::try_from(bytes).ok());
        let memory = Arc::clone(&self.memory);
        let permit = memory.try_acquire_many_owned(bytes.unwrap_or(max));
        let memory = permit.map_err(|_| self.no_memory())?;
        let limit = usize::try_from(max).unwrap_or(usize::MAX);
        let Ok(body) = request.incoming() else {
            return Ok(BufferedBody {
                content: Bytes::new(),
                _memory: memory,
            });
        };
        let read = Limited::new(body, limit).collect();
        match timeout(self.limits.body_timeout_ms.as_duration(), read).await {
            Ok(Ok(content)) => {
                let content = content.to_bytes();
                let memory = release_unused(memory, content.len());
                Ok(BufferedBody {
                    content,
                    _memory: memory,
                })
            }
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(self.too_large()),
            Ok(Err(_)) => Err(Refusal::invalid("the body is cut off", "send it whole")),
            Err(_) => Err(self.too_late()),
        }
    }

    /// Reads and drops the rest of a refused body, for at most
    /// [`DISCARD_TIMEOUT`]. A caller that sent `Expect` waits for the response
    /// before it sends the body.
    pub(crate) async fn discard(&self, request: &mut Request<Body>) {
        if request.headers().contains_key(EXPECT) {
            return;
        }
        let Ok(mut body) = request.incoming() else {
            return;
        };
        let rest = async { while let Some(Ok(_)) = body.frame().await {} };
        let _ = timeout(DISCARD_TIMEOUT, rest).await;
    }

    fn too_large(&self) -> Refusal {
        let max = self.limits.max_body_bytes;
        let error = format!("the body is larger than {max} bytes");
        Refusal::new(RefusalCode::TooLarge, error, "send a smaller body")
    }

    fn no_memory(&self) -> Refusal {
        let error = "too many request bodies are held at once";
        Refusal::new(RefusalCode::Overloaded, error, "try again later")
            .with_retry_after(self.limits.retry_after_ms)
    }

    fn too_late(&self) -> Refusal {
        let limit = self.limits.body_timeout_ms;
        let error = format!("the body did not arrive within {limit}");
        Refusal::invalid(error, "send the body without pauses")
    }
}

/// Releases the memory that a body of unknown length reserved but did not use.
fn release_unused(mut memory: OwnedSemaphorePermit, bytes: usize) -> OwnedSemaphorePermit {
    memory.split(bytes).unwrap_or(memory)
}

fn content_length(request: &Request<Body>) -> Option<u64> {
    let value = request.headers().get(CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

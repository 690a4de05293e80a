//! Buffers the bodies of calls within limits of size, time and memory.

use std::sync::Arc;

use http::Request;
use http::header::{CONTENT_LENGTH, EXPECT};
use http_body_util::BodyExt as _;
use hyper::body::Body as HttpBody;
use tokio::time::{Duration, timeout};
use viz::{Body, RequestExt as _};

use super::client_ledger::{BodyError, BufferedBody, ClientConnection, ClientLedger, ClientLoss};
use crate::refusal::{Refusal, RefusalCode};
use crate::settings::HttpSettings;

/// How long the rest of a refused body is read. If the connection closed while
/// the caller is still sending, the caller might not receive the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the bodies of calls; all bodies of a process share the memory of its ledger.
#[derive(Clone)]
pub struct BodyReader {
    limits: HttpSettings,
    clients: ClientLedger,
}

impl BodyReader {
    /// Creates a reader.
    #[must_use]
    pub const fn new(limits: HttpSettings, clients: ClientLedger) -> Self {
        Self { limits, clients }
    }

    /// Returns the ledger of the clients.
    #[must_use]
    pub const fn clients(&self) -> &ClientLedger {
        &self.clients
    }

    /// Reads a complete body.
    ///
    /// # Errors
    /// Refuses a body that is too large, too slow or incomplete, and any body
    /// while too much memory is in use.
    pub(crate) async fn read(&self, request: &mut Request<Body>) -> Result<BufferedBody, Refusal> {
        let limit = usize::try_from(self.limits.max_body_bytes).unwrap_or(usize::MAX);
        let body = self.read_up_to(request, limit).await;
        body.map_err(|error| match error {
            BodyError::TooLarge => self.too_large(),
            BodyError::NoRoom => self.no_memory(),
            BodyError::Late => self.too_late(),
            BodyError::Incomplete => Refusal::invalid("the body is cut off", "send it whole"),
        })
    }

    /// Reads a complete body of up to `limit` bytes. Of one that fails, the rest is
    /// discarded.
    ///
    /// # Errors
    /// Fails if the body is too large, too slow or incomplete, and if too much memory is
    /// in use.
    pub async fn read_up_to(
        &self,
        request: &mut Request<Body>,
        limit: usize,
    ) -> Result<BufferedBody, BodyError> {
        if content_length(request).is_some_and(|bytes| bytes > limit as u64) {
            self.discard(request).await;
            return Err(BodyError::TooLarge);
        }
        let waits_for_answer = request.headers().contains_key(EXPECT);
        let client = request.extensions().get::<Arc<ClientConnection>>();
        let client = client.cloned();
        let client = client.unwrap_or_else(|| self.clients.connect("none"));
        let Ok(mut body) = request.incoming() else {
            return Ok(BufferedBody::empty());
        };
        let evicted = client.start_body();
        let reading = async {
            while let Some(frame) = body.frame().await {
                let frame = frame.map_err(|_| BodyError::Incomplete)?;
                if let Some(part) = frame.data_ref() {
                    client.extend_body(part, limit)?;
                }
            }
            client.finish_body()
        };
        let limited = timeout(self.limits.body_timeout_ms.as_duration(), reading);
        let result = tokio::select! {
            biased;
            () = evicted.cancelled() => Err(BodyError::NoRoom),
            result = limited => result.unwrap_or(Err(BodyError::Late)),
        };
        if let Err(error) = result.as_ref() {
            client.drop_body();
            if *error == BodyError::Late {
                client.record_loss(ClientLoss::BodyLate);
            }
            if !waits_for_answer {
                discard_rest(&mut body).await;
            }
        }
        result
    }

    /// Reads and drops the rest of a refused body, for at most
    /// [`DISCARD_TIMEOUT`]. A caller that sent `Expect` waits for the response
    /// before it sends the body.
    pub(crate) async fn discard(&self, request: &mut Request<Body>) {
        if request.headers().contains_key(EXPECT) {
            return;
        }
        if let Ok(mut body) = request.incoming() {
            discard_rest(&mut body).await;
        }
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

async fn discard_rest(body: &mut (impl HttpBody + Unpin)) {
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    let _ = timeout(DISCARD_TIMEOUT, rest).await;
}

fn content_length(request: &Request<Body>) -> Option<u64> {
    let value = request.headers().get(CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

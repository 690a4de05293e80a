//! In-memory fake of a connection to an endpoint.

use futures::future::BoxFuture;
use pimentochute_base::MilliSpan;
use pimentochute_platform::{
    EndpointAnswer, EndpointConnection, EndpointRequest, ProbeError, SendError,
};
use tokio::sync::oneshot;

use crate::fake_endpoint::{EndpointFault, FakeEndpoint};

/// A connection to a [`FakeEndpoint`]. Like a real one, it is unusable after an
/// error or after a call whose future was dropped.
#[derive(Debug)]
pub(crate) struct FakeConnection {
    endpoint: FakeEndpoint,
    /// Counts the connections of the endpoint from zero.
    number: u64,
    silent: bool,
    usable: bool,
}

impl FakeConnection {
    /// Creates an open connection; dropping it releases its place at the
    /// endpoint.
    pub(crate) fn new(endpoint: FakeEndpoint, number: u64) -> Self {
        Self {
            endpoint,
            number,
            silent: false,
            usable: true,
        }
    }

    async fn exchange(&mut self, request: EndpointRequest) -> Result<EndpointAnswer, SendError> {
        let fault = self.endpoint.fault();
        self.silent |= fault == EndpointFault::Silent;
        self.wait_if_silent().await;
        if fault == EndpointFault::RefuseNotRun {
            return Ok(refusal());
        }
        let Some(span) = self.endpoint.begin(&request) else {
            return Ok(refusal());
        };
        finish_after(self.endpoint.clone(), span).await;
        match fault {
            EndpointFault::AnswerLost => std::future::pending().await,
            EndpointFault::Truncated => Err(unknown("the answer is truncated")),
            EndpointFault::Crossed => Err(SendError::Mismatch),
            _ => Ok(EndpointAnswer {
                status: 200,
                not_run: false,
                body: request.body,
            }),
        }
    }

    async fn wait_if_silent(&self) {
        if self.silent || self.endpoint.is_silent(self.number) {
            std::future::pending::<()>().await;
        }
    }

    fn check_open(&self) -> Result<(), &'static str> {
        if !self.usable {
            return Err("the connection was given up");
        }
        if self.endpoint.is_closed(self.number) {
            return Err("the connection is closed");
        }
        Ok(())
    }
}

impl EndpointConnection for FakeConnection {
    fn send(
        &mut self,
        request: EndpointRequest,
        timeout: MilliSpan,
    ) -> BoxFuture<'_, Result<EndpointAnswer, SendError>> {
        Box::pin(async move {
            self.check_open().map_err(|detail| SendError::NotSent {
                detail: detail.to_owned(),
            })?;
            self.usable = false;
            let answer = tokio::time::timeout(timeout.as_duration(), self.exchange(request)).await;
            let answer = answer.unwrap_or_else(|_| Err(unknown("no answer in time")));
            self.usable = answer.is_ok();
            answer
        })
    }

    fn probe(&mut self, timeout: MilliSpan) -> BoxFuture<'_, Result<(), ProbeError>> {
        Box::pin(async move {
            let failed = |detail: &str| ProbeError {
                detail: detail.to_owned(),
            };
            self.check_open().map_err(failed)?;
            self.usable = false;
            let wait = tokio::time::timeout(timeout.as_duration(), self.wait_if_silent());
            wait.await.map_err(|_| failed("no answer in time"))?;
            self.usable = true;
            Ok(())
        })
    }
}

impl Drop for FakeConnection {
    fn drop(&mut self) {
        self.endpoint.drop_connection();
    }
}

/// Waits until a run of `span` ends, then frees its slot. The run continues and
/// keeps its slot if the caller is dropped, as on a real endpoint.
async fn finish_after(endpoint: FakeEndpoint, span: MilliSpan) {
    if span == MilliSpan::ZERO {
        endpoint.finish();
        return;
    }
    let (done, wait) = oneshot::channel::<()>();
    tokio::spawn(async move {
        tokio::time::sleep(span.as_duration()).await;
        endpoint.finish();
        drop(done);
    });
    let _ = wait.await;
}

fn refusal() -> EndpointAnswer {
    EndpointAnswer {
        status: 503,
        not_run: true,
        body: bytes::Bytes::new(),
    }
}

fn unknown(detail: &str) -> SendError {
    SendError::OutcomeUnknown {
        detail: detail.to_owned(),
    }
}

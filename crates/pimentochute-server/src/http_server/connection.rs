//! One connection of an HTTP server.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::FutureExt as _;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::{Service as _, service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::Watcher;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use viz::{Body, Responder, Tree};

use super::{ServerContext, refusal_answer};
use crate::refusal::{Refusal, RefusalCode};
use crate::settings::HttpSettings;

/// The time after the listener closed in which the first request of a new
/// connection may still arrive.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);

/// The time that a connection over the limit may stay open.
const REFUSING_TIME: Duration = Duration::from_secs(5);

/// What the connections of a server share.
#[derive(Clone)]
pub(super) struct ConnectionFront {
    name: &'static str,
    tree: Arc<Tree>,
    limits: HttpSettings,
    context: ServerContext,
    refuses: bool,
}

impl ConnectionFront {
    pub(super) const fn new(
        name: &'static str,
        tree: Arc<Tree>,
        limits: HttpSettings,
        context: ServerContext,
    ) -> Self {
        Self {
            name,
            tree,
            limits,
            context,
            refuses: false,
        }
    }

    /// Refuses every request, since too many connections are open.
    pub(super) const fn refusing(mut self) -> Self {
        self.refuses = true;
        self
    }

    async fn answer(&self, request: Request<Incoming>, remote: SocketAddr) -> Response<Body> {
        let started = self.context.clock.now();
        let what = format!(
            "{} {} {}",
            self.name,
            request.method(),
            request.uri().path()
        );
        let guard = self.context.gate.enter(what);
        let mut response = if self.refuses {
            self.context.metrics.connection_refused(self.name);
            refusal_answer(&self.full())
        } else {
            self.respond(request, remote).await
        };
        drop(guard);
        if self.refuses || self.context.gate.is_draining() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        let took = self.context.clock.now().since(started);
        let status = response.status().as_u16();
        self.context.metrics.answered(self.name, status, took);
        response
    }

    async fn respond(&self, request: Request<Incoming>, remote: SocketAddr) -> Response<Body> {
        let responder = Responder::new(Arc::clone(&self.tree), Some(remote));
        let call = AssertUnwindSafe(responder.call(request)).catch_unwind();
        match call.await {
            Ok(Ok(response)) if is_unrouted(&response) => refusal_answer(&Refusal::not_found(
                "there is no such page",
                "see docs/api.md for the methods and paths",
            )),
            Ok(Ok(response)) => response,
            Ok(Err(never)) => match never {},
            Err(_) => {
                log::error!("http: {} panicked while answering", self.name);
                let error = "the host failed while it worked on the call";
                let hint = "find out whether it had an effect before repeating it";
                refusal_answer(&Refusal::new(RefusalCode::OutcomeUnknown, error, hint))
            }
        }
    }

    fn full(&self) -> Refusal {
        let error = "too many connections are open";
        let hint = "try again later, or reuse connections";
        Refusal::new(RefusalCode::Overloaded, error, hint)
            .with_retry_after(self.limits.retry_after_ms)
    }

    fn builder(&self) -> Builder<TokioExecutor> {
        let mut builder = Builder::new(TokioExecutor::new()).http1_only();
        let size = usize::try_from(self.limits.max_header_bytes).unwrap_or(usize::MAX);
        let count = usize::try_from(self.limits.max_headers).unwrap_or(usize::MAX);
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_timeout_ms.as_duration())
            .max_buf_size(size)
            .max_headers(count);
        builder
    }
}

/// Tells whether no handler answered; handlers set a content type.
fn is_unrouted(response: &Response<Body>) -> bool {
    response.status() == StatusCode::NOT_FOUND && !response.headers().contains_key(CONTENT_TYPE)
}

/// Serves a connection until it closes.
pub(super) async fn serve_connection(
    front: ConnectionFront,
    stream: TcpStream,
    remote: SocketAddr,
    watcher: Watcher,
    close: CancellationToken,
) {
    // Answers are written whole, so waiting for more data only delays them.
    let _ = stream.set_nodelay(true);
    let metrics = Arc::clone(&front.context.metrics);
    let (name, refuses) = (front.name, front.refuses);
    metrics.connection(name, 1);
    let used = Arc::new(AtomicBool::new(false));
    let builder = front.builder();
    let service = service_fn(|request| {
        used.store(true, Ordering::SeqCst);
        let front = front.clone();
        async move { Ok::<_, Infallible>(front.answer(request, remote).await) }
    });
    let connection = watcher.watch(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        result = connection => if let Err(error) = result {
            log::debug!("http: {name} lost the connection of {remote}: {error}");
        },
        () = unused(&used, refuses, &close) => {}
    }
    metrics.connection(name, -1);
}

/// Ends when the connection is kept open without a request although the
/// server is stopping or the connection is over the limit.
async fn unused(used: &AtomicBool, refuses: bool, close: &CancellationToken) {
    if refuses {
        tokio::time::sleep(REFUSING_TIME).await;
    } else {
        close.cancelled().await;
        tokio::time::sleep(FIRST_REQUEST_TIME).await;
    }
    if used.load(Ordering::SeqCst) && !refuses {
        futures::future::pending::<()>().await;
    }
}

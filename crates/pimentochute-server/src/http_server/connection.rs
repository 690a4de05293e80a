//! Serves one connection of an HTTP server.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::{FutureExt as _, pin_mut};
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use hyper::body::{Body as _, Incoming};
use hyper::service::{Service as _, service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use pimentochute_platform::message_bytes;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use viz::{Body, Responder, Tree};

use super::client_stream::ClientStream;
use super::{ServerContext, refusal_response};
use crate::refusal::{Refusal, RefusalCode};
use crate::settings::HttpSettings;

/// How long open connections still accept a call after the listener closed.
/// On a graceful shutdown, hyper closes an idle connection at once, even if the
/// socket holds an unread call, which would then be lost.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a connection over the limit may stay open.
const REFUSING_TIMEOUT: Duration = Duration::from_secs(5);

/// The listener of connections over the limit, in the ledger of clients.
const REFUSING: &str = "refusing";

/// Handles the calls of a connection.
#[derive(Clone)]
pub(super) struct ConnectionHandler {
    name: &'static str,
    routes: Arc<Tree>,
    limits: HttpSettings,
    context: ServerContext,
    refuses: bool,
}

impl ConnectionHandler {
    pub(super) const fn new(
        name: &'static str,
        routes: Arc<Tree>,
        limits: HttpSettings,
        context: ServerContext,
    ) -> Self {
        Self {
            name,
            routes,
            limits,
            context,
            refuses: false,
        }
    }

    /// Makes the handler refuse every call, since too many connections are
    /// open.
    pub(super) const fn with_refusal(mut self) -> Self {
        self.refuses = true;
        self
    }

    async fn answer(&self, request: Request<Incoming>, remote: SocketAddr) -> Response<Body> {
        let started_at = self.context.clock.now();
        let label = format!(
            "{} {} {}",
            self.name,
            request.method(),
            request.uri().path()
        );
        let call_bytes = body_bytes(request.body());
        let call_bytes = message_bytes(request.headers(), call_bytes + label.len());
        let guard = self.context.drain_state.track_call(label);
        let response = if self.refuses {
            self.context.metrics.count_refused_connection(self.name);
            refusal_response(&self.connection_limit_refusal())
        } else {
            self.respond(request, remote).await
        };
        drop(guard);
        let duration = self.context.clock.now().since(started_at);
        if let Some(link) = &self.context.link {
            let answer_bytes = body_bytes(response.body());
            link.record_answer(call_bytes, message_bytes(response.headers(), answer_bytes));
        }
        let status = response.status().as_u16();
        self.context
            .metrics
            .count_response(self.name, status, duration);
        response
    }

    async fn respond(&self, request: Request<Incoming>, remote: SocketAddr) -> Response<Body> {
        let responder = Responder::new(Arc::clone(&self.routes), Some(remote));
        let call = AssertUnwindSafe(responder.call(request)).catch_unwind();
        match call.await {
            Ok(Ok(response)) if is_unrouted(&response) => refusal_response(&Refusal::not_found(
                "there is no such page",
                "see docs/api.md for the methods and paths",
            )),
            Ok(Ok(response)) => response,
            Ok(Err(never)) => match never {},
            Err(_) => {
                log::error!("http: {} handler panicked", self.name);
                let error = "the host failed while it worked on the call";
                let hint = "find out whether it had an effect before repeating it";
                refusal_response(&Refusal::new(RefusalCode::OutcomeUnknown, error, hint))
            }
        }
    }

    fn connection_limit_refusal(&self) -> Refusal {
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

/// Returns the bytes of a body as far as they are known before it is read.
fn body_bytes(body: &impl hyper::body::Body) -> usize {
    let bytes = body.size_hint().exact().unwrap_or(0);
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

/// Returns whether no route matched. Handlers always set a content type, the
/// router's own 404 response does not.
fn is_unrouted(response: &Response<Body>) -> bool {
    response.status() == StatusCode::NOT_FOUND && !response.headers().contains_key(CONTENT_TYPE)
}

/// Serves a connection until it closes.
pub(super) async fn serve_connection(
    handler: ConnectionHandler,
    stream: TcpStream,
    remote: SocketAddr,
    close: CancellationToken,
) {
    // Responses are written in one piece, so Nagle's algorithm only delays them.
    let _ = stream.set_nodelay(true);
    let metrics = Arc::clone(&handler.context.metrics);
    let (name, refuses) = (handler.name, handler.refuses);
    metrics.change_connections(name, 1);
    let used = Arc::new(AtomicBool::new(false));
    let builder = handler.builder();
    // A connection that only refuses is not closed for a new one, since that frees no slot.
    let client = handler
        .context
        .clients
        .connect(if refuses { REFUSING } else { name });
    let client_close = client.close().clone();
    let stream = ClientStream::new(stream, Arc::clone(&client), &handler.limits);
    let in_head = stream.in_head();
    let service = service_fn(|mut request: Request<Incoming>| {
        used.store(true, Ordering::SeqCst);
        in_head.store(false, Ordering::Relaxed);
        client.start_call(!request.body().is_end_stream());
        request.extensions_mut().insert(Arc::clone(&client));
        let (client, in_head) = (Arc::clone(&client), Arc::clone(&in_head));
        let handler = handler.clone();
        let close = close.clone();
        async move {
            let mut response = handler.answer(request, remote).await;
            if refuses || close.is_cancelled() || handler.context.drain_state.is_draining() {
                let value = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, value);
            }
            client.finish_call();
            in_head.store(true, Ordering::Relaxed);
            Ok::<_, Infallible>(response)
        }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    pin_mut!(connection);
    // After a stall of the process, a call in the socket and the end of the linger
    // timeout are due at once; the call goes first.
    let result = tokio::select! {
        biased;
        result = connection.as_mut() => result,
        () = client_close.cancelled() => Ok(()),
        () = tokio::time::sleep(REFUSING_TIMEOUT), if refuses => Ok(()),
        () = linger_elapsed(&close), if !refuses => {
            connection.as_mut().graceful_shutdown();
            if used.load(Ordering::SeqCst) { connection.await } else { Ok(()) }
        }
    };
    if let Err(error) = result {
        log::debug!("http: {name} connection from {remote} failed: {error}");
    }
    metrics.change_connections(name, -1);
}

/// Waits until the listener is closed and [`LINGER_TIMEOUT`] has passed.
async fn linger_elapsed(close: &CancellationToken) {
    close.cancelled().await;
    tokio::time::sleep(LINGER_TIMEOUT).await;
}

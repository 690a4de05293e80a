//! A client's connection with time limits for heads that trickle and for answers that
//! the client does not read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use super::client_ledger::{ClientConnection, ClientLoss};
use crate::settings::HttpSettings;

/// A stream that fails when its client takes too long.
pub(super) struct ClientStream {
    stream: TcpStream,
    client: Arc<ClientConnection>,
    /// Whether the next bytes belong to the head of a request.
    in_head: Arc<AtomicBool>,
    /// Runs since the first bytes of a head that has not arrived whole.
    head_timer: StallTimer,
    has_started_head: bool,
    /// Runs while the client takes no more bytes.
    write_timer: StallTimer,
}

/// A timer that is only set while something stalls.
struct StallTimer {
    limit: Duration,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl StallTimer {
    const fn new(limit: Duration) -> Self {
        Self { limit, sleep: None }
    }

    /// Starts the timer unless it runs, and returns whether its time is over.
    fn has_expired(&mut self, context: &mut Context<'_>) -> bool {
        let limit = self.limit;
        let timer = self.sleep.get_or_insert_with(|| Box::pin(sleep(limit)));
        timer.as_mut().poll(context).is_ready()
    }
}

impl ClientStream {
    pub(super) fn new(
        stream: TcpStream,
        client: Arc<ClientConnection>,
        limits: &HttpSettings,
    ) -> Self {
        Self {
            stream,
            client,
            in_head: Arc::new(AtomicBool::new(true)),
            head_timer: StallTimer::new(limits.head_timeout_ms.as_duration()),
            has_started_head: false,
            write_timer: StallTimer::new(limits.write_timeout_ms.as_duration()),
        }
    }

    /// Returns the flag by which the server tells whether it waits for a head.
    pub(super) fn in_head(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.in_head)
    }

    /// Fails a write that has been pending for too long.
    fn check_write<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.write_timer.sleep = None;
            return result;
        }
        if !self.write_timer.has_expired(context) {
            return Poll::Pending;
        }
        self.client.record_loss(ClientLoss::AnswerUnread);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let filled = buffer.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(context, buffer);
        if !this.in_head.load(Ordering::Relaxed) {
            this.has_started_head = false;
            this.head_timer.sleep = None;
            return result;
        }
        if result.is_ready() {
            this.has_started_head |= buffer.filled().len() > filled;
            return result;
        }
        if this.has_started_head && this.head_timer.has_expired(context) {
            this.client.record_loss(ClientLoss::HeadLate);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_write(context, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, bytes);
        self.check_write(context, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(context);
        self.check_write(context, result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

//! Stops the daemon gracefully.

use futures::future::{Either, select};
use futures::pin_mut;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::{DaemonError, SIGNAL_QUEUE_LENGTH, StopHooks, StopSignal};
use crate::assembly::DaemonContext;
use crate::{Escalation, HttpServer};

/// The maximum number of interrupted calls that are logged one by one.
const MAX_LOGGED_CALLS: usize = 50;

/// How the daemon ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DaemonEnd {
    /// Every accepted call was answered.
    Clean,
    /// The drain limit or a second signal ended the stop early.
    Interrupted {
        /// The number of calls that were still in flight.
        calls: usize,
    },
}

/// The tokens that a stop cancels, in this order.
#[derive(Default)]
pub(super) struct StopTokens {
    /// Closes the public listener.
    pub(super) public: CancellationToken,
    /// Closes the peer listener.
    pub(super) peer: CancellationToken,
    /// Stops all other children.
    pub(super) all: CancellationToken,
}

/// Returns a channel that receives a [`StopSignal`] for every SIGTERM and SIGINT
/// of the process.
pub(super) fn process_signals() -> std::io::Result<mpsc::Receiver<StopSignal>> {
    let (sender, receiver) = mpsc::channel(SIGNAL_QUEUE_LENGTH);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        loop {
            let arrived = tokio::select! {
                arrived = terminate.recv() => arrived,
                arrived = interrupt.recv() => arrived,
            };
            if arrived.is_none() || sender.send(StopSignal).await.is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}

/// What a graceful stop needs.
pub(super) struct StopSequence<'a> {
    pub(super) context: &'a DaemonContext,
    pub(super) hooks: &'a dyn StopHooks,
    pub(super) public: &'a HttpServer,
    pub(super) peer: &'a HttpServer,
    pub(super) tokens: &'a StopTokens,
}

impl StopSequence<'_> {
    /// Runs the children until a signal arrives, then stops them in order.
    pub(super) async fn run(
        &self,
        running: impl Future<Output = Result<(), Escalation>>,
        mut signals: mpsc::Receiver<StopSignal>,
    ) -> Result<DaemonEnd, DaemonError> {
        pin_mut!(running);
        tokio::select! {
            result = &mut running => return self.finish(result),
            () = next_signal(&mut signals) => {}
        }
        let limit = self.context.settings.drain.drain_limit_ms;
        log::info!("daemon: stopping, drain limit {limit}");
        let cause = tokio::select! {
            // The children end when `stop_in_order` cancels the last token, or
            // when one of them failed too often.
            result = run_alongside(running, self.stop_in_order()) => return self.finish(result),
            () = tokio::time::sleep(limit.as_duration()) => "the drain limit",
            () = next_signal(&mut signals) => "a second signal",
        };
        let calls = self.log_interrupted_calls(cause);
        Ok(DaemonEnd::Interrupted { calls })
    }

    /// Fails readiness, finishes the accepted calls, releases slices and
    /// workers, and stops the children.
    async fn stop_in_order(&self) {
        let context = self.context;
        context.drain_state.start_drain();
        let delay = context.settings.drain.drain_delay_ms;
        log::info!(
            "daemon: readiness check fails from now on, the public listener closes in {delay}"
        );
        tokio::time::sleep(delay.as_duration()).await;
        self.tokens.public.cancel();
        self.public.finished().await;
        log::info!("daemon: every accepted call has its answer");
        self.hooks.release_slices().await;
        self.hooks.release_workers().await;
        log::info!("daemon: slices and workers are released");
        self.tokens.peer.cancel();
        self.peer.finished().await;
        self.tokens.all.cancel();
    }

    fn finish(&self, result: Result<(), Escalation>) -> Result<DaemonEnd, DaemonError> {
        match result {
            Ok(()) => {
                log::info!("daemon: stopped");
                Ok(DaemonEnd::Clean)
            }
            Err(escalation) => {
                self.log_interrupted_calls("a failed child");
                Err(escalation.into())
            }
        }
    }

    /// Logs the calls in flight, which the end of the process interrupts, and
    /// returns their number. The log line calls them "cut"; it is also written
    /// if there are none.
    fn log_interrupted_calls(&self, cause: &str) -> usize {
        let calls = self.context.drain_state.in_flight();
        let now = self.context.clock.now();
        let count = calls.len();
        log::error!("daemon: {cause} ends the process, {count} calls are cut");
        for call in calls.iter().take(MAX_LOGGED_CALLS) {
            let age = now.since(call.started_at);
            log::error!("daemon: cut after {age}: {}", call.label);
        }
        count
    }
}

/// Runs `helper` beside `main` until `main` completes; `helper` is dropped if it
/// has not completed by then.
async fn run_alongside<T>(
    main: impl Future<Output = T> + Unpin,
    helper: impl Future<Output = ()>,
) -> T {
    pin_mut!(helper);
    match select(main, helper).await {
        Either::Left((result, _)) => result,
        Either::Right(((), main)) => main.await,
    }
}

/// Waits for a signal. Never returns once the sender is gone.
async fn next_signal(signals: &mut mpsc::Receiver<StopSignal>) {
    if signals.recv().await.is_none() {
        futures::future::pending::<()>().await;
    }
}

//! Runs the children of the daemon and restarts those that fail.

use std::collections::VecDeque;
use std::error::Error as StdError;
use std::sync::Arc;

use derive_more::{Display, Error};
use futures::future::BoxFuture;
use pimentochute_base::{MilliClock, MilliSpan, MilliTime};
use tokio::task::{JoinError, JoinSet};
use tokio::time::{Duration, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::metrics::Metrics;
use crate::settings::SupervisorSettings;

/// How long the other children may take to end after an escalation.
const ESCALATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Restarts failed children with backoff and gives up when one fails too often.
#[derive(Clone)]
pub struct Supervisor {
    settings: SupervisorSettings,
    clock: MilliClock,
    metrics: Arc<Metrics>,
}

impl Supervisor {
    /// Creates a supervisor without children.
    #[must_use]
    pub fn new(settings: SupervisorSettings, clock: MilliClock, metrics: Arc<Metrics>) -> Self {
        Self {
            settings,
            clock,
            metrics,
        }
    }

    /// Runs the children until `stop` is cancelled and all of them have ended.
    /// Dropping the future aborts them.
    ///
    /// # Errors
    /// Fails if a child failed too often; the others were stopped, or aborted
    /// if they did not end within 5 s.
    pub async fn run(
        self,
        children: Vec<ChildSpec>,
        stop: CancellationToken,
    ) -> Result<(), Escalation> {
        let mut runs = JoinSet::new();
        let mut tokens = vec![stop.clone()];
        for child in children {
            let child_stop = child.stop.clone().unwrap_or_else(|| stop.clone());
            tokens.push(child_stop.clone());
            runs.spawn(self.clone().supervise(child, child_stop));
        }
        while let Some(joined) = runs.join_next().await {
            let Ok(Err(escalation)) = joined else {
                continue;
            };
            log::error!("supervisor: stopping all children: {escalation}");
            tokens.iter().for_each(CancellationToken::cancel);
            let rest = async { while runs.join_next().await.is_some() {} };
            let _ = timeout(ESCALATION_TIMEOUT, rest).await;
            return Err(escalation);
        }
        Ok(())
    }

    async fn supervise(self, child: ChildSpec, stop: CancellationToken) -> Result<(), Escalation> {
        let mut failures = FailureWindow::new(self.settings);
        loop {
            let error = match run_once(&child, &stop).await {
                Ok(()) if stop.is_cancelled() => return Ok(()),
                Ok(()) => ChildError::EndedEarly,
                Err(error) => error,
            };
            if stop.is_cancelled() {
                log::warn!("supervisor: {} failed while stopping: {error}", child.name);
                return Ok(());
            }
            self.metrics.count_child_failure(child.name);
            let Some(wait) = failures.record(self.clock.now()) else {
                return Err(Escalation {
                    child: child.name,
                    failures: failures.failed_at.len(),
                    window: self.settings.failure_window_ms,
                    last: error,
                });
            };
            log::warn!(
                "supervisor: {} failed, restarting in {wait}: {error}",
                child.name
            );
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                () = tokio::time::sleep(wait.as_duration()) => {}
            }
        }
    }
}

/// One run of a child.
pub type ChildFuture = BoxFuture<'static, Result<(), ChildError>>;

/// A supervised part of the daemon, which is restarted when it fails.
///
/// A run has to end soon after its token is cancelled. A run that ends before
/// that counts as failed.
#[derive(Clone)]
pub struct ChildSpec {
    name: &'static str,
    stop: Option<CancellationToken>,
    start: Arc<dyn Fn(CancellationToken) -> ChildFuture + Send + Sync>,
}

impl ChildSpec {
    /// Creates a child; `start` is called for the first run and every restart.
    pub fn new<F, R>(name: &'static str, start: F) -> Self
    where
        F: Fn(CancellationToken) -> R + Send + Sync + 'static,
        R: Future<Output = Result<(), ChildError>> + Send + 'static,
    {
        Self {
            name,
            stop: None,
            start: Arc::new(move |stop| Box::pin(start(stop))),
        }
    }

    /// Gives the child its own token, so that it can be stopped before the
    /// others.
    #[must_use]
    pub fn with_stop(mut self, stop: CancellationToken) -> Self {
        self.stop = Some(stop);
        self
    }
}

/// The reason why a run of a child failed.
#[derive(Debug, Display, Error)]
pub enum ChildError {
    /// The child reported a failure.
    #[display("{source}")]
    Failed {
        /// What the child reported.
        source: Box<dyn StdError + Send + Sync>,
    },
    /// The run panicked.
    #[display("panicked: {detail}")]
    Panicked {
        /// The message of the panic.
        #[error(not(source))]
        detail: String,
    },
    /// The child ended although its token was not cancelled.
    #[display("ended without being asked to")]
    EndedEarly,
}

impl ChildError {
    /// Wraps a failure that the child reports.
    pub fn new(source: impl Into<Box<dyn StdError + Send + Sync>>) -> Self {
        Self::Failed {
            source: source.into(),
        }
    }
}

/// A child failed too often; the process has to end.
#[derive(Debug, Display, Error)]
#[display("{child} failed {failures} times within {window}, the last time: {last}")]
pub struct Escalation {
    /// The name of the child.
    pub child: &'static str,
    /// The number of failures within the window.
    pub failures: usize,
    /// The window in which failures are counted.
    pub window: MilliSpan,
    /// The failure that exceeded the limit.
    #[error(source)]
    pub last: ChildError,
}

async fn run_once(child: &ChildSpec, stop: &CancellationToken) -> Result<(), ChildError> {
    let run = tokio::spawn((child.start)(stop.clone()));
    match AbortOnDropHandle::new(run).await {
        Ok(result) => result,
        Err(error) => Err(ChildError::Panicked {
            detail: panic_detail(error),
        }),
    }
}

fn panic_detail(error: JoinError) -> String {
    let Ok(panic) = error.try_into_panic() else {
        return "the task was aborted".to_owned();
    };
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    text.or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "no message".to_owned())
}

/// The recent failures of one child.
struct FailureWindow {
    settings: SupervisorSettings,
    failed_at: VecDeque<MilliTime>,
}

impl FailureWindow {
    const fn new(settings: SupervisorSettings) -> Self {
        Self {
            settings,
            failed_at: VecDeque::new(),
        }
    }

    /// Records a failure and returns the backoff before the restart, or `None`
    /// if the child failed too often.
    fn record(&mut self, now: MilliTime) -> Option<MilliSpan> {
        let window = self.settings.failure_window_ms;
        self.failed_at.retain(|time| now.since(*time) < window);
        self.failed_at.push_back(now);
        let count = u32::try_from(self.failed_at.len()).unwrap_or(u32::MAX);
        if count > self.settings.max_failures {
            return None;
        }
        let factor = 1_u64.checked_shl(count - 1).unwrap_or(u64::MAX);
        let first = self.settings.backoff_ms.as_millis();
        let wait = first.saturating_mul(factor);
        Some(MilliSpan::new(
            wait.min(self.settings.max_backoff_ms.as_millis()),
        ))
    }
}

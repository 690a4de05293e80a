//! A log output with a bounded queue and a writer thread, which never blocks the
//! threads that log.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use log::{Log, Metadata, Record};

use crate::logging::LoggingError;

/// The maximum number of lines that wait for the writer; further ones are
/// dropped.
const MAX_QUEUED_LINES: usize = 4_096;

/// The delay after a write, in which lines are collected into a batch: writing
/// many lines at once costs little more than writing one.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// How long a flush waits at most, so that the process can end.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The time between two checks of the queue during a flush.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A log output that passes lines to a writer thread through a bounded queue.
/// Lines are dropped while the queue is full; a line with their number follows
/// the next batch.
pub struct BoundedOutput {
    queue: SyncSender<String>,
    dropped: Arc<AtomicU64>,
    /// The number of lines that are queued or being written.
    pending: Arc<AtomicUsize>,
}

impl BoundedOutput {
    /// Starts the writer thread.
    ///
    /// # Errors
    /// Fails if the thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> Result<Self, LoggingError> {
        let (queue, lines) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer_dropped = Arc::clone(&dropped);
        let pending = Arc::new(AtomicUsize::new(0));
        let writer_pending = Arc::clone(&pending);
        let thread = std::thread::Builder::new().name("log writer".to_owned());
        let started =
            thread.spawn(move || write_lines(output, &lines, &writer_dropped, &writer_pending));
        started.map_err(|source| LoggingError::Thread { source })?;
        Ok(Self {
            queue,
            dropped,
            pending,
        })
    }
}

impl Log for BoundedOutput {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        self.pending.fetch_add(1, Ordering::Relaxed);
        if self.queue.try_send(format!("{}\n", record.args())).is_err() {
            self.pending.fetch_sub(1, Ordering::Relaxed);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the lines are written, for at most `FLUSH_TIMEOUT`.
    fn flush(&self) {
        let mut waited = Duration::ZERO;
        while self.pending.load(Ordering::Relaxed) > 0 && waited < FLUSH_TIMEOUT {
            std::thread::sleep(FLUSH_POLL_INTERVAL);
            waited += FLUSH_POLL_INTERVAL;
        }
    }
}

/// Writes lines until the logger is dropped or a write fails.
fn write_lines(
    mut output: impl Write,
    lines: &Receiver<String>,
    dropped: &AtomicU64,
    pending: &AtomicUsize,
) {
    while let Ok(first) = lines.recv() {
        let mut text = first;
        let mut count = 1;
        for line in lines.try_iter() {
            text += &line;
            count += 1;
        }
        let dropped_count = dropped.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            text += &dropped_line(dropped_count);
        }
        if write_text(&mut output, &text).is_err() {
            return;
        }
        pending.fetch_sub(count, Ordering::Relaxed);
        std::thread::sleep(BATCH_DELAY);
    }
}

fn write_text(output: &mut impl Write, text: &str) -> io::Result<()> {
    output.write_all(text.as_bytes())?;
    output.flush()
}

fn dropped_line(count: u64) -> String {
    format!("{{\"component\":\"logging\",\"message\":\"lines were dropped\",\"count\":{count}}}\n")
}

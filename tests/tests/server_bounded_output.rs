//! Tests that log lines never block the process and that dropped ones are
//! counted.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use log::{Level, Log, Record};
use pimentochute_server::BoundedOutput;

/// The number of lines logged to a blocked output; more than the queue holds.
const LINE_COUNT: usize = 20_000;

/// The time limit for logging [`LINE_COUNT`] lines: 50 µs each.
const MAX_LOGGING_TIME: Duration = Duration::from_secs(1);

/// An output that blocks until the test opens its gate.
struct BlockedOutput {
    gate: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
    is_open: bool,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            // Receiving fails once the test has ended.
            self.is_open = self.gate.recv().is_ok();
        }
        self.written
            .lock()
            .expect("lock not poisoned")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked_output() -> (BoundedOutput, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (open, gate) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = BlockedOutput {
        gate,
        written: Arc::clone(&written),
        is_open: false,
    };
    let output = BoundedOutput::start(output).expect("a thread");
    (output, open, written)
}

fn log_line(output: &BoundedOutput, number: usize) {
    let arguments = format_args!("line {number}");
    output.log(&Record::builder().args(arguments).level(Level::Info).build());
}

#[test]
fn blocked_output_does_not_block_logging_and_drops_are_counted() {
    let (output, open, written) = blocked_output();
    let start = Instant::now();
    for number in 0..LINE_COUNT {
        log_line(&output, number);
    }
    assert!(
        start.elapsed() < MAX_LOGGING_TIME,
        "logging blocked on its output"
    );
    open.send(()).expect("the writer is waiting");
    output.flush();
    std::thread::sleep(Duration::from_millis(300));
    log_line(&output, LINE_COUNT);
    output.flush();
    let text = String::from_utf8(written.lock().expect("lock not poisoned").clone()).expect("text");
    let kept = text
        .lines()
        .filter(|line| line.starts_with("line "))
        .count();
    let dropped: usize = text.lines().filter_map(dropped_count).sum();
    assert!(dropped > 0, "no line was dropped");
    assert_eq!(
        kept + dropped,
        LINE_COUNT + 1,
        "lines are missing but not counted"
    );
}

fn dropped_count(line: &str) -> Option<usize> {
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    usize::try_from(value.get("count")?.as_u64()?).ok()
}

#[test]
fn lines_keep_their_order() {
    let (output, open, written) = blocked_output();
    open.send(()).expect("the writer is waiting");
    for number in 0..100 {
        log_line(&output, number);
    }
    output.flush();
    let text = String::from_utf8(written.lock().expect("lock not poisoned").clone()).expect("text");
    let lines: Vec<_> = (0..100).map(|number| format!("line {number}")).collect();
    let expected = lines.join("\n") + "\n";
    assert_eq!(text, expected);
}

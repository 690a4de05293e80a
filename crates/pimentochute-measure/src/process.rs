//! The programs that are measured or play the systems outside.

use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

use crate::BenchResult;

/// The clock ticks of `/proc/PID/stat` in a second on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// The size of a page of memory.
const PAGE_BYTES: f64 = 4_096.0;

/// The longest time until a stand-in listens.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a stand-in and returns it with the JSON line that it prints.
pub async fn start_standin(
    directory: &Path,
    arguments: &[String],
) -> BenchResult<(Child, serde_json::Value)> {
    let mut child = Command::new(directory.join("pimentochute-standin"))
        .args(arguments)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()?;
    let output = child.stdout.take().ok_or("no standard output")?;
    let mut lines = BufReader::new(output).lines();
    let line = timeout(LISTEN_TIMEOUT, lines.next_line()).await??;
    Ok((child, serde_json::from_str(&line.ok_or("no line")?)?))
}

/// Starts a daemon with a settings file.
pub fn start_daemon(directory: &Path, settings: &Path) -> BenchResult<Child> {
    let log = std::fs::File::create(settings.with_extension("log"))?;
    let child = Command::new(directory.join("pimentochute"))
        .args(["serve", "--settings"])
        .arg(settings)
        .stdout(Stdio::null())
        .stderr(log)
        .kill_on_drop(true)
        .spawn()?;
    Ok(child)
}

/// Returns the processor time of a process in seconds.
pub fn cpu_seconds(pid: u32) -> BenchResult<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The second field is the program's name in parentheses.
    let (_, fields) = text.rsplit_once(')').ok_or("malformed stat")?;
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks = ticks.map(str::parse::<f64>).sum::<Result<f64, _>>()?;
    Ok(ticks / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process in bytes.
pub fn resident_bytes(pid: u32) -> BenchResult<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages = text.split_whitespace().nth(1).ok_or("malformed statm")?;
    Ok(pages.parse::<f64>()? * PAGE_BYTES)
}

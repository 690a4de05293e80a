//! Starts the measured programs and the stand-ins, and reads their resource use.

use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

use crate::BenchResult;

/// The number of clock ticks per second in `/proc/PID/stat` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// The size of a memory page, the unit of `/proc/PID/statm`.
const PAGE_BYTES: f64 = 4_096.0;

/// How long a stand-in may take until it listens.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a stand-in and returns it with the JSON line that it prints as soon as
/// it listens.
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
    let output = child
        .stdout
        .take()
        .ok_or("the stand-in has no standard output")?;
    let mut lines = BufReader::new(output).lines();
    let line = timeout(LISTEN_TIMEOUT, lines.next_line()).await??;
    Ok((
        child,
        serde_json::from_str(
            &line.ok_or("the stand-in closed its standard output without a line")?,
        )?,
    ))
}

/// Starts an entry host with a settings file. Its log goes to a file beside it.
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

/// Returns the user and system time of a process, in seconds.
pub fn cpu_seconds(pid: u32) -> BenchResult<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The second field is the program's name in parentheses, which may contain
    // spaces. User and system time are the 14th and 15th fields.
    let (_, fields) = text
        .rsplit_once(')')
        .ok_or_else(|| format!("malformed /proc/{pid}/stat"))?;
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks = ticks.map(str::parse::<f64>).sum::<Result<f64, _>>()?;
    Ok(ticks / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process in bytes.
pub fn resident_bytes(pid: u32) -> BenchResult<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .ok_or_else(|| format!("malformed /proc/{pid}/statm"))?;
    Ok(pages.parse::<f64>()? * PAGE_BYTES)
}

//! One process that is ended in any case.

use std::fs::OpenOptions;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::time::Instant;

use super::{POLL_INTERVAL, wait_until};

/// A process with its output in files; dropping it ends it by SIGKILL.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    output: PathBuf,
}

impl ChildProcess {
    /// Starts a program. Its output goes to `NAME.out` and its log lines to
    /// `NAME.log` in `folder`.
    ///
    /// # Panics
    /// Panics if the program cannot be started.
    #[must_use]
    pub fn spawn(name: &str, mut command: Command, folder: &Path) -> Self {
        let file = |suffix: &str| {
            let path = folder.join(format!("{name}.{suffix}"));
            let file = OpenOptions::new().create(true).append(true).open(path);
            file.expect("output file opens")
        };
        let child = command
            .stdin(Stdio::null())
            .stdout(file("out"))
            .stderr(file("log"))
            .spawn();
        Self {
            name: name.to_owned(),
            child: child.expect("program starts"),
            output: folder.join(format!("{name}.out")),
        }
    }

    /// Returns the name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Waits for the first line of the output.
    ///
    /// # Panics
    /// Panics if the process prints none.
    pub async fn first_line(&mut self) -> String {
        let what = format!("{} prints a line", self.name);
        wait_until(&what, async || {
            let text = std::fs::read_to_string(&self.output).ok()?;
            let (line, _) = text.split_once('\n')?;
            Some(line.to_owned())
        })
        .await
    }

    /// Sends a signal unless the process has ended.
    ///
    /// # Panics
    /// Panics if the signal cannot be sent.
    pub fn signal(&mut self, signal: Signal) {
        // A process that was waited for has given its identifier back.
        if self.try_exit_status().is_none() {
            let id = i32::try_from(self.child.id()).expect("identifiers are positive");
            kill(Pid::from_raw(id), signal).expect("signal is sent");
        }
    }

    /// Ends the process at once, as a crash does.
    ///
    /// # Panics
    /// Panics if the process cannot be ended.
    pub fn kill(&mut self) {
        self.child.kill().expect("process is killed");
        self.child.wait().expect("process is waited for");
    }

    /// Waits for the end of the process; none if it takes longer than `limit`.
    /// A process that a signal ended has 128 plus the signal's number.
    pub async fn wait(&mut self, limit: Duration) -> Option<i32> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.try_exit_status() {
                let by_signal = || status.signal().map(|signal| 128 + signal);
                return status.code().or_else(by_signal);
            }
            if Instant::now() >= deadline {
                return None;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn try_exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("process is waited for")
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Both fail only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

//! One entry host as a process.

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::Value;

use super::child::ChildProcess;
use super::folder::program;
use super::settings::HostAddress;

/// The longest time that a host gets to stop; above its drain limit.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// An entry host, which may run or not.
#[derive(Debug)]
pub struct EntryHost {
    /// Where it is.
    pub address: HostAddress,
    /// None if it does not run.
    process: Option<ChildProcess>,
}

impl EntryHost {
    /// Creates a host that does not run.
    #[must_use]
    pub fn new(address: HostAddress) -> Self {
        Self {
            address,
            process: None,
        }
    }

    /// Tells whether the host was started and neither killed nor waited for.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Starts the host with settings, which are written to `folder`.
    pub(super) fn spawn(&mut self, settings: &Value, folder: &Path) {
        let name = &self.address.name;
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("settings are written");
        let mut command = Command::new(program("pimentochute"));
        command.args(["serve", "--settings"]).arg(path);
        self.process = Some(ChildProcess::spawn(name, command, folder));
    }

    /// Ends the host at once, as a crash does.
    ///
    /// # Panics
    /// Panics if it does not run.
    pub fn kill(&mut self) {
        self.process.take().expect("host runs").kill();
    }

    /// Sends a signal to the host: SIGSTOP and SIGCONT pause it, SIGTERM starts
    /// its planned stop.
    ///
    /// # Panics
    /// Panics if it does not run.
    pub fn signal(&mut self, signal: Signal) {
        self.process.as_mut().expect("host runs").signal(signal);
    }

    /// Waits for the end of the host, which was told to stop, and returns its
    /// exit code.
    ///
    /// # Panics
    /// Panics if it does not end.
    pub async fn wait(&mut self) -> i32 {
        let mut process = self.process.take().expect("host runs");
        process.wait(STOP_TIMEOUT).await.expect("host ends in time")
    }

    /// Returns the log lines of all runs of the host.
    #[must_use]
    pub fn log(&self, folder: &Path) -> String {
        let path = folder.join(format!("{}.log", self.address.name));
        std::fs::read_to_string(path).unwrap_or_default()
    }
}

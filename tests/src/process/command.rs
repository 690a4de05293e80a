//! Runs the commands of operators and callers.

use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::process::Command;

use super::folder::program;

/// The longest time that a command gets.
const COMMAND_TIMEOUT: Duration = Duration::from_mins(1);

/// The commands of one user at one host.
#[derive(Debug, Clone)]
pub struct CommandLine {
    server: SocketAddr,
    key: String,
}

/// How a command ended.
#[derive(Debug, Clone)]
pub struct CommandOutput {
    /// The exit code; docs/operators.md lists them.
    pub code: i32,
    /// The data that it printed; null if that was no JSON.
    pub data: Value,
    /// The errors and remarks that it printed.
    pub stderr: String,
}

impl CommandLine {
    /// Creates the commands of the holder of `key` at a host.
    #[must_use]
    pub fn new(server: SocketAddr, key: &str) -> Self {
        let key = key.to_owned();
        Self { server, key }
    }

    /// Runs a command with `--json`.
    pub async fn run(&self, arguments: &[&str]) -> CommandOutput {
        self.run_with(arguments, b"").await
    }

    /// Runs a command with `--json` and the given standard input.
    ///
    /// # Panics
    /// Panics if the command does not start or does not end.
    pub async fn run_with(&self, arguments: &[&str], input: &[u8]) -> CommandOutput {
        let mut child = Command::new(program("pimentochute"))
            .args(arguments)
            .args(["--json", "--server", &self.server.to_string()])
            .env("PIMENTOCHUTE_KEY", &self.key)
            .env_remove("RUST_BACKTRACE")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("command starts");
        let mut stdin = child.stdin.take().expect("input is a pipe");
        // A command that needs no input may have ended before.
        let _ = stdin.write_all(input).await;
        drop(stdin);
        let ended = tokio::time::timeout(COMMAND_TIMEOUT, child.wait_with_output()).await;
        let output = ended.expect("command ends").expect("output is read");
        CommandOutput {
            code: output.status.code().unwrap_or(-1),
            data: serde_json::from_slice(&output.stdout).unwrap_or(Value::Null),
            stderr: String::from_utf8_lossy(&output.stderr).trim().to_owned(),
        }
    }

    /// Hands in a patch on the standard input.
    pub async fn submit_patch(&self, patch: &Value) -> CommandOutput {
        let text = patch.to_string();
        let arguments = ["config", "patch", "-"];
        self.run_with(&arguments, text.as_bytes()).await
    }

    /// Runs a command that has to succeed.
    ///
    /// # Panics
    /// Panics if the command fails or its data have another form.
    pub async fn expect<T: DeserializeOwned>(&self, arguments: &[&str]) -> T {
        let end = self.run(arguments).await;
        assert_eq!(end.code, 0, "{arguments:?}: {}", end.stderr);
        serde_json::from_value(end.data).expect("data have the expected form")
    }

    /// Runs a command that only reads; none if the host did not answer it.
    pub async fn read<T: DeserializeOwned>(&self, arguments: &[&str]) -> Option<T> {
        let end = self.run(arguments).await;
        (end.code == 0).then(|| serde_json::from_value(end.data).ok())?
    }
}

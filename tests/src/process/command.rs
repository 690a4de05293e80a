//! Runs commands of the `pimentochute` program for operators and callers.

use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::process::Command;

use super::folder::program;

/// How long a command may take.
const COMMAND_TIMEOUT: Duration = Duration::from_mins(1);

/// The command line of one user at one host.
#[derive(Debug, Clone)]
pub struct CommandLine {
    server: SocketAddr,
    key: String,
}

/// The exit code and output of a command.
#[derive(Debug, Clone)]
pub struct CommandOutput {
    /// The exit code; docs/operators.md lists them.
    pub code: i32,
    /// The JSON on its standard output; null if that was not JSON.
    pub data: Value,
    /// Its standard error, without surrounding whitespace.
    pub stderr: String,
}

impl CommandLine {
    /// Creates a command line that calls the host at `server` with `key`.
    #[must_use]
    pub fn new(server: SocketAddr, key: &str) -> Self {
        let key = key.to_owned();
        Self { server, key }
    }

    /// Runs a command with `--json` and empty standard input.
    pub async fn run(&self, arguments: &[&str]) -> CommandOutput {
        self.run_with(arguments, b"").await
    }

    /// Runs a command with `--json` and the given standard input.
    ///
    /// # Panics
    /// Panics if the command cannot be started or does not exit in time.
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
            .expect("command should start");
        let mut stdin = child.stdin.take().expect("standard input should be a pipe");
        // A command that reads no input may already have exited.
        let _ = stdin.write_all(input).await;
        drop(stdin);
        let ended = tokio::time::timeout(COMMAND_TIMEOUT, child.wait_with_output()).await;
        let output = ended
            .expect("command should exit in time")
            .expect("output should be readable");
        CommandOutput {
            code: output.status.code().unwrap_or(-1),
            data: serde_json::from_slice(&output.stdout).unwrap_or(Value::Null),
            stderr: String::from_utf8_lossy(&output.stderr).trim().to_owned(),
        }
    }

    /// Submits a configuration patch on the standard input.
    pub async fn submit_patch(&self, patch: &Value) -> CommandOutput {
        let text = patch.to_string();
        let arguments = ["config", "patch", "-"];
        self.run_with(&arguments, text.as_bytes()).await
    }

    /// Runs a command that must succeed and returns its data.
    ///
    /// # Panics
    /// Panics if the command fails or its data cannot be decoded as `T`.
    pub async fn expect<T: DeserializeOwned>(&self, arguments: &[&str]) -> T {
        let output = self.run(arguments).await;
        assert_eq!(output.code, 0, "{arguments:?}: {}", output.stderr);
        serde_json::from_value(output.data).expect("data should have the expected type")
    }

    /// Runs a read-only command and returns its data; `None` if the command fails
    /// or its data cannot be decoded as `T`.
    pub async fn read<T: DeserializeOwned>(&self, arguments: &[&str]) -> Option<T> {
        let output = self.run(arguments).await;
        (output.code == 0).then(|| serde_json::from_value(output.data).ok())?
    }
}

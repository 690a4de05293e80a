//! Runs the built `pimentochute` program.

use std::path::PathBuf;
use std::process::Output;
use std::time::Duration;

use serde_json::Value;
use tokio::process::Command;
use tokio::time::timeout;

/// The time after which a run of the program counts as hung.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The result of a run of the program.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Run {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

/// Returns the path of the program in the target folder of this test; `cargo
/// build --workspace` builds it.
pub fn program() -> PathBuf {
    let test = std::env::current_exe().expect("path of the test");
    let folder = test
        .parent()
        .and_then(|deps| deps.parent())
        .expect("target folder");
    let program = folder.join("pimentochute");
    assert!(program.exists(), "build the workspace before the tests");
    program
}

/// Runs the program with a key and arguments.
pub async fn run(key: Option<&str>, arguments: &[&str]) -> Run {
    let mut command = Command::new(program());
    command
        .args(arguments)
        .env("USER", "tester")
        .kill_on_drop(true);
    match key {
        Some(key) => command.env("PIMENTOCHUTE_KEY", key),
        None => command.env_remove("PIMENTOCHUTE_KEY"),
    };
    let output = timeout(TEST_TIMEOUT, command.output()).await;
    let Output {
        status,
        stdout,
        stderr,
    } = output.expect("ends").expect("starts");
    Run {
        code: status.code().expect("exit code"),
        stdout: String::from_utf8_lossy(&stdout).into_owned(),
        stderr: String::from_utf8_lossy(&stderr).into_owned(),
    }
}

//! Tests of `check`, `serve`, wrong usage and help texts.

mod server_support;

use std::fs;
use std::path::{Path, PathBuf};

use serde_json::json;
use server_support::program::run;
use server_support::{PEER_KEY, settings_json};
use test_case::test_case;
use tokio::net::TcpListener;

/// A file that is removed at the end of the test.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, content: &[u8]) -> Self {
        let name = format!("pimentochute-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, content).expect("write a temporary file");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("path in UTF-8")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

fn assert_one_line_with_hint(text: &str) {
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(
        text.starts_with("pimentochute: ") && text.contains("; hint: "),
        "{text}"
    );
}

#[test_case("lindqvist")]
#[test_case("cascade")]
#[tokio::test]
async fn example_settings_pass(fleet: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    let path = root.join(fleet).join("settings.json");
    let run = run(
        None,
        &["check", "--settings", path.to_str().expect("path in UTF-8")],
    )
    .await;
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.stdout.starts_with("valid: host "), "{run:?}");
}

/// Guards against a check that stops at the first fault, so that operators find
/// them one by one. The secret must not be printed.
#[tokio::test]
async fn check_prints_each_fault_on_its_own_line() {
    let mut value = settings_json();
    value["host"] = json!(7);
    value["drain"] = json!({"drain_limit_ms": 5, "drian": 1});
    value["peer_key"] = json!("short-secret");
    let file = TempFile::new("faults.json", value.to_string().as_bytes());
    let run = run(None, &["check", "--settings", file.path()]).await;
    assert_eq!(run.code, 2);
    let lines: Vec<&str> = run.stderr.lines().collect();
    assert!(lines[0].contains("4 faults; hint: "), "{run:?}");
    for fault in [
        "  host: found 7, allowed: a string",
        "  drain.drain_limit_ms: found 5, allowed: 100 to 3600000",
        "  peer_key: found 12 bytes, allowed: at least 32 random bytes",
    ] {
        assert!(lines.contains(&fault), "{fault} in {run:?}");
    }
    assert!(
        run.stderr
            .contains("  drain.drian: found 1, allowed: no such field"),
        "{run:?}"
    );
    assert!(!run.stderr.contains("short-secret"), "{run:?}");
}

#[test_case(b"", "the settings are empty" ; "empty")]
#[test_case(b"{\"host\": ", "the settings are not JSON" ; "cut off")]
#[test_case(b"\xff\x00\x01", "the settings are not JSON" ; "bytes")]
#[tokio::test]
async fn invalid_settings_are_reported(content: &[u8], message: &str) {
    let file = TempFile::new(&format!("broken-{}.json", content.len()), content);
    let run = run(None, &["check", "--settings", file.path()]).await;
    assert_eq!(run.code, 2);
    assert_one_line_with_hint(&run.stderr);
    assert!(run.stderr.contains(message), "{run:?}");
}

#[tokio::test]
async fn missing_settings_file_is_reported() {
    for command in ["check", "serve"] {
        let run = run(None, &[command, "--settings", "/no/such/file.json"]).await;
        assert_eq!(run.code, 2);
        assert_one_line_with_hint(&run.stderr);
        assert!(
            run.stderr.contains("/no/such/file.json cannot be read"),
            "{run:?}"
        );
    }
}

/// Guards against a daemon that starts although its address is in use, and
/// against a peer key in its log lines.
#[tokio::test]
async fn serve_reports_an_address_in_use() {
    let other = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind to a free port");
    let address = other.local_addr().expect("local address").to_string();
    let mut value = settings_json();
    value["listen"]["public"] = json!(address);
    value["logging"] = json!({"level": "trace"});
    let file = TempFile::new("used.json", value.to_string().as_bytes());
    let run = run(None, &["serve", "--settings", file.path()]).await;
    assert_eq!(run.code, 1, "{run:?}");
    assert!(
        run.stderr.contains(&format!("cannot use {address}")),
        "{run:?}"
    );
    assert!(!run.stderr.contains(PEER_KEY), "{run:?}");
}

#[test_case(&[] ; "no command")]
#[test_case(&["frobnicate"] ; "unknown command")]
#[test_case(&["team"] ; "no subcommand")]
#[test_case(&["team", "frobnicate"] ; "unknown subcommand")]
#[test_case(&["check"] ; "missing flag")]
#[test_case(&["check", "--settings", "a", "--frob"] ; "unknown flag")]
#[test_case(&["team", "list"] ; "no server")]
#[test_case(&["team", "list", "--server", "nowhere"] ; "server without port")]
#[test_case(&["team", "remove", "a b", "--server", "127.0.0.1:1"] ; "bad name")]
#[test_case(&["job", "status", "xyz", "--server", "127.0.0.1:1"] ; "bad job id")]
#[test_case(&["status", "--server", "127.0.0.1:1", "--key-file", "/no/such/file"] ; "no key file")]
#[test_case(&["config", "patch", "/no/such/file", "--server", "127.0.0.1:1"] ; "no patch file")]
#[tokio::test]
async fn wrong_usage_prints_one_line(arguments: &[&str]) {
    let run = run(None, arguments).await;
    assert_eq!(run.code, 2, "{run:?}");
    assert!(run.stdout.is_empty());
    assert_one_line_with_hint(&run.stderr);
}

#[test_case(&["--help"] ; "program")]
#[test_case(&["serve", "--help"] ; "serve")]
#[test_case(&["check", "--help"] ; "check")]
#[test_case(&["config", "--help"] ; "config")]
#[test_case(&["config", "show", "--help"] ; "config show")]
#[test_case(&["team", "set", "--help"] ; "team set")]
#[test_case(&["key", "grant", "--help"] ; "key grant")]
#[test_case(&["queue", "--help"] ; "queue")]
#[test_case(&["status", "--help"] ; "status")]
#[test_case(&["request", "send", "--help"] ; "request send")]
#[test_case(&["job", "submit", "--help"] ; "job submit")]
#[tokio::test]
async fn every_command_has_help(arguments: &[&str]) {
    let run = run(None, arguments).await;
    assert_eq!(run.code, 0, "{run:?}");
    let words = arguments.iter().filter(|word| !word.starts_with('-'));
    assert!(
        words.into_iter().all(|word| run.stdout.contains(word)),
        "{run:?}"
    );
}

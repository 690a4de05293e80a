//! Tests of `trace`, and of `edge` with invalid or missing settings.

mod server_support;

use std::fs;
use std::path::PathBuf;

use server_support::program::run;

struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, content: &str) -> Self {
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
        if let Err(error) = fs::remove_file(&self.0) {
            eprintln!("cannot remove a temporary file: {error}");
        }
    }
}

const OWNER_LOG: &str = r#"{"time":"2026-12-04T07:00:02.000Z","level":"INFO","component":"cell","message":"a job is completed","job":"00000000000000aa"}
{"time":"2026-12-04T07:00:01.500Z","level":"INFO","component":"cell","message":"a run starts","task":"00000000000000aa.0.0.0","run":1}
{"time":"2026-12-04T07:00:01.600Z","level":"INFO","component":"cell","message":"a run starts","task":"00000000000000bb.0.0.0","run":1}
not a line of ours about 00000000000000aa
"#;

const HOST_LOG: &str = r#"  1.2 host-2 {"time":"2026-12-04T07:00:01.000Z","level":"INFO","component":"front","message":"a job is accepted","job":"00000000000000aa","took":"5 ms"}
"#;

#[tokio::test]
async fn trace_orders_the_lines_of_all_hosts_by_time() {
    let owner = TempFile::new("owner.log", OWNER_LOG);
    let host = TempFile::new("host.log", HOST_LOG);
    let output = run(
        None,
        &["trace", "00000000000000aa", owner.path(), host.path()],
    )
    .await;
    assert_eq!(output.code, 0, "{}", output.stderr);
    let messages: Vec<_> = output.stdout.lines().collect();
    assert_eq!(messages.len(), 3);
    assert!(messages[0].contains("a job is accepted") && messages[0].contains("took=5 ms"));
    assert!(messages[1].contains("a run starts") && messages[1].contains("run=1"));
    assert!(messages[2].contains("a job is completed"));
}

#[tokio::test]
async fn trace_reports_an_unknown_id() {
    let owner = TempFile::new("none.log", OWNER_LOG);
    let output = run(None, &["trace", "00000000000000cc", owner.path()]).await;
    assert_eq!(output.code, 2, "{}", output.stdout);
    assert!(output.stderr.contains("00000000000000cc"));
}

#[tokio::test]
async fn edge_reports_an_invalid_setting() {
    let file = TempFile::new(
        "edge.json",
        r#"{"host":"h","data_centre":"d","address":"nowhere"}"#,
    );
    let output = run(None, &["edge", "--settings", file.path()]).await;
    assert_eq!(output.code, 2, "{}", output.stdout);
    assert!(output.stderr.contains("address"), "{}", output.stderr);
}

#[tokio::test]
async fn edge_without_settings_is_wrong_usage() {
    let output = run(None, &["edge"]).await;
    assert_eq!(output.code, 2, "{}", output.stdout);
}

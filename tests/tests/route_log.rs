//! Tests of the log lines of routing decisions.

mod route_support;

use std::sync::Mutex;

use log::{LevelFilter, Log, Metadata, Record};
use pimentochute_route::RouterSettings;
use route_support::{Reaction, TestHost, request};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct LineLog;

impl Log for LineLog {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        LINES
            .lock()
            .expect("lock must not be poisoned")
            .push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Guards against routing decisions that are missing from the log: where a
/// request was sent and why, and why it ended. A line break in a request id
/// must not start a new line.
#[tokio::test(start_paused = true)]
async fn each_decision_has_one_line() {
    log::set_logger(&LineLog).expect("no other logger");
    log::set_max_level(LevelFilter::Info);
    let host = TestHost::new(RouterSettings::default(), 2, 1);
    host.network
        .with_endpoint(0, |e| e.script.push_back(Reaction::LostBeforeRun));
    host.network
        .with_endpoint(1, |e| e.script.push_back(Reaction::LostBeforeRun));
    // Both slots stay held for the deadline of 1 s plus the margin.
    let ended = host.route(request("r\n1", "a", true, 1000)).await;
    ended.expect_err("no slot must be free in time");
    host.route(request("r2", "b", true, 1000))
        .await
        .expect_err("team must have no permits");
    let lines = LINES.lock().expect("lock must not be poisoned");
    assert_eq!(lines.len(), 6, "{lines:#?}");
    for line in lines.iter() {
        assert!(line.starts_with("router: request "), "{line}");
        assert!(
            line.contains("of team ") && line.contains("for service price"),
            "{line}"
        );
        let reason = if line.contains(": ended with ") {
            "; last step: "
        } else {
            "because"
        };
        assert!(line.contains(reason) && !line.contains('\n'), "{line}");
    }
    assert!(
        lines[2].contains("sending attempt 2 to endpoint e1"),
        "{lines:#?}"
    );
    assert!(lines[5].contains("ended with overloaded"), "{lines:#?}");
}

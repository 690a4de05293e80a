//! Tests of the format of log lines.

use std::sync::mpsc::channel;

use log::{Level, Log, Record};
use pimentochute_base::{MilliClock, MilliTime};
use pimentochute_server::log_dispatch;
use pimentochute_server::settings::{LogFormat, LogLevel, LoggingSettings};
use serde_json::{Value, json};

/// Returns the output for a message; empty if it is not logged.
fn lines_of(format: LogFormat, level: Level, message: &str) -> String {
    let (sender, receiver) = channel();
    let clock = MilliClock::manual(MilliTime::new(1_764_824_400_250));
    let settings = LoggingSettings {
        format,
        level: LogLevel::Info,
    };
    let (_, logger) = log_dispatch(settings, &clock).chain(sender).into_log();
    let arguments = format_args!("{message}");
    logger.log(&Record::builder().level(level).args(arguments).build());
    drop(logger);
    receiver.try_iter().collect()
}

#[test]
fn text_line_has_time_level_and_message() {
    let line = lines_of(LogFormat::Text, Level::Warn, "router: endpoint e1 is slow");
    assert_eq!(
        line,
        "2025-12-04T05:00:00.250Z WARN  router: endpoint e1 is slow\n"
    );
}

#[test]
fn json_line_names_the_component() {
    let line = lines_of(LogFormat::Json, Level::Info, "router: sent \"x\" to e1");
    let value: Value = serde_json::from_str(&line).expect("JSON line");
    let expected = json!({
        "time": "2025-12-04T05:00:00.250Z", "level": "INFO",
        "component": "router", "message": "sent \"x\" to e1",
    });
    assert_eq!(value, expected);
}

/// Guards against log lines that a caller forges with a line break in its input.
#[test]
fn control_characters_do_not_start_a_line() {
    let line = lines_of(
        LogFormat::Text,
        Level::Info,
        "http: id a\nERROR forged\u{1b}[0m",
    );
    assert_eq!(line.lines().count(), 1);
    assert!(!line.contains('\u{1b}'));
}

#[test]
fn level_below_the_settings_is_left_out() {
    assert!(lines_of(LogFormat::Text, Level::Debug, "router: detail").is_empty());
}

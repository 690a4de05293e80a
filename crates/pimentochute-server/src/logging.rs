//! Sets up logging and formats log lines as text or JSON.

use std::fmt::Arguments;
use std::io;
use std::num::NonZeroU8;

use derive_more::{Display, Error};
use fern::{Dispatch, FormatCallback};
use log::kv::{Error as FieldError, Key, VisitSource};
use log::{LevelFilter, Log, Record, SetLoggerError};
use pimentochute_base::{MilliClock, MilliTime};
use serde::Serialize;
use serde_json::{Map, Value};
use time::OffsetDateTime;
use time::format_description::well_known::Iso8601;
use time::format_description::well_known::iso8601::{Config, EncodedConfig, TimePrecision};

use crate::bounded_output::BoundedOutput;
use crate::settings::{LogFormat, LogLevel, LoggingSettings};

/// The component of a line whose message has no prefix.
const DEFAULT_COMPONENT: &str = "daemon";

/// The maximum length of a component name; a longer prefix belongs to the
/// message.
const MAX_COMPONENT_BYTES: usize = 24;

/// Directs all log lines of the process to the standard error stream.
///
/// # Errors
/// Fails if the process already has a logger.
pub fn start_stderr_logging(
    settings: LoggingSettings,
    clock: &MilliClock,
) -> Result<(), LoggingError> {
    let dispatch = log_dispatch(settings, clock).chain(io::stderr());
    dispatch
        .apply()
        .map_err(|source| LoggingError::AlreadySet { source })
}

/// Directs all log lines of the process to the standard output without ever
/// blocking on it: lines that its reader does not read in time are dropped and
/// counted.
///
/// # Errors
/// Fails if the process already has a logger or the writer thread cannot be
/// started.
pub fn start_stdout_logging(
    settings: LoggingSettings,
    clock: &MilliClock,
) -> Result<(), LoggingError> {
    let output = BoundedOutput::start(io::stdout())?;
    let dispatch = log_dispatch(settings, clock).chain(Box::new(output) as Box<dyn Log>);
    dispatch
        .apply()
        .map_err(|source| LoggingError::AlreadySet { source })
}

/// Returns a dispatch that filters and formats lines but has no output yet.
pub fn log_dispatch(settings: LoggingSettings, clock: &MilliClock) -> Dispatch {
    let clock = clock.clone();
    let format = settings.format;
    Dispatch::new()
        .level(filter_of(settings.level))
        .format(move |out, message, record| {
            write_line(out, format, clock.unix_now(), message, record);
        })
}

fn write_line(
    out: FormatCallback<'_>,
    format: LogFormat,
    now: MilliTime,
    message: &Arguments<'_>,
    record: &Record<'_>,
) {
    let text = one_line(&message.to_string());
    let time = format_time(now);
    let fields = fields_of(record);
    match format {
        LogFormat::Text => {
            let fields = text_fields(&fields);
            out.finish(format_args!("{time} {:5} {text}{fields}", record.level()));
        }
        LogFormat::Json => {
            let (component, message) = split_component(&text);
            let line = JsonLine {
                time: &time,
                level: record.level().as_str(),
                component,
                message,
                fields,
            };
            let line = serde_json::to_string(&line).unwrap_or_default();
            out.finish(format_args!("{line}"));
        }
    }
}

/// One line in JSON form.
#[derive(Serialize)]
struct JsonLine<'a> {
    time: &'a str,
    level: &'a str,
    component: &'a str,
    message: &'a str,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

/// Collects the key-value fields of a line. Unsigned integers and booleans keep
/// their type; other values become text.
#[derive(Default)]
struct FieldVisitor {
    fields: Map<String, Value>,
}

impl<'kvs> VisitSource<'kvs> for FieldVisitor {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), FieldError> {
        let number = value.to_u64().map(Value::from);
        let field = number.or_else(|| value.to_bool().map(Value::from));
        let field = field.unwrap_or_else(|| Value::from(one_line(&value.to_string())));
        self.fields.insert(key.to_string(), field);
        Ok(())
    }
}

fn fields_of(record: &Record<'_>) -> Map<String, Value> {
    let mut visitor = FieldVisitor::default();
    // The visitor itself never fails.
    if record.key_values().visit(&mut visitor).is_err() {
        visitor
            .fields
            .insert("fields".to_owned(), Value::from("incomplete"));
    }
    visitor.fields
}

/// Formats each field as ` key=value`.
fn text_fields(fields: &Map<String, Value>) -> String {
    let texts = fields.iter().map(|(key, value)| match value {
        Value::String(text) => format!(" {key}={text}"),
        other => format!(" {key}={other}"),
    });
    texts.collect()
}

/// Replaces control characters, so that input from callers cannot forge log
/// lines.
fn one_line(text: &str) -> String {
    text.replace(char::is_control, " ")
}

/// Splits a message such as `router: text` into component and text.
fn split_component(text: &str) -> (&str, &str) {
    match text.split_once(": ") {
        Some((component, rest))
            if component.len() <= MAX_COMPONENT_BYTES && !component.contains(' ') =>
        {
            (component, rest)
        }
        _ => (DEFAULT_COMPONENT, text),
    }
}

/// Always uses three fractional digits, so that lines stay aligned.
const TIME_FORMAT: EncodedConfig = Config::DEFAULT
    .set_time_precision(TimePrecision::Second {
        decimal_digits: NonZeroU8::new(3),
    })
    .encode();

/// Formats a wall-clock time as RFC 3339 in UTC, with milliseconds.
fn format_time(now: MilliTime) -> String {
    let nanos = i128::from(now.as_millis()) * 1_000_000;
    let time = OffsetDateTime::from_unix_timestamp_nanos(nanos);
    let text = time
        .ok()
        .and_then(|time| time.format(&Iso8601::<TIME_FORMAT>).ok());
    text.unwrap_or_else(|| now.to_string())
}

const fn filter_of(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

/// Logging cannot be set up.
#[derive(Debug, Display, Error)]
pub enum LoggingError {
    /// The process already has a logger.
    #[display("logging cannot start: {source}")]
    AlreadySet {
        /// What the logger reported.
        source: SetLoggerError,
    },
    /// The thread that writes lines cannot be started.
    #[display("the thread that writes log lines cannot be started: {source}")]
    Thread {
        /// What the system reported.
        source: io::Error,
    },
}

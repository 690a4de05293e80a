//! `trace`: collects the log lines about a job, a task or a worker. If no line
//! matches, it fails with [`CliError::InvalidFile`] for the first file.

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use super::{parse_flags, read_input};
use crate::exit::{CliError, ExitStatus};
use crate::flags::trace::Trace;
use crate::output::print_line;

/// The fields that every log line has; the others describe the decision.
const COMMON_FIELDS: [&str; 4] = ["time", "level", "component", "message"];

/// A parsed log line.
struct TraceLine {
    /// The text before the JSON object, such as the name of the host.
    source: String,
    fields: Map<String, Value>,
}

pub fn run(arguments: Vec<OsString>) -> Result<ExitStatus, CliError> {
    let flags = parse_flags!(Trace::from_vec(arguments));
    let mut files = flags.file;
    if files.is_empty() {
        files.push(PathBuf::from("-"));
    }
    let mut lines = Vec::new();
    for file in &files {
        lines.extend(matching_lines(file, &flags.id)?);
    }
    lines.sort_by(|one, other| one.field("time").cmp(other.field("time")));
    for line in &lines {
        print_line(&if flags.json {
            line.to_json()
        } else {
            line.to_text()
        })?;
    }
    if lines.is_empty() {
        return Err(CliError::InvalidFile {
            path: files.remove(0),
            detail: format!("no line contains {}", flags.id),
        });
    }
    Ok(ExitStatus::Success)
}

fn matching_lines(file: &Path, id: &str) -> Result<Vec<TraceLine>, CliError> {
    let content = read_input(file)?;
    let text = String::from_utf8_lossy(&content);
    let lines = text.lines().filter(|line| line.contains(id));
    Ok(lines.filter_map(TraceLine::parse).collect())
}

impl TraceLine {
    /// Parses a log line; returns `None` if it contains no JSON object.
    fn parse(line: &str) -> Option<Self> {
        let (source, object) = line.split_at(line.find('{')?);
        Some(Self {
            source: source.trim().to_owned(),
            fields: serde_json::from_str(object).ok()?,
        })
    }

    fn field(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("-")
    }

    fn to_text(&self) -> String {
        let details = self.fields.iter();
        let details = details.filter(|(key, _)| !COMMON_FIELDS.contains(&key.as_str()));
        let details = details.map(|(key, value)| match value {
            Value::String(text) => format!(" {key}={text}"),
            other => format!(" {key}={other}"),
        });
        format!(
            "{} {} {}: {}{}",
            self.field("time"),
            self.source,
            self.field("component"),
            self.field("message"),
            details.collect::<String>()
        )
    }

    fn to_json(&self) -> String {
        let mut fields = self.fields.clone();
        fields.insert("source".to_owned(), Value::from(self.source.clone()));
        Value::Object(fields).to_string()
    }
}

//! Writes data to standard output, and errors and notices to standard error.

use std::io::{self, Write as _};

use serde::Serialize;

use crate::exit::CliError;

/// Prints an error on one line, followed by one line for each faulty setting.
pub fn print_error(error: &CliError) {
    let mut stderr = io::stderr().lock();
    let _ = writeln!(stderr, "pimentochute: {}", one_line(&error.to_string()));
    for fault in error.settings_faults() {
        let _ = writeln!(stderr, "  {}", one_line(&fault.to_string()));
    }
}

/// Prints a message that is not part of the data to standard error.
pub fn print_notice(text: &str) {
    let _ = writeln!(io::stderr().lock(), "{text}");
}

/// Prints a line of data.
pub fn print_line(text: &str) -> Result<(), CliError> {
    print_bytes(format!("{text}\n").as_bytes())
}

/// Writes bytes unchanged to standard output.
pub fn print_bytes(bytes: &[u8]) -> Result<(), CliError> {
    let mut stdout = io::stdout().lock();
    let written = stdout.write_all(bytes).and_then(|()| stdout.flush());
    written.map_err(|error| CliError::System {
        what: "writing the output",
        detail: error.to_string(),
    })
}

/// Prints a value as indented JSON.
pub fn print_json<T: Serialize>(value: &T) -> Result<(), CliError> {
    let text = serde_json::to_string_pretty(value).map_err(|error| CliError::System {
        what: "writing JSON",
        detail: error.to_string(),
    })?;
    print_line(&text)
}

/// Prints rows in aligned columns under a heading.
pub fn print_table(heading: &[&str], rows: &[Vec<String>]) -> Result<(), CliError> {
    let heading: Vec<String> = heading.iter().map(ToString::to_string).collect();
    let mut widths: Vec<usize> = heading.iter().map(String::len).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = format_row(&heading, &widths);
    for row in rows {
        text.push_str(&format_row(row, &widths));
    }
    print_bytes(text.as_bytes())
}

fn format_row(cells: &[String], widths: &[usize]) -> String {
    let padded: Vec<String> = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    format!("{}\n", padded.join("  ").trim_end())
}

fn one_line(text: &str) -> String {
    text.replace(char::is_control, " ")
}

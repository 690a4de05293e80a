//! Runs the command that the command line names.

mod config;
mod host;
mod job;
mod key;
mod patch;
mod queue;
mod request;
mod run;
mod team;
mod trace;

use std::ffi::OsString;
use std::fs;
use std::io::{self, Read as _};
use std::path::Path;

use tokio::runtime::{Builder, Runtime};

use crate::exit::{CliError, ExitStatus};
use crate::flags::OVERVIEW;
use crate::output::print_bytes;

/// Runs the command that the first argument names.
pub fn run(arguments: Vec<OsString>) -> Result<ExitStatus, CliError> {
    let name = arguments.first().and_then(|name| name.to_str());
    match name {
        Some("serve" | "edge" | "check") => run::run(arguments),
        Some("config") => config::run(subcommand_arguments(arguments)),
        Some("team") => team::run(subcommand_arguments(arguments)),
        Some("key") => key::run(subcommand_arguments(arguments)),
        Some("queue") => queue::run(subcommand_arguments(arguments)),
        Some("status" | "workers" | "endpoints") => host::run(arguments),
        Some("trace") => trace::run(subcommand_arguments(arguments)),
        Some("request") => request::run(subcommand_arguments(arguments)),
        Some("job") => job::run(subcommand_arguments(arguments)),
        Some("help" | "--help" | "-h") => {
            print_bytes(OVERVIEW.as_bytes())?;
            Ok(ExitStatus::Success)
        }
        Some(other) => Err(CliError::usage(
            format!("there is no command {other:?}"),
            "see pimentochute --help",
        )),
        None => Err(CliError::usage(
            "a command is missing",
            "see pimentochute --help",
        )),
    }
}

fn subcommand_arguments(mut arguments: Vec<OsString>) -> Vec<OsString> {
    arguments.remove(0);
    arguments
}

/// Unwraps parsed flags. If `--help` is given, prints the help text and returns
/// success from the calling function.
macro_rules! parse_flags {
    ($result:expr) => {
        match $result {
            Ok(flags) => flags,
            Err(error) if error.is_help() => {
                crate::output::print_line(&error.to_string())?;
                return Ok(crate::exit::ExitStatus::Success);
            }
            Err(error) => {
                // Some parser messages contain a hint of their own; keep one
                // hint per line.
                let text = error.to_string().replace("; hint: ", ", ");
                let hint = "add --help to the command";
                return Err(crate::exit::CliError::usage(text, hint));
            }
        }
    };
}

use parse_flags;

/// Creates the single-threaded runtime of a command that calls a host.
fn client_runtime() -> Result<Runtime, CliError> {
    let built = Builder::new_current_thread().enable_all().build();
    built.map_err(|error| CliError::System {
        what: "starting the runtime",
        detail: error.to_string(),
    })
}

/// Reads a file, or standard input if the path is `-`.
fn read_input(path: &Path) -> Result<Vec<u8>, CliError> {
    let read = if path.as_os_str() == "-" {
        let mut content = Vec::new();
        let read = io::stdin().lock().read_to_end(&mut content);
        read.map(|_| content)
    } else {
        fs::read(path)
    };
    read.map_err(|source| CliError::UnreadableFile {
        path: path.to_owned(),
        source,
    })
}

/// Returns `N` random bytes as hexadecimal digits.
fn random_hex<const N: usize>() -> Result<String, CliError> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).map_err(|error| CliError::System {
        what: "reading random bytes",
        detail: error.to_string(),
    })?;
    let digits = bytes.iter().flat_map(|byte| [byte >> 4, byte & 0xf]);
    Ok(digits
        .filter_map(|digit| char::from_digit(digit.into(), 16))
        .collect())
}

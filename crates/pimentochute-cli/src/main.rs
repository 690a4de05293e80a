//! The `pimentochute` program: the daemon of an entry host, and the commands
//! for operators and callers.

mod api_client;
mod commands;
mod exit;
mod flags;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    match commands::run(arguments) {
        Ok(code) => code.into(),
        Err(error) => {
            output::print_error(&error);
            error.exit_code().into()
        }
    }
}

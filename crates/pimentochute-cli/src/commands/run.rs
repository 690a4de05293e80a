//! `serve` and `check`.

use std::ffi::OsString;
use std::fs;
use std::path::{Path, PathBuf};

use pimentochute_base::MilliClock;
use pimentochute_server::settings::{Settings, check_settings};
use pimentochute_server::{DaemonEnd, start_logging};
use tokio::runtime::Builder;

use super::parsed;
use crate::exit::{CliError, ExitStatus};
use crate::flags::run::{Pimentochute, PimentochuteCmd};
use crate::output::print_line;

pub fn run(arguments: Vec<OsString>) -> Result<ExitStatus, CliError> {
    match parsed!(Pimentochute::from_vec(arguments)).subcommand {
        PimentochuteCmd::Serve(flags) => serve(&flags.settings),
        PimentochuteCmd::Check(flags) => check(&flags.settings),
    }
}

fn check(path: &Path) -> Result<ExitStatus, CliError> {
    let settings = read_settings(path)?;
    print_line(&format!(
        "valid: host {} of data centre {}, {} data centres, {} entry hosts",
        settings.host,
        settings.data_centre,
        settings.data_centres.len(),
        settings
            .data_centres
            .iter()
            .map(|centre| centre.entry_hosts.len())
            .sum::<usize>(),
    ))?;
    Ok(ExitStatus::Success)
}

fn serve(path: &Path) -> Result<ExitStatus, CliError> {
    let settings = read_settings(path)?;
    let logging = start_logging(settings.logging, &MilliClock::system());
    logging.map_err(|source| CliError::Logging { source })?;
    let runtime = Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|error| CliError::System {
        what: "starting the runtime",
        detail: error.to_string(),
    })?;
    let end = runtime.block_on(pimentochute_server::run(settings));
    // Work that a stop has cut must not hold the process.
    runtime.shutdown_background();
    match end.map_err(|source| CliError::Daemon { source })? {
        DaemonEnd::Clean => Ok(ExitStatus::Success),
        DaemonEnd::Cut { .. } => Ok(ExitStatus::Cut),
    }
}

fn read_settings(path: &Path) -> Result<Settings, CliError> {
    let text = fs::read(path).map_err(|source| CliError::File {
        path: path.to_owned(),
        source,
    })?;
    let path = PathBuf::from(path);
    check_settings(&text).map_err(|source| CliError::Settings { path, source })
}

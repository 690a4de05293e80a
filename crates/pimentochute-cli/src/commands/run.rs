//! `serve` and `edge` run the daemon; `check` validates a settings file.

use std::ffi::OsString;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use pimentochute_adapter::{HttpAdvice, HttpOrders, HttpStore, JsonCodec};
use pimentochute_base::MilliClock;
use pimentochute_edge::{AdviceService, EdgePorts, EdgeSettings};
use pimentochute_platform::LinkPacer;
use pimentochute_server::settings::{Settings, check_settings};
use pimentochute_server::{DaemonEnd, start_stderr_logging, start_stdout_logging};
use tokio::runtime::Builder;

use super::parse_flags;
use crate::exit::{CliError, ExitStatus};
use crate::flags::run::{Pimentochute, PimentochuteCmd};
use crate::output::print_line;

/// The environment variable that names the settings file of `edge`; it is set
/// on the users' platform.
const SETTINGS_VARIABLE: &str = "PIMENTOCHUTE_CONFIG";

pub fn run(arguments: Vec<OsString>) -> Result<ExitStatus, CliError> {
    match parse_flags!(Pimentochute::from_vec(arguments)).subcommand {
        PimentochuteCmd::Serve(flags) => serve(&flags.settings),
        PimentochuteCmd::Edge(flags) => edge(flags.settings),
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
    let logging = start_stderr_logging(settings.logging, &MilliClock::system());
    logging.map_err(|source| CliError::Logging { source })?;
    let runtime = Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|error| CliError::System {
        what: "starting the runtime",
        detail: error.to_string(),
    })?;
    let end = runtime.block_on(pimentochute_server::run(settings));
    // Calls that were cut off by the stop must not keep the process alive.
    runtime.shutdown_background();
    match end.map_err(|source| CliError::Daemon { source })? {
        DaemonEnd::Clean => Ok(ExitStatus::Success),
        DaemonEnd::Interrupted { .. } => Ok(ExitStatus::CallsCutOff),
    }
}

fn edge(path: Option<PathBuf>) -> Result<ExitStatus, CliError> {
    let path = path
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or_else(|| {
            CliError::usage(
                format!("neither --settings nor {SETTINGS_VARIABLE} names a file"),
                "add --settings FILE",
            )
        })?;
    let text = fs::read(&path).map_err(|source| CliError::UnreadableFile {
        path: path.clone(),
        source,
    })?;
    let settings = EdgeSettings::read(&text).map_err(|source| CliError::EdgeSettings {
        path: path.clone(),
        source,
    })?;
    let logging = start_stdout_logging(settings.logging, &MilliClock::system());
    logging.map_err(|source| CliError::Logging { source })?;
    // A single thread: waking up others costs more than it gains.
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| CliError::System {
        what: "starting the runtime",
        detail: error.to_string(),
    })?;
    let ports = platform_ports(&settings);
    let end = runtime.block_on(pimentochute_edge::run(settings, Some(path), ports));
    runtime.shutdown_background();
    log::logger().flush();
    end.map_err(|source| CliError::Edge { source })?;
    Ok(ExitStatus::Success)
}

/// Returns the adapters to the services of the users' platform.
fn platform_ports(settings: &EdgeSettings) -> EdgePorts {
    let link = LinkPacer::new(MilliClock::system(), settings.link_mbps);
    let advice = settings.advice_address.map(|address| {
        let advice = HttpAdvice::new(address).with_link(link.clone());
        Arc::new(advice) as Arc<dyn AdviceService>
    });
    EdgePorts {
        store: Arc::new(HttpStore::new(settings.log_address).with_link(link.clone())),
        orders: Arc::new(HttpOrders::new().with_link(link.clone())),
        advice,
        codec: Arc::new(JsonCodec),
        link,
    }
}

fn read_settings(path: &Path) -> Result<Settings, CliError> {
    let text = fs::read(path).map_err(|source| CliError::UnreadableFile {
        path: path.to_owned(),
        source,
    })?;
    let path = PathBuf::from(path);
    check_settings(&text).map_err(|source| CliError::Settings { path, source })
}

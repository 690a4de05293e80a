//! `config`: shows the configuration and its history, and submits patches.

use std::ffi::OsString;
use std::path::Path;

use pimentochute_server::api::{HistoryView, PatchView};
use pimentochute_state::{ConfigPatch, FleetConfig};

use super::patch::send_patch;
use super::{client_runtime, parse_flags, read_input};
use crate::api_client::ApiClient;
use crate::exit::{CliError, ExitStatus};
use crate::flags::common_flags;
use crate::flags::config::{Config, ConfigCmd};
use crate::output::{print_json, print_line, print_table};

/// A path under which standard input can be opened as a file.
const STDIN_PATH: &str = "/dev/stdin";

pub fn run(mut arguments: Vec<OsString>) -> Result<ExitStatus, CliError> {
    // The parser would take a lone hyphen for a flag.
    for argument in arguments.iter_mut().filter(|argument| *argument == "-") {
        *argument = STDIN_PATH.into();
    }
    let mut flags = parse_flags!(Config::from_vec(arguments));
    let common = common_flags!(flags);
    let json = common.json;
    let client = ApiClient::new(&common)?;
    let runtime = client_runtime()?;
    match flags.subcommand {
        ConfigCmd::Show(show) => {
            let query = show.version.map(|version| format!("?version={version}"));
            let path = format!("/v1/config{}", query.unwrap_or_default());
            let config: FleetConfig = runtime.block_on(client.get(&path))?;
            print_config(&config, json)?;
        }
        ConfigCmd::History(_) => {
            let history: Vec<HistoryView> = runtime.block_on(client.get("/v1/config/history"))?;
            print_history(&history, json)?;
        }
        ConfigCmd::Patch(patch) => {
            let patch = read_patch(&patch.file)?;
            let version = runtime.block_on(send_patch(&client, &patch))?;
            print_accepted(version, json)?;
        }
    }
    Ok(ExitStatus::Success)
}

fn read_patch(path: &Path) -> Result<ConfigPatch, CliError> {
    let text = read_input(path)?;
    serde_json::from_slice(&text).map_err(|error| CliError::InvalidFile {
        path: path.to_owned(),
        detail: error.to_string(),
    })
}

/// Prints the version of the configuration that a patch created.
pub fn print_accepted(version: u64, json: bool) -> Result<(), CliError> {
    if json {
        return print_json(&serde_json::json!({"outcome": "accepted", "version": version}));
    }
    print_line(&format!("accepted as version {version}"))
}

fn print_config(config: &FleetConfig, json: bool) -> Result<(), CliError> {
    if json {
        return print_json(config);
    }
    print_line(&format!("version {}\n", config.version))?;
    super::team::print_teams(config)?;
    print_line("")?;
    super::queue::print_queues(config)?;
    print_line("")?;
    super::key::print_keys(config)
}

fn print_history(history: &[HistoryView], json: bool) -> Result<(), CliError> {
    if json {
        return print_json(&history);
    }
    let row = |entry: &HistoryView| {
        let outcome = match &entry.result {
            PatchView::Accepted { version } => format!("accepted, version {version}"),
            PatchView::Rejected { current, reason } => {
                format!("rejected at version {current}: {reason}")
            }
        };
        vec![entry.patch.to_string(), entry.author.clone(), outcome]
    };
    let rows: Vec<_> = history.iter().map(row).collect();
    print_table(&["PATCH", "AUTHOR", "OUTCOME"], &rows)
}

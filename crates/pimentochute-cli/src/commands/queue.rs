//! `queue`: lists, sets and removes queues.

use std::ffi::OsString;

use pimentochute_base::TeamName;
use pimentochute_state::{FleetConfig, PatchOperation, QueueConfig};

use super::config::print_accepted;
use super::patch::{build_patch, fetch_config, send_patch};
use super::{client_runtime, parse_flags};
use crate::api_client::ApiClient;
use crate::exit::{CliError, ExitStatus};
use crate::flags::common_flags;
use crate::flags::queue::{Queue, QueueCmd, Set};
use crate::output::{print_json, print_table};

pub fn run(arguments: Vec<OsString>) -> Result<ExitStatus, CliError> {
    let mut flags = parse_flags!(Queue::from_vec(arguments));
    let common = common_flags!(flags);
    let client = ApiClient::new(&common)?;
    let runtime = client_runtime()?;
    let config = runtime.block_on(fetch_config(&client))?;
    let operation = match flags.subcommand {
        QueueCmd::List(_) if common.json => {
            print_json(&config.queues)?;
            return Ok(ExitStatus::Success);
        }
        QueueCmd::List(_) => {
            print_queues(&config)?;
            return Ok(ExitStatus::Success);
        }
        QueueCmd::Set(set) => set_queue(&config, set)?,
        QueueCmd::Remove(remove) => PatchOperation::RemoveQueue {
            queue: remove.queue,
        },
    };
    let patch = build_patch(&config, flags.author, vec![operation])?;
    let version = runtime.block_on(send_patch(&client, &patch))?;
    print_accepted(version, common.json)?;
    Ok(ExitStatus::Success)
}

/// Builds the operation that adds or changes a queue. Values that are not given
/// keep their current value; a new queue needs kind, teams and priority.
fn set_queue(config: &FleetConfig, set: Set) -> Result<PatchOperation, CliError> {
    let current = config.queues.get(&set.queue);
    let missing = |flag: &str| {
        let detail = format!("{flag} is missing for the new queue {}", set.queue);
        CliError::usage(detail, "give --kind, --teams and --priority")
    };
    let teams = match &set.teams {
        Some(names) => Some(parse_teams(names)?),
        None => current.map(|queue| queue.teams.clone()),
    };
    let kind = set.kind.or(current.map(|queue| queue.kind));
    let priority = set.priority.or(current.map(|queue| queue.priority));
    let config = QueueConfig {
        kind: kind.ok_or_else(|| missing("--kind"))?,
        open: set
            .open
            .or(current.map(|queue| queue.open))
            .unwrap_or(false),
        teams: teams.ok_or_else(|| missing("--teams"))?,
        priority: priority.ok_or_else(|| missing("--priority"))?,
        service: set
            .service
            .or_else(|| current.and_then(|queue| queue.service.clone())),
    };
    let queue = set.queue;
    Ok(PatchOperation::SetQueue { queue, config })
}

fn parse_teams(names: &str) -> Result<Vec<TeamName>, CliError> {
    let parsed: Result<Vec<TeamName>, _> = names.split(',').map(str::parse).collect();
    parsed.map_err(|error| CliError::usage(error.to_string(), "give --teams a,b,c"))
}

/// Prints the queues of a configuration as a table.
pub fn print_queues(config: &FleetConfig) -> Result<(), CliError> {
    let queues = config.queues.iter().map(|(name, queue)| {
        let teams: Vec<&str> = queue.teams.iter().map(TeamName::as_str).collect();
        vec![
            name.to_string(),
            queue.kind.to_string(),
            if queue.open { "open" } else { "keyed" }.to_owned(),
            queue.priority.to_string(),
            queue
                .service
                .as_ref()
                .map_or_else(|| "-".to_owned(), ToString::to_string),
            teams.join(","),
        ]
    });
    let rows: Vec<_> = queues.collect();
    let heading = ["QUEUE", "KIND", "ACCESS", "PRIORITY", "SERVICE", "TEAMS"];
    print_table(&heading, &rows)
}

//! `team`: lists, sets and removes teams.

use std::ffi::OsString;

use pimentochute_state::{FleetConfig, PatchOperation, TeamConfig};

use super::config::print_accepted;
use super::patch::{build_patch, fetch_config, send_patch};
use super::{client_runtime, parse_flags};
use crate::api_client::ApiClient;
use crate::exit::{CliError, ExitStatus};
use crate::flags::common_flags;
use crate::flags::team::{Set, Team, TeamCmd};
use crate::output::{print_json, print_table};

pub fn run(arguments: Vec<OsString>) -> Result<ExitStatus, CliError> {
    let mut flags = parse_flags!(Team::from_vec(arguments));
    let common = common_flags!(flags);
    let client = ApiClient::new(&common)?;
    let runtime = client_runtime()?;
    let config = runtime.block_on(fetch_config(&client))?;
    let operation = match flags.subcommand {
        TeamCmd::List(_) if common.json => {
            print_json(&config.teams)?;
            return Ok(ExitStatus::Success);
        }
        TeamCmd::List(_) => {
            print_teams(&config)?;
            return Ok(ExitStatus::Success);
        }
        TeamCmd::Set(set) => set_team(&config, set)?,
        TeamCmd::Remove(remove) => PatchOperation::RemoveTeam { team: remove.team },
    };
    let patch = build_patch(&config, flags.author, vec![operation])?;
    let version = runtime.block_on(send_patch(&client, &patch))?;
    print_accepted(version, common.json)?;
    Ok(ExitStatus::Success)
}

/// Builds the operation that adds or changes a team. Values that are not given
/// keep their current value; a new team needs all of them.
fn set_team(config: &FleetConfig, set: Set) -> Result<PatchOperation, CliError> {
    let current = config.teams.get(&set.team);
    let missing = |flag: &str| {
        let detail = format!("{flag} is missing for the new team {}", set.team);
        CliError::usage(detail, "give --share, --max-tasks and --max-requests")
    };
    let share = set.share.or(current.map(|team| team.share));
    let max_tasks = set.max_tasks.or(current.map(|team| team.max_tasks));
    let max_requests = set.max_requests.or(current.map(|team| team.max_requests));
    let config = TeamConfig {
        share: share.ok_or_else(|| missing("--share"))?,
        max_tasks: max_tasks.ok_or_else(|| missing("--max-tasks"))?,
        max_requests: max_requests.ok_or_else(|| missing("--max-requests"))?,
    };
    let team = set.team;
    Ok(PatchOperation::SetTeam { team, config })
}

/// Prints the teams of a configuration as a table.
pub fn print_teams(config: &FleetConfig) -> Result<(), CliError> {
    let teams = config.teams.iter().map(|(name, team)| {
        vec![
            name.to_string(),
            team.share.to_string(),
            team.max_tasks.to_string(),
            team.max_requests.to_string(),
        ]
    });
    let rows: Vec<_> = teams.collect();
    print_table(&["TEAM", "SHARE", "MAX TASKS", "MAX REQUESTS"], &rows)
}

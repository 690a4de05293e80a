//! `key`: grants and withdraws the API keys of teams.

use std::ffi::OsString;

use pimentochute_base::KeyDigest;
use pimentochute_state::{FleetConfig, KeyConfig, PatchOperation};
use serde_json::json;

use super::config::print_accepted;
use super::patch::{build_patch, fetch_config, send_patch};
use super::{client_runtime, parse_flags, random_hex};
use crate::api_client::ApiClient;
use crate::exit::{CliError, ExitStatus};
use crate::flags::key::{Key, KeyCmd};
use crate::flags::{CommonFlags, common_flags};
use crate::output::{print_json, print_line, print_notice, print_table};

/// The number of random bytes in a secret.
const SECRET_BYTES: usize = 32;

pub fn run(arguments: Vec<OsString>) -> Result<ExitStatus, CliError> {
    let mut flags = parse_flags!(Key::from_vec(arguments));
    let common = common_flags!(flags);
    let client = ApiClient::new(&common)?;
    let runtime = client_runtime()?;
    let config = runtime.block_on(fetch_config(&client))?;
    match flags.subcommand {
        KeyCmd::Grant(grant) => {
            let secret = random_hex::<SECRET_BYTES>()?;
            let digest = KeyDigest::of(&secret);
            let key = KeyConfig {
                team: grant.team.clone(),
                digest,
            };
            let operation = PatchOperation::GrantKey {
                key: grant.key,
                config: key,
            };
            let patch = build_patch(&config, flags.author, vec![operation])?;
            let result = runtime.block_on(send_patch(&client, &patch));
            report_grant(result, &secret, &common)?;
        }
        KeyCmd::Withdraw(withdraw) => {
            let operation = PatchOperation::WithdrawKey { key: withdraw.key };
            let patch = build_patch(&config, flags.author, vec![operation])?;
            let version = runtime.block_on(send_patch(&client, &patch))?;
            print_accepted(version, common.json)?;
        }
    }
    Ok(ExitStatus::Success)
}

/// Prints the secret unless the grant is known to have failed. If the outcome
/// is unknown, the key may still take effect, so the secret is printed as well.
fn report_grant(
    result: Result<u64, CliError>,
    secret: &str,
    common: &CommonFlags,
) -> Result<(), CliError> {
    match result {
        Ok(version) if common.json => {
            print_json(&json!({"outcome": "accepted", "version": version, "secret": secret}))
        }
        Ok(version) => {
            print_notice(&format!("accepted as version {version}"));
            print_notice("the secret follows; it is shown only now");
            print_line(secret)
        }
        Err(error @ CliError::PatchOutcomeUnknown { .. }) => {
            print_notice("the secret follows; it works if the patch takes effect");
            print_line(secret)?;
            Err(error)
        }
        Err(error) => Err(error),
    }
}

/// Prints the keys of a configuration without their digests.
pub fn print_keys(config: &FleetConfig) -> Result<(), CliError> {
    let keys = config.keys.iter();
    let rows: Vec<_> = keys
        .map(|(id, key)| vec![id.to_string(), key.team.to_string()])
        .collect();
    print_table(&["KEY", "TEAM"], &rows)
}

//! `status`, `workers` and `endpoints`: show the state of a host.

use std::ffi::OsString;

use pimentochute_base::HostName;
use pimentochute_server::api::{EndpointView, StatusView, WorkerView};

use super::{client_runtime, parse_flags};
use crate::api_client::ApiClient;
use crate::exit::{CliError, ExitStatus};
use crate::flags::common_flags;
use crate::flags::show::{Pimentochute, PimentochuteCmd};
use crate::output::{print_json, print_line, print_table};

pub fn run(arguments: Vec<OsString>) -> Result<ExitStatus, CliError> {
    let mut flags = parse_flags!(Pimentochute::from_vec(arguments));
    let common = common_flags!(flags);
    let client = ApiClient::new(&common)?;
    let runtime = client_runtime()?;
    match flags.subcommand {
        PimentochuteCmd::Status(_) => {
            let status = runtime.block_on(client.get("/v1/status"))?;
            print_status(&status, common.json)?;
        }
        PimentochuteCmd::Workers(_) => {
            let workers: Vec<WorkerView> = runtime.block_on(client.get("/v1/workers"))?;
            print_workers(&workers, common.json)?;
        }
        PimentochuteCmd::Endpoints(_) => {
            let endpoints: Vec<EndpointView> = runtime.block_on(client.get("/v1/endpoints"))?;
            print_endpoints(&endpoints, common.json)?;
        }
    }
    Ok(ExitStatus::Success)
}

fn print_status(status: &StatusView, json: bool) -> Result<(), CliError> {
    if json {
        return print_json(status);
    }
    let peers: Vec<&str> = status.peers.iter().map(HostName::as_str).collect();
    let fields = [
        ("host", status.host.to_string()),
        ("data centre", status.data_centre.to_string()),
        (
            "configuration",
            format!("version {}", status.config_version),
        ),
        ("keyed work", yes_no(status.keyed_work)),
        ("log last read", format!("{} ago", status.log_age_ms)),
        ("draining", yes_no(status.draining)),
        ("live peers", peers.join(" ")),
        ("active jobs", status.active_jobs.to_string()),
        ("placed tasks", status.placed_tasks.to_string()),
    ];
    for (name, value) in fields {
        print_line(format!("{name:15} {value}").trim_end())?;
    }
    let slices = status.slices.iter().map(|slice| {
        let owner = slice.owner.as_ref();
        let owner = owner.map_or_else(|| "-".to_owned(), ToString::to_string);
        vec![slice.slice.to_string(), owner, slice.epoch.to_string()]
    });
    let rows: Vec<_> = slices.collect();
    print_line("")?;
    print_table(&["SLICE", "OWNER", "EPOCH"], &rows)
}

fn yes_no(flag: bool) -> String {
    if flag { "yes" } else { "no" }.to_owned()
}

fn print_workers(workers: &[WorkerView], json: bool) -> Result<(), CliError> {
    if json {
        return print_json(&workers);
    }
    let row = |worker: &WorkerView| {
        vec![
            worker.name.to_string(),
            worker.rack.to_string(),
            worker.status.clone(),
            worker.tasks.to_string(),
            worker.committed.to_string(),
            worker.capacity.to_string(),
        ]
    };
    let rows: Vec<_> = workers.iter().map(row).collect();
    let heading = ["WORKER", "RACK", "STATUS", "TASKS", "COMMITTED", "CAPACITY"];
    print_table(&heading, &rows)
}

fn print_endpoints(endpoints: &[EndpointView], json: bool) -> Result<(), CliError> {
    if json {
        return print_json(&endpoints);
    }
    let row = |endpoint: &EndpointView| {
        vec![
            endpoint.name.clone(),
            endpoint.service.clone(),
            endpoint.status.clone(),
            endpoint.slots.to_string(),
            endpoint.in_use.to_string(),
        ]
    };
    let rows: Vec<_> = endpoints.iter().map(row).collect();
    print_table(&["ENDPOINT", "SERVICE", "STATUS", "SLOTS", "IN USE"], &rows)
}

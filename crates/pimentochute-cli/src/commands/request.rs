//! `request`: sends a request to a service and prints the answer.

use std::ffi::OsString;
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Method};
use serde_json::json;

use super::{client_runtime, parse_flags, read_input};
use crate::api_client::{ApiCall, ApiClient, ApiResponse};
use crate::exit::{CliError, ExitStatus};
use crate::flags::common_flags;
use crate::flags::request::{Request, RequestCmd, Send};
use crate::output::{print_bytes, print_json};

/// The time limit for the answer if no deadline is given. Hosts use a deadline
/// of 30 s by default and of 300 s at most.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(310);

/// How long the command waits for the answer after the given deadline.
const DEADLINE_GRACE: Duration = Duration::from_secs(5);

pub fn run(arguments: Vec<OsString>) -> Result<ExitStatus, CliError> {
    let mut flags = parse_flags!(Request::from_vec(arguments));
    let common = common_flags!(flags);
    let client = ApiClient::new(&common)?;
    let RequestCmd::Send(send) = flags.subcommand;
    let call = build_call(&send)?;
    let response = client_runtime()?.block_on(client.call(call))?;
    if header(&response, "x-outcome") != "answered" {
        return Err(client.refusal_error(&response, true));
    }
    print_response(&response, common.json)?;
    let status = response.status.as_u16();
    if response.status.is_success() {
        Ok(ExitStatus::Success)
    } else {
        Err(CliError::EndpointStatus { status })
    }
}

fn build_call(send: &Send) -> Result<ApiCall<'static>, CliError> {
    let mut headers = HeaderMap::new();
    let mut add = |name: &'static str, value: &str| {
        let value = HeaderValue::from_str(value);
        let value = value.map_err(|_| {
            let detail = format!("the value of {name} cannot be sent");
            CliError::usage(detail, "use visible ASCII characters")
        })?;
        headers.insert(HeaderName::from_static(name), value);
        Ok::<_, CliError>(())
    };
    add("x-queue", send.queue.as_str())?;
    add(
        "x-idempotent",
        if send.idempotent { "true" } else { "false" },
    )?;
    if let Some(team) = &send.team {
        add("x-team", team.as_str())?;
    }
    if let Some(id) = &send.id {
        add("x-request-id", id)?;
    }
    if let Some(millis) = send.deadline_ms {
        add("x-deadline-ms", &millis.to_string())?;
    }
    let deadline = send.deadline_ms.map(Duration::from_millis);
    let body = match &send.body_file {
        Some(path) => Bytes::from(read_input(path)?),
        None => Bytes::new(),
    };
    Ok(ApiCall {
        method: Method::POST,
        path: "/v1/requests",
        headers,
        body,
        timeout: deadline.map_or(DEFAULT_TIMEOUT, |time| time.saturating_add(DEADLINE_GRACE)),
    })
}

fn print_response(response: &ApiResponse, json: bool) -> Result<(), CliError> {
    if !json {
        return print_bytes(&response.body);
    }
    print_json(&json!({
        "status": response.status.as_u16(),
        "request_id": header(response, "x-request-id"),
        "endpoint": header(response, "x-endpoint"),
        "attempts": header(response, "x-attempts").parse::<u32>().unwrap_or(0),
        "body": String::from_utf8_lossy(&response.body),
    }))
}

fn header<'a>(response: &'a ApiResponse, name: &str) -> &'a str {
    let value = response.headers.get(name);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

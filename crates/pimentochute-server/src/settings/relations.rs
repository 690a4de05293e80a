//! Checks of settings against each other.

use std::collections::BTreeSet;

use pimentochute_base::MilliSpan;

use super::document::{PartialSettings, SettingsDocument};
use super::{DataCentreSettings, OperatorKey, SecretText, SettingsFault};

/// The minimum length of the key that entry hosts share.
const MIN_PEER_KEY_BYTES: usize = 32;

/// Returns the faults of values that contradict each other. A value is not
/// compared with a bound that is itself among the `known` faults.
pub(super) fn relation_faults(
    settings: &PartialSettings,
    known: &[SettingsFault],
) -> Vec<SettingsFault> {
    let mut faults = Vec::new();
    if let Some(centres) = &settings.data_centres {
        check_membership(settings, centres, &mut faults);
        check_names(centres, &mut faults);
    }
    if let Some(key) = &settings.peer_key {
        check_peer_key(key, &mut faults);
    }
    if let Some(operators) = &settings.operator_keys {
        check_operators(operators, &mut faults);
    }
    check_timings(&settings.limits, known, &mut faults);
    faults
}

fn fault(path: &str, found: &dyn ToString, allowed: impl Into<String>) -> SettingsFault {
    SettingsFault {
        path: path.to_owned(),
        found: found.to_string(),
        allowed: allowed.into(),
    }
}

fn check_membership(
    settings: &PartialSettings,
    centres: &[DataCentreSettings],
    faults: &mut Vec<SettingsFault>,
) {
    for (index, centre) in centres.iter().enumerate() {
        if centre.entry_hosts.is_empty() {
            let path = format!("data_centres[{index}].entry_hosts");
            faults.push(fault(&path, &"none", "at least one entry host"));
        }
    }
    let Some(name) = &settings.data_centre else {
        return;
    };
    let Some(own) = centres.iter().find(|centre| centre.name == *name) else {
        let names: Vec<&str> = centres.iter().map(|c| c.name.as_str()).collect();
        let allowed = format!("one of data_centres: {}", names.join(", "));
        faults.push(fault("data_centre", name, allowed));
        return;
    };
    let hosts: Vec<&str> = own.entry_hosts.iter().map(|h| h.name.as_str()).collect();
    if let Some(host) = &settings.host
        && !hosts.contains(&host.as_str())
    {
        let allowed = format!("an entry host of the data centre: {}", hosts.join(", "));
        faults.push(fault("host", host, allowed));
    }
}

fn check_names(centres: &[DataCentreSettings], faults: &mut Vec<SettingsFault>) {
    let mut names = BTreeSet::new();
    let mut hosts = BTreeSet::new();
    for (index, centre) in centres.iter().enumerate() {
        let path = format!("data_centres[{index}]");
        if !names.insert(&centre.name) {
            let path = format!("{path}.name");
            faults.push(fault(&path, &centre.name, "a name that is used once"));
        }
        for (position, host) in centre.entry_hosts.iter().enumerate() {
            if !hosts.insert(&host.name) {
                let path = format!("{path}.entry_hosts[{position}].name");
                faults.push(fault(&path, &host.name, "a name that is used once"));
            }
        }
    }
}

fn check_peer_key(key: &SecretText, faults: &mut Vec<SettingsFault>) {
    let key = key.reveal();
    if key.len() < MIN_PEER_KEY_BYTES {
        let found = format!("{} bytes", key.len());
        let allowed = format!("at least {MIN_PEER_KEY_BYTES} random bytes");
        faults.push(fault("peer_key", &found, allowed));
    } else if !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        let allowed = "visible ASCII characters, as it is sent in a header";
        faults.push(fault("peer_key", &"other characters", allowed));
    }
}

fn check_operators(operators: &[OperatorKey], faults: &mut Vec<SettingsFault>) {
    let mut names = BTreeSet::new();
    for (index, operator) in operators.iter().enumerate() {
        let path = format!("operator_keys[{index}].name");
        if operator.name.is_empty() || operator.name.chars().any(char::is_control) {
            let found = format!("{:?}", operator.name);
            faults.push(fault(&path, &found, "a name without control characters"));
        } else if !names.insert(&operator.name) {
            faults.push(fault(&path, &operator.name, "a name that is used once"));
        }
    }
}

/// Requires that `span` is at most `bound` divided by `times`.
struct SpanBound {
    path: &'static str,
    span: MilliSpan,
    times: u64,
    bound_path: &'static str,
    bound: MilliSpan,
}

impl SpanBound {
    fn fault(&self) -> Option<SettingsFault> {
        let max = MilliSpan::new(self.bound.as_millis() / self.times);
        let allowed = match self.times {
            1 => format!("at most {} ({max})", self.bound_path),
            times => format!("at most {} / {times} ({max})", self.bound_path),
        };
        (self.span > max).then(|| fault(self.path, &self.span, allowed))
    }
}

fn check_timings(
    settings: &SettingsDocument,
    known: &[SettingsFault],
    faults: &mut Vec<SettingsFault>,
) {
    let is_known = |path: &str| known.iter().any(|fault| fault.path == path);
    let bounds = lease_bounds(settings).into_iter();
    let bounds = bounds.chain(limit_bounds(settings));
    let bounds = bounds.filter(|bound| !is_known(bound.bound_path));
    faults.extend(bounds.filter_map(|bound| bound.fault()));
    let http = &settings.http;
    if http.max_body_bytes > http.max_buffered_bytes && !is_known("http.max_buffered_bytes") {
        let allowed = format!(
            "at most http.max_buffered_bytes ({})",
            http.max_buffered_bytes
        );
        faults.push(fault("http.max_body_bytes", &http.max_body_bytes, allowed));
    }
}

/// Returns the bounds on leases and heartbeats.
///
/// A renewal or heartbeat may be lost once without ending a lease or a host's
/// liveness, so each interval is at most half its limit. The control lease is at
/// most half the task lease: another host can take the worker over only after the
/// control lease ends, and must do so before the leases of its tasks end. An
/// isolated manager stops renewing before its control lease ends, since other
/// hosts count the leases from its last heartbeat.
fn lease_bounds(settings: &SettingsDocument) -> [SpanBound; 5] {
    let workers = &settings.workers;
    let peers = &settings.peers;
    [
        SpanBound {
            path: "workers.renew_ms",
            span: workers.renew_ms,
            times: 2,
            bound_path: "workers.control_lease_ms",
            bound: workers.control_lease_ms,
        },
        SpanBound {
            path: "workers.control_lease_ms",
            span: workers.control_lease_ms,
            times: 2,
            bound_path: "workers.task_lease_ms",
            bound: workers.task_lease_ms,
        },
        SpanBound {
            path: "workers.isolation_ms",
            span: workers.isolation_ms,
            times: 1,
            bound_path: "workers.control_lease_ms",
            bound: workers.control_lease_ms,
        },
        SpanBound {
            path: "peers.heartbeat_ms",
            span: peers.heartbeat_ms,
            times: 2,
            bound_path: "peers.live_ms",
            bound: peers.live_ms,
        },
        SpanBound {
            path: "peers.live_ms",
            span: peers.live_ms,
            times: 1,
            bound_path: "slices.takeover_ms",
            bound: settings.slices.takeover_ms,
        },
    ]
}

fn limit_bounds(settings: &SettingsDocument) -> [SpanBound; 3] {
    let requests = &settings.requests;
    let drain = &settings.drain;
    let supervisor = &settings.supervisor;
    [
        SpanBound {
            path: "requests.default_deadline_ms",
            span: requests.default_deadline_ms,
            times: 1,
            bound_path: "requests.max_deadline_ms",
            bound: requests.max_deadline_ms,
        },
        SpanBound {
            path: "drain.drain_delay_ms",
            span: drain.drain_delay_ms,
            times: 1,
            bound_path: "drain.drain_limit_ms",
            bound: drain.drain_limit_ms,
        },
        SpanBound {
            path: "supervisor.backoff_ms",
            span: supervisor.backoff_ms,
            times: 1,
            bound_path: "supervisor.max_backoff_ms",
            bound: supervisor.max_backoff_ms,
        },
    ]
}

//! Tests of the checker that the process tests use: it must report each kind of
//! violation.

use pimentochute_base::MilliTime;
use pimentochute_standins::{EndpointLedger, EndpointRecords, RequestRun};
use pimentochute_tests::process::{ProcessAudit, ProcessViolation, RequestOutcome, RequestSpec};
use test_case::test_case;

/// The log line by which a host maps its request id to the caller's id `r`.
const REQUEST_ID_LINE: &str = "DEBUG http: request h0-1 has the id r at its caller";

/// Returns the audit of one endpoint that ran the request `r` `runs` times.
fn audit_of(runs: usize, idempotent: bool) -> ProcessAudit {
    let run = RequestRun {
        id: "h0-1".to_owned(),
        idempotent,
        at: MilliTime::new(1),
    };
    let ledger = EndpointLedger {
        runs: vec![run; runs],
        ..EndpointLedger::default()
    };
    let mut audit = ProcessAudit::default();
    audit.endpoints.push(EndpointRecords {
        endpoint: "e0".parse().expect("valid name"),
        slots: 8,
        connections: 64,
        most_connections: 1,
        ledger,
    });
    audit.add_log("h0", REQUEST_ID_LINE.to_owned());
    audit
}

fn spec_of(idempotent: bool) -> RequestSpec {
    let spec = RequestSpec::new("r", "tea towel");
    RequestSpec { idempotent, ..spec }
}

fn answered(body: &str) -> RequestOutcome {
    RequestOutcome::Answered(body.to_owned())
}

fn not_run() -> RequestOutcome {
    RequestOutcome::NotRun("overloaded".to_owned())
}

fn unknown() -> RequestOutcome {
    RequestOutcome::Unknown("outcome_unknown".to_owned())
}

/// Guards against a checker that does not compare the answers to callers with
/// the records of the endpoints.
#[test_case(1, false, &answered("tea towel"), true; "answered and ran")]
#[test_case(0, false, &answered("tea towel"), false; "answered and did not run")]
#[test_case(1, false, &answered("other"), false; "answer to another request")]
#[test_case(0, false, &not_run(), true; "not run and did not run")]
#[test_case(1, false, &not_run(), false; "not run and ran")]
#[test_case(0, false, &unknown(), true; "unknown and did not run")]
#[test_case(1, false, &unknown(), true; "unknown and ran")]
#[test_case(2, false, &unknown(), false; "ran twice")]
#[test_case(2, true, &answered("tea towel"), true; "idempotent and ran twice")]
fn answers_are_compared_with_records(
    runs: usize,
    idempotent: bool,
    end: &RequestOutcome,
    valid: bool,
) {
    let requests = [(spec_of(idempotent), end.clone())];
    let violations = audit_of(runs, idempotent).violations(&requests, &[]);
    assert_eq!(violations.is_empty(), valid, "{violations:?}");
}

/// Guards against a checker that ignores exceeded limits on slots and
/// connections.
#[test]
fn exceeded_limits_are_reported() {
    let mut audit = audit_of(1, false);
    audit.endpoints[0].ledger.slot_violations = 1;
    let violations = audit.violations(&[], &[]);
    assert!(matches!(violations[..], [ProcessViolation::Overrun { .. }]));
}

/// Guards against a checker that misses a host going back to an older version
/// of the configuration, or that reports a restart as one.
#[test]
fn reverted_versions_are_reported_and_restarts_are_not() {
    let version = |number: u32| format!("INFO  config: Version {number} is in force. First");
    let start = "INFO  daemon: host h0 of data centre dc0 starts, run 1".to_owned();
    let mut audit = ProcessAudit::default();
    let lines = [start.clone(), version(1), version(2), start, version(1)];
    audit.add_log("h0", lines.join("\n"));
    assert_eq!(audit.violations(&[], &[]), []);
    audit.add_log("h1", [version(2), version(1)].join("\n"));
    let host = "h1".to_owned();
    let expected = [ProcessViolation::Reverted { host }];
    assert_eq!(audit.violations(&[], &[]), expected);
}

/// Guards against a checker that misses a part of a host that panics and is
/// restarted.
#[test]
fn panics_are_reported() {
    let mut audit = ProcessAudit::default();
    audit.add_log("h0", "thread 'main' panicked at src/lib.rs:1:1".to_owned());
    let violations = audit.violations(&[], &[]);
    assert!(matches!(
        violations[..],
        [ProcessViolation::Panicked { .. }]
    ));
}

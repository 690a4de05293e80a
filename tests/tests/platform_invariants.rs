//! Tests of the invariant checks. A check that finds no violation at all would go
//! unnoticed otherwise.

use pimentochute_base::{
    AttemptNumber, AttemptRef, IdempotencyKey, JobId, MilliTime, ResourceAmount, TaskIndex,
    TeamName, WorkerIncarnation,
};
use pimentochute_platform::TaskStatus;
use pimentochute_standins::{
    EndpointLedger, EndpointRecords, LedgerEntry, RequestRun, WorkerLedger, WorkerRecords,
};
use pimentochute_tests::{repeated_requests, task_overlaps};
use test_case::test_case;

fn attempt(number: u32) -> AttemptRef {
    let team = TeamName::new("print").expect("valid name");
    let key = IdempotencyKey::new("order").expect("valid key");
    AttemptRef {
        job: JobId::new(&team, &key),
        task: TaskIndex::new(0),
        attempt: AttemptNumber::new(number),
    }
}

fn worker(name: &str, runs: &[(u32, u64, Option<u64>)]) -> WorkerRecords {
    let entry = |number, status, at| LedgerEntry {
        attempt: attempt(number),
        incarnation: WorkerIncarnation::new(1),
        status,
        at: MilliTime::new(at),
        demand: ResourceAmount::ZERO,
        committed: ResourceAmount::ZERO,
    };
    let mut ledger = WorkerLedger::default();
    for (number, start, end) in runs {
        ledger
            .entries
            .push(entry(*number, TaskStatus::Running, *start));
        let end = end.map(|end| entry(*number, TaskStatus::Expired, end));
        ledger.entries.extend(end);
    }
    WorkerRecords {
        worker: name.parse().expect("valid name"),
        incarnation: WorkerIncarnation::new(1),
        capacity: ResourceAmount::ZERO,
        ledger,
    }
}

/// Guards against a check that misses a task that runs twice at the same time.
#[test_case(&[(1, 0, Some(10))], &[(2, 9, Some(20))], 1 ; "overlap of one millisecond")]
#[test_case(&[(1, 0, Some(10))], &[(2, 10, Some(20))], 0 ; "start at the end")]
#[test_case(&[(1, 0, None)], &[(2, 500, Some(600))], 1 ; "earlier run continues")]
#[test_case(&[(1, 5, Some(6))], &[(1, 5, Some(6))], 1 ; "same attempt twice")]
#[test_case(&[(1, 0, Some(90)), (4, 95, Some(99))], &[(2, 10, Some(20)), (3, 30, Some(40))], 2 ; "long run over two short ones")]
fn overlaps_are_found(
    first: &[(u32, u64, Option<u64>)],
    second: &[(u32, u64, Option<u64>)],
    expected: usize,
) {
    let workers = [worker("w1", first), worker("w2", second)];
    assert_eq!(task_overlaps(&workers).len(), expected);
}

/// Guards against a check that misses a request that ran on two endpoints, or that
/// reports an idempotent one.
#[test]
fn repeated_requests_are_found() {
    let records = |name: &str, runs: &[(&str, bool)]| {
        let runs = runs.iter().map(|(id, idempotent)| RequestRun {
            id: (*id).to_owned(),
            idempotent: *idempotent,
            at: MilliTime::ZERO,
        });
        EndpointRecords {
            endpoint: name.parse().expect("valid name"),
            slots: 8,
            connections: 64,
            most_connections: 0,
            ledger: EndpointLedger {
                runs: runs.collect(),
                ..EndpointLedger::default()
            },
        }
    };
    let endpoints = [
        records("e1", &[("q1", false), ("q2", true), ("q3", false)]),
        records("e2", &[("q1", false), ("q2", true)]),
    ];
    assert_eq!(repeated_requests(&endpoints), ["q1"]);
}

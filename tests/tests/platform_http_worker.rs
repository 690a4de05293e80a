//! Tests of the worker client with the worker stand-in, whose leases use a manual
//! clock.

use pimentochute_base::{
    AttemptNumber, AttemptRef, EpochNumber, HostIncarnation, HostName, IdempotencyKey, JobId,
    MilliClock, MilliSpan, MilliTime, ResourceAmount, TaskIndex, TeamName, WorkerIncarnation,
};
use pimentochute_platform::{
    ControlGrant, ControlRequest, HttpWorkerControl, StartOrder, TaskReport, TaskStatus,
    WorkerControl, WorkerError, WorkerTarget,
};
use pimentochute_standins::{FaultSet, RunningServer, WorkerStandin, serve_local};
use pimentochute_tests::{RawEnd, RawServer};
use test_case::test_case;

const CONTROL_LEASE: MilliSpan = MilliSpan::new(6_000);
const TASK_LEASE: MilliSpan = MilliSpan::new(20_000);

/// The timeout of calls that are expected to time out.
const SHORT: MilliSpan = MilliSpan::new(200);

/// The upper bound for a call with the timeout [`SHORT`], also under load.
const BOUND: MilliSpan = MilliSpan::new(5_000);

struct Worker {
    clock: MilliClock,
    standin: WorkerStandin,
    server: RunningServer,
    target: WorkerTarget,
    control: HttpWorkerControl,
}

impl Worker {
    async fn new() -> Self {
        let clock = MilliClock::manual(MilliTime::ZERO);
        let name: pimentochute_base::WorkerName = "w1".parse().expect("valid name");
        let rack = "r1".parse().expect("valid name");
        let capacity = ResourceAmount::new(2_000, 2_048);
        let standin = WorkerStandin::new(name.clone(), rack, capacity, clock.clone());
        let server = serve_local(&standin).await.expect("an idle port");
        let address = server.address();
        Self {
            clock,
            standin,
            server,
            target: WorkerTarget { name, address },
            control: HttpWorkerControl::new(),
        }
    }

    async fn acquire(&self, holder: &str) -> Result<ControlGrant, WorkerError> {
        let request = ControlRequest {
            holder: HostName::new(holder).expect("valid name"),
            incarnation: HostIncarnation::new(1),
            lease: CONTROL_LEASE,
        };
        self.control.acquire(&self.target, request).await
    }

    async fn start(
        &self,
        grant: &ControlGrant,
        task: u32,
        command: &str,
    ) -> Result<(), WorkerError> {
        let order = StartOrder {
            attempt: attempt(task),
            incarnation: grant.report.incarnation,
            demand: ResourceAmount::new(1_000, 1_024),
            command: command.to_owned(),
            lease: TASK_LEASE,
        };
        self.control.start(&self.target, grant.epoch, order).await
    }

    async fn renew(
        &self,
        epoch: EpochNumber,
        keep: &[u32],
    ) -> Result<Vec<TaskReport>, WorkerError> {
        let keep = keep.iter().map(|task| attempt(*task)).collect();
        let renew = self
            .control
            .renew(&self.target, epoch, keep, CONTROL_LEASE, TASK_LEASE);
        Ok(renew.await?.tasks)
    }

    fn set(&self, change: impl FnOnce(&mut FaultSet)) {
        let mut faults = FaultSet::default();
        change(&mut faults);
        self.standin.set_faults(faults);
    }

    fn starts(&self) -> usize {
        let entries = self.standin.records().ledger.entries;
        let starts = entries
            .iter()
            .filter(|entry| entry.status == TaskStatus::Running);
        starts.count()
    }
}

fn attempt(task: u32) -> AttemptRef {
    let team = TeamName::new("print").expect("valid name");
    let key = IdempotencyKey::new("order").expect("valid key");
    AttemptRef {
        job: JobId::new(&team, &key),
        task: TaskIndex::new(task),
        attempt: AttemptNumber::new(1),
    }
}

fn report(task: u32, status: TaskStatus) -> TaskReport {
    TaskReport {
        attempt: attempt(task),
        status,
    }
}

/// Guards against fields of a command or report that are lost in transport.
#[tokio::test]
async fn task_runs_from_order_to_forgotten_report() {
    let worker = Worker::new().await;
    let grant = worker.acquire("h1").await.expect("free");
    assert_eq!(grant.capacity, ResourceAmount::new(2_000, 2_048));
    assert_eq!(grant.rack.as_str(), "r1");
    worker
        .start(&grant, 1, "run 1000")
        .await
        .expect("enough free resources");
    worker
        .start(&grant, 2, "forever")
        .await
        .expect("enough free resources");
    let full = worker.start(&grant, 3, "run 1").await;
    assert!(matches!(full, Err(WorkerError::InsufficientResources)));
    worker.clock.advance(MilliSpan::new(1_000));
    let stop = worker
        .control
        .stop(&worker.target, grant.epoch, attempt(2), MilliSpan::ZERO);
    stop.await.expect("in force");
    let tasks = worker.renew(grant.epoch, &[1, 2]).await.expect("in force");
    assert_eq!(
        tasks,
        [
            report(1, TaskStatus::Succeeded),
            report(2, TaskStatus::Stopped)
        ]
    );
    let ended = vec![attempt(1), attempt(2)];
    let forget = worker.control.forget(&worker.target, grant.epoch, ended);
    forget.await.expect("in force");
    assert!(
        worker
            .renew(grant.epoch, &[])
            .await
            .expect("in force")
            .is_empty()
    );
    let release = worker.control.release(&worker.target, grant.epoch);
    release.await.expect("in force");
    let other = worker.acquire("h2").await.expect("released");
    assert!(other.epoch > grant.epoch);
}

/// Guards against a holder that was suspended and sends commands after its lease
/// has expired.
#[tokio::test]
async fn older_epoch_is_refused_after_its_lease_expired() {
    let worker = Worker::new().await;
    let grant = worker.acquire("h1").await.expect("free");
    let held = worker.acquire("h2").await;
    assert!(matches!(held, Err(WorkerError::Held { holder }) if holder.as_str() == "h1"));
    worker.clock.advance(CONTROL_LEASE);
    let expired = worker.start(&grant, 1, "forever").await;
    assert!(matches!(expired, Err(WorkerError::StaleEpoch)));
    worker.acquire("h2").await.expect("expired");
    let stale = worker.renew(grant.epoch, &[]).await;
    assert!(matches!(stale, Err(WorkerError::StaleEpoch)));
    assert_eq!(worker.starts(), 0);
}

/// Guards against a task that outlives its lease.
#[tokio::test]
async fn task_without_renewal_expires() {
    let worker = Worker::new().await;
    let grant = worker.acquire("h1").await.expect("free");
    worker
        .start(&grant, 1, "forever")
        .await
        .expect("enough free resources");
    worker.clock.advance(TASK_LEASE);
    let grant = worker.acquire("h1").await.expect("expired");
    assert_eq!(grant.report.tasks, [report(1, TaskStatus::Expired)]);
    let last = worker
        .standin
        .records()
        .ledger
        .entries
        .pop()
        .expect("an end");
    assert_eq!(
        (last.status, last.at),
        (TaskStatus::Expired, MilliTime::new(20_000))
    );
}

/// Guards against a command that takes effect on another worker at the same address,
/// or on a later incarnation of the worker.
#[tokio::test]
async fn command_for_another_worker_or_incarnation_is_refused() {
    let mut worker = Worker::new().await;
    let mut grant = worker.acquire("h1").await.expect("free");
    let incarnation = grant.report.incarnation;
    grant.report.incarnation = WorkerIncarnation::new(incarnation.get() + 1);
    let other = worker.start(&grant, 1, "forever").await;
    assert!(matches!(other, Err(WorkerError::OtherIncarnation)));
    grant.report.incarnation = incarnation;
    worker.target.name = "w2".parse().expect("valid name");
    let other = worker.start(&grant, 1, "forever").await;
    assert!(
        matches!(other, Err(WorkerError::NoEffect { .. })),
        "{other:?}"
    );
    assert_eq!(worker.starts(), 0);
}

/// Guards against an error that misreports whether the command had an effect.
#[tokio::test]
async fn errors_state_whether_a_command_had_an_effect() {
    let worker = Worker::new().await;
    let grant = worker.acquire("h1").await.expect("free");
    worker.set(|faults| faults.down = true);
    let down = worker.start(&grant, 1, "forever").await;
    assert!(
        matches!(down, Err(WorkerError::NoEffect { .. })),
        "{down:?}"
    );
    assert_eq!(worker.starts(), 0);
    worker.set(|faults| faults.lose_answers = true);
    let lost = worker.start(&grant, 1, "forever").await;
    assert!(
        matches!(lost, Err(WorkerError::OutcomeUnknown { .. })),
        "{lost:?}"
    );
    assert_eq!(worker.starts(), 1);
    worker.set(|faults| faults.fail_all = true);
    worker
        .start(&grant, 2, "forever")
        .await
        .expect("enough free resources");
    let tasks = worker.renew(grant.epoch, &[1]).await.expect("in force");
    assert_eq!(
        tasks,
        [
            report(1, TaskStatus::Running),
            report(2, TaskStatus::Failed)
        ]
    );
}

#[tokio::test]
async fn worker_that_does_not_listen_is_unreachable() {
    let control = HttpWorkerControl::new();
    let target = WorkerTarget {
        name: "w1".parse().expect("valid name"),
        address: "127.0.0.1:1".parse().expect("an address"),
    };
    let gone = control.release(&target, EpochNumber::new(1)).await;
    assert!(
        matches!(gone, Err(WorkerError::NoEffect { .. })),
        "{gone:?}"
    );
}

/// Guards against a call without a timeout. A renewal that hangs would let the
/// leases of all workers of the manager expire.
#[tokio::test]
async fn silent_worker_costs_one_bounded_call() {
    let mut worker = Worker::new().await;
    worker.control = worker.control.with_timeout(SHORT);
    let grant = worker.acquire("h1").await.expect("free");
    worker.set(|faults| faults.silent = true);
    let clock = MilliClock::system();
    let silent = worker.start(&grant, 1, "forever").await;
    assert!(
        matches!(silent, Err(WorkerError::OutcomeUnknown { .. })),
        "{silent:?}"
    );
    assert!(clock.now().since(MilliTime::ZERO) < BOUND);
    worker.set(|_| {});
    let again = worker.acquire("h1").await.expect("a new connection works");
    assert!(again.epoch > grant.epoch && again.report.tasks.is_empty());
    worker.server.stop().await;
}

/// Guards against a malformed answer that is accepted as a grant or a refusal.
#[test_case(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}" ; "wrong shape")]
#[test_case(b"HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\n{}" ; "unknown refusal")]
#[test_case(b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"epoch\":1" ; "truncated")]
#[test_case(b"HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n" ; "server error")]
#[tokio::test]
async fn malformed_answer_leaves_the_command_unknown(answer: &[u8]) {
    let server = RawServer::new(answer.to_vec(), RawEnd::Close)
        .await
        .expect("an idle port");
    let mut worker = Worker::new().await;
    worker.target.address = server.address();
    let unknown = worker.acquire("h1").await;
    assert!(
        matches!(unknown, Err(WorkerError::OutcomeUnknown { .. })),
        "{unknown:?}"
    );
}

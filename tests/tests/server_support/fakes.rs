//! In-memory fakes of the control plane and the router.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use pimentochute_base::{
    ConfigVersion, JobId, KeyDigest, MilliSpan, MilliTime, PriorityClass, TeamName, WorkKind,
};
use pimentochute_platform::AppendError;
use pimentochute_route::{RequestRoute, RouteError, RoutedAnswer, RoutedRequest};
use pimentochute_server::api::{
    EndpointView, HistoryView, JobStatus, JobView, PatchView, StatusView, WorkerView,
};
use pimentochute_server::{
    ControlPlane, EndpointList, Heartbeat, HeartbeatSource, ServiceCapacity, StopHooks, SubmitError,
};
use pimentochute_state::{
    ConfigPatch, FleetConfig, JobSpec, KeyConfig, PatchOperation, QueueConfig, StampedRecord,
    TeamConfig,
};

use super::beat;

/// The secret of a key of team `print`.
pub const PRINT_KEY: &str = "secret-of-print";
/// The secret of a key of team `bags`.
pub const BAGS_KEY: &str = "secret-of-bags";
/// The secret of an operator key.
pub const DESK_KEY: &str = "secret-of-the-desk";

/// Returns a configuration with the teams `print` and `bags` and the queues
/// `prices` (requests), `open-prices` (requests, open), `proofs` (batch, `print`
/// only) and `drop` (batch, open).
pub fn config() -> FleetConfig {
    let queue = |kind, open, teams: &[&str], service: Option<&str>| QueueConfig {
        kind,
        open,
        teams: teams.iter().map(|t| t.parse().expect("name")).collect(),
        priority: PriorityClass::Normal,
        service: service.map(|s| s.parse().expect("name")),
    };
    let key = |team: &str, secret| KeyConfig {
        team: team.parse().expect("name"),
        digest: KeyDigest::of(secret),
    };
    let team = TeamConfig {
        share: 1,
        max_tasks: 10,
        max_requests: 10,
    };
    let name = |text: &str| text.parse().expect("name");
    FleetConfig {
        version: ConfigVersion::new(3),
        teams: BTreeMap::from([
            ("print".parse().expect("name"), team),
            ("bags".parse().expect("name"), team),
        ]),
        keys: BTreeMap::from([
            ("k-print".parse().expect("name"), key("print", PRINT_KEY)),
            ("k-bags".parse().expect("name"), key("bags", BAGS_KEY)),
        ]),
        queues: BTreeMap::from([
            (
                name("prices"),
                queue(WorkKind::Request, false, &["print", "bags"], Some("prices")),
            ),
            (
                name("open-prices"),
                queue(WorkKind::Request, true, &["bags"], Some("prices")),
            ),
            (
                name("proofs"),
                queue(WorkKind::Batch, false, &["print"], None),
            ),
            (name("drop"), queue(WorkKind::Batch, true, &["print"], None)),
        ]),
    }
}

/// A control plane that decides each call at once, in the order of the calls.
pub struct FakeControl {
    pub config: Mutex<Arc<FleetConfig>>,
    pub keyed: AtomicBool,
    pub has_read_jobs: AtomicBool,
    pub failure: Mutex<Option<SubmitError>>,
    pub jobs: Mutex<BTreeMap<JobId, (JobSpec, JobView)>>,
    pub appended: Mutex<Vec<StampedRecord>>,
    pub append_error: Mutex<Option<fn() -> AppendError>>,
    history: Mutex<Vec<HistoryView>>,
}

impl Default for FakeControl {
    fn default() -> Self {
        Self {
            config: Mutex::new(Arc::new(config())),
            keyed: AtomicBool::new(true),
            has_read_jobs: AtomicBool::new(true),
            failure: Mutex::default(),
            jobs: Mutex::default(),
            appended: Mutex::default(),
            append_error: Mutex::default(),
            history: Mutex::default(),
        }
    }
}

impl FakeControl {
    pub fn fail_with(&self, error: Option<SubmitError>) {
        *self.failure.lock().expect("lock") = error;
    }

    /// Removes a key from the configuration without a patch.
    pub fn withdraw(&self, key: &str) {
        let mut config = self.config.lock().expect("lock");
        Arc::make_mut(&mut config).keys.remove(key);
    }

    fn failure(&self) -> Result<(), SubmitError> {
        self.failure
            .lock()
            .expect("lock")
            .clone()
            .map_or(Ok(()), Err)
    }

    fn apply(&self, patch: &ConfigPatch) -> PatchView {
        let mut config = self.config.lock().expect("lock");
        if patch.base_version != config.version {
            let reason = "the base version is not the one in force".to_owned();
            return PatchView::Rejected {
                current: config.version,
                reason,
            };
        }
        let config = Arc::make_mut(&mut config);
        for operation in patch.operations.clone() {
            match operation {
                PatchOperation::SetTeam { team, config: c } => drop(config.teams.insert(team, c)),
                PatchOperation::RemoveTeam { team } => drop(config.teams.remove(&team)),
                PatchOperation::GrantKey { key, config: c } => drop(config.keys.insert(key, c)),
                PatchOperation::WithdrawKey { key } => drop(config.keys.remove(&key)),
                PatchOperation::SetQueue { queue, config: c } => {
                    drop(config.queues.insert(queue, c));
                }
                PatchOperation::RemoveQueue { queue } => drop(config.queues.remove(&queue)),
            }
        }
        config.version = config.version.next();
        PatchView::Accepted {
            version: config.version,
        }
    }
}

fn view_of(spec: &JobSpec, status: JobStatus) -> JobView {
    JobView {
        id: spec.id,
        team: spec.team.clone(),
        queue: spec.queue.clone(),
        kind: spec.kind,
        status,
        reason: None,
        submitted_ms: MilliTime::new(1),
        ended_ms: None,
        tasks: Vec::new(),
    }
}

impl ControlPlane for FakeControl {
    fn config(&self) -> Arc<FleetConfig> {
        self.config.lock().expect("lock").clone()
    }

    fn config_version(&self, version: ConfigVersion) -> Option<Arc<FleetConfig>> {
        Some(self.config()).filter(|config| config.version == version)
    }

    fn config_history(&self) -> Vec<HistoryView> {
        self.history.lock().expect("lock").clone()
    }

    fn has_read_jobs(&self) -> bool {
        self.has_read_jobs.load(Ordering::SeqCst)
    }

    fn accepts_keyed_work(&self) -> bool {
        self.keyed.load(Ordering::SeqCst)
    }

    fn patch(&self, patch: ConfigPatch) -> BoxFuture<'_, Result<PatchView, SubmitError>> {
        Box::pin(async move {
            self.failure()?;
            let mut history = self.history.lock().expect("lock");
            if let Some(seen) = history.iter().find(|entry| entry.patch == patch.id) {
                return Ok(seen.result.clone());
            }
            let result = self.apply(&patch);
            history.push(HistoryView {
                patch: patch.id,
                author: patch.author,
                result: result.clone(),
            });
            Ok(result)
        })
    }

    fn submit(&self, spec: JobSpec) -> BoxFuture<'_, Result<JobView, SubmitError>> {
        Box::pin(async move {
            self.failure()?;
            let mut jobs = self.jobs.lock().expect("lock");
            let fresh = (spec.clone(), view_of(&spec, JobStatus::Waiting));
            let (known, view) = jobs.entry(spec.id).or_insert(fresh);
            if *known == spec {
                Ok(view.clone())
            } else {
                Err(SubmitError::Conflict)
            }
        })
    }

    fn cancel(&self, job: JobId) -> BoxFuture<'_, Result<Option<JobView>, SubmitError>> {
        Box::pin(async move {
            self.failure()?;
            let mut jobs = self.jobs.lock().expect("lock");
            Ok(jobs.get_mut(&job).map(|(_, view)| {
                view.status = JobStatus::Cancelled;
                view.clone()
            }))
        })
    }

    fn job(&self, job: JobId) -> Option<JobView> {
        let jobs = self.jobs.lock().expect("lock");
        jobs.get(&job).map(|(_, view)| view.clone())
    }

    fn jobs(&self, team: Option<&TeamName>) -> Vec<JobView> {
        let jobs = self.jobs.lock().expect("lock");
        let views = jobs.values().map(|(_, view)| view.clone());
        views
            .filter(|view| team.is_none_or(|team| view.team == *team))
            .collect()
    }

    fn workers(&self) -> Vec<WorkerView> {
        Vec::new()
    }

    fn status(&self) -> StatusView {
        StatusView {
            host: "a1".parse().expect("name"),
            data_centre: "north".parse().expect("name"),
            config_version: self.config().version,
            keyed_work: self.accepts_keyed_work(),
            log_age_ms: MilliSpan::new(5),
            draining: false,
            peers: Vec::new(),
            slices: Vec::new(),
            active_jobs: 0,
            placed_tasks: 0,
        }
    }

    fn append_for_peer(
        &self,
        records: Vec<StampedRecord>,
    ) -> BoxFuture<'_, Result<(), AppendError>> {
        Box::pin(async move {
            if let Some(error) = *self.append_error.lock().expect("lock") {
                return Err(error());
            }
            self.appended.lock().expect("lock").extend(records);
            Ok(())
        })
    }
}

/// A router that echoes the body of every request after a delay.
#[derive(Default)]
pub struct FakeRoute {
    pub delay: Mutex<Duration>,
    pub error: Mutex<Option<RouteError>>,
    pub seen: Mutex<Vec<RoutedRequest>>,
    pub finished: AtomicU32,
}

impl RequestRoute for FakeRoute {
    fn route(&self, request: RoutedRequest) -> BoxFuture<'_, Result<RoutedAnswer, RouteError>> {
        Box::pin(async move {
            let delay = *self.delay.lock().expect("lock");
            self.seen.lock().expect("lock").push(request.clone());
            tokio::time::sleep(delay).await;
            self.finished.fetch_add(1, Ordering::SeqCst);
            if let Some(error) = self.error.lock().expect("lock").clone() {
                return Err(error);
            }
            let body = Bytes::from([b"echo ", request.body.as_ref()].concat());
            Ok(RoutedAnswer {
                status: 200,
                endpoint: "e1".to_owned(),
                attempts: 1,
                body,
            })
        })
    }
}

impl EndpointList for FakeRoute {
    fn endpoints(&self) -> Vec<EndpointView> {
        Vec::new()
    }

    fn free_capacity(&self) -> Vec<ServiceCapacity> {
        Vec::new()
    }
}

/// The heartbeats of a host, given by its name and data centre.
pub struct FakeHeartbeats(pub &'static str, pub &'static str);

impl HeartbeatSource for FakeHeartbeats {
    fn beat(&self) -> Heartbeat {
        beat(self.0, self.1, 1)
    }
}

/// Records what was released, in order.
#[derive(Default)]
pub struct FakeHooks {
    pub released: Mutex<Vec<&'static str>>,
}

impl StopHooks for FakeHooks {
    fn release_slices(&self) -> BoxFuture<'_, ()> {
        Box::pin(async { self.released.lock().expect("lock").push("slices") })
    }

    fn release_workers(&self) -> BoxFuture<'_, ()> {
        Box::pin(async { self.released.lock().expect("lock").push("workers") })
    }
}

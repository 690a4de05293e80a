//! Places waiting tasks of the teams whose slices this host owns.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use pimentochute_base::{
    ConfigVersion, DataCentreName, EpochNumber, JobId, LogOffset, MilliClock, MilliSpan,
    SliceIndex, TeamName,
};
use pimentochute_schedule::{PlacementDecision, UnplaceableJob, UnplaceableReason};
use pimentochute_state::{CellRecord, RecordOutcome, RefuseReason, TaskPlacement, allotment};
use tokio::sync::{Mutex, mpsc, watch};

use super::SubmitError;
use super::cell::{CellChange, ReplicatedCell};
use super::client::RecordClient;
use super::config::ReplicatedConfig;
use super::placement::PlacementMirror;
use super::refusals::RefusalTimer;

/// The longest time between two scheduling rounds.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// The delay after the log failed to take a record.
const LOG_RETRY_DELAY: MilliSpan = MilliSpan::new(500);

/// The most tasks that one round places.
const MAX_ROUND_TASKS: usize = 256;

/// The most decisions whose records have not been read back from the log.
const MAX_PENDING_DECISIONS: usize = 512;

/// Decides which worker runs each task and records the decisions.
pub(crate) struct SchedulerLoop {
    cell: Arc<ReplicatedCell>,
    config: Arc<ReplicatedConfig>,
    client: RecordClient,
    clock: MilliClock,
    data_centre: DataCentreName,
    data_centres: Vec<DataCentreName>,
    probe_interval: MilliSpan,
    refusal_timeout: MilliSpan,
    changes: Mutex<mpsc::UnboundedReceiver<CellChange>>,
}

/// The settings of a scheduler loop.
pub(crate) struct SchedulerSettings {
    /// The data centre of this host.
    pub data_centre: DataCentreName,
    /// All data centres.
    pub data_centres: Vec<DataCentreName>,
    /// How long after a failed task a quarantined worker gets its next probe
    /// task.
    pub probe_interval: MilliSpan,
    /// How long a job must be unplaceable before it is refused.
    pub refusal_timeout: MilliSpan,
}

/// A decision and the outcome of its record.
type RecordedDecision = (PlacementDecision, Result<RecordOutcome, SubmitError>);

impl SchedulerLoop {
    /// Creates the loop; `changes` are those of `cell`.
    pub(crate) fn new(
        cell: Arc<ReplicatedCell>,
        config: Arc<ReplicatedConfig>,
        client: RecordClient,
        clock: MilliClock,
        settings: SchedulerSettings,
        changes: mpsc::UnboundedReceiver<CellChange>,
    ) -> Self {
        Self {
            cell,
            config,
            client,
            clock,
            data_centre: settings.data_centre,
            data_centres: settings.data_centres,
            probe_interval: settings.probe_interval,
            refusal_timeout: settings.refusal_timeout,
            changes: Mutex::new(changes),
        }
    }

    /// Schedules until its future is dropped.
    pub(crate) async fn run(&self) {
        let mut changes = self.changes.lock().await;
        let mut config_updates = self.config.subscribe();
        let mut mirror = PlacementMirror::new(self.probe_interval);
        mirror.rebuild(&self.cell, &self.config.current());
        let mut pending = FuturesUnordered::new();
        let mut refusal_timer = RefusalTimer::new(self.refusal_timeout);
        let mut resume_at = self.clock.now();
        loop {
            if !self
                .wait(&mut changes, &mut config_updates, &mut mirror, &mut pending)
                .await
            {
                resume_at = self.clock.now() + LOG_RETRY_DELAY;
            }
            mirror.refresh_probes(&self.cell, self.clock.unix_now());
            if self.clock.now() < resume_at || pending.len() >= MAX_PENDING_DECISIONS {
                continue;
            }
            if !self.write_allotments().await {
                resume_at = self.clock.now() + LOG_RETRY_DELAY;
                continue;
            }
            for decision in mirror.decide(self.clock.unix_now(), MAX_ROUND_TASKS) {
                match self.placement_record(&decision) {
                    Some(record) => pending.push(self.record(decision, record)),
                    None => mirror.revoke(&self.cell, &decision),
                }
            }
            let now = self.clock.now();
            let unplaceable_jobs = if refusal_timer.is_check_due(now) {
                refusal_timer.update(now, mirror.unplaceable_jobs())
            } else {
                Vec::new()
            };
            if !self.write_refusals(unplaceable_jobs).await {
                resume_at = self.clock.now() + LOG_RETRY_DELAY;
            }
        }
    }

    /// Waits for a change or the next round and applies all changes so far.
    /// Returns whether the log took every record that was completed meanwhile.
    async fn wait(
        &self,
        changes: &mut mpsc::UnboundedReceiver<CellChange>,
        config_updates: &mut watch::Receiver<LogOffset>,
        mirror: &mut PlacementMirror,
        pending: &mut FuturesUnordered<impl Future<Output = RecordedDecision>>,
    ) -> bool {
        let mut recorded = true;
        tokio::select! {
            change = changes.recv() => {
                if let Some(change) = change {
                    self.apply_change(mirror, change);
                }
            }
            Some(recorded_decision) = pending.next(), if !pending.is_empty() => {
                recorded &= self.handle_outcome(mirror, recorded_decision);
            }
            _ = config_updates.changed() => mirror.set_teams(&self.cell, &self.config.current()),
            () = tokio::time::sleep(MAX_ROUND_INTERVAL) => {}
        }
        while let Ok(change) = changes.try_recv() {
            self.apply_change(mirror, change);
        }
        while let Some(Some(recorded_decision)) = futures::FutureExt::now_or_never(pending.next()) {
            recorded &= self.handle_outcome(mirror, recorded_decision);
        }
        recorded
    }

    fn apply_change(&self, mirror: &mut PlacementMirror, change: CellChange) {
        match change {
            CellChange::Applied(outcome) => {
                mirror.apply(
                    &self.cell,
                    &self.config.current(),
                    &outcome,
                    self.clock.unix_now(),
                );
            }
            CellChange::Replaced => mirror.rebuild(&self.cell, &self.config.current()),
        }
    }

    fn placement_record(&self, decision: &PlacementDecision) -> Option<CellRecord> {
        let (slice, epoch) = self.ownership(&decision.team)?;
        let tasks = decision.tasks.iter().map(|choice| TaskPlacement {
            task: choice.task,
            attempt: choice.attempt,
            worker: choice.worker.clone(),
            incarnation: choice.incarnation,
        });
        Some(CellRecord::TasksPlaced {
            job: decision.job,
            slice,
            epoch,
            tasks: tasks.collect(),
            at: self.clock.unix_now(),
        })
    }

    async fn record(&self, decision: PlacementDecision, record: CellRecord) -> RecordedDecision {
        let result = self.client.record(record).await;
        (decision, result)
    }

    /// Confirms or revokes a decision by the outcome of its record. Returns
    /// whether the outcome is known.
    fn handle_outcome(
        &self,
        mirror: &mut PlacementMirror,
        (decision, result): RecordedDecision,
    ) -> bool {
        let recorded = result.is_ok();
        match result {
            Ok(RecordOutcome { effect: Ok(_), .. }) => {
                log_placement(&decision);
                mirror.confirm(&decision);
            }
            Ok(RecordOutcome {
                effect: Err(reason),
                ..
            }) => {
                log::info!(
                    "scheduler: The placement of job {} had no effect: {reason}",
                    decision.job
                );
                mirror.revoke(&self.cell, &decision);
            }
            Err(error) => {
                log::debug!(
                    "scheduler: Cannot record the placement of job {}: {error}",
                    decision.job
                );
                // The record may still appear in the log and is then applied as
                // any other. A second placement of the same attempt is invalid.
                mirror.revoke(&self.cell, &decision);
            }
        }
        recorded
    }

    /// Returns the slice of a team and its epoch; `None` if another host owns
    /// it.
    fn ownership(&self, team: &TeamName) -> Option<(SliceIndex, EpochNumber)> {
        let replica = self.cell.read();
        let slice = replica.slice_of(team);
        let state = replica.slice(slice)?;
        (state.owner.as_ref() == Some(self.cell.this_host())).then_some((slice, state.epoch))
    }

    /// Records allotments that differ from the configuration, for the teams of
    /// this host's slices. Returns whether the log took every record.
    async fn write_allotments(&self) -> bool {
        let due = self.due_allotments();
        let writes = due.into_iter().map(|record| self.client.record(record));
        let results = futures::future::join_all(writes).await;
        results.iter().all(Result::is_ok)
    }

    fn due_allotments(&self) -> Vec<CellRecord> {
        let config = self.config.current();
        let replica = self.cell.read();
        let owned: BTreeSet<SliceIndex> = (0..replica.slice_count())
            .map(SliceIndex::new)
            .filter(|slice| {
                let owner = replica.slice(*slice).and_then(|state| state.owner.as_ref());
                owner == Some(self.cell.this_host())
            })
            .collect();
        let configured = config
            .teams
            .iter()
            .map(|(team, limits)| (team, limits.max_tasks));
        let zero_limits = replica.teams().map(|(team, _)| (team, 0));
        // A team that is no longer configured gets an allotment of zero.
        let limits: BTreeMap<&TeamName, u32> = zero_limits.chain(configured).collect();
        limits
            .into_iter()
            .filter(|(team, _)| owned.contains(&replica.slice_of(team)))
            .filter_map(|(team, limit)| {
                let tasks = allotment(limit, team, &self.data_centres, &self.data_centre);
                let known = replica.team(team);
                let (current, version) = known.map_or((0, ConfigVersion::default()), |state| {
                    (state.allotment, state.version)
                });
                let is_due = tasks != current && config.version > version;
                let team = team.clone();
                let version = config.version;
                is_due.then_some(CellRecord::AllotmentSet {
                    team,
                    version,
                    tasks,
                })
            })
            .collect()
    }

    /// Records the refusal of jobs that can never run. Returns whether the log
    /// took every record.
    async fn write_refusals(&self, unplaceable_jobs: Vec<UnplaceableJob>) -> bool {
        for unplaceable_job in unplaceable_jobs {
            let Some(record) = self.refusal_record(&unplaceable_job) else {
                continue;
            };
            log::info!(
                "scheduler: Refusing job {}: {}",
                unplaceable_job.job,
                unplaceable_job.reason
            );
            if self.client.record(record).await.is_err() {
                return false;
            }
        }
        true
    }

    fn refusal_record(&self, unplaceable_job: &UnplaceableJob) -> Option<CellRecord> {
        let (slice, epoch) = self.ownership(&unplaceable_job.team)?;
        let reason = match unplaceable_job.reason {
            UnplaceableReason::OverAllotment { .. } => RefuseReason::OverLimit,
            UnplaceableReason::TooLarge { .. } | UnplaceableReason::GangTooLarge { .. } => {
                RefuseReason::TooLarge
            }
        };
        let job: JobId = unplaceable_job.job;
        Some(CellRecord::JobRefused {
            job,
            slice,
            epoch,
            reason,
            at: self.clock.unix_now(),
        })
    }
}

fn log_placement(decision: &PlacementDecision) {
    for choice in &decision.tasks {
        log::info!(
            "scheduler: Placed task {}/{}#{} of team {} on worker {}. Reason: {}.",
            decision.job,
            choice.task,
            choice.attempt,
            decision.team,
            choice.worker,
            decision.reason,
        );
    }
}

//! Submission, cancellation, refusal and eviction of jobs.

use pimentochute_base::{
    EpochNumber, JobId, MilliTime, PriorityClass, SliceIndex, WorkKind, stable_hash,
};

use super::limits::{
    ENDED_JOB_RETENTION, MAX_ATTEMPTS, MAX_COMMAND_BYTES, MAX_ENDED_JOBS, MAX_JOB_TASKS,
    MAX_UNENDED_JOBS, MAX_UNENDED_TASKS, MIN_ENDED_JOBS,
};
use super::replica::{CellReplica, JobSlot};
use super::{JobOutcome, JobPhase, JobState, RetryCount, TaskState};
use crate::{CellEffect, InvalidReason, JobSpec, RefuseReason};

impl CellReplica {
    pub(super) fn submit_job(
        &mut self,
        spec: JobSpec,
        at: MilliTime,
    ) -> Result<CellEffect, InvalidReason> {
        let fingerprint = fingerprint(&spec);
        if let Some(known) = self.job(spec.id) {
            return Err(if known.fingerprint == fingerprint {
                InvalidReason::RepeatedSubmission
            } else {
                InvalidReason::ConflictingSubmission
            });
        }
        check_spec(&spec)?;
        self.check_job_capacity(&spec)?;
        self.advance_latest(at);
        let job = spec.id;
        self.add_job(JobState {
            tasks: (0..spec.tasks).map(|_| TaskState::new(at)).collect(),
            spec,
            fingerprint,
            number: self.next_number,
            submitted_at: at,
            phase: JobPhase::Active,
            live: 0,
            succeeded: 0,
            broken: None,
            retries: RetryCount::default(),
        });
        self.next_number = self.next_number.saturating_add(1);
        self.evict_ended_jobs();
        Ok(CellEffect::JobSubmitted { job })
    }

    pub(super) fn cancel_job(
        &mut self,
        job: JobId,
        at: MilliTime,
    ) -> Result<CellEffect, InvalidReason> {
        let slot = self.active_slot(job)?;
        self.advance_latest(at);
        self.begin_ending(slot, JobOutcome::Cancelled);
        self.try_end_job(slot, at);
        Ok(CellEffect::JobCancelled { job })
    }

    pub(super) fn refuse_job(
        &mut self,
        job: JobId,
        (slice, epoch): (SliceIndex, EpochNumber),
        reason: RefuseReason,
        at: MilliTime,
    ) -> Result<CellEffect, InvalidReason> {
        let slot = self.active_slot(job)?;
        if let Some(state) = self.jobs.get(slot) {
            self.check_ownership(&state.spec.team, slice, epoch)?;
            if state.live > 0 {
                return Err(InvalidReason::JobPlaced);
            }
        }
        self.advance_latest(at);
        self.begin_ending(slot, JobOutcome::Refused { reason });
        self.try_end_job(slot, at);
        Ok(CellEffect::JobRefused { job })
    }

    /// Returns the slot of an active job; fails if the job is ending, has ended
    /// or is unknown.
    pub(super) fn active_slot(&self, job: JobId) -> Result<JobSlot, InvalidReason> {
        let slot = self.job_slots.get(&job).copied();
        let state = slot.and_then(|slot| self.jobs.get(slot));
        match (slot, state.map(|state| state.phase)) {
            (Some(slot), Some(JobPhase::Active)) => Ok(slot),
            (_, Some(JobPhase::Ending { .. })) => Err(InvalidReason::JobEnding),
            (_, Some(JobPhase::Ended { .. })) => Err(InvalidReason::JobEnded),
            _ => Err(InvalidReason::UnknownJob),
        }
    }

    /// Adds a job to `jobs` and to every index.
    pub(super) fn add_job(&mut self, job: JobState) -> JobSlot {
        let (id, team, number) = (job.spec.id, job.spec.team.clone(), job.number);
        let index = usize::from(self.slice_of(&team).get());
        let (ended, tasks) = (job.has_ended(), job.tasks.len());
        let slot = self.jobs.insert(job);
        self.job_slots.insert(id, slot);
        self.teams
            .entry(team)
            .or_default()
            .jobs
            .insert(number, slot);
        if ended {
            self.ended.push_back(slot);
        } else {
            self.unended_tasks += tasks;
            if let Some(slice) = self.slices.get_mut(index) {
                slice.active.insert(number, slot);
            }
        }
        slot
    }

    /// Evicts ended jobs that are older than [`ENDED_JOB_RETENTION`], but keeps
    /// the latest [`MIN_ENDED_JOBS`], and any beyond [`MAX_ENDED_JOBS`]. Ages are
    /// measured by the times of the records.
    pub(super) fn evict_ended_jobs(&mut self) {
        while let Some(&slot) = self.ended.front() {
            let ended_at = self.jobs.get(slot).and_then(JobState::ended_at);
            let age = self.latest.since(ended_at.unwrap_or_default());
            let old = age > ENDED_JOB_RETENTION && self.ended.len() > MIN_ENDED_JOBS;
            if !old && self.ended.len() <= MAX_ENDED_JOBS {
                return;
            }
            self.ended.pop_front();
            self.evict_job(slot);
        }
    }

    fn evict_job(&mut self, slot: JobSlot) {
        let Some(job) = self.jobs.remove(slot) else {
            return;
        };
        self.job_slots.remove(&job.spec.id);
        if let Some(team) = self.teams.get_mut(&job.spec.team) {
            team.jobs.remove(&job.number);
        }
        self.newly_evicted.push(job.spec.id);
    }

    fn check_job_capacity(&self, spec: &JobSpec) -> Result<(), InvalidReason> {
        self.check_team_capacity(&spec.team)?;
        if self.unended_job_count() >= MAX_UNENDED_JOBS {
            return Err(InvalidReason::Full { what: "jobs" });
        }
        let tasks = usize::try_from(spec.tasks).unwrap_or(usize::MAX);
        if self.unended_tasks.saturating_add(tasks) > MAX_UNENDED_TASKS {
            return Err(InvalidReason::Full { what: "tasks" });
        }
        Ok(())
    }
}

/// Returns a hash of the fields that the caller sets, to tell a repeated
/// submission from a conflicting one. Leaves out the fields that the host fills
/// in from the queue and the settings, since those may change in between.
fn fingerprint(spec: &JobSpec) -> u64 {
    let asked = JobSpec {
        kind: WorkKind::Batch,
        priority: PriorityClass::Normal,
        max_attempts: 0,
        ..spec.clone()
    };
    stable_hash(&serde_json::to_string(&asked).unwrap_or_default())
}

fn check_spec(spec: &JobSpec) -> Result<(), InvalidReason> {
    if spec.id != JobId::new(&spec.team, &spec.key) {
        return Err(InvalidReason::WrongJobId);
    }
    let checks = [
        ("kind", spec.kind != WorkKind::Request),
        ("tasks", (1..=MAX_JOB_TASKS).contains(&spec.tasks)),
        ("command", spec.command.len() <= MAX_COMMAND_BYTES),
        (
            "max_attempts",
            (1..=MAX_ATTEMPTS).contains(&spec.max_attempts),
        ),
    ];
    match checks.into_iter().find(|(_, valid)| !valid) {
        Some((field, _)) => Err(InvalidReason::BadJob { field }),
        None => Ok(()),
    }
}

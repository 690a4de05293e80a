//! What a waiting gang lacks, for the log.

use pimentochute_base::{MilliSpan, MilliTime};
use strum::IntoStaticStr;

use crate::JobKey;
use crate::job::{StepState, WaitReason};

use super::WorkCell;
use super::place::{RoundPlan, StepKey, StepWorker};

/// The interval between two log lines about a gang whose reason to wait stays the same.
const REPEAT_INTERVAL: MilliSpan = MilliSpan::new(2_000);

/// The largest number of such lines in a placement round.
const MAX_REPEATED: usize = 4;

/// For how many tasks of a gang there is room on the workers that are known to suit it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct GangRoom {
    /// If the workers had no other runs.
    known: u32,
    /// Free now, also on workers that are reserved for others.
    free: u32,
    /// The part of `free` on workers that are reserved for gangs with a higher rank.
    reserved: u32,
    /// The part of `free` on other workers for which there is a valid ticket.
    ready: u32,
}

/// Whether the advice service is asked for a step.
#[derive(Debug, Clone, Copy, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum CallStatus {
    /// A call is in flight.
    InFlight,
    /// The last call had no answer, or no worker suits the step; the next call comes later.
    Paused,
    /// No call is in flight.
    Idle,
}

impl GangRoom {
    pub(super) fn new(rows: &[StepWorker], plan: &RoundPlan, step: StepKey) -> Self {
        let mut room = Self::default();
        for row in rows {
            room.known = room.known.saturating_add(row.max_slots);
            room.free = room.free.saturating_add(row.slots);
            if plan.is_kept(row.worker_key, step) {
                room.reserved = room.reserved.saturating_add(row.slots);
            } else if row.may_start {
                room.ready = room.ready.saturating_add(row.slots);
            }
        }
        room
    }
}

impl WorkCell {
    /// Stores why a gang waits, and logs it when the reason changes and from time to time.
    pub(super) fn note_gang_wait(
        &mut self,
        job_key: JobKey,
        step_index: usize,
        reason: WaitReason,
        room: GangRoom,
        plan: &mut RoundPlan,
    ) {
        let now = self.now;
        let job = &mut self.jobs[job_key];
        let step = job.step_name(step_index);
        let wanted = job.step_spec(step_index).tasks;
        let state = &mut job.steps[step_index];
        let is_new = state.wait_reason.replace(reason) != Some(reason);
        if !is_new {
            let is_recent = now.since(state.wait_logged_at) < REPEAT_INTERVAL;
            if is_recent || plan.repeated_waits >= MAX_REPEATED {
                return;
            }
            plan.repeated_waits += 1;
        }
        state.wait_logged_at = now;
        let reason: &str = reason.into();
        let call: &str = CallStatus::of(state, now).into();
        log::info!(
            step:%,
            reason,
            call,
            wanted,
            ready = room.ready,
            free = room.free,
            reserved = room.reserved,
            known = room.known,
            asked = state.advice.answered.len(),
            is_late = plan.is_late;
            "cell: a gang waits"
        );
    }
}

impl CallStatus {
    fn of(state: &StepState, now: MilliTime) -> Self {
        if state.advice.is_pending() {
            Self::InFlight
        } else if state.advice.retry_at > now {
            Self::Paused
        } else {
            Self::Idle
        }
    }
}

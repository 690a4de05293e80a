//! Refuses new jobs that cannot be served in time, before they are accepted.

use std::collections::BTreeMap;

use pimentochute_base::{MilliSpan, MilliTime, ResourceAmount};

use crate::admission::{AdmissionLoad, AdmissionRefusal, JobOutlook};
use crate::decision::CellDecision;
use crate::job::{JobState, RateStatus};
use crate::{JobCode, JobSubmission};

use super::WorkCell;
use super::place::total_demand;
use super::rank::{JobRank, RankedBacklog};
use super::scarcity::TeamShares;

/// What the last placement round found, for jobs that arrive after it.
#[derive(Debug)]
pub(super) struct AdmissionState {
    /// When the cell began, or a host last appended a job itself.
    disturbed_at: MilliTime,
    /// Since when room is scarce.
    scarce_since: Option<MilliTime>,
    /// The waiting work by priority, in millionths of the capacity times milliseconds.
    waiting: BTreeMap<u32, WaitingWork>,
}

/// The waiting work of a priority.
#[derive(Debug, Clone, Copy, Default)]
struct WaitingWork {
    /// That of jobs that can surely end in time, of teams within their rate.
    on_time: u64,
    /// That of the other jobs of these teams.
    late: u64,
    /// That of teams over their rate.
    over_rate: u64,
}

impl AdmissionState {
    pub(super) const fn new(now: MilliTime) -> Self {
        Self {
            disturbed_at: now,
            scarce_since: None,
            waiting: BTreeMap::new(),
        }
    }

    /// Returns the waiting work that ranks before a new job, as the time that it takes with
    /// all the capacity.
    fn ahead(&self, rate: RateStatus, priority: u32) -> MilliSpan {
        let work = self.waiting.iter().map(|(other, work)| match rate {
            RateStatus::Within if *other <= priority => work.on_time,
            RateStatus::Within => 0,
            RateStatus::Over if *other <= priority => work.on_time + work.late + work.over_rate,
            RateStatus::Over => work.on_time + work.late,
        });
        MilliSpan::new(work.sum::<u64>() / 1_000_000)
    }
}

impl WorkCell {
    /// Returns when the caller of a new job should return if the job is refused: it cannot be
    /// served in time, or its team sends more than its rate while others wait. `None` for
    /// all others, and for jobs that are known, wait for a time or run until they are
    /// cancelled.
    ///
    /// The cell keeps nothing of a refused job. The caller of this function makes sure that no
    /// host has got the job into the log before the refusal.
    #[must_use]
    pub fn refusal_of(&self, code: JobCode, submission: &JobSubmission) -> Option<MilliSpan> {
        self.admission_refusal(code, submission)
            .map(|(refusal, _)| refusal.retry_after)
    }

    /// Logs and counts a refusal that is final, and returns when the caller should return.
    pub fn refuse(&mut self, code: JobCode, submission: &JobSubmission) -> Option<MilliSpan> {
        let (refusal, load) = self.admission_refusal(code, submission)?;
        let reason: &str = refusal.reason.into();
        log::info!(
            job:% = code,
            queue:% = submission.queue,
            team:% = submission.team.as_deref().unwrap_or("-"),
            reason,
            wait:% = refusal.wait,
            ahead:% = load.ahead,
            used_ppm = load.used_ppm,
            scarce_for:% = load.scarce_for,
            waiting = self.backlog.len(),
            retry_after:% = refusal.retry_after;
            "cell: a job is refused"
        );
        self.decisions.add(CellDecision::from(refusal.reason));
        Some(refusal.retry_after)
    }

    fn admission_refusal(
        &self,
        code: JobCode,
        submission: &JobSubmission,
    ) -> Option<(AdmissionRefusal, AdmissionLoad)> {
        let spec = &submission.spec;
        let is_exempt = spec.schedule.is_some() || spec.steps.iter().any(|step| step.is_service);
        let scarce_since = self.admission.scarce_since?;
        if is_exempt || self.state(code).is_some() || spec.check().is_err() {
            return None;
        }
        let job = JobState::new(code, submission.clone());
        let terms = self.terms_of(&job);
        let objective = self.objective_of(&job, &terms);
        let rate = self.peek_team_rate(submission.team.as_deref(), submission.received);
        let load = AdmissionLoad {
            scarce_for: self.now.since(scarce_since),
            quiet_for: self.now.since(self.admission.disturbed_at),
            used_ppm: self.used_ppm(),
            ahead: self.admission.ahead(rate, terms.priority),
        };
        let outlook = JobOutlook {
            code,
            span: self.remaining_span(&job),
            until_objective: objective.since(self.unix_now),
            until_useless: super::rank::latest_use(&job, objective).since(self.unix_now),
            is_over_rate: rate == RateStatus::Over,
            is_below_share: self.is_below_share(submission.team.as_deref()),
        };
        load.refusal(&outlook).map(|refusal| (refusal, load))
    }

    /// Notes that a host appended a job itself, which may happen again.
    pub(super) fn note_host_append(&mut self) {
        self.admission.disturbed_at = self.now;
    }

    /// Notes what waits at the start of a placement round.
    pub(super) fn note_waiting_work(&mut self, backlog: &RankedBacklog) {
        self.admission.waiting.clear();
        if !backlog.pressure.is_scarce() {
            self.admission.scarce_since = None;
            return;
        }
        self.admission.scarce_since.get_or_insert(self.now);
        let capacity = self.total_capacity();
        for rank in &backlog.ranks {
            let work = self.waiting_work(rank, &capacity);
            let waiting = self.admission.waiting.entry(rank.priority()).or_default();
            let part = if rank.rate() == RateStatus::Over {
                &mut waiting.over_rate
            } else if rank.is_surely_on_time() {
                &mut waiting.on_time
            } else {
                &mut waiting.late
            };
            *part = part.saturating_add(work);
        }
    }

    /// Returns the work of the waiting tasks of a job, in millionths of the capacity times
    /// milliseconds.
    fn waiting_work(&self, rank: &JobRank, capacity: &ResourceAmount) -> u64 {
        let job = &self.jobs[rank.key];
        let steps = job.steps.iter().enumerate();
        let works = steps
            .filter(|(_, state)| state.waiting > 0)
            .map(|(index, state)| {
                let spec = job.step_spec(index);
                if spec.is_service || spec.uses_leftover_cpu {
                    return 0;
                }
                let demand = total_demand(&spec.demand, state.waiting);
                let span = self.expected_span(job, index).as_millis();
                demand.dominant_share_ppm(capacity).saturating_mul(span)
            });
        works.fold(0, u64::saturating_add)
    }

    /// Returns the part of the capacity that runs take, in millionths.
    fn used_ppm(&self) -> u64 {
        let workers = self
            .workers
            .values()
            .filter(|worker| self.takes_runs(worker));
        let used: ResourceAmount = workers.map(|worker| worker.committed).sum();
        used.dominant_share_ppm(&self.total_capacity())
    }

    /// Returns whether a team uses less than its share by weight of what all teams use.
    fn is_below_share(&self, team: Option<&str>) -> bool {
        let capacity = self.total_capacity();
        let mut shares = TeamShares::default();
        for (name, state) in &self.teams {
            let used_ppm = state.placed_demand.dominant_share_ppm(&capacity);
            if used_ppm > 0 || team == Some(name) {
                shares.add(name, used_ppm, self.team_weight(name));
            }
        }
        team.is_some_and(|team| shares.is_below(team))
    }
}

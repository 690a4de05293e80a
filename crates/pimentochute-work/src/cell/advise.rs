//! Requests to the advice service, which decides which workers may run a step.

use crate::advice::{EligibilityRate, EligibleWorker};
use crate::effect::CellEffect;
use crate::relays::CallOutcome;
use crate::{AdviceCommand, AdviceRow, JobKey, QueueTerms, StepName, WorkerKey};
use pimentochute_base::MilliSpan;

use super::WorkCell;
use super::place::RoundPlan;

/// The longest list of workers in one request.
const MAX_WORKERS_PER_REQUEST: usize = 100;

/// The delay before the next request after one without an answer, while no other host
/// takes calls.
const RETRY_DELAY: MilliSpan = MilliSpan::new(150);

/// The delay before a step that no worker may run is requested again for all
/// workers.
const NO_ELIGIBLE_DELAY: MilliSpan = MilliSpan::new(2_000);

/// The part of a ticket's validity that is left for the time between the advice
/// and the start at the worker, in thousandths.
const TICKET_MARGIN_PERMILLE: u64 = 150;

impl WorkCell {
    /// Requests advice about workers for a step. Returns `false` if no relay has
    /// capacity for the call, or if the queue needs no advice.
    pub(super) fn request_advice(
        &mut self,
        job_key: JobKey,
        step_index: usize,
        terms: &QueueTerms,
        workers: &[WorkerKey],
    ) -> bool {
        let Some(cost) = terms.advice_cost() else {
            return false;
        };
        let workers = &workers[..workers.len().min(MAX_WORKERS_PER_REQUEST)];
        let span = cost.span(workers.len());
        let Some((relay, wait)) = self.relays.choose(span, self.now) else {
            return false;
        };
        let job = &mut self.jobs[job_key];
        let step = job.step_name(step_index);
        job.steps[step_index].advice.pending += 1;
        let ids = workers
            .iter()
            .map(|key| self.workers[*key].report.id.clone());
        let ids: Vec<_> = ids.collect();
        let incarnations = workers
            .iter()
            .map(|key| (*key, self.workers[*key].incarnation));
        log::debug!(step:%, adviser:% = relay, workers = ids.len(); "cell: advice is requested");
        self.effects.push(CellEffect::RequestAdvice(AdviceCommand {
            step,
            workers: ids,
            incarnations: incarnations.collect(),
            cost,
            relay,
            wait,
            sent: self.now,
        }));
        true
    }

    /// Applies the answer to an advice request. `rows` is `None` if there was no
    /// answer.
    pub fn advice_answered(&mut self, command: &AdviceCommand, rows: Option<Vec<AdviceRow>>) {
        let took = self.now.since(command.sent);
        let outcome = CallOutcome::new(rows.is_some(), took, command.wait);
        self.relays
            .call_finished(&command.relay, command.span(), outcome, self.now);
        self.needs_placement = true;
        let Some((job_key, step_index)) = self.find_step(command.step) else {
            return;
        };
        let now = self.now;
        let Some(rows) = rows else {
            let outcome: &str = outcome.into();
            log::warn!(
                step:% = command.step,
                adviser:% = command.relay,
                outcome,
                took:%,
                expected:% = command.wait;
                "cell: an advice request has no answer"
            );
            let advice = &mut self.jobs[job_key].steps[step_index].advice;
            advice.pending = advice.pending.saturating_sub(1);
            advice.retry_at = if self.relays.has_usable(now) {
                now
            } else {
                now + RETRY_DELAY
            };
            return;
        };
        let validity = command.cost.validity.as_millis();
        let usable = validity - validity * TICKET_MARGIN_PERMILLE / 1_000;
        // A ticket is valid for one incarnation, and one that has restarted since may be of
        // another kind.
        let present = command.incarnations.iter().filter(|(key, incarnation)| {
            let worker = self.workers.get(*key);
            worker.is_some_and(|worker| worker.incarnation == *incarnation)
        });
        let requested: Vec<_> = present.map(|(key, _)| *key).collect();
        let eligible = rows.iter().filter_map(|row| {
            let worker = *self.worker_keys.get(&row.worker)?;
            requested.contains(&worker).then(|| EligibleWorker {
                worker,
                ticket: row.ticket.clone(),
                valid_until: now + MilliSpan::new(usable),
            })
        });
        let eligible: Vec<_> = eligible.collect();
        let job = &mut self.jobs[job_key];
        let advice = &mut job.steps[step_index].advice;
        let is_first = advice.answered.is_empty();
        if is_first {
            let queue = job.submission.queue.clone();
            self.eligibility_rates
                .entry(queue)
                .or_default()
                .add_answer(requested.len(), eligible.len());
        }
        let open_workers = self.open_workers();
        let workers = &self.workers;
        let is_evacuated = |worker_key: WorkerKey| {
            let worker = workers.get(worker_key);
            worker.is_some_and(|worker| worker.is_evacuated)
        };
        let advice = &mut self.jobs[job_key].steps[step_index].advice;
        advice.answer(&requested, eligible);
        let mut eligible = advice.eligible.iter();
        let has_none = eligible.all(|row| is_evacuated(row.worker));
        if has_none && advice.answered.len() >= open_workers {
            advice.answered.clear();
            advice.retry_at = now + NO_ELIGIBLE_DELAY;
        }
    }

    /// Returns whether a round may request advice for the job that it considers.
    pub(super) fn may_request(&self, terms: &QueueTerms, plan: &RoundPlan) -> bool {
        terms
            .advice_cost()
            .is_some_and(|cost| !plan.is_late || self.relays.takes_late(cost.span(0), self.now))
    }

    /// Returns which part of the workers may run the steps of a queue.
    pub(super) fn eligibility_rate(&self, queue: &str) -> EligibilityRate {
        self.eligibility_rates
            .get(queue)
            .copied()
            .unwrap_or_default()
    }

    fn find_step(&self, name: StepName) -> Option<(JobKey, usize)> {
        let key = *self.job_keys.get(&name.job)?;
        let job = &self.jobs[key];
        let per_occurrence = job.submission.spec.steps.len();
        let index = name.occurrence as usize * per_occurrence + usize::from(name.step);
        (index < job.steps.len()).then_some((key, index))
    }
}

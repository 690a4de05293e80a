//! Simple schedulers as baselines.

use std::collections::{HashMap, VecDeque};

use pimentochute_base::{MilliTime, ResourceAmount, WorkKind};

use crate::replay::ReplayScheduler;
use crate::sample::SampleRng;
use crate::workload::{Arrival, FleetShape};

/// Waiting jobs that a baseline tries per call, oldest first.
const MAX_RANDOM_TRIES: usize = 200;

/// How a baseline finds a worker.
#[derive(Debug, Clone)]
pub enum BaselineRule {
    /// The first worker that fits. A job that does not fit blocks all later ones.
    FirstFit,
    /// Of two random workers that fit, the one with more free processor time. A
    /// job that fits neither is skipped.
    TwoChoices(SampleRng),
}

struct WaitingEntry {
    index: usize,
    gang: bool,
    demand: ResourceAmount,
    tasks: VecDeque<u32>,
}

/// Places jobs in order of arrival, without classes, teams or allotments.
pub struct BaselineScheduler {
    rule: BaselineRule,
    free: Vec<ResourceAmount>,
    queue: VecDeque<WaitingEntry>,
    placed: HashMap<(usize, u32), (usize, ResourceAmount)>,
}

impl BaselineScheduler {
    pub fn new(fleet: &FleetShape, rule: BaselineRule) -> Self {
        Self {
            rule,
            free: fleet.workers().map(|worker| worker.capacity).collect(),
            queue: VecDeque::new(),
            placed: HashMap::new(),
        }
    }

    fn find(&mut self, demand: &ResourceAmount) -> Option<usize> {
        match &mut self.rule {
            BaselineRule::FirstFit => self.free.iter().position(|free| demand.fits_within(free)),
            BaselineRule::TwoChoices(rng) => {
                let choices = [rng.below(self.free.len()), rng.below(self.free.len())];
                let fitting = choices
                    .into_iter()
                    .filter(|w| demand.fits_within(&self.free[*w]));
                fitting.max_by_key(|worker| self.free[*worker].cpu_millis)
            }
        }
    }

    /// Places the tasks that fit of the job at position `at` of the queue.
    fn place_entry(&mut self, at: usize, started: &mut Vec<(usize, u32)>) {
        let (index, gang, demand) = {
            let entry = &self.queue[at];
            (entry.index, entry.gang, entry.demand)
        };
        let mut chosen = Vec::new();
        while chosen.len() < self.queue[at].tasks.len() {
            let Some(worker) = self.find(&demand) else {
                break;
            };
            self.free[worker] = self.free[worker].saturating_sub(&demand);
            chosen.push(worker);
        }
        if gang && chosen.len() < self.queue[at].tasks.len() {
            for worker in chosen {
                self.free[worker] += demand;
            }
            return;
        }
        for worker in chosen {
            if let Some(task) = self.queue[at].tasks.pop_front() {
                self.placed.insert((index, task), (worker, demand));
                started.push((index, task));
            }
        }
    }
}

impl ReplayScheduler for BaselineScheduler {
    fn add(&mut self, index: usize, arrival: &Arrival) {
        self.queue.push_back(WaitingEntry {
            index,
            gang: arrival.job.kind == WorkKind::Gang,
            demand: arrival.job.demand,
            tasks: (0..arrival.runs.len() as u32).collect(),
        });
    }

    fn place(&mut self, _now: MilliTime) -> Vec<(usize, u32)> {
        let mut started = Vec::new();
        let passes = matches!(self.rule, BaselineRule::TwoChoices(_));
        let mut at = 0;
        while at < self.queue.len().min(MAX_RANDOM_TRIES) {
            self.place_entry(at, &mut started);
            if self.queue[at].tasks.is_empty() {
                self.queue.remove(at);
            } else if passes {
                at += 1;
            } else {
                break;
            }
        }
        started
    }

    fn end(&mut self, index: usize, task: u32) {
        if let Some((worker, demand)) = self.placed.remove(&(index, task)) {
            self.free[worker] += demand;
        }
    }
}

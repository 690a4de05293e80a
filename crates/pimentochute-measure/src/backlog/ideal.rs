//! How long the gangs that wait at the end of the traffic take at least.
//!
//! Three bounds hold whatever the order of the calls and starts:
//! - Each gang needs tickets for as many workers as its tasks fill. If nothing is known of
//!   which workers suit it, it has to ask about as many as hold these at the share that
//!   suits, in one call at least; parts only add calls. The service handles the calls of a
//!   host one after the other, so that all of them take their sum divided by the hosts.
//! - A call may be made in parts through all hosts, and no part takes less than its share.
//! - The runs take their resources for their whole time. What has not run when the last gang
//!   starts fits on the fleet, and is no more than its longest runs that do.
//!
//! The bounds leave out the runs and calls of others and the ends of tickets. That about which
//! workers suit is a mean: a gang may be lucky. Calls in flight at the end of the traffic count as not made; this adds one call a host at
//! most.

use std::cmp::Reverse;

use pimentochute_base::{MilliSpan, ResourceAmount};
use pimentochute_work::AdviceCost;

use super::load::{WORKER_CAPACITY, shortest_run};
use super::report::IdealTime;

/// A gang that waits.
#[derive(Debug, Clone, Copy)]
pub(super) struct GangNeed {
    pub(super) tasks: u32,
    /// The demand of each task.
    pub(super) demand: ResourceAmount,
    /// The mean duration of its run.
    pub(super) estimate: MilliSpan,
    pub(super) advice: Option<AdviceCost>,
    /// The share of workers that may run it, in percent.
    pub(super) eligible_percent: u64,
}

impl GangNeed {
    /// Returns the number of suitable workers that the gang fills if they run nothing else.
    fn suitable_workers(&self) -> u64 {
        u64::from(self.tasks).div_ceil(task_slots(&self.demand).max(1))
    }

    /// Returns the number of workers among which so many are suitable, of a fleet of `workers`.
    fn asked_workers(&self, workers: usize) -> u64 {
        let asked = self.suitable_workers() * 100;
        asked
            .div_ceil(self.eligible_percent.max(1))
            .min(workers as u64)
    }

    fn call_time(&self, workers: u64) -> MilliSpan {
        let workers = usize::try_from(workers).unwrap_or(usize::MAX);
        self.advice
            .map_or(MilliSpan::ZERO, |cost| cost.span(workers))
    }
}

/// Returns how many tasks fit on a worker that runs nothing else.
pub(super) fn task_slots(demand: &ResourceAmount) -> u64 {
    let cpu = WORKER_CAPACITY.cpu_millis / demand.cpu_millis.max(1);
    cpu.min(WORKER_CAPACITY.memory_mib / demand.memory_mib.max(1))
}

/// Returns the least time until the last of the gangs has started, on a fleet of `workers`
/// with `hosts` that pass calls on.
pub(super) fn ideal_time(gangs: &[GangNeed], workers: usize, hosts: usize) -> IdealTime {
    let hosts = hosts.max(1) as u64;
    let total = |asked: &dyn Fn(&GangNeed) -> u64| {
        let calls = gangs.iter().map(|gang| gang.call_time(asked(gang)));
        let total: u64 = calls.map(MilliSpan::as_millis).sum();
        MilliSpan::new(total / hosts)
    };
    let asked = |gang: &GangNeed| gang.asked_workers(workers);
    let longest = |parts: u64| {
        let calls = gangs.iter();
        let calls = calls.map(|gang| gang.call_time(asked(gang).div_ceil(parts)));
        calls.max().unwrap_or_default()
    };
    IdealTime {
        gangs: gangs.len(),
        calls: total(&asked),
        known_calls: total(&GangNeed::suitable_workers),
        longest_call: longest(1),
        shortest_call: longest(hosts),
        room: room_time(gangs, workers),
    }
}

fn room_time(gangs: &[GangNeed], workers: usize) -> MilliSpan {
    let bound = |amount: fn(&ResourceAmount) -> u64| {
        let capacity = amount(&WORKER_CAPACITY) * workers as u64;
        let mut runs: Vec<_> = gangs
            .iter()
            .map(|gang| {
                let width = u64::from(gang.tasks) * amount(&gang.demand);
                (shortest_run(gang.estimate).as_millis(), width)
            })
            .collect();
        runs.sort_unstable_by_key(|(span, _)| Reverse(*span));
        let mut free = capacity;
        let mut done = 0;
        for (span, width) in runs {
            // The longest runs that fit on the fleet may all begin at the last start.
            let last = width.min(free);
            free -= last;
            done += span * (width - last);
        }
        done / capacity.max(1)
    };
    MilliSpan::new(bound(|amount| amount.cpu_millis).max(bound(|amount| amount.memory_mib)))
}

//! Measures waiting times, packing and shares, compared with baselines and
//! alternative settings.

use std::fmt::Write as _;

use pimentochute_base::MilliSpan;
use pimentochute_schedule::{
    BoundedPriority, FirstSubmitted, HoldLimits, PlacerSettings, StrictPriority, TaskShare,
    WorstFit,
};

use crate::baseline::{BaselineRule, BaselineScheduler};
use crate::hosts::{HOSTS, MultiHostScheduler};
use crate::replay::{CLASSES, PlacerScheduler, ReplayResult, ReplayScheduler, replay};
use crate::report::{Direction, print, quantile};
use crate::sample::SampleRng;
use crate::workload::{Arrival, FleetShape, arrivals};

/// The target for the waiting time of urgent tasks, in seconds.
const MAX_URGENT_WAIT_SECONDS: f64 = 2.9;

/// The time in which the jobs of a replay arrive, in milliseconds: two hours.
const SPAN_MS: u64 = 7_200_000;

/// The seeds of the arrival lists that are replayed with each setting. The 99th
/// percentiles of a single list vary too much.
const SEEDS: [u64; 3] = [11, 22, 33];

const FLEETS: [FleetShape; 2] = [
    FleetShape {
        name: "50 x 16 cores",
        workers: 50,
        cores: 16,
        memory_gib: 64,
        per_rack: 6,
    },
    FleetShape {
        name: "50 x 64 cores",
        workers: 50,
        cores: 64,
        memory_gib: 128,
        per_rack: 8,
    },
];

pub fn run() {
    for fleet in &FLEETS {
        for load in [0.6, 0.9, 1.2] {
            let lists: Vec<_> = SEEDS
                .iter()
                .map(|seed| arrivals(fleet, load, SPAN_MS, seed + fleet.cores))
                .collect();
            let jobs: usize = lists.iter().map(Vec::len).sum();
            eprintln!("replay: {}, load {load}, {jobs} jobs", fleet.name);
            compare(fleet, load, &lists);
        }
    }
}

fn compare(fleet: &FleetShape, load: f64, lists: &[Vec<Arrival>]) {
    let first = || BaselineScheduler::new(fleet, BaselineRule::FirstFit);
    let mut first = replay_all(fleet, lists, first);
    print_row("first come, first fit", &mut first);
    let random = || BaselineRule::TwoChoices(SampleRng::new(SEEDS[0]));
    let random = || BaselineScheduler::new(fleet, random());
    let mut random = replay_all(fleet, lists, random);
    print_row("random, two choices", &mut random);
    let placer = || PlacerScheduler::new(fleet, PlacerSettings::new());
    let mut placer = replay_all(fleet, lists, placer);
    print_row("default", &mut placer);
    let label = format!("{}, load {load}", fleet.name);
    report(&label, &mut placer, &mut [first, random]);
    for (name, settings) in ALTERNATIVES {
        let scheduler = || PlacerScheduler::new(fleet, settings());
        print_row(name, &mut replay_all(fleet, lists, scheduler));
    }
    compare_hosts(fleet, &lists[0]);
}

/// Compares one host with several hosts on the first list.
fn compare_hosts(fleet: &FleetShape, list: &[Arrival]) {
    let mut alone = PlacerScheduler::new(fleet, PlacerSettings::new());
    print_row(
        "one host, first list",
        &mut replay(&mut alone, fleet, list, SPAN_MS),
    );
    let mut scheduler = MultiHostScheduler::new(fleet);
    let mut result = replay(&mut scheduler, fleet, list, SPAN_MS);
    print_row(&format!("{HOSTS} hosts, first list"), &mut result);
    let [records, invalid] = scheduler.records;
    eprintln!("  {invalid} of {records} records of {HOSTS} hosts were invalid");
}

/// Replays each list with a new scheduler and combines the results.
fn replay_all<P: ReplayScheduler>(
    fleet: &FleetShape,
    lists: &[Vec<Arrival>],
    scheduler: impl Fn() -> P,
) -> ReplayResult {
    let results = lists
        .iter()
        .map(|list| replay(&mut scheduler(), fleet, list, SPAN_MS));
    ReplayResult::mean(results.collect())
}

type Alternative = (&'static str, fn() -> PlacerSettings);

/// Settings that differ from the default in a single policy.
const ALTERNATIVES: [Alternative; 10] = [
    ("plain weighted shares", || {
        PlacerSettings::new().with_team_order(Box::new(TaskShare))
    }),
    ("submission order", || {
        PlacerSettings::new().with_job_order(Box::new(FirstSubmitted))
    }),
    ("strict priority", || {
        PlacerSettings::new().with_class_order(Box::new(StrictPriority))
    }),
    ("turn after 8 passes", || turn_after(8)),
    ("turn after 64 passes", || turn_after(64)),
    ("worst fit", || {
        PlacerSettings::new().with_batch_and_gang_fit(Box::new(WorstFit))
    }),
    ("no holds", || PlacerSettings::new().with_holds(None)),
    ("holds without rest", || {
        with_limits(|limits| limits.rest_percent = 0)
    }),
    ("gangs hold after 300 s", || {
        with_limits(|limits| limits.gang_after = MilliSpan::new(300_000))
    }),
    ("holds shut to urgent", || {
        with_limits(|limits| limits.urgent_may_backfill = false)
    }),
];

fn turn_after(passes: u32) -> PlacerSettings {
    let order = BoundedPriority::new().with_limit(passes);
    PlacerSettings::new().with_class_order(Box::new(order))
}

fn with_limits(change: fn(&mut HoldLimits)) -> PlacerSettings {
    let mut limits = HoldLimits::default();
    change(&mut limits);
    PlacerSettings::new().with_holds(Some(limits))
}

/// Prints the figures. Those without a stated target have the better baseline of
/// the same run as the target.
fn report(label: &str, placer: &mut ReplayResult, baselines: &mut [ReplayResult; 2]) {
    for (class, priority) in CLASSES.iter().enumerate() {
        for (name, part) in [("median", 0.5), ("99th percentile", 0.99)] {
            let value = quantile(&mut placer.waits[class], part);
            let best = baselines
                .iter_mut()
                .map(|b| quantile(&mut b.waits[class], part));
            let best = best.fold(f64::INFINITY, f64::min);
            let target = if class == 0 {
                MAX_URGENT_WAIT_SECONDS
            } else {
                best
            };
            let figure = format!("waiting time {name}, {priority}, {label}");
            print(&figure, value, "s", target, Direction::Lower);
        }
    }
    let packing = baselines.iter().map(|b| b.packing).fold(0.0, f64::max);
    print(
        &format!("packing, {label}"),
        placer.packing,
        "part",
        packing,
        Direction::Higher,
    );
    let shortfall = baselines
        .iter()
        .map(|b| b.shortfall)
        .fold(f64::INFINITY, f64::min);
    let figure = format!("shortfall of waiting teams, {label}");
    print(
        &figure,
        placer.shortfall,
        "part",
        shortfall,
        Direction::Lower,
    );
}

/// Prints one row to standard error.
fn print_row(name: &str, result: &mut ReplayResult) {
    let mut waits = String::new();
    for class in 0..CLASSES.len() {
        let median = quantile(&mut result.waits[class], 0.5);
        let tail = quantile(&mut result.waits[class], 0.99);
        let _ = write!(waits, " {median:7.1} {tail:7.1}");
    }
    let gang = quantile(&mut result.gang_waits, 0.99);
    eprintln!(
        "  {name:22} waits{waits} gang {gang:7.1} packing {:.3} shortfall {:.3} late {:.3} used {:.3}",
        result.packing, result.shortfall, result.late, result.used
    );
}

//! Waiting times, packing and shares, against baselines and alternatives.

use std::fmt::Write as _;

use pimentochute_schedule::{FirstSubmitted, PlacerSettings, StrictPriority, TaskShare, WorstFit};

use crate::baseline::{BaselinePlayer, BaselineRule};
use crate::replay::{CLASSES, PlacerPlayer, ReplayResult, play};
use crate::report::{Better, print, quantile};
use crate::sample::SampleSource;
use crate::workload::{Arrival, FleetShape, arrivals};

/// Urgent work has to start within this many seconds.
const URGENT_SECONDS: f64 = 2.9;

/// The time in which the jobs of a replay arrive: two hours.
const SPAN: u64 = 7_200_000;

const SEED: u64 = 20_261_204;

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
            let arrivals = arrivals(fleet, load, SPAN, SEED + fleet.cores);
            eprintln!(
                "replay: {}, load {load}, {} jobs",
                fleet.name,
                arrivals.len()
            );
            compare(fleet, load, &arrivals);
        }
    }
}

fn compare(fleet: &FleetShape, load: f64, arrivals: &[Arrival]) {
    let mut first = BaselinePlayer::new(fleet, BaselineRule::FirstFit);
    let mut first = play(&mut first, fleet, arrivals, SPAN);
    tell("first come, first fit", &mut first);
    let rule = BaselineRule::TwoChoices(SampleSource::new(SEED));
    let mut random = BaselinePlayer::new(fleet, rule);
    let mut random = play(&mut random, fleet, arrivals, SPAN);
    tell("random, two choices", &mut random);
    let mut ours = play_placer(fleet, arrivals, PlacerSettings::new());
    tell("default", &mut ours);
    report(
        &format!("{}, load {load}", fleet.name),
        &mut ours,
        &mut [first, random],
    );
    for (name, settings) in alternatives() {
        let mut result = play_placer(fleet, arrivals, settings);
        tell(name, &mut result);
    }
}

fn play_placer(fleet: &FleetShape, arrivals: &[Arrival], settings: PlacerSettings) -> ReplayResult {
    let mut player = PlacerPlayer::new(fleet, settings);
    let result = play(&mut player, fleet, arrivals, SPAN);
    let abandoned = player.abandoned_holds();
    if abandoned > 0 {
        eprintln!("  {abandoned} holds given up");
    }
    result
}

/// Settings that differ from the default in one policy.
fn alternatives() -> Vec<(&'static str, PlacerSettings)> {
    let new = PlacerSettings::new;
    vec![
        (
            "plain weighted shares",
            new().with_team_order(Box::new(TaskShare)),
        ),
        (
            "submission order",
            new().with_job_order(Box::new(FirstSubmitted)),
        ),
        (
            "strict priority",
            new().with_class_order(Box::new(StrictPriority)),
        ),
        ("worst fit", new().with_task_fit(Box::new(WorstFit))),
        ("no holds", new().with_holds(false)),
        (
            "no holds, strict",
            new()
                .with_holds(false)
                .with_class_order(Box::new(StrictPriority)),
        ),
        (
            "no holds, plain shares",
            new().with_holds(false).with_team_order(Box::new(TaskShare)),
        ),
        (
            "no holds, submission",
            new()
                .with_holds(false)
                .with_job_order(Box::new(FirstSubmitted)),
        ),
        (
            "no holds, worst fit",
            new().with_holds(false).with_task_fit(Box::new(WorstFit)),
        ),
    ]
}

/// Prints the figures; those without a stated target are compared with the
/// better one of the baselines in the same run.
fn report(label: &str, ours: &mut ReplayResult, baselines: &mut [ReplayResult; 2]) {
    for (class, priority) in CLASSES.iter().enumerate() {
        for (name, part) in [("median", 0.5), ("99th percentile", 0.99)] {
            let value = quantile(&mut ours.waits[class], part);
            let best = baselines
                .iter_mut()
                .map(|b| quantile(&mut b.waits[class], part));
            let best = best.fold(f64::INFINITY, f64::min);
            let target = if class == 0 { URGENT_SECONDS } else { best };
            let figure = format!("waiting time {name}, {priority}, {label}");
            print(&figure, value, "s", target, Better::Lower);
        }
    }
    let packing = baselines.iter().map(|b| b.packing).fold(0.0, f64::max);
    print(
        &format!("packing, {label}"),
        ours.packing,
        "part",
        packing,
        Better::Higher,
    );
    let shortfall = baselines
        .iter()
        .map(|b| b.shortfall)
        .fold(f64::INFINITY, f64::min);
    let figure = format!("shortfall of waiting teams, {label}");
    print(&figure, ours.shortfall, "part", shortfall, Better::Lower);
}

/// Prints one row on standard error.
fn tell(name: &str, result: &mut ReplayResult) {
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

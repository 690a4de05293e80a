//! Measures the processor time of the decisions of a cell's owner, without a
//! network.
//!
//! Run with `cargo run --release -p pimentochute-measure --bin cell_cost --
//! [WORKERS...]`. Simulates 20 seconds of a mixed load at about four fifths of the
//! fleet's capacity, with one scheduling round after each event, as at a busy
//! owner. Prints one JSON object per line for each fleet.

#![allow(
    clippy::cast_precision_loss,
    reason = "figures are printed with far fewer digits than a float has"
)]

mod load;
mod simulation;

use std::time::{Duration, Instant};

use load::JobLoad;
use serde_json::json;
use simulation::CellSimulation;

/// The numbers of workers to measure if the command line names none.
const DEFAULT_FLEETS: [usize; 4] = [48, 350, 700, 2_700];

/// The simulated time before the measurement, in which the fleet fills up.
const WARM_UP_SECONDS: u64 = 10;

/// The simulated time that is measured.
const MEASURED_SECONDS: u64 = 20;

fn main() {
    let selected: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    let fleets = if selected.is_empty() {
        DEFAULT_FLEETS.to_vec()
    } else {
        selected
    };
    for workers in fleets {
        println!("{}", measure(workers));
    }
}

/// Simulates a fleet and returns its figures.
fn measure(workers: usize) -> serde_json::Value {
    let mut simulation = CellSimulation::new(workers, JobLoad::new(workers));
    simulation.run(WARM_UP_SECONDS * 1_000);
    let before = simulation.counts;
    let started = Instant::now();
    simulation.run(MEASURED_SECONDS * 1_000);
    let took = started.elapsed();
    let counts = simulation.counts.since(&before);
    json!({
        "workers": workers,
        "jobs_per_s": counts.jobs / MEASURED_SECONDS,
        "starts_per_s": counts.starts / MEASURED_SECONDS,
        "looks_per_s": counts.polls / MEASURED_SECONDS,
        "questions_per_s": counts.advice_requests / MEASURED_SECONDS,
        "waiting_jobs": simulation.waiting_jobs(),
        "core_share": took.as_secs_f64() / MEASURED_SECONDS as f64,
        "us_per_job": micros_per(took, counts.jobs),
        "us_per_start": micros_per(took, counts.starts),
        "us_per_event": micros_per(took, counts.events),
    })
}

fn micros_per(took: Duration, count: u64) -> f64 {
    (took.as_secs_f64() * 1e6 / count.max(1) as f64).round()
}

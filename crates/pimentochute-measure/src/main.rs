//! Measures the control cost of the daemons of one data centre, with the
//! systems outside played by stand-ins on loopback.
//!
//! Run with `cargo run -p pimentochute-measure --bin control_cost -- DIRECTORY
//! [FLEET...]`, where DIRECTORY holds the programs `pimentochute` and
//! `pimentochute-standin`; all fleets take about 4 minutes. Prints one JSON object a line on standard output
//! and progress on standard error.

#![allow(
    clippy::cast_precision_loss,
    reason = "figures are printed with far fewer digits than a float has"
)]

mod caller;
mod cell;
mod process;
mod relay;

use std::path::PathBuf;
use std::time::Duration;

use caller::JobCaller;
use cell::MeasuredCell;
use tokio::time::{Instant, sleep};

/// The result of a part of the measurement.
type BenchResult<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// The fleets that are measured; the last one is a data centre at the target
/// size with the host list of all data centres.
const FLEETS: [FleetShape; 5] = [
    FleetShape::new("3_hosts_24_workers", 3, 24, 8),
    FleetShape::new("3_hosts_75_workers", 3, 75, 8),
    FleetShape::new("3_hosts_75_workers_of_4_tasks", 3, 75, 4),
    FleetShape::new("3_hosts_225_workers", 3, 225, 8).with_streams(&[5, 20]),
    FleetShape::new("target_data_centre", 9, 225, 4)
        .with_foreign_workers(2_475)
        .with_streams(&[23]),
];

/// The entry hosts and workers of a data centre.
#[derive(Debug, Clone, Copy)]
pub struct FleetShape {
    /// The name in figures and on the command line.
    name: &'static str,
    /// The entry hosts.
    hosts: usize,
    /// The workers.
    workers: u32,
    /// The running tasks per worker.
    tasks_per_worker: u32,
    /// The workers of other data centres in the host list.
    foreign_workers: u32,
    /// The task starts a second of each stream.
    streams: &'static [u32],
}

impl FleetShape {
    /// Creates a shape without streams and without other data centres.
    const fn new(name: &'static str, hosts: usize, workers: u32, tasks_per_worker: u32) -> Self {
        Self {
            name,
            hosts,
            workers,
            tasks_per_worker,
            foreign_workers: 0,
            streams: &[],
        }
    }

    /// Adds workers of other data centres to the host list.
    const fn with_foreign_workers(mut self, count: u32) -> Self {
        self.foreign_workers = count;
        self
    }

    /// Adds streams of short batch jobs.
    const fn with_streams(mut self, streams: &'static [u32]) -> Self {
        self.streams = streams;
        self
    }
}

/// The configuration changes and urgent jobs whose times are measured.
const SAMPLE_COUNT: u32 = 20;

/// The time of one measurement.
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(20);

/// The time for connections and states to settle before a measurement.
const SETTLING_DELAY: Duration = Duration::from_secs(4);

/// The longest time until all tasks of a fleet are placed.
const PLACEMENT_TIMEOUT: Duration = Duration::from_secs(25);

#[tokio::main]
async fn main() -> BenchResult<()> {
    let mut arguments = std::env::args().skip(1);
    let directory = PathBuf::from(arguments.next().unwrap_or("target/release".into()));
    let selected: Vec<String> = arguments.collect();
    for fleet in FLEETS {
        if !selected.is_empty() && !selected.iter().any(|name| name == fleet.name) {
            continue;
        }
        let cell = MeasuredCell::start(&directory, &fleet).await?;
        let caller = JobCaller::new(cell.public_addresses());
        let result = measure_fleet(&cell, &caller, &fleet).await;
        cell.stop().await;
        result?;
    }
    Ok(())
}

/// Measures a fleet at rest and under its streams of jobs.
async fn measure_fleet(
    cell: &MeasuredCell,
    caller: &JobCaller,
    fleet: &FleetShape,
) -> BenchResult<()> {
    let (name, tasks) = (fleet.name, fleet.workers * fleet.tasks_per_worker);
    caller.configure(PLACEMENT_TIMEOUT).await?;
    let took = caller.run_services(tasks, PLACEMENT_TIMEOUT).await?;
    eprintln!("{name}: {tasks} tasks are placed after {took:?}");
    sleep(SETTLING_DELAY).await;
    measure(cell, &format!("{name}_at_rest")).await?;
    measure_times(caller, name).await?;
    for &rate in fleet.streams {
        let stop = Instant::now() + SETTLING_DELAY + MEASUREMENT_WINDOW + Duration::from_secs(1);
        let stream = caller.submit_stream(rate, stop);
        let window = async {
            sleep(SETTLING_DELAY).await;
            measure(cell, &format!("{name}_{rate}_starts_per_second")).await
        };
        let (refused, measured) = tokio::join!(stream, window);
        measured?;
        eprintln!("{name}, {rate} starts a second: {refused} submissions were not accepted");
    }
    Ok(())
}

/// Prints the longest and the median time until a configuration change is in
/// force on every host, and until an urgent job runs.
async fn measure_times(caller: &JobCaller, name: &str) -> BenchResult<()> {
    let (mut changes, mut starts) = (Vec::new(), Vec::new());
    for number in 0..SAMPLE_COUNT {
        changes.push(caller.change_config(number).await?);
        starts.push(caller.start_urgent(number).await?);
    }
    for (what, times, target) in [
        ("config_change", &mut changes, 12.0),
        ("urgent_start", &mut starts, 2.9),
    ] {
        times.sort();
        for (rank, time) in [
            ("median", times[times.len() / 2]),
            ("longest", times[times.len() - 1]),
        ] {
            let figure = format!("{name}_{what}_{rank}");
            print(&figure, time.as_secs_f64(), "s", Some(target));
        }
    }
    Ok(())
}

/// Prints what each daemon uses within the window.
async fn measure(cell: &MeasuredCell, name: &str) -> BenchResult<()> {
    let before = cell.sample()?;
    let started = Instant::now();
    sleep(MEASUREMENT_WINDOW).await;
    let after = cell.sample()?;
    let seconds = started.elapsed().as_secs_f64();
    for (host, (before, after)) in before.iter().zip(&after).enumerate() {
        let core = (after.cpu_seconds - before.cpu_seconds) / seconds * 100.0;
        print_host(name, host, "processor", core, "% of a core", Some(3.4));
        let resident = after.resident_bytes / 1_048_576.0;
        print_host(name, host, "resident", resident, "MiB", Some(32.0));
        let mut sum = 0.0;
        for ((kind, before), (_, after)) in before.traffic.iter().zip(&after.traffic) {
            let rate = (after.bytes - before.bytes) as f64 / seconds;
            let messages = (after.messages - before.messages) as f64 / seconds;
            sum += rate;
            print_host(name, host, &format!("{kind}_bytes"), rate, "B/s", None);
            let figure = format!("{kind}_messages");
            print_host(name, host, &figure, messages, "1/s", None);
        }
        print_host(name, host, "network", sum, "B/s", Some(14_000.0));
    }
    Ok(())
}

/// Prints a figure of a host.
fn print_host(case: &str, host: usize, what: &str, value: f64, unit: &str, target: Option<f64>) {
    let figure = format!("{case}_host_{}_{what}", host + 1);
    print(&figure, value, unit, target);
}

/// Prints a figure for which less is better.
fn print(figure: &str, value: f64, unit: &str, target: Option<f64>) {
    let line = serde_json::json!({
        "figure": figure,
        "value": (value * 1_000.0).round() / 1_000.0,
        "unit": unit,
        "target": target,
        "better": "lower",
        "met": target.map(|target| value <= target),
    });
    println!("{line}");
}

//! Measures the control cost (processor, memory and network use) of the entry
//! hosts of one data centre, with stand-ins of the external systems, all on
//! loopback.
//!
//! Run with `cargo run -p pimentochute-measure --bin control_cost -- DIRECTORY
//! [FLEET...]`, where DIRECTORY holds the programs `pimentochute` and
//! `pimentochute-standin`. All fleets take about 4 minutes. Prints one JSON
//! object per line on standard output and progress on standard error.

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

/// A result whose error ends the measurement.
type BenchResult<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// The fleets to measure. The last one is a data centre at the target size, with
/// a host list that contains the workers of all data centres.
const FLEETS: [FleetShape; 5] = [
    FleetShape::new("3_hosts_24_workers", 3, 24, 8),
    FleetShape::new("3_hosts_75_workers", 3, 75, 8),
    FleetShape::new("3_hosts_75_workers_of_4_tasks", 3, 75, 4),
    FleetShape::new("3_hosts_225_workers", 3, 225, 8).with_streams(&[5, 20]),
    FleetShape::new("target_data_centre", 9, 225, 4)
        .with_foreign_workers(2_475)
        .with_streams(&[23]),
];

/// The size and the load of one measured data centre.
#[derive(Debug, Clone, Copy)]
pub struct FleetShape {
    /// The prefix of the printed figures, and the name on the command line.
    name: &'static str,
    /// The number of entry hosts.
    hosts: usize,
    /// The number of workers.
    workers: u32,
    /// The number of tasks that run on each worker.
    tasks_per_worker: u32,
    /// The number of workers of other data centres in the host list.
    foreign_workers: u32,
    /// The rates of the streams of short batch jobs, in task starts per second.
    /// Each stream is measured on its own.
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

    /// Sets the number of workers of other data centres in the host list.
    const fn with_foreign_workers(mut self, count: u32) -> Self {
        self.foreign_workers = count;
        self
    }

    /// Sets the rates of the streams of short batch jobs.
    const fn with_streams(mut self, streams: &'static [u32]) -> Self {
        self.streams = streams;
        self
    }
}

/// How many configuration changes and urgent jobs are timed.
const SAMPLE_COUNT: u32 = 20;

/// How long resource use is measured in each state.
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(20);

/// How long connections and caches may settle before a measurement.
const SETTLING_DELAY: Duration = Duration::from_secs(4);

/// How long the configuration, and then the placement of all tasks of a fleet,
/// may take.
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

/// Measures a fleet at rest and under each of its streams of jobs.
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

/// Prints the median and the longest time until a configuration change is in
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

/// Prints the resource use of each host within [`MEASUREMENT_WINDOW`].
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

/// Prints a figure of the host with this index.
fn print_host(case: &str, host: usize, what: &str, value: f64, unit: &str, target: Option<f64>) {
    let figure = format!("{case}_host_{}_{what}", host + 1);
    print(&figure, value, unit, target);
}

/// Prints a figure as JSON; lower values are better, and `target` is the largest
/// value that meets the goal.
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

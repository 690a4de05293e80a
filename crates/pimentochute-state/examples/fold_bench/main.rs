//! Benchmarks the replicas: time per applied record, memory per object, bytes per
//! record, snapshots and configuration patches.
//!
//! Run with `cargo run --release -p pimentochute-state --example fold_bench`.
//! Prints one JSON object per line on standard output and progress on standard
//! error.

#![allow(
    clippy::cast_precision_loss,
    reason = "figures are printed with far fewer digits than a float has"
)]

mod cell_cost;
mod config_cost;
mod memory;
mod report;
mod wire;
mod workload;

/// The result of a part of the benchmark.
type BenchResult<T> = Result<T, Box<dyn std::error::Error>>;

fn main() -> BenchResult<()> {
    // Runs first and keeps its objects: the resident set would not grow if
    // later objects reused freed memory.
    let _kept = memory::run()?;
    config_cost::run()?;
    wire::run()?;
    cell_cost::run()
}

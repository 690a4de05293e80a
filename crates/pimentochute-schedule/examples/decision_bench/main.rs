//! Benchmarks the placer: time per decision, memory, and the quality of its
//! decisions compared with simple baselines.
//!
//! Prints one JSON object per line to standard output and progress to standard
//! error. The replays do not simulate a cluster: they feed a list of arrivals
//! and run times to the placer under a manual clock.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures are printed with far fewer digits than a float has"
)]

mod baseline;
mod cost;
mod hosts;
mod memory;
mod quality;
mod replay;
mod report;
mod sample;
mod workload;

fn main() {
    memory::run();
    cost::run();
    quality::run();
}

//! Measures the placer: cost per decision, memory, and the quality of its
//! decisions against simple baselines.
//!
//! Prints one JSON object a line on standard output and progress on standard
//! error. The replays do not simulate a cluster: they play a list of arrivals
//! and run times through the placer under the manual clock.

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

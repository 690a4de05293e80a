//! The lines on standard output, and the measuring instruments.

use std::time::Instant;

/// The size of a page of memory.
const PAGE_BYTES: f64 = 4_096.0;

/// Prints a figure for which less is better; a figure without a target is
/// printed for comparison with later runs.
pub fn print(figure: &str, value: f64, unit: &str, target: Option<f64>) {
    let (target, met) = target.map_or_else(
        || ("null".to_owned(), "null"),
        |target| {
            let met = if value <= target { "true" } else { "false" };
            (format!("{target:.3}"), met)
        },
    );
    println!(
        "{{\"figure\": \"{figure}\", \"value\": {value:.3}, \"unit\": \"{unit}\", \
         \"target\": {target}, \"better\": \"lower\", \"met\": {met}}}"
    );
}

/// Runs `work` and returns its result and the wall-clock time in microseconds.
pub fn timed<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let start = Instant::now();
    let result = work();
    (result, start.elapsed().as_secs_f64() * 1e6)
}

/// Returns the median of values, which are sorted for it; zero if there are
/// none.
pub fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Returns the resident memory of this process in bytes.
pub fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

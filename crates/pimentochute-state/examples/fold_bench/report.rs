//! Output of figures, and measurement of time and memory.

use std::time::Instant;

/// The size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// Prints a figure for which lower is better. A figure without a target is for
/// comparison with later runs.
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

/// Sorts the values and returns their median; zero if there are none.
pub fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Returns the resident set size of this process in bytes; zero if unknown.
pub fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

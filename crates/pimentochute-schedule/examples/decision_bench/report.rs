//! Prints figures as JSON lines to standard output.

/// Whether lower or higher values of a figure are better.
#[derive(Debug, Clone, Copy)]
pub enum Direction {
    Lower,
    Higher,
}

/// Prints a figure, its target and whether it meets it.
pub fn print(figure: &str, value: f64, unit: &str, target: f64, direction: Direction) {
    let (better, met) = match direction {
        Direction::Lower => ("lower", value <= target),
        Direction::Higher => ("higher", value >= target),
    };
    println!(
        "{{\"figure\": \"{figure}\", \"value\": {value:.3}, \"unit\": \"{unit}\", \
         \"target\": {target:.3}, \"better\": \"{better}\", \"met\": {met}}}"
    );
}

/// Sorts the values and returns a quantile of them, or zero if there are none.
pub fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (part * values.len() as f64).ceil() as usize;
    let index = rank.max(1).min(values.len());
    values.get(index.wrapping_sub(1)).copied().unwrap_or(0.0)
}

//! The readable account of a demonstration.

use std::time::Instant;

/// Prints one line per step and counts the checks that did not hold.
#[derive(Debug)]
pub struct StepReport {
    started: Instant,
    failures: u32,
}

impl StepReport {
    /// Creates an account whose times count from now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            failures: 0,
        }
    }

    /// Prints what was done.
    pub fn note(&self, text: &str) {
        self.print("    ", text);
    }

    /// Prints a check and whether it held.
    pub fn check(&mut self, holds: bool, text: &str) {
        self.print(if holds { "ok  " } else { "FAIL" }, text);
        self.failures += u32::from(!holds);
    }

    /// Prints the verdict and returns the number of checks that did not hold.
    #[must_use]
    pub fn finish(&self) -> u32 {
        match self.failures {
            0 => self.note("every check held"),
            count => self.note(&format!("{count} checks did not hold")),
        }
        self.failures
    }

    fn print(&self, mark: &str, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        println!("{seconds:5.1} s  {mark} {text}");
    }
}

impl Default for StepReport {
    fn default() -> Self {
        Self::new()
    }
}

//! The printed report of the demonstration.

use std::time::Instant;

/// Prints one line per step and counts the failed checks.
#[derive(Debug)]
pub struct StepReport {
    started: Instant,
    failures: u32,
}

impl StepReport {
    /// Creates a report whose printed times count from now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            failures: 0,
        }
    }

    /// Prints a step that has no check.
    pub fn note(&self, text: &str) {
        self.print("    ", text);
    }

    /// Prints a check and whether it passed.
    pub fn check(&mut self, holds: bool, text: &str) {
        self.print(if holds { "ok  " } else { "FAIL" }, text);
        self.failures += u32::from(!holds);
    }

    /// Prints the result and returns the number of failed checks.
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

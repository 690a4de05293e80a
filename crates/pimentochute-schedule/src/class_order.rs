//! The order of the priority classes.

use std::fmt::Debug;

use pimentochute_base::PriorityClass;

use crate::TurnReason;

/// The number of priority classes.
pub(crate) const CLASS_COUNT: usize = 3;

/// A class that has work due goes first after this many tasks of higher
/// classes were placed: higher classes together get at most 8 of 9 placements
/// while a lower one has work that fits.
pub const PASSES_UNTIL_TURN: u32 = 8;

/// Chooses the class that places next.
pub trait ClassOrder: Debug + Send {
    /// Chooses among the classes of `open`, indexed as [`class_index`] tells.
    fn next(&self, open: [bool; CLASS_COUNT]) -> Option<(usize, TurnReason)>;

    /// Learns that `tasks` tasks of a class were placed while the classes of
    /// `due` had work due.
    fn note(&mut self, class: usize, tasks: u32, due: [bool; CLASS_COUNT]);
}

/// The higher class first, but no class is passed over more than
/// [`PASSES_UNTIL_TURN`] times.
#[derive(Debug, Clone, Copy, Default)]
pub struct BoundedPriority {
    /// Tasks of higher classes placed since the class last had its turn or
    /// had no work due.
    passed: [u32; CLASS_COUNT],
}

impl ClassOrder for BoundedPriority {
    fn next(&self, open: [bool; CLASS_COUNT]) -> Option<(usize, TurnReason)> {
        let turn = (0..CLASS_COUNT).find(|&c| open[c] && self.passed[c] >= PASSES_UNTIL_TURN);
        let turn = turn.map(|class| (class, TurnReason::Passed));
        turn.or_else(|| highest(open))
    }

    fn note(&mut self, class: usize, tasks: u32, due: [bool; CLASS_COUNT]) {
        self.passed[class] = 0;
        let lower = self.passed.iter_mut().zip(due).skip(class + 1);
        for (passed, due) in lower {
            *passed = if due { passed.saturating_add(tasks) } else { 0 };
        }
    }
}

/// Always the highest class that has work.
#[derive(Debug, Clone, Copy, Default)]
pub struct StrictPriority;

impl ClassOrder for StrictPriority {
    fn next(&self, open: [bool; CLASS_COUNT]) -> Option<(usize, TurnReason)> {
        highest(open)
    }

    fn note(&mut self, _class: usize, _tasks: u32, _due: [bool; CLASS_COUNT]) {}
}

/// Returns the position of a class in the arrays of this module.
#[must_use]
pub const fn class_index(class: PriorityClass) -> usize {
    match class {
        PriorityClass::Urgent => 0,
        PriorityClass::Normal => 1,
        PriorityClass::Bulk => 2,
    }
}

fn highest(open: [bool; CLASS_COUNT]) -> Option<(usize, TurnReason)> {
    let class = open.iter().position(|open| *open)?;
    Some((class, TurnReason::Priority))
}

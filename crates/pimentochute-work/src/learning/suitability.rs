//! Which worker suits a job, by its speed.
//!
//! Answers the load "unlike workers, unlike objectives": a job whose objective is tight
//! misses it on a slow worker, while one with slack does as well there. If each took the
//! first worker with room, the slack jobs would hold the fast workers that the tight ones
//! need. A gang is as fast as its slowest member, so a mixed gang wastes its fast workers.

use smallvec::SmallVec;

/// Speeds within this range, as a logarithm, count as equal, so that packing decides.
const CLASS_WIDTH: f64 = 0.2;

/// A job prefers workers that are faster than it needs by this much, as a logarithm, since
/// its work is known roughly.
const COMFORT: f64 = 0.25;

/// A class of workers of about equal speed; a larger one is faster, 0 is the usual one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SpeedClass(i16);

/// How many tasks of a gang fit on the workers of a class.
pub(crate) type ClassSlots = SmallVec<[(SpeedClass, u32); 8]>;

/// The speed that a job needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct SpeedNeed {
    /// The logarithm of the smallest speed at which the job ends in time.
    needed: f64,
    /// Slower workers are left free: the job can still end within its objective on another.
    waits_for_faster: bool,
}

/// How well a worker suits; the smallest is best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SpeedPreference(u8, i16);

impl SpeedClass {
    /// Returns the class of the logarithm of a speed.
    pub(crate) fn of(log_speed: f64) -> Self {
        let class = (log_speed / CLASS_WIDTH).round().clamp(-100.0, 100.0);
        #[expect(
            clippy::cast_possible_truncation,
            reason = "the value is clamped to the range"
        )]
        let class = class as i16;
        Self(class)
    }

    fn log_speed(self) -> f64 {
        f64::from(self.0) * CLASS_WIDTH
    }
}

impl SpeedNeed {
    /// The need of a job that is in no hurry, or that comes too late on any worker.
    pub(crate) const NONE: Self = Self {
        needed: f64::NEG_INFINITY,
        waits_for_faster: false,
    };

    /// Returns the need of a job with `work` until its end, as the logarithm of the time on
    /// a worker of usual speed. `to_objective` and `to_latest` are the logarithms of the time
    /// left for its objective and for an end of any use; `fastest` is the fastest worker.
    pub(crate) fn new(work: f64, to_objective: f64, to_latest: f64, fastest: f64) -> Self {
        let in_time = work - to_objective;
        if in_time <= fastest {
            return Self {
                needed: in_time,
                waits_for_faster: true,
            };
        }
        let useful = work - to_latest;
        if useful <= fastest {
            return Self {
                needed: useful,
                waits_for_faster: false,
            };
        }
        Self::NONE
    }

    /// Returns whether the job ends in time on a worker.
    pub(crate) fn is_met_by(&self, log_speed: f64) -> bool {
        SpeedClass::of(log_speed).log_speed() + CLASS_WIDTH / 2.0 >= self.needed
    }

    /// Returns whether the job does better to wait than to start on a worker.
    pub(crate) fn rejects(&self, log_speed: f64) -> bool {
        self.waits_for_faster && !self.is_met_by(log_speed)
    }

    /// Returns how well a worker suits: of those that are fast enough the slowest, so that
    /// faster ones stay free, and otherwise the fastest.
    pub(crate) fn preference(&self, log_speed: f64) -> SpeedPreference {
        let class = SpeedClass::of(log_speed);
        if class.log_speed() >= self.needed + COMFORT {
            SpeedPreference(0, class.0)
        } else if self.is_met_by(log_speed) {
            SpeedPreference(1, -class.0)
        } else {
            SpeedPreference(2, -class.0)
        }
    }
}

/// Returns the slowest and the fastest class whose workers a gang takes: classes next to
/// each other with room for all tasks. Of those that are fast enough the slowest, and
/// otherwise the fastest. `None` if all classes together have too little room.
pub(crate) fn gang_classes(
    slots: &ClassSlots,
    tasks: u32,
    need: &SpeedNeed,
) -> Option<(SpeedClass, SpeedClass)> {
    let mut slots = slots.clone();
    slots.sort_unstable_by_key(|(class, _)| *class);
    let starts = (0..slots.len()).filter_map(|first| {
        let mut room = 0_u32;
        let last = slots[first..].iter().find(|(_, slots)| {
            room = room.saturating_add(*slots);
            room >= tasks
        })?;
        Some((slots[first].0, last.0))
    });
    starts.min_by_key(|(slowest, _)| need.preference(slowest.log_speed()))
}

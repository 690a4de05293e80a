//! Points in time, spans and the clock, in milliseconds.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use serde::{Deserialize, Serialize};

/// A point in time in milliseconds.
///
/// Monotonic readings count from the start of the clock, wall-clock readings from
/// the Unix epoch. The type does not tell them apart, so never compare the two.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MilliTime(u64);

impl MilliTime {
    /// The point in time that readings count from.
    pub const ZERO: Self = Self(0);

    /// Creates a point in time from milliseconds.
    #[must_use]
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since [`MilliTime::ZERO`].
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the span since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> MilliSpan {
        MilliSpan(self.0.saturating_sub(earlier.0))
    }
}

impl Add<MilliSpan> for MilliTime {
    type Output = Self;

    fn add(self, span: MilliSpan) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<MilliSpan> for MilliTime {
    type Output = Self;

    fn sub(self, span: MilliSpan) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl fmt::Display for MilliTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// A length of time in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MilliSpan(u64);

impl MilliSpan {
    /// The empty span.
    pub const ZERO: Self = Self(0);

    /// Creates a span from milliseconds.
    #[must_use]
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds of the span.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Converts the span to a [`Duration`].
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Subtracts `other`, or returns zero if `other` is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for MilliSpan {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for MilliSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// The clock of the system, or a manual one that a test advances.
///
/// Clones of a manual clock share its time.
#[derive(Debug, Clone)]
pub struct MilliClock {
    source: ClockSource,
}

#[derive(Debug, Clone)]
enum ClockSource {
    /// Holds the time since boot at which the clock was created.
    System(Duration),
    Manual(Arc<AtomicU64>),
}

impl MilliClock {
    /// Creates a clock that reads the system's clocks.
    #[must_use]
    pub fn system() -> Self {
        Self {
            source: ClockSource::System(boot_time()),
        }
    }

    /// Creates a clock that moves only by [`MilliClock::advance`].
    #[must_use]
    pub fn manual(start: MilliTime) -> Self {
        Self {
            source: ClockSource::Manual(Arc::new(AtomicU64::new(start.0))),
        }
    }

    /// Returns the monotonic time since the clock was created, including the time
    /// that the host was suspended. For a manual clock, it includes the start time.
    #[must_use]
    pub fn now(&self) -> MilliTime {
        match &self.source {
            ClockSource::System(start) => MilliTime(to_millis(boot_time().saturating_sub(*start))),
            ClockSource::Manual(now) => MilliTime(now.load(Ordering::SeqCst)),
        }
    }

    /// Returns the wall-clock time since the Unix epoch. A manual clock returns its
    /// monotonic time.
    #[must_use]
    pub fn unix_now(&self) -> MilliTime {
        match &self.source {
            ClockSource::System(_) => {
                let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
                MilliTime(elapsed.map_or(0, to_millis))
            }
            ClockSource::Manual(_) => self.now(),
        }
    }

    /// Advances a manual clock. Has no effect on a system clock.
    pub fn advance(&self, span: MilliSpan) {
        if let ClockSource::Manual(now) = &self.source {
            now.fetch_add(span.0, Ordering::SeqCst);
        }
    }
}

/// Returns the time since boot, including suspended time.
///
/// The call does not fail on supported systems. It panics otherwise, because leases
/// would never expire if the time stood still.
fn boot_time() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(reading) => Duration::from(reading),
        Err(error) => unreachable!("cannot read CLOCK_BOOTTIME: {error}"),
    }
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

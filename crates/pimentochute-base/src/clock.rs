//! The millisecond clock.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use serde::{Deserialize, Serialize};

/// A point in time in milliseconds.
///
/// Monotonic readings count from the clock's start; wall-clock readings count
/// from the Unix epoch. The two are never compared.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MilliTime(u64);

impl MilliTime {
    /// The start of the time line.
    pub const ZERO: Self = Self(0);

    /// Creates a point in time from milliseconds.
    #[must_use]
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the start of the time line.
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
    /// No time at all.
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

    /// Returns the span as a standard duration.
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the difference to a shorter span, or zero.
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

/// A clock that reads milliseconds, either of the machine or set by a test.
///
/// Clones share the same source.
#[derive(Debug, Clone)]
pub struct MilliClock {
    source: ClockSource,
}

#[derive(Debug, Clone)]
enum ClockSource {
    /// Holds the reading at which the clock started.
    System(Duration),
    Manual(Arc<AtomicU64>),
}

impl MilliClock {
    /// Creates a clock that reads the machine's clocks.
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

    /// Returns the monotonic time, which includes the time that the machine
    /// was suspended.
    #[must_use]
    pub fn now(&self) -> MilliTime {
        match &self.source {
            ClockSource::System(start) => MilliTime(to_millis(boot_time().saturating_sub(*start))),
            ClockSource::Manual(now) => MilliTime(now.load(Ordering::SeqCst)),
        }
    }

    /// Returns the wall-clock time since the Unix epoch.
    ///
    /// A manual clock returns its monotonic time.
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

    /// Moves a manual clock forward; a system clock is not changed.
    pub fn advance(&self, span: MilliSpan) {
        if let ClockSource::Manual(now) = &self.source {
            now.fetch_add(span.0, Ordering::SeqCst);
        }
    }
}

/// Returns the time since the machine started.
///
/// The call cannot fail on the supported systems; without the clock, time
/// would stand still and every lease held by it would last.
fn boot_time() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(reading) => Duration::from(reading),
        Err(error) => unreachable!("the clock of the machine cannot be read: {error}"),
    }
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

//! Timestamps and time spans of the scheduler, in microseconds on the controller's clock. Both are signed
//! because a dispatch target or the start of a window may precede the start of the clock. Conversions from
//! the public types saturate well below the limits of `i64`.

use crate::interface::Time;
use std::ops::{Add, Div, Mul, Sub};
use std::time::Duration;

/// Upper bound of converted timestamps and spans, in microseconds; a sum of several cannot overflow.
const MAX_MICROS: i64 = i64::MAX / 8;

/// A point in time on the controller's clock, in microseconds from an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Timestamp(i64);

impl Timestamp {
    /// Start of the clock; also means "never" as the time of the latest event of some kind.
    pub(crate) const ZERO: Self = Self(0);
    /// Earlier than every other timestamp.
    pub(crate) const MIN: Self = Self(i64::MIN);

    /// Converts to the public type.
    pub(crate) fn to_time(self) -> Time {
        Time(self.0 as u64)
    }

    /// Index of the interval of this length that contains the timestamp, counted from the start of the clock.
    pub(crate) fn interval_index(self, length: TimeSpan) -> u64 {
        (self.0 / length.0) as u64
    }
}

impl From<Time> for Timestamp {
    fn from(time: Time) -> Self {
        Self(time.0.min(MAX_MICROS as u64) as i64)
    }
}

/// A length of time in microseconds; negative if the end precedes the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TimeSpan(i64);

impl TimeSpan {
    pub(crate) const ZERO: Self = Self(0);
    /// Resolution of the clock.
    pub(crate) const MICROSECOND: Self = Self(1);

    pub(crate) const fn from_micros(micros: i64) -> Self {
        Self(micros)
    }

    pub(crate) const fn from_millis(millis: i64) -> Self {
        Self(millis * 1000)
    }

    /// Rounds towards zero.
    pub(crate) fn from_micros_f64(micros: f64) -> Self {
        Self(micros as i64)
    }

    pub(crate) const fn as_micros(self) -> i64 {
        self.0
    }

    pub(crate) const fn as_micros_f64(self) -> f64 {
        self.0 as f64
    }

    /// Converts to the public type; a negative span becomes zero.
    pub(crate) fn to_duration(self) -> Duration {
        Duration::from_micros(self.0.max(0) as u64)
    }
}

impl From<Duration> for TimeSpan {
    fn from(duration: Duration) -> Self {
        Self(duration.as_micros().min(MAX_MICROS as u128) as i64)
    }
}

impl Add<TimeSpan> for Timestamp {
    type Output = Self;
    fn add(self, span: TimeSpan) -> Self {
        Self(self.0 + span.0)
    }
}

impl Sub<TimeSpan> for Timestamp {
    type Output = Self;
    fn sub(self, span: TimeSpan) -> Self {
        Self(self.0 - span.0)
    }
}

impl Sub for Timestamp {
    type Output = TimeSpan;
    fn sub(self, earlier: Self) -> TimeSpan {
        TimeSpan(self.0 - earlier.0)
    }
}

impl Add for TimeSpan {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

impl Sub for TimeSpan {
    type Output = Self;
    fn sub(self, other: Self) -> Self {
        Self(self.0 - other.0)
    }
}

impl Mul<i64> for TimeSpan {
    type Output = Self;
    fn mul(self, factor: i64) -> Self {
        Self(self.0 * factor)
    }
}

impl Div<i64> for TimeSpan {
    type Output = Self;
    fn div(self, divisor: i64) -> Self {
        Self(self.0 / divisor)
    }
}

#[cfg(test)]
mod tests;

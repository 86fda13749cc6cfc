//! Monotonic time, as passed to the decision logic.

use std::{
    ops::{Add, AddAssign},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A point in time on a process's monotonic clock, in microseconds since an
/// arbitrary start.
///
/// Values of different processes must not be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Time = Time(0);

    /// Creates a time from microseconds since the start of the clock.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// Creates a time from milliseconds since the start of the clock.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1000)
    }

    /// Returns the microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds since the start of the clock, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1000
    }

    /// Returns the time passed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `ago` before this one, but not before the start of the clock.
    pub fn before(self, ago: Duration) -> Time {
        let ago_us = u64::try_from(ago.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(ago_us))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, rhs: Duration) -> Time {
        Time(self.0.saturating_add(rhs.as_micros() as u64))
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, rhs: Duration) {
        *self = *self + rhs;
    }
}

//! Forecast of the times at which a budget will have retries.

use std::time::Duration;

use crate::time::Time;

/// Number of retries that a VM may send until each of some future times, if no retry is sent
/// for anything else.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetryForecast {
    /// Times with the cumulative number of retries until then, both ascending.
    points: Vec<(Time, f64)>,
    /// Time at which callers may try again if no point has enough retries.
    fallback: Time,
}

impl RetryForecast {
    /// Creates a forecast from times and cumulative numbers, both ascending.
    pub(super) fn new(points: Vec<(Time, f64)>) -> RetryForecast {
        let fallback = points.last().map_or(Time::ZERO, |(time, _)| *time);
        RetryForecast { points, fallback }
    }

    /// Sets the time at which callers may try again if the forecast has too few retries.
    pub(super) fn with_fallback(self, fallback: Time) -> RetryForecast {
        RetryForecast { fallback, ..self }
    }

    /// Returns the time at which the `count`-th retry can be sent, or none if that is later than
    /// what the forecast covers.
    pub fn time_of(&self, count: usize) -> Option<Time> {
        let index = self.points.partition_point(|(_, available)| *available < count as f64);
        self.points.get(index).map(|(time, _)| *time)
    }

    /// Returns the time until the `count`-th retry can be sent, or if the forecast has too few,
    /// until its end.
    pub fn wait_for(&self, now: Time, count: usize) -> Duration {
        self.time_of(count).unwrap_or(self.fallback).since(now)
    }
}

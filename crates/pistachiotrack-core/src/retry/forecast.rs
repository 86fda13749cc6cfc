//! Forecast of the times at which a budget will have retries.

use std::time::Duration;

use crate::time::Time;

/// Number of retries that a VM may send until each of some future times, if no retry is sent
/// for anything else.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetryForecast {
    /// Times with the cumulative number of retries until then, both ascending.
    points: Vec<(Time, f64)>,
}

impl RetryForecast {
    /// Creates a forecast from times and cumulative numbers, both ascending.
    pub(super) fn new(points: Vec<(Time, f64)>) -> RetryForecast {
        RetryForecast { points }
    }

    /// Returns the time at which the `count`-th retry can be sent, or none if that is later than
    /// what the forecast covers.
    pub fn time_of(&self, count: usize) -> Option<Time> {
        let index = self.points.partition_point(|(_, available)| *available < count as f64);
        self.points.get(index).map(|(time, _)| *time)
    }

    /// Returns the time until the `count`-th retry can be sent, or until the end of the forecast
    /// if that is sooner.
    pub fn wait_for(&self, now: Time, count: usize) -> Duration {
        let end = self.points.last().map_or(now, |(time, _)| *time);
        self.time_of(count).unwrap_or(end).since(now)
    }
}

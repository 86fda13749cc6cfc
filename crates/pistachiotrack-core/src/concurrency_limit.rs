//! Limit of the requests in flight at one endpoint.

use std::time::Duration;

use crate::time::Time;

/// Factor applied to the limit when the endpoint sheds.
const SHED_FACTOR: f64 = 0.7;

/// A limit that falls by a factor when the endpoint sheds and recovers by
/// small steps with successes.
///
/// The endpoint's configured slots can be more than it can really work on. It
/// shows by answers that refuse a request unrun; the limit follows them down,
/// never below one, so that the endpoint can show when it is well again.
#[derive(Clone, Debug)]
pub struct AdaptiveConcurrencyLimit {
    value: f64,
    max: u32,
    lowered_at: Option<Time>,
}

impl AdaptiveConcurrencyLimit {
    /// Creates a limit that starts at its maximum.
    pub fn new(max: u32) -> AdaptiveConcurrencyLimit {
        AdaptiveConcurrencyLimit { value: f64::from(max), max, lowered_at: None }
    }

    /// Changes the maximum; a limit that was not lowered follows it.
    pub fn set_max(&mut self, max: u32) {
        let was_full = self.value >= f64::from(self.max);
        self.max = max;
        if was_full || self.value > f64::from(max) {
            self.value = f64::from(max);
        }
    }

    /// Notes a request that the endpoint finished.
    pub fn on_success(&mut self) {
        self.value = (self.value + 1.0 / self.value.max(1.0)).min(f64::from(self.max));
    }

    /// Notes a request that the endpoint shed.
    ///
    /// Sheds within one `round`, the usual service time, count once: they
    /// answer requests that were sent under the same limit.
    pub fn on_shed(&mut self, now: Time, round: Duration) {
        if self.lowered_at.is_some_and(|at| now < at + round) {
            return;
        }
        self.lowered_at = Some(now);
        self.value = (self.value * SHED_FACTOR).max(1.0).min(f64::from(self.max));
    }

    /// Returns the limit in whole requests.
    pub fn value(&self) -> u32 {
        self.value as u32
    }
}

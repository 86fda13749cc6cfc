//! Adaptive limit of the requests in flight at one endpoint.

use std::time::Duration;

use crate::time::Time;

/// Factor by which the limit is lowered when the endpoint sheds a request.
const DECREASE_FACTOR: f64 = 0.7;

/// Concurrency limit with additive increase on success and multiplicative decrease on shedding.
///
/// The configured slots of an endpoint can be more than it can handle. It then sheds requests
/// without running them, and the limit is lowered. It never falls below one, so that a recovery
/// of the endpoint is noticed.
#[derive(Clone, Debug)]
pub struct AdaptiveConcurrencyLimit {
    value: f64,
    max: u32,
    decreased_at: Option<Time>,
}

impl AdaptiveConcurrencyLimit {
    /// Creates a limit at its maximum.
    pub fn new(max: u32) -> AdaptiveConcurrencyLimit {
        AdaptiveConcurrencyLimit { value: f64::from(max), max, decreased_at: None }
    }

    /// Changes the maximum; a limit that was at the old maximum is set to the new one.
    pub fn set_max(&mut self, max: u32) {
        let was_at_max = self.value >= f64::from(self.max);
        self.max = max;
        if was_at_max || self.value > f64::from(max) {
            self.value = f64::from(max);
        }
    }

    /// Records a request that the endpoint completed.
    pub fn on_success(&mut self) {
        self.value = (self.value + 1.0 / self.value.max(1.0)).min(f64::from(self.max));
    }

    /// Records a request that the endpoint shed.
    ///
    /// Sheds within one usual service time count once, as their requests were sent under the
    /// same limit.
    pub fn on_shed(&mut self, now: Time, service_time: Duration) {
        if self.decreased_at.is_some_and(|at| now < at + service_time) {
            return;
        }
        self.decreased_at = Some(now);
        self.value = (self.value * DECREASE_FACTOR).max(1.0).min(f64::from(self.max));
    }

    /// Returns the limit in whole requests.
    pub fn value(&self) -> u32 {
        self.value as u32
    }
}

//! Failure rate of a service, over all its dispatchers.

use serde::{Deserialize, Serialize};

/// Failure rate from which on it counts as high. It is well above what gray-failure episodes of
/// single endpoints cause, and below the tenth from which on healthy endpoints must not be left
/// without requests.
const HIGH_FAILURE_RATE: f64 = 0.085;
/// Weight of one request in the moving average: about the last 100 requests of all dispatchers
/// count, a second or two of the users' requests. Fewer can't distinguish a tenth from a
/// twentieth.
const SAMPLE_WEIGHT: f64 = 0.01;

/// Numbers of requests that were served and that failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests that were served.
    pub served: u8,
    /// Requests that were refused or failed.
    pub failed: u8,
}

/// Share of a service's requests that is not served.
///
/// One VM sees too few requests for an estimate within seconds, so VMs exchange their counts;
/// each request counts once, whichever VM accepted it.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceFailureRate {
    failure_rate: f64,
    unreported: RequestCounts,
}

impl ServiceFailureRate {
    /// Records whether a request of this VM was served in the end.
    pub(super) fn record(&mut self, served: bool) {
        self.add_sample(served);
        let count = if served { &mut self.unreported.served } else { &mut self.unreported.failed };
        *count = count.saturating_add(1);
    }

    /// Adds the counts of another VM.
    pub(super) fn on_peer_counts(&mut self, counts: RequestCounts) {
        (0..counts.served).for_each(|_| self.add_sample(true));
        (0..counts.failed).for_each(|_| self.add_sample(false));
    }

    /// Takes the counts that have not been sent to the other VMs.
    pub(super) fn take_unreported(&mut self) -> RequestCounts {
        std::mem::take(&mut self.unreported)
    }

    /// Returns whether the failure rate is so high that no endpoint may be left without requests.
    pub(super) fn is_high(&self) -> bool {
        self.failure_rate >= HIGH_FAILURE_RATE
    }

    fn add_sample(&mut self, served: bool) {
        let failure = if served { 0.0 } else { 1.0 };
        self.failure_rate += SAMPLE_WEIGHT * (failure - self.failure_rate);
    }
}

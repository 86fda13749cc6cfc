//! How much of a service's work is lost, as all its dispatchers see it.

use serde::{Deserialize, Serialize};

/// Part of the requests not served from which on a service is strained: well above what
/// single endpoints' spells cost, and below the tenth from which on sound endpoints must
/// not be left without work.
const HIGH_FAILURE_RATE: f64 = 0.085;
/// Weight of one request: about the last 100 of all dispatchers count, a second or
/// two of the users' work. Fewer don't tell a tenth from a twentieth.
const SAMPLE_WEIGHT: f64 = 0.01;

/// How many requests were served in the end and how many weren't.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests that were served.
    pub served: u8,
    /// Requests that were refused or failed.
    pub failed: u8,
}

/// The part of a service's requests that is not served.
///
/// One VM sees too few requests to tell within seconds, so that the VMs tell each
/// other; each request counts once, whoever took it in.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceFailureRate {
    failure_rate: f64,
    unreported: RequestCounts,
}

impl ServiceFailureRate {
    /// Notes whether a request of this VM was served in the end.
    pub(super) fn record(&mut self, served: bool) {
        self.add_sample(served);
        let count = if served { &mut self.unreported.served } else { &mut self.unreported.failed };
        *count = count.saturating_add(1);
    }

    /// Takes what another VM tells.
    pub(super) fn on_peer_counts(&mut self, counts: RequestCounts) {
        (0..counts.served).for_each(|_| self.add_sample(true));
        (0..counts.failed).for_each(|_| self.add_sample(false));
    }

    /// Takes what the other VMs haven't been told.
    pub(super) fn take_unreported(&mut self) -> RequestCounts {
        std::mem::take(&mut self.unreported)
    }

    /// Returns whether so much is lost that no endpoint may be left without work.
    pub(super) fn is_failure_rate_high(&self) -> bool {
        self.failure_rate >= HIGH_FAILURE_RATE
    }

    fn add_sample(&mut self, served: bool) {
        let failure = if served { 0.0 } else { 1.0 };
        self.failure_rate += SAMPLE_WEIGHT * (failure - self.failure_rate);
    }
}

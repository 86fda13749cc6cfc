//! Checks of API keys that are taken away and of customers' rate limits.

use super::{Invariant, RunRecord};
use crate::work::WorkId;

/// Window over which the requests of a customer with a rate limit are counted.
pub const CUSTOMER_WINDOW_MS: u64 = 5_000;

/// An API key that was taken away, and the requests that were sent with it.
#[derive(Clone, Debug)]
pub struct TakenKey {
    /// Time at which the configuration without the key had been published.
    pub taken_ms: u64,
    /// Requests with the times at which they were sent.
    pub requests: Vec<(WorkId, u64)>,
}

impl RunRecord {
    pub(super) fn check_taken_keys(&self, report: &mut impl FnMut(Invariant, String)) {
        for TakenKey { taken_ms, requests } in &self.taken_keys {
            let last_ms = requests.iter().map(|(_, sent_ms)| *sent_ms).max().unwrap_or(0);
            let is_stale = |(begin, end): &(u64, u64)| *begin <= last_ms && *end >= *taken_ms;
            if self.stale_platform.iter().any(is_stale) {
                continue;
            }
            let is_late = |(_, sent_ms): &&(WorkId, u64)| *sent_ms > taken_ms + self.key_limit_ms;
            for (id, sent_ms) in requests.iter().filter(is_late) {
                if self.executions(*id) > 0 {
                    let description =
                        format!("work {}: key taken at {taken_ms} ms, sent at {sent_ms} ms", id.0);
                    report(Invariant::TakenKeyStops, description);
                }
            }
        }
    }

    pub(super) fn check_customer_limit(&self, report: &mut impl FnMut(Invariant, String)) {
        let mut sent_ms: Vec<u64> = self
            .flood
            .iter()
            .filter(|(id, _)| self.executions(*id) > 0)
            .map(|(_, sent_ms)| *sent_ms)
            .collect();
        sent_ms.sort_unstable();
        let mut first = 0;
        for (index, at_ms) in sent_ms.iter().enumerate() {
            while sent_ms[first] + CUSTOMER_WINDOW_MS <= *at_ms {
                first += 1;
            }
            let count = index + 1 - first;
            if count as f64 > self.flood_window_limit {
                let limit = self.flood_window_limit;
                let description = format!("{count} requests up to {at_ms} ms, limit {limit}");
                return report(Invariant::CustomerLimitKept, description);
            }
        }
    }
}

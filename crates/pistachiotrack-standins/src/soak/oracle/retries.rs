//! Retries that all VMs together send to the endpoints of a service.

use pistachiotrack_core::service::RetryLimit;
use rustc_hash::FxHashSet;

use super::{Invariant, RunRecord};
use crate::work::WorkId;

/// Requests that arrived at the endpoints of a service.
#[derive(Clone, Debug)]
pub struct ServiceArrivals {
    /// The service.
    pub service: String,
    /// Its retry limit.
    pub limit: RetryLimit,
    /// Times of the arrivals, in order, refused ones included.
    pub arrivals_ms: Vec<(u64, WorkId)>,
}

/// Returns how many of the times, which are in order, are from `from_ms` on and before `until_ms`.
fn count(times_ms: &[u64], from_ms: u64, until_ms: u64) -> usize {
    times_ms.partition_point(|at| *at < until_ms) - times_ms.partition_point(|at| *at < from_ms)
}

impl RunRecord {
    pub(super) fn check_retry_limits(&self, report: &mut impl FnMut(Invariant, String)) {
        let recorded: FxHashSet<WorkId> = self.requests.iter().map(|request| request.id).collect();
        for service in &self.service_arrivals {
            let requests =
                self.requests.iter().filter(|request| request.service == service.service);
            let mut requests_ms: Vec<u64> = requests.map(|request| request.sent_ms).collect();
            let mut retries_ms = Vec::new();
            let mut seen = FxHashSet::default();
            for (at_ms, id) in &service.arrivals_ms {
                if !seen.insert(*id) {
                    retries_ms.push(*at_ms);
                } else if !recorded.contains(id) {
                    requests_ms.push(*at_ms);
                }
            }
            requests_ms.sort_unstable();
            if let Some((from_ms, retries, allowed)) =
                most_exceeded_window(service.limit, &requests_ms, &retries_ms)
            {
                let description = format!(
                    "{}: {retries} retries from {from_ms} ms on, {allowed:.0} allowed",
                    service.service
                );
                report(Invariant::RetryLimitKept, description);
            }
        }
    }
}

/// Returns the start of the window with the most retries beyond the limit, their number, and how many
/// the limit allows; none if no window exceeds it.
fn most_exceeded_window(
    limit: RetryLimit,
    requests_ms: &[u64],
    retries_ms: &[u64],
) -> Option<(u64, usize, f64)> {
    let window_ms = limit.window_ms;
    let windows = retries_ms.iter().map(|from_ms| {
        let requests = [0, window_ms / 2, window_ms].map(|earlier_ms| {
            let begin_ms = from_ms.saturating_sub(earlier_ms);
            count(requests_ms, begin_ms, begin_ms + window_ms)
        });
        let requests = requests.into_iter().max().unwrap_or(0);
        let allowed = limit.ratio * requests as f64 + f64::from(limit.slack);
        (*from_ms, count(retries_ms, *from_ms, from_ms + window_ms), allowed)
    });
    let excess = |(_, retries, allowed): &(u64, usize, f64)| *retries as f64 - *allowed;
    let exceeded = windows.filter(|window| excess(window) > 0.0);
    exceeded.max_by(|a, b| excess(a).total_cmp(&excess(b)))
}

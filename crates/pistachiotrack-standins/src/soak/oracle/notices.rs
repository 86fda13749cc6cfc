//! Endpoints that ask for no requests.

use super::{Invariant, RunRecord};

/// Time that an endpoint which refuses all requests asks each VM for.
pub const REFUSAL_RETRY_AFTER_MS: u64 = 5_000;
/// Time after the first answer within which VMs that have not been told learn from one of their own.
const LEARNING_MS: u64 = 3_000;
/// Time for requests that are on their way when an endpoint refuses one.
const IN_FLIGHT_MS: u64 = 500;
/// Requests that each process of a VM may still send.
const ALLOWED_PER_PROCESS: usize = 2;

/// A period in which an endpoint asked for no requests.
#[derive(Clone, Debug)]
pub struct NoticePeriod {
    /// The endpoint.
    pub endpoint: String,
    /// Whether it said that it leaves; otherwise it refused requests, each with a time.
    pub leaving: bool,
    /// Time at which it ended.
    pub until_ms: u64,
    /// Times at which requests arrived.
    pub arrivals_ms: Vec<u64>,
}

impl RunRecord {
    pub(super) fn check_notices(&self, report: &mut impl FnMut(Invariant, String)) {
        for period in &self.notice_periods {
            let Some((from_ms, to_ms)) = self.busiest_window(period) else { continue };
            let count = period.arrivals_between(from_ms, to_ms);
            let allowed = ALLOWED_PER_PROCESS * self.processes_between(from_ms, to_ms);
            if count > allowed {
                let NoticePeriod { endpoint, leaving, .. } = period;
                let description = format!(
                    "{endpoint}, leaving={leaving}, received {count} requests from {from_ms} to \
                     {to_ms} ms, {allowed} allowed"
                );
                report(Invariant::NoticesKept, description);
            }
        }
    }

    /// Returns the window in which the most requests arrived that should not have.
    fn busiest_window(&self, period: &NoticePeriod) -> Option<(u64, u64)> {
        let first_ms = *period.arrivals_ms.first()?;
        if period.leaving {
            return Some((first_ms + LEARNING_MS, period.until_ms));
        }
        let window =
            |at: &u64| (at + IN_FLIGHT_MS, (at + REFUSAL_RETRY_AFTER_MS).min(period.until_ms));
        let windows = period.arrivals_ms.iter().map(window);
        windows.max_by_key(|(from_ms, to_ms)| period.arrivals_between(*from_ms, *to_ms))
    }

    /// Returns the number of processes of VMs that ran at some time between `from_ms` and `to_ms`.
    fn processes_between(&self, from_ms: u64, to_ms: u64) -> usize {
        let ran = self.processes.iter().filter(|process| {
            process.started_ms < to_ms && process.ended_ms.is_none_or(|ended_ms| ended_ms > from_ms)
        });
        ran.count()
    }
}

impl NoticePeriod {
    fn arrivals_between(&self, from_ms: u64, to_ms: u64) -> usize {
        self.arrivals_ms.iter().filter(|at| (from_ms..to_ms).contains(at)).count()
    }
}

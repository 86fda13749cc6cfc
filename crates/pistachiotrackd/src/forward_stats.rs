//! What this VM knows of the requests that it sends on.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use pistachiotrack_core::{
    ownership::ShardId,
    retry::{BudgetSettings, RetryBudget, SlotTimeAverage},
    time::Time,
};
use rustc_hash::FxHashMap;

/// Multiple of the usual time to an answer after which its connection is
/// suspected.
const RETRY_DELAY_FACTOR: u32 = 8;
/// Shortest silence that is suspect.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Usual times of forwarded requests, and the budget of further tries.
///
/// Failure guarded against: an owner is overloaded, answers late, and every VM
/// sends it all requests again or runs them itself. It shows as load that grows
/// while answers become fewer. The guard holds because only answers of owners
/// fill the budget, so that the extra load stays a fixed part of the work done.
#[derive(Debug)]
pub(crate) struct ForwardStats {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    budget: RetryBudget,
    average_latencies: FxHashMap<ShardId, SlotTimeAverage>,
}

impl ForwardStats {
    /// Creates a record without any request and with a full budget.
    pub(crate) fn new(now: Time) -> ForwardStats {
        let budget = RetryBudget::new(now, BudgetSettings::default());
        ForwardStats {
            state: Mutex::new(State { budget, average_latencies: FxHashMap::default() }),
        }
    }

    /// Notes the time to an owner's answer.
    pub(crate) fn on_answer(&self, shard: &ShardId, latency: Duration) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.budget.on_success();
        match state.average_latencies.get_mut(shard) {
            Some(average) => average.record(latency),
            None => state.average_latencies.entry(shard.clone()).or_default().record(latency),
        }
    }

    /// Returns the silence after which the connection is suspected, if it is
    /// known how long answers usually take.
    pub(crate) fn retry_delay(&self, shard: &ShardId) -> Option<Duration> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let average = state.average_latencies.get(shard)?.value()?;
        Some((average * RETRY_DELAY_FACTOR).max(MIN_RETRY_DELAY))
    }

    /// Takes a further try of a request from the budget and returns whether
    /// there was one.
    pub(crate) fn take_retry(&self, now: Time) -> bool {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).budget.take(now)
    }
}

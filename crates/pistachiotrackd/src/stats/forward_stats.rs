//! Statistics of the requests that this VM forwards.

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

/// Multiple of the average time to an answer after which a request is sent again over a new
/// connection.
const RETRY_DELAY_FACTOR: u32 = 8;
/// Minimum time without an answer after which a request is sent again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Average latencies of forwarded requests, and their retry budget.
///
/// If every VM resent its requests to an overloaded owner or served them itself, the load would
/// grow while the number of answers falls. Only answers from owners refill the budget, so the
/// extra load stays a fixed fraction of the work done.
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
    /// Creates empty statistics with a full budget.
    pub(crate) fn new(now: Time) -> ForwardStats {
        let budget = RetryBudget::new(now, BudgetSettings::default());
        ForwardStats {
            state: Mutex::new(State { budget, average_latencies: FxHashMap::default() }),
        }
    }

    /// Records the time to an owner's answer.
    pub(crate) fn on_answer(&self, shard: &ShardId, latency: Duration) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.budget.on_success();
        match state.average_latencies.get_mut(shard) {
            Some(average) => average.record(latency),
            None => state.average_latencies.entry(shard.clone()).or_default().record(latency),
        }
    }

    /// Returns the time without an answer after which a request is sent again, if the average
    /// latency is known.
    pub(crate) fn retry_delay(&self, shard: &ShardId) -> Option<Duration> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let average = state.average_latencies.get(shard)?.value()?;
        Some((average * RETRY_DELAY_FACTOR).max(MIN_RETRY_DELAY))
    }

    /// Takes a retry from the budget and returns whether one was available.
    pub(crate) fn take_retry(&self, now: Time) -> bool {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).budget.take(now)
    }
}

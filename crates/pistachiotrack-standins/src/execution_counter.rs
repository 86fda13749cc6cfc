//! Counts how often each piece of work was run, as recorded by the endpoints themselves.

use std::sync::Mutex;

use rustc_hash::FxHashMap;

use crate::work::WorkId;

/// Counts executions over all endpoints of a deployment.
#[derive(Debug, Default)]
pub struct ExecutionCounter {
    executions: Mutex<FxHashMap<WorkId, u32>>,
}

impl ExecutionCounter {
    /// Records that an endpoint began to run a piece of work.
    pub fn record(&self, id: WorkId) {
        *self.lock().entry(id).or_default() += 1;
    }

    /// Returns how often endpoints began to run a piece of work.
    pub fn executions(&self, id: WorkId) -> u32 {
        self.lock().get(&id).copied().unwrap_or(0)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FxHashMap<WorkId, u32>> {
        self.executions.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

//! Retries that a VM has lately needed.

use std::{collections::VecDeque, time::Duration};

use crate::time::Time;

/// Time for which a retry counts. A burst of failures lasts longer, and rights from another VM
/// arrive well within it.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// Maximum number of retries that are counted.
const MAX_RETRIES: usize = 512;

/// Times at which retries were needed, whether there were rights or not.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    needed_at: VecDeque<Time>,
}

impl Demand {
    /// Records that a retry was needed.
    pub(super) fn record(&mut self, now: Time) {
        if self.needed_at.len() == MAX_RETRIES {
            self.needed_at.pop_front();
        }
        self.needed_at.push_back(now);
    }

    /// Returns the number of retries that were needed within the last second.
    pub(super) fn recent(&mut self, now: Time) -> usize {
        while self.needed_at.front().is_some_and(|at| now.since(*at) >= DEMAND_TIME) {
            self.needed_at.pop_front();
        }
        self.needed_at.len()
    }
}

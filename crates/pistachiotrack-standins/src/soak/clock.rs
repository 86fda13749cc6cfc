//! Clock of a soak run.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Interval at which the process checks whether it was held up.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time without a check that counts as a stall.
const MIN_STALL_MS: u64 = 500;

/// Periods in which this process, with its callers and endpoints, was held up.
pub(super) type Stalls = Mutex<Vec<(u64, u64)>>;

/// Measures time from the start of a run's load.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunClock {
    start: Instant,
}

impl RunClock {
    /// Starts the clock.
    pub(super) fn start() -> RunClock {
        RunClock { start: Instant::now() }
    }

    /// Returns the milliseconds since the start.
    pub(super) fn now_ms(self) -> u64 {
        self.ms(Instant::now())
    }

    /// Converts an instant to milliseconds since the start; an earlier instant gives 0.
    pub(super) fn ms(self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_millis() as u64
    }

    /// Records the periods in which this process is held up.
    pub(super) async fn watch_stalls(self, stalls: Arc<Stalls>) {
        let mut checked_ms = self.now_ms();
        loop {
            tokio::time::sleep(STALL_CHECK_INTERVAL).await;
            let now_ms = self.now_ms();
            if now_ms - checked_ms >= MIN_STALL_MS {
                let mut stalls = stalls.lock().unwrap_or_else(PoisonError::into_inner);
                stalls.push((checked_ms, now_ms));
            }
            checked_ms = now_ms;
        }
    }

    /// Waits until `at_ms` after the start.
    pub(super) async fn wait_until_ms(self, at_ms: u64) {
        let at = self.start + Duration::from_millis(at_ms);
        tokio::time::sleep_until(at.into()).await;
    }
}

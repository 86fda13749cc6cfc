//! Clock of a soak run.

use std::time::{Duration, Instant};

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

    /// Waits until `at_ms` after the start.
    pub(super) async fn wait_until_ms(self, at_ms: u64) {
        let at = self.start + Duration::from_millis(at_ms);
        tokio::time::sleep_until(at.into()).await;
    }
}

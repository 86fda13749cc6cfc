//! Times of a run.

use std::time::{Duration, Instant};

/// Time from the beginning of a run's load.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunClock {
    start: Instant,
}

impl RunClock {
    /// Begins a run now.
    pub(super) fn start() -> RunClock {
        RunClock { start: Instant::now() }
    }

    /// Returns the present moment.
    pub(super) fn now_ms(self) -> u64 {
        self.ms(Instant::now())
    }

    /// Returns a moment; one before the beginning is the beginning.
    pub(super) fn ms(self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_millis() as u64
    }

    /// Waits for a moment.
    pub(super) async fn wait_until_ms(self, at_ms: u64) {
        let at = self.start + Duration::from_millis(at_ms);
        tokio::time::sleep_until(at.into()).await;
    }
}

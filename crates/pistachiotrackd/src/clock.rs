//! The monotonic clock of this process.

use std::time::Instant;

use pistachiotrack_core::time::Time;

/// Turns the machine's monotonic clock into [`Time`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

/// Value of the clock at its start, so that times shortly before the start can
/// be told apart.
const START: Time = Time::from_millis(1_000);

impl Clock {
    /// Starts the clock.
    pub(crate) fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Returns the present moment.
    pub(crate) fn now(&self) -> Time {
        START + self.start.elapsed()
    }

    /// Returns the moment as the runtime's timers need it.
    pub(crate) fn instant(&self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + time.since(START))
    }
}

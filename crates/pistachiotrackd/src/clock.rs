//! The monotonic clock of this process.

use std::time::Duration;

use pistachiotrack_core::time::Time;
use rustix::time::{ClockId, clock_gettime};

/// Converts the system's boot-time clock to [`Time`].
///
/// `CLOCK_MONOTONIC` stops while a VM is suspended, so that requests would be
/// sent long after their callers gave up. `CLOCK_BOOTTIME` includes suspended
/// time: deadlines expire and the timer service detects the gap.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

/// Value of the clock when it is started. It is above 0 so that times shortly
/// before the start can be represented.
const START: Time = Time::from_millis(1_000);

impl Clock {
    /// Starts the clock.
    pub fn start() -> Clock {
        Clock { start: since_boot() }
    }

    /// Returns the time at which the clock was started.
    pub(crate) fn started(&self) -> Time {
        START
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        START + since_boot().saturating_sub(self.start)
    }

    /// Converts a time to an instant of the runtime's timers.
    pub(crate) fn instant(&self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::now() + time.since(self.now())
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

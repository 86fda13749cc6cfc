//! The monotonic clock of this process.

use std::time::Duration;

use pistachiotrack_core::time::Time;
use rustix::time::{ClockId, clock_gettime};

/// Turns the machine's clock into [`Time`].
///
/// Failure guarded against: a VM is suspended, and its monotonic clock stands
/// still meanwhile. It shows as requests that are sent long after their callers
/// have given up. The guard holds because the clock read here counts the time of
/// a suspension, so that deadlines pass and the timer service sees the gap.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

/// Value of the clock at its start, so that times shortly before the start can
/// be told apart.
const START: Time = Time::from_millis(1_000);

impl Clock {
    /// Starts the clock.
    pub fn start() -> Clock {
        Clock { start: since_boot() }
    }

    /// Returns the moment at which the clock was started.
    pub(crate) fn started(&self) -> Time {
        START
    }

    /// Returns the present moment.
    pub fn now(&self) -> Time {
        START + since_boot().saturating_sub(self.start)
    }

    /// Returns the moment as the runtime's timers need it.
    pub(crate) fn instant(&self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::now() + time.since(self.now())
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

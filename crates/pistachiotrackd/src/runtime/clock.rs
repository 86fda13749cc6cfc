//! The monotonic clock of this process.

use std::{sync::OnceLock, time::Duration};

use pistachiotrack_core::time::Time;
use rustix::time::{ClockId, clock_gettime};

/// Converts the system's boot-time clock to [`Time`], the same for all clocks of a process.
///
/// `CLOCK_MONOTONIC` stops while a VM is suspended, so that requests would be
/// sent long after their callers gave up. `CLOCK_BOOTTIME` includes suspended
/// time: deadlines expire and the timer service detects the gap.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Time,
}

/// Time after which a wait compares its end with the clock again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Value of the clock when the first one of the process is started. It is above 0 so that times
/// shortly before the start can be represented.
const START: Time = Time::from_millis(1_000);
/// Time of the system's clock at that moment.
static PROCESS_START: OnceLock<Duration> = OnceLock::new();

impl Clock {
    /// Starts the clock.
    pub fn start() -> Clock {
        Clock { started: since_process_start() }
    }

    /// Returns the time at which the clock was started.
    pub(crate) fn started(&self) -> Time {
        self.started
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        since_process_start()
    }

    /// Waits until a time of this clock, also if the VM is suspended meanwhile, which the runtime's
    /// timers don't count.
    pub(crate) async fn sleep_until(&self, time: Time) {
        while self.now() < time {
            tokio::time::sleep(time.since(self.now()).min(RECHECK_INTERVAL)).await;
        }
    }

    /// Converts a time to an instant of the runtime's timers.
    pub(crate) fn instant(&self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::now() + time.since(self.now())
    }
}

fn since_process_start() -> Time {
    let start = *PROCESS_START.get_or_init(since_boot);
    START + since_boot().saturating_sub(start)
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

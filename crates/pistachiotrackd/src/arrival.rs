//! When a request can have arrived, although it was read late.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use pistachiotrack_core::time::Time;

use crate::{clock::Clock, timer::PauseGate};

/// Time after a pause within which what arrived during it is read.
const BACKLOG_READ_TIME: Duration = Duration::from_secs(1);

/// Moment of a request's arrival, where it was well before it was read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival(pub(crate) Time);

/// Watches the reads of one connection that requests come in on.
///
/// Failure guarded against: a VM is paused while a request lies in its socket's
/// buffer, wakes up and takes the request's deadline for one that begins now. It
/// shows as a booking that runs after its caller has given up. The guard holds
/// because the first request that a connection brings after a pause counts as
/// having arrived when the pause began, unless the connection was seen empty
/// since.
#[derive(Debug)]
pub(crate) struct ArrivalTracker {
    clock: Clock,
    gate: PauseGate,
    drained_at_us: AtomicU64,
    read_after_us: AtomicU64,
}

impl ArrivalTracker {
    /// Creates the watch of a connection that nothing was read from.
    pub(crate) fn new(clock: Clock, gate: PauseGate) -> ArrivalTracker {
        let [drained_at_us, read_after_us] = [AtomicU64::new(0), AtomicU64::new(0)];
        ArrivalTracker { clock, gate, drained_at_us, read_after_us }
    }

    /// Notes that there was nothing to read.
    pub(crate) fn on_drained(&self) {
        self.drained_at_us.store(self.clock.now().as_micros(), Ordering::Relaxed);
    }

    /// Notes that bytes were read.
    pub(crate) fn on_bytes(&self) {
        self.read_after_us.store(self.drained_at_us.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Returns the earliest moment at which the bytes read last can have
    /// arrived, if that was before the end of a pause.
    pub(crate) fn arrival_before_resume(&self) -> Option<Arrival> {
        let now = self.clock.now();
        let pause = self.gate.pause_at(now)?;
        let read_after = Time::from_micros(self.read_after_us.load(Ordering::Relaxed));
        let may_be_old =
            read_after < pause.ended_at && now.since(pause.ended_at) < BACKLOG_READ_TIME;
        may_be_old.then(|| Arrival(read_after.max(pause.began_at)))
    }
}

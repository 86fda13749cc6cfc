//! Estimates when a request arrived if the process was paused before reading it.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use pistachiotrack_core::time::Time;

use crate::runtime::{clock::Clock, timer::PauseGate};

/// Time after a pause within which everything that arrived during the pause has been read.
const BACKLOG_READ_TIME: Duration = Duration::from_secs(1);

/// Earliest possible arrival time of a request that was read after a pause.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival(pub(crate) Time);

/// Tracks the reads of one incoming connection.
///
/// A request can wait in the socket's buffer while the VM is paused. If its deadline were counted
/// from the time it was read, a booking could run after its caller had given up. The first
/// request read from a connection after a pause therefore counts as having arrived when the pause
/// began, unless the connection was seen empty after that.
#[derive(Debug)]
pub(crate) struct ArrivalTracker {
    clock: Clock,
    gate: PauseGate,
    drained_at_us: AtomicU64,
    read_after_us: AtomicU64,
}

impl ArrivalTracker {
    /// Creates a tracker for a connection from which nothing was read yet.
    pub(crate) fn new(clock: Clock, gate: PauseGate) -> ArrivalTracker {
        let [drained_at_us, read_after_us] = [AtomicU64::new(0), AtomicU64::new(0)];
        ArrivalTracker { clock, gate, drained_at_us, read_after_us }
    }

    /// Records that there was nothing to read.
    pub(crate) fn on_drained(&self) {
        self.drained_at_us.store(self.clock.now().as_micros(), Ordering::Relaxed);
    }

    /// Records that bytes were read.
    pub(crate) fn on_bytes(&self) {
        self.read_after_us.store(self.drained_at_us.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Returns the earliest time at which the bytes read last can have arrived, if that is before
    /// the end of a pause.
    pub(crate) fn arrival_before_resume(&self) -> Option<Arrival> {
        let now = self.clock.now();
        let pause = self.gate.pause_at(now)?;
        let read_after = Time::from_micros(self.read_after_us.load(Ordering::Relaxed));
        let may_be_old =
            read_after < pause.ended_at && now.since(pause.ended_at) < BACKLOG_READ_TIME;
        may_be_old.then(|| Arrival(read_after.max(pause.began_at)))
    }
}

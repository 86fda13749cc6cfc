//! The switchboard of an endpoint's faults.

use std::time::{Duration, Instant};

/// Faults of an endpoint; several may hold at the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults {
    /// Share of the work that fails with 500 while the health check passes.
    pub failing_share: f64,
    /// Factor by which work takes longer; the health check does not.
    pub slow_factor: f64,
    /// Whether work and health checks are taken and never answered.
    pub hang: bool,
    /// Connections opened before this moment are silent for good.
    pub silent_before: Option<Instant>,
    /// Whether the faults above come and go.
    pub flapping: Option<Flapping>,
    /// Start of a cold start, during which work takes longer.
    pub cold_since: Option<Instant>,
    /// Whether all work is refused unrun.
    pub shedding: bool,
    /// Whether the endpoint says that it is leaving.
    pub draining: bool,
    /// Load that is reported in place of the real one.
    pub reported_load: Option<u32>,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            failing_share: 0.0,
            slow_factor: 1.0,
            hang: false,
            silent_before: None,
            flapping: None,
            cold_since: None,
            shedding: false,
            draining: false,
            reported_load: None,
        }
    }
}

/// A fault that comes and goes with a fixed period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flapping {
    /// Moment of the first sick phase.
    pub since: Instant,
    /// Length of each sick and of each well phase.
    pub phase_ms: u64,
}

/// Time that a cold start takes.
pub const COLD_START_MS: u64 = 3_000;
/// Factor by which the first work after a start takes longer.
pub const COLD_START_FACTOR: f64 = 8.0;
/// Factor by which a straggler's work takes longer.
pub const STRAGGLER_FACTOR: f64 = 20.0;

impl Faults {
    /// Fails all work while the health check passes.
    pub fn gray() -> Faults {
        Faults { failing_share: 1.0, ..Faults::default() }
    }

    /// Slows work down while the health check stays fast.
    pub fn straggler() -> Faults {
        Faults { slow_factor: STRAGGLER_FACTOR, ..Faults::default() }
    }

    /// Takes everything and answers nothing.
    pub fn hang() -> Faults {
        Faults { hang: true, ..Faults::default() }
    }

    /// Silences the connections that are open at `now`.
    pub fn silent_connections(now: Instant) -> Faults {
        Faults { silent_before: Some(now), ..Faults::default() }
    }

    /// Slows down the work after a start at `now`.
    pub fn cold_start(now: Instant) -> Faults {
        Faults { cold_since: Some(now), ..Faults::default() }
    }

    /// Refuses all work unrun.
    pub fn shedding() -> Faults {
        Faults { shedding: true, ..Faults::default() }
    }

    /// Says that the endpoint is leaving.
    pub fn draining() -> Faults {
        Faults { draining: true, ..Faults::default() }
    }

    /// Reports a load that isn't the real one.
    pub fn misreporting_load(reported_load: u32) -> Faults {
        Faults { reported_load: Some(reported_load), ..Faults::default() }
    }

    /// Lets these faults come and go from `now` on.
    pub fn flapping(self, now: Instant, phase_ms: u64) -> Faults {
        Faults { flapping: Some(Flapping { since: now, phase_ms }), ..self }
    }

    /// Returns the faults that hold at `now`.
    pub fn at(&self, now: Instant) -> Faults {
        let Some(flapping) = self.flapping else { return self.clone() };
        let phase_ms = u128::from(flapping.phase_ms.max(1));
        let phase = now.saturating_duration_since(flapping.since).as_millis() / phase_ms;
        if phase.is_multiple_of(2) { self.clone() } else { Faults::default() }
    }

    /// Returns the factor by which work that starts at `now` takes longer.
    pub fn latency_factor(&self, now: Instant) -> f64 {
        let Some(since) = self.cold_since else { return self.slow_factor };
        let age = now.saturating_duration_since(since);
        let whole = Duration::from_millis(COLD_START_MS);
        let left = 1.0 - (age.as_secs_f64() / whole.as_secs_f64()).min(1.0);
        self.slow_factor * (1.0 + (COLD_START_FACTOR - 1.0) * left)
    }

    /// Returns whether a connection opened at `opened` is silent.
    pub fn is_connection_silent(&self, opened: Instant) -> bool {
        self.silent_before.is_some_and(|before| opened < before)
    }
}

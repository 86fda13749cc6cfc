//! Faults that can be injected into an endpoint.

use std::time::{Duration, Instant};

/// Faults of an endpoint; several can be active at the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults {
    /// Share of the requests that are run and fail while the health check passes.
    pub failing_share: f64,
    /// Statuses of these failures, of which each gets one at random.
    pub failure_statuses: &'static [u16],
    /// Share of these failures that don't state the ID of their request.
    pub anonymous_share: f64,
    /// Factor on the service time of requests; health checks are not slowed down.
    pub slow_factor: f64,
    /// Whether requests and health checks are accepted and never answered.
    pub hang: bool,
    /// Time before which an opened connection is permanently silent.
    pub silent_before: Option<Instant>,
    /// Schedule on which all faults are active and inactive in turn.
    pub flapping: Option<Flapping>,
    /// Start of a cold start, during which requests are slower.
    pub cold_since: Option<Instant>,
    /// Share of the requests that are refused without being run.
    pub shed_share: f64,
    /// Whether some of the refusals are sent a second time, late.
    pub repeats_refusals: bool,
    /// Whether the endpoint announces that it is draining.
    pub draining: bool,
    /// Load that is reported instead of the actual one.
    pub reported_load: Option<u32>,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            failing_share: 0.0,
            failure_statuses: &[500],
            anonymous_share: 0.0,
            slow_factor: 1.0,
            hang: false,
            silent_before: None,
            flapping: None,
            cold_since: None,
            shed_share: 0.0,
            repeats_refusals: false,
            draining: false,
            reported_load: None,
        }
    }
}

/// Alternation between faulty and healthy phases of a fixed length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flapping {
    /// Start of the first faulty phase.
    pub since: Instant,
    /// Length of each faulty and each healthy phase.
    pub phase_ms: u64,
}

/// Duration of a cold start.
pub const COLD_START_MS: u64 = 3_000;
/// Factor on the service time at the beginning of a cold start.
pub const COLD_START_FACTOR: f64 = 8.0;
/// Factor on the service time of a straggler.
pub const STRAGGLER_FACTOR: f64 = 20.0;

/// Statuses by which servers usually refuse a request, and of failures.
const MISLEADING_STATUSES: [u16; 6] = [400, 408, 421, 429, 500, 503];

impl Faults {
    /// Fails all requests while the health check passes.
    pub fn gray() -> Faults {
        Faults { failing_share: 1.0, ..Faults::default() }
    }

    /// Runs half of the requests and answers with statuses that often mean that a request was not run.
    pub fn misleading_statuses() -> Faults {
        Faults {
            failing_share: 0.5,
            failure_statuses: &MISLEADING_STATUSES,
            anonymous_share: 0.5,
            ..Faults::default()
        }
    }

    /// Slows requests down while the health check stays fast.
    pub fn straggler() -> Faults {
        Faults { slow_factor: STRAGGLER_FACTOR, ..Faults::default() }
    }

    /// Accepts requests and health checks and answers none.
    pub fn hang() -> Faults {
        Faults { hang: true, ..Faults::default() }
    }

    /// Silences the connections that are open at `now`.
    pub fn silent_connections(now: Instant) -> Faults {
        Faults { silent_before: Some(now), ..Faults::default() }
    }

    /// Slows requests down for a cold start that begins at `now`.
    pub fn cold_start(now: Instant) -> Faults {
        Faults { cold_since: Some(now), ..Faults::default() }
    }

    /// Refuses all requests without running them.
    pub fn shedding() -> Faults {
        Faults { shed_share: 1.0, ..Faults::default() }
    }

    /// Refuses half of the requests, and sends some of the refusals a second time, late.
    pub fn repeating_refusals() -> Faults {
        Faults { shed_share: 0.5, repeats_refusals: true, ..Faults::default() }
    }

    /// Announces that the endpoint is draining.
    pub fn draining() -> Faults {
        Faults { draining: true, ..Faults::default() }
    }

    /// Reports a false load.
    pub fn misreporting_load(reported_load: u32) -> Faults {
        Faults { reported_load: Some(reported_load), ..Faults::default() }
    }

    /// Activates and deactivates these faults in phases, from `now` on.
    pub fn flapping(self, now: Instant, phase_ms: u64) -> Faults {
        Faults { flapping: Some(Flapping { since: now, phase_ms }), ..self }
    }

    /// Returns the faults that are active at `now`.
    pub fn active_at(&self, now: Instant) -> Faults {
        let Some(flapping) = self.flapping else { return self.clone() };
        let phase_ms = u128::from(flapping.phase_ms.max(1));
        let phase = now.saturating_duration_since(flapping.since).as_millis() / phase_ms;
        if phase.is_multiple_of(2) { self.clone() } else { Faults::default() }
    }

    /// Returns the factor on the service time of a request that starts at `now`.
    pub fn latency_factor(&self, now: Instant) -> f64 {
        let Some(since) = self.cold_since else { return self.slow_factor };
        let age = now.saturating_duration_since(since);
        let cold_start_duration = Duration::from_millis(COLD_START_MS);
        let remaining = 1.0 - (age.as_secs_f64() / cold_start_duration.as_secs_f64()).min(1.0);
        self.slow_factor * (1.0 + (COLD_START_FACTOR - 1.0) * remaining)
    }

    /// Returns whether a connection opened at `opened` is silent.
    pub fn is_connection_silent(&self, opened: Instant) -> bool {
        self.silent_before.is_some_and(|before| opened < before)
    }
}

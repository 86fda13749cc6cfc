//! A simulated endpoint that slows down when it has more requests than slots.

use pistachiotrack_core::time::Time;

/// Number of requests at which the endpoint sheds, as a multiple of its slots.
const SHED_SLOTS_FACTOR: usize = 3;
/// Relative increase of the service time for each request over the endpoint's slots.
const SLOWDOWN_PER_EXCESS_REQUEST: f64 = 0.1;

/// An endpoint that divides its capacity evenly among its active requests.
#[derive(Clone, Debug)]
pub(super) struct SimEndpoint {
    slots: usize,
    active: Vec<(usize, f64)>,
    updated_at: Time,
    /// Changes whenever the time of the next completion changes.
    pub(super) version: u64,
}

impl SimEndpoint {
    pub(super) fn new(slots: u32) -> SimEndpoint {
        SimEndpoint {
            slots: slots as usize,
            active: Vec::new(),
            updated_at: Time::ZERO,
            version: 0,
        }
    }

    /// Starts a request, or returns `false` if the endpoint sheds it.
    pub(super) fn start(&mut self, now: Time, job: usize, work_us: f64) -> bool {
        if self.active.len() >= self.slots * SHED_SLOTS_FACTOR {
            return false;
        }
        self.update(now);
        self.active.push((job, work_us));
        true
    }

    /// Cancels a request.
    pub(super) fn cancel(&mut self, now: Time, job: usize) {
        self.update(now);
        self.active.retain(|(other, _)| *other != job);
    }

    /// Returns whether it has more active requests than slots.
    pub(super) fn is_over_slots(&self) -> bool {
        self.active.len() > self.slots
    }

    /// Returns the time of the next completion, if nothing changes.
    pub(super) fn next_completion(&self) -> Option<Time> {
        let remaining_us =
            self.active.iter().map(|(_, remaining_us)| *remaining_us).reduce(f64::min)?;
        let micros = (remaining_us / self.speed()).ceil().max(0.0) as u64;
        Some(Time::from_micros(self.updated_at.as_micros() + micros))
    }

    /// Removes and returns the completed requests.
    pub(super) fn take_completed(&mut self, now: Time) -> Vec<usize> {
        self.update(now);
        let is_done = |(_, remaining_us): &(usize, f64)| *remaining_us <= 0.0;
        let done = self.active.iter().filter(|job| is_done(job)).map(|(job, _)| *job).collect();
        self.active.retain(|job| !is_done(job));
        done
    }

    fn update(&mut self, now: Time) {
        let done_us = now.since(self.updated_at).as_micros() as f64 * self.speed();
        for (_, remaining_us) in &mut self.active {
            *remaining_us -= done_us;
        }
        self.updated_at = now;
        self.version += 1;
    }

    /// Returns the speed of each request relative to one with its own slot.
    fn speed(&self) -> f64 {
        let excess = self.active.len().saturating_sub(self.slots);
        if excess == 0 {
            return 1.0;
        }
        let share = self.slots as f64 / self.active.len() as f64;
        share / (1.0 + SLOWDOWN_PER_EXCESS_REQUEST * excess as f64)
    }
}

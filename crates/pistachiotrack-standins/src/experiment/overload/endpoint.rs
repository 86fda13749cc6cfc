//! An endpoint whose work slows down when it has more than its slots.

use pistachiotrack_core::time::Time;

/// Requests at which the endpoint sheds, as a multiple of its slots.
const SHED_TIMES_SLOTS: usize = 3;
/// Part of its speed that the endpoint loses for each request over its slots.
const THRASH: f64 = 0.1;

/// An endpoint that shares its slots evenly among all that it works on.
#[derive(Clone, Debug)]
pub(super) struct SimEndpoint {
    slots: usize,
    active: Vec<(usize, f64)>,
    updated_at: Time,
    /// Changes whenever the time of the next completion does.
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

    /// Takes work, or returns `false` if the endpoint sheds it.
    pub(super) fn start(&mut self, now: Time, job: usize, work_us: f64) -> bool {
        if self.active.len() >= self.slots * SHED_TIMES_SLOTS {
            return false;
        }
        self.update(now);
        self.active.push((job, work_us));
        true
    }

    /// Gives work up.
    pub(super) fn cancel(&mut self, now: Time, job: usize) {
        self.update(now);
        self.active.retain(|(other, _)| *other != job);
    }

    /// Returns whether it works on more than its slots.
    pub(super) fn is_over(&self) -> bool {
        self.active.len() > self.slots
    }

    /// Returns the moment of the next completion, if nothing changes.
    pub(super) fn next_done(&self) -> Option<Time> {
        let left_us = self.active.iter().map(|(_, left_us)| *left_us).reduce(f64::min)?;
        let micros = (left_us / self.speed()).ceil().max(0.0) as u64;
        Some(Time::from_micros(self.updated_at.as_micros() + micros))
    }

    /// Takes out what is done.
    pub(super) fn take_done(&mut self, now: Time) -> Vec<usize> {
        self.update(now);
        let is_done = |(_, left_us): &(usize, f64)| *left_us <= 0.0;
        let done = self.active.iter().filter(|job| is_done(job)).map(|(job, _)| *job).collect();
        self.active.retain(|job| !is_done(job));
        done
    }

    fn update(&mut self, now: Time) {
        let passed_us = now.since(self.updated_at).as_micros() as f64 * self.speed();
        for (_, left_us) in &mut self.active {
            *left_us -= passed_us;
        }
        self.updated_at = now;
        self.version += 1;
    }

    /// Returns the speed of each request relative to one with its own slot.
    fn speed(&self) -> f64 {
        let over = self.active.len().saturating_sub(self.slots);
        if over == 0 {
            return 1.0;
        }
        let shared = self.slots as f64 / self.active.len() as f64;
        shared / (1.0 + THRASH * over as f64)
    }
}
